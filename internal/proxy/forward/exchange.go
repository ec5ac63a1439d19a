package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

const (
	// minTimeLeft is the time that must be left for another sending.
	minTimeLeft = 5 * time.Millisecond
	// answerMargin is how long before the client's deadline the client is answered that its time is
	// up, and endpointMargin how much sooner an endpoint is told to stop.
	answerMargin   = 10 * time.Millisecond
	endpointMargin = 10 * time.Millisecond
	// bufferSize is the size of a new buffer, and maxPooledBuffer that of the largest one that is
	// kept for reuse.
	bufferSize      = 4 << 10
	maxPooledBuffer = 64 << 10
)

// exchange is one request or item with all its sendings to endpoints. It belongs to the goroutine
// that serves the request.
type exchange struct {
	proxy    *Proxy
	ctx      context.Context // ends when nobody waits any more
	request  dispatch.Request
	method   string
	head     []byte // of the request; what each sending adds begins at sharedHeadLength
	body     []byte
	deadline time.Time // of the answer to the client; zero: none

	sharedHeadLength int
	lastEventID      string // of the event that was forwarded last, or that the client named

	state         attempt.State
	headSent      bool // the head of an answer was forwarded to the client
	mayHaveRun    bool // an endpoint had all of it and has not said that it did not run it
	attempts      int  // endpoints that had it
	rejections    int  // endpoints that refused it, or could not be reached
	retryAfter    time.Duration
	err           error  // why the last sending failed
	refusalReason string // why it was refused, where the client is told

	// Of the sending in flight.
	grant        dispatch.Grant
	recordNumber uint64 // of a regulated run: its number in the record; 0: none
	notWritten   bool   // nothing of it was written
	connection   *upstream.Conn
	response     *http.Response
	load         dispatch.Load
	stream       eventStream
}

func (x *exchange) now() time.Time { return x.proxy.options.Now() }

// timeLeft returns the time until the deadline; an hour where there is none.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return time.Hour
	}
	return x.deadline.Sub(x.now())
}

// buffers are reused by exchanges.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

// putBuffer returns a buffer for reuse, unless it has grown large.
func putBuffer(b *[]byte) {
	if cap(*b) <= maxPooledBuffer {
		*b = (*b)[:0]
		buffers.Put(b)
	}
}

// acquireBuffers gives the exchange buffers for the head of the request and for the answer, and
// returns them for releaseBuffers.
func (x *exchange) acquireBuffers() (head, stream *[]byte) {
	head, stream = getBuffer(), getBuffer()
	x.head, x.stream.buffer = *head, *stream
	return head, stream
}

// releaseBuffers returns the buffers for reuse. Before, it ends a sending that is still in flight,
// which happens where the handler panics.
func (x *exchange) releaseBuffers(head, stream *[]byte) {
	x.finish(dispatch.Canceled, upstream.Canceled)
	*head, *stream = x.head, x.stream.buffer
	putBuffer(head)
	putBuffer(stream)
}
