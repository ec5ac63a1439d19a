package upstream

import (
	"math"
	"slices"
	"time"
)

const (
	// signDecay is the half-life of a dial, and of a sign that the endpoint has too many connections.
	signDecay = 5 * time.Second
	// The cap is lowered at minSigns such signs if they are also minSignShare of the dials: some dials fail for other
	// reasons.
	minSigns     = 1.5
	minSignShare = 0.3
	// firstRejectedShare is by how much the rejection rate of first calls on a connection must exceed that of other
	// calls to conclude that there are too many connections, rather than too many calls.
	firstRejectedShare = 0.5
	// proofWindow is how long a failed dial waits for evidence that the endpoint was up.
	proofWindow = 2 * time.Second
	// maxUnproven is how many such dials are recorded.
	maxUnproven = 8
	// cutFactor is the factor by which a cap is lowered when the endpoint is still at its limit, and minCutInterval
	// is how long a cut has to take effect before the next one.
	cutFactor      = 0.8
	minCutInterval = time.Second
	// growInterval is how often all senders together try one more connection.
	growInterval = time.Second
	// maxCap is the highest cap: above it, the cap has no effect and is removed.
	maxCap = 64
)

// sizing learns how many connections this sender may have to an endpoint whose limit is not known. A failed dial
// indicates too many connections only if the endpoint was up, which is proved when a connection dialed earlier
// carries a response afterwards. A rejected call indicates it only if first calls on a connection are rejected much
// more often than others. As each sender cuts its own cap, and all senders together grow by one connection a second,
// they converge to sharing the endpoint's limit. A cap is never below one.
type sizing struct {
	cap    float64 // 0: no cap
	cutAt  time.Time
	growAt time.Time

	dials          decayingSum
	limitSigns     decayingSum // failed dials to an endpoint that was up
	first          decayingSum // calls on a new connection
	firstRejected  decayingSum
	others         decayingSum // calls on other connections
	othersRejected decayingSum
	unproven       []time.Time // times of recent failed dials without evidence yet that the endpoint was up
}

// maxConns returns how many connections may be open at once.
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

// scheduleGrowth sets when this sender tries one more connection: at a random time, so that all senders together try
// about one per growInterval and are not synchronized.
func (s *sizing) scheduleGrowth(now time.Time, config *Config) {
	delay := (0.5 + config.Rand()) * float64(config.Senders) * float64(growInterval)
	s.growAt = now.Add(time.Duration(delay))
}

// refused records a failed dial.
func (s *sizing) refused(now time.Time) {
	s.dials.add(1, now, signDecay)
	if len(s.unproven) < maxUnproven {
		s.unproven = append(s.unproven, now)
	}
}

// opened records a successful dial.
func (s *sizing) opened(now time.Time) { s.dials.add(1, now, signDecay) }

// answered records a response on a connection: when the connection was dialed, whether the call was its first,
// whether the call was rejected, and how many connections are open.
func (s *sizing) answered(dialedAt time.Time, first, rejected bool, open int, now time.Time, config *Config) {
	if proved := s.prove(dialedAt, now); proved > 0 {
		s.addSigns(float64(proved), open, now, config)
	}
	calls, rejections := &s.others, &s.othersRejected
	if first {
		calls, rejections = &s.first, &s.firstRejected
	}
	calls.add(1, now, signDecay)
	if !rejected {
		return
	}
	rejections.add(1, now, signDecay)
	if !first || decayedValue(&s.firstRejected, now) < minSigns || decayedValue(&s.others, now) < minSigns {
		return
	}
	share := func(part, all *decayingSum) float64 {
		return decayedValue(part, now) / max(1, decayedValue(all, now))
	}
	if share(&s.firstRejected, &s.first) > share(&s.othersRejected, &s.others)+firstRejectedShare {
		s.cut(open-1, now, config) // excluding the connection that was rejected
	}
}

// prove removes the failed dials that are later than dialedAt, the dial of a connection that has just carried a
// response, and returns their number: the endpoint was up. Dials older than proofWindow are dropped.
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

// decayedValue returns a sum decayed to the current time.
func decayedValue(sum *decayingSum, now time.Time) float64 {
	sum.add(0, now, signDecay)
	return sum.sum
}

// addSigns records n signs that the endpoint has too many connections.
func (s *sizing) addSigns(n float64, open int, now time.Time, config *Config) {
	s.limitSigns.add(n, now, signDecay)
	signs := decayedValue(&s.limitSigns, now)
	if signs >= minSigns && signs >= minSignShare*decayedValue(&s.dials, now) {
		s.cut(open, now, config)
	}
}

// cut lowers the cap to the number of connections that fit, and further each time that this was still too many.
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
