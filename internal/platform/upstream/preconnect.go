package upstream

import (
	"context"
	"time"
)

// demandSpan is how far back concurrent calls are looked for, and up to twice that.
const demandSpan = 10 * time.Second

// demand is how many calls an endpoint had at once of late.
type demand struct {
	start             time.Time // of the current span
	current, previous int       // the maximum of this span, and of the one before
}

func (d *demand) observe(concurrent int, now time.Time) {
	d.advance(now)
	d.current = max(d.current, concurrent)
}

// advance begins a new span where the current one is over.
func (d *demand) advance(now time.Time) {
	switch elapsed := now.Sub(d.start); {
	case elapsed < demandSpan:
	case elapsed < 2*demandSpan:
		d.start, d.previous, d.current = d.start.Add(demandSpan), d.current, 0
	default:
		d.start, d.previous, d.current = now, 0, 0
	}
}

func (d *demand) peak(now time.Time) int {
	d.advance(now)
	return max(d.current, d.previous)
}

// preconnect opens one connection in the background where fewer are in use than there were concurrent calls of late
// and none is idle. It evicts no other connection, and an endpoint that failed is left alone for as long as it may be
// warming up. With the lock.
func (p *Pool) preconnect(now time.Time) {
	ps := p.pools
	if !p.shouldPreconnect(now) {
		return
	}
	p.preconnecting = true
	mayPreconnect := p.endpoint.MayPreconnect
	p.dialing++
	ps.open++
	ps.background.Go(func() { p.preconnectOne(mayPreconnect, now) })
}

func (p *Pool) shouldPreconnect(now time.Time) bool {
	ps := p.pools
	switch {
	case !ps.config.Preconnect || p.preconnecting || p.removed || ps.retired || p.endpoint.MayPreconnect == nil:
		return false
	case len(p.idle) > 0:
		return false
	case !p.failedAt.IsZero() && now.Sub(p.failedAt) < ps.config.WarmUp:
		return false
	}
	return p.inUse+p.dialing < min(p.demand.peak(now), p.maxConns(now)) && ps.open < ps.config.MaxOpen
}

// preconnectOne opens a connection, which is counted already as one that is being opened, and leaves it idle.
func (p *Pool) preconnectOne(mayPreconnect func() bool, startedAt time.Time) {
	ps := p.pools
	defer func() {
		ps.mu.Lock()
		p.preconnecting = false
		ps.mu.Unlock()
	}()
	if !mayPreconnect() {
		ps.mu.Lock()
		p.dialing--
		ps.freed(1)
		p.wake()
		ps.removeEnded(p)
		ps.mu.Unlock()
		return
	}
	ctx, cancel := context.WithTimeout(ps.ctx, ps.config.DialTimeout)
	defer cancel()
	c, err := p.dial(ctx, startedAt)
	if err != nil {
		return // the pool has counted it
	}
	ps.mu.Lock()
	p.counts.preconnected++
	ps.mu.Unlock()
	c.Release(Unused)
}
