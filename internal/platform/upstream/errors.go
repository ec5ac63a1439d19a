package upstream

import (
	"errors"
	"fmt"
)

// Errors of Acquire, for errors.Is. Errors of dialing are wrapped with the endpoint's address.
var (
	// ErrRemoved is returned when the endpoint is no longer listed, or its address has changed during the dial.
	ErrRemoved = errors.New("the endpoint was removed or has moved")
	// ErrBusy is returned when no connection became free in time, or too many calls wait for one.
	ErrBusy = errors.New("no free connection")
	// ErrDeadline is returned when the call's deadline passes before a connection is available.
	ErrDeadline = errors.New("no connection before the call's deadline")
)

var errTooLong = errors.New("the response is too long")

// CallError describes why a call failed.
type CallError struct {
	Sent      bool // the last byte was written: the request may have been executed; if false, it can't be
	Delivered bool // a complete status line with status 200 was received
	Stale     bool // the connection ended while it was idle, which indicates nothing about the endpoint
	Err       error
}

// Error returns whether the request was written, and the cause.
func (e *CallError) Error() string {
	if !e.Sent {
		return fmt.Sprintf("the request was not written completely: %v", e.Err)
	}
	return fmt.Sprintf("no readable response: %v", e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
