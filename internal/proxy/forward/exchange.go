package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

const (
	// maxBuffered is how long a body may be that is read whole before its head is passed on.
	maxBuffered = 256 << 10
	// maxEvent bounds one event.
	maxEvent = 4 << 20
	// maxSurplus is how many answers that belong to earlier calls may come before the one that counts.
	maxSurplus = 3
	// extraTurns is how many endpoints may turn a request away, beyond its tries.
	extraTurns = 3
	// minTimeLeft is the time that must be left for another sending.
	minTimeLeft = 5 * time.Millisecond
	// answerMargin is how long before the client's deadline it is told that its time is up, and
	// endpointMargin how much sooner an endpoint is told to stop.
	answerMargin   = 10 * time.Millisecond
	endpointMargin = 10 * time.Millisecond
	// maxPooledBuffer is the size of the largest buffer that is kept.
	maxPooledBuffer = 64 << 10
)

var (
	errNotNext = errors.New("an event is not the next one")
	errTooLong = errors.New("an event is too long")
	errForeign = errors.New("the answer is not the endpoint's to this request")
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

func putBuffer(b *[]byte) {
	if cap(*b) <= maxPooledBuffer {
		*b = (*b)[:0]
		buffers.Put(b)
	}
}

// exchange is one request or item with all its sendings.
type exchange struct {
	p        *Proxy
	ctx      context.Context // ends when nobody waits any more
	req      dispatch.Request
	method   string
	head     []byte // of the call; what each sending adds begins at base
	base     int
	body     []byte
	deadline time.Time // of the answer to the client; zero: none
	last     string    // the event that was passed on last, or was named by the client

	state      attempt.State
	headed     bool // the head was passed on
	mayHaveRun bool // an endpoint had all of it and has not said that it did not run it
	tries      int  // endpoints that had it
	turns      int  // those that turned it away, or could not be reached
	retryAfter time.Duration
	err        error  // why the last sending broke
	reason     string // why it was refused, where the client is told

	// Of the sending under way.
	grant  dispatch.Grant
	run    uint64 // of a regulated run: its number in the record; 0: none
	unsent bool   // nothing of it was written
	conn   *upstream.Conn
	resp   *http.Response
	load   dispatch.Load
	stream events
}

func (x *exchange) now() time.Time { return x.p.o.Now() }

// left is the time until the deadline; a lot where there is none.
func (x *exchange) left() time.Duration {
	if x.deadline.IsZero() {
		return time.Hour
	}
	return x.deadline.Sub(x.now())
}

// conditions are what the next verdict depends on.
func (x *exchange) conditions() attempt.Conditions {
	r := x.req.Route
	timeLeft := x.left() > minTimeLeft
	return attempt.Conditions{
		Idempotent:   r.Idempotent() || x.req.Bulk,
		Resumable:    r.Resumable && x.stream.lastID != "" && !x.stream.unnamed,
		AttemptsLeft: timeLeft && !x.req.Bulk && x.tries < max(1, r.MaxAttempts),
		ReroutesLeft: timeLeft && x.turns < max(1, r.MaxAttempts)+extraTurns,
	}
}

// follow takes an event in and says what is next.
func (x *exchange) follow(e attempt.Event) attempt.Verdict {
	switch e {
	case attempt.Rejected, attempt.NotWritten:
		x.turns++
	case attempt.Broken, attempt.Failed, attempt.UnprovenRejection, attempt.BodyTruncated:
		x.tries++
	default:
	}
	if x.headed {
		x.state = attempt.HeadSent
	}
	var v attempt.Verdict
	x.state, v = attempt.Next(x.state, e, x.conditions())
	return v
}

// acquire asks for an endpoint.
func (x *exchange) acquire() (attempt.Event, bool) {
	if x.left() <= 0 {
		return attempt.DeadlineExceeded, false
	}
	since := time.Time{}
	if x.req.Regime != "" && x.req.Bulk {
		since = x.now()
	}
	g, err := x.p.o.Admission.Acquire(x.ctx, &x.req)
	if !since.IsZero() {
		x.waited(since, err == nil)
	}
	if err == nil {
		x.grant = g
		return 0, true
	}
	if x.ctx.Err() != nil {
		return attempt.ClientCanceled, false
	}
	var refused *dispatch.Refused
	if errors.As(err, &refused) {
		x.retryAfter = refused.RetryAfter
		if refused.Regime != "" {
			x.refusedFor(refused.Regime, refused.Reason)
		}
	}
	x.err = err
	if x.left() <= minTimeLeft {
		return attempt.DeadlineExceeded, false
	}
	return attempt.NotAdmitted, false
}

// send sends the request to the endpoint of the grant and reads the head of its answer. Unless
// it was answered, the send is over then; a 500 that may have to be passed on is left open.
func (x *exchange) send() attempt.Event {
	target := x.grant.Endpoint()
	x.req.Avoid = append(x.req.Avoid, target.ID)
	x.load = dispatch.Load{}
	if e, ok := x.connect(target); !ok {
		return e
	}
	x.completeHead(target.ID)
	if x.p.o.Certified.Current() != nil {
		if e, ok := x.certified(target.ID); !ok {
			return e
		}
	}
	x.checkSend(target.ID)
	if err := x.roundTrip(); err != nil {
		x.noteSent(err, 0)
		return x.failed(err)
	}
	x.load = loadOf(x.resp.Header)
	e, outcome := x.classify()
	x.noteSent(nil, e)
	switch e {
	case attempt.Answered, attempt.Failed:
		x.grant.First(x.load)
	case attempt.Rejected:
		x.retryAfter = retryAfterOf(x.resp.Header)
		x.drainAndFinish(outcome)
	default:
		x.err = errForeign
		x.drainAndFinish(outcome)
	}
	return e
}

// connect takes a connection to the endpoint. If there is none, or no time is left, the send is over.
func (x *exchange) connect(target dispatch.Target) (attempt.Event, bool) {
	conn, err := x.takeConn(target)
	switch {
	case err == nil:
		x.conn = conn
	case x.ctx.Err() != nil:
		x.err = err
		x.finish(dispatch.Unsent, upstream.Unused)
		return attempt.ClientCanceled, false
	case errors.Is(err, upstream.ErrBusy), errors.Is(err, upstream.ErrRemoved), errors.Is(err, upstream.ErrDeadline):
		x.err = err
		x.finish(dispatch.Unsent, upstream.Unused)
		return attempt.NotWritten, false
	default: // nobody accepts its connections
		x.err = err
		x.finish(dispatch.Broken, upstream.Unused)
		return attempt.NotWritten, false
	}
	if x.left() <= minTimeLeft {
		x.finish(dispatch.Unsent, upstream.Unused)
		return attempt.DeadlineExceeded, false
	}
	return 0, true
}

// takeConn takes a connection that has not carried this id before.
func (x *exchange) takeConn(target dispatch.Target) (*upstream.Conn, error) {
	pool := x.p.poolOf(target)
	for {
		conn, err := pool.AcquireBefore(x.ctx, x.deadline)
		if err != nil || !conn.HasCarried(x.req.ID) {
			return conn, err
		}
		conn.Retire()
		conn.Release(upstream.Unused)
	}
}

// failed ends a sending that broke, and says what that was.
func (x *exchange) failed(err error) attempt.Event {
	x.err = err
	var call *upstream.CallError
	sent := !errors.As(err, &call) || call.Sent
	switch {
	case x.ctx.Err() != nil:
		x.finish(dispatch.Left, upstream.Canceled)
		return attempt.ClientCanceled
	case errors.Is(err, os.ErrDeadlineExceeded) && x.left() <= minTimeLeft:
		x.finish(dispatch.Silent, upstream.Canceled)
		if sent {
			x.state = max(x.state, attempt.Sent)
		}
		return attempt.DeadlineExceeded
	case !sent && call.Stale:
		x.unsent = true
		x.finish(dispatch.Left, upstream.Broken)
		return attempt.NotWritten
	case !sent:
		x.unsent = true
		x.finish(dispatch.Broken, upstream.Broken)
		return attempt.NotWritten
	default:
		x.finish(dispatch.Broken, upstream.Broken)
		return attempt.Broken
	}
}

// drain reads the rest of the body, up to a bound, and tells whether it came to its end.
func (x *exchange) drain(most int64) bool {
	n, err := io.CopyN(io.Discard, x.resp.Body, most)
	return n < most && errors.Is(err, io.EOF)
}

// drainAndFinish ends a sending whose answer is of no use but for its connection.
func (x *exchange) drainAndFinish(o dispatch.Outcome) {
	end := upstream.Answered
	if o == dispatch.Broken {
		end = upstream.Broken
	} else if x.drain(4 << 10) {
		x.conn.MarkComplete(x.resp)
		if x.req.Bulk { // it may be sent here again under the same id
			x.conn.Remember(x.req.ID)
		}
	}
	if o == dispatch.NotRun && x.resp.StatusCode == http.StatusServiceUnavailable {
		end = upstream.Rejected
	}
	x.finish(o, end)
}

// finish ends a sending.
func (x *exchange) finish(o dispatch.Outcome, end upstream.Outcome) {
	if x.conn != nil {
		x.conn.Release(end)
		x.conn = nil
	}
	if x.grant != nil {
		x.grant.End(o, x.load)
		x.grant = nil
	}
	if x.run != 0 {
		x.recorded(o)
	}
}
