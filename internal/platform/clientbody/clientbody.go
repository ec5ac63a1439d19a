// Package clientbody reads the bodies of clients' requests. It bounds each body in bytes and in time, and all bodies
// together in bytes, so that slow, large or many concurrent bodies cost a process a bounded amount of memory.
//
// Proxies use it for requests and batch jobs, keepers for the requests of operators and endpoints. Every byte that is
// read is reserved in a Budget until the caller releases it; if Read fails, it releases its own reservation.
package clientbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

const (
	// DefaultMaxBytes bounds a body if the configuration does not.
	DefaultMaxBytes = 16 << 20
	// MaxDuration is how long a client may take to send a body, unless the deadline is earlier.
	MaxDuration = 30 * time.Second

	// rateWindow is the period over which Limits.MinRate is enforced. A stalled sender is timed out after it.
	rateWindow = 2 * time.Second

	// maxPreallocated bounds the bytes that are allocated on the strength of the Content-Length header alone.
	maxPreallocated = 256 << 10
	// minGrowth is the least number of bytes by which a full buffer grows.
	minGrowth = 512
)

// Budget bounds the bytes of all bodies in memory. The zero value and nil impose no bound. It is safe for concurrent
// use.
type Budget struct {
	maxBytes int64
	reserved atomic.Int64
}

// NewBudget returns a budget of maxBytes bytes; 0 imposes no bound.
func NewBudget(maxBytes int64) *Budget { return &Budget{maxBytes: maxBytes} }

// reserve reserves bytes, unless they would exceed the budget.
func (b *Budget) reserve(n int) bool {
	if b == nil || b.maxBytes <= 0 {
		return true
	}
	if b.reserved.Add(int64(n)) <= b.maxBytes {
		return true
	}
	b.reserved.Add(-int64(n))
	return false
}

// Release gives the bytes of a body that is no longer needed back to the budget.
func (b *Budget) Release(n int) {
	if b != nil && b.maxBytes > 0 {
		b.reserved.Add(-int64(n))
	}
}

// Reserved returns how many bytes are reserved.
func (b *Budget) Reserved() int64 {
	if b == nil {
		return 0
	}
	return b.reserved.Load()
}

// Limits are the limits of one body.
type Limits struct {
	MaxBytes int64     // 0: DefaultMaxBytes
	Deadline time.Time // when the body has to be complete; at most MaxDuration from now
	Budget   *Budget   // reserves the bytes of the body until they are released; nil: unbounded
	// MinRate is how many bytes per second must arrive, averaged over rateWindow; 0: no minimum.
	MinRate int
}

// readDeadline maintains the read deadline of a request while its body is read.
type readDeadline struct {
	control    *http.ResponseController
	last       time.Time // when the body has to be complete
	windowSize int       // bytes that must arrive in each rateWindow; 0: no minimum
	received   int       // bytes in the current window
}

func newReadDeadline(control *http.ResponseController, limits *Limits) *readDeadline {
	d := &readDeadline{
		control:    control,
		last:       time.Now().Add(MaxDuration),
		windowSize: int(float64(limits.MinRate) * rateWindow.Seconds()),
	}
	if limits.Deadline.Before(d.last) {
		d.last = limits.Deadline
	}
	d.begin()
	return d
}

// begin starts a window.
func (d *readDeadline) begin() {
	d.received = 0
	until := d.last
	if end := time.Now().Add(rateWindow); d.windowSize > 0 && end.Before(until) {
		until = end
	}
	_ = d.control.SetReadDeadline(until) // fails only on connections in tests, which don't support deadlines
}

// read counts received bytes.
func (d *readDeadline) read(n int) {
	if d.received += n; d.windowSize > 0 && d.received >= d.windowSize {
		d.begin()
	}
}

// end removes the deadline.
func (d *readDeadline) end() { _ = d.control.SetReadDeadline(time.Time{}) } // as in begin

// Read reads the complete body of a request into the buffer that into points at, and grows it as needed. It returns 0
// or, on failure, the status of the response: 413 if the body is too long, 408 if it arrives too slowly, 503 if the
// budget is exhausted, 400 if the body is incomplete. After 0 the caller must release len(*into) bytes of the budget.
func Read(rc *http.ResponseController, r *http.Request, limits Limits, into *[]byte) (status int) {
	maxBytes := limits.MaxBytes
	if maxBytes <= 0 {
		maxBytes = DefaultMaxBytes
	}
	if r.ContentLength > maxBytes {
		return http.StatusRequestEntityTooLarge
	}
	deadline := newReadDeadline(rc, &limits)
	buffer := (*into)[:0]
	if announced := min(r.ContentLength+1, maxPreallocated); announced > int64(cap(buffer)) {
		buffer = make([]byte, 0, announced)
	}
	defer func() {
		if status != 0 {
			limits.Budget.Release(len(buffer))
			buffer = buffer[:0]
		}
		*into = buffer
	}()
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, make([]byte, max(minGrowth, cap(buffer)))...)[:len(buffer)]
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		if !limits.Budget.reserve(n) {
			return http.StatusServiceUnavailable
		}
		buffer = buffer[:len(buffer)+n]
		deadline.read(n)
		switch {
		case int64(len(buffer)) > maxBytes:
			return http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF):
			deadline.end()
			return 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			return http.StatusRequestTimeout
		case err != nil:
			return http.StatusBadRequest
		}
	}
}
