package policy

import (
	"testing"
	"time"
)

// The state of removed endpoints must be dropped once it no longer matters: it would grow
// without bound otherwise.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	set := testSettings()
	b := newBench(t, set, 0, 1, 10)
	keep := set.Classes[0].Deadline
	for _, c := range set.Classes {
		keep = max(keep, c.Deadline)
	}
	keep += set.WarmUp
	for i := range 1000 {
		e := Entry{Endpoint: EndpointID(100 + i), Destination: 1 + i, State: Ready, Rate: 10}
		b.step(Listed{Entries: []Entry{e}})
		e.State = Gone
		b.now += time.Second
		b.step(Listed{Entries: []Entry{e}})
	}
	most := int(keep/time.Second) + 2
	s := b.s
	if n := len(s.endpoints); n > most || len(s.tags) != n || len(s.dests) > n || len(s.destList) != len(s.dests) {
		t.Errorf("%d endpoints, %d tags, %d and %d destinations, want %d at most", n, len(s.tags), len(s.dests), len(s.destList), most)
	}
	b.now += keep
	b.step(Listed{})
	if len(s.endpoints) != 1 || len(s.dests) != 1 || s.dests[0] == nil {
		t.Errorf("%d endpoints and %d destinations at the end, want only the first of each", len(s.endpoints), len(s.dests))
	}
}

// Destinations known only from messages are dropped with the messages.
func TestUnknownDestinationsAreForgotten(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 10)
	for i := range 1000 {
		b.id++
		b.step(Arrived{Message: b.id, Destination: 1 + i, GiveUpAt: b.now + time.Second})
		b.step(Withdrawn{Message: b.id})
	}
	if n := len(b.s.dests); n != 1 || len(b.s.destList) != 1 {
		t.Errorf("%d destinations, want 1", n)
	}
}

// The state of a removed endpoint is kept while a call is in flight or it was removed recently:
// its calls count against the limit, and one that failed returns as down.
func TestRelevantEndpointStateIsKept(t *testing.T) {
	set := testSettings()
	b := newBench(t, set, 0, 1, 10)
	b.arrive(0)
	gone := Listed{Entries: []Entry{{Endpoint: 1, State: Gone}}}
	b.step(gone)
	b.now += time.Hour
	b.step(Listed{})
	if b.s.endpoints[1] == nil {
		t.Fatal("forgotten with a call in flight")
	}
	b.finish(Unreachable, 0)
	b.now += time.Hour
	b.step(gone) // listed as gone again
	b.step(Listed{})
	if b.s.endpoints[1] != nil {
		t.Error("not forgotten long after its removal")
	}

	b = newBench(t, set, 0, 1, 10)
	b.arrive(0)
	b.finish(Unreachable, 0)
	b.step(gone)
	b.now += time.Second
	b.step(Listed{Entries: []Entry{{Endpoint: 1, State: Ready}}})
	if e := b.s.endpoints[1]; e == nil || !e.out {
		t.Error("an endpoint that failed, was gone and returned soon is treated as healthy")
	}
}
