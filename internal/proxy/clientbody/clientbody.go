// Package clientbody reads the bodies of clients' requests. It bounds each in bytes and in time, and all that are in hand in bytes, so
// that clients that send slowly, much or many at once cost a bounded part of a process.
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
	// Most bounds a body where the configuration does not.
	Most = 16 << 20
	// Wait is how long a client may take for a body where no shorter time is told.
	Wait = 30 * time.Second
	// announcedMost is what a length that is only announced takes of memory before any of it has come.
	announcedMost = 256 << 10
	leastBuffer   = 512
)

// Budget bounds the bytes of all bodies that are in hand. The zero value and nil bound nothing.
type Budget struct {
	most  int64
	taken atomic.Int64
}

// NewBudget allows for so many bytes; 0: for any number.
func NewBudget(most int64) *Budget { return &Budget{most: most} }

// take takes bytes, if there are so many.
func (b *Budget) take(n int) bool {
	if b == nil || b.most <= 0 {
		return true
	}
	if b.taken.Add(int64(n)) <= b.most {
		return true
	}
	b.taken.Add(-int64(n))
	return false
}

// Give gives the bytes of a body back that is not needed any more.
func (b *Budget) Give(n int) {
	if b != nil && b.most > 0 {
		b.taken.Add(-int64(n))
	}
}

// InHand is how many bytes are taken.
func (b *Budget) InHand() int64 {
	if b == nil {
		return 0
	}
	return b.taken.Load()
}

// Limits are those of one body.
type Limits struct {
	Most   int64     // bytes; 0: Most
	Until  time.Time // when it has to be there; later than Wait from now: Wait
	Budget *Budget   // that its bytes count for until they are given back; nil: none
}

// Read reads the body of a request whole, behind what into holds of room. It returns 0, or the status to answer if that can't be: 413
// for one that is too long, 408 for one that takes too long, 503 where too many bytes of others are in hand, 400 for one that breaks
// off. The bytes of a body that was read are taken of the budget until the caller gives len(*into) back.
func Read(rc *http.ResponseController, r *http.Request, limits Limits, into *[]byte) (status int) {
	most := limits.Most
	if most <= 0 {
		most = Most
	}
	if r.ContentLength > most {
		return http.StatusRequestEntityTooLarge
	}
	until := time.Now().Add(Wait)
	if limits.Until.Before(until) {
		until = limits.Until
	}
	_ = rc.SetReadDeadline(until)
	buffer := (*into)[:0]
	if announced := min(r.ContentLength+1, announcedMost); announced > int64(cap(buffer)) {
		buffer = make([]byte, 0, announced)
	}
	defer func() {
		if status != 0 {
			limits.Budget.Give(len(buffer))
			buffer = buffer[:0]
		}
		*into = buffer
	}()
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, make([]byte, max(leastBuffer, cap(buffer)))...)[:len(buffer)]
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		if !limits.Budget.take(n) {
			return http.StatusServiceUnavailable
		}
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > most:
			return http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF):
			_ = rc.SetReadDeadline(time.Time{})
			return 0
		case errors.Is(err, os.ErrDeadlineExceeded):
			return http.StatusRequestTimeout
		case err != nil:
			return http.StatusBadRequest
		}
	}
}
