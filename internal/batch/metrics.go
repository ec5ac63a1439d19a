package batch

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/platform/telemetry"
)

// Gauges of a store. The core sets them twice a second.
var gauges = struct{ led, jobs, open, workers, logBytes, full, table *telemetry.Gauge }{
	led:      telemetry.NewGauge("dunetide_store_parts_led"),
	jobs:     telemetry.NewGauge("dunetide_store_jobs"),
	open:     telemetry.NewGauge("dunetide_store_jobs_open"),
	workers:  telemetry.NewGauge("dunetide_store_workers"),
	logBytes: telemetry.NewGauge("dunetide_store_log_bytes"),
	full:     telemetry.NewGauge("dunetide_store_log_full"),
	table:    telemetry.NewGauge("dunetide_store_table_number"),
}

// Counters of a store.
var (
	commits            = telemetry.Counter("dunetide_store_commits_total")
	termsStarted       = telemetry.Counter("dunetide_store_leads_begun_total")
	staleTermsRejected = telemetry.Counter("dunetide_store_stale_terms_rejected_total")
	resultsCommitted   = telemetry.Counter("dunetide_store_items_listed_total")
)

// setMetrics sets the gauges to the current state.
func (c *core) setMetrics() {
	led, jobs := 0, 0
	for _, p := range c.partitions {
		jobs += len(p.jobs)
		if p.primary != nil && p.primary.serving {
			led++
		}
	}
	gauges.led.Set(float64(led))
	gauges.jobs.Set(float64(jobs))
	gauges.open.Set(float64(len(c.dispatchQueue)))
	gauges.workers.Set(float64(len(c.attachedWorkers)))
	gauges.logBytes.Set(float64(c.disk.Size()))
	gauges.full.Set(telemetry.Bool(c.logFull))
	if c.table != nil {
		gauges.table.Set(float64(c.table.Version))
	}
}

// countedMethods are the methods that are valid for calls about batch jobs. Clients may send any;
// the others are counted as one.
var countedMethods = []string{http.MethodGet, http.MethodPost, http.MethodDelete}

// newCallEvents returns the log of failed client calls.
func newCallEvents(log hclog.Logger) *telemetry.EventLog {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	return telemetry.NewEventLog(log)
}

// recordCall counts a client call by its status, and logs it if it failed.
func (p *Proxy) recordCall(call *Call, response Response, startedAt time.Time) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(call.Path, "/"), "/")
	if kind != "lots" && kind != "items" {
		kind = "accept"
	}
	method := call.Method
	if !slices.Contains(countedMethods, method) {
		method = "other"
	}
	status := strconv.Itoa(response.Status)
	telemetry.Counter("dunetide_proxy_batch_calls_total", "call", method+" "+kind, "status", status).Inc()
	if response.Status >= http.StatusOK && response.Status < http.StatusBadRequest {
		return
	}
	p.callEvents.Event("batch call failed", func() []any {
		fields := []any{
			"id", call.Header(headerRequestID),
			"method", call.Method,
			"path", call.Path,
			"status", response.Status,
			"took", time.Since(startedAt).Round(time.Millisecond),
			"reached_primary", p.reachesPrimary(call),
		}
		if v := p.options.Snapshots.Get(); v != nil && v.Table != nil {
			fields = append(fields, "table", v.Table.Version)
		}
		return fields
	})
}

// reachesPrimary reports whether there is a connection to the primary of the job's partition.
func (p *Proxy) reachesPrimary(call *Call) bool {
	for _, prefix := range []string{pathJobs, pathItems} {
		if jobID, ok := strings.CutPrefix(call.Path, prefix); ok {
			return p.primary(jobID) != nil
		}
	}
	return p.primary(call.Header(headerRequestID)) != nil
}
