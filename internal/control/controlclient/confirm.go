package controlclient

import (
	"context"
	"sync"
	"time"

	"dunetide/internal/platform/link"
)

// CertificatesConfirmedAt returns when the latest confirmed request was sent: a keeper has replied to it that a
// majority knew no newer certificates than those that the keeper had pushed before. It returns zero if there was no
// confirmation. The time is read from this process's own clock, so neither the keepers' clocks nor the delay of the
// reply affect it.
func (c *Client) CertificatesConfirmedAt() time.Time {
	if at := c.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirmLoop requests a confirmation of the certificates from all attached keepers at each interval, once there are
// any certificates.
func (c *Client) confirmLoop(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait() // they end with the context
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

// awaitConfirmation waits for a keeper's reply to a request.
func (c *Client) awaitConfirmation(ctx context.Context, reply <-chan link.Reply, requestedAt time.Time) {
	select {
	case r := <-reply:
		if r.Err == nil {
			c.setConfirmed(requestedAt)
		}
	case <-ctx.Done():
	}
}

// setConfirmed advances the time of the latest confirmation, unless a newer version was pushed that this program cannot
// parse.
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

// clearConfirmation clears the confirmation of the certificates in force, because a newer version that cannot be parsed
// may withdraw some of them. It reports whether any certificates are in force.
func (c *Client) clearConfirmation(unreadableVersion uint64) bool {
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

// wakeConfirmLoop requests a confirmation of the certificates before the interval has elapsed.
func (c *Client) wakeConfirmLoop() {
	select {
	case c.confirmWake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
