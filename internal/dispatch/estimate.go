package dispatch

import "time"

// line is a weighted fit of y = base + slope x that forgets slowly. It begins with a guess.
type line struct{ n, x, y, xx, xy float64 }

const (
	lineKeeps  = 0.99
	firstWork  = 20 * time.Millisecond
	firstBase  = 5.0       // ms before the first token of a prompt without tokens
	firstSlope = 1.0 / 130 // ms a token
)

func firstLine() line {
	var l line
	for _, x := range []float64{0, 1000, 4000, 16000} {
		l.add(x, firstBase+firstSlope*x)
	}
	return l
}

func (l *line) add(x, y float64) {
	l.n, l.x, l.y = lineKeeps*l.n+1, lineKeeps*l.x+x, lineKeeps*l.y+y
	l.xx, l.xy = lineKeeps*l.xx+x*x, lineKeeps*l.xy+x*y
}

// fit keeps the slope within sane bounds: 1,000 tokens a ms to 5.
func (l *line) fit() (base, slope float64) {
	d := l.n*l.xx - l.x*l.x
	slope = firstSlope
	if d > 1e-6*l.n*l.xx {
		slope = (l.n*l.xy - l.x*l.y) / d
	}
	slope = min(max(slope, 1.0/1000), 1.0/5)
	return max(0, (l.y-slope*l.x)/l.n), slope
}

// mean forgets slowly, and begins with a guess.
type mean struct{ v float64 }

func (m *mean) add(x, share float64) { m.v += share * (x - m.v) }
