// Command wingmount is the former name of cmd/deliverynode. It starts the program deliverynode that lies beside it, with the same
// arguments and environment, and says so on standard error. It stays for one version.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// successor is the program that took this one's place.
const successor = "deliverynode"

func main() {
	fmt.Fprintf(os.Stderr, "wingmount: this program is now called %s; the old name goes with the next version\n", successor)
	if err := execSuccessor(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "wingmount: %v\n", err)
		os.Exit(1)
	}
}

// execSuccessor replaces this process by the successor, so that signals, exit status and inherited sockets are the successor's own.
func execSuccessor(args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding this program's folder: %w", err)
	}
	program := filepath.Join(filepath.Dir(self), successor)
	if err := syscall.Exec(program, append([]string{program}, args...), os.Environ()); err != nil {
		return fmt.Errorf("starting %s, which has to lie beside this program: %w", program, err)
	}
	return nil
}
