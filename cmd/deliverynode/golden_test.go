package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
)

// The report of check on state folders of an earlier version, whose nodes were killed with 40 live messages each, is the same as
// that of the earlier version. check does not change the folders.
func TestGoldenCheckOfKilledNodes(t *testing.T) {
	for name, flags := range map[string][]string{"plain": nil, "sync": {"-sync"}, "group": {"-group", "2", "-sync"}} {
		t.Run(name, func(t *testing.T) {
			folder := filepath.Join("killed-"+name, "state")
			if golden.Missing(folder) {
				makeKilledNode(t, filepath.Join(golden.Dir, folder), flags)
			}
			before := folderContent(t, filepath.Join(golden.Dir, folder))
			var out bytes.Buffer
			status := check(filepath.Join(golden.Dir, folder), &out)
			fmt.Fprintln(&out, "exit status", status)
			golden.Compare(t, filepath.Join("killed-"+name, "check.txt"), out.Bytes())
			if status != 0 || !strings.Contains(out.String(), " 40 messages owed") {
				t.Errorf("exit status %d:\n%s", status, out.String())
			}
			if after := folderContent(t, filepath.Join(golden.Dir, folder)); len(after) != len(before) {
				t.Errorf("%d files before, %d after", len(before), len(after))
			} else {
				for path, text := range before {
					if !bytes.Equal(after[path], text) {
						t.Errorf("%s was changed", path)
					}
				}
			}
		})
	}
}

// makeKilledNode runs a node whose endpoint never answers, submits 40 messages, kills the node, and copies its state folder.
func makeKilledNode(t *testing.T, to string, flags []string) {
	t.Helper()
	p := newPlatform(t)
	p.settings, p.flags = chargeSettings, flags
	p.answer = func(string) int { return 0 }
	n := p.start()
	for i := range 40 {
		class := []string{"charge", "status"}[i%2]
		if status := p.submit(class, fmt.Sprint(class, i)); status != http.StatusAccepted {
			t.Fatalf("message %d: status %d", i, status)
		}
	}
	time.Sleep(200 * time.Millisecond) // some have attempts in flight; which ones does not matter
	must(t, n.cmd.Process.Signal(syscall.SIGKILL))
	_ = n.wait(t) // killed
	for path, text := range folderContent(t, p.dir) {
		must(t, os.MkdirAll(filepath.Dir(filepath.Join(to, path)), 0o755))
		must(t, os.WriteFile(filepath.Join(to, path), text, 0o644))
	}
}

// folderContent returns the regular files below a folder.
func folderContent(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	all := map[string][]byte{}
	must(t, filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		all[name], err = os.ReadFile(path)
		return err
	}))
	return all
}
