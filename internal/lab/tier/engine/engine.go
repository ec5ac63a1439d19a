// Package engine is the lab's stand-in for the endpoints of a serving tier: model endpoints, which
// work in batches, and plain ones. It is written from the platform's pages. Each answer is computed
// from the id of its request, so that clients can check it; Runs records every run. docs/tier-lab.md describes it.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options of an endpoint.
type Options struct {
	ID       string
	Service  string
	Address  string // where it listens; port 0 draws one
	Zone     string
	Capacity int
	Queue    int // requests that wait beyond the capacity
	MaxConns int // from all callers; 0: no limit
	Runs     *Runs

	// Of a plain endpoint.
	Work time.Duration // a request; 0: this is a model endpoint

	// Of a model endpoint.
	CacheTokens  int
	Stride       int           // tokens an event
	Piece        int           // tokens that one step prefills at most
	Step         time.Duration // a step, each of which makes one event of all that run
	StepGrowth   time.Duration // more for each request that runs
	PrefillToken time.Duration

	Heartbeats Heartbeats
}

// Fault is what the next run that is answered does instead.
type Fault int

// The faults.
const (
	None    Fault = iota
	Garble        // bytes that are no answer
	Surplus       // a second answer behind the first
	Lost          // it runs, and the connection closes without an answer
	Broken        // half of the answer, then the end of the connection
)

// Endpoint is one incarnation, listening.
type Endpoint struct {
	options  Options
	server   *http.Server
	listener *listener
	ctx      context.Context
	end      context.CancelFunc
	mute     context.CancelFunc // ends the heartbeats
	wg       sync.WaitGroup

	mu         sync.Mutex
	batch      batch
	slots      []chan struct{} // plain requests that wait for a slot
	active     int             // plain requests that run
	draining   bool
	faults     []Fault
	work       chan struct{} // wakes the loop
	heartbeats uint64
}

// Start begins an incarnation: it listens, works, and sends heartbeats.
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
	e.wg.Go(func() { _ = e.server.Serve(e.listener) }) // it ends with Crash
	if o.Work == 0 {
		e.wg.Go(e.loop)
	}
	if o.Heartbeats.Controls != nil {
		var beats context.Context
		beats, e.mute = context.WithCancel(ctx)
		e.wg.Go(func() { e.sendHeartbeats(beats) })
	}
	return e, nil
}

// ID is the incarnation's.
func (e *Endpoint) ID() string { return e.options.ID }

// Service is what it serves.
func (e *Endpoint) Service() string { return e.options.Service }

// Address is where it listens.
func (e *Endpoint) Address() string { return e.options.Address }

// Crash ends it at once, with all its connections.
func (e *Endpoint) Crash() {
	e.end()
	e.listener.dark(false)
	_ = e.server.Close()
	e.wg.Wait()
}

// Dark has nothing move on its connections, or move again; new ones are still accepted.
func (e *Endpoint) Dark(on bool) { e.listener.dark(on) }

// Break has the next run that would be answered with success do something else.
func (e *Endpoint) Break(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, f)
}

// fault returns the fault of the next run, and forgets it.
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

// loop makes the batch's steps.
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

// ServeHTTP answers requests, health checks and reports.
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

// serveControl answers health checks and reports, and refuses what is no request; false: it is a request.
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

// serveRequest runs a request of a client, within the time that its header leaves.
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

// refuse answers that a request has not run and will not.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(HeaderNotRun, "1")
	w.WriteHeader(status)
}

// counts returns how many requests run and wait. The caller holds mu.
func (e *Endpoint) counts() (running, waiting int) {
	return len(e.batch.running) + e.active, len(e.batch.waiting) + len(e.slots)
}

// report answers what the platform asks a model endpoint for.
func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	running, waiting := e.counts()
	out := map[string]any{"stage": "both", "models": models, "load": false, "call_count": 0, "queued": waiting,
		"active": running, "cache_used": e.batch.used, "cache_total": e.options.CacheTokens, "handles": 0}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller may have closed the connection
}

// plain works on a request for a while and answers with its body.
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

// expire ends a run whose caller closed the connection or whose time is up.
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

// acquire waits for a slot of a plain endpoint.
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
	e.next() // the slot came meanwhile
	return false
}

// release gives a slot of a plain endpoint back.
func (e *Endpoint) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next()
}

// next passes a slot to the request that waits longest, or frees it. The caller holds mu.
func (e *Endpoint) next() {
	if len(e.slots) == 0 {
		e.active--
		return
	}
	close(e.slots[0])
	e.slots = e.slots[1:]
}

// answer writes a whole answer, or what a fault makes of it.
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

// corrupt plays a fault on the bare connection.
func (e *Endpoint) corrupt(w http.ResponseWriter, run *Run, f Fault, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(fmt.Errorf("a handler of HTTP/1.1 can take its connection over: %w", err))
	}
	defer conn.Close()
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head) // into memory
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	whole := head.String() + string(body)
	var out string
	switch f {
	case Garble:
		out = "\x16\x03\x01 no answer\r\n\r\n" + whole[:len(whole)/2]
	case Surplus:
		out = whole + whole
	case Broken:
		out = whole[:len(whole)-len(body)/2]
	}
	_, err = io.WriteString(conn, out)
	e.options.Runs.end(run, http.StatusOK, err == nil && f == Surplus)
}

// stream is one request at a model endpoint, from its place in the batch to its end.
type stream struct {
	run   Run
	job   *job
	begun *Run // nil until the first token; guarded by Endpoint.mu, read freely once an event came or the job was dropped
}

// generate has the batch make a stream of events and sends them to the caller.
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

// newStream reads what a request asks for; false: its headers can't be understood.
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
	j.begin = func() { s.begun = e.options.Runs.begin(s.run) } // under the lock, before the first event
	return s, true
}

// offer gives a job to the batch and wakes the loop; false: the endpoint is full.
func (e *Endpoint) offer(j *job) bool {
	e.mu.Lock()
	accepted := e.batch.offer(j)
	e.mu.Unlock()
	if !accepted {
		return false
	}
	select {
	case e.work <- struct{}{}:
	default: // the loop is to wake anyway
	}
	return true
}

// drop takes a job out of the batch. From then on it can't begin.
func (e *Endpoint) drop(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.drop(j)
}

// sendEvents sends the events as the batch makes them.
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

// sendCorrupt waits until the stream was made, and then plays a fault instead of sending it.
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
		return // nobody is there any more
	}
	w.Header().Set(HeaderSeal, s.begun.Seal)
	w.Header().Set("Content-Type", "text/event-stream")
	var body strings.Builder
	for n := s.run.From + 1; n <= s.job.count; n++ {
		body.WriteString(frame(s.run.Request, n))
	}
	e.corrupt(w, s.begun, fault, []byte(body.String()))
}

// abandon ends a stream whose caller closed the connection, whose time is up, or whose endpoint crashes.
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

// frame returns event n as it stands in the stream.
func frame(request string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, Event(request, n))
}

// Events is how many events a stream of so many tokens has.
func Events(tokens, stride int) int { return (tokens + stride - 1) / max(1, stride) }

// tokens reads a header of tokens, IN,OUT.
func tokens(header string) (in, out int, ok bool) {
	a, b, ok := strings.Cut(header, ",")
	in, err1 := strconv.Atoi(strings.TrimSpace(a))
	out, err2 := strconv.Atoi(strings.TrimSpace(b))
	return in, out, ok && err1 == nil && err2 == nil && in >= 0 && out >= 0
}
