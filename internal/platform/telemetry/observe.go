// Package observe is how a process tells afterwards what happened in it: metrics in the text format that scrapers read, and log lines
// of events that may be many, which are bounded a second.
package telemetry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Path is where metrics are served.
const Path = "/metrics"

const (
	readWait  = 3 * time.Second
	writeWait = 5 * time.Second
	idleWait  = 30 * time.Second
	// headerMost bounds the header of a scrape.
	headerMost = 8 << 10
)

// NewServer serves the metrics of the process.
func NewServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	return &http.Server{Handler: mux, ReadTimeout: readWait, WriteTimeout: writeWait, IdleTimeout: idleWait, MaxHeaderBytes: headerMost}
}

// Counter is the counter of a name and labels, made where it is not there yet. Labels are pairs of name and value; their values come
// from a fixed set, as each combination stays in memory.
func Counter(name string, labels ...string) *metrics.Counter {
	return metrics.GetOrCreateCounter(withLabels(name, labels))
}

// Gauge declares a figure that is asked for at each scrape. One that is declared again, by a role that starts its service anew in the
// same process, takes the place of the former.
func GaugeFunc(name string, value func() float64, labels ...string) {
	full := withLabels(name, labels)
	metrics.UnregisterMetric(full)
	metrics.NewGauge(full, value)
}

// Figure is a gauge that its owner sets.
type Gauge struct{ gauge *metrics.Gauge }

// NewFigure declares a gauge that is 0 until it is set.
func NewGauge(name string, labels ...string) *Gauge {
	return &Gauge{metrics.NewGauge(withLabels(name, labels), nil)}
}

// Set gives it a value.
func (f *Gauge) Set(value float64) { f.gauge.Set(value) }

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

// Bool is 1 for true.
func Bool(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Serve serves metrics at an address until the listener is closed.
func Serve(l net.Listener) error { return NewServer().Serve(l) }
