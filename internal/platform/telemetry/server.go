// Package telemetry exposes the metrics of a process over HTTP in the Prometheus text format, and rate-limits log lines
// for frequent events.
//
// All roles use it. Metric names begin with dunetide_ and the role; they are part of the interface to operators
// (docs/on-call.md) and don't change: testdata/golden pins them. Package invariant defines those of invariants.
package telemetry

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Limits of the HTTP server, so that a hanging scraper doesn't keep its connection forever.
const (
	readTimeout    = 3 * time.Second
	writeTimeout   = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// NewServer returns an HTTP server for the metrics of the process and of the Go runtime.
func NewServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
	return &http.Server{
		Handler:        mux,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// Serve serves the metrics of the process until the listener is closed, and then returns the listener's error.
func Serve(l net.Listener) error { return NewServer().Serve(l) }
