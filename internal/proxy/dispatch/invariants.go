package dispatch

import (
	"fmt"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant"
)

// grantsAreOfReadyEndpoints: nothing begins at an endpoint that drains, has ended or may not have the request.
var grantsAreOfReadyEndpoints = invariant.New("requests_are_granted_ready_endpoints")

// checkGrant is called right before a request is granted an endpoint.
func checkGrant(w *waiter, e *endpoint) {
	grantsAreOfReadyEndpoints.Check(!e.unlisted && e.state == snapshot.Ready && w.r.may(e.target.ID), func() string {
		return fmt.Sprintf("request %s is granted %s, which is listed %v, in state %v", w.r.ID, e.target.ID, !e.unlisted, e.state)
	})
}
