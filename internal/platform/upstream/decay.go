package upstream

import (
	"math"
	"time"
)

// decayingSum is a sum whose summands decay exponentially with a half-life.
type decayingSum struct {
	sum       float64
	decayedAt time.Time
}

func (s *decayingSum) add(x float64, now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(s.decayedAt); elapsed > 0 {
		s.sum *= math.Exp2(-float64(elapsed) / float64(halfLife))
		s.decayedAt = now
	}
	s.sum += x
}
