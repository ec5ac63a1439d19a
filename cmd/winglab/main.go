// Command winglab is the former name of cmd/dunetide-lab. It prints a deprecation notice on standard error, and builds and runs
// that program from the same checkout with the same arguments. It is kept for one version.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
)

// successor is the package of the program that replaces this one.
const successor = "dunetide/cmd/dunetide-lab"

func main() {
	fmt.Fprintln(os.Stderr, "winglab: this program is now called dunetide-lab; the old name will be removed in the next version")
	os.Exit(runSuccessor(os.Args[1:]))
}

// runSuccessor runs the successor until it exits and returns its exit status. An interrupt from the terminal reaches both
// processes, and the successor decides how to exit. The signals are caught, not ignored: a child inherits ignored signals.
func runSuccessor(args []string) int {
	signal.Notify(make(chan os.Signal, 1), os.Interrupt, syscall.SIGTERM)
	command := exec.Command("go", append([]string{"run", successor}, args...)...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	err := command.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.ExitCode()
	default:
		fmt.Fprintf(os.Stderr, "winglab: starting %s: %v\n", successor, err)
		return 1
	}
}
