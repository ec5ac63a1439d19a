package overlay

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestApplyRequiresTheTextExactlyOnce(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		err              error
	}{
		{"once", "a old b", "a new b", nil},
		{"never", "a b", "", ErrNotOnce},
		{"twice", "old old", "", ErrNotOnce},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Replacement{Name: c.name, File: "f.go", Old: "old", New: "new"}.Apply(c.text)
			if got != c.want || !errors.Is(err, c.err) {
				t.Errorf("got %q, %v, want %q, %v", got, err, c.want, c.err)
			}
		})
	}
}

// Two replacements in one file are both applied in the built program, and the source file stays unchanged.
func TestReplacementsInOneFileAreCumulative(t *testing.T) {
	root := t.TempDir()
	const source = "package main\n\nfunc main() { println(\"one\", \"two\") }\n"
	for name, text := range map[string]string{"go.mod": "module overlaid\n\ngo 1.26.0\n", "main.go": source} {
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	texts := Texts{}
	for _, r := range []Replacement{{File: "main.go", Old: `"one"`, New: `"three"`}, {File: "main.go", Old: `"two"`, New: `"four"`}} {
		if err := texts.Replace(root, r); err != nil {
			t.Fatal(err)
		}
	}
	list, err := texts.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var content struct{ Replace map[string]string }
	text, err := os.ReadFile(list)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &content); err != nil || len(content.Replace) != 1 {
		t.Fatalf("%s, %v", text, err)
	}
	run := exec.CommandContext(t.Context(), "go", "run", "-overlay", list, ".")
	run.Dir = root
	out, err := run.CombinedOutput()
	if err != nil || strings.TrimSpace(string(out)) != "three four" {
		t.Errorf("%q, %v", out, err)
	}
	if text, err := os.ReadFile(filepath.Join(root, "main.go")); err != nil || string(text) != source {
		t.Errorf("the source file was changed to %q, %v", text, err)
	}
}

func TestReplaceReportsAMissingFile(t *testing.T) {
	texts := Texts{}
	if err := texts.Replace(t.TempDir(), Replacement{File: "none.go", Old: "a", New: "b"}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
	if len(texts) != 0 {
		t.Errorf("%d texts were changed", len(texts))
	}
}
