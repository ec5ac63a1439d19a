package controlclient

import (
	"context"
	"sync"
	"time"

	"dunetide/internal/platform/link"
)

// CertificatesConfirmedAt returns the time of the newest request to which a keeper has answered that a majority knew of
// no newer certificates than those that it had pushed before; zero: none was answered yet. The time is that of this
// process's own clock when it sent the request, so neither the keepers' clocks nor the delay of the answer matter.
func (c *Client) CertificatesConfirmedAt() time.Time {
	if at := c.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirmLoop has all attached keepers confirm the certificates at each interval, once there are any.
func (c *Client) confirmLoop(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait() // the context ends them
	ticker := time.NewTicker(c.options.ConfirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.confirmWake:
		case <-ctx.Done():
			return
		}
		if s := c.options.Snapshots.Get(); s == nil || s.Certificates == nil {
			continue
		}
		for _, conn := range c.KeeperConns() {
			requestedAt := time.Now()
			reply := conn.Go(KindConfirm, nil)
			pending.Go(func() { c.awaitConfirmation(ctx, reply, requestedAt) })
		}
	}
}

// awaitConfirmation waits for a keeper's answer to a request.
func (c *Client) awaitConfirmation(ctx context.Context, reply <-chan link.Reply, requestedAt time.Time) {
	select {
	case r := <-reply:
		if r.Err == nil {
			c.setConfirmed(requestedAt)
		}
	case <-ctx.Done():
	}
}

// setConfirmed moves the time of the newest confirmation forward, unless a version has been pushed that can't be
// parsed.
func (c *Client) setConfirmed(requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.certificates == nil || c.unreadableCertificates > c.certificates.Version {
		return
	}
	for {
		old := c.confirmed.Load()
		if old != nil && !old.Before(requestedAt) || c.confirmed.CompareAndSwap(old, &requestedAt) {
			return
		}
	}
}

// distrustCertificates has the certificates in force no longer count as confirmed, as a newer version that can't be
// parsed may withdraw them. It reports whether there are any in force.
func (c *Client) distrustCertificates(unreadableVersion uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.certificates == nil {
		return false
	}
	if unreadableVersion > c.certificates.Version {
		c.unreadableCertificates = unreadableVersion
		c.confirmed.Store(nil)
	}
	return true
}

// confirmNow has the keepers confirm the certificates before the interval is over.
func (c *Client) confirmNow() {
	select {
	case c.confirmWake <- struct{}{}:
	default: // they are to be confirmed already
	}
}
