// Command winglab is the former name of cmd/dunetide-lab. It builds and runs that program from the same checkout, with the same
// arguments, and says so on standard error. It stays for one version.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
)

// successor is the package of the program that took this one's place.
const successor = "dunetide/cmd/dunetide-lab"

func main() {
	fmt.Fprintln(os.Stderr, "winglab: this program is now called dunetide-lab; the old name goes with the next version")
	os.Exit(runSuccessor(os.Args[1:]))
}

// runSuccessor runs the successor to its end and returns its exit status. An interrupt from the terminal reaches both, and the
// successor decides how to end. The signals are caught, not ignored: a child would inherit ignored ones.
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
