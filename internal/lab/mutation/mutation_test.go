package mutation

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/overlay"
)

// mutatedModule is a module whose test detects a wrong sum and no other fault.
var mutatedModule = map[string]string{
	"go.mod":  "module mutated\n\ngo 1.26.0\n",
	"main.go": "package mutated\n\n// Sum adds.\nfunc Sum(a, b int) int { return a + b }\n\n// Unused is not tested.\nfunc Unused() int { return 1 }\n",
	"main_test.go": "package mutated\n\nimport \"testing\"\n\nfunc TestSum(t *testing.T) {\n\tif Sum(1, 2) != 3 {\n" +
		"\t\tt.Error(\"wrong\")\n\t}\n}\n",
}

// variable requests a run of Find on mutatedModule; its value is the name of a mutant.
const variable = "MUTATION_TEST_MUTANT"

var mutants = []Mutant{
	{Name: "found", File: "main.go", Old: "a + b", New: "a - b"},
	{Name: "unnoticed", File: "main.go", Old: "return 1", New: "return 2"},
	{Name: "does not build", File: "main.go", Old: "a + b", New: "a +"},
	{Name: "absent", File: "main.go", Old: "a * b", New: "a"},
}

// TestOneMutant is run by TestFind in a separate process, because it is expected to fail.
func TestOneMutant(t *testing.T) {
	only := Requested(t, variable)
	dir := t.TempDir()
	for name, text := range mutatedModule {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	if only == "absent" {
		CheckPresent(t, mutants[3:])
		return
	}
	Find(t, mutants, Options{Only: only, Within: 2 * time.Minute})
}

func TestFind(t *testing.T) {
	for _, c := range []struct {
		mutant, says string
		passes       bool
	}{
		{"found", "--- FAIL: TestSum", true},
		{"unnoticed", "mutant not detected:", false},
		{"does not build", "mutant does not build:", false},
		{"absent", "does not occur exactly once", false},
	} {
		t.Run(c.mutant, func(t *testing.T) {
			t.Parallel()
			run := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^TestOneMutant$", "-test.v")
			run.Env = append(os.Environ(), variable+"="+c.mutant)
			out, err := run.CombinedOutput()
			var failed *exec.ExitError
			if err != nil && !errors.As(err, &failed) {
				t.Fatal(err)
			}
			if (err == nil) != c.passes || !strings.Contains(string(out), c.says) {
				t.Errorf("%v:\n%s", err, out)
			}
		})
	}
}

func TestCheckPresentAcceptsApplicableMutants(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "main.go"), []byte(mutatedModule["main.go"]), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Chdir(dir)
	CheckPresent(t, mutants[:3])
	if err := (overlay.Texts{}).Replace(".", mutants[3]); !errors.Is(err, overlay.ErrNotOnce) {
		t.Errorf("replacing an absent line: %v", err)
	}
}
