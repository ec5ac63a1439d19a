package upstream

import (
	"context"
	"time"
)

// demandSpan is the length of a span of demand. The peak covers the current span and the one before.
const demandSpan = 10 * time.Second

// demand tracks the recent peak of concurrent calls to an endpoint.
type demand struct {
	start             time.Time // start of the current span
	current, previous int       // the maxima of the current and the previous span
}

func (d *demand) observe(concurrent int, now time.Time) {
	d.advance(now)
	d.current = max(d.current, concurrent)
}

// advance starts a new span if the current one is over.
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

// preconnect opens one connection in the background if fewer are in use than the recent peak of concurrent calls and
// none is idle. It evicts no other connection, and opens none to an endpoint that has failed within WarmUp, as it may
// be warming up. It is called with the lock held.
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

// preconnectOne opens a connection, already counted in p.dialing, and leaves it idle.
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
		return // dial has counted the failure
	}
	ps.mu.Lock()
	p.counts.preconnected++
	ps.mu.Unlock()
	c.Release(Unused)
}
