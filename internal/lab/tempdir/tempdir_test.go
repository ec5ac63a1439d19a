package tempdir

import (
	"os"
	"path/filepath"
	"testing"
)

func TestBelow(t *testing.T) {
	root := t.TempDir()
	var dir string
	t.Run("creates and removes", func(t *testing.T) {
		dir = Below(t, root)
		if filepath.Dir(dir) != root {
			t.Errorf("%s is not below %s", dir, root)
		}
		if err := os.WriteFile(filepath.Join(dir, "file"), nil, 0o600); err != nil {
			t.Error(err)
		}
	})
	if _, err := os.Stat(dir); !os.IsNotExist(err) {
		t.Errorf("%s was not removed: %v", dir, err)
	}
	other := Below(t, filepath.Join(root, "missing"))
	if info, err := os.Stat(other); err != nil || !info.IsDir() {
		t.Errorf("without the root: %v", err)
	}
}
