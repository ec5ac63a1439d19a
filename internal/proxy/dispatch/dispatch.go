// Package dispatch decides to which endpoint a request is sent and when. It limits the rate to each endpoint by two send
// logs, limits the load by slots, and prefers endpoints that have cached the prefix of a prompt.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// Request describes a client's request, or an item of a batch job, for its placement.
type Request struct {
	ID        string
	Route     *operatorconfig.Route
	Service   string // chosen at random by the route's weights
	Model     string
	TokensIn  int    // of the prompt; 0 if unknown
	TokensOut int    // upper bound of the answer's tokens
	Prefix    []Part // of the prompt, in order; the last part belongs to this request or its session only
	Arrived   time.Time
	Deadline  time.Time // when the answer must be complete; zero if there is none
	Due       time.Time // when the answer loses a part of its value; zero if it never does
	Bulk      bool      // it waits until ctx ends and is not refused; interactive requests go first
	Avoid     []string  // ids of endpoint incarnations to which it must not be sent
	// Regime is the certification that the route demands of endpoints, or empty. If it is set, Certified reports whether an
	// endpoint has it, and is asked at each choice.
	Regime    string
	Certified func(id string) bool
}

// may reports whether a request may go to an endpoint by its regime.
func (r *Request) may(id string) bool { return r.Certified == nil || r.Certified(id) }

// noneCertified returns the reason for the refusal of a request with a regime.
func noneCertified(regime string) string {
	return "no certified node for regime " + regime + " is free"
}

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Outcome is how a run at an endpoint ended.
type Outcome uint8

// Outcomes of a run.
const (
	Served   Outcome = iota // a complete answer
	NotRun                  // the endpoint refused the request: 429, 503, or another status with X-Dunetide-Not-Run
	WrongOne                // 421: another incarnation has the address
	Failed                  // the endpoint answered 500 or 504
	Broken                  // the connection was reset or closed, or the answer was unreadable
	Silent                  // no answer within the time limit
	Left                    // the client disconnected first, which says nothing of the endpoint
	Unsent                  // the request was never written
)

// Load is the load that an endpoint reports in X-Dunetide-Server-Load, in requests.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool // the endpoint reported one
}

// Grant is the permission to send one request to one endpoint now. It counts in both send logs. End must be called once.
type Grant interface {
	Endpoint() Target
	// First must be called when the answer's head or its first event arrives, whichever is first.
	First(l Load)
	// End releases the slot.
	End(o Outcome, l Load)
}

// Target is the endpoint to which a request is sent.
type Target struct {
	ID, Address, Service, Zone string
}

// Refused is the error of a request that no endpoint can serve in time. The request was not sent.
type Refused struct {
	Reason     string
	RetryAfter time.Duration // after which the client may retry
	Regime     string        // the regime for which no certified endpoint was free, or empty
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("%s; come back in %v", e.Reason, e.RetryAfter)
}

// Admission grants requests an endpoint. Acquire waits until an endpoint has room. It fails with a *Refused as soon as it
// is known that the request cannot be served in time, or with the error of its context.
type Admission interface {
	Acquire(ctx context.Context, r *Request) (Grant, error)
}
