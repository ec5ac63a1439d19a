package fleet

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
)

// newClaimant returns a node "a" in incarnation 1 that nothing runs for: no transport, no clock. Its
// changes are collected in the slice.
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

// Another process of the name that is gone by now; the name was removed in incarnation 1, and that
// process has gone on in incarnation 2. Gossip announces a process without the words said of its name.
var (
	announced = Record{Name: "a", Incarnation: 2, Start: 7, Address: "127.1.0.2:7000"}
	removed   = Record{Name: "a", Incarnation: 2, Start: 7, Address: "127.1.0.2:7000", Removed: 1}
)

// A removal counts also where the announcement of a later incarnation is heard first: before the node
// has taken an incarnation above that one, while it takes it, and after that. It is told once.
func TestRemovalHeardAfterLaterIncarnation(t *testing.T) {
	type step struct {
		what  string
		hears []Record // before the claim is settled
		while []Record // while the node takes its new incarnation
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
			node.OnOld(func() error {
				for _, rec := range during {
					node.handleOwnRecord(rec)
				}
				return nil
			})
			settle := func(what string) {
				t.Helper()
				if !node.resolveClaim(t.Context()) {
					t.Fatalf("%s: it stays outside", what)
				}
			}
			for _, s := range c.steps {
				during = s.while
				for _, rec := range s.hears {
					node.handleOwnRecord(rec)
				}
				settle(s.what)
			}
			own := node.Self().Incarnation
			told := slices.Clone(*changes)
			if len(told) != 2 || told[0].To != Removed || told[1] != (Change{"a", own, Removed, Alive}) || told[0].Incarnation >= own {
				t.Errorf("in incarnation %d it was told %v", own, told)
			}
			if own <= removed.Incarnation {
				t.Errorf("incarnation %d, and others know %d", own, removed.Incarnation)
			}
			for range 3 { // others go on telling what they know
				node.handleOwnRecord(removed)
				node.handleOwnRecord(announced)
				settle("told again")
			}
			if node.Self().Incarnation != own || len(*changes) != len(told) {
				t.Errorf("told again: incarnation %d after %d, told %v", node.Self().Incarnation, own, *changes)
			}
		})
	}
}
