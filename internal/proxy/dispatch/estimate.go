package dispatch

import (
	"math"
	"time"
)

const (
	fitDecay = 0.99 // factor by which each new point of a fit reduces the weight of the older ones

	// Initial estimates, until something is measured.
	initialRunTime    = 20 * time.Millisecond // from a grant to the end of the run
	initialBaseMs     = 5.0                   // ms to the first token of a prompt without tokens
	initialMsPerToken = 1.0 / 130             // ms for each token of a prompt

	// initialPointWeight is the weight of each point of the initial fit.
	initialPointWeight = 5

	// maxOutlier bounds a measured time, as a multiple of the expected one: the time of a request
	// that waited in a queue unknown to its sender measures the queue, not the speed of prefill. A
	// lasting change is still learned, a little more slowly.
	maxOutlier = 3

	// Bounds of a fitted slope, in ms for each token.
	minMsPerToken = 1.0 / 1000
	maxMsPerToken = 1.0 / 5

	// maxLatenessMs bounds the ms by which one first token counts as late or early.
	maxLatenessMs = 300
	// minLatenessShare is the minimum weight of one first token in the recent lateness.
	minLatenessShare = 0.05
)

// linearFit is a least-squares fit of y = base + slope*x in which older points have less weight. It
// holds the weighted sums.
type linearFit struct{ weight, sumX, sumY, sumXX, sumXY float64 }

// initialFit returns a fit of points on the line of the initial estimates.
func initialFit() linearFit {
	var l linearFit
	for _, x := range []float64{0, 1000, 4000, 16000} {
		y := initialBaseMs + initialMsPerToken*x
		l.weight += initialPointWeight
		l.sumX += initialPointWeight * x
		l.sumY += initialPointWeight * y
		l.sumXX += initialPointWeight * x * x
		l.sumXY += initialPointWeight * x * y
	}
	return l
}

// add adds a point.
func (l *linearFit) add(x, y float64) {
	l.weight = fitDecay*l.weight + 1
	l.sumX = fitDecay*l.sumX + x
	l.sumY = fitDecay*l.sumY + y
	l.sumXX = fitDecay*l.sumXX + x*x
	l.sumXY = fitDecay*l.sumXY + x*y
}

// addBounded adds a point whose y is limited to maxOutlier times the value of the fit at x.
func (l *linearFit) addBounded(x, y float64) {
	base, slope := l.fit()
	l.add(x, min(y, maxOutlier*(base+slope*x)))
}

// fit returns the fitted line, with its slope limited to the range from minMsPerToken to maxMsPerToken.
func (l *linearFit) fit() (base, slope float64) {
	determinant := l.weight*l.sumXX - l.sumX*l.sumX
	slope = initialMsPerToken
	if determinant > 1e-6*l.weight*l.sumXX {
		slope = (l.weight*l.sumXY - l.sumX*l.sumY) / determinant
	}
	slope = min(max(slope, minMsPerToken), maxMsPerToken)
	return max(0, (l.sumY-slope*l.sumX)/l.weight), slope
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct{ value float64 }

// add adds a value, whose weight in the new average is share.
func (m *movingAverage) add(x, share float64) { m.value += share * (x - m.value) }

// recordLateness adds the ms by which a first token arrived later than expected to the recent average.
// Older values fade with a time constant.
func (p *pool) recordLateness(now Time, ms float64, decay time.Duration) {
	remaining := math.Exp(-float64(now-p.lastFirstToken) / float64(decay))
	p.lateness.value *= remaining
	p.lateness.add(ms, max(minLatenessShare, (1-remaining)/2))
	p.lastFirstToken = now
}
