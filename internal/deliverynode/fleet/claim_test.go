package fleet

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
)

// newClaimant returns a node "a" in incarnation 1 that is not running: it has no transport, and its clock stands
// still. Its changes are collected in the slice.
func newClaimant(t *testing.T) (*Fleet, *[]Change) {
	t.Helper()
	const address = "127.1.0.1:7000"
	node, err := New(Options{
		File:   File{Fleet: "test", Nodes: []Node{{Name: "a", Address: address, Listen: address}}},
		Name:   "a",
		Folder: vfs.Dir(t.TempDir()),
		Clock:  func() time.Duration { return 0 },
		Log:    slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	node.id = identity{Fleet: "test", Name: "a", Incarnation: 1}
	node.table = NewTable(Record{Name: "a", Incarnation: 1, Start: 9, Address: address}, 0)
	changes := new([]Change)
	node.OnChange(func(c Change) { *changes = append(*changes, c) })
	return node, changes
}

// Records of another process of the same name, which has ended. The name was removed in incarnation 1, and that
// process continued in incarnation 2. Gossip's announcement of a process does not include departures.
var (
	announced = Record{Name: "a", Incarnation: 2, Start: 7, Address: "127.1.0.2:7000"}
	removed   = Record{Name: "a", Incarnation: 2, Start: 7, Address: "127.1.0.2:7000", Removed: 1}
)

// A removal takes effect even if a later incarnation was announced first: whether it arrives before, while or
// after the node takes an incarnation above the announced one. The handlers are notified once.
func TestRemovalReceivedAfterLaterIncarnation(t *testing.T) {
	type step struct {
		what     string
		received []Record // received before the claim is resolved
		while    []Record // received while the node takes its new incarnation
	}
	for _, c := range []struct {
		what  string
		steps []step
	}{
		{"removal alone", []step{{"removal", []Record{removed}, nil}}},
		{"announcement first", []step{{"both", []Record{announced, removed}, nil}}},
		{"removal first", []step{{"both", []Record{removed, announced}, nil}}},
		{"removal while it is raised", []step{{"announcement", []Record{announced}, []Record{removed}}, {"removal", nil, nil}}},
		{"removal after it was raised", []step{{"announcement", []Record{announced}, nil}, {"removal", []Record{removed}, nil}}},
	} {
		t.Run(c.what, func(t *testing.T) {
			node, changes := newClaimant(t)
			var during []Record
			node.OnStaleFolder(func() error {
				for _, rec := range during {
					node.handleOwnRecord(rec)
				}
				return nil
			})
			resolve := func(what string) {
				t.Helper()
				if !node.resolveClaim(t.Context()) {
					t.Fatalf("%s: the node stays outside", what)
				}
			}
			for _, s := range c.steps {
				during = s.while
				for _, rec := range s.received {
					node.handleOwnRecord(rec)
				}
				resolve(s.what)
			}
			own := node.Self().Incarnation
			notified := slices.Clone(*changes)
			if len(notified) != 2 || notified[0].To != Removed || notified[1] != (Change{"a", own, Removed, Alive}) || notified[0].Incarnation >= own {
				t.Errorf("in incarnation %d its changes are %v", own, notified)
			}
			if own <= removed.Incarnation {
				t.Errorf("incarnation %d, but other nodes know %d", own, removed.Incarnation)
			}
			for range 3 { // other nodes repeat their records
				node.handleOwnRecord(removed)
				node.handleOwnRecord(announced)
				resolve("repeated records")
			}
			if node.Self().Incarnation != own || len(*changes) != len(notified) {
				t.Errorf("repeated records: incarnation %d after %d, changes %v", node.Self().Incarnation, own, *changes)
			}
		})
	}
}
