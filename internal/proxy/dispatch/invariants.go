package dispatch

import (
	"fmt"

	"dunetide/internal/platform/invariant"
)

// grantsAreOfReadyEndpoints: nothing begins at an endpoint that drains, has ended or may not have
// the request.
var grantsOnlyReadyEndpoints = invariant.New("requests_are_granted_ready_endpoints")

// checkGrant is called right before a request is granted an endpoint.
func checkGrant(w *waiter, e *endpoint) {
	grantsOnlyReadyEndpoints.Check(e.ready() && w.request.mayUse(e.target.ID), func() string {
		return fmt.Sprintf("request %s is granted %s, which is listed %v, in state %v",
			w.request.ID, e.target.ID, !e.unlisted, e.state)
	})
}
