package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The old name runs the lab and names the program that replaces it.
func TestOldNameRunsSuccessor(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "run", ".", "--help").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"now called dunetide-lab", "Usage: dunetide-lab"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}
