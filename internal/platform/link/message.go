package link

import (
	"errors"
	"fmt"
)

// Kind is the type of a message, defined by the packages that exchange it. Kinds from 240 on are reserved for the
// link itself.
type Kind uint8

// Message is a call or, if no reply is expected, a one-way message.
type Message struct {
	Conn *Conn
	Kind Kind
	// Body is owned by the handler, which may retain it.
	Body []byte
	// call is the number of the call; 0: a one-way message.
	call uint32
}

// ExpectsReply reports whether the message is a call.
func (m *Message) ExpectsReply() bool { return m.call != 0 }

// Reply replies to a call. Only the first reply counts; for a one-way message it does nothing. A reply that is too
// long for a frame fails the call.
func (m *Message) Reply(body []byte) {
	if !m.ExpectsReply() {
		return
	}
	// Any other error means that the connection has ended, and the call with it.
	if err := m.Conn.write(kindReply, m.call, body); errors.Is(err, ErrTooLong) {
		m.Fail("the reply is %d bytes long: ask for less", len(body))
	}
}

// Fail replies to a call with an error, which the caller receives as a RemoteError.
func (m *Message) Fail(format string, args ...any) {
	if m.ExpectsReply() {
		// An error means that the connection has ended, and the call with it.
		_ = m.Conn.write(kindError, m.call, fmt.Appendf(nil, format, args...))
	}
}

// Reply is the outcome of a call. Err is a RemoteError if the peer failed the call, and ErrClosed if the connection
// ended before the reply arrived.
type Reply struct {
	Body []byte
	Err  error
}

// RemoteError is the message with which a peer failed a call.
type RemoteError string

// Error implements error.
func (e RemoteError) Error() string { return string(e) }
