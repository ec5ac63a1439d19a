package policy

import (
	"math"
	"slices"
	"testing"
	"time"

	"dunetide/internal/platform/sendlog"
)

// bench drives one sender step by step; calls end when the test ends them.
type bench struct {
	t    *testing.T
	s    *Sender
	now  Time
	id   MessageID
	sent []Send // attempts in flight
}

// newBench starts a sender with one destination 0, which has the given number of endpoints 1, 2, ...
func newBench(t *testing.T, set Settings, kind, endpoints int, rate float64) *bench {
	t.Helper()
	b := &bench{t: t, s: New(set, 1), now: time.Hour}
	var list []Entry
	for i := range endpoints {
		list = append(list, Entry{Endpoint: EndpointID(i + 1), Kind: kind, Zone: i % 2, State: Ready, Rate: rate})
	}
	b.step(Listed{Whole: true, Entries: list})
	return b
}

func (b *bench) step(events ...Event) []Action {
	actions := b.s.Step(b.now, events, nil)
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			b.sent = append(b.sent, s)
		}
	}
	return actions
}

func (b *bench) arrive(class int) []Action {
	b.id++
	return b.step(Arrived{Message: b.id, Class: class, GiveUpAt: b.now + b.s.set.Classes[class].Deadline})
}

// finish ends the oldest attempt in flight.
func (b *bench) finish(o Outcome, wait time.Duration) []Action {
	b.t.Helper()
	if len(b.sent) == 0 {
		b.t.Fatal("no attempt is in flight")
	}
	s := b.sent[0]
	b.sent = b.sent[1:]
	return b.step(Ended{Message: s.Message, Endpoint: s.Endpoint, Outcome: o, Wait: wait,
		Final: o == Delivered, Took: 100 * time.Millisecond})
}

func (b *bench) wait(d time.Duration) { b.now += d; b.step(Woken{}) }

func (b *bench) path() *path { return b.s.destList[0].paths[0] }

func count[T Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func TestSendLogDropsEntriesAfterAWindow(t *testing.T) {
	l := sendlog.Log{Window: 2 * time.Second}
	l.Record(10 * time.Second)
	if n := l.Count(12*time.Second - 1); n != 1 {
		t.Errorf("%d entries just before a window has passed, want 1", n)
	}
	if n := l.Count(12 * time.Second); n != 0 {
		t.Errorf("%d entries exactly a window later, want 0", n)
	}
}

func TestSliceFromListedRate(t *testing.T) {
	set := testSettings()
	set.Listing, set.Senders = RateNominal, 4
	if got := newBench(t, set, 0, 1, 12).path().slice; got != 6 {
		t.Errorf("slice %v for 12 calls per second over 4 senders, want 6 in 2 s", got)
	}
	// One call in 2 s from each of four senders would be twice the limit: the window must be longer.
	if p := newBench(t, set, 0, 1, 1).path(); p.slice != 0.5 || p.narrow.Window < 2*time.Second {
		t.Errorf("slice %v in a window of %v for a low rate, want half a call, in a window stretched to a whole one",
			p.slice, p.narrow.Window)
	}
	if got := newBench(t, testSettings(), 0, 1, 12).path().slice; !math.IsInf(got, 1) {
		t.Errorf("slice %v without listed rates, want infinite", got)
	}
}

// With many senders a slice has a fraction of a call. What the windows allow in a minute
// must match the listed rate, not the slice rounded down to whole calls.
func TestFractionsOfACallAreNotLost(t *testing.T) {
	set := testSettings()
	set.Listing, set.Senders = RateNominal, 80
	for _, rate := range []float64{53, 81, 90, 210} {
		b := newBench(t, set, 0, 1, rate)
		p, sent := b.path(), 0.0
		for end := b.now + time.Minute; b.now < end; b.now += 10 * time.Millisecond {
			b.s.now = b.now
			if b.s.hasCapacity(p) {
				p.narrow.Record(b.now)
				p.wide.Record(b.now)
				sent++
			}
		}
		if part := sent * 80 / 60 / rate; part < 0.93 || part > 1.1 {
			t.Errorf("80 senders at full load send %.2f of a limit of %v per second", part, rate)
		}
	}
}

func TestBothWindowsLimitCalls(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	p := b.path()
	p.slice = 3
	for range 3 {
		p.narrow.Record(b.now)
	}
	b.s.now = b.now + narrowWindow - 1
	if b.s.hasCapacity(p) {
		t.Error("a call is allowed with the narrow count at the slice")
	}
	b.s.now++
	if !b.s.hasCapacity(p) {
		t.Error("no call is allowed once the oldest entries are a window old")
	}
	for range 18 {
		p.wide.Record(b.s.now)
	}
	if b.s.hasCapacity(p) {
		t.Error("a call is allowed with the wide count at six slices")
	}
}

func TestCallsAreRecordedInBothWindowsOncePerBundle(t *testing.T) {
	b := newBench(t, testSettings(), 1, 1, 0)
	p := b.path()
	p.closedUntil = b.now + 1
	for range 3 {
		b.arrive(1)
	}
	b.wait(time.Millisecond)
	if len(b.sent) != 3 || len(p.narrow.Times) != 1 || len(p.wide.Times) != 1 || b.s.inFlight != 1 {
		t.Errorf("%d sends, window counts %d and %d, %d in flight; want one call with 3 messages", len(b.sent),
			len(p.narrow.Times), len(p.wide.Times), b.s.inFlight)
	}
}

// A call that was never sent, because its message had ended or no slot was free, releases
// the capacity that it had reserved.
func TestCallsNeverSentUseNoCapacity(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	p := b.path()
	p.slice = 1
	for _, o := range []Outcome{Moot, Moot, Full} {
		b.arrive(0)
		if len(b.sent) != 1 {
			t.Fatalf("no capacity after calls that were never sent: %d and %d in the windows", len(p.narrow.Times), len(p.wide.Times))
		}
		s := b.sent[0]
		b.sent = nil
		b.step(Ended{Message: s.Message, Endpoint: s.Endpoint, Outcome: o, Final: o == Moot})
	}
	if len(p.narrow.Times) != 1 || len(p.wide.Times) != 1 {
		t.Errorf("%d and %d in the windows, want only the rejected call", len(p.narrow.Times), len(p.wide.Times))
	}
}

func TestFirstFullSetsTheSliceLaterOnesCutIt(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	p := b.path()
	for range 3 {
		b.arrive(1)
		b.finish(Delivered, 0)
	}
	b.arrive(1)
	b.finish(Full, 0)
	if p.slice != 4 {
		t.Fatalf("slice %v after the first Full, want the narrow count 4", p.slice)
	}
	b.wait(3 * time.Second)
	b.finish(Full, 0)
	if want := 4 * jamCut; math.Abs(p.slice-want) > 1e-9 {
		t.Errorf("slice %v after a second consecutive Full, want %v", p.slice, want)
	}
	p.slice, p.sliceBeforeFulls = 1/float64(b.s.set.Senders), 0
	p.wide.Times = nil // the wide window still counts the calls from before the cut
	b.wait(4 * time.Second)
	b.finish(Full, 0)
	if p.slice < 1/float64(b.s.set.Senders) {
		t.Errorf("slice %v fell below one call for all senders", p.slice)
	}
}

// Calls in flight together that end as Full cut the slice once, whichever endpoints of the
// destination rejected them.
func TestFullsOfCallsInFlightTogetherCutOnce(t *testing.T) {
	b := newBench(t, testSettings(), 0, 3, 0)
	b.path().slice = 30
	for range 3 {
		b.arrive(0)
		b.now += 100 * time.Millisecond
	}
	if len(b.sent) != 3 || b.sent[0].Endpoint == b.sent[1].Endpoint {
		t.Fatalf("sends %v, want three to different endpoints", b.sent)
	}
	out := b.sent
	for _, s := range out {
		b.step(Ended{Message: s.Message, Endpoint: s.Endpoint, Outcome: Full, Wait: time.Second})
	}
	if got, want := b.path().slice, 30*sliceCut; math.Abs(got-want) > 1e-9 {
		t.Errorf("slice %v after three Fulls of calls in flight together, want %v", got, want)
	}
}

func TestSuccessGrowsOnlyALimitingSlice(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	p := b.path()
	p.slice = 5
	b.arrive(0)
	b.finish(Delivered, 0)
	if p.slice != 5 {
		t.Errorf("slice grew to %v although it is not the limiting factor", p.slice)
	}
	p.slice = 1
	b.wait(3 * time.Second)
	b.arrive(0)
	b.finish(Delivered, 0)
	if math.Abs(p.slice-1-growthShare) > 1e-9 {
		t.Errorf("slice %v, want %v", p.slice, 1+growthShare)
	}
}

// After a cut the wide window alone may limit the rate for seconds. Successes then must
// grow the slice too.
func TestSuccessGrowsASliceThatLimitsInTheWideWindow(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	p := b.path()
	p.slice = 10
	for i := range 60 - 1 {
		p.wide.Record(b.now - wideWindow/2 + time.Duration(i)*time.Millisecond)
	}
	b.arrive(0)
	b.finish(Delivered, 0)
	if p.slice != 10+sliceGrowth {
		t.Errorf("slice %v, want %v", p.slice, 10+sliceGrowth)
	}
}

func TestCallsUnderALimitedSliceAreSpread(t *testing.T) {
	b := newBench(t, testSettings(), 0, 2, 0)
	b.path().slice = 4
	b.arrive(0)
	b.arrive(0)
	if len(b.sent) != 1 {
		t.Fatalf("%d sends at once under a slice of 4, want 1", len(b.sent))
	}
	b.wait(narrowWindow / 4)
	if len(b.sent) != 2 {
		t.Errorf("%d sends after a quarter of the window, want 2", len(b.sent))
	}
}

func TestRequestedWaitClosesTheWholeDestination(t *testing.T) {
	b := newBench(t, testSettings(), 0, 2, 0)
	b.arrive(0)
	b.finish(Full, time.Second)
	b.arrive(0)
	b.wait(time.Second - 1)
	if len(b.sent) != 0 {
		t.Fatal("a send during the requested wait")
	}
	b.wait(narrowWindow)
	if len(b.sent) == 0 {
		t.Error("nothing sent after the wait")
	}
}

// A message of a bundle may time out before the others end with a requested wait.
func TestWaitAfterTheFirstOutcomeOfABundle(t *testing.T) {
	b := newBench(t, testSettings(), 1, 1, 0)
	b.path().closedUntil = b.now + 1
	b.arrive(1)
	b.arrive(1)
	b.wait(time.Millisecond)
	b.finish(TimedOut, 0)
	b.finish(Full, 3*time.Second)
	if until := b.path().closedUntil; until < b.now+3*time.Second {
		t.Errorf("closed until %v, want 3 s from %v on", until, b.now)
	}
}

func TestWaitOfOneRouteLeavesTheOther(t *testing.T) {
	b := newBench(t, testSettings(), 2, 2, 0)
	b.arrive(0)
	first := b.sent[0].Endpoint
	b.finish(Full, 2*time.Second)
	if len(b.sent) != 1 || b.sent[0].Endpoint == first {
		t.Errorf("sends %v after a wait on route %d, want the other route", b.sent, first)
	}
}

func TestFeeIsWeighedAgainstWaiting(t *testing.T) {
	b := newBench(t, testSettings(), 2, 2, 0) // endpoint 1 has a fee, 2 has none
	b.arrive(1)
	if b.sent[0].Endpoint != 2 {
		t.Fatalf("endpoint %d, want the route without a fee", b.sent[0].Endpoint)
	}
	b.s.destList[0].paths[1].closedUntil = b.now + 100*time.Millisecond
	b.arrive(1)
	if len(b.sent) != 1 {
		t.Error("a fee was paid to avoid a short wait within Aim")
	}
	b.s.destList[0].paths[1].closedUntil = b.now + 10*time.Second
	b.wait(time.Millisecond)
	if len(b.sent) != 2 || b.sent[1].Endpoint != 1 {
		t.Errorf("sends %v, want the route with a fee where waiting costs more", b.sent)
	}
}

func TestNeverBeyondTheSlots(t *testing.T) {
	set := testSettings()
	set.Slots = 2
	b := newBench(t, set, 0, 4, 0)
	for range 5 {
		b.arrive(0)
	}
	if len(b.sent) != 2 {
		t.Errorf("%d sends with 2 slots", len(b.sent))
	}
}

// The windows count only starts of calls, so they don't limit how many slots a hanging
// destination occupies.
func TestHangingDestinationLeavesSlots(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	for range 20 {
		b.arrive(1)
	}
	if n := len(b.sent); n != 3 {
		t.Errorf("%d of 6 slots in use by one destination, want half", n)
	}
	b.wait(4 * time.Second)
	if !b.s.stalled(b.path().endpoints[0]) {
		t.Error("not detected as stalled after 4 s without a response")
	}
}

// Many endpoints may hang at once; their trials must not take all slots.
func TestSuspectEndpointsLeaveSlots(t *testing.T) {
	set := testSettings()
	set.Slots = 8
	s := New(set, 1)
	now := Time(time.Hour)
	var list []Entry
	for i := range 10 {
		list = append(list, Entry{Endpoint: EndpointID(i + 1), Destination: i, State: Ready})
	}
	s.Step(now, []Event{Listed{Whole: true, Entries: list}}, nil)
	for _, d := range s.destList {
		d.paths[0].endpoints[0].suspect = true
	}
	var arrivals []Event
	for i := range 10 {
		arrivals = append(arrivals, Arrived{Message: MessageID(i + 1), Destination: i, GiveUpAt: now + 5*time.Second})
	}
	if n := count[Send](s.Step(now, arrivals, nil)); n != 4 {
		t.Errorf("%d calls to suspect endpoints with 8 slots, want 4", n)
	}
}

func TestOneTrialAtATimeDuringAnOutage(t *testing.T) {
	for _, c := range []struct {
		outcome  Outcome
		min, max int // trials in ten seconds: a fall window is 2 s
	}{
		{Failed, 1, 5},
		{Unreachable, 6, 20}, // a refused connection ends no message and occupies no slot
	} {
		b := newBench(t, testSettings(), 0, 2, 0)
		for range 8 {
			b.arrive(0)
		}
		for b.path().endpoints[0].out == false || b.path().endpoints[1].out == false {
			if len(b.sent) > 0 {
				b.finish(c.outcome, 0)
			}
			b.wait(50 * time.Millisecond)
		}
		for len(b.sent) > 0 {
			b.finish(c.outcome, 0)
		}
		sends := 0
		for range 100 { // ten seconds
			b.wait(100 * time.Millisecond)
			sends += len(b.sent)
			if len(b.sent) > 1 {
				t.Fatalf("%d concurrent trials", len(b.sent))
			}
			for len(b.sent) > 0 {
				b.finish(c.outcome, 0)
			}
			b.arrive(0)
		}
		if sends < c.min || sends > c.max {
			t.Errorf("outcome %d: %d trials in 10 s, want %d to %d", c.outcome, sends, c.min, c.max)
		}
	}
}

// A destination that returns cold would be overloaded by the backlog, so the sender must
// stay within its part of the reduced capacity.
func TestColdReturnStaysWithinItsBudget(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	p, e := b.path(), b.path().endpoints[0]
	p.peakSuccesses = 24 // calls of this sender in a narrow window before the outage
	e.out, e.sawError, e.downSince, e.failingSince = true, true, b.now-10*time.Second, b.now-10*time.Second
	e.failureScore = 1
	for range 30 {
		b.arrive(1)
	}
	b.finish(Delivered, 0) // the trial
	if !e.warming {
		t.Fatal("not treated as a cold return")
	}
	start, set := b.now, b.s.set
	sent := []Time{start}
	for b.now < start+2*set.FallWindow {
		for len(b.sent) > 0 {
			sent = append(sent, b.now)
			b.finish(Delivered, 0)
		}
		n := 0
		for _, at := range sent {
			if b.now-at < set.FallWindow {
				n++
			}
		}
		bears := set.FallMultiple * b.s.warmth(start) * float64(p.peakSuccesses) / narrowWindow.Seconds() * set.FallWindow.Seconds()
		if float64(n) > bears {
			t.Fatalf("%v after the return: %d calls in a fall window, the limit for this sender is %.1f",
				b.now-start, n, bears)
		}
		b.wait(20 * time.Millisecond)
	}
	if len(sent) < 6 {
		t.Errorf("%d calls in two fall windows: traffic does not resume", len(sent))
	}
	b.s.now = start + set.WarmUp
	if w := b.s.warmth(start); w != 1 {
		t.Errorf("warmth %v after the warm-up, want 1", w)
	}
}

// A return after a few lost calls is not cold; after errors or a long silence it is.
func TestShortSilenceIsNoColdReturn(t *testing.T) {
	for _, c := range []struct {
		name     string
		sawError bool
		silent   time.Duration
		cold     bool
	}{
		{"a few lost calls", false, time.Second, false},
		{"long silence", false, 10 * time.Second, true},
		{"errors", true, time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, testSettings(), 0, 1, 0)
			e := b.path().endpoints[0]
			e.out, e.sawError, e.lastOK = true, c.sawError, b.now-c.silent
			b.s.recordSuccess(e, 100*time.Millisecond)
			if e.warming != c.cold {
				t.Errorf("warming %v, want %v", e.warming, c.cold)
			}
		})
	}
}

func TestLongWaitIsAnOutageAndKeepsTheSlice(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	b.path().slice = 5
	b.arrive(0)
	b.finish(Full, 4*time.Second)
	if e := b.path().endpoints[0]; !e.out {
		t.Error("a wait longer than a window is not treated as an outage")
	}
	if b.path().slice != 5 {
		t.Errorf("slice %v, want 5 as before", b.path().slice)
	}
}

// Sends to the other endpoints must not delay the trials of one that is down.
func TestTrialsInAPartialOutage(t *testing.T) {
	b := newBench(t, testSettings(), 0, 2, 0)
	e := b.path().endpoints[0]
	e.out, e.failureScore = true, 1
	b.path().nextTrial = b.now + b.s.set.FallWindow
	tried := false
	for range 40 {
		b.arrive(0)
		for len(b.sent) > 0 {
			tried = tried || b.sent[0].Endpoint == e.id
			b.finish(Delivered, 0)
		}
		b.wait(100 * time.Millisecond)
	}
	if !tried {
		t.Error("no trial of an endpoint in an outage for 4 s while the other works")
	}
}

func TestRetryAvoidsTheEndpointThatFailed(t *testing.T) {
	b := newBench(t, testSettings(), 0, 2, 0)
	b.arrive(0)
	first := b.sent[0].Endpoint
	b.finish(Failed, 0)
	b.wait(backoffBase)
	if len(b.sent) != 1 || b.sent[0].Endpoint == first {
		t.Errorf("sends %v, want the endpoint other than %d", b.sent, first)
	}
}

func TestTimeoutsGrowWithBundlesAndConsecutively(t *testing.T) {
	b := newBench(t, testSettings(), 1, 1, 0)
	b.arrive(1)
	b.finish(Delivered, 0)
	p, e := b.path(), b.path().endpoints[0]
	p.latency, p.deviation = time.Second, time.Second
	m := &message{class: &b.s.set.Classes[1]}
	one, five := b.s.timeout(e, m, 1), b.s.timeout(e, m, 5)
	if five <= one {
		t.Errorf("timeout %v for five messages, %v for one", five, one)
	}
	p.latency, p.deviation = 10*time.Millisecond, 10*time.Millisecond
	one = b.s.timeout(e, m, 1)
	e.timeouts = 1
	if next := b.s.timeout(e, m, 1); next <= one {
		t.Errorf("timeout %v after a timeout, %v before: a slow endpoint must get more time", next, one)
	}
	if one < minTimeout {
		t.Errorf("timeout %v, want %v at least", one, minTimeout)
	}
	// If all calls are quick, a lost one occupies its slot for less time.
	e.timeouts, b.s.meanLatency = 0, 0.1
	if quick := b.s.timeout(e, m, 1); quick >= one || quick < minTimeout {
		t.Errorf("timeout %v with calls of 0.1 s, %v with calls of %v", quick, one, initialLatency)
	}
}

func TestSlownessIsRelativeToTheOthers(t *testing.T) {
	p := &path{latency: 4 * time.Second, baseline: time.Second}
	if !p.slow(1) {
		t.Error("four times its baseline is not slow while the others are at their baselines")
	}
	if p.slow(3) {
		t.Error("reported as slow although all destinations are")
	}
}

func TestMessagesAreRefusedBeforeTheLimitIsReached(t *testing.T) {
	set := testSettings()
	set.MaxHeld = 20
	b := newBench(t, set, 0, 1, 0)
	b.path().closedUntil = b.now + time.Hour
	refused := 0
	for range 30 {
		refused += count[Refuse](b.arrive(0))
	}
	if refused == 0 || len(b.s.open) >= set.MaxHeld {
		t.Errorf("%d refused, %d of %d held", refused, len(b.s.open), set.MaxHeld)
	}
}

func TestAnswerComesBeforeTheDeadline(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	b.arrive(3)
	giveUp := b.s.open[0].giveUpAt
	b.now = giveUp - b.s.set.Tick - 1
	if n := count[Fail](b.step(Woken{})); n != 0 {
		t.Error("failed too early")
	}
	b.now++
	if n := count[Fail](b.step(Woken{})); n != 1 {
		t.Error("no answer a tick before the deadline, with an attempt in flight that may run")
	}
}

func TestMessageWithoutEndpointsIsHeldAndAnswered(t *testing.T) {
	b := &bench{t: t, s: New(testSettings(), 1), now: time.Hour}
	if n := len(b.arrive(0)); n != 1 {
		t.Errorf("%d actions for a message without endpoints, want a wake", n)
	}
	b.wait(5 * time.Second)
	if len(b.s.open) != 0 {
		t.Error("not answered after its deadline")
	}
}

// A reset may come from a crash or from a healthy destination: one reset leads to an immediate
// trial, and its success is no cold return.
func TestResetIsRetriedAtOnceAndIsNoColdReturn(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	b.arrive(0)
	b.finish(Delivered, 0)
	b.arrive(0)
	b.finish(Reset, 0)
	b.wait(backoffBase)
	if len(b.sent) != 1 {
		t.Fatalf("%d sends after the backoff, want a trial at once", len(b.sent))
	}
	b.finish(Delivered, 0)
	if b.path().endpoints[0].warming {
		t.Error("treated as a cold return after one reset between two responses")
	}
}

// Single connections get lost between responses: that must not delay any message. Several
// consecutive resets without a response are still an outage.
func TestSingleResetsDoNotMakeAnEndpointSuspect(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	e := b.path().endpoints[0]
	for range 4 {
		b.arrive(0)
		b.finish(Delivered, 0)
		b.arrive(3)
		b.finish(Reset, 0)
		b.arrive(3)
		if len(b.sent) != 1 {
			t.Fatalf("an AtMostOnce message waits after one reset: down %v, suspect %v", e.out, e.suspect)
		}
		b.finish(Delivered, 0)
	}
	b.arrive(0)
	for n := 0; !e.out; n++ {
		if n == 4 {
			t.Fatal("four consecutive resets are not treated as an outage")
		}
		b.finish(Reset, 0)
		b.wait(time.Second)
	}
}

func TestAtMostOnceMessagesAvoidSuspectEndpoints(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	b.path().endpoints[0].suspect = true
	b.arrive(3)
	if len(b.sent) != 0 {
		t.Error("an AtMostOnce message was sent to an endpoint that just failed")
	}
	b.arrive(0)
	if len(b.sent) != 1 {
		t.Fatal("the idempotent message was not sent")
	}
	b.finish(Delivered, 0)
	if len(b.sent) != 1 {
		t.Error("the AtMostOnce message still waits after a success")
	}
}

// An endpoint that returns alone gets no more than its part of the cold budget, even if the
// list no longer has the others.
func TestReturnedEndpointStaysWithinItsBudget(t *testing.T) {
	b := newBench(t, testSettings(), 0, 4, 0)
	b.path().peakSuccesses = 40
	e := b.path().endpoints[0]
	whole := b.s.coldBudget(e, 1)
	b.step(Listed{Entries: []Entry{{Endpoint: 2, State: Gone}, {Endpoint: 3, State: Gone}, {Endpoint: 4, State: Gone}}})
	e.warming, e.warmUpStart, b.s.now = true, b.now-b.s.set.WarmUp, b.now
	e.coldCalls.Record(b.now)
	b.s.mayCallCold(e)
	if got, want := e.coldCalls.Window, time.Duration(4*float64(b.s.set.FallWindow)/whole); got < want-1 || got > want+1 {
		t.Errorf("one call per %v to one of four endpoints, want %v", got, want)
	}
}

func TestSilentConnectionIsClosed(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	b.arrive(0)
	if n := count[CloseIdle](b.finish(TimedOut, 0)); n != 1 {
		t.Errorf("%d CloseIdle actions after a timeout, want 1 for its endpoint", n)
	}
}

// An endpoint added during an outage must get one trial first: it would otherwise get the
// whole backlog at once.
func TestEndpointThatJoinsAnOutageIsTriedFirst(t *testing.T) {
	for _, state := range []EndpointState{Ready, Draining, Gone} {
		b := newBench(t, testSettings(), 0, 1, 0)
		e := b.path().endpoints[0]
		e.out, e.suspect, e.failureScore = true, true, 1
		b.path().nextTrial = b.now + time.Second
		for range 8 {
			b.arrive(1)
		}
		b.step(Listed{Entries: []Entry{{Endpoint: 1, State: state}, {Endpoint: 9, State: Ready}}})
		b.wait(time.Second)
		if len(b.sent) != 1 {
			t.Errorf("state %d of the old endpoint: %d sends to the new one, want one trial", state, len(b.sent))
		}
		b.sent = b.sent[len(b.sent):]
	}
}

func TestEndpointThatJoinsAHealthyDestinationIsUsed(t *testing.T) {
	b := newBench(t, testSettings(), 0, 2, 0)
	b.path().endpoints[0].out = true
	b.step(Listed{Entries: []Entry{{Endpoint: 9, State: Ready}}})
	if b.s.endpoints[9].out {
		t.Error("marked as down although another endpoint of the destination works")
	}
}

func TestSubscribesAgainAfterAFailure(t *testing.T) {
	set := testSettings()
	set.MustSubscribe = true
	b := &bench{t: t, s: New(set, 1), now: time.Hour}
	if n := count[Subscribe](b.step()); n != 1 {
		t.Fatalf("%d subscriptions at the start, want 1", n)
	}
	if n := count[Subscribe](b.step(ListFailed{})); n != 0 {
		t.Error("subscribed again immediately")
	}
	b.now += backoffMax
	if n := count[Subscribe](b.step(Woken{})); n != 1 {
		t.Error("not subscribed again after a failure")
	}
	b.now += time.Hour
	if n := count[Subscribe](b.step()); n != 0 {
		t.Error("subscribed again although subscribed")
	}
}

// If many senders share a small limit, one call per window from each exceeds it.
func TestSliceUnderOneCallStretchesBothWindows(t *testing.T) {
	set := testSettings()
	set.Senders = 400
	b := newBench(t, set, 0, 1, 0)
	p := b.path()
	b.s.now = b.now
	b.s.resize(p, 0.25)
	if least, most := 4*time.Second, 12*time.Second; p.narrow.Window < least || p.narrow.Window > most {
		t.Errorf("narrow window of %v for a quarter of a call per 2 s, want %v to %v", p.narrow.Window, least, most)
	}
	if ratio := float64(p.wide.Window) / float64(p.narrow.Window); math.Abs(ratio-6) > 1e-6 {
		t.Errorf("windows of %v and %v, want an unchanged ratio", p.narrow.Window, p.wide.Window)
	}
	p.narrow.Record(b.now)
	if b.s.now += p.narrow.Window - 1; b.s.hasCapacity(p) {
		t.Error("a call is allowed before the stretched window has passed")
	}
	if b.s.now++; !b.s.hasCapacity(p) {
		t.Error("no call is allowed after the stretched window")
	}
	b.s.recordFull(p, p.endpoints[0], b.s.now, 0)
	if want := 0.25 * b.s.smallCut; math.Abs(p.slice-want) > 1e-9 {
		t.Errorf("slice %v after a Full, want %v", p.slice, want)
	}
}

// One trial per fall window from each of many senders would overload a cold destination.
func TestTrialsOfManySendersAreSpaced(t *testing.T) {
	for _, senders := range []int{2, 400} {
		set := testSettings()
		set.Senders = senders
		b := newBench(t, set, 0, 1, 0)
		e := b.path().endpoints[0]
		e.out, e.downSince, e.failingSince, b.s.now = true, b.now-10*time.Second, b.now-10*time.Second, b.now
		least := set.FallWindow
		if senders > 10 {
			least = 10 * time.Second // as long as the outage has lasted
		}
		if gap := b.s.trialGap(e); gap < least || senders == 2 && gap > 3*least {
			t.Errorf("%d senders: %v between trials, want %v at least", senders, gap, least)
		}
	}
}

// Usually all endpoints of a destination fail and return together. The return of one must bring
// the trials of the others forward: with many senders, each endpoint would otherwise be found
// separately, a fall window after the other.
func TestOneReturnBringsTheTrialsOfTheOthersForward(t *testing.T) {
	set := testSettings()
	set.Senders, set.Listing = 80, RateNominal
	b := newBench(t, set, 0, 3, 300)
	p := b.path()
	for _, e := range p.endpoints {
		e.out, e.sawError, e.notRun, e.failureScore = true, true, true, 1
		e.downSince, e.failingSince = b.now-5*time.Second, b.now-5*time.Second
	}
	for range 6 { // AtMostOnce: nothing ran in the outage, so they may be used for trials
		b.arrive(3)
	}
	back := b.now
	for b.now < back+10*time.Second && slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.out }) {
		for len(b.sent) > 0 {
			b.finish(Delivered, 0)
		}
		b.wait(10 * time.Millisecond)
	}
	budget := b.s.coldBudget(p.endpoints[0], set.ColdShare)
	most := time.Duration(2 * (1 + stretchSpread) * float64(set.FallWindow) / budget)
	if took := b.now - back; took > most+100*time.Millisecond || most > 2*set.FallWindow {
		t.Errorf("all endpoints are back after %v, want %v at most: two intervals of the cold budget", took, most)
	}
}

// In an outage caused by resets only, trials are as frequent as the cold budget allows.
func TestTrialsAfterResetsAloneAreQuick(t *testing.T) {
	b := newBench(t, testSettings(), 0, 1, 0)
	e := b.path().endpoints[0]
	b.arrive(0)
	for range 4 {
		b.finish(Reset, 0)
		b.wait(time.Second)
	}
	budget := b.s.coldBudget(e, b.s.warmth(b.now))
	most := time.Duration((1 + stretchSpread) * float64(b.s.set.FallWindow) / budget)
	if gap := b.s.trialGap(e); !e.out || gap > most || most >= b.s.set.FallWindow {
		t.Errorf("down %v with %v between trials, want %v at most", e.out, gap, most)
	}
	e.sawError = true
	if gap := b.s.trialGap(e); gap < b.s.set.FallWindow {
		t.Errorf("%v between trials after an error, want a fall window at least", gap)
	}
}

func noteSettings() Settings {
	set := testSettings()
	set.Senders, set.MayTell = 400, true
	return set
}

// Without notes, every sender would need a failure of its own to detect an outage.
func TestOutageAndReturnAreSentAsNotes(t *testing.T) {
	b := newBench(t, noteSettings(), 0, 1, 0)
	b.arrive(0)
	told := b.finish(Unreachable, 0)
	if count[SendNote](told) != 1 {
		t.Fatalf("%d notes for an outage, want 1", count[SendNote](told))
	}
	c := newBench(t, noteSettings(), 0, 1, 0)
	for _, a := range told {
		if n, ok := a.(SendNote); ok {
			c.step(NoteReceived(n))
		}
	}
	e := c.path().endpoints[0]
	if !e.out {
		t.Fatal("a note about an outage is ignored")
	}
	if c.arrive(0); len(c.sent) != 0 {
		t.Error("sent at once to an endpoint that a note reported down")
	}
	c.step(NoteReceived{Tag: e.id.tag(), News: BackCold})
	if e.out || !e.warming {
		t.Error("a note about a cold return is ignored")
	}
	c.step(NoteReceived{Tag: 1<<TagBits - 1, News: Down}) // an endpoint that is not listed
}

// If rejected calls count against the limit, the first calls of many senders alone keep it exhausted.
func TestJamIsSentOnceAndClosesThePath(t *testing.T) {
	b := newBench(t, noteSettings(), 0, 1, 0)
	b.arrive(1)
	if n := count[SendNote](b.finish(Full, 0)); n != 1 {
		t.Errorf("%d notes for a Full under one call per window, want 1", n)
	}
	p := b.path()
	if b.s.jam(p) {
		t.Error("a Full right after a note counts as a new jam")
	}
	first := p.jamPause
	b.s.now = p.jamAt + first
	if !b.s.jam(p) || p.jamPause != 2*first {
		t.Errorf("closed for up to %v after %v, want twice as long while Fulls continue", p.jamPause, first)
	}
}

func TestMessagesWaitForBundlesWhileTheSliceIsLimited(t *testing.T) {
	b := newBench(t, testSettings(), 1, 1, 0)
	if b.arrive(1); len(b.sent) != 1 {
		t.Fatal("held back without a limited slice")
	}
	b.finish(Delivered, 0)
	b.s.resize(b.path(), 3)
	b.wait(2 * time.Second)
	if b.arrive(1); len(b.sent) != 0 {
		t.Error("sent alone while the slice is limited")
	}
	if b.wait(time.Second); len(b.sent) != 1 {
		t.Error("held back beyond its part of Aim")
	}
}

// A note reaches hundreds of nodes, so a full step for each note would cost hundreds of times as much.
func TestNotesAloneCauseNoActions(t *testing.T) {
	b := newBench(t, noteSettings(), 0, 1, 0)
	if actions := b.step(NoteReceived{Tag: 1, News: Jam}); len(actions) != 0 {
		t.Errorf("%d actions on a note about an unknown endpoint", len(actions))
	}
}
