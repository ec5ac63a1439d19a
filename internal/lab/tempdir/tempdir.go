// Package tempdir makes folders for tests below a folder of the test's choice, where testing.TB's own TempDir offers only
// the system's one.
package tempdir

import (
	"os"
	"testing"
)

// Below returns an empty folder that is removed at the end of the test: below root, or, where the machine has no root or it
// can't be written, below the system's folder for temporary files.
func Below(t testing.TB, root string) string {
	t.Helper()
	dir, err := os.MkdirTemp(root, "dunetide-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Errorf("removing a folder of a test: %v", err)
		}
	})
	return dir
}
