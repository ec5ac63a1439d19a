package dispatch

import (
	"math"
	"time"
)

// The rate limit of an endpoint adapts to its refusals, as additive-increase congestion control
// does: there is none until it refuses a request; then the starts in the short window are limited
// to their current count. A further refusal reduces the limit, and it grows with the time without
// refusals. The long window allows the same rate.

// currentRateLimit returns the maximal number of starts in the short window now: the rate limit
// with its growth since the last refusal.
func (e *endpoint) currentRateLimit(c *core) float64 {
	if math.IsInf(e.rateLimit, 1) {
		return e.rateLimit
	}
	return e.rateLimit * (1 + float64(c.now-e.refusedAt)/(float64(c.settings.RateRecovery)*e.recoveryJitter))
}

// windowRatio returns the length of the long window in short windows.
func (e *endpoint) windowRatio() float64 {
	return float64(e.longLog.Window) / float64(e.shortLog.Window)
}

// withinRateLimit reports whether both send logs allow another start. It lifts a limit that is far
// above the current starts if there was no refusal for a short window.
func (e *endpoint) withinRateLimit(c *core) bool {
	limit := e.currentRateLimit(c)
	short, long := float64(e.shortLog.Count(c.now)), float64(e.longLog.Count(c.now))
	if !math.IsInf(limit, 1) && limit > 4*(short+4) && c.now-e.refusedAt > c.settings.ShortWindow {
		e.rateLimit = math.Inf(1)
		return true
	}
	return short < limit && long < limit*e.windowRatio()
}

// nextStartAt returns the time by which both send logs allow another start: when enough old starts
// have left their windows, or the rate limit has grown enough, whichever is first.
func (e *endpoint) nextStartAt(c *core) Time {
	if e.withinRateLimit(c) {
		return c.now
	}
	limit := e.currentRateLimit(c)
	logsAllow := max(e.shortLog.AvailableAt(c.now, int(limit)), e.longLog.AvailableAt(c.now, int(limit*e.windowRatio())))
	starts := max(float64(e.shortLog.Count(c.now)), float64(e.longLog.Count(c.now))/e.windowRatio()) + 1e-3
	growth := time.Duration((starts/e.rateLimit - 1) * float64(c.settings.RateRecovery) * e.recoveryJitter)
	return max(c.now, min(logsAllow, e.refusedAt+growth))
}

// reduceRateLimit reduces the rate limit of an endpoint that refused a run: to the current count at
// the first refusal, by a factor at further ones. Refusals of runs that were sent before the last
// reduction are ignored. If the refusal came with a load of at least all slots, that load is
// remembered as the one at which the endpoint is full.
func (c *core) reduceRateLimit(r *run, l Load) {
	e := r.endpoint
	if !l.Known {
		e.fullUntil = c.now + time.Duration(float64(c.settings.FullBackoff)*(0.5+c.random()))
	} else if load := l.Running + l.Waiting; load >= e.slots() {
		e.fullAtLoad = float64(load)
	}
	count := float64(e.shortLog.Count(c.now))
	switch {
	case math.IsInf(e.rateLimit, 1):
		e.rateLimit = max(1, count)
	case r.sent < e.rateCutAt:
		return
	case c.now-e.rateCutAt < c.settings.RateRecovery/2: // too soon to reduce again, but the growth restarts
		e.refusedAt = c.now
		return
	default:
		served := float64(e.servedLog.Count(c.now))
		e.rateLimit = max(1, c.settings.MinServedShare*served, c.settings.RateCut*min(e.currentRateLimit(c), count))
	}
	e.rateCutAt, e.refusedAt = c.now, c.now
}
