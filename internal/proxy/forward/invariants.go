package forward

import (
	"errors"
	"fmt"

	"dunetide/internal/platform/invariant"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
)

var (
	// sentOnceInvariant: a request that may run only once is not sent again after an endpoint may have run it.
	sentOnceInvariant = invariant.New("requests_that_run_once_are_sent_once")
	// refusedNotRunInvariant: 429 and 503 are answered only if no endpoint can have run the request.
	refusedNotRunInvariant = invariant.New("refused_requests_have_not_run")
	// answersMatchInvariant: an endpoint's answer to a client carries the id of the client's request.
	answersMatchInvariant = invariant.New("answers_belong_to_their_request")
)

// checkSend is called before a request is written to an endpoint. recordSent tracks whether the request
// may have run independently of package attempt, whose decisions are checked here.
func (x *exchange) checkSend(target string) {
	idempotent := x.request.Bulk || x.request.Route.Idempotent()
	sentOnceInvariant.Check(idempotent || !x.mayHaveRun, func() string {
		return fmt.Sprintf("request %s of route %s may have run and is sent to %s after %v",
			x.request.ID, x.request.Route.Name, target, x.request.Avoid)
	})
}

// recordSent records how a send ended: by the error of its round trip or, without one, by the event of
// the answer's head. An endpoint that received the complete request may have run it, unless it states
// that it has not.
func (x *exchange) recordSent(err error, head attempt.Event) {
	if err == nil {
		x.mayHaveRun = x.mayHaveRun || head != attempt.Rejected
		return
	}
	var call *upstream.CallError
	x.mayHaveRun = x.mayHaveRun || !errors.As(err, &call) || call.Sent
}

// checkRefusal is called before 429 or 503 is answered.
func (x *exchange) checkRefusal() {
	refusedNotRunInvariant.Check(!x.mayHaveRun, func() string {
		return fmt.Sprintf("request %s of route %s is refused after it was sent to %v and may have run",
			x.request.ID, x.request.Route.Name, x.request.Avoid)
	})
}

// checkAnswer is called before the head of an endpoint's answer is forwarded.
func (x *exchange) checkAnswer() {
	answersMatchInvariant.Check(x.answersThisRequest(), func() string {
		return fmt.Sprintf("answer to request %s carries the ids %v", x.request.ID, x.response.Header[headerID])
	})
}
