package dispatch

import (
	"testing"

	"dunetide/internal/invariant/invarianttest"
	"dunetide/internal/view"
)

func TestGrantsOfOtherEndpointsAreFound(t *testing.T) {
	w := &waiter{r: &Request{ID: "r1"}}
	checkGrant(w, &endpoint{state: view.Ready})
	for name, e := range map[string]*endpoint{"draining": {state: view.Draining}, "not listed": {state: view.Ready, unlisted: true}} {
		t.Run(name, func(t *testing.T) {
			invarianttest.Violates(t, "requests_are_granted_ready_endpoints", func() { checkGrant(w, e) })
		})
	}
}
