// Package engine simulates the endpoints of a serving tier: model endpoints, which process requests in batches, and plain
// ones. It follows the platform's documentation. Each answer is computed from the ID of its request, so that clients can check
// it; Runs records every run. docs/tier-lab.md describes it.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options configure an endpoint.
type Options struct {
	ID       string
	Service  string
	Address  string // to listen on; port 0 selects a free port
	Zone     string
	Capacity int
	Queue    int // requests that may wait beyond the capacity
	MaxConns int // from all callers; 0 means no limit
	Runs     *Runs

	// Work is how long a plain endpoint works on a request; 0 makes this a model endpoint.
	Work time.Duration

	// The following apply to model endpoints.
	CacheTokens  int
	Stride       int           // tokens per event
	Piece        int           // maximum number of tokens prefilled in one step
	Step         time.Duration // base duration of a step, which emits one event for each running request
	StepGrowth   time.Duration // additional duration of a step per running request
	PrefillToken time.Duration // additional duration of a step per prefilled token

	Heartbeats Heartbeats
}

// Fault is a way in which the next answer is corrupted.
type Fault int

// The faults.
const (
	None    Fault = iota
	Garble        // bytes that are not an HTTP response
	Surplus       // a second answer after the first
	Lost          // the request runs, and the connection closes without an answer
	Broken        // half of the answer, then the connection closes
)

// Endpoint is one incarnation of a simulated endpoint.
type Endpoint struct {
	options  Options
	server   *http.Server
	listener *listener
	ctx      context.Context
	end      context.CancelFunc
	// stopHeartbeats stops the heartbeats.
	stopHeartbeats context.CancelFunc
	wg             sync.WaitGroup

	mu         sync.Mutex
	batch      batch
	slots      []chan struct{} // plain requests that wait for a slot
	active     int             // plain requests that run
	draining   bool
	faults     []Fault
	work       chan struct{} // wakes the loop
	heartbeats uint64
}

// Start starts an incarnation that listens, serves requests and sends heartbeats.
func Start(o Options) (*Endpoint, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", o.ID, err)
	}
	o.Address = l.Addr().String()
	o.Stride, o.Piece = max(1, o.Stride), max(1, o.Piece)
	ctx, end := context.WithCancel(context.Background())
	e := &Endpoint{
		options:  o,
		ctx:      ctx,
		end:      end,
		listener: newListener(l, o.MaxConns),
		batch:    batch{options: o, cache: newCache()},
		work:     make(chan struct{}, 1),
	}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 5 * time.Second}
	e.wg.Go(func() { _ = e.server.Serve(e.listener) }) // until Crash
	if o.Work == 0 {
		e.wg.Go(e.loop)
	}
	if o.Heartbeats.Controls != nil {
		var beats context.Context
		beats, e.stopHeartbeats = context.WithCancel(ctx)
		e.wg.Go(func() { e.sendHeartbeats(beats) })
	}
	return e, nil
}

// ID returns the ID of the incarnation.
func (e *Endpoint) ID() string { return e.options.ID }

// Service returns the name of the service.
func (e *Endpoint) Service() string { return e.options.Service }

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.options.Address }

// Crash stops the endpoint abruptly, with all its connections.
func (e *Endpoint) Crash() {
	e.end()
	e.listener.setStalled(false)
	_ = e.server.Close()
	e.wg.Wait()
}

// SetStalled stalls all reads and writes on the endpoint's connections, or lets them continue. New connections are accepted
// meanwhile.
func (e *Endpoint) SetStalled(on bool) { e.listener.setStalled(on) }

// InjectFault corrupts the next answer that would be successful. Several faults apply to successive answers.
func (e *Endpoint) InjectFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, f)
}

// fault removes the next fault from the queue and returns it.
func (e *Endpoint) fault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return None
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f
}

// loop executes the steps of the batch.
func (e *Endpoint) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		e.mu.Lock()
		idle := len(e.batch.running)+len(e.batch.waiting) == 0
		var took time.Duration
		var done func()
		if !idle {
			took, done = e.batch.step()
		}
		e.mu.Unlock()
		if idle {
			select {
			case <-e.work:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		timer.Reset(took)
		select {
		case <-timer.C:
		case <-e.ctx.Done():
			return
		}
		e.mu.Lock()
		done()
		e.mu.Unlock()
	}
}

// ServeHTTP answers requests, health checks and load reports.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if id := r.Header.Get(HeaderRequest); id != "" {
		h.Set(HeaderRequest, id)
	}
	e.mu.Lock()
	running, waiting := e.counts()
	draining := e.draining
	e.mu.Unlock()
	h.Set(HeaderLoad, fmt.Sprintf("%d,%d,%d", running, waiting, e.options.Capacity))
	if draining {
		h.Set("Connection", "close")
	}
	if t := r.Header.Get(HeaderTarget); t != "" && t != e.options.ID {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if !e.serveControl(w, r, draining) {
		e.serveRequest(w, r)
	}
}

// serveControl answers health checks and load reports, and refuses requests without an ID. It returns false for the requests
// of clients.
func (e *Endpoint) serveControl(w http.ResponseWriter, r *http.Request, draining bool) bool {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		w.Header().Set(HeaderInstance, e.options.ID)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.report(w)
	case r.Header.Get(HeaderRequest) == "":
		refuse(w, http.StatusBadRequest)
	default:
		return false
	}
	return true
}

// serveRequest runs a request of a client within the time left according to its header.
func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller closed the connection
	}
	run := Run{
		Request:  r.Header.Get(HeaderRequest),
		Service:  e.options.Service,
		Instance: e.options.ID,
		Arrived:  time.Now(),
		URI:      r.URL.RequestURI(),
		Tenants:  r.Header.Values(HeaderTenant),
		Keys:     slices.Concat(r.Header.Values("Authorization"), r.Trailer.Values("Authorization")),
		Sum:      Sum(r.Method, r.URL.RequestURI(), body),
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderTimeLeft)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if e.options.Work > 0 {
		e.plain(ctx, w, run)
		return
	}
	e.generate(ctx, w, r, run)
}

// refuse answers that a request has not run and never will.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(HeaderNotRun, "1")
	w.WriteHeader(status)
}

// counts returns how many requests run and wait. The caller holds mu.
func (e *Endpoint) counts() (running, waiting int) {
	return len(e.batch.running) + e.active, len(e.batch.waiting) + len(e.slots)
}

// report sends the load report of a model endpoint.
func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	running, waiting := e.counts()
	out := map[string]any{"stage": "both", "models": models, "load": false, "call_count": 0, "queued": waiting,
		"active": running, "cache_used": e.batch.used, "cache_total": e.options.CacheTokens, "handles": 0}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller may have closed the connection
}

// plain runs a request of a plain endpoint.
func (e *Endpoint) plain(ctx context.Context, w http.ResponseWriter, run Run) {
	if !e.acquire(ctx) {
		e.options.Runs.reject(e.options.Service)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	begun := e.options.Runs.begin(run)
	timer := time.NewTimer(e.options.Work)
	defer timer.Stop()
	select {
	case <-timer.C:
		e.answer(w, begun, "application/octet-stream", PlainBody(run.Request))
	case <-ctx.Done():
		e.expire(ctx, w, begun)
	case <-e.ctx.Done():
		e.options.Runs.end(begun, 0, false)
		panic(http.ErrAbortHandler)
	}
}

// expire ends a run whose caller closed the connection or whose deadline passed.
func (e *Endpoint) expire(ctx context.Context, w http.ResponseWriter, run *Run) {
	e.options.Runs.expire(ctx, run)
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.options.Runs.end(run, 0, false)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderSeal, run.Seal)
	w.WriteHeader(http.StatusGatewayTimeout)
	e.options.Runs.end(run, http.StatusGatewayTimeout, false)
}

// acquire waits for a slot of a plain endpoint. It returns false if the queue is full or a context ends.
func (e *Endpoint) acquire(ctx context.Context) bool {
	e.mu.Lock()
	if e.active < e.options.Capacity {
		e.active++
		e.mu.Unlock()
		return true
	}
	if len(e.slots) >= e.options.Queue {
		e.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	e.slots = append(e.slots, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, s := range e.slots {
		if s == turn {
			e.slots = append(e.slots[:i], e.slots[i+1:]...)
			return false
		}
	}
	e.next() // the slot was assigned meanwhile
	return false
}

// release releases a slot of a plain endpoint.
func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next()
}

// next assigns a released slot to the request that has waited longest, or frees it. The caller holds mu.
func (e *Endpoint) next() {
	if len(e.slots) == 0 {
		e.active--
		return
	}
	close(e.slots[0])
	e.slots = e.slots[1:]
}

// answer writes a complete answer, or a corrupt one if a fault is injected.
func (e *Endpoint) answer(w http.ResponseWriter, run *Run, kind string, body []byte) {
	h := w.Header()
	h.Set(HeaderSeal, run.Seal)
	h.Set("Content-Type", kind)
	f := e.fault()
	if f == None {
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, err := w.Write(body)
		e.options.Runs.end(run, http.StatusOK, err == nil)
		return
	}
	e.corrupt(w, run, f, body)
}

// corrupt writes an answer corrupted by a fault directly to the connection.
func (e *Endpoint) corrupt(w http.ResponseWriter, run *Run, f Fault, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(fmt.Errorf("hijacking an HTTP/1.1 connection: %w", err))
	}
	defer conn.Close()
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head) // writing to memory cannot fail
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	complete := head.String() + string(body)
	var out string
	switch f {
	case Garble:
		out = "\x16\x03\x01 no answer\r\n\r\n" + complete[:len(complete)/2]
	case Surplus:
		out = complete + complete
	case Broken:
		out = complete[:len(complete)-len(body)/2]
	}
	_, err = io.WriteString(conn, out)
	e.options.Runs.end(run, http.StatusOK, err == nil && f == Surplus)
}

// stream is one request at a model endpoint.
type stream struct {
	run Run
	job *job
	// begun is nil until the first token. Endpoint.mu guards it until an event was received or the job was dropped; from then
	// on it does not change.
	begun *Run
}

// generate adds a request to the batch and sends its events to the caller.
func (e *Endpoint) generate(ctx context.Context, w http.ResponseWriter, r *http.Request, run Run) {
	s, ok := e.newStream(r, run)
	if !ok {
		refuse(w, http.StatusBadRequest)
		return
	}
	if !e.offer(s.job) {
		e.options.Runs.reject(e.options.Service)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer e.drop(s.job)
	if fault := e.fault(); fault != None {
		e.sendCorrupt(ctx, w, s, fault)
		return
	}
	e.sendEvents(ctx, w, s)
}

// newStream parses the headers of a request. It returns false if they are invalid.
func (e *Endpoint) newStream(r *http.Request, run Run) (*stream, bool) {
	in, out, ok := tokens(r.Header.Get(HeaderTokens))
	if !ok {
		return nil, false
	}
	if last, err := strconv.Atoi(r.Header.Get(HeaderLast)); err == nil {
		run.From = last
	}
	j := &job{
		prompt: parts(r.Header.Get(HeaderModel), r.Header.Get(HeaderPrefix)),
		out:    out,
		next:   run.From + 1,
		count:  Events(out, e.options.Stride),
	}
	if len(j.prompt) == 0 {
		j.prompt = []part{{run.Request, in}}
	}
	j.events = make(chan int, max(1, j.count-run.From))
	s := &stream{run: run, job: j}
	j.begin = func() { s.begun = e.options.Runs.begin(s.run) } // called with mu held, before the first event
	return s, true
}

// offer adds a job to the batch and wakes the loop. It returns false if the endpoint is full.
func (e *Endpoint) offer(j *job) bool {
	e.mu.Lock()
	accepted := e.batch.offer(j)
	e.mu.Unlock()
	if !accepted {
		return false
	}
	select {
	case e.work <- struct{}{}:
	default: // a wake-up is already pending
	}
	return true
}

// drop removes a job from the batch. A job that has not begun never does afterwards.
func (e *Endpoint) drop(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.drop(j)
}

// sendEvents sends the events as the batch emits them.
func (e *Endpoint) sendEvents(ctx context.Context, w http.ResponseWriter, s *stream) {
	flush := http.NewResponseController(w)
	sent := false
	for {
		select {
		case n, more := <-s.job.events:
			if !sent {
				sent = true
				w.Header().Set(HeaderSeal, s.begun.Seal)
				w.Header().Set("Content-Type", "text/event-stream")
			}
			if !more {
				e.options.Runs.end(s.begun, http.StatusOK, true)
				return
			}
			_, err := io.WriteString(w, frame(s.run.Request, n))
			if err == nil {
				err = flush.Flush()
			}
			if err != nil {
				e.options.Runs.end(s.begun, http.StatusOK, false)
				panic(http.ErrAbortHandler)
			}
			continue
		case <-ctx.Done():
		case <-e.ctx.Done():
		}
		e.abandon(ctx, w, s, sent)
		return
	}
}

// sendCorrupt waits until all events were emitted, then sends an answer corrupted by the fault.
func (e *Endpoint) sendCorrupt(ctx context.Context, w http.ResponseWriter, s *stream, fault Fault) {
	for {
		select {
		case _, more := <-s.job.events:
			if more {
				continue
			}
		case <-ctx.Done():
			e.abandon(ctx, w, s, false)
			return
		case <-e.ctx.Done():
			e.abandon(ctx, w, s, false)
			return
		}
		break
	}
	if s.begun == nil || ctx.Err() != nil || e.ctx.Err() != nil {
		return // the caller closed the connection or the endpoint stops
	}
	w.Header().Set(HeaderSeal, s.begun.Seal)
	w.Header().Set("Content-Type", "text/event-stream")
	var body strings.Builder
	for n := s.run.From + 1; n <= s.job.count; n++ {
		body.WriteString(frame(s.run.Request, n))
	}
	e.corrupt(w, s.begun, fault, []byte(body.String()))
}

// abandon ends a stream whose caller closed the connection, whose deadline passed, or whose endpoint crashes.
func (e *Endpoint) abandon(ctx context.Context, w http.ResponseWriter, s *stream, sent bool) {
	e.drop(s.job)
	switch {
	case e.ctx.Err() != nil || sent:
		if s.begun != nil {
			e.options.Runs.expire(ctx, s.begun)
			e.options.Runs.end(s.begun, http.StatusOK, false)
		}
		panic(http.ErrAbortHandler)
	case s.begun != nil:
		e.expire(ctx, w, s.begun)
	default:
		refuse(w, http.StatusServiceUnavailable)
	}
}

// frame returns event n in the format of the stream.
func frame(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, Event(request, n))
}

// Events returns the number of events of a stream with the given number of tokens.
func Events(tokens, stride int) int { return (tokens + stride - 1) / max(1, stride) }

// tokens parses a token count header of the form IN,OUT.
func tokens(header string) (in, out int, ok bool) {
	a, b, ok := strings.Cut(header, ",")
	in, err1 := strconv.Atoi(strings.TrimSpace(a))
	out, err2 := strconv.Atoi(strings.TrimSpace(b))
	return in, out, ok && err1 == nil && err2 == nil && in >= 0 && out >= 0
}
