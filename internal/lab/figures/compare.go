package figures

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Named is a statistic by which runs are compared.
type Named struct {
	Name string
	More bool // more is better
	Of   func(Figures) float64
}

// Compared lists these statistics.
var Compared = []Named{
	{"served", true, func(f Figures) float64 { return f.Served }},
	{"whole day", true, func(f Figures) float64 { return f.Whole }},
	{"worst 10 s", true, func(f Figures) float64 { return f.Worst10s }},
	{"worst class", true, func(f Figures) float64 { return f.Class }},
	{"worst tenant", true, func(f Figures) float64 { return f.Tenant }},
	{"median, ms", false, func(f Figures) float64 { return f.P50 }},
	{"99th percentile, ms", false, func(f Figures) float64 { return f.P99 }},
	{"calls a message", false, func(f Figures) float64 { return f.PerMsg }},
	{"refused share", false, func(f Figures) float64 { return f.Refused }},
	{"connections", false, func(f Figures) float64 { return float64(f.Conns) }},
	{"list lines", false, func(f Figures) float64 { return float64(f.Asked) }},
	{"most in a window", false, func(f Figures) float64 { return f.InWindow }},
}

// Effect is the difference of B from A in one statistic, over pairs of runs.
type Effect struct {
	Name  string  `json:"name"`
	MeanA float64 `json:"a"` // means of A and B
	MeanB float64 `json:"b"`
	Diff  float64 `json:"diff"`
	Low   float64 `json:"Low"` // 95% confidence interval of the mean difference
	High  float64 `json:"High"`
	Pairs int     `json:"pairs"`
	Seen  string  `json:"seen"`
}

// None means that the confidence interval contains zero.
const None = "no difference seen"

// confidence is the level of the intervals.
const confidence = 0.95

// Paired compares a statistic over pairs of runs, by a paired Student's t-test. With a single pair there is no interval, and no
// difference is reported.
func Paired(name string, more bool, a, b []float64) Effect {
	e := Effect{Name: name, MeanA: stat.Mean(a, nil), MeanB: stat.Mean(b, nil), Pairs: len(a), Seen: None, Low: math.Inf(-1), High: math.Inf(1)}
	diffs := make([]float64, len(a))
	for i := range a {
		diffs[i] = b[i] - a[i]
	}
	e.Diff = stat.Mean(diffs, nil)
	if len(a) < 2 {
		return e
	}
	sd := stat.StdDev(diffs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(a) - 1)}.Quantile(1 - (1-confidence)/2)
	half := t * sd / math.Sqrt(float64(len(a)))
	e.Low, e.High = e.Diff-half, e.Diff+half
	switch {
	case e.Low > 0 && more, e.High < 0 && !more:
		e.Seen = "better"
	case e.Low > 0 || e.High < 0:
		e.Seen = "worse"
	}
	return e
}
