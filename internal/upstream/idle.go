package upstream

import (
	"math"
	"sync"
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
)

// IdleLimit is how long a connection may stand idle and still be used. The settings
// tell when the far side closes it at the latest; where something on the way forgets
// it sooner, that shows only when a call on it breaks, and a call that broke may have
// run. So it is learnt from the calls on connections that were idle for longer or
// shorter. It is safe for concurrent use.
type IdleLimit struct {
	Told time.Duration // by the settings

	mu   sync.Mutex
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

// Used tells how a call went on a connection that was idle for so long.
func (l *IdleLimit) Used(idle time.Duration, broken bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
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

func (l *IdleLimit) fade(now time.Time) {
	if past := now.Sub(l.at); past > 0 {
		keep := math.Exp2(-float64(past) / float64(halfLife))
		for i := range l.seen {
			l.seen[i].uses *= keep
			l.seen[i].broken *= keep
		}
		l.at = now
	}
}

// Limit is the longest idle time at which connections are no worse than young ones.
func (l *IdleLimit) Limit(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fade(now)
	young := l.seen[0].broken / (l.seen[0].uses + goodUses)
	end := youngest
	for _, s := range l.seen[1:] {
		if s.broken/(s.uses+goodUses) > young+badShare {
			return min(l.Told, end)
		}
		end *= 2
	}
	return l.Told
}
