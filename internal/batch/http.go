package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// maxItems is the maximum number of items of a job.
const maxItems = 200

// Paths, headers and states of the client API.
const (
	pathJobs  = "/lots/"  // followed by the job's ID
	pathItems = "/items/" // followed by the job's ID; the item's ID is in the query

	headerRequestID = "X-Dunetide-Request-Id" // of a submission: the job's ID
	headerWait      = "X-Dunetide-Wait-Ms"    // how long a read waits for a result
	headerTimeLeft  = "X-Dunetide-Time-Left-Ms"

	stateFinished  = "finished"
	stateAbandoned = "given_up"
)

// How long a proxy keeps calling stores before it answers that they are unavailable.
const (
	submitTimeout = 1500 * time.Millisecond
	readTimeout   = 1200 * time.Millisecond
	endTimeout    = 1500 * time.Millisecond
	// maxReadWait is the maximum time that a read waits for a result.
	maxReadWait = 10_000 * time.Millisecond
)

// Call is a client call about batch jobs.
type Call struct {
	Method string
	Host   string
	Tenant string // whose key the client has; empty if the configuration has no tenants
	Path   string // without the query
	Query  string
	Header func(name string) string
	Body   []byte // the complete body
}

// Response is the response to a call. Status 0 means that the connection must be closed without a
// response, as the outcome is unknown.
type Response struct {
	Status      int
	RetryAfter  string // in seconds; empty: no such header
	ContentType string
	Body        []byte
}

var (
	responseUnavailable = Response{Status: http.StatusServiceUnavailable, RetryAfter: "0.2"}
	// responseStoresFull is the response while logs are full: jobs are dropped from them some time
	// after submission.
	responseStoresFull = Response{Status: http.StatusServiceUnavailable, RetryAfter: "2"}
)

// TimeLeft returns the time that a client states it will still wait, or 0 if it states none.
func TimeLeft(header func(name string) string) time.Duration {
	if ms, err := strconv.Atoi(header(headerTimeLeft)); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}

// limitTimeout limits a timeout to 80% of the time that the client will still wait.
func (c *Call) limitTimeout(timeout time.Duration) time.Duration {
	if left := TimeLeft(c.Header); left > 0 {
		return min(timeout, left*8/10)
	}
	return timeout
}

// Serve handles a client call.
func (p *Proxy) Serve(ctx context.Context, call *Call) Response {
	startedAt := time.Now()
	response := p.serve(ctx, call)
	p.recordCall(call, response, startedAt)
	return response
}

func (p *Proxy) serve(ctx context.Context, call *Call) Response {
	v := p.options.Snapshots.Get()
	if v == nil || v.Config == nil {
		return responseUnavailable
	}
	by := principalOf(call, v.Config)
	if jobID, ok := strings.CutPrefix(call.Path, pathJobs); ok {
		switch call.Method {
		case http.MethodGet:
			return p.serveResults(ctx, call, by, jobID)
		case http.MethodDelete:
			return p.serveEnd(ctx, call, by, jobID)
		}
		return Response{Status: http.StatusMethodNotAllowed}
	}
	if jobID, ok := strings.CutPrefix(call.Path, pathItems); ok {
		return p.serveItemBody(ctx, call, by, jobID)
	}
	return p.serveSubmit(ctx, call, by, v.Config)
}

// serveResults handles a read of results.
func (p *Proxy) serveResults(ctx context.Context, call *Call, by Principal, jobID string) Response {
	query, _ := url.ParseQuery(call.Query) // invalid parameters are ignored
	startAfter, err := strconv.Atoi(query.Get("start_after"))
	if query.Get("start_after") == "" {
		startAfter, err = 0, nil
	}
	if err != nil || startAfter < 0 || jobID == "" {
		return Response{Status: http.StatusBadRequest}
	}
	ctx, cancel := context.WithTimeout(ctx, call.readWait()+call.limitTimeout(readTimeout))
	defer cancel()
	page, outcome := p.ReadResults(ctx, by, jobID, startAfter, call.readWait())
	return resultsResponse(page, startAfter, outcome)
}

// readWait returns how long a read waits for a result: at most half of the time that the client
// will still wait.
func (c *Call) readWait() time.Duration {
	ms, _ := strconv.Atoi(c.Header(headerWait)) // an invalid number counts as 0
	wait := min(time.Duration(max(ms, 0))*time.Millisecond, maxReadWait)
	if left := TimeLeft(c.Header); left > 0 {
		wait = min(wait, left/2)
	}
	return wait
}

// serveEnd handles the end of a job.
func (p *Proxy) serveEnd(ctx context.Context, call *Call, by Principal, jobID string) Response {
	ctx, cancel := context.WithTimeout(ctx, call.limitTimeout(endTimeout))
	defer cancel()
	switch p.EndJob(ctx, by, jobID) {
	case Found:
		return Response{Status: http.StatusOK}
	case NotFound:
		return Response{Status: http.StatusNotFound}
	}
	return responseUnavailable
}

// serveItemBody handles a read of an item's body.
func (p *Proxy) serveItemBody(ctx context.Context, call *Call, by Principal, jobID string) Response {
	query, err := url.ParseQuery(call.Query)
	if err != nil || call.Method != http.MethodGet {
		return Response{Status: http.StatusBadRequest}
	}
	ctx, cancel := context.WithTimeout(ctx, call.limitTimeout(readTimeout))
	defer cancel()
	body, outcome := p.ReadItemBody(ctx, by, jobID, query.Get("id"))
	switch outcome {
	case Found:
		return Response{Status: http.StatusOK, ContentType: "application/octet-stream", Body: body}
	case NotFound:
		return Response{Status: http.StatusNotFound}
	}
	return responseUnavailable
}

// serveSubmit handles the submission of a job.
func (p *Proxy) serveSubmit(
	ctx context.Context, call *Call, by Principal, config *operatorconfig.Config,
) Response {
	route := config.MatchBulk(call.Host, call.Path)
	if route == nil {
		return Response{Status: http.StatusNotFound}
	}
	if call.Method != http.MethodPost {
		return Response{Status: http.StatusMethodNotAllowed}
	}
	j, ok := parseJob(call, route)
	if !ok {
		return Response{Status: http.StatusBadRequest}
	}
	j.ConfigVersion = config.Version
	j.SentMs = time.Now().UnixMilli()
	j.setSubmitter(by)
	ctx, cancel := context.WithTimeout(ctx, call.limitTimeout(submitTimeout))
	defer cancel()
	switch p.Submit(ctx, j) {
	case Accepted:
		return Response{Status: http.StatusAccepted}
	case QuotaFull:
		return Response{Status: http.StatusTooManyRequests, RetryAfter: "0.5"}
	case Unavailable:
		return responseUnavailable
	case StoresFull:
		return responseStoresFull
	case TooLarge:
		return Response{Status: http.StatusRequestEntityTooLarge}
	}
	return Response{}
}

// submission is the JSON body of a submission.
type submission struct {
	Requests []submittedItem `json:"requests"`
}

type submittedItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

func (i *submittedItem) valid() bool {
	return i.ID != "" && i.Path != "" && i.Path[0] == '/' && i.Tokens >= 0
}

// parseJob parses the job that a client submits under a route. It returns false if the job is
// invalid.
func parseJob(call *Call, route *operatorconfig.Route) (*Job, bool) {
	var body submission
	jobID := call.Header(headerRequestID)
	if jobID == "" || json.Unmarshal(call.Body, &body) != nil {
		return nil, false
	}
	if len(body.Requests) == 0 || len(body.Requests) > maxItems {
		return nil, false
	}
	j := &Job{
		ID:              jobID,
		Route:           route.Name,
		Host:            route.Host,
		PathPrefix:      route.PathPrefix,
		DueMs:           int64(route.DueMs),
		MaxAttempts:     max(route.MaxAttempts, 1),
		MaxWaitMs:       int64(route.MaxWaitMs),
		MaxQueuedTokens: route.MaxQueuedTokens,
	}
	seen := make(map[string]bool, len(body.Requests))
	for i := range body.Requests {
		submitted := &body.Requests[i]
		if !submitted.valid() || seen[submitted.ID] {
			return nil, false
		}
		seen[submitted.ID] = true
		item := JobItem{ID: submitted.ID, Path: submitted.Path, Body: submitted.Body, Tokens: submitted.Tokens}
		for _, name := range sortedKeys(submitted.Headers) {
			item.Headers = append(item.Headers, [2]string{name, submitted.Headers[name]})
		}
		j.Items = append(j.Items, item)
	}
	return j, true
}

// resultsResponse is the response to a read of results. Its JSON is written field by field, so that
// its bytes do not depend on Go names.
func resultsResponse(page ResultPage, startAfter int, outcome CallOutcome) Response {
	switch outcome {
	case NotFound:
		return Response{Status: http.StatusNotFound}
	case NotConfirmed:
		return responseUnavailable
	}
	var b bytes.Buffer
	writeString := func(s string) {
		quoted, _ := json.Marshal(s) // a string can always be encoded
		b.Write(quoted)
	}
	b.WriteString(`{"total":`)
	b.WriteString(strconv.Itoa(page.Total))
	b.WriteString(`,"next_token":`)
	b.WriteString(strconv.Itoa(startAfter + len(page.Results)))
	b.WriteString(`,"results":[`)
	for i, result := range page.Results {
		if i > 0 {
			b.WriteByte(',')
		}
		state := stateFinished
		if result.Abandoned {
			state = stateAbandoned
		}
		b.WriteString(`{"id":`)
		writeString(result.ID)
		b.WriteString(`,"state":"` + state + `","message":`)
		writeString(string(result.Message))
		b.WriteByte('}')
	}
	b.WriteString("]}")
	return Response{Status: http.StatusOK, ContentType: "application/json", Body: b.Bytes()}
}
