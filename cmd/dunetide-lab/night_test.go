package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"dunetide/internal/lab/tier"
)

// TestABusyNightKeepsToCertifiedNodes runs a short night on real processes.
func TestABusyNightKeepsToCertifiedNodes(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dunetide")
	if out, err := exec.Command("go", "build", "-o", program, "dunetide/cmd/dunetide").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	a, err := tier.PlayCertification(t.Context(), tier.Options{Program: program, Dir: t.TempDir(), Seed: 1, Length: 8 * time.Second, Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	if a.Failed() {
		t.Errorf("broken %v, ended %v, read back %q", a.Violations, a.Ends, a.ReadBack)
	}
	if a.Regulated == 0 || a.Copies < 2 || len(a.Rows) == 0 {
		t.Errorf("%d regulated runs, %d copies, rows %+v", a.Regulated, a.Copies, a.Rows)
	}
	t.Logf("%+v", a.Rows)
}
