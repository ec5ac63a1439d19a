// Package mutation shows that tests find the faults that they are there for: it puts mutants, that is, lines that are wrong, into a
// package, one at a time, and runs the package's tests over each (mutation testing). Nothing on disk is changed.
//
// Packages keep their mutants as a list in a test file. One test checks at each run that all of them can still be made
// (CheckPresent); another one, which takes minutes and runs only if it is asked for, checks that each is found (Find).
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

// Mutant is a change of one line, or of some that follow each other, that tests should find. Its file counts from the folder of
// the test's package.
type Mutant = overlay.Replacement

// Options say which tests have to find each mutant, and how they run.
type Options struct {
	// Only is a part of a mutant's name, for the mutants that are tried; "1" is all.
	Only string
	// Args go to go test, before the package; Env is added to the environment.
	Args, Env []string
	// Within bounds one run of the tests.
	Within time.Duration
	// Parallel runs the tests of several mutants side by side, where one run does not take all cores.
	Parallel bool
}

// Requested returns the value of an environment variable that asks for mutants, for Options.Only. It skips the test if the variable
// is not set.
func Requested(t *testing.T, variable string) string {
	t.Helper()
	only := os.Getenv(variable)
	if only == "" {
		t.Skipf("%s is not set", variable)
	}
	return only
}

// CheckPresent fails for each mutant whose old text does not stand exactly once in its file, so that Find could not make it.
func CheckPresent(t *testing.T, mutants []Mutant) {
	t.Helper()
	for _, m := range mutants {
		if err := (overlay.Texts{}).Replace(".", m); err != nil {
			t.Error(err)
		}
	}
}

// Find fails for each mutant that no test finds. The tests run in the folder of the calling test's package.
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

// testFind runs the tests over one mutant, and fails if they pass, if the mutant does not build, or if they take too long.
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
		t.Fatal("it takes too long")
	case err == nil:
		t.Fatalf("not found:\n%s", out)
	case strings.Contains(string(out), "[build failed]"):
		t.Fatalf("it does not build:\n%s", out)
	}
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "--- FAIL") || strings.Contains(line, "panic:") || strings.Contains(line, "BROKEN") {
			t.Log(strings.TrimSpace(line))
		}
	}
}
