package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The path of the state folder may be longer than the address of a Unix socket can be.
func TestHandoverInAFolderWithALongPath(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	must(t, os.Mkdir(dir, 0o700))
	for range 2 { // the second listener replaces the socket of the first
		l, err := listenForHandover(dir)
		must(t, err)
		conn, err := dialHandover(dir)
		must(t, err)
		other, err := l.Accept()
		must(t, err)
		must(t, conn.Close())
		must(t, other.Close())
		must(t, l.Close())
	}
}
