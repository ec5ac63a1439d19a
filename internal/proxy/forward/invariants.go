package forward

import (
	"errors"
	"fmt"

	"dunetide/internal/platform/invariant"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
)

var (
	// sentOnceInvariant: a request that may run once goes to no endpoint after one that may have run it.
	sentOnceInvariant = invariant.New("requests_that_run_once_are_sent_once")
	// refusedNotRunInvariant: 503 is answered only to a request that no endpoint can have run.
	refusedNotRunInvariant = invariant.New("refused_requests_have_not_run")
	// answersMatchInvariant: what a client gets from an endpoint carries the id of its own request.
	answersMatchInvariant = invariant.New("answers_belong_to_their_request")
)

// checkSend is called before a request is written to an endpoint. What may have run is recorded by
// recordSent, independently of the states of package attempt, which decide.
func (x *exchange) checkSend(target string) {
	idempotent := x.request.Bulk || x.request.Route.Idempotent()
	sentOnceInvariant.Check(idempotent || !x.mayHaveRun, func() string {
		return fmt.Sprintf("request %s of route %s goes to %s after %v",
			x.request.ID, x.request.Route.Name, target, x.request.Avoid)
	})
}

// recordSent records how a sending ended, by the error of its round trip or, without one, by the
// event that its answer's head is. An endpoint that had all of the request may have run it, unless
// it says that it has not.
func (x *exchange) recordSent(err error, head attempt.Event) {
	if err == nil {
		x.mayHaveRun = x.mayHaveRun || head != attempt.Rejected
		return
	}
	var call *upstream.CallError
	x.mayHaveRun = x.mayHaveRun || !errors.As(err, &call) || call.Sent
}

// checkRefusal is called before 503 is answered.
func (x *exchange) checkRefusal() {
	refusedNotRunInvariant.Check(!x.mayHaveRun, func() string {
		return fmt.Sprintf("request %s of route %s is refused after %v had it",
			x.request.ID, x.request.Route.Name, x.request.Avoid)
	})
}

// checkAnswer is called before the head of an endpoint's answer is forwarded.
func (x *exchange) checkAnswer() {
	answersMatchInvariant.Check(x.answersThisRequest(), func() string {
		return fmt.Sprintf("request %s gets an answer with the ids %v", x.request.ID, x.response.Header[headerID])
	})
}
