package forward

import (
	"errors"
	"net/http"
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

// SetReadDeadline implements net.Conn. In place of a deadline for an idle connection it sets that of idleTimeout.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	if c.state != http.StateIdle || deadline.IsZero() || c.idleTimeout == nil {
		c.idleSince = time.Time{}
		return c.Conn.SetReadDeadline(deadline)
	}
	c.idleSince = time.Now()
	return c.Conn.SetReadDeadline(c.idleSince.Add(c.idleTimeout()))
}

// idlesOn reports whether a read of an idle connection that ended with an error is to go on, as the connection may be idle
// for longer than was known when it became idle.
func (c *clientConn) idlesOn(err error) bool {
	if c.idleSince.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	until := c.idleSince.Add(c.idleTimeout())
	return time.Now().Before(until) && c.Conn.SetReadDeadline(until) == nil
}
