package upstream

import (
	"math"
	"time"
)

const (
	// freshIdle is the idle time up to which a connection counts as good as new.
	freshIdle = 75 * time.Millisecond
	// idleSpans is how many spans of idle time are told apart, each twice as long as the one before.
	idleSpans = 8
	// idleDecay is after how long an observation counts for half. No more than maxUses count, so that connections of
	// a span are tried again soon after they were given up.
	idleDecay = 5 * time.Second
	maxUses   = 16
	// A span is bad when brokenShare more connections break in it than fresh ones do. In both, assumedGoodUses that
	// went well are taken to have come before: one break tells nothing, and what has nearly decayed does not outweigh
	// the next use.
	assumedGoodUses = 6
	brokenShare     = 0.15
	// minOwnUses of one endpoint in a span weigh more than what all endpoints show.
	minOwnUses = 4
)

// idleLimit learns how long a connection may stand idle and still be used. The settings say when the far side closes
// it at the latest; where something on the way forgets it sooner, that shows only when a call on it breaks, and a
// call that broke may have run. So it is learnt from calls on connections that were idle for longer or shorter.
type idleLimit struct {
	configured time.Duration // by the settings

	decayedAt time.Time // when the counts last decayed
	spans     [idleSpans]spanCounts
}

// spanCounts are the calls on connections that were idle for times of one span. They decay.
type spanCounts struct{ uses, broken float64 }

// spanOf returns the span that an idle time falls in; the last one has no end.
func spanOf(idle time.Duration) int {
	span := 0
	for end := freshIdle; span < idleSpans-1 && idle >= end; span++ {
		end *= 2
	}
	return span
}

// observe notes how a call ended on a connection that was idle for a time.
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

// isBad reports whether connections of a span break more than fresh ones do. It is known once there were enough uses.
func (l *idleLimit) isBad(span int, enough float64) (bad, known bool) {
	fresh, old := l.spans[0], l.spans[span]
	bad = old.broken/(old.uses+assumedGoodUses) > fresh.broken/(fresh.uses+assumedGoodUses)+brokenShare
	return bad, old.uses >= enough
}

// limit returns the longest idle time at which connections are no worse than fresh ones. Where the endpoint itself
// has shown little about a span, all endpoints together decide.
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
