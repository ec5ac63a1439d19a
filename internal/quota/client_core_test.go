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
