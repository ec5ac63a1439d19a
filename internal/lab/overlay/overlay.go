// Package overlay replaces lines of the module's sources for a build with the go command's -overlay flag; the source directory is
// not changed. internal/lab/mutation uses it to build mutants, internal/lab/tier/cluster to build programs that dial through a hub,
// and internal/lab/ablation to disable mechanisms.
package overlay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Replacement replaces one line, or several consecutive lines, of a source file.
type Replacement struct {
	Name string // short description of the change; may be empty if its list describes it
	File string // path relative to the directory that the user of the list passes: that of the test's package, or the module's root
	Old  string // must occur exactly once in the file
	New  string
}

// ErrNotOnce is returned for a replacement whose old text does not occur exactly once in its file.
var ErrNotOnce = errors.New("the text to replace does not occur exactly once in the file")

// Apply returns the text with the replacement made, or ErrNotOnce.
func (r Replacement) Apply(text string) (string, error) {
	if n := strings.Count(text, r.Old); n != 1 {
		return "", fmt.Errorf("%w: %q: %d times in %s:\n%s", ErrNotOnce, r.Name, n, r.File, r.Old)
	}
	return strings.Replace(text, r.Old, r.New, 1), nil
}

// Texts maps the absolute paths of source files to their replaced contents.
type Texts map[string]string

// Replace applies a replacement to a file, on top of earlier replacements of the same file. The file's path is relative to root.
func (t Texts) Replace(root string, r Replacement) error {
	path, err := filepath.Abs(filepath.Join(root, r.File))
	if err != nil {
		return err
	}
	text, changed := t[path]
	if !changed {
		read, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text = string(read)
	}
	if text, err = r.Apply(text); err != nil {
		return err
	}
	t[path] = text
	return nil
}

// Write writes the texts and the list for the -overlay flag into a directory, and returns the path of the list.
func (t Texts) Write(dir string) (list string, err error) {
	files := make(map[string]string, len(t))
	for path, text := range t {
		changed := filepath.Join(dir, fmt.Sprintf("%d.go", len(files)))
		if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
			return "", err
		}
		files[path] = changed
	}
	content, err := json.Marshal(map[string]map[string]string{"Replace": files})
	if err != nil {
		return "", err
	}
	list = filepath.Join(dir, "overlay.json")
	return list, os.WriteFile(list, content, 0o600)
}
