package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/control/operatorconfig"
)

const mostItems = 200

// Call is a client's call about batch jobs.
type Call struct {
	Method string
	Host   string
	Path   string // without the query
	Query  string
	Header func(name string) string
	Body   []byte // whole
}

// Answer to a call. Status 0: the connection is to be closed without an answer, as nothing can be promised.
type Answer struct {
	Status     int
	RetryAfter string
	Type       string
	Body       []byte
}

// ForBatch tells whether a call is one about batch jobs: a POST under a bulk route, or a call of /lots/ or /items/
// under a host that has such a route.
func ForBatch(c *operatorconfig.Config, method, host, path string) bool {
	if c == nil {
		return false
	}
	host = hostOnly(host)
	if bulkRoute(c, host, path) != nil {
		return true
	}
	if !strings.HasPrefix(path, "/lots/") && !strings.HasPrefix(path, "/items/") {
		return false
	}
	for i := range c.Routes {
		if c.Routes[i].Kind == operatorconfig.Bulk && c.Routes[i].Host == host {
			return true
		}
	}
	return false
}

func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

var unavailable = Answer{Status: 503, RetryAfter: "0.2"}

// noRoom is the answer while disks are full: jobs leave them some time after they were sent.
var noRoom = Answer{Status: 503, RetryAfter: "2"}

// How long the edge goes on asking stores before it says that nothing can be said now.
const (
	acceptWait = 1500 * time.Millisecond
	readWait   = 1200 * time.Millisecond
	endWait    = 1500 * time.Millisecond
	// mostHold is how long a read may be held until there is a result.
	mostHold = 10_000 * time.Millisecond
)

// headerTimeLeft is what a client says that it still waits, in ms.
const headerTimeLeft = "X-Dunetide-Time-Left-Ms"

// TimeLeft returns what a client says that it still waits, or 0 if it says nothing.
func TimeLeft(header func(name string) string) time.Duration {
	if ms, err := strconv.Atoi(header(headerTimeLeft)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}

// within is a wait, cut to what the client's time bears.
func (c *Call) within(wait time.Duration) time.Duration {
	if left := TimeLeft(c.Header); left > 0 {
		return min(wait, left*8/10)
	}
	return wait
}

// Serve answers a client's call.
func (e *Edge) Serve(ctx context.Context, c *Call) Answer {
	began := time.Now()
	answer := e.serve(ctx, c)
	e.noteCall(c, answer, began)
	return answer
}

func (e *Edge) serve(ctx context.Context, c *Call) Answer {
	v := e.o.Views.Get()
	if v == nil || v.Config == nil {
		return unavailable
	}
	if id, ok := strings.CutPrefix(c.Path, "/lots/"); ok {
		switch c.Method {
		case http.MethodGet:
			return e.serveRead(ctx, c, id)
		case http.MethodDelete:
			return e.serveEnd(ctx, c, id)
		}
		return Answer{Status: 405}
	}
	if id, ok := strings.CutPrefix(c.Path, "/items/"); ok {
		return e.serveBody(ctx, c, id)
	}
	return e.serveAccept(ctx, c, v.Config)
}

// serveRead answers a read of results.
func (e *Edge) serveRead(ctx context.Context, c *Call, id string) Answer {
	q, _ := url.ParseQuery(c.Query)
	after, err := strconv.Atoi(q.Get("start_after"))
	if q.Get("start_after") == "" {
		after, err = 0, nil
	}
	if err != nil || after < 0 || id == "" {
		return Answer{Status: 400}
	}
	ms, _ := strconv.Atoi(c.Header("X-Dunetide-Wait-Ms"))
	wait := min(time.Duration(max(ms, 0))*time.Millisecond, mostHold)
	if left := TimeLeft(c.Header); left > 0 {
		wait = min(wait, left/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.within(readWait))
	defer cancel()
	r, found := e.Read(ctx, id, after, wait)
	return readAnswer(r, after, found)
}

// serveEnd answers the end of a job.
func (e *Edge) serveEnd(ctx context.Context, c *Call, id string) Answer {
	ctx, cancel := context.WithTimeout(ctx, c.within(endWait))
	defer cancel()
	switch e.End(ctx, id) {
	case OK:
		return Answer{Status: 200}
	case None:
		return Answer{Status: 404}
	}
	return unavailable
}

// serveBody answers a read of an item's body.
func (e *Edge) serveBody(ctx context.Context, c *Call, id string) Answer {
	q, err := url.ParseQuery(c.Query)
	if err != nil || c.Method != http.MethodGet {
		return Answer{Status: 400}
	}
	ctx, cancel := context.WithTimeout(ctx, c.within(readWait))
	defer cancel()
	b, found := e.Body(ctx, id, q.Get("id"))
	switch found {
	case OK:
		return Answer{Status: 200, Type: "application/octet-stream", Body: b}
	case None:
		return Answer{Status: 404}
	}
	return unavailable
}

// serveAccept answers a job that is handed in.
func (e *Edge) serveAccept(ctx context.Context, c *Call, config *operatorconfig.Config) Answer {
	route := bulkRoute(config, hostOnly(c.Host), c.Path)
	if route == nil {
		return Answer{Status: 404}
	}
	if c.Method != http.MethodPost {
		return Answer{Status: 405}
	}
	j, ok := parseJob(c, route)
	if !ok {
		return Answer{Status: 400}
	}
	j.Version = config.Version
	j.SentMs = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(ctx, c.within(acceptWait))
	defer cancel()
	switch e.Accept(ctx, j) {
	case Taken:
		return Answer{Status: 202}
	case Full:
		return Answer{Status: 429, RetryAfter: "0.5"}
	case Unavailable:
		return unavailable
	case NoRoom:
		return noRoom
	}
	return Answer{}
}

func parseJob(c *Call, route *operatorconfig.Route) (*Job, bool) {
	var in struct {
		Requests []struct {
			ID      string            `json:"id"`
			Path    string            `json:"path"`
			Headers map[string]string `json:"headers"`
			Body    []byte            `json:"body"`
			Tokens  int64             `json:"tokens"`
		} `json:"requests"`
	}
	id := c.Header("X-Dunetide-Request-Id")
	if id == "" || json.Unmarshal(c.Body, &in) != nil || len(in.Requests) == 0 || len(in.Requests) > mostItems {
		return nil, false
	}
	j := &Job{ID: id, Route: route.Name, Host: route.Host, PathStart: route.PathPrefix, DueMs: int64(route.DueMs), Tries: max(route.MaxAttempts, 1),
		MaxWaitMs: int64(route.MaxWaitMs), MaxQueued: route.MaxQueuedTokens}
	seen := make(map[string]bool, len(in.Requests))
	for _, q := range in.Requests {
		if q.ID == "" || seen[q.ID] || q.Path == "" || q.Path[0] != '/' || q.Tokens < 0 {
			return nil, false
		}
		seen[q.ID] = true
		it := JobItem{ID: q.ID, Path: q.Path, Body: q.Body, Tokens: q.Tokens}
		for _, name := range sortedKeys(q.Headers) {
			it.Headers = append(it.Headers, [2]string{name, q.Headers[name]})
		}
		j.Items = append(j.Items, it)
	}
	return j, true
}

func readAnswer(r Reading, after int, found Found) Answer {
	switch found {
	case None:
		return Answer{Status: 404}
	case Unsure:
		return unavailable
	}
	var b bytes.Buffer
	b.WriteString(`{"total":`)
	b.WriteString(strconv.Itoa(r.Total))
	b.WriteString(`,"next_token":`)
	b.WriteString(strconv.Itoa(after + len(r.Results)))
	b.WriteString(`,"results":[`)
	enc := func(s string) {
		t, _ := json.Marshal(s)
		b.Write(t)
	}
	for i, res := range r.Results {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`{"id":`)
		enc(res.ID)
		if res.GivenUp {
			b.WriteString(`,"state":"given_up","message":`)
		} else {
			b.WriteString(`,"state":"finished","message":`)
		}
		enc(string(res.Message))
		b.WriteByte('}')
	}
	b.WriteString("]}")
	return Answer{Status: 200, Type: "application/json", Body: b.Bytes()}
}
