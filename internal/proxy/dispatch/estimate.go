package dispatch

import "time"

// line is a least-squares fit of y = base + slope*x whose older points count less. It holds the weighted sums.
type line struct{ n, x, y, xx, xy float64 }

const (
	lineKeeps = 0.99 // the weight of the older points at each new one

	// Estimates before anything is measured.
	firstWork  = 20 * time.Millisecond // from a grant to the end of the run
	firstBase  = 5.0                   // ms to the first word of a prompt without tokens
	firstSlope = 1.0 / 130             // ms for each token of a prompt

	// firstWeight is the weight of each of the points of the first estimate.
	firstWeight = 5

	// outlier bounds a measured time, as a multiple of the expected one: a request that stood in a queue of which its sender knew
	// nothing tells how long the queue was, not how fast prompts are read. What lasts is learnt all the same, a little more slowly.
	outlier = 3

	// Bounds of a fitted slope, in ms for each token.
	leastSlope = 1.0 / 1000
	mostSlope  = 1.0 / 5
)

// firstLine returns a fit of points on the first estimate.
func firstLine() line {
	var l line
	for _, x := range []float64{0, 1000, 4000, 16000} {
		y := firstBase + firstSlope*x
		l.n, l.x, l.y = l.n+firstWeight, l.x+firstWeight*x, l.y+firstWeight*y
		l.xx, l.xy = l.xx+firstWeight*x*x, l.xy+firstWeight*x*y
	}
	return l
}

// add adds a point.
func (l *line) add(x, y float64) {
	l.n, l.x, l.y = lineKeeps*l.n+1, lineKeeps*l.x+x, lineKeeps*l.y+y
	l.xx, l.xy = lineKeeps*l.xx+x*x, lineKeeps*l.xy+x*y
}

// addBounded adds a point, of which it believes no more than outlier times what the fit expects there.
func (l *line) addBounded(x, y float64) {
	base, slope := l.fit()
	l.add(x, min(y, outlier*(base+slope*x)))
}

// fit returns the fitted line, with its slope limited to the range from leastSlope to mostSlope.
func (l *line) fit() (base, slope float64) {
	d := l.n*l.xx - l.x*l.x
	slope = firstSlope
	if d > 1e-6*l.n*l.xx {
		slope = (l.n*l.xy - l.x*l.y) / d
	}
	slope = min(max(slope, leastSlope), mostSlope)
	return max(0, (l.y-slope*l.x)/l.n), slope
}

// mean is an exponentially weighted mean.
type mean struct{ v float64 }

// add adds a value with a share of the new mean.
func (m *mean) add(x, share float64) { m.v += share * (x - m.v) }
