package main

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

// service is the name of the main service of the deployment.
const service = "underwrite-lm"

// stride is how many tokens an event holds, and tokenBytes how many bytes a token has.
const (
	stride     = 16
	tokenBytes = 10 // an event has 160 bytes; the sites have 120 on average, and 750 at most
)

// engine says how the endpoints of a deployment answer.
type engine struct {
	step   time.Duration // for each token of a running request
	memory int           // tokens that all running requests may have together
}

// endpoint is a stand-in for a model endpoint.
type endpoint struct {
	tier    *tier
	id      string
	service string
	zone    string
	address string

	server *http.Server

	mu      sync.Mutex
	running int
	waiting int
	tokens  int // of the running requests, at their end
	calls   int // heartbeats sent
	crashed bool

	turnedAway int // requests that found no place
	runs       int
	whole      int // runs whose answer was written to its end
}

// start listens and begins to send heartbeats, until the context ends.
func (e *endpoint) start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", e.address)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}
	e.tier.wg.Go(func() { _ = e.server.Serve(l) }) // until close
	e.tier.wg.Go(func() { e.beat(ctx) })
	return nil
}

func (e *endpoint) close() { _ = e.server.Close() }

// crash ends the endpoint with its connections and its heartbeats.
func (e *endpoint) crash() {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	e.close()
}

func (e *endpoint) hasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// beat sends heartbeats: to the address that the last answer named, else to one node after the other.
func (e *endpoint) beat(ctx context.Context) {
	follow := ""
	for ctx.Err() == nil && !e.hasCrashed() {
		targets := e.tier.controls()
		if follow != "" {
			targets = append([]string{follow}, targets...)
		}
		follow = ""
		for _, address := range targets {
			if next, ok := e.register(ctx, address); ok {
				follow = next
				break
			}
		}
		sleep(ctx, beatEvery)
	}
}

// register sends one heartbeat and returns the address for the next one.
func (e *endpoint) register(ctx context.Context, address string) (next string, ok bool) {
	e.mu.Lock()
	e.calls++
	calls := e.calls
	e.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": e.tier.options.capacity,
		"state": "ready", "cold_left_ms": 0, "stage": "both", "call_count": calls,
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	if err != nil {
		return "", false
	}
	header := map[string]string{"Content-Type": "application/json"}
	status, answer, err := call(ctx, time.Second, http.MethodPut, address, "/instances/"+e.id, "", header, body)
	if err != nil || status/100 != 2 {
		return "", false
	}
	var reply struct {
		Next string `json:"beat_to"`
	}
	_ = json.Unmarshal(answer, &reply) // the status acknowledges the heartbeat
	return reply.Next, true
}

// ServeHTTP answers health checks and runs requests.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Dunetide-Instance", e.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Dunetide-Request-Id")
	h.Set("X-Dunetide-Request-Id", id)
	if target := r.Header.Get("X-Dunetide-Target-Instance"); target != "" && target != e.id {
		h.Set("X-Dunetide-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	tokens := tokensOf(r.Header.Get("X-Dunetide-Token-Count"))
	admitted := e.admit(r.Context(), tokens)
	h.Set("X-Dunetide-Server-Load", e.load())
	if !admitted {
		h.Set("X-Dunetide-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave(tokens)
	h.Set("X-Dunetide-Server-Seal", "seal."+id)
	h.Set("Content-Type", "text/event-stream")
	e.stream(w, r, id)
}

// queueLength is how many requests wait at an endpoint whose places are taken: a few.
const queueLength = 6

// pollEvery is how often a waiting request looks for a place.
const pollEvery = 5 * time.Millisecond

// admit takes a place, and memory, for a request. A few requests wait for that; others are turned away.
func (e *endpoint) admit(ctx context.Context, tokens int) bool {
	if taken, full := e.take(tokens, false); taken || full {
		return taken
	}
	for ctx.Err() == nil {
		sleep(ctx, pollEvery)
		if taken, _ := e.take(tokens, true); taken {
			return true
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	return false
}

// take takes a place if there is one, else a place in the queue. It reports whether both are full.
func (e *endpoint) take(tokens int, waits bool) (taken, full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	free := e.running < e.tier.options.capacity && e.tokens+tokens <= e.tier.options.engine.memory
	switch {
	case free && (waits || e.waiting == 0):
		e.running++
		e.tokens += tokens
		e.runs++
		if waits {
			e.waiting--
		}
		return true, false
	case waits:
		return false, false
	case e.waiting >= queueLength:
		e.turnedAway++
		return false, true
	}
	e.waiting++
	return false, false
}

func (e *endpoint) leave(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.tokens -= tokens
}

// load returns the load as answers tell it: running, waiting, slots.
func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.tier.options.capacity)
}

// tokensOf returns the tokens of a request at its end.
func tokensOf(tokenCount string) int {
	in, out, _ := strings.Cut(tokenCount, ",")
	prompt, _ := strconv.Atoi(in)    // 0 for an invalid number
	answered, _ := strconv.Atoi(out) // as above
	return prompt + answered
}

// stream writes the events of an answer, from the one after Last-Event-Id on.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string) {
	events := eventsOf(r.Header.Get("X-Dunetide-Token-Count"))
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	tick := time.NewTicker(stride * e.tier.options.engine.step)
	defer tick.Stop()
	for n := first; n <= events; n++ {
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n)); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
	e.mu.Lock()
	e.whole++
	e.mu.Unlock()
}

// eventsOf returns how many events an answer has, by the tokens that the request allows.
func eventsOf(tokenCount string) int {
	_, out, _ := strings.Cut(tokenCount, ",")
	tokens, _ := strconv.Atoi(out) // 0 for an invalid number
	return (tokens + stride - 1) / stride
}

// eventText returns the data of an event, which follows from the id of the request.
func eventText(id string, n int) string {
	text := fmt.Sprintf("%s %d", id, n)
	return text + strings.Repeat(".", max(0, stride*tokenBytes-len(text)))
}

// wholeText returns the complete output of a request as the results of a job hold it.
func wholeText(id, tokenCount string) string {
	events := make([]string, eventsOf(tokenCount))
	for n := range events {
		events[n] = eventText(id, n+1)
	}
	return strings.Join(events, "\n")
}

// silence ends the heartbeats.
func (e *endpoint) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
}

func (e *endpoint) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

// registerAny sends one heartbeat to the first node that accepts it.
func (e *endpoint) registerAny(ctx context.Context) (next string, ok bool) {
	for _, address := range e.tier.controls() {
		if next, ok = e.register(ctx, address); ok {
			return next, true
		}
	}
	return "", false
}

// leaveByDelete deregisters the endpoint, which serves on, and returns when that was acknowledged.
func (e *endpoint) leaveByDelete(ctx context.Context) (time.Time, error) {
	for _, address := range e.tier.controls() {
		status, _, err := call(ctx, time.Second, http.MethodDelete, address, "/instances/"+e.id, "", nil, nil)
		if err == nil && status/100 == 2 {
			e.tier.log.write("DELETE of %s acknowledged", e.id)
			return time.Now(), nil
		}
	}
	return time.Time{}, errors.New("no node acknowledged the DELETE")
}
