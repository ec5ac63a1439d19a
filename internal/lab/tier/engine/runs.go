package engine

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The platform's header names.
const (
	HeaderRequest  = "X-Dunetide-Request-Id"
	HeaderSeal     = "X-Dunetide-Server-Seal"
	HeaderLoad     = "X-Dunetide-Server-Load"
	HeaderTarget   = "X-Dunetide-Target-Instance"
	HeaderInstance = "X-Dunetide-Instance"
	HeaderNotRun   = "X-Dunetide-Not-Run"
	HeaderTimeLeft = "X-Dunetide-Time-Left-Ms"
	HeaderModel    = "X-Dunetide-Model"
	HeaderTokens   = "X-Dunetide-Token-Count"
	HeaderPrefix   = "X-Dunetide-Prompt-Prefix"
	HeaderTenant   = "X-Dunetide-Tenant"
	HeaderLast     = "Last-Event-Id"
)

// Run is one request that an endpoint began to work on.
type Run struct {
	Request  string
	Service  string
	Instance string
	Seal     string
	Sum      string   // digest of the request, from Sum
	URI      string   // path with query
	Tenants  []string // the values of X-Dunetide-Tenant
	Keys     []string // the values of Authorization, which no endpoint may see
	From     int      // the Last-Event-Id of the request
	Arrived  time.Time
	Began    time.Time
	Ended    time.Time // zero while it runs
	Status   int
	Whole    bool // the complete answer was written
	Expired  bool // the endpoint aborted it at its deadline
}

// Sum returns a digest of a request: method, path with query, and body.
func Sum(method, uri string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, uri)
	h.Write(body)
	return fmt.Sprintf("%x", h.Sum(nil)[:12])
}

// Event returns the data of event n, counted from 1, of the stream that answers a request. It is the same at all endpoints.
func Event(request string, n int) string {
	return fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%s/%d", request, n)))[:24]
}

// Text returns the data of the events after+1 to count, separated by line feeds.
func Text(request string, after, count int) string {
	var out []string
	for n := after + 1; n <= count; n++ {
		out = append(out, Event(request, n))
	}
	return strings.Join(out, "\n")
}

// plainSize is the length of a plain endpoint's body.
const plainSize = 800

// PlainBody returns the body of a plain endpoint's answer to a request.
func PlainBody(request string) []byte {
	sum := sha256.Sum256([]byte(request))
	text := base64.StdEncoding.EncodeToString(sum[:])
	return []byte(strings.Repeat(text, plainSize/len(text)+1)[:plainSize])
}

// Runs records every run at the endpoints of a tier.
type Runs struct {
	mu       sync.Mutex
	all      []*Run
	rejected map[string]int
}

// reject counts a request that was rejected because the endpoint was full.
func (r *Runs) reject(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejected == nil {
		r.rejected = map[string]int{}
	}
	r.rejected[service]++
}

// Rejected returns how many requests the endpoints of each service rejected.
func (r *Runs) Rejected() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.rejected)
}

// begin records the start of a run and assigns its seal.
func (r *Runs) begin(run Run) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Began = time.Now()
	run.Seal = fmt.Sprintf("%s.%d.%.8s", run.Instance, len(r.all), Sum(http.MethodPost, run.Instance, []byte(run.Request)))
	r.all = append(r.all, &run)
	return &run
}

// end records the end of a run.
func (r *Runs) end(run *Run, status int, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended, run.Status, run.Whole = time.Now(), status, complete
}

// expire records whether the context of a run has exceeded its deadline.
func (r *Runs) expire(ctx context.Context, run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Expired = errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// All returns all runs in the order in which they began.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, len(r.all))
	for i, run := range r.all {
		out[i] = *run
	}
	return out
}
