package forward

import (
	"errors"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// maxSurplus is how many answers that belong to earlier requests may come before the one that counts.
const maxSurplus = 3

// errForeign is the error of an answer that is not to this request.
var errForeign = errors.New("the answer is not the endpoint's to this request")

// sendRequest sends the request to the endpoint of the grant and reads the head of its answer.
// Unless it was answered, the sending is over then; a 500 that may have to be forwarded is left
// open.
func (x *exchange) sendRequest() attempt.Event {
	target := x.grant.Endpoint()
	x.request.Avoid = append(x.request.Avoid, target.ID)
	x.load = dispatch.Load{}
	if e, ok := x.connect(target); !ok {
		return e
	}
	x.completeHead(target.ID)
	if x.proxy.options.Certificates.Current() != nil {
		if e, ok := x.recheckCertificate(target.ID); !ok {
			return e
		}
	}
	x.checkSend(target.ID)
	if err := x.roundTrip(); err != nil {
		x.recordSent(err, 0)
		return x.finishFailed(err)
	}
	x.load = reportedLoad(x.response.Header)
	e, outcome := x.classify()
	x.recordSent(nil, e)
	switch e {
	case attempt.Answered, attempt.Failed:
		x.grant.FirstToken(x.load)
	case attempt.Rejected:
		x.retryAfter = retryAfterHeader(x.response.Header)
		x.drainAndFinish(outcome)
	default:
		x.err = errForeign
		x.drainAndFinish(outcome)
	}
	return e
}

// connect acquires a connection to the endpoint. If there is none, or no time is left, the sending
// is over: it returns false and the event.
func (x *exchange) connect(target dispatch.Target) (attempt.Event, bool) {
	conn, err := x.acquireConnection(target)
	switch {
	case err == nil:
		x.connection = conn
	case x.ctx.Err() != nil:
		x.err = err
		x.finish(dispatch.NotSent, upstream.Unused)
		return attempt.ClientCanceled, false
	case errors.Is(err, upstream.ErrBusy), errors.Is(err, upstream.ErrRemoved), errors.Is(err, upstream.ErrDeadline):
		x.err = err
		x.finish(dispatch.NotSent, upstream.Unused)
		return attempt.NotWritten, false
	default: // nobody accepts its connections
		x.err = err
		x.finish(dispatch.Broken, upstream.Unused)
		return attempt.NotWritten, false
	}
	if x.timeLeft() <= minTimeLeft {
		x.finish(dispatch.NotSent, upstream.Unused)
		return attempt.DeadlineExceeded, false
	}
	return 0, true
}

// acquireConnection acquires a connection that has not carried this id before: an answer to the
// earlier sending might come late.
func (x *exchange) acquireConnection(target dispatch.Target) (*upstream.Conn, error) {
	pool := x.proxy.poolFor(target)
	for {
		conn, err := pool.AcquireBefore(x.ctx, x.deadline)
		if err != nil || !conn.HasCarried(x.request.ID) {
			return conn, err
		}
		conn.Retire()
		conn.Release(upstream.Unused)
	}
}

// roundTrip writes the request and reads the head of its answer. Before it, duplicates of answers
// to earlier requests on the connection may arrive: their ids differ, and they are skipped.
func (x *exchange) roundTrip() (err error) {
	if x.delaysEnd() {
		x.connection.DelayEnd()
	}
	//nolint:bodyclose // finish releases the connection, which is what has an end
	x.response, err = x.connection.Open(x.ctx, x.method, x.head, x.body, x.deadline)
	for skipped := 0; err == nil; skipped++ {
		matches, spliced := x.answersThisRequest(), x.spliced()
		if matches && !spliced {
			return nil
		}
		if spliced || skipped == maxSurplus || !x.skippable() || !x.drainBody(maxBuffered) {
			return &upstream.CallError{Sent: true, Err: errForeign}
		}
		//nolint:bodyclose // as above
		x.response, err = x.connection.NextAnswer()
	}
	return err
}

// delaysEnd reports whether the request must not be lost on a connection that the endpoint has
// closed: no other endpoint may have it after a reset, as it may run once or this is its last
// attempt. Then the end of the request is written a round trip after its start, so that a reset
// comes first (upstream.Conn.DelayEnd). A regulated request goes out at once: its certificate was
// checked a moment ago, and may be withdrawn. An item goes out at once too: it comes back after a
// pause.
func (x *exchange) delaysEnd() bool {
	if x.request.Regime != "" || x.request.Bulk {
		return false
	}
	return !x.request.Route.Idempotent() || x.attempts+1 >= max(1, x.request.Route.MaxAttempts)
}
