package forward

import (
	"errors"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// maxSkippedAnswers is how many answers to earlier requests are skipped before the answer to this one.
const maxSkippedAnswers = 3

// errInvalidAnswer is the error of an answer that is invalid or belongs to another request.
var errInvalidAnswer = errors.New("endpoint's answer is invalid or belongs to another request")

// sendRequest sends the request to the endpoint of the grant and reads the head of its answer.
// On return the send is finished unless the event is Answered or Failed: then the answer's body is
// still to be read, as a 500 may have to be forwarded too.
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
		x.err = errInvalidAnswer
		x.drainAndFinish(outcome)
	}
	return e
}

// connect acquires a connection to the endpoint. If there is none, or no time is left, it finishes the
// send and returns the event and false.
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
	default: // the endpoint accepts no connections
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

// acquireConnection acquires a connection that has not carried this id before: a late answer to the
// earlier send could be taken for the answer to this one.
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

// roundTrip writes the request and reads the head of its answer. Duplicates of answers to earlier
// requests on the connection may arrive before it; they have other ids and are skipped.
func (x *exchange) roundTrip() (err error) {
	if x.shouldDelayEnd() {
		x.connection.DelayEnd()
	}
	//nolint:bodyclose // finish releases the connection, which is what has an end
	x.response, err = x.connection.Open(x.ctx, x.method, x.head, x.body, x.deadline)
	for skipped := 0; err == nil; skipped++ {
		matches, spliced := x.answersThisRequest(), x.spliced()
		if matches && !spliced {
			return nil
		}
		if spliced || skipped == maxSkippedAnswers || !x.skippable() || !x.drainBody(maxBuffered) {
			return &upstream.CallError{Sent: true, Err: errInvalidAnswer}
		}
		//nolint:bodyclose // as above
		x.response, err = x.connection.NextResponse()
	}
	return err
}

// shouldDelayEnd reports whether the end of the request is written a round trip after its start, so
// that on a connection that the endpoint has closed the reset arrives first (upstream.Conn.DelayEnd).
// This applies to requests that can't be retried after a reset: those that may run only once, and
// those on their last attempt. Regulated requests are not delayed, as their certificate was checked
// just before and may be withdrawn meanwhile. Items are not delayed, as their job retries them.
func (x *exchange) shouldDelayEnd() bool {
	if x.request.Regime != "" || x.request.Bulk {
		return false
	}
	return !x.request.Route.Idempotent() || x.attempts+1 >= max(1, x.request.Route.MaxAttempts)
}
