// Package wrongline shows that tests find what they are there for: it puts lines that are wrong into a
// package, one at a time, and runs the package's tests over each. Nothing on disk is changed.
package mutation

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Line is a name, a file of this package or, by its path from here, of another one, one line of it, or some, and what
// stands there instead.
type Line [4]string

// Options say which tests have to find each.
type Options struct {
	// Only is a part of a line's name; "1": all.
	Only string
	// Args go to go test, before the package; Env is added to the environment.
	Args, Env []string
	// Within bounds one run.
	Within time.Duration
	// Side by side, where one run does not take all cores.
	Parallel bool
}

// Asked is which lines a variable of the environment asks for, as Options.Only. A test that is not asked for is skipped.
func Asked(t *testing.T, variable string) string {
	t.Helper()
	only := os.Getenv(variable)
	if only == "" {
		t.Skipf("%s is not set", variable)
	}
	return only
}

// Check fails for each line that does not stand once in its file, so that Find could not replace it.
func Check(t *testing.T, lines []Line) {
	for _, w := range lines {
		text, err := os.ReadFile(w[1])
		if err != nil {
			t.Error(err)
			continue
		}
		if n := strings.Count(string(text), w[2]); n != 1 {
			t.Errorf("%q stands %d times in %s:\n%s", w[0], n, w[1], w[2])
		}
	}
}

// Find fails for each line that no test finds. The tests run in the folder of the calling test's package.
func Find(t *testing.T, lines []Line, o Options) {
	for _, w := range lines {
		if o.Only != "1" && !strings.Contains(w[0], o.Only) {
			continue
		}
		t.Run(w[0], func(t *testing.T) {
			if o.Parallel {
				t.Parallel()
			}
			find(t, w, o)
		})
	}
}

func find(t *testing.T, w Line, o Options) {
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	file, line, instead := w[1], w[2], w[3]
	here, err := filepath.Abs(file)
	must(err)
	text, err := os.ReadFile(here)
	must(err)
	if n := strings.Count(string(text), line); n != 1 {
		t.Fatalf("the line stands %d times in %s", n, file)
	}
	dir := t.TempDir()
	changed, overlay := filepath.Join(dir, filepath.Base(file)), filepath.Join(dir, "overlay.json")
	must(os.WriteFile(changed, []byte(strings.Replace(string(text), line, instead, 1)), 0o600))
	list, err := json.Marshal(map[string]map[string]string{"Replace": {here: changed}})
	must(err)
	must(os.WriteFile(overlay, list, 0o600))
	ctx, cancel := context.WithTimeout(context.Background(), o.Within)
	defer cancel()
	args := append([]string{"test", "-overlay", overlay, "-count=1", "-failfast", "-vet=off"}, o.Args...)
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
