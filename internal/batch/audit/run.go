package audit

import (
	"fmt"
	"time"
)

// Run is one attempt to send a regulated request or batch item to an endpoint.
type Run struct {
	ID                  string // of the request or item
	Route               string
	Regime              string
	Endpoint            string // the ID of its incarnation
	CertificatesVersion uint64 // of the certificates by which it was sent
	BatchItem           bool
	Idempotent          bool   // it may run more than once
	ResumeAfter         string // the ID of the event after which it resumes; empty: it starts from the beginning
	StartedAt           time.Time
}

// describe formats all fields. The names are those that reports have had since the first version.
func (r Run) describe() string {
	return fmt.Sprintf("{ID:%s Route:%s Regime:%s Endpoint:%s Version:%d Item:%t Repeatable:%t After:%s Begun:%v}",
		r.ID, r.Route, r.Regime, r.Endpoint, r.CertificatesVersion,
		r.BatchItem, r.Idempotent, r.ResumeAfter, r.StartedAt)
}

// Outcome is how a run ended. Its value is in files and messages.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota // no end was recorded: its proxy was lost, or it is still running
	Answered                // the response was complete
	Failed                  // the endpoint's own 500 or 504, or a status that does not exclude a run
	NotRun                  // the endpoint reports that it has not run
	Unsent                  // the request was not sent completely
	Broken                  // it may have run, and its response was interrupted
	Canceled                // the client disconnected, or the deadline passed
	outcomeCount
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	return [...]string{"open", "answered", "failed", "not-run", "unsent", "broken", "left"}[o]
}

// MayHaveRun reports whether the endpoint may have run the request or item.
func (o Outcome) MayHaveRun() bool { return o != NotRun && o != Unsent }

// runKey identifies a run: the proxy, its incarnation, and a number that increases by one with each run.
type runKey struct {
	proxy       string
	incarnation uint64
	number      uint64
}

// String returns the form that reports use.
func (k runKey) String() string { return fmt.Sprintf("%s/%x/%d", k.proxy, k.incarnation, k.number) }
