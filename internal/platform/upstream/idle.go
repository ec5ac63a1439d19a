package upstream

import (
	"math"
	"time"
)

const (
	// youngest is the idle time up to which a connection is taken for as good as new.
	youngest = 75 * time.Millisecond
	// ages is how many spans of idle time are told apart, each twice as long as the
	// one before.
	ages = 8
	// halfLife is when what was seen counts for half. No more than manyUses count, so
	// that older connections are tried again soon after they were given up.
	halfLife = 5 * time.Second
	manyUses = 16
	// An age is bad when badShare more break at it than of young ones, where goodUses
	// that went well are taken to have come before: one break tells nothing, and what
	// has nearly faded does not outweigh the next use.
	goodUses = 6
	badShare = 0.15
	// ownUses of one endpoint in a span weigh more than what all endpoints show.
	ownUses = 4
)

// idleLimit is how long a connection may stand idle and still be used. The settings
// tell when the far side closes it at the latest; where something on the way forgets
// it sooner, that shows only when a call on it breaks, and a call that broke may have
// run. So it is learnt from the calls on connections that were idle for longer or
// shorter.
type idleLimit struct {
	told time.Duration // by the settings

	at   time.Time // when the counts last faded
	seen [ages]struct{ uses, broken float64 }
}

// spanOf is the span that an idle time falls in; the last one has no end.
func spanOf(idle time.Duration) int {
	n := 0
	for end := youngest; n < ages-1 && idle >= end; n++ {
		end *= 2
	}
	return n
}

// used tells how a call went on a connection that was idle for so long.
func (l *idleLimit) used(idle time.Duration, broken bool, now time.Time) {
	l.fade(now)
	s := &l.seen[spanOf(idle)]
	s.uses++
	if broken {
		s.broken++
	}
	if s.uses > manyUses {
		s.broken *= manyUses / s.uses
		s.uses = manyUses
	}
}

func (l *idleLimit) fade(now time.Time) {
	if past := now.Sub(l.at); past > 0 {
		keep := math.Exp2(-float64(past) / float64(halfLife))
		for i := range l.seen {
			l.seen[i].uses *= keep
			l.seen[i].broken *= keep
		}
		l.at = now
	}
}

// badAt tells whether connections of a span break more than young ones. It knows once
// there were enough uses.
func (l *idleLimit) badAt(span int, enough float64) (bad, known bool) {
	young, old := l.seen[0], l.seen[span]
	bad = old.broken/(old.uses+goodUses) > young.broken/(young.uses+goodUses)+badShare
	return bad, old.uses >= enough
}

// limit is the longest idle time at which connections are no worse than young ones.
// Of a span in which the endpoint itself has shown little, all endpoints tell.
func (l *idleLimit) limit(all *idleLimit, now time.Time) time.Duration {
	l.fade(now)
	all.fade(now)
	end := youngest
	for span := 1; span < ages; span++ {
		bad, known := l.badAt(span, ownUses)
		if !known {
			bad, _ = all.badAt(span, 0)
		}
		if bad {
			return min(l.told, end)
		}
		end *= 2
	}
	return l.told
}
