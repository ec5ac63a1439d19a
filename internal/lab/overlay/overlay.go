// Package overlay puts other lines in the place of some in the module's sources, for a build of the go command with -overlay:
// nothing in the source folder is changed. internal/lab/mutation builds mutants by it, internal/lab/tier/cluster programs that
// dial through a hub, and internal/lab/ablation switches mechanisms off.
package overlay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Replacement is one line of a source file, or several that follow each other, and what stands there instead.
type Replacement struct {
	Name string // what the change does, in a few words; where one is named by its list, it may be empty
	File string // path from the folder that the user of the list names: that of the test's package, or the module's root
	Old  string // text that stands exactly once in the file
	New  string
}

// ErrNotOnce is returned for a replacement whose old text does not stand exactly once in its file.
var ErrNotOnce = errors.New("the text to replace does not stand there exactly once")

// Apply returns the text of the file with the replacement made, or ErrNotOnce.
func (r Replacement) Apply(text string) (string, error) {
	if n := strings.Count(text, r.Old); n != 1 {
		return "", fmt.Errorf("%w: %q: %d times in %s:\n%s", ErrNotOnce, r.Name, n, r.File, r.Old)
	}
	return strings.Replace(text, r.Old, r.New, 1), nil
}

// Texts are changed sources by the absolute paths of the files that they stand for.
type Texts map[string]string

// Replace makes a replacement, in the text that stands for the file already if there is one. The file's path counts from root.
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

// Write writes the texts into a folder, with the list that the go command takes after -overlay, and returns the list's path.
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
