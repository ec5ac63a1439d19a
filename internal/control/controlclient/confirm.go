package controlclient

import (
	"context"
	"time"
)

// Confirmed tells when the newest question was asked to which a keeper has answered that a majority knew of no newer
// certificates than those it had pushed before; zero: none was answered yet. It is this process's own clock, so neither
// the keepers' clocks nor the time that an answer took count for anything.
func (c *Client) CertificatesConfirmedAt() time.Time {
	if at := c.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirm asks all attached keepers again and again, once there are certificates.
func (c *Client) confirm(ctx context.Context) {
	tick := time.NewTicker(c.o.ConfirmInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-c.asked:
		case <-ctx.Done():
			return
		}
		if s := c.o.Snapshots.Get(); s == nil || s.Certificates == nil {
			continue
		}
		for _, conn := range c.KeeperConns() {
			at, reply := time.Now(), conn.Go(KindConfirm, nil)
			go func() {
				select {
				case r := <-reply:
					if r.Err == nil {
						c.raise(at)
					}
				case <-ctx.Done():
				}
			}()
		}
	}
}

// closeGate has nothing count as confirmed from here on, as newer certificates can't be understood, which may withdraw what is
// in force. It tells whether there are any in force.
func (c *Client) closeGate(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.certificates == nil {
		return false
	}
	if version > c.certificates.Version {
		c.unreadable = version
		c.confirmed.Store(nil)
	}
	return true
}

func (c *Client) raise(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.certificates == nil || c.unreadable > c.certificates.Version {
		return
	}
	for {
		old := c.confirmed.Load()
		if old != nil && !old.Before(at) || c.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// ask has the keepers asked at once.
func (c *Client) ask() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}
