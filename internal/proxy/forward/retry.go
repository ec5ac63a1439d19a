package forward

import (
	"net/http"

	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// extraRejections is how many endpoints may reject a request in addition to its attempts.
const extraRejections = 3

// answerFromEndpoints sends a request to one endpoint after another until there is an answer for the
// client. After each event package attempt decides what to do next.
func (p *Proxy) answerFromEndpoints(x *exchange, w http.ResponseWriter, r *http.Request, rc *http.ResponseController) {
	for {
		event, granted := x.acquire()
		if granted {
			event = x.sendRequest()
			sendsByEvent[event].Inc()
		}
		verdict := x.nextVerdict(event)
		if verdict == attempt.Forward {
			if event = x.forwardAnswer(w, rc); event == attempt.BodyComplete {
				x.state = attempt.Ended
				x.recordVerdict(attempt.Forward, event)
				return
			}
			sendsByEvent[event].Inc()
			verdict = x.nextVerdict(event)
		}
		if verdict != attempt.Retry {
			x.recordVerdict(verdict, event)
			x.refundPermit(verdict)
			p.answerVerdict(x, w, r, verdict, event)
			return
		}
		if event == attempt.Failed {
			x.drainAndFinish(dispatch.Failed)
		}
		if x.headSent {
			x.lastEventID = x.stream.lastID
		}
	}
}

// answerVerdict answers a client with the proxy's own status according to a verdict, or aborts its
// connection.
func (p *Proxy) answerVerdict(
	x *exchange, w http.ResponseWriter, r *http.Request,
	verdict attempt.Verdict, event attempt.Event,
) {
	switch verdict {
	case attempt.ServiceUnavailable:
		if x.refusalReason != "" {
			w.Header().Set(headerReason, x.refusalReason)
		}
		x.checkRefusal()
		p.answerStatus(w, r, http.StatusServiceUnavailable, x.retryAfterHint())
	case attempt.BadGateway:
		p.answerStatus(w, r, http.StatusBadGateway, 0)
	case attempt.GatewayTimeout:
		p.answerStatus(w, r, http.StatusGatewayTimeout, 0)
	case attempt.Abort:
		if event == attempt.Failed {
			x.drainAndFinish(dispatch.Failed)
		}
		panic(http.ErrAbortHandler)
	default: // Done: the client is gone
	}
}

// conditions returns the conditions that the next verdict depends on.
func (x *exchange) conditions() attempt.Conditions {
	r := x.request.Route
	timeLeft := x.timeLeft() > minTimeLeft
	return attempt.Conditions{
		Idempotent:   r.Idempotent() || x.request.Bulk,
		Resumable:    r.Resumable && x.stream.lastID != "" && !x.stream.lastUnnamed,
		AttemptsLeft: timeLeft && !x.request.Bulk && x.attempts < max(1, r.MaxAttempts),
		ReroutesLeft: timeLeft && x.rejections < max(1, r.MaxAttempts)+extraRejections,
	}
}

// nextVerdict records an event and returns the next verdict.
func (x *exchange) nextVerdict(e attempt.Event) attempt.Verdict {
	switch e {
	case attempt.Rejected, attempt.NotWritten:
		x.rejections++
	case attempt.Broken, attempt.Failed, attempt.UnprovenRejection, attempt.BodyTruncated:
		x.attempts++
	default:
	}
	if x.headSent {
		x.state = attempt.HeadSent
	}
	var verdict attempt.Verdict
	x.state, verdict = attempt.Next(x.state, e, x.conditions())
	return verdict
}
