package policy

import (
	"testing"
	"time"
)

// shareBench has a path with a listed rate of 10 calls per second.
func shareBench(t *testing.T) *bench {
	t.Helper()
	set := testSettings()
	set.Senders, set.Listing, set.Slots, set.MaxHeld = 1, RateNominal, 40, 200
	return newBench(t, set, 0, 1, 10)
}

// sentWithin returns how many calls are sent within a time, while messages wait and each call
// is answered at once.
func (b *bench) sentWithin(d time.Duration) int {
	n := 0
	for end := b.now + d; b.now < end; b.now += 20 * time.Millisecond {
		for len(b.s.open) < 3 {
			b.arrive(0)
		}
		b.step(Woken{})
		for len(b.sent) > 0 {
			n++
			b.finish(Delivered, 0)
		}
	}
	return n
}

// A decrease of the share takes effect at once, an increase after a wide window, except for a
// part that no other process has held since, which is in use again at once.
func TestShareShrinksAtOnceAndGrowsLate(t *testing.T) {
	b := shareBench(t)
	b.sentWithin(wideWindow)
	slice, listedRate := b.path().slice, b.path().listedRate
	b.step(ShareAssigned{Parts: 420, Whole: 840})
	if b.s.set.Slots != 20 || b.s.set.MaxHeld != 100 || b.s.set.Senders != 2 {
		t.Errorf("%d slots, %d held, %d senders at half of the node", b.s.set.Slots, b.s.set.MaxHeld, b.s.set.Senders)
	}
	if p := b.path(); p.slice != slice/2 || p.listedRate != listedRate/2 || p.minRate != listedRate/2 {
		t.Errorf("slice %v of %v, listed %v of %v at half of the node", p.slice, slice, p.listedRate, listedRate)
	}
	b.step(ShareAssigned{Parts: 840, Whole: 840})
	for range 10 { // repeated assignments must not delay the increase
		b.sentWithin(wideWindow / 10)
		b.step(ShareAssigned{Parts: 840, Whole: 840})
	}
	if b.s.set.Slots != 40 {
		t.Errorf("%d slots a wide window after the share grew, want 40", b.s.set.Slots)
	}
	b.step(ShareAssigned{Parts: 0, Whole: 840})
	for len(b.sent) > 0 { // calls in flight from before
		b.finish(Delivered, 0)
	}
	if n := b.sentWithin(2 * time.Second); n != 0 {
		t.Errorf("%d calls without a share", n)
	}
	if n := b.s.set.MaxHeld; n != 200 {
		t.Errorf("%d messages may be held without a share, want 200: messages that wait for a lease would be given up", n)
	}
	b.step(ShareAssigned{Parts: 840, Whole: 840, Kept: 840})
	if b.s.set.Slots != 40 || b.s.set.Senders != 1 {
		t.Errorf("%d slots and %d senders, want the kept share in use at once", b.s.set.Slots, b.s.set.Senders)
	}
}

// A decrease caps the increases that are pending, and each of several pending increases waits for
// a wide window of its own.
func TestShareDecreaseWhileAnIncreaseIsPending(t *testing.T) {
	b := shareBench(t)
	slots := func(want int, when string) {
		t.Helper()
		if b.s.set.Slots != want {
			t.Errorf("%d slots %s, want %d", b.s.set.Slots, when, want)
		}
	}
	b.step(ShareAssigned{Parts: 210, Whole: 840})
	b.step(ShareAssigned{Parts: 840, Whole: 840})
	b.wait(wideWindow / 2)
	b.step(ShareAssigned{Parts: 420, Whole: 840})
	b.wait(wideWindow / 2)
	slots(20, "when the smaller one is due")
	b.step(ShareAssigned{Parts: 630, Whole: 840})
	b.wait(wideWindow / 2)
	b.step(ShareAssigned{Parts: 840, Whole: 840})
	b.wait(wideWindow / 2)
	slots(30, "when the first increase is due")
	b.wait(wideWindow/2 - time.Millisecond)
	slots(30, "just before the second is due")
	b.wait(time.Millisecond)
	slots(40, "at the end")
	if b.s.requestWake(); len(b.s.share.pending) > 0 {
		t.Errorf("increases still pending: %v", b.s.share.pending)
	}
}

// After a period without a share, a process uses its kept share at once, but only as much as was
// in use before: a pending increase waits again.
func TestRetainedShareIsUsedAtOnce(t *testing.T) {
	b := shareBench(t)
	b.step(ShareAssigned{Parts: 210, Whole: 840})
	b.step(ShareAssigned{Parts: 840, Whole: 840})
	b.wait(wideWindow / 2)
	b.step(ShareAssigned{Whole: 840})
	b.step(ShareAssigned{Whole: 840})
	b.step(ShareAssigned{Parts: 840, Whole: 840, Kept: 840})
	if got := b.s.Share(); got != 0.25 {
		t.Errorf("%v of the node in use, want the quarter used before", got)
	}
	b.wait(wideWindow - time.Millisecond)
	if got := b.s.Share(); got != 0.25 {
		t.Errorf("%v of the node in use before a wide window has passed", got)
	}
	b.step(ShareAssigned{Whole: 840})
	b.step(ShareAssigned{Parts: 210, Whole: 840, Kept: 100})
	if got := b.s.Share(); got != 100.0/840 {
		t.Errorf("%v of the node in use, want the kept share only", got)
	}
	b.step(ShareAssigned{Parts: 840, Whole: 840, Alone: true})
	if got := b.s.Share(); got != 1 {
		t.Errorf("%v of the node in use without other processes, want 1", got)
	}
}

// Observations of another process of the node apply, unless this one has newer observations.
func TestObservationsOfAnotherProcessCount(t *testing.T) {
	b := shareBench(t)
	e := b.s.endpoints[1]
	if b.step(PeerObservation{Endpoint: 9, News: Down, At: b.now}); e.out {
		t.Error("an observation of another endpoint was applied")
	}
	b.sentWithin(time.Second) // it answers
	seen := b.now
	b.sentWithin(time.Second)
	if b.step(PeerObservation{Endpoint: 1, News: Down, At: seen}); e.out {
		t.Error("an older failure overrides a success of this process")
	}
	b.step(ShareAssigned{Parts: 420, Whole: 840})
	b.wait(time.Second)
	b.step(PeerObservation{Endpoint: 1, News: Down, At: b.now})
	if !e.out {
		t.Fatal("an outage seen by another process is ignored")
	}
	b.sent = nil // calls in flight from before
	b.arrive(0)
	if b.step(Woken{}); len(b.sent) > 0 {
		t.Error("sent at once into an outage seen by another process")
	}
	if b.step(PeerObservation{Endpoint: 1, News: BackCold, At: e.downSince - 1}); !e.out {
		t.Error("an older success ends the outage")
	}
	b.wait(time.Second)
	if b.step(PeerObservation{Endpoint: 1, News: BackCold, At: b.now}); e.out || !e.warming {
		t.Errorf("down %v, warming %v after another process saw it return cold", e.out, e.warming)
	}
}

func TestWaitOfAnotherProcessApplies(t *testing.T) {
	b := shareBench(t)
	b.step(PeerWait{Endpoint: 1, Until: b.now + 3*time.Second})
	b.step(PeerWait{Endpoint: 1, Until: b.now + time.Second}) // the longer one applies
	b.step(PeerWait{Endpoint: 9, Until: b.now + time.Second})
	if n := b.sentWithin(2900 * time.Millisecond); n > 0 {
		t.Errorf("%d calls during the wait", n)
	}
	if n := b.sentWithin(2 * time.Second); n == 0 {
		t.Error("no call after the wait")
	}
}

// A process that joins has used nothing yet, whatever its Kept says.
func TestNewProcessHasNoKeptShare(t *testing.T) {
	b := shareBench(t)
	b.step(ShareAssigned{Whole: 840})
	b.step(ShareAssigned{Parts: 280, Whole: 840})
	b.step(ShareAssigned{Parts: 210, Whole: 840, Kept: 210})
	if got := b.s.Share(); got != 0 {
		t.Errorf("%v of the node in use at once", got)
	}
	b.wait(wideWindow)
	if got := b.s.Share(); got != 0.25 {
		t.Errorf("%v of the node in use after a wide window", got)
	}
}

// Verdicts are sent only if the node has several processes.
func TestVerdictsGoToTheGroupOnly(t *testing.T) {
	for _, group := range []bool{false, true} {
		b := shareBench(t)
		if group {
			b.step(ShareAssigned{Parts: 840, Whole: 840, Kept: 840})
		}
		var told []News
		for i := range 400 {
			outcome := Unreachable
			if i > 100 {
				outcome = Delivered
			}
			b.arrive(0)
			for len(b.sent) > 0 {
				for _, a := range b.finish(outcome, 0) {
					if v, ok := a.(Verdict); ok {
						told = append(told, v.News)
					}
				}
			}
			b.wait(100 * time.Millisecond)
		}
		if got := len(told) > 0; got != group || group && (told[0] != Down || told[len(told)-1] != BackCold) {
			t.Errorf("in a group %v: verdicts %v", group, told)
		}
	}
}
