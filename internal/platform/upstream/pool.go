package upstream

import (
	"slices"
	"time"
)

// Outcome says how a call ended, as far as its connection shows it.
type Outcome int

// The outcomes of a call.
const (
	Unused   Outcome = iota // nothing was sent
	Answered                // whatever the answer says
	Rejected                // turned away without a time to wait: by a limit, a full queue, or too many connections
	Broken                  // reset, closed or unreadable
	Canceled                // by this side
)

// Pool has the connections to one endpoint.
type Pool struct {
	pools *Pools

	// The lock of pools guards the rest.
	endpoint      Endpoint
	epoch         int     // grows when the endpoint is another one: it was listed again or has moved
	removed       bool    // no longer listed: nothing is opened or retained
	idle          []*Conn // the longest idle first
	inUse         int
	dialing       int
	waiting       []chan struct{} // for a connection under the cap, the longest first
	idleLimit     idleLimit
	sizing        sizing
	demand        demand
	uses          decayingSum // of late
	preconnecting bool        // a connection is being opened before it is needed
	failedAt      time.Time
	counts        counts
}

// counts are since the pool was made.
type counts struct{ opened, reused, broken, refused, preconnected int64 }

// update takes over what a list says of the endpoint. It returns connections to be closed. With the lock.
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
	case p.endpoint.Since < e.Since: // what was opened since then leads to the new process
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
	p.wakeAll() // their address may be another one
	return outdated
}

// isOutdated reports whether a connection leads to where, or to what, the endpoint was before. With the lock.
func (p *Pool) isOutdated(c *Conn) bool {
	return p.removed || c.epoch != p.epoch || c.dialedAt.Before(time.UnixMilli(p.endpoint.Since))
}

// resetLearnt drops what was learnt about the endpoint, and has it count as one that failed: it may be warming up.
// With the lock.
func (p *Pool) resetLearnt() {
	p.idleLimit = idleLimit{configured: p.pools.config.MaxIdle}
	p.sizing = sizing{}
	p.failedAt = p.pools.config.Now()
}

// Remove says that the endpoint is no longer listed. Its pool ends with its last call.
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

// removeIdle takes the idle connections out of the pool, and returns them to be closed. With the lock.
func (p *Pool) removeIdle() []*Conn {
	idle := p.idle
	p.idle = nil
	p.pools.freed(len(idle))
	return idle
}

// wake wakes the call that has waited longest for a connection of this pool, to look again. With the lock.
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

// countUse counts a call. With the lock.
func (p *Pool) countUse(now time.Time) {
	p.uses.add(1, now, useDecay)
	p.demand.observe(p.inUse+p.dialing, now)
}

// usedLessThan compares the uses of two pools, which have decayed to the same moment; among equals names decide. With
// the lock.
func (p *Pool) usedLessThan(other *Pool) bool {
	return p.uses.sum < other.uses.sum || p.uses.sum == other.uses.sum && p.endpoint.Name < other.endpoint.Name
}

// maxConns returns how many connections the pool may have, by what the list says and by what was learnt. With the
// lock.
func (p *Pool) maxConns(now time.Time) int {
	learnt := p.sizing.maxConns(now, &p.pools.config)
	if p.endpoint.MaxConns > 0 {
		return min(learnt, p.endpoint.MaxConns)
	}
	return learnt
}

// maxIdle returns how long a connection of the pool may stand idle. With the lock.
func (p *Pool) maxIdle(now time.Time) time.Duration {
	return p.idleLimit.limit(&p.pools.idleLimit, now)
}

// Release gives a connection back, with how its call ended. It is retained if another call may follow on it.
func (c *Conn) Release(outcome Outcome) {
	p, ps := c.pool, c.pool.pools
	called := c.inCall
	reusable := c.endCall()
	if !reusable {
		c.close() // before others learn of the outcome: the endpoint must be rid of this call by then
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
		if ps.open >= ps.config.MaxOpen { // a call that waits for a connection among all may evict it
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

// learn notes how a call ended. With the lock.
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
