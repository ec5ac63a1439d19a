package lease

import (
	"fmt"
	"testing"
	"time"
)

// A note outlasts its lease, only the holder can set it, and if there are too many, the oldest note of a free name is dropped.
func TestNoteOutlastsItsLease(t *testing.T) {
	const maxNotes = 20
	b := newStateMachine(0, time.Minute, maxNotes, nil)
	b.applyLapses([]lapse{{blocked, 1, 0}})
	number := uint64(0)
	put := func(node string, incarnation uint64, o op) outcome {
		t.Helper()
		number++
		out, _, err := b.applyRequest(&request{node, incarnation, number, []op{o}})
		if err != nil {
			t.Fatal(err)
		}
		return out[0]
	}
	took := func(name, note string) op {
		return op{Do: opTake, Name: name, Length: time.Second, SetNote: note != "", Note: []byte(note)}
	}
	first := put("a", 1, took("x", ""))
	if out := put("b", 1, took("x", "from b")); out.Mine || len(b.state.Notes) != 0 {
		t.Errorf("a node without the lease set its note: %+v", out)
	}
	if out := put("a", 1, took("x", "from a")); string(out.Note) != "from a" {
		t.Errorf("%+v", out)
	}
	put("a", 1, op{Do: opGive, Name: "x", Token: first.Token})
	if out := put("b", 1, took("x", "")); !out.Mine || string(out.Note) != "from a" {
		t.Errorf("the next holder got %+v", out)
	}
	for i := range maxNotes + 5 {
		name := fmt.Sprint("y", i)
		out := put("c", 1, took(name, ""))
		put("c", 1, took(name, "n"))
		put("c", 1, op{Do: opGive, Name: name, Token: out.Token})
	}
	if len(b.state.Notes) != maxNotes || string(b.state.Notes["x"].Text) != "from a" || b.state.Notes["y0"].Text != nil {
		t.Errorf("%d notes, the note of a held name is %q", len(b.state.Notes), b.state.Notes["x"].Text)
	}
	text, err := b.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := readStateMachine(text)
	if err != nil || string(again.state.Notes["x"].Text) != "from a" {
		t.Errorf("the snapshot has %q, %v", again.state.Notes["x"].Text, err)
	}
	if out := put("b", 1, op{Do: opGive, Name: "x", Token: b.state.Leases["x"].Token, SetNote: true}); out.Mine || b.state.Notes["x"].Text != nil {
		t.Error("a removed note is still there")
	}
}

// An incarnation takes a lease over from an earlier one of its node only if the request states that the earlier one has ended.
func TestNextIncarnationTakesOnlyWhatHasEnded(t *testing.T) {
	for _, c := range []struct {
		name               string
		holder, asker      string
		was, is, since     uint64
		succeeds, renewing bool
	}{
		{"earlier incarnation has ended", "a", "a", 3, 4, 2, true, false},
		{"the holder is the first that has ended", "a", "a", 3, 4, 3, true, false},
		{"holder before the first that has ended", "a", "a", 3, 5, 4, false, false},
		{"no incarnation has ended", "a", "a", 3, 4, 0, false, false},
		{"another node", "b", "a", 3, 4, 1, false, false},
		{"itself", "a", "a", 4, 4, 1, false, true},
	} {
		b := newStateMachine(0, time.Minute, 10, nil)
		b.applyLapses([]lapse{{blocked, 1, 0}})
		first, _, err := b.applyRequest(&request{c.holder, c.was, 1, []op{{Do: opTake, Name: "x", Length: time.Second}}})
		if err != nil {
			t.Fatal(err)
		}
		then, changed, err := b.applyRequest(&request{c.asker, c.is, 2, []op{{Do: opTake, Name: "x", Length: time.Second, Since: c.since}}})
		if err != nil {
			t.Fatal(err)
		}
		grown := then[0].Token > first[0].Token
		if then[0].Mine != (c.succeeds || c.renewing) || grown != c.succeeds || (len(changed) == 1) != then[0].Mine {
			t.Errorf("%s: %+v after %+v", c.name, then, first)
		}
		if h := b.state.Nodes[b.index["a"]].Holds + map[bool]int{true: b.state.Nodes[b.index[c.holder]].Holds}[c.holder != "a"]; h != 1 {
			t.Errorf("%s: %d leases are counted", c.name, h)
		}
	}
}
