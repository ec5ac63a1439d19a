package forward

// State is how far a request has come. It decides what may still be answered.
type State uint8

// The states. They only grow, but for an answer that goes on elsewhere and stays Headed.
const (
	NotSent State = iota // no endpoint has had it, or each has turned it away without running it
	Sent                 // an endpoint had it and may have run it; the client has heard nothing
	Headed               // the head of an answer was passed on
	Ended                // nothing more may be said
)

func (s State) String() string {
	return [...]string{"not-sent", "sent", "headed", "ended"}[s]
}

// Event is what may happen to a request.
type Event uint8

// The events. Those from TurnedAway on are about one sending.
const (
	Refused    Event = iota // admission let it go nowhere
	Late                    // its time is up
	ClientGone              // nobody waits for it any more
	TurnedAway              // an endpoint has not run it and says so
	Unsent                  // it was not written whole
	Broken                  // it was written, and nothing that can be used came back
	Failed                  // the endpoint answered 500: it has run
	Unkept                  // the endpoint gave a status that promises what it does not: it may have run
	Answered                // the head of the endpoint's own answer
	Cut                     // the body ended early
	Whole                   // the body is whole
)

func (e Event) String() string {
	return [...]string{"refused", "late", "client-gone", "turned-away", "unsent", "broken", "failed", "unkept", "answered", "cut", "whole"}[e]
}

// Verdict is what to do next.
type Verdict uint8

// The verdicts.
const (
	Nothing  Verdict = iota
	Again            // ask for another endpoint
	Refuse           // 503 with Retry-After: it has not run and never will
	NoAnswer         // 502
	TooLate          // 504
	PassOn           // pass on what the endpoint answers
	Abort            // end the client's connection so that the answer doesn't look complete
)

func (v Verdict) String() string {
	return [...]string{"nothing", "again", "refuse", "no-answer", "too-late", "pass-on", "abort"}[v]
}

// having is what a verdict also depends on.
type having struct {
	idempotent bool // it may run more than once
	resumable  bool // its answer may go on at another endpoint from where it is
	triesLeft  bool // another endpoint may have it, after one that had it
	turnsLeft  bool // another endpoint may be asked, after one that has not run it
}

// next is the one place that says what follows an event.
func next(s State, e Event, h having) (State, Verdict) {
	if s == Ended {
		return Ended, Nothing
	}
	if e == ClientGone {
		return Ended, Abort
	}
	if s == Headed {
		return headed(e, h)
	}
	switch e {
	case Refused, Late:
		switch {
		case s == NotSent:
			return Ended, Refuse
		case e == Late:
			return Ended, TooLate
		default:
			return Ended, NoAnswer
		}
	case TurnedAway, Unsent:
		switch {
		case h.turnsLeft:
			return s, Again
		case s == NotSent:
			return Ended, Refuse
		default:
			return Ended, NoAnswer
		}
	case Broken, Unkept, Cut:
		if h.idempotent && h.triesLeft {
			return Sent, Again
		}
		return Ended, NoAnswer
	case Failed:
		if h.idempotent && h.triesLeft {
			return Sent, Again
		}
		return Sent, PassOn
	case Answered:
		return Sent, PassOn
	default: // Whole
		return Ended, Nothing
	}
}

// headed is next after the head was passed on.
func headed(e Event, h having) (State, Verdict) {
	again := false
	switch e {
	case Answered: // of an endpoint that goes on with the answer
		if h.resumable {
			return Headed, PassOn
		}
	case Whole:
		return Ended, Nothing
	case TurnedAway, Unsent:
		again = h.resumable && h.turnsLeft
	case Broken, Unkept, Cut, Failed:
		again = h.resumable && h.triesLeft
	default: // Refused, Late
	}
	if again {
		return Headed, Again
	}
	return Ended, Abort
}
