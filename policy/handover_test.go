package policy

import (
	"reflect"
	"testing"
	"time"
)

// An operator's order to take an endpoint out overrides the list, for waiting messages and retries.
// One opposite order ends it, and the endpoint is cold then.
func TestOperatorOrderOverridesTheList(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	e := b.path().endpoints[0]
	b.arrive(1)
	b.step(OperatorOrder{Endpoint: 1, Out: true}, OperatorOrder{Endpoint: 1, Out: true})
	b.finish(Failed, 0) // its retry would be due soon
	b.arrive(1)
	for range 20 {
		b.wait(100 * time.Millisecond)
		b.step(Listed{Whole: true, Entries: []Entry{{Endpoint: 1, State: Ready}}})
		b.step(Listed{Entries: []Entry{{Endpoint: 1, State: Draining}}})
		b.step(Listed{Entries: []Entry{{Endpoint: 1, State: Ready}}})
	}
	if len(b.sent) > 0 {
		t.Fatalf("%d calls to an endpoint that an operator took out", len(b.sent))
	}
	b.step(OperatorOrder{Endpoint: 1})
	if !e.warming || e.warmUpStart != b.now || e.out || len(b.sent) != 1 {
		t.Errorf("back in service: warming %v from %v, down %v, %d calls; want it cold, with one call", e.warming, e.warmUpStart, e.out, len(b.sent))
	}
	warm := e.warmUpStart
	b.wait(time.Second)
	b.step(OperatorOrder{Endpoint: 1})
	if e.warmUpStart != warm {
		t.Error("a repeated order made it cold again")
	}
}

// A process that takes over counts the calls already sent, honors requested waits, and keeps
// slots for calls in flight until it learns how they ended.
func TestMemoryIsRestoredInAnotherSender(t *testing.T) {
	set := testSettings()
	set.Slots = 3
	b := newBench(t, set, 0, 2, 0)
	b.arrive(1)
	b.finish(Delivered, 0)
	b.wait(time.Second)
	b.arrive(1)
	b.finish(Full, 700*time.Millisecond)
	b.wait(100 * time.Millisecond)
	b.path().told = Allowance{Limit: 7, Left: 0.5}
	memory, told := b.s.Memory(), b.path().closedUntil

	next := &bench{t: t, s: New(set, 2), now: b.now}
	events := []Event{Listed{Whole: true, Entries: []Entry{{Endpoint: 1, State: Ready}, {Endpoint: 2, Zone: 1, State: Ready}}}, RestoredMemory{memory}}
	out := Past{Attempts: 1, MayRun: true, RanAt: b.now - time.Second, Out: true, OutTo: 2, OutSince: b.now - time.Second}
	for id := range MessageID(2) { // a bundle: one call, one slot
		events = append(events, Arrived{Message: 100 + id, Class: 1, GiveUpAt: b.now + 10*time.Second, Past: out})
	}
	next.id = 200
	next.step(events...)
	if got := next.s.Memory(); !reflect.DeepEqual(got, memory) {
		t.Errorf("restored memory\n%+v, want\n%+v", got, memory)
	}
	if next.s.inFlight != 1 || len(next.s.endpoints[2].calls) != 1 || len(next.sent) != 0 {
		t.Errorf("%d slots in use by %d calls, %d sent; want the one call in flight", next.s.inFlight, len(next.s.endpoints[2].calls), len(next.sent))
	}
	next.arrive(1)
	for next.now < told {
		if len(next.sent) > 0 {
			t.Fatal("a call was sent during the wait that the previous process was asked for")
		}
		next.wait(20 * time.Millisecond)
	}
	next.step(Ended{Message: 100, Endpoint: 2, Outcome: Delivered, Final: true, Took: time.Second},
		Ended{Message: 101, Endpoint: 2, Outcome: Reset, Took: time.Second})
	next.wait(10 * time.Second / 3)
	for _, s := range next.sent {
		if s.Message == 100 {
			t.Error("a message that was delivered was sent again")
		}
	}
	if len(next.sent) == 0 || next.s.messages[100] != nil {
		t.Errorf("%d calls after the wait; message 100 is %+v, want it removed", len(next.sent), next.s.messages[100])
	}
}
