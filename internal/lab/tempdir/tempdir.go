// Package tempdir creates directories for tests below a directory that the test chooses, whereas testing.TB.TempDir only uses the
// system's directory for temporary files.
package tempdir

import (
	"os"
	"testing"
)

// Below returns an empty directory that is removed at the end of the test: below root or, if root does not exist or is not writable,
// below the system's directory for temporary files.
func Below(t testing.TB, root string) string {
	t.Helper()
	dir, err := os.MkdirTemp(root, "dunetide-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Errorf("removing a test's directory: %v", err)
		}
	})
	return dir
}
