package forward

import (
	"errors"
	"fmt"

	"dunetide/internal/platform/invariant"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
)

var (
	// runsOnce: a request that may run once goes to no endpoint after one that may have run it.
	runsOnce = invariant.New("requests_that_run_once_are_sent_once")
	// refusalsHaveNotRun: 503 is answered only to a request that no endpoint can have run.
	refusalsHaveNotRun = invariant.New("refused_requests_have_not_run")
	// answersAreTheCalls: what a client gets of an endpoint bears the id of its own request.
	answersAreTheCalls = invariant.New("answers_belong_to_their_request")
)

// checkSend is called before a request is written to an endpoint. noteSent keeps account of what may have run by itself,
// apart from the states of package attempt, which decide.
func (x *exchange) checkSend(target string) {
	repeatable := x.req.Bulk || x.req.Route.Idempotent()
	runsOnce.Check(repeatable || !x.mayHaveRun, func() string {
		return fmt.Sprintf("request %s of route %s goes to %s after %v", x.req.ID, x.req.Route.Name, target, x.req.Avoid)
	})
}

// noteSent takes in how a sending ended, by the error of its round trip or, without one, by the event that its answer's head is. An
// endpoint that had all of it may have run it, unless it says that it has not.
func (x *exchange) noteSent(err error, head attempt.Event) {
	if err == nil {
		x.mayHaveRun = x.mayHaveRun || head != attempt.Rejected
		return
	}
	var call *upstream.CallError
	x.mayHaveRun = x.mayHaveRun || !errors.As(err, &call) || call.Sent
}

// checkRefusal is called before 503 is answered.
func (x *exchange) checkRefusal() {
	refusalsHaveNotRun.Check(!x.mayHaveRun, func() string {
		return fmt.Sprintf("request %s of route %s is refused after %v had it", x.req.ID, x.req.Route.Name, x.req.Avoid)
	})
}

// checkAnswer is called before the head of an endpoint's answer is passed on.
func (x *exchange) checkAnswer() {
	answersAreTheCalls.Check(x.matches(), func() string {
		return fmt.Sprintf("request %s gets an answer with the ids %v", x.req.ID, x.resp.Header[headerID])
	})
}
