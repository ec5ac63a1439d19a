package dispatch

import (
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant/invarianttest"
)

func TestInvariantFindsGrantsOfIneligibleEndpoints(t *testing.T) {
	w := &waiter{request: &Request{ID: "r1"}}
	checkGrant(w, &endpoint{state: snapshot.Ready})
	for name, e := range map[string]*endpoint{"draining": {state: snapshot.Draining}, "not listed": {state: snapshot.Ready, unlisted: true}} {
		t.Run(name, func(t *testing.T) {
			invarianttest.Violates(t, "requests_are_granted_ready_endpoints", func() { checkGrant(w, e) })
		})
	}
}

// undecided returns a regulated request that is neither granted nor refused.
func undecided(b *harness, certified *[]string) *waiter {
	request := regulated("q", certified)
	request.Service = "s"
	return &waiter{
		request:  request,
		deadline: b.c.now + 4*time.Second,
		due:      b.c.now + 400*time.Millisecond,
		decided:  func(*waiter) {},
	}
}

// A certificate that is withdrawn between the choice and the grant is no violation: the request is checked again
// before it is sent.
func TestWithdrawalAfterTheChoiceIsNoViolation(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	certified := []string{"e2"}
	w := undecided(b, &certified)
	chosen := b.c.choose(b.c.pool(w.request.Service), w)
	if chosen == nil || chosen.endpoint.target.ID != "e2" {
		t.Fatalf("chosen: %+v", chosen)
	}
	certified = nil
	b.c.startRun(w, chosen)
	if w.granted != chosen {
		t.Errorf("granted: %+v", w.granted)
	}
}

func TestInvariantFindsGrantsOfUncertifiedEndpoints(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	certified := []string{"e2"}
	w := undecided(b, &certified)
	p := b.c.pool(w.request.Service)
	chosen := b.c.choose(p, w)
	for _, e := range p.endpoints {
		if e != chosen.endpoint {
			invarianttest.Violates(t, "requests_are_granted_ready_endpoints", func() { checkGrant(w, e) })
		}
	}
	// Certificates seen at an earlier choice do not count for a later one.
	certified = []string{"e1"}
	if later := b.c.choose(p, w); later == nil || later.endpoint.target.ID != "e1" {
		t.Fatalf("chosen: %+v", later)
	}
	invarianttest.Violates(t, "requests_are_granted_ready_endpoints", func() { checkGrant(w, chosen.endpoint) })
}
