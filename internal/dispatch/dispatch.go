// Package dispatch decides which endpoint a request may go to and when: admission by two send logs an
// endpoint, slots, placement by the parts of prompts.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"dunetide/internal/operator"
)

// Request is what is asked for, as dispatch sees it. An item of a batch job is one too.
type Request struct {
	ID        string
	Route     *operator.Route
	Service   string // drawn by the route's weights
	Model     string
	TokensIn  int    // of the prompt; 0 where no tokens are told
	TokensOut int    // the most
	Prefix    []Part // of the prompt, in order; the last is the request's own or its session's
	Arrived   time.Time
	Deadline  time.Time // an endpoint's work must be done by then
	Due       time.Time // its full worth ends
	Bulk      bool      // waits until ctx ends rather than be refused; urgent requests go first
	Avoid     []string  // ids of incarnations that it may not go to (any more)
	// Regime is what its route demands of endpoints; empty: nothing. Then Certified is asked of each of them anew whenever
	// one is chosen.
	Regime    string
	Certified func(id string) bool
}

// may tells whether a request may go to an incarnation by its regime.
func (r *Request) may(id string) bool { return r.Certified == nil || r.Certified(id) }

// noneCertified is why regulated work is refused.
func noneCertified(regime string) string {
	return "no certified node for regime " + regime + " is free"
}

// Part of a prompt that others may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Outcome is how a run at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota // a whole answer
	NotRun                  // it was turned away: 429, 503 or another with X-Dunetide-Not-Run
	WrongOne                // 421: another incarnation has the address
	Failed                  // a 500 or 504 of the endpoint
	Broken                  // reset, closed, unreadable, dead link
	Silent                  // no word until this side gave up
	Left                    // the client left first, which says nothing of the endpoint
	Unsent                  // never written
)

// Load is what an endpoint tells in X-Dunetide-Server-Load.
type Load struct {
	Running, Waiting, Slots int
	Known                   bool
}

// Grant is the leave to send one request to one incarnation now. It is recorded in both send logs.
// End must be called once.
type Grant interface {
	Endpoint() Target
	// First is called at the answer's head or first event, whichever is first.
	First(l Load)
	// End gives the slot back.
	End(o Outcome, l Load)
}

// Target is where to send.
type Target struct {
	ID, Address, Service, Zone string
}

// Refused says that no endpoint may be asked in time. The request was not sent.
type Refused struct {
	Reason     string
	RetryAfter time.Duration // when to come back
	Regime     string        // for which no certified endpoint was free; empty: it wasn't that
}

func (e *Refused) Error() string {
	return fmt.Sprintf("%s; come back in %v", e.Reason, e.RetryAfter)
}

// Admission lets requests through. Acquire waits in the hold until an endpoint has room; its error is a
// *Refused, given as soon as it is clear that the request can't be served in time, or the context's.
type Admission interface {
	Acquire(ctx context.Context, r *Request) (Grant, error)
}
