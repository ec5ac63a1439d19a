package forward

import (
	"errors"
	"io"
	"net/http"
	"os"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// maxDrained is how much of a useless answer is read so that its connection can be used again.
const maxDrained = 4 << 10

// finish ends a sending: it returns the connection, releases the endpoint and ends the record of a
// regulated run. Without a sending in flight it has no effect.
func (x *exchange) finish(o dispatch.Outcome, end upstream.Outcome) {
	if x.connection != nil {
		x.connection.Release(end)
		x.connection = nil
	}
	if x.grant != nil {
		x.grant.End(o, x.load)
		x.grant = nil
	}
	if x.recordNumber != 0 {
		x.endRecord(o)
	}
}

// finishFailed ends a sending that failed with an error, and returns the event that this is.
func (x *exchange) finishFailed(err error) attempt.Event {
	x.err = err
	var call *upstream.CallError
	sent := !errors.As(err, &call) || call.Sent
	switch {
	case x.ctx.Err() != nil:
		x.finish(dispatch.Canceled, upstream.Canceled)
		return attempt.ClientCanceled
	case errors.Is(err, os.ErrDeadlineExceeded) && x.timeLeft() <= minTimeLeft:
		x.finish(dispatch.TimedOut, upstream.Canceled)
		if sent {
			x.state = max(x.state, attempt.Sent)
		}
		return attempt.DeadlineExceeded
	case !sent && call.Stale: // the endpoint has closed a connection that was idle, which is no failure of it
		x.notWritten = true
		x.finish(dispatch.Canceled, upstream.Broken)
		return attempt.NotWritten
	case !sent:
		x.notWritten = true
		x.finish(dispatch.Broken, upstream.Broken)
		return attempt.NotWritten
	default:
		x.finish(dispatch.Broken, upstream.Broken)
		return attempt.Broken
	}
}

// finishCut ends a sending whose body broke off, and returns the event that this is.
func (x *exchange) finishCut(err error) attempt.Event {
	if e := x.finishFailed(err); e != attempt.Broken && e != attempt.NotWritten {
		return e
	}
	return attempt.BodyTruncated
}

// drainAndFinish ends a sending whose answer is of no use but for its connection.
func (x *exchange) drainAndFinish(o dispatch.Outcome) {
	end := upstream.Answered
	if o == dispatch.Broken {
		end = upstream.Broken
	} else if x.drainBody(maxDrained) {
		x.connection.MarkComplete(x.response)
		if x.request.Bulk { // it may be sent here again under the same id
			x.connection.Remember(x.request.ID)
		}
	}
	if o == dispatch.NotRun && x.response.StatusCode == http.StatusServiceUnavailable {
		end = upstream.Rejected
	}
	x.finish(o, end)
}

// drainBody reads the rest of the answer's body, less than maxBytes, and reports whether it came to
// its end.
func (x *exchange) drainBody(maxBytes int64) bool {
	n, err := io.CopyN(io.Discard, x.response.Body, maxBytes)
	return n < maxBytes && errors.Is(err, io.EOF)
}
