// Package clientbody reads the bodies of clients' requests. It bounds each body in bytes and in time, and all bodies
// together in bytes, so that clients that send slowly, much or many at once cost a process a bounded amount of
// memory.
//
// Proxies read requests and batch jobs through it. Every byte that was read is reserved in a Budget until the caller
// releases it; Read releases what it reserved itself when it fails.
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
	// DefaultMaxBytes bounds a body where the configuration does not.
	DefaultMaxBytes = 16 << 20
	// MaxDuration is how long a client may take to send a body where the deadline is not earlier.
	MaxDuration = 30 * time.Second

	// maxPreallocated is how many bytes are allocated for a length that is only announced.
	maxPreallocated = 256 << 10
	// minGrowth is by how many bytes a buffer that is full grows at least.
	minGrowth = 512
)

// Budget bounds the bytes of all bodies that are in memory. The zero value and nil bound nothing. It is safe for
// concurrent use.
type Budget struct {
	maxBytes int64
	reserved atomic.Int64
}

// NewBudget returns a budget of so many bytes; 0 bounds nothing.
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

// Release returns the bytes of a body that is no longer needed.
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

// Limits are those of one body.
type Limits struct {
	MaxBytes int64     // 0: DefaultMaxBytes
	Deadline time.Time // when the body has to be complete; at most MaxDuration from now
	Budget   *Budget   // in which its bytes are reserved until they are released; nil: none
}

// Read reads the whole body of a request into the buffer that into points at, and grows that as needed. It returns 0
// or, if the body can't be had, the status to answer: 413 if it is too long, 408 if it takes too long, 503 if the
// budget is used up by others, 400 if it breaks off. After 0 the caller has to release len(*into) bytes of the
// budget.
func Read(rc *http.ResponseController, r *http.Request, limits Limits, into *[]byte) (status int) {
	maxBytes := limits.MaxBytes
	if maxBytes <= 0 {
		maxBytes = DefaultMaxBytes
	}
	if r.ContentLength > maxBytes {
		return http.StatusRequestEntityTooLarge
	}
	deadline := time.Now().Add(MaxDuration)
	if limits.Deadline.Before(deadline) {
		deadline = limits.Deadline
	}
	_ = rc.SetReadDeadline(deadline) // fails only on connections of tests, which have no deadlines
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
		switch {
		case int64(len(buffer)) > maxBytes:
			return http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF):
			_ = rc.SetReadDeadline(time.Time{}) // as above
			return 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			return http.StatusRequestTimeout
		case err != nil:
			return http.StatusBadRequest
		}
	}
}
