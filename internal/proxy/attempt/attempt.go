// Package attempt decides what follows each event in the life of a request that is sent to endpoints: whether there
// may be another attempt, and what may still be answered to the client.
//
// It is a pure state machine, without I/O or a clock. Everything that sends requests to endpoints uses it (package
// forward, for interactive requests and batch items), so that the rule "may this be retried" exists once. Its
// invariants:
//
//   - A request that is not idempotent is never sent again after an endpoint may have run it.
//   - A request that may have run is never answered 503, which promises the client that it has not.
//   - Once the head of an answer was passed on, that answer is continued, completed or visibly aborted, and no
//     other follows.
//
// docs/calls.md derives the table; RFC 9110 section 9.2.2 says which requests may be repeated.
package attempt

// State is the progress of a request. A request never returns to an earlier state.
type State uint8

// The states. A partially written request counts as NotSent: no endpoint can run it without its last byte.
const (
	NotSent  State = iota // no endpoint has received it completely, or each that did has rejected it without running it
	Sent                  // an endpoint received it and may have run it; the client has received nothing
	HeadSent              // the client has received the head of an answer
	Ended                 // nothing more may be sent to the client
)

// String returns the state's name in kebab case.
func (s State) String() string {
	return [...]string{"not-sent", "sent", "head-sent", "ended"}[s]
}

// Event is an event in the life of a request.
type Event uint8

// The events. Those from Rejected on are about one attempt, at one endpoint.
const (
	NotAdmitted       Event = iota // admission found no endpoint for it
	DeadlineExceeded               // its deadline has passed
	ClientCanceled                 // the client no longer waits for the answer
	Rejected                       // the endpoint states that it has not run it and never will
	NotWritten                     // not all of it was written: the endpoint can't have received it completely
	Broken                         // it was written; a reset, a close or an unusable answer followed
	Failed                         // the endpoint answered 500: it has run
	UnprovenRejection              // the status says that it has not run, but without proof: it may have run
	Answered                       // the head of the endpoint's own answer arrived
	BodyTruncated                  // the answer's body ended early
	BodyComplete                   // the answer's body was read to its end
)

// String returns the event's name, which is a label of the metric dunetide_proxy_sends_total.
func (e Event) String() string {
	return [...]string{
		NotAdmitted:       "refused",
		DeadlineExceeded:  "deadline",
		ClientCanceled:    "client-gone",
		Rejected:          "rejected",
		NotWritten:        "not-written",
		Broken:            "broken",
		Failed:            "failed",
		UnprovenRejection: "false-refusal",
		Answered:          "answered",
		BodyTruncated:     "body-cut",
		BodyComplete:      "body-complete",
	}[e]
}

// Verdict is what to do next.
type Verdict uint8

// The verdicts.
const (
	Done               Verdict = iota // nothing is left to do
	Retry                             // request another endpoint from admission
	ServiceUnavailable                // answer 503 with Retry-After: it has not run and never will
	BadGateway                        // answer 502, which leaves open whether it has run
	GatewayTimeout                    // answer 504, which leaves open whether it has run
	Forward                           // pass on what the endpoint answers
	Abort                             // close the client's connection, so that the answer can't look complete
)

// String returns the verdict's name, which is a label of the metric dunetide_proxy_requests_total.
func (v Verdict) String() string {
	return [...]string{
		Done:               "done",
		Retry:              "retry",
		ServiceUnavailable: "refuse",
		BadGateway:         "bad-gateway",
		GatewayTimeout:     "gateway-timeout",
		Forward:            "forward",
		Abort:              "abort",
	}[v]
}

// Conditions are what a verdict depends on besides the state and the event.
type Conditions struct {
	Idempotent   bool // it may run more than once
	Resumable    bool // another endpoint may continue its answer from where it stopped
	AttemptsLeft bool // another endpoint may be tried after one that may have run it
	ReroutesLeft bool // another endpoint may be tried after one that has not run it
}

// Next returns the state after an event, and what to do.
func Next(s State, e Event, c Conditions) (State, Verdict) {
	switch {
	case s == Ended:
		return Ended, Done
	case e == ClientCanceled:
		return Ended, Abort
	case s == HeadSent:
		return afterHead(e, c)
	}
	switch e {
	case NotAdmitted, DeadlineExceeded:
		return Ended, unserved(s, e)
	case Rejected, NotWritten:
		if c.ReroutesLeft && (s == NotSent || c.Idempotent) {
			return s, Retry
		}
		return Ended, unserved(s, e)
	case Broken, UnprovenRejection, BodyTruncated:
		if c.Idempotent && c.AttemptsLeft {
			return Sent, Retry
		}
		return Ended, BadGateway
	case Failed:
		if c.Idempotent && c.AttemptsLeft {
			return Sent, Retry
		}
		return Sent, Forward
	case Answered:
		return Sent, Forward
	default: // BodyComplete
		return Ended, Done
	}
}

// unserved returns the answer to a request that is sent to no further endpoint. Only one that was never sent gets
// 503, which promises that it has not run.
func unserved(s State, e Event) Verdict {
	switch {
	case s == NotSent:
		return ServiceUnavailable
	case e == DeadlineExceeded:
		return GatewayTimeout
	default:
		return BadGateway
	}
}

// afterHead is Next for a client that has received the head of an answer: that answer is continued, completed or aborted.
func afterHead(e Event, c Conditions) (State, Verdict) {
	retry := false
	switch e {
	case Answered: // by an endpoint that continues the answer
		if c.Resumable {
			return HeadSent, Forward
		}
	case BodyComplete:
		return Ended, Done
	case Rejected, NotWritten:
		retry = c.Resumable && c.ReroutesLeft
	case Broken, UnprovenRejection, BodyTruncated, Failed:
		retry = c.Resumable && c.AttemptsLeft
	default: // NotAdmitted, DeadlineExceeded
	}
	if retry {
		return HeadSent, Retry
	}
	return Ended, Abort
}
