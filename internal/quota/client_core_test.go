package quota

import (
	"testing"
	"time"
)

// testClientLimit is the limit of the tenants in tests of the core.
var testClientLimit = Limit{ConfigVersion: 1, RatePerSecond: 100, Burst: 50}

// connectedTo returns the core of a proxy for which one store counts for all tenants.
func connectedTo(store uint64) *clientCore {
	return newClientCore(func(string) (uint64, bool) { return store, true })
}

// startOne returns the single call that has to start now.
func startOne(t *testing.T, core *clientCore, now time.Duration) *clientCall {
	t.Helper()
	calls := core.startCalls(now)
	if len(calls) != 1 {
		t.Fatalf("%d calls start", len(calls))
	}
	return calls[0]
}

// Guards against calls about requests that have left.
func TestRequestsThatLeftAreNotAskedFor(t *testing.T) {
	connected := false
	core := newClientCore(func(string) (uint64, bool) { return 1, connected })
	w := core.admit("a", testClientLimit)
	core.startCalls(0)
	core.leave(w, time.Millisecond)
	connected = true
	if calls := core.startCalls(time.Second); len(calls) > 0 {
		t.Fatalf("%+v", calls[0].request())
	}
}

// Guards against later requests that overtake earlier ones after calls that failed in another order.
func TestRequestsKeepTheirOrderAfterFailedCalls(t *testing.T) {
	core := connectedTo(1)
	first := core.admit("a", testClientLimit)
	firstCall := startOne(t, core, 0)
	second := core.admit("a", testClientLimit)
	secondCall := startOne(t, core, 0)
	core.endCall(secondCall.number, nil, 0)
	core.endCall(firstCall.number, nil, 0)
	third := core.admit("a", testClientLimit)
	call := startOne(t, core, askAgainDelay)
	core.endCall(call.number, &AdmitReply{Answers: []Answer{{Outcome: Granted, Granted: 1}}}, askAgainDelay)
	if first.state != waiterGranted || second.state != waiterRefused || third.state != waiterRefused {
		t.Fatalf("states %d %d %d", first.state, second.state, third.state)
	}
}

// Guards against stores that are asked without a pause, and against pauses beyond the time in which the owner may change.
func TestPauseAfterAStoreThatDoesNotCount(t *testing.T) {
	for _, c := range []struct{ retryAfter, want time.Duration }{
		{0, askAgainDelay},
		{time.Millisecond, minAskAgainDelay},
		{50 * time.Millisecond, 50 * time.Millisecond},
		{time.Second, maxAskAgainDelay},
	} {
		core := connectedTo(1)
		core.admit("a", testClientLimit)
		call := startOne(t, core, 0)
		core.endCall(call.number, &AdmitReply{Answers: []Answer{{Outcome: NotOwner, RetryAfter: c.retryAfter}}}, 0)
		if at, any := core.nextTime(0); !any || at != c.want {
			t.Errorf("after %v: next at %v, %v", c.retryAfter, at, any)
		}
		if early := core.startCalls(c.want - 1); len(early) > 0 {
			t.Errorf("after %v: asked again too early", c.retryAfter)
		}
		startOne(t, core, c.want)
	}
}

// Guards against the same question at a pace that no change asks for, and against long pauses after a change: another
// primary, a new lead with a wait that comes to its end, or a grant.
func TestPausesDoubleWhileNothingChanges(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		store            uint64
		retryAfter, want time.Duration
		granted          bool
	}
	for name, steps := range map[string][]step{
		"not confirmed": {
			{1, 5 * ms, 5 * ms, false},
			{1, 5 * ms, 10 * ms, false},
			{1, 5 * ms, 20 * ms, false},
			{1, 5 * ms, 40 * ms, false},
			{1, 5 * ms, 80 * ms, false},
			{1, 5 * ms, 100 * ms, false},
			{1, 5 * ms, 100 * ms, false},
		},
		"no answer":       {{1, 0, 30 * ms, false}, {1, 0, 60 * ms, false}, {1, 0, 100 * ms, false}},
		"a longer answer": {{1, 5 * ms, 5 * ms, false}, {1, 30 * ms, 30 * ms, false}, {1, 50 * ms, 60 * ms, false}},
		"the wait of a new lead": {
			{1, 50 * ms, 50 * ms, false},
			{1, 50 * ms, 100 * ms, false},
			{1, 224 * ms, 100 * ms, false},
			{1, 122 * ms, 100 * ms, false},
			{1, 20 * ms, 20 * ms, false},
			{1, 5 * ms, 5 * ms, false},
			{1, 5 * ms, 10 * ms, false},
		},
		"another primary": {
			{1, 5 * ms, 5 * ms, false},
			{1, 5 * ms, 10 * ms, false},
			{2, 5 * ms, 5 * ms, false},
			{2, 50 * ms, 50 * ms, false},
		},
		"a grant": {{1, 5 * ms, 5 * ms, false}, {1, 5 * ms, 10 * ms, false}, {store: 1, granted: true}, {1, 5 * ms, 5 * ms, false}},
	} {
		t.Run(name, func(t *testing.T) {
			store, now := uint64(0), time.Second
			core := newClientCore(func(string) (uint64, bool) { return store, true })
			core.admit("a", testClientLimit)
			for i, s := range steps {
				store = s.store
				call := startOne(t, core, now)
				answer := Answer{Outcome: NotOwner, RetryAfter: s.retryAfter}
				if s.granted {
					answer = Answer{Outcome: Granted, Granted: 1}
					core.admit("a", testClientLimit)
				}
				core.endCall(call.number, &AdmitReply{Answers: []Answer{answer}}, now)
				if s.granted {
					continue // asked again at once
				}
				if early := core.startCalls(now + s.want - 1); len(early) > 0 {
					t.Fatalf("step %d: asked again too early", i)
				}
				now += s.want
			}
			startOne(t, core, now)
		})
	}
}

// Guards against pauses that double for each of the calls that were in flight at once.
func TestPausesDoubleOnceARound(t *testing.T) {
	core := connectedTo(1)
	now := time.Second
	for _, want := range []time.Duration{5, 10, 20, 40, 80, 100, 100} {
		var calls []*clientCall
		for range maxCallsPerStore {
			core.admit("a", testClientLimit)
			calls = append(calls, startOne(t, core, now))
		}
		now += time.Millisecond
		for _, call := range calls {
			answer := Answer{Outcome: NotOwner, RetryAfter: unconfirmedRetry}
			core.endCall(call.number, &AdmitReply{Answers: []Answer{answer}}, now)
		}
		if at, _ := core.nextTime(now); at != now+want*time.Millisecond {
			t.Fatalf("next at %v, want a pause of %d ms after %v", at, want, now)
		}
		now += want * time.Millisecond
	}
}

// Guards against pauses that stay short because another call is always in flight when an answer comes.
func TestPausesDoubleWhileCallsOverlap(t *testing.T) {
	core := connectedTo(1)
	const latency = 20 * time.Millisecond
	ends := map[time.Duration][]*clientCall{}
	calls := 0
	core.admit("a", testClientLimit)
	for now := time.Second; now < 3*time.Second; now += time.Millisecond {
		for _, call := range ends[now] {
			answer := Answer{Outcome: NotOwner, RetryAfter: unconfirmedRetry}
			core.endCall(call.number, &AdmitReply{Answers: []Answer{answer}}, now)
		}
		if now >= time.Second+latency/2 && core.waiting < 500 {
			core.admit("a", testClientLimit)
		}
		for _, call := range core.startCalls(now) {
			calls++
			ends[now+latency] = append(ends[now+latency], call)
		}
	}
	if most := 10 + maxCallsPerStore*int(2*time.Second/maxAskAgainDelay); calls > most {
		t.Errorf("%d calls in 2 s, want %d at most", calls, most)
	}
}

// Guards against a tenant that waits for a store although that has begun to count for it.
func TestAGrantEndsThePause(t *testing.T) {
	core := connectedTo(1)
	core.admit("a", testClientLimit)
	first := startOne(t, core, 0)
	core.admit("a", testClientLimit)
	second := startOne(t, core, 0)
	core.endCall(first.number, &AdmitReply{Answers: []Answer{{Outcome: NotOwner, RetryAfter: time.Second}}}, 0)
	core.endCall(second.number, &AdmitReply{Answers: []Answer{{Outcome: Granted, Granted: 1}}}, 0)
	startOne(t, core, 0)
}

// Guards against calls of each tenant's own to a store that does not count, and against companions that ask too early.
func TestTenantsThatWaitForAStoreShareCalls(t *testing.T) {
	core := connectedTo(1)
	notOwner := func(now time.Duration) {
		call := startOne(t, core, now)
		reply := &AdmitReply{}
		for range call.demands {
			reply.Answers = append(reply.Answers, Answer{Outcome: NotOwner, RetryAfter: time.Second})
		}
		core.endCall(call.number, reply, now)
	}
	core.admit("a", testClientLimit)
	notOwner(0)
	core.admit("b", testClientLimit)
	const early = maxAskAgainDelay/2 - 1
	notOwner(early) // b alone
	if at, _ := core.nextTime(early); at != maxAskAgainDelay {
		t.Fatalf("a is asked for at %v", at)
	}
	notOwner(maxAskAgainDelay) // b goes with a
	if at, _ := core.nextTime(maxAskAgainDelay); at != 2*maxAskAgainDelay || len(startOne(t, core, at).demands) != 2 {
		t.Fatalf("next at %v", at)
	}
}

// Guards against a proxy that is busy with refunds to a store that it can't reach.
func TestRefundsToAStoreOutOfReachAreDropped(t *testing.T) {
	connected := true
	core := newClientCore(func(string) (uint64, bool) { return 1, connected })
	core.refund("a", testClientLimit, grantedToken{store: 1, grant: GrantID{Lead: 1, AtMs: 1}}, 1, 0)
	if at, any := core.nextTime(0); !any || at != refundDelay {
		t.Fatalf("next at %v, %v", at, any)
	}
	connected = false
	core.startCalls(refundDelay)
	core.startCalls(2 * refundDelay)
	if _, any := core.nextTime(2 * refundDelay); any || len(core.tenants) != 0 {
		t.Fatalf("%d tenants remain", len(core.tenants))
	}
}

// Guards against refunds that cost a call of their own while others go to their store.
func TestRefundsTravelWithACallToTheirStore(t *testing.T) {
	core := connectedTo(1)
	grant := grantedToken{store: 1, grant: GrantID{Lead: 1, AtMs: 1}}
	core.refund("a", testClientLimit, grant, 1, 0)
	core.refund("a", testClientLimit, grant, 2, 0)
	core.admit("b", testClientLimit)
	demands := startOne(t, core, 0).request().Demands
	if len(demands) != 2 || demands[1].Tenant != "a" || demands[1].Wanted != 0 || demands[1].Refunds[0].Tokens != 3 {
		t.Fatalf("%+v", demands)
	}
	if calls := core.startCalls(time.Second); len(calls) > 0 {
		t.Fatal("refunded again")
	}
}

// Guards against tokens of late answers that are lost, or both used and refunded, and against requests that are refused
// although they have been asked for anew.
func TestTokensOfLateAnswersAreUsedOrRefunded(t *testing.T) {
	grant := GrantID{Lead: 1, AtMs: 1}
	for _, c := range []struct {
		name           string
		answeredAt     time.Duration
		granted        uint32
		inAnotherCall  bool
		used, refunded uint32
	}{
		{"in time to be used", overdueAfter + 1, 2, false, 2, 0},
		{"while they are asked for anew", overdueAfter + askAgainDelay + 1, 2, true, 2, 0},
		{"too few", overdueAfter + 1, 1, false, 1, 0},
		{"more than were wanted", overdueAfter + 1, 9, false, 2, 0},
		{"too old", maxGrantAge + 1, 2, true, 0, 2},
		{"none", overdueAfter + 1, 0, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := connectedTo(1)
			waiters := []*waiter{core.admit("a", testClientLimit), core.admit("a", testClientLimit)}
			late := startOne(t, core, 0)
			if at, any := core.nextTime(0); !any || at != overdueAfter {
				t.Fatalf("next at %v", at)
			}
			if calls := core.startCalls(overdueAfter); len(calls) > 0 || len(core.callsTo) > 0 {
				t.Fatalf("%d calls start, places: %v", len(calls), core.callsTo)
			}
			var second *clientCall
			if c.inAnotherCall {
				second = startOne(t, core, overdueAfter+askAgainDelay)
			}
			answer := Answer{Outcome: Granted, Granted: c.granted, Grant: grant}
			core.endCall(late.number, &AdmitReply{Answers: []Answer{answer}}, c.answeredAt)
			core.endCall(late.number, &AdmitReply{Answers: []Answer{answer}}, c.answeredAt) // twice
			var given, used, pending uint32
			for _, w := range waiters {
				if w.state == waiterGranted {
					given++
				}
				switch state, _ := core.claim(w, c.answeredAt); state {
				case waiterGranted:
					used++
				case waiterPending:
					pending++
				default:
					t.Errorf("state %d", state)
				}
			}
			var refunded uint32
			if core.tenants["a"] != nil {
				for _, r := range core.tenants["a"].refunds {
					refunded += r.refund.Tokens
				}
			}
			if given != c.used || used != c.used || refunded != c.refunded || pending != 2-c.used {
				t.Errorf("%d given, %d used, %d refunded, %d wait", given, used, refunded, pending)
			}
			if second != nil { // its tokens are for those that have none
				answer := Answer{Outcome: Granted, Granted: 2, Grant: GrantID{Lead: 1, AtMs: 2}}
				core.endCall(second.number, &AdmitReply{Answers: []Answer{answer}}, c.answeredAt)
				refunded = 0
				for _, r := range core.tenants["a"].refunds {
					refunded += r.refund.Tokens
				}
				if refunded != 2 || core.waiting > 0 {
					t.Errorf("%d refunded, %d wait", refunded, core.waiting)
				}
			}
		})
	}
}

// Guards against a call for requests that have got a token of a late answer.
func TestRequestsWithALateTokenAreNotAskedFor(t *testing.T) {
	core := connectedTo(1)
	core.admit("a", testClientLimit)
	late := startOne(t, core, 0)
	core.startCalls(overdueAfter)
	core.endCall(late.number, &AdmitReply{Answers: []Answer{{Outcome: Granted, Granted: 1}}}, overdueAfter+1)
	if calls := core.startCalls(time.Second); len(calls) > 0 || len(core.tenants) > 0 {
		t.Fatalf("%d calls, %d tenants", len(calls), len(core.tenants))
	}
}

// Guards against a request that is asked for twice: its token of a late answer has become stale while it is in another call.
func TestARequestIsInItsQueueOnce(t *testing.T) {
	core := connectedTo(1)
	w := core.admit("a", testClientLimit)
	late := startOne(t, core, 0)
	core.startCalls(overdueAfter)
	now := overdueAfter + askAgainDelay
	second := startOne(t, core, now)
	core.endCall(late.number, &AdmitReply{Answers: []Answer{{Outcome: Granted, Granted: 1}}}, now)
	now = maxGrantAge + 1
	if state, stale := core.claim(w, now); state != waiterPending || !stale {
		t.Fatalf("state %d, stale %v", state, stale)
	}
	core.endCall(second.number, &AdmitReply{Answers: []Answer{{Outcome: NotOwner}}}, now)
	if wanted := startOne(t, core, now+maxAskAgainDelay).demands[0].request.Wanted; wanted != 1 {
		t.Errorf("%d wanted", wanted)
	}
}
