package audit

import (
	"fmt"
	"time"
)

// Run is one sending of a regulated request or batch item to an endpoint.
type Run struct {
	ID                  string // of the request or item
	Route               string
	Regime              string
	Endpoint            string // the id of its incarnation
	CertificatesVersion uint64 // of those by which it was sent
	BatchItem           bool
	Idempotent          bool   // it may run more than once
	ResumeAfter         string // the id of the event after which it resumes; empty: it starts from its beginning
	StartedAt           time.Time
}

// describe writes all fields out. The names are those that reports have had since the first version.
func (r Run) describe() string {
	return fmt.Sprintf("{ID:%s Route:%s Regime:%s Endpoint:%s Version:%d Item:%t Repeatable:%t After:%s Begun:%v}",
		r.ID, r.Route, r.Regime, r.Endpoint, r.CertificatesVersion,
		r.BatchItem, r.Idempotent, r.ResumeAfter, r.StartedAt)
}

// Outcome is how a run ended. Its value stands in files and messages.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota // no end was recorded: its proxy was lost, or it still runs
	Answered                // the answer came completely
	Failed                  // the endpoint's own 500 or 504, or a status that promises nothing
	NotRun                  // the endpoint says that it has not run
	Unsent                  // it was not written completely
	Broken                  // it may have run, and its answer broke off
	Canceled                // the client left, or the deadline passed
	outcomeCount
)

// String returns the name that reports have for the outcome.
func (o Outcome) String() string {
	return [...]string{"open", "answered", "failed", "not-run", "unsent", "broken", "left"}[o]
}

// MayHaveRun reports whether the endpoint may have run it.
func (o Outcome) MayHaveRun() bool { return o != NotRun && o != Unsent }

// runKey names a run: the proxy, its incarnation, and a number that grows by one a run.
type runKey struct {
	proxy       string
	incarnation uint64
	number      uint64
}

// String returns the form that reports have.
func (k runKey) String() string { return fmt.Sprintf("%s/%x/%d", k.proxy, k.incarnation, k.number) }
