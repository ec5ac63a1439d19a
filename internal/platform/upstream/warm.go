package upstream

import (
	"context"
	"time"
)

// demandSpan is how far back calls at once are looked for, and up to twice that.
const demandSpan = 10 * time.Second

// demand is how many calls an endpoint had at once of late.
type demand struct {
	from      time.Time // of this span
	now, last int       // the most in it, and in the one before
}

func (d *demand) seen(atOnce int, now time.Time) {
	d.roll(now)
	d.now = max(d.now, atOnce)
}

func (d *demand) roll(now time.Time) {
	switch past := now.Sub(d.from); {
	case past < demandSpan:
	case past < 2*demandSpan:
		d.from, d.last, d.now = d.from.Add(demandSpan), d.now, 0
	default:
		d.from, d.last, d.now = now, 0, 0
	}
}

func (d *demand) peak(now time.Time) int {
	d.roll(now)
	return max(d.now, d.last)
}

// openAhead opens one connection where there are fewer than calls were at once of late
// and none is idle. It takes no other connection's room, and an endpoint that failed
// is left alone for as long as it may be cold.
func (p *Pool) openAhead(now time.Time) {
	ps := p.set
	if !ps.cfg.Warm || p.warming || p.gone || ps.retired || p.at.MayWarm == nil || len(p.idle) > 0 ||
		!p.failedAt.IsZero() && now.Sub(p.failedAt) < ps.cfg.WarmUp ||
		p.inUse+p.dialling >= min(p.demand.peak(now), p.most(now)) || ps.open >= ps.cfg.MaxOpen {
		return
	}
	p.warming = true
	mayWarm := p.at.MayWarm
	p.dialling++
	ps.open++
	ps.background.Go(func() {
		defer func() {
			ps.mu.Lock()
			p.warming = false
			ps.mu.Unlock()
		}()
		if !mayWarm() {
			ps.mu.Lock()
			p.dialling--
			ps.freed(1)
			p.wake()
			ps.drop(p)
			ps.mu.Unlock()
			return
		}
		ctx, cancel := context.WithTimeout(ps.life, ps.cfg.DialTimeout)
		defer cancel()
		c, err := p.dial(ctx, now)
		if err != nil {
			return
		}
		ps.mu.Lock()
		p.counts.warmed++
		ps.mu.Unlock()
		c.Done(Unused)
	})
}
