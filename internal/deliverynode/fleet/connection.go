package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

// currentTransport returns the transport of the session, or net.ErrClosed: memberlist may call briefly after its end.
func (f *Fleet) currentTransport() (Transport, context.Context, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport == nil {
		return nil, nil, net.ErrClosed
	}
	return f.transport, f.ctx, nil
}

// sendPacket sends a datagram.
func (f *Fleet) sendPacket(payload []byte, to netip.AddrPort) error {
	transport, _, err := f.currentTransport()
	if err != nil {
		return err
	}
	b := sealPacket(f.key, payload)
	f.stats.packetsOut.Add(1)
	f.stats.bytesOut.Add(int64(len(b)))
	return transport.SendTo(b, to)
}

// reserveConn counts a connection towards the limit; it returns false if the limit is reached.
func (f *Fleet) reserveConn() bool {
	select {
	case f.conns <- struct{}{}:
		return true
	default:
	}
	f.stats.connsRefused.Add(1)
	return false
}

var errTooManyConns = errors.New("connection limit reached")

// trackedConn counts a connection's bytes, closes it with the session and releases its slot.
type trackedConn struct {
	net.Conn
	fleet *Fleet

	mu     sync.Mutex
	stop   func() bool
	closed bool
}

func (f *Fleet) trackedConn(ctx context.Context, raw net.Conn) *trackedConn {
	c := &trackedConn{Conn: raw, fleet: f}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	return c
}

// Read reads and counts the bytes.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.fleet.stats.bytesIn.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *trackedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.fleet.stats.bytesOut.Add(int64(n))
	return n, err
}

// Close closes the connection and, on the first call, releases its slot.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.stop()
		<-c.fleet.conns
	}
	return c.Conn.Close()
}
