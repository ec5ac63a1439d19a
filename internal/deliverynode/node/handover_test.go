package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The state folder may lie deeper than the address of a Unix socket may be long.
func TestHandoverInAFolderWithALongPath(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	must(t, os.Mkdir(dir, 0o700))
	for range 2 { // the second one in place of what the first one left
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
