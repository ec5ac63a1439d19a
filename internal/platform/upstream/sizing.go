package upstream

import (
	"math"
	"slices"
	"time"
)

const (
	// Refusals and openings of late tell whether an endpoint is crowded: they count for
	// half after crowdHalfLife.
	crowdHalfLife = 5 * time.Second
	// It takes fewSigns of them, and crowdShare of the openings: connects get lost too.
	fewSigns   = 1.5
	crowdShare = 0.3
	// moreFull is how much oftener the first call on a connection is turned away than
	// those on others, where connections and not calls are too many.
	moreFull = 0.5
	// proofSpan is how long a refusal waits for a sign that the endpoint was up.
	proofSpan = 2 * time.Second
	maxFailed = 8
	// cutShare is what is left of a cap when the endpoint is found crowded again, and
	// cutGap is how long a cut has to show before the next.
	cutShare = 0.8
	cutGap   = time.Second
	// growEvery is how often all senders together try one connection more.
	growEvery = time.Second
	// plenty is a cap that binds nobody: it is forgotten.
	plenty = 64
)

// fading is a sum in which what is past counts less and less.
type fading struct {
	sum float64
	at  time.Time
}

func (f *fading) add(x float64, now time.Time, halfLife time.Duration) {
	if past := now.Sub(f.at); past > 0 {
		f.sum *= math.Exp2(-float64(past) / float64(halfLife))
		f.at = now
	}
	f.sum += x
}

func (f *fading) value(now time.Time, halfLife time.Duration) float64 {
	f.add(0, now, halfLife)
	return f.sum
}

// sizing learns how many connections this sender may have to an endpoint. What the
// endpoint holds is told nowhere. A connect that fails tells of it only if the endpoint
// was up, which an older connection proves that carries an answer afterwards. A call
// that is turned away tells of it only if that happens to the first on a connection and
// hardly to others. As each sender cuts its own part and all together grow by one
// connection a second, they come to share. None has less than one.
type sizing struct {
	cap    float64 // 0 while none is known
	cutAt  time.Time
	growAt time.Time

	dials, crowded     fading // connects, and those that failed at an endpoint that was up
	first, firstFull   fading // calls on a new connection
	others, othersFull fading
	failed             []time.Time // connects of late with nothing proven yet
}

// most is how many connections there may be at once.
func (s *sizing) most(now time.Time, cfg *Config) int {
	if s.cap == 0 {
		return math.MaxInt
	}
	if now.After(s.growAt) {
		s.cap++
		s.grow(now, cfg)
		if s.cap > plenty {
			s.cap = 0
			return math.MaxInt
		}
	}
	return max(1, int(s.cap))
}

// grow says when this sender is to try one more: at a time of its own, so that all
// together try one in each growEvery and never in step.
func (s *sizing) grow(now time.Time, cfg *Config) {
	s.growAt = now.Add(time.Duration((0.5 + cfg.Rand()) * float64(cfg.Senders) * float64(growEvery)))
}

// refused takes in a connect that failed.
func (s *sizing) refused(now time.Time) {
	s.dials.add(1, now, crowdHalfLife)
	if len(s.failed) < maxFailed {
		s.failed = append(s.failed, now)
	}
}

// opened takes in a connect that went well.
func (s *sizing) opened(now time.Time) { s.dials.add(1, now, crowdHalfLife) }

// answered takes in an answer, on a connection whose dial began at a time. Open is how
// many there are.
func (s *sizing) answered(began time.Time, first, full bool, open int, now time.Time, cfg *Config) {
	proven := 0
	s.failed = slices.DeleteFunc(s.failed, func(at time.Time) bool {
		if began.Before(at) && now.Sub(at) <= proofSpan {
			proven++
			return true
		}
		return now.Sub(at) > proofSpan
	})
	if proven > 0 {
		s.sign(float64(proven), open, now, cfg)
	}
	calls, fulls := &s.others, &s.othersFull
	if first {
		calls, fulls = &s.first, &s.firstFull
	}
	calls.add(1, now, crowdHalfLife)
	if !full {
		return
	}
	fulls.add(1, now, crowdHalfLife)
	if !first || s.firstFull.value(now, crowdHalfLife) < fewSigns || s.others.value(now, crowdHalfLife) < fewSigns {
		return
	}
	share := func(part, all *fading) float64 {
		return part.value(now, crowdHalfLife) / max(1, all.value(now, crowdHalfLife))
	}
	if share(&s.firstFull, &s.first) > share(&s.othersFull, &s.others)+moreFull {
		s.cut(open-1, now, cfg) // without the one that was turned away
	}
}

// sign counts signs that the endpoint is crowded.
func (s *sizing) sign(n float64, open int, now time.Time, cfg *Config) {
	s.crowded.add(n, now, crowdHalfLife)
	if signs := s.crowded.value(now, crowdHalfLife); signs >= fewSigns && signs >= crowdShare*s.dials.value(now, crowdHalfLife) {
		s.cut(open, now, cfg)
	}
}

// cut lowers the cap to what fitted, and further each time that this was too many.
func (s *sizing) cut(fitted int, now time.Time, cfg *Config) {
	if now.Sub(s.cutAt) < cutGap {
		return
	}
	s.cutAt = now
	switch {
	case s.cap == 0:
		s.cap = max(1, float64(fitted))
	default:
		s.cap = max(1, min(s.cap, float64(max(1, fitted)))*cutShare)
	}
	s.grow(now, cfg)
}
