package telemetry

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Counter returns the counter with a name and labels, creating it if needed. Labels are pairs of name and value. The
// values must come from a fixed set, as each combination stays in memory.
func Counter(name string, labels ...string) *metrics.Counter {
	return metrics.GetOrCreateCounter(withLabels(name, labels))
}

// GaugeFunc registers a gauge whose value is read at each scrape. It replaces a gauge with the same name and labels:
// a role registers its gauges again if it restarts its service in the same process.
func GaugeFunc(name string, value func() float64, labels ...string) {
	full := withLabels(name, labels)
	metrics.UnregisterMetric(full)
	metrics.NewGauge(full, value)
}

// Gauge is a gauge whose value is set explicitly.
type Gauge struct{ gauge *metrics.Gauge }

// NewGauge registers a gauge that is 0 until it is set. A name with labels may be registered only once in a process.
func NewGauge(name string, labels ...string) *Gauge {
	return &Gauge{metrics.NewGauge(withLabels(name, labels), nil)}
}

// Set sets the value of a gauge.
func (g *Gauge) Set(value float64) { g.gauge.Set(value) }

// Bool returns the value of a boolean gauge: 1 for true, 0 for false.
func Bool(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// withLabels returns the full name of a metric: name{label="value",...}.
func withLabels(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	var out strings.Builder
	out.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		fmt.Fprintf(&out, "%s%s=%q", separator, labels[i], labels[i+1])
	}
	out.WriteString("}")
	return out.String()
}
