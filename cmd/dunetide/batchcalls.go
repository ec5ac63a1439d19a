package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/proxy/clientbody"
	"dunetide/internal/proxy/forward"
)

const (
	// callMost is how long a call about batch jobs may take.
	batchCallTimeout = 4 * time.Second
	// bodyMost bounds such a call's body where no configuration says it.
	maxBatchBody = 8 << 20
	// answerMost is how long a client may take to read the answer to such a call.
	batchAnswerTimeout = 15 * time.Second
	// retryAfterBodies is in how many seconds a call comes again for which too many bodies were in hand.
	bodyBudgetRetryAfter = "0.5"
	// spareItems are in hand beyond the share, so that none has to be asked for when one ends.
	spareItems = 2
)

// jobs is the batch side of a proxy.
type batchCalls struct {
	edge      *batch.Proxy
	snapshots *snapshot.Latest
	runner    *itemRunner
	bodies    *clientbody.Budget // shared with the requests of clients
	// stopped: no more items are taken up.
	stopped atomic.Bool
}

func newBatchCalls(p *process, holder *snapshot.Latest, bodies *clientbody.Budget) *batchCalls {
	j := &batchCalls{snapshots: holder, bodies: bodies, runner: &itemRunner{snapshots: holder}}
	j.edge = batch.NewProxy(batch.ProxyOptions{
		Snapshots: holder,
		Name:      p.settings.NodeName,
		Zone:      p.settings.Zone,
		Runner:    j.runner,
		Log:       p.log,
	})
	return j
}

// work lets the proxy run items.
func (j *batchCalls) setProxy(p *forward.Proxy) { j.runner.proxy.Store(p) }

// update follows the system: a proxy has its share of the endpoints' places in hand, and a few more.
func (j *batchCalls) applySnapshot(snap *snapshot.Snapshot) {
	if !j.stopped.Load() {
		j.edge.SetMaxRunning(itemLimit(snap))
	}
	j.edge.Refresh()
}

// inHand is how many items a proxy takes up at once.
func itemLimit(snap *snapshot.Snapshot) int {
	if snap.Config == nil {
		return 0
	}
	services := map[string]bool{}
	for i := range snap.Config.Routes {
		if r := &snap.Config.Routes[i]; r.Kind == operatorconfig.Bulk {
			for _, s := range r.Shares {
				services[s.Service] = true
			}
		}
	}
	places := 0
	for s := range services {
		for _, e := range snap.Endpoints[s] {
			if e.State == snapshot.Ready {
				places += e.Capacity
			}
		}
	}
	if places == 0 {
		return 0
	}
	return places/max(snap.Proxies, 1) + spareItems
}

func (j *batchCalls) stop() {
	j.stopped.Store(true)
	j.edge.SetMaxRunning(0)
}

// serve answers a client's call about batch jobs.
func (j *batchCalls) serveCall(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route) {
	body, status := j.readBody(w, r, route)
	if status != 0 {
		w.Header().Set("Connection", "close") // what follows on it can't be told from the rest of the body
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", bodyBudgetRetryAfter)
		}
		w.WriteHeader(status)
		return
	}
	defer j.bodies.Release(len(body))
	ctx, cancel := context.WithTimeout(r.Context(), batchCallTimeout)
	defer cancel()
	a := j.edge.Serve(ctx, &batch.Call{Method: r.Method, Host: r.Host, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header.Get, Body: body})
	if a.Status == 0 {
		panic(http.ErrAbortHandler) // nothing can be promised
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(batchAnswerTimeout)) // a client that doesn't read holds nothing up for longer
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// readBody reads the body of a call whole, in the time that the client has; status 0: it is there.
func (j *batchCalls) readBody(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route) (body []byte, status int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	limits := clientbody.Limits{MaxBytes: maxBatchBody, Deadline: time.Now().Add(clientbody.MaxDuration), Budget: j.bodies}
	if snap := j.snapshots.Get(); snap != nil && snap.Config != nil && snap.Config.Limits.MaxBodyBytes > 0 {
		limits.MaxBytes = snap.Config.Limits.MaxBodyBytes
	}
	if route != nil && route.TimeoutMs > 0 {
		limits.Deadline = earlier(limits.Deadline, time.Duration(route.TimeoutMs)*time.Millisecond)
	}
	if left := batch.TimeLeft(r.Header.Get); left > 0 {
		limits.Deadline = earlier(limits.Deadline, left)
	}
	status = clientbody.Read(http.NewResponseController(w), r, limits, &body)
	return body, status
}

// earlier is a moment, or the end of a time from now where that is sooner.
func earlier(at time.Time, wait time.Duration) time.Time {
	if end := time.Now().Add(wait); end.Before(at) {
		return end
	}
	return at
}
