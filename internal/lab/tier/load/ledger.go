// Package load has the lab's simulated clients of a serving tier. They send streams, plain requests and batch jobs, and check
// the answers and the runs at the endpoints against rules. Packages tier and soak use it; docs/tier-lab.md lists the rules.
package load

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunetide/internal/lab/tier/engine"
)

// The rules that are checked.
const (
	Twice   = "TWICE"   // a request that may run once ran again, or a job's result changed or appeared twice
	Mixed   = "MIXED"   // an answer is malformed or belongs to something else
	Order   = "ORDER"   // the events of a stream are incomplete, out of order or wrong
	Refused = "REFUSED" // a request ran although it was refused
	Unasked = "UNASKED" // an endpoint ran something that no client sent, or an item long after its job ended
	Route   = "ROUTE"   // a request ran at a service that its route does not name
	Lost    = "LOST"    // an accepted job or a listed result cannot be read
)

// Violation is a violation of a rule.
type Violation struct {
	Rule   string `json:"rule"`
	ID     string `json:"id"` // of the request, the item or the job
	Detail string `json:"detail"`
}

// String describes the violation in one line.
func (b Violation) String() string { return fmt.Sprintf("%-8s %s: %s", b.Rule, b.ID, b.Detail) }

// Figures count the results of one kind of request.
type Figures struct {
	Kind         string         `json:"kind"`
	Requested    int            `json:"asked"`
	WithinTarget int            `json:"in_aim"`
	Late         int            `json:"late"`
	Refused      int            `json:"refused"`
	Failed       int            `json:"failed"`
	Tries        int            `json:"tries"`
	Ends         map[string]int `json:"ends"` // attempts by outcome: a status or a kind of failure
}

// sent is one attempt of a client, or an item of a batch job.
type sent struct {
	id         string
	sum        string
	idempotent bool
	services   []string
	status     int       // of the answer; 0 without an answer
	seal       string    // of a successful answer
	job        *job      // for an item
	front      string    // the address that the attempt went to
	persistent bool      // the connection was reused
	left       time.Time // when the client disconnected early; zero if it did not
	deadline   time.Time // of the client
	writtenAt  time.Time // when the last byte was written; zero if it was not written completely
	endedAt    time.Time
	events     int    // of the complete stream
	end        string // the outcome
	route      string
	identity   Identity
	sentAt     time.Time // right before the first byte was written
}

// Try is one attempt of a client as the client observed it.
type Try struct {
	ID         string    `json:"id"`
	Front      string    `json:"front"`   // the address that the attempt went to
	Persistent bool      `json:"kept"`    // the connection was reused
	End        string    `json:"end"`     // a status or a kind of failure
	Left       time.Time `json:"left"`    // when the client disconnected early; zero if it did not
	Written    time.Time `json:"written"` // when the last byte was written; zero if it was not written completely
	Ended      time.Time `json:"ended"`
	Deadline   time.Time `json:"deadline"` // of the client
	// Events is the number of events of the complete stream, 0 if the answer is not a stream.
	Events int `json:"events"`
	// Route is the name of the route, and Identity is what the client stated about itself.
	Route    string   `json:"route"`
	Identity Identity `json:"identity"`
	// Sent is when the client began to write, and Status is that of the answer; 0 without an answer.
	Sent   time.Time `json:"sent"`
	Status int       `json:"status"`
	// Idempotent reports whether the request may run more than once.
	Idempotent bool `json:"idempotent"`
}

// Outcomes of attempts that did not get a complete answer.
const (
	leftEnd   = "left"       // the client closed the connection
	closedEnd = "closed"     // the connection ended before the head of an answer
	brokenEnd = "broken off" // the connection ended within an answer
)

// EndedUnanswered reports whether the front closed the connection without a complete answer.
func (t Try) EndedUnanswered() bool { return t.End == closedEnd || t.End == brokenEnd }

// tries returns all attempts except those for batch jobs, by request ID.
func (b *ledger) tries() map[string]Try {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]Try, len(b.sent))
	for id, s := range b.sent {
		if s.job == nil {
			all[id] = Try{
				ID:         id,
				Front:      s.front,
				Persistent: s.persistent,
				End:        s.end,
				Left:       s.left,
				Written:    s.writtenAt,
				Ended:      s.endedAt,
				Deadline:   s.deadline,
				Events:     s.events,
				Idempotent: s.idempotent,
				Route:      s.route,
				Identity:   s.identity,
				Sent:       s.sentAt,
				Status:     s.status,
			}
		}
	}
	return all
}

// ledger records what the clients sent and observed.
type ledger struct {
	mu         sync.Mutex
	sent       map[string]*sent
	violations []Violation
	figures    map[string]*Figures
	jobs       []*job
	denials    []Denial
	late       int // requests that the lab itself sent late
}

func newLedger() *ledger { return &ledger{sent: map[string]*sent{}, figures: map[string]*Figures{}} }

// violated records a violation.
func (b *ledger) violated(rule, id, form string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{rule, id, fmt.Sprintf(form, args...)})
}

// send records a request before it is sent.
func (b *ledger) send(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[s.id] = s
}

// written records that the last byte of a request was written.
func (b *ledger) written(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.writtenAt = time.Now()
}

// count applies a change to the figures of a kind of request.
func (b *ledger) count(kind string, change func(*Figures)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.figures[kind]
	if f == nil {
		f = &Figures{Kind: kind, Ends: map[string]int{}}
		b.figures[kind] = f
	}
	change(f)
}

// provesNotRun reports whether a status guarantees that the request has not run and never will.
func provesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// check checks the sent requests and their answers against the runs, and returns all violations sorted by rule and ID.
func (b *ledger) check(runs []engine.Run, cancel time.Duration) []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.violations)
	violated := func(rule, id, format string, args ...any) {
		out = append(out, Violation{rule, id, fmt.Sprintf(format, args...)})
	}
	count := map[string]int{}        // runs of a request
	seals := map[string]engine.Run{} // runs by seal
	for _, run := range runs {
		seals[run.Seal] = run
		request := b.sent[run.Request]
		if request == nil {
			violated(Unasked, run.Request, "ran at %s, but no client sent it", run.Instance)
			continue
		}
		count[request.id]++
		checkRun(run, request, violated)
		if count[request.id] == 2 && !request.idempotent {
			violated(Twice, request.id, "ran again at %s", run.Instance)
		}
		if request.job != nil {
			checkJobRun(run, request, cancel, violated)
		}
	}
	for _, request := range b.sent {
		if request.job == nil && !request.idempotent && provesNotRun(request.status) && count[request.id] > 0 {
			violated(Refused, request.id, "was answered with status %d, but ran", request.status)
		}
		checkSeal(request, seals, violated)
	}
	slices.SortStableFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// violate records a violation of a rule by a request, an item or a job.
type violate func(rule, id, format string, args ...any)

// checkRun checks one run against the request with its ID.
func checkRun(run engine.Run, request *sent, violated violate) {
	if run.Sum != request.sum {
		violated(Unasked, request.id, "ran at %s with another method, path or body", run.Instance)
	}
	if !slices.Contains(request.services, run.Service) {
		violated(Route, request.id, "ran at service %s, but its route names %v", run.Service, request.services)
	}
	if run.From > 0 && !request.idempotent {
		violated(Order, request.id, "may not be resumed, but was requested after event %d", run.From)
	}
}

// checkJobRun checks that an item ran only if its job may have been accepted and had ended at most cancel before.
func checkJobRun(run engine.Run, request *sent, cancel time.Duration, violated violate) {
	j := request.job
	if !j.ended.IsZero() && run.Arrived.Sub(j.ended) > cancel {
		violated(Unasked, request.id, "reached %s %v after the end of its job %s",
			run.Instance, run.Arrived.Sub(j.ended), j.id)
	}
	if j.refused {
		violated(Refused, request.id, "ran, but every attempt to submit its job %s was refused", j.id)
	}
}

// checkSeal checks that a successful answer has the seal of a successful run of this request.
func checkSeal(request *sent, seals map[string]engine.Run, violated violate) {
	if request.seal == "" {
		return
	}
	run, known := seals[request.seal]
	if !request.left.IsZero() && run.Request == request.id && run.Ended.IsZero() {
		return // the client has disconnected, and the run has no status yet
	}
	if !known || run.Request != request.id || run.Status/100 != 2 {
		violated(Mixed, request.id, "successful answer with the seal %q of request %q, status %d", request.seal, run.Request, run.Status)
	}
}
