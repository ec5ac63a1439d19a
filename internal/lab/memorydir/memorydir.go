// Package memorydir makes folders in memory for tests of real processes that sync their files and hold limits in real
// time. On a machine whose disk is busy with other tests a sync takes seconds, which says nothing of the process under
// test. It is for tests only; what a disk may do to a process is played by the fault injection of vfstest and of the bench.
package memorydir

import (
	"os"
	"testing"
)

// root is the file system in memory that most machines have.
const root = "/dev/shm"

// New returns an empty folder that is removed at the end of a test: in memory, or, where the machine has no such file
// system, on its disk.
func New(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp(root, "dunetide-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Errorf("removing a folder in memory: %v", err)
		}
	})
	return dir
}
