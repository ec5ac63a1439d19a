package main

import (
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The old name passes on arguments and exit status, and names the program that replaces it.
func TestOldNameStartsSuccessor(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", dir+"/", ".", "../deliverynode").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	out, err := exec.CommandContext(t.Context(), filepath.Join(dir, "wingmount"), "check", filepath.Join(dir, "missing")).CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Errorf("check of a folder that does not exist: %v, want exit status 2", err)
	}
	for _, want := range []string{"now called deliverynode", "not usable"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}

// Without the successor in the same folder, the old name fails and reports what is missing.
func TestOldNameAloneFails(t *testing.T) {
	program := filepath.Join(t.TempDir(), "wingmount")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	out, err := exec.CommandContext(t.Context(), program, "check", "state").CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(string(out), "must be in the same folder") {
		t.Errorf("%v, want exit status 1 and the missing program:\n%s", err, out)
	}
}
