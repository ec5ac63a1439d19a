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
	// batchCallTimeout bounds a call to the batch interface.
	batchCallTimeout = 4 * time.Second
	// maxBatchBody bounds the body of such a call if no configuration does.
	maxBatchBody = 8 << 20
	// batchAnswerTimeout is how long a client may take to read the response to such a call.
	batchAnswerTimeout = 15 * time.Second
	// bodyBudgetRetryAfter is the Retry-After, in seconds, of a call refused because the body budget is used up.
	bodyBudgetRetryAfter = "0.5"
	// spareItems is how many items run beyond the share, so that none has to be requested when one ends.
	spareItems = 2
)

// batchCalls is the batch interface of a proxy: it serves clients' calls about jobs and runs items.
type batchCalls struct {
	jobs      *batch.Proxy
	snapshots *snapshot.Latest
	runner    *forwardRunner
	bodies    *clientbody.Budget // shared with clients' requests
	stopped   atomic.Bool        // no new items are started
}

// newBatchCalls returns the batch interface of a proxy. No item runs before setProxy.
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
// slots, plus spareItems.
func (b *batchCalls) applySnapshot(snap *snapshot.Snapshot) {
	if !b.stopped.Load() {
		b.jobs.SetMaxRunning(itemLimit(snap))
	}
	b.jobs.Refresh()
}

// itemLimit returns how many items a proxy may run at once.
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

// stop prevents new items from starting. Running items continue.
func (b *batchCalls) stop() {
	b.stopped.Store(true)
	b.jobs.SetMaxRunning(0)
}

// serveCall serves a call of one of a tenant's clients to the batch interface.
func (b *batchCalls) serveCall(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route, tenant string) {
	body, status := b.readBody(w, r, route)
	if status != 0 {
		w.Header().Set("Connection", "close") // a next request can't be distinguished from the rest of the body
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
		Tenant: tenant,
		Path:   r.URL.Path,
		Query:  r.URL.RawQuery,
		Header: r.Header.Get,
		Body:   body,
	})
	if a.Status == 0 {
		panic(http.ErrAbortHandler) // closes the connection: the outcome of the call is unknown
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	// A client that doesn't read must not block the handler. Errors are ignored: a disconnected client needs no response.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(batchAnswerTimeout))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// readBody reads the complete body of a call within the client's time limit. The status is 0, or the
// HTTP status with which to refuse the call.
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

// earlier returns the earlier of a time and the end of a wait that starts now.
func earlier(at time.Time, wait time.Duration) time.Time {
	if end := time.Now().Add(wait); end.Before(at) {
		return end
	}
	return at
}
