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

// figures are what a store tells of itself; its core sets them twice a second.
var figures = struct{ led, jobs, open, workers, logBytes, full, table *telemetry.Figure }{
	led:      telemetry.NewFigure("dunetide_store_parts_led"),
	jobs:     telemetry.NewFigure("dunetide_store_jobs"),
	open:     telemetry.NewFigure("dunetide_store_jobs_open"),
	workers:  telemetry.NewFigure("dunetide_store_workers"),
	logBytes: telemetry.NewFigure("dunetide_store_log_bytes"),
	full:     telemetry.NewFigure("dunetide_store_log_full"),
	table:    telemetry.NewFigure("dunetide_store_table_number"),
}

var (
	commits     = telemetry.Counter("dunetide_store_commits_total")
	leadsBegun  = telemetry.Counter("dunetide_store_leads_begun_total")
	itemsListed = telemetry.Counter("dunetide_store_items_listed_total")
)

// setFigures tells the state of this moment.
func (c *core) setFigures() {
	led, jobs := 0, 0
	for _, p := range c.parts {
		jobs += len(p.jobs)
		if p.lead != nil && p.lead.active {
			led++
		}
	}
	figures.led.Set(float64(led))
	figures.jobs.Set(float64(jobs))
	figures.open.Set(float64(len(c.open)))
	figures.workers.Set(float64(len(c.attached)))
	figures.logBytes.Set(float64(c.disk.Size()))
	figures.full.Set(telemetry.Bool(c.full))
	if c.table != nil {
		figures.table.Set(float64(c.table.Version))
	}
}

// countedMethods are those that calls about batch jobs have.
var countedMethods = []string{http.MethodGet, http.MethodPost, http.MethodDelete}

// newCallEvents tells of clients' calls that failed.
func newCallEvents(log hclog.Logger) *telemetry.Log {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	return telemetry.NewLog(log)
}

// noteCall counts a client's call by its answer, and tells of one that failed.
func (e *Edge) noteCall(c *Call, a Answer, began time.Time) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(c.Path, "/"), "/")
	if kind != "lots" && kind != "items" {
		kind = "accept"
	}
	method := c.Method
	if !slices.Contains(countedMethods, method) {
		method = "other" // clients may send any
	}
	telemetry.Counter("dunetide_proxy_batch_calls_total", "call", method+" "+kind, "status", strconv.Itoa(a.Status)).Inc()
	if a.Status >= http.StatusOK && a.Status < http.StatusBadRequest {
		return
	}
	e.callEvents.Event("batch call failed", func() []any {
		fields := []any{"id", c.Header("X-Dunetide-Request-Id"), "method", c.Method, "path", c.Path, "status", a.Status,
			"took", time.Since(began).Round(time.Millisecond), "reached_primary", e.reachesPrimary(c)}
		if v := e.o.Views.Get(); v != nil && v.Table != nil {
			fields = append(fields, "table", v.Table.Version)
		}
		return fields
	})
}

// reachesPrimary reports whether there is a connection to the primary of the job's part.
func (e *Edge) reachesPrimary(c *Call) bool {
	for _, prefix := range []string{"/lots/", "/items/"} {
		if id, ok := strings.CutPrefix(c.Path, prefix); ok {
			return e.primary(id) != nil
		}
	}
	return e.primary(c.Header("X-Dunetide-Request-Id")) != nil
}
