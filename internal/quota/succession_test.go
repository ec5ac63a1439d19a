package quota

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"dunetide/internal/lab/golden"
)

// largeLimit is that of the large tenants of the deployments. Its slack is 0.1 x (119 x 5 + 119) + 20 = 91.4 requests.
var largeLimit = Limit{ConfigVersion: 1, RatePerSecond: 119, Burst: 119}

const largeCapacity = 119*token + 91_400_000/4

// askFor asks for tokens of a tenant with the test's limit.
func (r *counterRig) askFor(tenant string, wanted uint32) Answer {
	return r.ask(Demand{Tenant: tenant, Limit: testLimit, Wanted: wanted})
}

// acknowledge has the replicas acknowledge the states up to a number.
func (r *counterRig) acknowledge(sequence int) { r.leadership.lead.SharedSequence = uint64(sequence) }

// newest returns the number of the newest state and its floors.
func (r *counterRig) newest() (sequence int, shared floors) {
	r.t.Helper()
	states := r.leadership.shared
	if len(states) == 0 {
		r.t.Fatal("no state was shared")
	}
	shared = readState(states[len(states)-1])
	if shared == nil {
		r.t.Fatalf("state %x can't be read", states[len(states)-1])
	}
	return len(states), shared
}

// inherit returns a store that has just completed the takeover of this one's lead, after which its predecessor's last
// confirmation expired, and whose states are acknowledged at once.
func (r *counterRig) inherit(state []byte) *counterRig {
	next := newCounterRig(r.t)
	next.serve(9<<16+1, time.Minute)
	next.leadership.lead.Inherited = state
	next.leadership.lead.EarlierUntil = next.now.Add(-takeoverWait)
	return next
}

// leadLong returns a store whose lead began a minute ago and whose buckets are full.
func leadLong(t *testing.T) *counterRig {
	t.Helper()
	r := newCounterRig(t)
	r.serve(5, time.Minute)
	r.wait(time.Minute)
	return r
}

// TestGrantsResumeWhenEarlierLeadsHaveEnded guards against a wait of a new lead for the confirmations of one that was lost
// long ago, against grants while they may be valid, and against a level that counts time in which both would gain.
func TestGrantsResumeWhenEarlierLeadsHaveEnded(t *testing.T) {
	for _, c := range []struct {
		ended, wait time.Duration
		granted     uint32
	}{
		{0, takeoverWait, 0},
		{500 * time.Millisecond, takeoverWait - 500*time.Millisecond, 0},
		{takeoverWait, 0, testTakeoverTokens},
		{takeoverWait + 600*time.Millisecond, 0, testTakeoverTokens + 60},
		{30 * time.Second, 0, testCapacity},
		{-time.Second, takeoverWait, 0},
	} {
		r := newCounterRig(t)
		r.serve(5, time.Minute)
		r.leadership.lead.EarlierUntil = r.now.Add(-c.ended)
		if c.wait > 0 {
			r.expectNotOwner(c.wait)
			r.wait(c.wait - time.Millisecond)
			r.expectNotOwner(time.Millisecond)
			continue
		}
		r.expectGranted("a", c.granted)
	}
	r := newCounterRig(t)
	r.serve(5, time.Minute)
	r.leadership.lead.EarlierUntil = time.Time{} // unknown
	r.expectNotOwner(takeoverWait)
}

// TestLeadAfterALossOfAllMemory guards against a first level under a lead that can't know of earlier ones: its buckets have
// what the rate gave since the earlier ones were certainly not confirmed any more, which are the starts of the processes.
func TestLeadAfterALossOfAllMemory(t *testing.T) {
	r := newCounterRig(t)
	r.serve(5, 0)
	r.leadership.lead.EarlierUntil = r.now.Add(-takeoverWait - 300*time.Millisecond)
	r.expectGranted("a", 30)
	early := newCounterRig(t)
	early.now = early.counter.start.Add(400 * time.Millisecond)
	early.serve(5, 0)
	early.leadership.lead.EarlierUntil = early.counter.start.Add(-time.Hour) // before the process began
	early.expectGranted("a", 40)
}

// TestSuccessorHasTheFloor guards against tenants far below their limit whose burst is cut to a part of the slack when
// their store is lost.
func TestSuccessorHasTheFloor(t *testing.T) {
	r := leadLong(t)
	large := func(rig *counterRig, wanted uint32) Answer {
		return rig.ask(Demand{Tenant: "large", Limit: largeLimit, Wanted: wanted})
	}
	for range 30 {
		if a := large(r, 2); a.Granted != 2 {
			t.Fatalf("%+v", a)
		}
		r.wait(50 * time.Millisecond)
	}
	states := r.leadership.shared
	if got := large(r.inherit(nil), 1000).Granted; got != 34 {
		t.Errorf("%d tokens without a state", got)
	}
	got := large(r.inherit(states[len(states)-1]), 1000).Granted
	if least := uint32(largeCapacity / 2 / token); got < least-2 || got > least {
		t.Errorf("%d tokens with a state, want about %d", got, least)
	}
	if most := 1500/50 + 2; len(states) > most {
		t.Errorf("%d states were shared in 1.5 s", len(states))
	}
}

// TestFloorHoldsUntilALowerOneIsAcknowledged guards against grants that a successor can't know of, and against refusals
// because of a floor.
func TestFloorHoldsUntilALowerOneIsAcknowledged(t *testing.T) {
	r := leadLong(t)
	r.askFor("a", 1) // level 119, floor 59
	sequence, shared := r.newest()
	if shared["a"] != 59*token {
		t.Fatalf("floors %v", shared)
	}
	r.acknowledge(sequence)
	if a := r.askFor("a", 60); a.Granted != 60 {
		t.Errorf("%+v down to the floor", a)
	}
	lower, shared := r.newest()
	if lower != sequence+1 || shared["a"] != 0 {
		t.Fatalf("state %d with floors %v", lower, shared)
	}
	for range 2 {
		if a := r.askFor("a", 1); a != (Answer{Outcome: NotOwner, RetryAfter: sharingRetry}) {
			t.Errorf("%+v below the floor", a)
		}
	}
	r.acknowledge(lower)
	if a := r.askFor("a", 59); a.Granted != 59 {
		t.Errorf("%+v after the acknowledgement", a)
	}
	if a := r.askFor("a", 1); a.Outcome != Granted || a.Granted != 0 {
		t.Errorf("%+v beyond the limit", a)
	}
}

// TestLargeDemandMakesProgress guards against floors that never leave room for a demand above the reserve.
func TestLargeDemandMakesProgress(t *testing.T) {
	r := leadLong(t)
	r.askFor("a", 1)
	sequence, _ := r.newest()
	r.acknowledge(sequence)
	if a := r.askFor("a", 100); a.Outcome != NotOwner {
		t.Fatalf("%+v", a)
	}
	sequence, _ = r.newest()
	r.acknowledge(sequence)
	r.wait(sharingRetry)
	if a := r.askFor("a", 100); a.Granted != 100 {
		t.Errorf("%+v", a)
	}
}

// TestLeadGrantsNothingUnlessItsStateIsFound guards against a second successor that finds a state of the lead before this
// one, and begins a bucket with a floor that this one has used up.
func TestLeadGrantsNothingUnlessItsStateIsFound(t *testing.T) {
	inherited := encodeState(floors{"a": 60 * token})
	r := leadLong(t).inherit(inherited)
	r.acknowledge(0)
	for range 10 {
		if a := r.askFor("a", 1); a != (Answer{Outcome: NotOwner, RetryAfter: sharingRetry}) {
			t.Errorf("%+v before the first acknowledgement", a)
		}
		r.wait(sharingRetry)
	}
	if sequence, shared := r.newest(); sequence != 1 || len(shared) != 0 {
		t.Errorf("state %d with floors %v", sequence, shared)
	}
	r.acknowledge(1)
	r.expectGranted("a", 62) // with the rate of 20 ms
	first := newCounterRig(t)
	first.serve(1<<16+1, 0)
	first.leadership.lead.First = true
	first.acknowledge(0)
	first.wait(takeoverWait)
	first.expectGranted("a", testCapacity)
}

// TestReplicasThatKnowNoStates guards against tenants that are served no more because replicas confirm a lead and do not
// acknowledge its states, and against floors that are shared meanwhile.
func TestReplicasThatKnowNoStates(t *testing.T) {
	r := leadLong(t).inherit(nil)
	r.acknowledge(0)
	r.leadership.lead.StatesIgnored = true
	if a := r.askFor("a", 1); a.Granted != 1 {
		t.Errorf("%+v", a)
	}
	before := len(r.leadership.shared)
	for range 100 {
		r.wait(50 * time.Millisecond)
		r.askFor("a", 1)
	}
	for i, state := range r.leadership.shared {
		if shared := readState(state); shared == nil || len(shared) > 0 {
			t.Errorf("state %d has floors %v", i+1, shared)
		}
	}
	if n := len(r.leadership.shared) - before; n > 5 {
		t.Errorf("%d states in 5 s that nobody acknowledges", n)
	}
	r.leadership.lead.StatesIgnored = false
	sequence, _ := r.newest()
	r.acknowledge(sequence)
	r.wait(floorRaiseInterval)
	r.askFor("a", 1)
	if _, shared := r.newest(); shared["a"] == 0 {
		t.Error("no floor is shared with replicas that acknowledge again")
	}
}

// TestReplicasThatConfirmAndHoldNoStates guards against grants below floors that replicas still hold: their disks stall and
// their connections were reset, so they confirm the lead although they can't acknowledge newer states.
func TestReplicasThatConfirmAndHoldNoStates(t *testing.T) {
	limit := Limit{ConfigVersion: 1, RatePerSecond: 10, Burst: 1000}
	allowed := uint32((limit.RatePerSecond*5+limit.Burst)*1.1 + 20)
	r := leadLong(t)
	r.wait(2 * time.Minute)
	r.ask(Demand{Tenant: "a", Limit: limit, Wanted: 1})
	sequence, shared := r.newest()
	acknowledged := r.leadership.shared[sequence-1]
	if shared["a"] < 400*token {
		t.Fatalf("floors %v", shared)
	}
	r.acknowledge(sequence) // and nothing more from now on
	granted, began := uint32(0), r.now
	for r.now.Sub(began) < 2*time.Second {
		granted += r.ask(Demand{Tenant: "a", Limit: limit, Wanted: 50}).Granted
		r.now = r.now.Add(5 * time.Millisecond)
		if r.now.Sub(r.leadership.lead.ConfirmedAt) > confirmAfter {
			r.leadership.lead.ConfirmedAt = r.now
		}
	}
	next := r.inherit(acknowledged)
	later := next.ask(Demand{Tenant: "a", Limit: limit, Wanted: 10000}).Granted
	if granted+later > allowed {
		t.Errorf("two leads granted %d + %d tokens within 3 s; %d may run in 5 s", granted, later, allowed)
	}
}

// TestUnconfirmedLeadIsNotTakenForOneWithoutStates guards against floors that are dropped because the replicas were out of
// touch.
func TestUnconfirmedLeadIsNotTakenForOneWithoutStates(t *testing.T) {
	r := leadLong(t).inherit(nil)
	r.acknowledge(0)
	for range 400 {
		r.now = r.now.Add(10 * time.Millisecond)
		r.askFor("a", 1)
	}
	r.leadership.lead.ConfirmedAt = r.now
	if a := r.askFor("a", 1); a.Outcome == Granted {
		t.Errorf("%+v", a)
	}
}

// TestStatesAreSharedAnew guards against a state that was lost on its way and holds tenants up for good.
func TestStatesAreSharedAnew(t *testing.T) {
	r := leadLong(t).inherit(nil)
	r.acknowledge(0)
	r.askFor("a", 1)
	r.wait(reshareAfter)
	r.askFor("a", 1)
	if sequence, _ := r.newest(); sequence != 2 {
		t.Errorf("%d states", sequence)
	}
}

// TestNewLeadBeginsAnew guards against floors and acknowledgements of an earlier lead of the same store.
func TestNewLeadBeginsAnew(t *testing.T) {
	r := leadLong(t)
	r.askFor("a", 1)
	if sequence, _ := r.newest(); sequence != 2 {
		t.Fatalf("%d states", sequence)
	}
	r.serve(6, time.Minute)
	r.acknowledge(0)
	r.wait(takeoverWait)
	if a := r.askFor("a", 1); a.Outcome != NotOwner {
		t.Errorf("%+v", a)
	}
	if sequence, shared := r.newest(); sequence != 1 || len(shared) != 0 {
		t.Errorf("state %d with floors %v", sequence, shared)
	}
	r.acknowledge(1)
	r.expectGranted("a", testTakeoverTokens)
}

// TestLimitsThatChangedBetweenLeads guards against a bucket above the capacity of a lowered limit, and against a raised one
// that gives more than the floor.
func TestLimitsThatChangedBetweenLeads(t *testing.T) {
	state := encodeState(floors{"a": 100 * token})
	for _, c := range []struct {
		limit   Limit
		granted uint32
	}{
		{Limit{ConfigVersion: 2, RatePerSecond: 10, Burst: 10}, 10 + 6}, // S is 26
		{Limit{ConfigVersion: 2, RatePerSecond: 200, Burst: 200}, 100},
		{Limit{ConfigVersion: 2, RatePerSecond: 1000, Burst: 1000}, 620 * 3 / 8}, // S is 620
	} {
		r := leadLong(t).inherit(state)
		a := r.ask(Demand{Tenant: "a", Limit: c.limit, Wanted: 10_000})
		if a.Granted != c.granted {
			t.Errorf("%+v of %+v", a, c.limit)
		}
	}
	r := leadLong(t).inherit(state)
	r.askFor("a", 1)
	lower := Limit{ConfigVersion: 2, RatePerSecond: 10, Burst: 10}
	r.ask(Demand{Tenant: "a", Limit: lower})
	higher := Limit{ConfigVersion: 3, RatePerSecond: 100, Burst: 100}
	if a := r.ask(Demand{Tenant: "a", Limit: higher, Wanted: 1000}); a.Granted > 16 {
		t.Errorf("%+v of a limit that was lowered and raised", a)
	}
}

// TestLoweredLimitBelowTheFloor guards against grants from a bucket that a lower limit has cut below its floor.
func TestLoweredLimitBelowTheFloor(t *testing.T) {
	r := leadLong(t)
	r.askFor("a", 1) // floor 59
	sequence, _ := r.newest()
	r.acknowledge(sequence)
	lower := Demand{Tenant: "a", Limit: Limit{ConfigVersion: 2, RatePerSecond: 10, Burst: 10}, Wanted: 1}
	if a := r.ask(lower); a.Outcome != NotOwner {
		t.Errorf("%+v", a)
	}
	sequence, shared := r.newest()
	if shared["a"] > 16*token {
		t.Errorf("floors %v", shared)
	}
	r.acknowledge(sequence)
	if a := r.ask(lower); a.Granted != 1 {
		t.Errorf("%+v", a)
	}
}

// TestInheritedFloorsArePassedOn guards against two takeovers in a short time after which a tenant that was silent in
// between has nothing, and against a floor of a tenant that has used it.
func TestInheritedFloorsArePassedOn(t *testing.T) {
	state := encodeState(floors{"a": 100 * token, "b": 70 * token, "c": 80 * token})
	r := leadLong(t).inherit(state)
	r.askFor("a", 100)
	if _, shared := r.newest(); !maps.Equal(shared, floors{"b": 70 * token, "c": 80 * token}) {
		t.Errorf("floors %v", shared)
	}
	r.wait(2 * testSlack.Window)
	r.askFor("a", 1)
	if _, shared := r.newest(); shared["b"] != 0 || shared["a"] == 0 {
		t.Errorf("floors %v after two windows", shared)
	}
}

// TestFloorsRise guards against a floor that stays low although the bucket has filled.
func TestFloorsRise(t *testing.T) {
	r := leadLong(t)
	r.askFor("a", 115)
	r.wait(time.Second)
	r.askFor("b", 1) // another tenant
	_, shared := r.newest()
	if shared["a"] < 40*token || shared["b"] < 50*token {
		t.Errorf("floors %v", shared)
	}
	before := len(r.leadership.shared)
	for range 100 {
		r.wait(time.Millisecond)
		r.askFor("c", 0)
	}
	if n := len(r.leadership.shared) - before; n > 2 {
		t.Errorf("%d states in 100 ms", n)
	}
}

// TestStatesAreBounded guards against states and memory without bounds.
func TestStatesAreBounded(t *testing.T) {
	many := floors{}
	for i := range maxAccounts {
		many[fmt.Sprintf("tenant-with-a-long-name-%06d", i)] = token
	}
	state := encodeState(many)
	if len(state) > maxStateBytes || len(state) < maxStateBytes-100 {
		t.Errorf("%d bytes", len(state))
	}
	if got := readState(state); !maps.Equal(got, many) || len(many) >= maxAccounts {
		t.Errorf("%d tenants are read of %d", len(got), len(many))
	}
	s := &succession{}
	for i := range 100 {
		s.add(floors{"a": microTokens(100-i) * token, "b": token}, time.Now())
	}
	if len(s.inPlay) != maxStatesInPlay || s.floorOf("a") != 100*token {
		t.Errorf("%d states, floor %d", len(s.inPlay), s.floorOf("a"))
	}
	s.acknowledge(100 - maxStatesInPlay + 2)
	if len(s.inPlay) != maxStatesInPlay-1 || s.floorOf("a") != maxStatesInPlay*token-token {
		t.Errorf("%d states, floor %d", len(s.inPlay), s.floorOf("a"))
	}
}

// TestNewestAcknowledgedStateCounts guards against grants below the state that a successor finds if it finds no newer one.
func TestNewestAcknowledgedStateCounts(t *testing.T) {
	s := &succession{}
	for _, floor := range []microTokens{50, 40, 30} {
		s.add(floors{"a": floor}, time.Now())
	}
	for acknowledged, want := range []microTokens{50, 50, 40, 30, 30} {
		s.acknowledge(uint64(acknowledged))
		if got := s.floorOf("a"); got != want {
			t.Errorf("floor %d with state %d acknowledged, want %d", got, acknowledged, want)
		}
	}
}

// TestGoldenState guards against a change of the state: during a rollout, processes of two versions run in one tier.
func TestGoldenState(t *testing.T) {
	state := floors{"banco": 70_875_000, "sala": 1, "d": maxFloor}
	golden.Compare(t, "lead-state.bin", encodeState(maps.Clone(state)))
	whole := golden.Read(t, "lead-state.bin")
	if got := readState(whole); !reflect.DeepEqual(got, state) {
		t.Errorf("read as %v", got)
	}
	for n := range len(whole) {
		if got := readState(whole[:n]); got != nil {
			t.Errorf("%d of %d bytes are read as %v", n, len(whole), got)
		}
	}
}

// TestMalformedStatesAreUnknown guards against levels that come from a state of another program.
func TestMalformedStatesAreUnknown(t *testing.T) {
	whole := encodeState(floors{"a": 60 * token})
	other := append([]byte{stateVersion + 1}, whole[1:]...)
	negative := slices.Concat(whole[:len(whole)-8], []byte{0xff, 0, 0, 0, 0, 0, 0, 0})
	longer := slices.Concat(whole, []byte{0})
	for _, state := range [][]byte{other, negative, longer, make([]byte, maxStateBytes+1), {stateVersion, 0xff, 0xff, 0xff, 0xff}} {
		if got := readState(state); got != nil {
			t.Errorf("%x is read as %v", state[:min(len(state), 20)], got)
		}
		leadLong(t).inherit(state).expectGranted("a", testTakeoverTokens)
	}
}
