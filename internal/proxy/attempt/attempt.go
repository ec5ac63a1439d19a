// Package attempt decides what follows each event in the life of a request that is sent to endpoints: whether it may be sent
// again, and what may still be answered to the client. It is a pure state machine; every sender uses it, so that the rule "may
// this be retried" exists once. docs/calls.md derives the table.
package attempt

// State is how far a request has come.
type State uint8

// The states. A request never returns to an earlier one. A request of which a part was written counts as NotSent: no endpoint
// can run it without its last byte.
const (
	NotSent  State = iota // no endpoint has received it whole, or each has rejected it without running it
	Sent                  // an endpoint received it and may have run it; the client has received nothing
	HeadSent              // the client has received the head of an answer
	Ended                 // nothing more may be sent to the client
)

func (s State) String() string {
	return [...]string{"not-sent", "sent", "head-sent", "ended"}[s]
}

// Event is what may happen to a request.
type Event uint8

// The events. Those from Rejected on concern one send to one endpoint.
const (
	Refused          Event = iota // admission found no endpoint for it
	DeadlineExceeded              // its time is up
	ClientGone                    // nobody waits for the answer any more
	Rejected                      // the endpoint states that it has not run it and never will
	NotWritten                    // not all of it was written: the endpoint can't have received it whole
	Broken                        // it was written; a reset, a close or an unusable answer followed
	Failed                        // the endpoint answered 500: it has run
	FalseRefusal                  // the endpoint gave a status that promises it has not run, without its proof: it may have run
	Answered                      // the head of the endpoint's own answer arrived
	BodyCut                       // the answer's body ended early
	BodyComplete                  // the answer's body was read to its end
)

func (e Event) String() string {
	return [...]string{"refused", "deadline", "client-gone", "rejected", "not-written", "broken", "failed", "false-refusal", "answered",
		"body-cut", "body-complete"}[e]
}

// Verdict is what to do next.
type Verdict uint8

// The verdicts.
const (
	Done           Verdict = iota // nothing is left to do
	Retry                         // ask admission for another endpoint
	Refuse                        // 503 with Retry-After: it has not run and never will
	BadGateway                    // 502: promises nothing
	GatewayTimeout                // 504: promises nothing
	Forward                       // pass on what the endpoint answers
	Abort                         // close the client's connection so that the answer can't look complete
)

func (v Verdict) String() string {
	return [...]string{"done", "retry", "refuse", "bad-gateway", "gateway-timeout", "forward", "abort"}[v]
}

// Conditions are what a verdict depends on beside the state and the event.
type Conditions struct {
	Idempotent bool // it may run more than once
	Resumable  bool // its answer may be continued by another endpoint from where it stopped
	TriesLeft  bool // another endpoint may have it, after one that may have run it
	TurnsLeft  bool // another endpoint may be asked, after one that has not run it
}

// Next returns the state after an event, and what to do.
func Next(s State, e Event, c Conditions) (State, Verdict) {
	switch {
	case s == Ended:
		return Ended, Done
	case e == ClientGone:
		return Ended, Abort
	case s == HeadSent:
		return afterHead(e, c)
	}
	switch e {
	case Refused, DeadlineExceeded:
		return Ended, unserved(s, e)
	case Rejected, NotWritten:
		if c.TurnsLeft && (s == NotSent || c.Idempotent) {
			return s, Retry
		}
		return Ended, unserved(s, e)
	case Broken, FalseRefusal, BodyCut:
		if c.Idempotent && c.TriesLeft {
			return Sent, Retry
		}
		return Ended, BadGateway
	case Failed:
		if c.Idempotent && c.TriesLeft {
			return Sent, Retry
		}
		return Sent, Forward
	case Answered:
		return Sent, Forward
	default: // BodyComplete
		return Ended, Done
	}
}

// unserved is the answer to a request that no endpoint will get any more. Only one that was never sent is refused: a refusal
// promises that it has not run.
func unserved(s State, e Event) Verdict {
	switch {
	case s == NotSent:
		return Refuse
	case e == DeadlineExceeded:
		return GatewayTimeout
	default:
		return BadGateway
	}
}

// afterHead is Next once the client has the head of an answer: that answer is continued, completed or aborted.
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
		retry = c.Resumable && c.TurnsLeft
	case Broken, FalseRefusal, BodyCut, Failed:
		retry = c.Resumable && c.TriesLeft
	default: // Refused, DeadlineExceeded
	}
	if retry {
		return HeadSent, Retry
	}
	return Ended, Abort
}
