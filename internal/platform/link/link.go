// Package link carries messages between the system's own processes over persistent TCP connections: calls with replies,
// one-way messages, and probes by which each side detects a dead peer.
//
// All roles use it: proxies and stores to reach keepers, keepers to reach each other, proxies and stores for batch
// jobs. The package doesn't interpret messages; the packages that exchange them declare their kinds.
//
// # Ordering and delivery
//
// Messages of one connection arrive in the order in which they were sent, each at most once. Messages that are not
// delivered when a connection ends are lost; none is retransmitted on another connection. If a call ends with an error
// other than RemoteError, it may or may not have been executed.
//
// # Goroutines
//
// Each connection has a reading goroutine, which also runs the Handler, a writing goroutine, and a timer for probes.
// They end with the connection, whichever side ends it. Close doesn't wait for them, as a handler may call it; the last
// action of the reading goroutine is to call Handler.Closed. Sending never blocks on the network: a message is appended
// to a queue that the writing goroutine drains.
//
// docs/control.md describes links between processes and keepers.
package link

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// dialTimeout limits the time that opening a connection takes.
	dialTimeout = 800 * time.Millisecond
	// acceptRetryDelay is the pause after accepting a connection has failed, which usually means that the process has
	// no file descriptors left.
	acceptRetryDelay = 10 * time.Millisecond
)

// Options are the time limits of a connection. Both sides should use the same ones.
type Options struct {
	// ProbeInterval is the time without a write after which a side writes a probe.
	ProbeInterval time.Duration
	// PeerTimeout is the time without a read after which a side considers the peer dead and closes the connection.
	PeerTimeout time.Duration
}

// DefaultOptions detect a dead peer little later than 1.3 s after its last write.
var DefaultOptions = Options{
	ProbeInterval: 400 * time.Millisecond,
	PeerTimeout:   1300 * time.Millisecond,
}

// Handler receives the messages of its connections.
type Handler interface {
	// Message is called for each message and call, in the order of their arrival, from one goroutine per connection.
	// It must not block for long, as nothing else is read meanwhile: it replies to a call that takes time later, from
	// another goroutine.
	Message(m *Message)
	// Closed is called once, after the last message of a connection.
	Closed(c *Conn)
}

// Dial opens a connection to an IPv4 address. It fails after 800 ms, or earlier if the context ends; after that, the
// context has no effect on the connection.
func Dial(ctx context.Context, addr string, h Handler, o Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{KeepAlive: -1} // probes replace TCP keepalives
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return start(nc, h, o), nil
}

// Serve accepts connections until the listener is closed, and then returns the listener's error. Connections accepted
// before stay open.
func Serve(l net.Listener, h Handler, o Options) error {
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			start(nc, h, o)
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}
