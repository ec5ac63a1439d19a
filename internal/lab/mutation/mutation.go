// Package mutation implements mutation testing: it applies mutants, that is, faulty lines, to a package, one at a time, and runs the
// package's tests on each. Nothing on disk is changed.
//
// A package keeps its mutants as a list in a test file. One test checks on each run that all of them still apply (CheckPresent);
// another one, which takes minutes and runs only on request, checks that each is detected (Find).
package mutation

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/overlay"
)

// Mutant is a change of one line, or of several consecutive lines, that tests should detect. Its file is relative to the directory
// of the test's package.
type Mutant = overlay.Replacement

// Options select the mutants and the tests that have to detect them.
type Options struct {
	// Only selects the mutants whose names contain it; "1" selects all.
	Only string
	// Args are passed to go test before the package; Env is added to the environment.
	Args, Env []string
	// Within limits the duration of one test run.
	Within time.Duration
	// Parallel runs the tests of several mutants concurrently; use it if one run does not keep all cores busy.
	Parallel bool
}

// Requested returns the value of an environment variable that selects mutants, for Options.Only. It skips the test if the variable
// is not set.
func Requested(t *testing.T, variable string) string {
	t.Helper()
	only := os.Getenv(variable)
	if only == "" {
		t.Skipf("%s is not set", variable)
	}
	return only
}

// CheckPresent fails for each mutant whose old text does not occur exactly once in its file, so that Find could not apply it.
func CheckPresent(t *testing.T, mutants []Mutant) {
	t.Helper()
	for _, m := range mutants {
		if err := (overlay.Texts{}).Replace(".", m); err != nil {
			t.Error(err)
		}
	}
}

// Find fails for each mutant that no test detects. The tests run in the directory of the calling test's package.
func Find(t *testing.T, mutants []Mutant, o Options) {
	t.Helper()
	for _, m := range mutants {
		if o.Only != "1" && !strings.Contains(m.Name, o.Only) {
			continue
		}
		t.Run(m.Name, func(t *testing.T) {
			if o.Parallel {
				t.Parallel()
			}
			testFind(t, m, o)
		})
	}
}

// testFind runs the tests on one mutant, and fails if they pass, if the mutant does not build, or if they time out.
func testFind(t *testing.T, m Mutant, o Options) {
	t.Helper()
	texts := overlay.Texts{}
	if err := texts.Replace(".", m); err != nil {
		t.Fatal(err)
	}
	list, err := texts.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), o.Within)
	defer cancel()
	args := append([]string{"test", "-overlay", list, "-count=1", "-failfast", "-vet=off"}, o.Args...)
	cmd := exec.CommandContext(ctx, "go", append(args, ".")...)
	cmd.Env = append(os.Environ(), o.Env...)
	out, err := cmd.CombinedOutput()
	switch {
	case ctx.Err() != nil:
		t.Fatal("tests did not finish in time")
	case err == nil:
		t.Fatalf("mutant not detected:\n%s", out)
	case strings.Contains(string(out), "[build failed]"):
		t.Fatalf("mutant does not build:\n%s", out)
	}
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "--- FAIL") || strings.Contains(line, "panic:") || strings.Contains(line, "BROKEN") {
			t.Log(strings.TrimSpace(line))
		}
	}
}
