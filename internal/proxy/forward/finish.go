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

// maxDrained limits how much of a discarded answer is read to make its connection reusable.
const maxDrained = 4 << 10

// finish ends the send in flight: it releases the connection and the endpoint and completes the audit
// record of a regulated run. If no send is in flight it does nothing.
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

// finishFailed ends a send that failed with an error and returns the event.
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
	case !sent && call.Stale: // the endpoint closed an idle connection, which is not a failure
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

// finishTruncated ends a send whose answer's body was truncated and returns the event.
func (x *exchange) finishTruncated(err error) attempt.Event {
	if e := x.finishFailed(err); e != attempt.Broken && e != attempt.NotWritten {
		return e
	}
	return attempt.BodyTruncated
}

// drainAndFinish ends a send whose answer is discarded. It reads the rest of the answer so that the
// connection can be reused.
func (x *exchange) drainAndFinish(o dispatch.Outcome) {
	end := upstream.Answered
	if o == dispatch.Broken {
		end = upstream.Broken
	} else if x.drainBody(maxDrained) {
		x.connection.MarkComplete(x.response)
		if x.request.Bulk { // the item may be sent here again with the same id
			x.connection.Remember(x.request.ID)
		}
	}
	if o == dispatch.NotRun && x.response.StatusCode == http.StatusServiceUnavailable {
		end = upstream.Rejected
	}
	x.finish(o, end)
}

// drainBody reads the rest of the answer's body and reports whether it ended within less than maxBytes.
func (x *exchange) drainBody(maxBytes int64) bool {
	n, err := io.CopyN(io.Discard, x.response.Body, maxBytes)
	return n < maxBytes && errors.Is(err, io.EOF)
}
