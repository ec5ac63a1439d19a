package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"dunetide/internal/lab/tier"
)

// TestTierKeepsTheRules runs a short day of the built tier, with process crashes and corrupted answers.
func TestTierKeepsTheRules(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dunetide")
	if out, err := exec.Command("go", "build", "-o", program, "dunetide/cmd/dunetide").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	a, err := tier.Play(t.Context(), tier.Options{Program: program, Dir: t.TempDir(), Seed: 1, Length: 4 * time.Second, Faults: []string{"store", "keeper", "engine"}, CorruptAnswers: true, Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	if a.Failed() {
		t.Errorf("broken %v, ended %v, read back %q", a.Violations, a.Ends, a.ReadBack)
	}
	for _, k := range a.Kinds {
		if served := k.WithinTarget + k.Late; 2*served < k.Requested || served+k.Refused+k.Failed != k.Requested {
			t.Errorf("%+v", k)
		}
	}
}
