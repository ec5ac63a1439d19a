package dispatch

import (
	"context"
	"fmt"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// Request describes a client's request, or an item of a batch job, for its placement.
type Request struct {
	ID        string // in the logs only
	Route     *operatorconfig.Route
	Service   string       // chosen at random by the route's weights
	Model     string       // the endpoint must serve it; empty: any endpoint
	TokensIn  int          // tokens of the prompt; 0 if unknown
	TokensOut int          // upper bound of the answer's tokens; 0 if unknown
	Prefix    []PromptPart // parts of the prompt, in order; the last belongs to this request or its session only
	Arrived   time.Time    // when it was first ready for admission; zero: now
	Deadline  time.Time    // when the answer must be complete; zero if there is none
	Due       time.Time    // after which the answer is worth less; zero if there is none
	// TenantPriority is the priority of the tenant, which precedes that of the route. 0 is the highest,
	// and is that of requests without a tenant.
	TenantPriority int
	Bulk           bool // it waits without a deadline, as long as an endpoint may come free (bulkwait.go); interactive requests go first
	// LeadsTo reports whether the route of a bulk request still leads to a service under a configuration; nil: always.
	LeadsTo func(config *operatorconfig.Config, service string) bool
	Avoid   []string // ids of endpoint incarnations to which it must not be sent
	// Regime is the certification that the route demands of endpoints, or empty. If it is set,
	// Certified reports whether an endpoint has it, and is called at each choice.
	Regime    string
	Certified func(id string) bool
}

// mayUse reports whether the regime of a request allows an endpoint.
func (r *Request) mayUse(id string) bool { return r.Certified == nil || r.Certified(id) }

// noCertifiedEndpoint returns the reason for the refusal of a request with a regime.
func noCertifiedEndpoint(regime string) string {
	return "no certified node for regime " + regime + " is free"
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Outcome is how a run at an endpoint ended.
type Outcome uint8

// Outcomes of a run.
const (
	Served      Outcome = iota // a complete answer
	NotRun                     // the endpoint refused the request: 429, 503, or another status with X-Dunetide-Not-Run
	Misdirected                // 421: another incarnation has the address
	Failed                     // the endpoint answered 500 or 504
	Broken                     // the connection was reset or closed, or the answer was unreadable
	TimedOut                   // no answer within the time limit
	Canceled                   // the client disconnected first, which says nothing about the endpoint
	NotSent                    // the request was never written
)

// Load is the load that an endpoint reports in X-Dunetide-Server-Load, in requests.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool // the endpoint reported one
}

// Grant is the permission to send one request to one endpoint now. It counts in both send logs of
// the endpoint. End must be called once.
type Grant interface {
	// Endpoint returns where to send the request.
	Endpoint() Target
	// FirstToken must be called when the answer's head or its first event arrives, whichever is
	// first, with the load that the head reports.
	FirstToken(l Load)
	// End releases the slot.
	End(o Outcome, l Load)
}

// Target is the endpoint to which a request is sent.
type Target struct {
	ID      string // of the incarnation
	Address string // host:port
	Service string
	Zone    string
}

// RefusedError is the error of a request that no endpoint can serve in time. The request was not sent.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // after which the client may retry
	Regime     string        // the regime for which no certified endpoint was free, or empty
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s; retry after %v", e.Reason, e.RetryAfter)
}

// Admission grants requests an endpoint. Acquire waits until an endpoint has capacity. It fails
// with a *RefusedError as soon as it is known that the request cannot be served in time, or with
// the error of its context.
type Admission interface {
	Acquire(ctx context.Context, r *Request) (Grant, error)
}
