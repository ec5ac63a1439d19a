package live

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

const (
	// requestTimeout is the timeout of a client's request.
	requestTimeout = 400 * time.Millisecond
	// maxOutstanding limits the number of concurrent requests.
	maxOutstanding = 2000
	// redirectDelay is the time until a client is directed to another node.
	redirectDelay = 200 * time.Millisecond
)

// clients submit the day's messages. Submission times are drawn ahead and do not depend on answers, so the latency that a slow node
// causes counts from the time of submission.
type clients struct {
	run   *run
	slots chan struct{}
	http  *http.Client
}

func newClients(r *run) *clients {
	return &clients{run: r, slots: make(chan struct{}, maxOutstanding),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 4096, IdleConnTimeout: 1500 * time.Millisecond}}}
}

func (c *clients) close() { c.http.CloseIdleConnections() }

// submitFirstTries submits the first tries of all messages at their times.
func (c *clients) submitFirstTries() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, m := range c.run.options.Day.Messages {
		timer.Reset(m.At - c.run.now())
		select {
		case <-timer.C:
		case <-c.run.ended:
			return
		}
		c.start(world.Try{Message: i, At: m.At, Node: m.Node})
	}
}

// start submits a try whose time has come.
func (c *clients) start(t world.Try) {
	select {
	case c.slots <- struct{}{}:
	case <-c.run.ended:
		return
	}
	late := c.run.now() - t.At
	c.run.wg.Go(func() {
		defer func() { <-c.slots }()
		c.submit(t, late)
	})
}

// schedule schedules a further try. It runs in the event loop.
func (c *clients) schedule(t world.Try) {
	c.run.pending++
	c.run.wg.Go(func() {
		select {
		case <-time.After(t.At - c.run.now()):
			c.start(t)
		case <-c.run.ended:
		}
	})
}

// tryResult is the result of a client's request.
type tryResult struct {
	status int // 0 for nothing
	wait   time.Duration
}

func (c *clients) submit(t world.Try, late time.Duration) {
	r := c.run
	id := t.ID()
	if !r.ask(func() {
		b := r.options.Day.Submitted(t)
		r.note(b)
		r.tries[id] = t
		if late > lateSend {
			r.note(trace.Record{At: r.now(), What: trace.LateSubmission, Node: t.Node, Wait: late})
		}
	}) {
		return
	}
	h, err := c.send(t, id, false)
	if err != nil && h.status == -1 { // the idle connection was closed meanwhile
		h, err = c.send(t, id, true)
	}
	if err != nil {
		h.status = 0
	}
	r.post(func() { c.tryResult(t, id, h) })
}

// send sends one request. Status -1 means that a reused connection had been closed.
func (c *clients) send(t world.Try, id string, fresh bool) (tryResult, error) {
	day := &c.run.options.Day
	m := day.Messages[t.Message]
	class := day.Scenario.Classes[m.Class].Name
	left := day.Until(t) - c.run.now()
	if left < time.Millisecond {
		return tryResult{}, errors.New("the deadline has passed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	reused := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	// The body has no GetBody, so that net/http does not retry the request by itself.
	body := io.NopCloser(bytes.NewReader(bodyOf(id, m.Body)))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.run.nodes[t.Node].listen+"/"+class, body)
	if err != nil {
		return tryResult{}, err
	}
	req.ContentLength = int64(m.Body)
	if m.Body == 0 {
		req.Body = http.NoBody
	}
	req.Host = "origin.svc"
	req.Close = fresh
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Priority-Class", class)
	if tenants := day.Scenario.Tenants; m.Tenant < len(tenants) {
		req.Header.Set("X-Tenant-Id", tenants[m.Tenant].Name)
	}
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set("X-Route-To", fmt.Sprintf("dest=%d", m.Dest))
	switch {
	case t.Again:
		req.Header.Set("X-Retried", "again")
	case t.Number > 0:
		req.Header.Set("X-Retried", "1")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if reused && ctx.Err() == nil {
			return tryResult{status: -1}, err
		}
		return tryResult{}, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10)) // so that the connection is reused
	h := tryResult{status: resp.StatusCode}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
		h.wait = time.Duration(s * float64(time.Second))
	}
	return h, nil
}

// tryResult handles the result of a request. Like the methods below, it runs in the event loop.
func (c *clients) tryResult(t world.Try, id string, h tryResult) {
	r := c.run
	now := r.now()
	r.pending--
	switch h.status {
	case http.StatusOK, http.StatusAccepted:
		r.note(trace.Record{At: now, What: trace.Accepted, ID: id, Node: t.Node})
		if r.endedEarly[id] {
			delete(r.endedEarly, id)
		} else {
			r.unfinished[id] = true
		}
		return
	}
	delete(r.tries, id)
	delete(r.endedEarly, id)
	r.note(trace.Record{At: now, What: trace.TurnedAway, ID: id, Node: t.Node, Status: h.status, Wait: h.wait})
	switch h.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if next, ok := r.options.Day.RetryAfterRefusal(t, now, h.wait); ok {
			c.schedule(next)
		}
	case 0:
		if next, ok := r.options.Day.RetryAfterFailure(t, now+redirectDelay); ok {
			c.schedule(next)
		}
	}
}

// handleNotice handles a notice of the node.
func (c *clients) handleNotice(id, outcome string, wait time.Duration) {
	r := c.run
	t, known := r.tries[id]
	r.end(id)
	if !known || outcome != "handed_back" {
		return
	}
	if next, ok := r.options.Day.RetryAfterRefusal(t, r.now(), wait); ok {
		c.schedule(next)
	}
}

// resubmitOrphans resubmits the messages of a node whose data directory was lost, except those that must not be repeated and may have run.
func (c *clients) resubmitOrphans(node int) {
	r := c.run
	for id := range r.unfinished {
		t := r.tries[id]
		if t.Node != node {
			continue
		}
		delete(r.unfinished, id)
		class := r.options.Day.Scenario.Classes[r.options.Day.Messages[t.Message].Class]
		if class.Repeat == "never" && r.nodes[node].attempts[id] > 0 {
			continue
		}
		if next, ok := r.options.Day.RetryAfterFailure(t, r.now()); ok {
			c.schedule(next)
		}
	}
}
