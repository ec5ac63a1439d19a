// Command wingmount is the former name of cmd/deliverynode. It prints a deprecation notice on standard error and executes the
// program deliverynode in the same folder, with the same arguments and environment. It is kept for one version.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// successor is the program that replaces this one.
const successor = "deliverynode"

func main() {
	fmt.Fprintf(os.Stderr, "wingmount: this program is now called %s; the old name will be removed in the next version\n", successor)
	if err := execSuccessor(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "wingmount: %v\n", err)
		os.Exit(1)
	}
}

// execSuccessor replaces this process by the successor, which thereby gets the signals and inherited sockets and sets the exit
// status itself.
func execSuccessor(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding this program's folder: %w", err)
	}
	program := filepath.Join(filepath.Dir(self), successor)
	if err := syscall.Exec(program, append([]string{program}, args...), os.Environ()); err != nil {
		return fmt.Errorf("starting %s, which must be in the same folder as this program: %w", program, err)
	}
	return nil
}
