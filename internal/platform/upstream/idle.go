package upstream

import (
	"math"
	"time"
)

const (
	// freshIdle is the idle time below which a connection counts as fresh.
	freshIdle = 75 * time.Millisecond
	// idleSpans is the number of idle time spans, each twice as long as the previous one.
	idleSpans = 8
	// idleDecay is the half-life of an observation. At most maxUses count per span, so that connections of a span are
	// tried again soon after the span was found bad.
	idleDecay = 5 * time.Second
	maxUses   = 16
	// A span is bad when its break rate exceeds that of fresh connections by more than brokenShare. assumedGoodUses
	// successful uses are added to both as a prior: a single break is not significant, and an almost decayed
	// observation does not outweigh the next use.
	assumedGoodUses = 6
	brokenShare     = 0.15
	// minOwnUses is how many uses of one endpoint in a span take precedence over the statistics of all endpoints.
	minOwnUses = 4
)

// idleLimit learns how long a connection may stay idle and still be used. The settings give when the endpoint closes
// it at the latest. If a middlebox drops it earlier, that shows only when a call on it breaks, and such a call may
// have been executed. The limit is therefore learned from calls on connections with shorter and longer idle times.
type idleLimit struct {
	configured time.Duration // limit from the settings

	decayedAt time.Time // when the counts last decayed
	spans     [idleSpans]spanCounts
}

// spanCounts counts the calls on connections whose idle time was in one span. The counts decay.
type spanCounts struct{ uses, broken float64 }

// spanOf returns the span of an idle time; the last span has no end.
func spanOf(idle time.Duration) int {
	span := 0
	for end := freshIdle; span < idleSpans-1 && idle >= end; span++ {
		end *= 2
	}
	return span
}

// observe records the outcome of a call on a connection that had been idle for some time.
func (l *idleLimit) observe(idle time.Duration, broken bool, now time.Time) {
	l.decay(now)
	s := &l.spans[spanOf(idle)]
	s.uses++
	if broken {
		s.broken++
	}
	if s.uses > maxUses {
		s.broken *= maxUses / s.uses
		s.uses = maxUses
	}
}

func (l *idleLimit) decay(now time.Time) {
	if elapsed := now.Sub(l.decayedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(idleDecay))
		for i := range l.spans {
			l.spans[i].uses *= factor
			l.spans[i].broken *= factor
		}
		l.decayedAt = now
	}
}

// isBad reports whether connections of a span break more often than fresh ones. known is false if there were fewer
// than enough uses.
func (l *idleLimit) isBad(span int, enough float64) (bad, known bool) {
	fresh, old := l.spans[0], l.spans[span]
	bad = old.broken/(old.uses+assumedGoodUses) > fresh.broken/(fresh.uses+assumedGoodUses)+brokenShare
	return bad, old.uses >= enough
}

// limit returns the longest idle time at which connections break no more often than fresh ones. For a span in which
// this endpoint has too few uses, the statistics of all endpoints decide.
func (l *idleLimit) limit(all *idleLimit, now time.Time) time.Duration {
	l.decay(now)
	all.decay(now)
	end := freshIdle
	for span := 1; span < idleSpans; span++ {
		bad, known := l.isBad(span, minOwnUses)
		if !known {
			bad, _ = all.isBad(span, 0)
		}
		if bad {
			return min(l.configured, end)
		}
		end *= 2
	}
	return l.configured
}
