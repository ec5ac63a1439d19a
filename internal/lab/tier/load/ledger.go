// Package load is the lab's clients of a serving tier: streams, plain requests and batch jobs, with
// an account of each and a checker of the rules. Packages tier and soak play it; docs/tier-lab.md lists the rules.
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
	Twice   = "TWICE"
	Mixed   = "MIXED"
	Order   = "ORDER"
	Refused = "REFUSED"
	Unasked = "UNASKED"
	Route   = "ROUTE"
	Lost    = "LOST"
)

// Violation is a rule that was broken.
type Violation struct {
	Rule   string `json:"rule"`
	ID     string `json:"id"` // of the request, the item or the job
	Detail string `json:"detail"`
}

// String returns the broken rule in one line.
func (b Violation) String() string { return fmt.Sprintf("%-8s %s: %s", b.Rule, b.ID, b.Detail) }

// Figures are the account of one kind of request.
type Figures struct {
	Kind         string         `json:"kind"`
	Requested    int            `json:"asked"`
	WithinTarget int            `json:"in_aim"`
	Late         int            `json:"late"`
	Refused      int            `json:"refused"`
	Failed       int            `json:"failed"`
	Tries        int            `json:"tries"`
	Ends         map[string]int `json:"ends"` // of the tries: a status, or what went wrong
}

// sent is one try of a client, or an item of a batch job.
type sent struct {
	id         string
	sum        string
	idempotent bool
	services   []string
	status     int    // of its answer; 0: none came
	seal       string // of a success
	job        *job   // of an item
	front      string // the address that the try went to
	persistent bool   // on a connection that was reused
	left       time.Time
	deadline   time.Time // of its client
	writtenAt  time.Time // when its last byte was written; zero: it was not written whole
	endedAt    time.Time
	events     int    // of the whole stream
	end        string // how the try ended
}

// Try is one request of a client as the client observed it.
type Try struct {
	ID         string    `json:"id"`
	Front      string    `json:"front"`   // the address that it went to
	Persistent bool      `json:"kept"`    // on a connection that was kept
	End        string    `json:"end"`     // a status, or what went wrong
	Left       time.Time `json:"left"`    // when its client closed the connection, having had enough; zero: it did not
	Written    time.Time `json:"written"` // when its last byte was written; zero: it was not written whole
	Ended      time.Time `json:"ended"`
	Deadline   time.Time `json:"deadline"` // of its client
	// Events are those of the whole stream; 0: it is none.
	Events int `json:"events"`
	// Idempotent reports whether it may run more than once.
	Idempotent bool `json:"idempotent"`
}

// Ends of tries that are no status.
const (
	leftEnd   = "left"       // the client has closed the connection
	closedEnd = "closed"     // the connection ended before the head of an answer
	brokenEnd = "broken off" // the connection ended within an answer
)

// EndedUnanswered reports whether the front ended the connection without a complete answer.
func (t Try) EndedUnanswered() bool { return t.End == closedEnd || t.End == brokenEnd }

// tries are all requests but those of batch jobs, by their ids.
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
			}
		}
	}
	return all
}

// ledger keeps what the clients sent and observed.
type ledger struct {
	mu         sync.Mutex
	sent       map[string]*sent
	violations []Violation
	figures    map[string]*Figures
	jobs       []*job
	late       int // requests that the lab itself sent late
}

func newLedger() *ledger { return &ledger{sent: map[string]*sent{}, figures: map[string]*Figures{}} }

// violated notes a violation.
func (b *ledger) violated(rule, id, form string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{rule, id, fmt.Sprintf(form, args...)})
}

// send notes a request before it is sent.
func (b *ledger) send(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[s.id] = s
}

// written notes that the last byte of a request was written.
func (b *ledger) written(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.writtenAt = time.Now()
}

// count changes the figures of a kind of request.
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

// promises reports whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// check checks what was sent and answered against what ran, and returns all violations in the order of rules and ids.
func (b *ledger) check(runs []engine.Run, cancel time.Duration) []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.violations)
	violated := func(rule, id, format string, args ...any) {
		out = append(out, Violation{rule, id, fmt.Sprintf(format, args...)})
	}
	count := map[string]int{}        // runs of a request
	seals := map[string]engine.Run{} // runs by their seals
	for _, run := range runs {
		seals[run.Seal] = run
		request := b.sent[run.Request]
		if request == nil {
			violated(Unasked, run.Request, "ran at %s and no client sent it", run.Instance)
			continue
		}
		count[request.id]++
		checkRun(run, request, violated)
		if count[request.id] == 2 && !request.idempotent {
			violated(Twice, request.id, "runs again at %s", run.Instance)
		}
		if request.job != nil {
			checkJobRun(run, request, cancel, violated)
		}
	}
	for _, request := range b.sent {
		if request.job == nil && !request.idempotent && promises(request.status) && count[request.id] > 0 {
			violated(Refused, request.id, "was answered %d and ran", request.status)
		}
		checkSeal(request, seals, violated)
	}
	slices.SortStableFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// violate notes a violation of a rule by a request, an item or a job.
type violate func(rule, id, format string, args ...any)

// checkRun checks one run against the request that it claims to be for.
func checkRun(run engine.Run, request *sent, violated violate) {
	if run.Sum != request.sum {
		violated(Unasked, request.id, "ran at %s with another method, path or body", run.Instance)
	}
	if !slices.Contains(request.services, run.Service) {
		violated(Route, request.id, "ran at service %s, its route names %v", run.Service, request.services)
	}
	if run.From > 0 && !request.idempotent {
		violated(Order, request.id, "may not be resumed and was asked for after event %d", run.From)
	}
}

// checkJobRun checks the run of an item: its job was accepted, and had not ended for longer than cancel.
func checkJobRun(run engine.Run, request *sent, cancel time.Duration, violated violate) {
	j := request.job
	if !j.ended.IsZero() && run.Arrived.Sub(j.ended) > cancel {
		violated(Unasked, request.id, "reached %s %v after the end of its job %s",
			run.Instance, run.Arrived.Sub(j.ended), j.id)
	}
	if j.never {
		violated(Refused, request.id, "ran although every try at its job %s was refused", j.id)
	}
}

// checkSeal checks that an answer with success bears the seal of a run of this request that ended with success.
func checkSeal(request *sent, seals map[string]engine.Run, violated violate) {
	if request.seal == "" {
		return
	}
	run, known := seals[request.seal]
	if !request.left.IsZero() && run.Request == request.id && run.Ended.IsZero() {
		return // its client has left, and it has no status yet
	}
	if !known || run.Request != request.id || run.Status/100 != 2 {
		violated(Mixed, request.id, "a success bears the stamp %q of %q, status %d", request.seal, run.Request, run.Status)
	}
}
