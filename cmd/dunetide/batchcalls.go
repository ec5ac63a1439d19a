package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/clientbody"
	"dunetide/internal/proxy/forward"
)

const (
	// batchCallTimeout is how long a call of the batch interface may take.
	batchCallTimeout = 4 * time.Second
	// maxBatchBody bounds such a call's body where no configuration does.
	maxBatchBody = 8 << 20
	// batchAnswerTimeout is how long a client may take to read the answer to such a call.
	batchAnswerTimeout = 15 * time.Second
	// bodyBudgetRetryAfter is after how many seconds to retry a call for whose body there was no budget.
	bodyBudgetRetryAfter = "0.5"
	// spareItems are running beyond the share, so that none has to be requested when one ends.
	spareItems = 2
)

// batchCalls is the batch interface of a proxy: it answers clients' calls about jobs and runs items.
type batchCalls struct {
	jobs      *batch.Proxy
	snapshots *snapshot.Latest
	runner    *forwardRunner
	bodies    *clientbody.Budget // shared with the requests of clients
	stopped   atomic.Bool        // no more items are started
}

// newBatchCalls returns the batch interface of a proxy. Items run after setProxy.
func newBatchCalls(p *process, snapshots *snapshot.Latest, bodies *clientbody.Budget) *batchCalls {
	b := &batchCalls{snapshots: snapshots, bodies: bodies, runner: &forwardRunner{snapshots: snapshots}}
	b.jobs = batch.NewProxy(batch.ProxyOptions{
		Snapshots: snapshots,
		Name:      p.settings.NodeName,
		Zone:      p.settings.Zone,
		Runner:    b.runner,
		Log:       p.log,
	})
	return b
}

// setProxy sets the proxy through which items run.
func (b *batchCalls) setProxy(p *forward.Proxy) { b.runner.proxy.Store(p) }

// applySnapshot applies a new snapshot: a proxy runs as many items as its share of the endpoints'
// slots, and a few more.
func (b *batchCalls) applySnapshot(snap *snapshot.Snapshot) {
	if !b.stopped.Load() {
		b.jobs.SetMaxRunning(itemLimit(snap))
	}
	b.jobs.Refresh()
}

// itemLimit returns how many items a proxy runs at once.
func itemLimit(snap *snapshot.Snapshot) int {
	if snap.Config == nil {
		return 0
	}
	slots := 0
	for service := range bulkServices(snap.Config) {
		for _, e := range snap.Endpoints[service] {
			if e.State == snapshot.Ready {
				slots += e.Capacity
			}
		}
	}
	if slots == 0 {
		return 0
	}
	return slots/max(snap.Proxies, 1) + spareItems
}

// bulkServices returns the services of all bulk routes.
func bulkServices(config *operatorconfig.Config) map[string]bool {
	services := map[string]bool{}
	for i := range config.Routes {
		if r := &config.Routes[i]; r.Kind == operatorconfig.Bulk {
			for _, s := range r.Shares {
				services[s.Service] = true
			}
		}
	}
	return services
}

// stop starts no more items. Those that run go on.
func (b *batchCalls) stop() {
	b.stopped.Store(true)
	b.jobs.SetMaxRunning(0)
}

// serveCall answers a client's call of the batch interface.
func (b *batchCalls) serveCall(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route) {
	body, status := b.readBody(w, r, route)
	if status != 0 {
		w.Header().Set("Connection", "close") // what follows on it can't be told from the rest of the body
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", bodyBudgetRetryAfter)
		}
		w.WriteHeader(status)
		return
	}
	defer b.bodies.Release(len(body))
	ctx, cancel := context.WithTimeout(r.Context(), batchCallTimeout)
	defer cancel()
	a := b.jobs.Serve(ctx, &batch.Call{
		Method: r.Method,
		Host:   r.Host,
		Path:   r.URL.Path,
		Query:  r.URL.RawQuery,
		Header: r.Header.Get,
		Body:   body,
	})
	if a.Status == 0 {
		panic(http.ErrAbortHandler) // nothing can be promised
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	// Without the deadline a client that doesn't read is waited for. One that has left needs no answer.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(batchAnswerTimeout))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// readBody reads the complete body of a call, in the time that the client has. It returns 0, or the
// status to refuse it with.
func (b *batchCalls) readBody(
	w http.ResponseWriter, r *http.Request, route *operatorconfig.Route,
) (body []byte, status int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	limits := clientbody.Limits{MaxBytes: maxBatchBody, Deadline: time.Now().Add(clientbody.MaxDuration), Budget: b.bodies}
	if snap := b.snapshots.Get(); snap != nil && snap.Config != nil && snap.Config.Limits.MaxBodyBytes > 0 {
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

// earlier returns a time, or the end of a wait from now where that is sooner.
func earlier(at time.Time, wait time.Duration) time.Time {
	if end := time.Now().Add(wait); end.Before(at) {
		return end
	}
	return at
}
