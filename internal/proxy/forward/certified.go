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

// Recorder keeps the audit record of regulated runs.
type Recorder interface {
	// Begin records that a run is about to be sent under certificates, and returns its number.
	// It returns false if there is no space for the record of its end; the run must not be sent then.
	Begin(r audit.Run, certificates []byte) (number uint64, ok bool)
	// End records the outcome of a run.
	End(number uint64, o audit.Outcome)
}

// recordFullReason is the reason stated when regulated work is refused because runs can't be recorded.
const recordFullReason = "the record of regulated runs is full, as too few stores take it"

// minCountedWait is the shortest wait of a batch item for a certified endpoint that is counted.
const minCountedWait = 100 * time.Millisecond

var (
	errNotCertified = errors.New("endpoint is no longer certified")
	errRecordFull   = errors.New(recordFullReason)
)

// requireCertificate sets the regime that the route requires now, and the check of endpoints.
func (x *exchange) requireCertificate() {
	gate, route := x.proxy.options.Certificates, x.request.Route.Name
	x.request.Regime, x.request.Certified = gate.Regime(route), nil
	if x.request.Regime != "" {
		x.request.Certified = func(id string) bool {
			_, _, ok := gate.Allows(route, id)
			return ok
		}
	}
}

// recheckCertificate is called right before a request is written to an endpoint: the certificate with
// which the endpoint was chosen may have been withdrawn since. It begins the record of a regulated
// run. If the request must not be sent, it finishes the send and returns the event and false.
func (x *exchange) recheckCertificate(endpoint string) (attempt.Event, bool) {
	gate, route := x.proxy.options.Certificates, x.request.Route
	regime, by, ok := gate.Allows(route.Name, endpoint)
	if regime != x.request.Regime {
		x.requireCertificate()
	}
	if !ok {
		gate.Count(regime, func(c *certification.Counts) { c.Invalidated++ })
		x.err = errNotCertified
		x.refusalReason = "no certified node for regime " + regime + " is free"
		x.finish(dispatch.Canceled, upstream.Unused)
		return attempt.NotWritten, false
	}
	if regime == "" {
		return 0, true
	}
	if !x.beginRecord(regime, endpoint, by) {
		x.err = errRecordFull
		x.countRefusal(regime, recordFullReason)
		x.finish(dispatch.Canceled, upstream.Unused)
		return attempt.NotAdmitted, false
	}
	gate.Count(regime, func(c *certification.Counts) { c.Runs++ })
	return 0, true
}

// beginRecord begins the record of a regulated run and reports whether there is space for it.
func (x *exchange) beginRecord(regime, endpoint string, by *certification.Set) (ok bool) {
	recorder := x.proxy.options.Recorder
	if recorder == nil {
		return true
	}
	x.notWritten = false
	x.recordNumber, ok = recorder.Begin(audit.Run{
		ID:                  x.request.ID,
		Route:               x.request.Route.Name,
		Regime:              regime,
		Endpoint:            endpoint,
		CertificatesVersion: by.Version,
		BatchItem:           x.request.Bulk,
		Idempotent:          x.request.Bulk || x.request.Route.Idempotent(),
		ResumeAfter:         x.lastEventID,
		StartedAt:           x.now(),
	}, by.Raw)
	return ok
}

// endRecord completes the record of a regulated run.
func (x *exchange) endRecord(o dispatch.Outcome) {
	outcome := recordOutcome(o)
	if x.notWritten {
		outcome = audit.Unsent
	}
	x.proxy.options.Recorder.End(x.recordNumber, outcome)
	x.recordNumber, x.notWritten = 0, false
}

// recordOutcome converts the outcome of a run to the one that is recorded.
func recordOutcome(o dispatch.Outcome) audit.Outcome {
	switch o {
	case dispatch.Served:
		return audit.Answered
	case dispatch.NotRun, dispatch.Misdirected:
		return audit.NotRun
	case dispatch.Failed:
		return audit.Failed
	case dispatch.Canceled:
		return audit.Canceled
	case dispatch.NotSent:
		return audit.Unsent
	default:
		return audit.Broken
	}
}

// countRefusal counts the refusal of a regulated request or item.
func (x *exchange) countRefusal(regime, reason string) {
	x.refusalReason = reason
	x.proxy.options.Certificates.Count(regime, func(c *certification.Counts) {
		if x.request.Bulk {
			c.Abandoned++
		} else {
			c.Refused++
		}
	})
	x.proxy.options.Log.Debug("regulated work refused",
		"id", x.request.ID,
		"route", x.request.Route.Name,
		"regime", regime,
		"reason", reason)
}

// countWait counts a batch item that waited for a certified endpoint.
func (x *exchange) countWait(since time.Time, granted bool) {
	if x.now().Sub(since) < minCountedWait {
		return
	}
	x.proxy.options.Certificates.Count(x.request.Regime, func(c *certification.Counts) {
		c.Waited++
		if !granted {
			c.Abandoned++
		}
	})
}
