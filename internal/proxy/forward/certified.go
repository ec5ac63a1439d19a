package forward

import (
	"errors"
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// Recorder keeps the record of regulated runs.
type Recorder interface {
	// Begin takes in that a run is about to be sent by certificates, and tells its number. Without room for its end it says
	// false, and the run may not be sent.
	Begin(r audit.Run, certificates []byte) (number uint64, ok bool)
	// End takes in how it ended.
	End(number uint64, o audit.Outcome)
}

// recordFull is why regulated work is refused while runs can't be recorded.
const recordFull = "the record of regulated runs is full, as too few stores take it"

// longWait is how long a batch item waits before that is counted.
const longWait = 100 * time.Millisecond

var (
	errNotCertified = errors.New("the endpoint is no longer certified")
	errRecordFull   = errors.New(recordFull)
)

// demand asks for what the route demands now.
func (x *exchange) demand() {
	gate, route := x.p.o.Certified, x.req.Route.Name
	x.req.Regime, x.req.Certified = gate.Regime(route), nil
	if x.req.Regime != "" {
		x.req.Certified = func(id string) bool {
			_, _, ok := gate.Allows(route, id)
			return ok
		}
	}
}

// certified is asked right before a request is written to an endpoint: what let it go there may have been withdrawn since. It
// begins the record of a regulated run.
func (x *exchange) certified(endpoint string) (attempt.Event, bool) {
	gate, route := x.p.o.Certified, x.req.Route
	regime, by, ok := gate.Allows(route.Name, endpoint)
	if regime != x.req.Regime {
		x.demand()
	}
	if !ok {
		gate.Count(regime, func(c *certification.Counts) { c.Stopped++ })
		x.err = errNotCertified
		x.reason = "no certified node for regime " + regime + " is free"
		x.finish(dispatch.Left, upstream.Unused)
		return attempt.NotWritten, false
	}
	if regime == "" {
		return 0, true
	}
	if r := x.p.o.Record; r != nil {
		x.unsent = false
		x.run, ok = r.Begin(audit.Run{ID: x.req.ID, Route: route.Name, Regime: regime, Endpoint: endpoint,
			CertificatesVersion: by.Version, BatchItem: x.req.Bulk, Idempotent: x.req.Bulk || route.Idempotent(),
			ResumeAfter: x.last, StartedAt: x.now()}, by.Raw)
		if !ok {
			x.err = errRecordFull
			x.refusedFor(regime, recordFull)
			x.finish(dispatch.Left, upstream.Unused)
			return attempt.NotAdmitted, false
		}
	}
	gate.Count(regime, func(c *certification.Counts) { c.Runs++ })
	return 0, true
}

// refusedFor counts a refusal.
func (x *exchange) refusedFor(regime, reason string) {
	x.reason = reason
	x.p.o.Certified.Count(regime, func(c *certification.Counts) {
		if x.req.Bulk {
			c.Abandoned++
		} else {
			c.Refused++
		}
	})
	x.p.o.Log.Debug("regulated work refused", "id", x.req.ID, "route", x.req.Route.Name, "regime", regime, "reason", reason)
}

// waited counts a batch item's turn that waited for a certified endpoint.
func (x *exchange) waited(since time.Time, granted bool) {
	if x.now().Sub(since) < longWait {
		return
	}
	x.p.o.Certified.Count(x.req.Regime, func(c *certification.Counts) {
		c.Waited++
		if !granted {
			c.Abandoned++
		}
	})
}

// recorded ends the record of a regulated run.
func (x *exchange) recorded(o dispatch.Outcome) {
	out := audit.Broken
	switch o {
	case dispatch.Served:
		out = audit.Answered
	case dispatch.NotRun, dispatch.WrongOne:
		out = audit.NotRun
	case dispatch.Failed:
		out = audit.Failed
	case dispatch.Left:
		out = audit.Canceled
	case dispatch.Unsent:
		out = audit.Unsent
	default:
	}
	if x.unsent {
		out = audit.Unsent
	}
	x.p.o.Record.End(x.run, out)
	x.run, x.unsent = 0, false
}
