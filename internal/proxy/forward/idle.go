package forward

import (
	"errors"
	"os"
	"time"
)

// A client's connection may be idle for the configured idle_ms, but at least for Options.IdleTimeout. net/http has one limit
// for all connections, which can't be changed while it serves. So each connection sets its own deadline while it is idle and
// checks the limit again when the deadline has passed, as a new configuration may have raised the limit meanwhile.

// idleTimeout returns how long a client's connection may be idle by the current configuration.
func (p *Proxy) idleTimeout() time.Duration {
	limit := p.options.IdleTimeout
	if s := p.options.Snapshots.Get(); s != nil && s.Config != nil {
		limit = max(limit, time.Duration(s.Config.Limits.IdleTimeoutMs)*time.Millisecond)
	}
	return limit
}

// SetReadDeadline implements net.Conn. The first deadline that the server sets after the connection has become idle is that
// of the wait for the next request; it is replaced by the deadline from idleTimeout. Later ones are for headers and bodies.
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

// extendsIdle reports whether a read of an idle connection that ended with an error is to be repeated, as the limit was raised
// after the connection became idle. It then sets the new deadline.
func (c *clientConn) extendsIdle(err error) bool {
	since := c.idleSince.Load()
	if since == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	until := since.Add(c.idleTimeout())
	return time.Now().Before(until) && c.Conn.SetReadDeadline(until) == nil
}
