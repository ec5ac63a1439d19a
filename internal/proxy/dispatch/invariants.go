package dispatch

import (
	"fmt"

	"dunetide/internal/platform/invariant"
)

// grantsOnlyReadyEndpoints: no request is granted an endpoint that is draining, removed or not
// allowed for the request.
var grantsOnlyReadyEndpoints = invariant.New("requests_are_granted_ready_endpoints")

// checkGrant is called right before a request is granted an endpoint. It checks the grant against the certificates
// as they were at the choice: a certificate that is withdrawn after the choice is not a fault of the choice, and the
// request is checked again before it is sent.
func checkGrant(w *waiter, e *endpoint) {
	grantsOnlyReadyEndpoints.Check(e.ready() && w.choiceAllows(e.target.ID), func() string {
		return fmt.Sprintf("request %s is granted %s, which is listed %v, in state %v",
			w.request.ID, e.target.ID, !e.unlisted, e.state)
	})
}
