package upstream

import (
	"math"
	"slices"
	"time"
)

const (
	// crowdDecay is after how long a sign that an endpoint is crowded, or a dial, counts for half.
	crowdDecay = 5 * time.Second
	// It takes minSigns of them, and crowdShare of the dials: some get lost for other reasons.
	minSigns   = 1.5
	crowdShare = 0.3
	// firstRejectedShare is by how much more often the first call on a connection is rejected than others, where
	// connections and not calls are too many.
	firstRejectedShare = 0.5
	// proofWindow is how long a dial that failed waits for proof that the endpoint was up.
	proofWindow = 2 * time.Second
	// maxUnproven is how many such dials are remembered.
	maxUnproven = 8
	// cutFactor is what is left of a cap when the endpoint is found crowded again, and minCutInterval how long a cut
	// has to show an effect before the next one.
	cutFactor      = 0.8
	minCutInterval = time.Second
	// growInterval is how often all senders together try one connection more.
	growInterval = time.Second
	// maxCap is a cap that bounds nobody: above it, it is forgotten.
	maxCap = 64
)

// sizing learns how many connections this sender may have to an endpoint, as nothing says how many the endpoint
// holds. A dial that fails is a sign that they are too many only if the endpoint was up, which is proved by an older
// connection that carries an answer afterwards. A call that is rejected is a sign only if that happens to the first
// call on a connection and hardly to others. As each sender cuts its own cap and all together grow by one connection
// a second, they come to share what the endpoint holds. No cap is under one.
type sizing struct {
	cap    float64 // 0 while none is known
	cutAt  time.Time
	growAt time.Time

	dials          decayingSum
	crowded        decayingSum // dials that failed at an endpoint that was up
	first          decayingSum // calls on a new connection
	firstRejected  decayingSum
	others         decayingSum // calls on other connections
	othersRejected decayingSum
	unproven       []time.Time // dials that failed lately, at an endpoint of which nothing is proved yet
}

// maxConns returns how many connections there may be at once.
func (s *sizing) maxConns(now time.Time, config *Config) int {
	if s.cap == 0 {
		return math.MaxInt
	}
	if now.After(s.growAt) {
		s.cap++
		s.scheduleGrowth(now, config)
		if s.cap > maxCap {
			s.cap = 0
			return math.MaxInt
		}
	}
	return max(1, int(s.cap))
}

// scheduleGrowth decides when this sender tries one connection more: at a time of its own, so that all together try
// one in each growInterval and never in step.
func (s *sizing) scheduleGrowth(now time.Time, config *Config) {
	delay := (0.5 + config.Rand()) * float64(config.Senders) * float64(growInterval)
	s.growAt = now.Add(time.Duration(delay))
}

// refused notes a dial that failed.
func (s *sizing) refused(now time.Time) {
	s.dials.add(1, now, crowdDecay)
	if len(s.unproven) < maxUnproven {
		s.unproven = append(s.unproven, now)
	}
}

// opened notes a dial that succeeded.
func (s *sizing) opened(now time.Time) { s.dials.add(1, now, crowdDecay) }

// answered notes an answer on a connection: when that was dialed, whether the call was its first, whether the answer
// rejected the call, and how many connections are open.
func (s *sizing) answered(dialedAt time.Time, first, rejected bool, open int, now time.Time, config *Config) {
	if proved := s.prove(dialedAt, now); proved > 0 {
		s.sign(float64(proved), open, now, config)
	}
	calls, rejections := &s.others, &s.othersRejected
	if first {
		calls, rejections = &s.first, &s.firstRejected
	}
	calls.add(1, now, crowdDecay)
	if !rejected {
		return
	}
	rejections.add(1, now, crowdDecay)
	if !first || crowdValue(&s.firstRejected, now) < minSigns || crowdValue(&s.others, now) < minSigns {
		return
	}
	share := func(part, all *decayingSum) float64 {
		return crowdValue(part, now) / max(1, crowdValue(all, now))
	}
	if share(&s.firstRejected, &s.first) > share(&s.othersRejected, &s.others)+firstRejectedShare {
		s.cut(open-1, now, config) // without the one that was rejected
	}
}

// prove removes the failed dials after that of a connection that has carried an answer now, and returns how many they
// were: the endpoint was up. Those that have waited too long go, too.
func (s *sizing) prove(dialedAt, now time.Time) (proved int) {
	s.unproven = slices.DeleteFunc(s.unproven, func(failedAt time.Time) bool {
		recent := now.Sub(failedAt) <= proofWindow
		if dialedAt.Before(failedAt) && recent {
			proved++
			return true
		}
		return !recent
	})
	return proved
}

// crowdValue returns a sum of calls or dials as it has decayed by now.
func crowdValue(sum *decayingSum, now time.Time) float64 {
	sum.add(0, now, crowdDecay)
	return sum.sum
}

// sign counts signs that the endpoint is crowded.
func (s *sizing) sign(n float64, open int, now time.Time, config *Config) {
	s.crowded.add(n, now, crowdDecay)
	signs := crowdValue(&s.crowded, now)
	if signs >= minSigns && signs >= crowdShare*crowdValue(&s.dials, now) {
		s.cut(open, now, config)
	}
}

// cut lowers the cap to what fitted, and further each time that this was still too many.
func (s *sizing) cut(fitted int, now time.Time, config *Config) {
	if now.Sub(s.cutAt) < minCutInterval {
		return
	}
	s.cutAt = now
	if s.cap == 0 {
		s.cap = max(1, float64(fitted))
	} else {
		s.cap = max(1, min(s.cap, float64(max(1, fitted)))*cutFactor)
	}
	s.scheduleGrowth(now, config)
}
