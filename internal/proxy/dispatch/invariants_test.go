package dispatch

import (
	"testing"

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
