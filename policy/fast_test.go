package policy

import (
	"math"
	"testing"
	"time"
)

// fastBench has a path with a listed rate of 5,000 calls per second.
func fastBench(t *testing.T) *bench {
	t.Helper()
	set := testSettings()
	set.Senders, set.Listing, set.Slots, set.MaxHeld = 1, RateNominal, 400, 8000
	return newBench(t, set, 0, 1, 5000)
}

// delivered returns how many of the messages that arrive at a rate are delivered within a time. Each
// call is answered after two ticks, every fullEach-th one with Full (none if fullEach is 0).
func (b *bench) delivered(rate float64, d time.Duration, fullEach int) int {
	type out struct {
		at Time
		s  Send
	}
	var calls []out
	n, sent, due := 0, 0, 0.0
	for end := b.now + d; b.now < end; b.now += b.s.set.Tick {
		var events []Event
		for due += rate * b.s.set.Tick.Seconds(); due >= 1; due-- {
			b.id++
			events = append(events, Arrived{Message: b.id, GiveUpAt: b.now + b.s.set.Classes[0].Deadline})
		}
		for len(calls) > 0 && b.now >= calls[0].at {
			c := calls[0]
			calls = calls[1:]
			e := Ended{Message: c.s.Message, Endpoint: c.s.Endpoint, Outcome: Delivered, Final: true, Took: 2 * b.s.set.Tick}
			if sent++; fullEach > 0 && sent%fullEach == 0 {
				e.Outcome, e.Final = Full, false
			} else {
				n++
			}
			events = append(events, e)
		}
		for _, a := range b.step(append(events, Woken{})...) {
			if s, ok := a.(Send); ok {
				calls = append(calls, out{b.now + 2*b.s.set.Tick, s})
			}
		}
		b.sent = nil
	}
	return n
}

// A path is not limited to one call per step.
func TestSeveralCallsPerStep(t *testing.T) {
	for _, rate := range []float64{100, 1000, 4500} {
		if n := fastBench(t).delivered(rate, 4*time.Second, 0); float64(n) < 0.97*4*rate {
			t.Errorf("%d delivered of %v per second for 4 s", n, rate)
		}
	}
}

// Several calls per step must not exceed the slice in a window, nor bunch up much within it.
func TestManyCallsPerStepKeepTheSlice(t *testing.T) {
	b := fastBench(t)
	b.delivered(9000, 4*time.Second, 0)
	if n := b.path().narrow.Count(b.now); float64(n) > math.Ceil(b.path().slice) || b.path().slice > 1.01*5000*narrowWindow.Seconds() {
		t.Errorf("%d calls in a window of %v", n, b.path().narrow.Window)
	}
	part, n := burstTicks*b.s.set.Tick, 0
	for _, at := range b.path().narrow.Times {
		if at > b.now-part {
			n++
		}
	}
	if most := 5000 / spread * part.Seconds(); float64(n) > most {
		t.Errorf("%d calls in %v, want at most %v for an evenly used slice", n, part, most)
	}
}

// An isolated Full among many successes costs little; many of them close the path.
func TestSingleRefusalAmongManySuccesses(t *testing.T) {
	for _, rate := range []float64{300, 1000, 4000} {
		if n := fastBench(t).delivered(rate, 8*time.Second, 100); float64(n) < 0.95*8*rate {
			t.Errorf("%d delivered of %v per second for 8 s, with one Full in 100 calls", n, rate)
		}
	}
	b := fastBench(t)
	b.delivered(1000, 4*time.Second, 100)
	if n := b.delivered(1000, 4*time.Second, 4); n > 2000 {
		t.Errorf("%d calls in 4 s with one Full in four calls: the path is not closed", n)
	}
}

// Two consecutive failures among hundreds of calls in flight together are no outage. If most calls
// fail, or there is no success for longer than a response takes, it is one.
func TestTwoFailuresAmongMany(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails func(n int) bool // whether the nth call to end fails, counted from 0
		cold  bool
	}{
		{"none", func(int) bool { return false }, false},
		{"two in a row", func(n int) bool { return n == 300 || n == 301 }, false},
		{"two in a row, twice", func(n int) bool { return n == 300 || n == 301 || n == 340 || n == 341 }, false},
		{"most of them", func(n int) bool { return n >= 300 && n < 400 && n%4 != 0 }, true},
		{"all for a while", func(n int) bool { return n >= 300 && n < 322 }, true},
	} {
		set := restartSettings()
		set.Slots, set.Senders = 400, 1
		s := New(set, 1)
		start := time.Hour
		events := []Event{Listed{Whole: true, Entries: []Entry{{Endpoint: 1, State: Ready, Rate: 5000}}}}
		type out struct {
			at   Time
			send Send
		}
		var outs []out
		next, ended, cold := MessageID(1), 0, false
		for now := start; now < start+14*time.Second; now += 5 * time.Millisecond {
			for range 5 { // 1,000 per second
				events = append(events, Arrived{Message: next, GiveUpAt: now + 8*time.Second})
				next++
			}
			for len(outs) > 0 && outs[0].at <= now {
				o := outs[0]
				outs = outs[1:]
				how := Delivered
				if c.fails(ended) {
					how = Failed
				}
				ended++
				events = append(events, Ended{Message: o.send.Message, Endpoint: 1, Outcome: how, Final: true, Took: 20 * time.Millisecond})
			}
			for _, send := range sendsOf(s.Step(now, append(events, Woken{}), nil)) {
				outs = append(outs, out{now + 20*time.Millisecond, send})
			}
			events = nil
			cold = cold || s.endpoints[1].warming
		}
		if cold != c.cold || ended < 300 {
			t.Errorf("%s: cold %v after %d calls, want %v", c.name, cold, ended, c.cold)
		}
	}
}
