package forward

import (
	"errors"
	"os"
	"time"
)

// A client's connection may be idle for as long as the configuration says (idle_ms), and for Options.IdleTimeout at least.
// net/http has one limit for all connections, which can't be changed while it serves: so each connection sets its own
// deadline while it is idle, and asks again when that has passed, as a configuration may have raised the limit meanwhile.

// idleTimeout returns how long a client's connection may be idle now.
func (p *Proxy) idleTimeout() time.Duration {
	limit := p.options.IdleTimeout
	if s := p.options.Snapshots.Get(); s != nil && s.Config != nil {
		limit = max(limit, time.Duration(s.Config.Limits.IdleTimeoutMs)*time.Millisecond)
	}
	return limit
}

// SetReadDeadline implements net.Conn. The first deadline that the server sets once the connection has become idle is that
// of the wait for the next request: in its place it sets that of idleTimeout. Later ones are those of headers and bodies.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	if !c.becameIdle || deadline.IsZero() || c.idleTimeout == nil {
		c.idleSince.Store(nil)
		return c.Conn.SetReadDeadline(deadline)
	}
	c.becameIdle = false
	now := time.Now()
	c.idleSince.Store(&now)
	return c.Conn.SetReadDeadline(now.Add(c.idleTimeout()))
}

// idlesOn reports whether a read of an idle connection that ended with an error is to go on, as the connection may be idle
// for longer than was known when it became idle.
func (c *clientConn) idlesOn(err error) bool {
	since := c.idleSince.Load()
	if since == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	until := since.Add(c.idleTimeout())
	return time.Now().Before(until) && c.Conn.SetReadDeadline(until) == nil
}
