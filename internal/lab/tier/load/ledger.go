// Package load is the lab's clients of a serving tier: streams, plain requests and batch jobs, with
// an account of each and a checker of the rules.
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
	persistent bool   // on a connection that was kept
	left       time.Time
	events     int    // of the whole stream
	end        string // how the try ended
}

// Try is one request of a client as the client saw it.
type Try struct {
	ID         string    `json:"id"`
	Front      string    `json:"front"` // the address that it went to
	Persistent bool      `json:"kept"`  // on a connection that was kept
	End        string    `json:"end"`   // a status, or what went wrong
	Left       time.Time `json:"left"`  // when its client closed the connection, having had enough; zero: it did not
	// Events are those of the whole stream; 0: it is none.
	Events int `json:"events"`
	// Idempotent tells whether it may run more than once.
	Idempotent bool `json:"idempotent"`
}

// leftEnd is the end of a try whose client has left.
const leftEnd = "left"

// tries are all requests but those of batch jobs, by their ids.
func (b *ledger) tries() map[string]Try {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]Try, len(b.sent))
	for id, s := range b.sent {
		if s.job == nil {
			all[id] = Try{ID: id, Front: s.front, Persistent: s.persistent, End: s.end, Left: s.left, Events: s.events, Idempotent: s.idempotent}
		}
	}
	return all
}

// ledger keeps what the clients did and saw.
type ledger struct {
	mu         sync.Mutex
	sent       map[string]*sent
	violations []Violation
	figures    map[string]*Figures
	jobs       []*job
	late       int // requests that the lab itself sent late
}

func newLedger() *ledger { return &ledger{sent: map[string]*sent{}, figures: map[string]*Figures{}} }

func (b *ledger) violated(rule, id, form string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, Violation{rule, id, fmt.Sprintf(form, args...)})
}

func (b *ledger) send(s *sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[s.id] = s
}

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

// promises tells whether a status says that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// check holds what was sent and answered against what ran.
func (b *ledger) check(runs []engine.Run, cancel time.Duration) []Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.violations)
	broke := func(rule, id, form string, args ...any) {
		out = append(out, Violation{rule, id, fmt.Sprintf(form, args...)})
	}
	count := map[string]int{}
	seals := map[string]engine.Run{}
	for _, r := range runs {
		seals[r.Seal] = r
		s := b.sent[r.Request]
		if s == nil {
			broke(Unasked, r.Request, "ran at %s and no client sent it", r.Instance)
			continue
		}
		count[s.id]++
		if r.Sum != s.sum {
			broke(Unasked, s.id, "ran at %s with another method, path or body", r.Instance)
		}
		if !slices.Contains(s.services, r.Service) {
			broke(Route, s.id, "ran at service %s, its route names %v", r.Service, s.services)
		}
		if r.From > 0 && !s.idempotent {
			broke(Order, s.id, "may not be resumed and was asked for after event %d", r.From)
		}
		if count[s.id] == 2 && !s.idempotent {
			broke(Twice, s.id, "runs again at %s", r.Instance)
		}
		if j := s.job; j != nil {
			if !j.ended.IsZero() && r.Arrived.Sub(j.ended) > cancel {
				broke(Unasked, s.id, "reached %s %v after the end of its job %s", r.Instance, r.Arrived.Sub(j.ended), j.id)
			}
			if j.never {
				broke(Refused, s.id, "ran although every try at its job %s was refused", j.id)
			}
		}
	}
	for _, s := range b.sent {
		if s.job == nil && !s.idempotent && promises(s.status) && count[s.id] > 0 {
			broke(Refused, s.id, "was answered %d and ran", s.status)
		}
		if s.seal == "" {
			continue
		}
		if !s.left.IsZero() && seals[s.seal].Request == s.id && seals[s.seal].Ended.IsZero() {
			continue // its client has left, and it has no status yet
		}
		if r, ok := seals[s.seal]; !ok || r.Request != s.id || r.Status/100 != 2 {
			broke(Mixed, s.id, "a success bears the stamp %q of %q, status %d", s.seal, r.Request, r.Status)
		}
	}
	slices.SortStableFunc(out, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return out
}
