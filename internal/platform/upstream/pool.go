package upstream

import (
	"slices"
	"time"
)

// Outcome is how a call ended, as far as its connection shows.
type Outcome int

// The outcomes of a call.
const (
	Unused   Outcome = iota // nothing was sent
	Answered                // a response was received, whatever its status
	Rejected                // rejected without a retry time: by a limit, a full queue, or too many connections
	Broken                  // reset, closed or unreadable
	Canceled                // by this side
)

// Pool holds the connections to one endpoint.
type Pool struct {
	pools *Pools

	// The fields below are guarded by pools.mu.
	endpoint      Endpoint
	epoch         int     // incremented when the endpoint is listed again or its address changes
	removed       bool    // no longer listed: no connection is opened or retained
	idle          []*Conn // longest idle first
	inUse         int
	dialing       int
	waiting       []chan struct{} // calls that wait for a connection under the cap, longest first
	idleLimit     idleLimit
	sizing        sizing
	demand        demand
	uses          decayingSum // recent calls
	preconnecting bool        // a connection is being opened ahead of demand
	failedAt      time.Time
	counts        counts
}

// counts holds totals since the pool was created.
type counts struct{ opened, reused, broken, refused, preconnected int64 }

// update applies a new list entry of the endpoint. It returns connections for the caller to close. It is called with
// the lock held.
func (p *Pool) update(e Endpoint) (outdated []*Conn) {
	p.endpoint.MayPreconnect = e.MayPreconnect
	if !p.removed && p.endpoint.Addr == e.Addr && p.endpoint.Since == e.Since && p.endpoint.MaxConns == e.MaxConns {
		return nil
	}
	p.endpoint.MaxConns = e.MaxConns
	switch {
	case p.removed || p.endpoint.Addr != e.Addr:
		p.removed = false
		p.epoch++
		outdated = p.removeIdle()
		p.resetLearnt()
	case p.endpoint.Since < e.Since: // connections opened since then are to the new process
		p.endpoint.Since = e.Since
		p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
			if !p.isOutdated(c) {
				return false
			}
			outdated = append(outdated, c)
			return true
		})
		p.pools.freed(len(outdated))
		p.resetLearnt()
	}
	p.endpoint.Addr, p.endpoint.Since = e.Addr, e.Since
	p.wakeAll() // the endpoint's address may have changed
	return outdated
}

// isOutdated reports whether a connection is to a previous address or process of the endpoint. It is called with the
// lock held.
func (p *Pool) isOutdated(c *Conn) bool {
	return p.removed || c.epoch != p.epoch || c.dialedAt.Before(time.UnixMilli(p.endpoint.Since))
}

// resetLearnt drops the state learned about the endpoint and counts it as failed, because it may be warming up. It is
// called with the lock held.
func (p *Pool) resetLearnt() {
	p.idleLimit = idleLimit{configured: p.pools.config.MaxIdle}
	p.sizing = sizing{}
	p.failedAt = p.pools.config.Now()
}

// Remove marks the endpoint as no longer listed. Its pool is removed when its last call ends.
func (p *Pool) Remove() {
	p.pools.mu.Lock()
	p.removed = true
	idle := p.removeIdle()
	p.wakeAll()
	p.pools.removeEnded(p)
	p.pools.mu.Unlock()
	closeAll(idle)
}

// CloseIdle closes the idle connections to the endpoint.
func (p *Pool) CloseIdle() {
	p.pools.mu.Lock()
	idle := p.removeIdle()
	p.pools.mu.Unlock()
	closeAll(idle)
}

// removeIdle removes the idle connections from the pool and returns them for the caller to close. It is called with
// the lock held.
func (p *Pool) removeIdle() []*Conn {
	idle := p.idle
	p.idle = nil
	p.pools.freed(len(idle))
	return idle
}

// wake wakes the call that has waited longest for a connection of this pool; it then checks again. It is called with
// the lock held.
func (p *Pool) wake() {
	if len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = p.waiting[1:]
	}
}

func (p *Pool) wakeAll() {
	for len(p.waiting) > 0 {
		p.wake()
	}
}

// countUse counts a call. It is called with the lock held.
func (p *Pool) countUse(now time.Time) {
	p.uses.add(1, now, useDecay)
	p.demand.observe(p.inUse+p.dialing, now)
}

// usedLessThan compares the recent uses of two pools, which must have been decayed to the same time; the name breaks
// ties. It is called with the lock held.
func (p *Pool) usedLessThan(other *Pool) bool {
	return p.uses.sum < other.uses.sum || p.uses.sum == other.uses.sum && p.endpoint.Name < other.endpoint.Name
}

// maxConns returns how many connections the pool may have, by its list entry and by what was learned. It is called
// with the lock held.
func (p *Pool) maxConns(now time.Time) int {
	learnt := p.sizing.maxConns(now, &p.pools.config)
	if p.endpoint.MaxConns > 0 {
		return min(learnt, p.endpoint.MaxConns)
	}
	return learnt
}

// maxIdle returns how long a connection of the pool may stay idle. It is called with the lock held.
func (p *Pool) maxIdle(now time.Time) time.Duration {
	return p.idleLimit.limit(&p.pools.idleLimit, now)
}

// Release returns a connection together with the outcome of its call. The connection is retained if it can be reused.
func (c *Conn) Release(outcome Outcome) {
	p, ps := c.pool, c.pool.pools
	called := c.inCall
	reusable := c.endCall()
	if !reusable {
		c.close() // before the outcome is visible to others: by then the endpoint must no longer hold this call
	}
	ps.mu.Lock()
	now := ps.config.Now()
	p.inUse--
	outdated := p.isOutdated(c)
	if called && !outdated {
		p.learn(c, outcome, now)
	}
	retain := reusable && !outdated && !ps.retired && ps.open <= ps.config.MaxOpen &&
		p.inUse+p.dialing+len(p.idle) < p.maxConns(now)
	if retain {
		c.idleSince = now
		p.idle = append(p.idle, c)
		if ps.open >= ps.config.MaxOpen { // a call that waits for a connection in any pool may evict this one
			ps.wakeForSpace()
		}
	} else {
		ps.freed(1)
	}
	p.wake()
	ps.removeEnded(p)
	p.preconnect(now)
	ps.mu.Unlock()
	if reusable && !retain {
		c.close()
	}
}

// learn records the outcome of a call. It is called with the lock held.
func (p *Pool) learn(c *Conn, outcome Outcome, now time.Time) {
	ps := p.pools
	broken := outcome == Broken
	p.idleLimit.observe(c.idleBefore, broken, now)
	ps.idleLimit.observe(c.idleBefore, broken, now)
	if broken && c.Reused() {
		p.counts.broken++
	}
	switch outcome {
	case Broken, Canceled:
		p.failedAt = now
	case Answered, Rejected:
		open := p.inUse + p.dialing + len(p.idle) + 1
		p.sizing.answered(c.dialedAt, !c.Reused(), outcome == Rejected, open, now, &ps.config)
	}
}
