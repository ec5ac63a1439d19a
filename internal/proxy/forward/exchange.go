package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
	"dunetide/internal/quota"
)

const (
	// minTimeLeft is the minimum time left for another send.
	minTimeLeft = 5 * time.Millisecond
	// answerMargin is how long before the client's deadline a timeout is answered, and endpointMargin
	// how much earlier than that the deadline passed to the endpoint is.
	answerMargin   = 10 * time.Millisecond
	endpointMargin = 10 * time.Millisecond
	// bufferSize is the size of a new buffer, and maxPooledBuffer the largest size kept for reuse.
	bufferSize      = 4 << 10
	maxPooledBuffer = 64 << 10
)

// exchange is one request or item with all its sends to endpoints. Only the goroutine that serves the
// request uses it.
type exchange struct {
	proxy    *Proxy
	ctx      context.Context // ends when the client disconnects or the item's job cancels it
	request  dispatch.Request
	method   string
	head     []byte // of the request; the fields that each send adds begin at sharedHeadLength
	body     []byte
	deadline time.Time // of the answer to the client; zero: none

	sharedHeadLength int
	lastEventID      string // of the last event forwarded, or as stated by the client

	tenant         string       // named to endpoints; empty: none
	withholdsKey   bool         // endpoints must not see the client's own Authorization
	withheldLength int          // bytes of the head that were withheld for that reason
	permit         quota.Permit // a token of the tenant's limit; nil: none is held

	state         attempt.State
	headSent      bool // the head of an answer was forwarded to the client
	mayHaveRun    bool // an endpoint received all of it and did not state that it has not run it
	attempts      int  // sends that may have run and failed
	rejections    int  // sends that an endpoint rejected, or that did not reach one
	retryAfter    time.Duration
	err           error  // why the last send failed
	refusalReason string // reason of a refusal, as stated to the client

	// The send in flight.
	grant        dispatch.Grant
	recordNumber uint64 // number of a regulated run in the audit record; 0: none
	notWritten   bool   // the request was not written completely
	connection   *upstream.Conn
	response     *http.Response
	load         dispatch.Load
	stream       eventStream
}

func (x *exchange) now() time.Time { return x.proxy.options.Now() }

// timeLeft returns the time until the deadline, or an hour if there is none.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return time.Hour
	}
	return x.deadline.Sub(x.now())
}

// buffers is a pool of buffers for exchanges.
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

// releaseBuffers returns the buffers for reuse. It first finishes a send that is still in flight, which
// happens if the handler panics.
func (x *exchange) releaseBuffers(head, stream *[]byte) {
	x.finish(dispatch.Canceled, upstream.Canceled)
	*head, *stream = x.head, x.stream.buffer
	putBuffer(head)
	putBuffer(stream)
}
