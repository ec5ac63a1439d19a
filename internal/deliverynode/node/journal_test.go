package node

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func mustOpen(t *testing.T, dir string, limit int64) (*journal.Journal, []*journal.Message) {
	t.Helper()
	j, pending, err := journal.Open(journal.Options{Folder: vfs.Dir(dir), Limit: limit, Log: quietLog()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, pending
}

func newMessage(id string, size int) *journal.Message {
	return &journal.Message{ID: id, Key: "k-" + id, Dest: 7, Deadline: time.Now().Add(20 * time.Second), Body: make([]byte, size)}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// The list that a process starts with may be older than what an earlier process received: an endpoint that was draining
// then must get no new calls.
func TestDrainingEndpointsAreKnownAfterARestart(t *testing.T) {
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, journal.MinDisk)
	l := &loop{names: names{kinds: map[string]int{"m": 0}, zones: map[string]int{"a": 0}}, log: quietLog(), journal: j,
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{}, caller: newCaller(Config{}, quietLog(), nil)}
	list := func(complete bool, phases ...string) list {
		in := list{Complete: complete}
		for i, phase := range phases {
			if phase != "" {
				in.Members = append(in.Members, member{ID: string(rune('a' + i)), Flavor: "m", Locality: "a", Phase: phase})
			}
		}
		return in
	}
	l.applyList(list(true, "active", "active", "active", "active"))
	l.applyList(list(false, "leaving", "left", "leaving"))
	l.applyList(list(true, "leaving", "left", "active"))
	must(t, j.Close())
	j, _ = mustOpen(t, dir, journal.MinDisk)
	for name, want := range map[string]bool{"a": true, "b": true, "c": false, "d": true, "e": false} {
		if j.IsLeaving(name) != want {
			t.Errorf("%s: leaving is %v after a restart, want %v", name, !want, want)
		}
	}
}
