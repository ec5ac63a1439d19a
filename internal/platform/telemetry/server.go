// Package telemetry exposes what happens in a process: metrics in the text format of Prometheus, served over HTTP, and
// log lines for events that may be many, limited per second.
//
// All roles use it. Names of metrics begin with dunetide_ and the role; they are part of the interface to operators
// (docs/on-call.md) and don't change, as testdata/golden has them. Those of invariants come from package invariant.
package telemetry

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Limits of the HTTP server, so that a scraper that hangs doesn't keep its connection for ever.
const (
	readTimeout    = 3 * time.Second
	writeTimeout   = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// NewServer returns a server of the metrics of the process, its own and those of the Go runtime.
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

// Serve serves the metrics of the process until the listener is closed, and returns the listener's error then.
func Serve(l net.Listener) error { return NewServer().Serve(l) }
