package upstream

import (
	"errors"
	"fmt"
)

// The errors of Acquire, for errors.Is. Errors of dialing are passed on as they are, with the endpoint's address.
var (
	// ErrRemoved says that the endpoint is no longer listed, or has moved since the call was decided.
	ErrRemoved = errors.New("the endpoint is gone")
	// ErrBusy says that no connection became free in time, or that too many calls wait for one.
	ErrBusy = errors.New("no connection to spare")
	// ErrDeadline says that the call's deadline came before a connection did.
	ErrDeadline = errors.New("no connection before the deadline")
)

var errTooLong = errors.New("the answer is too long")

// CallError says how a call broke.
type CallError struct {
	Sent      bool // its last byte was written: it may have run. If not, it never will
	Delivered bool // the first line of its answer says 200
	Stale     bool // the connection had ended while it was idle, which says nothing about the endpoint
	Err       error
}

// Error says whether the call was written, and what went wrong.
func (e *CallError) Error() string {
	if !e.Sent {
		return fmt.Sprintf("the call was not written: %v", e.Err)
	}
	return fmt.Sprintf("no answer that can be read: %v", e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
