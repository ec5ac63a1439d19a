package main

import (
	"context"
	"sync/atomic"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/proxy/forward"
)

// again is when an item that no endpoint has run comes again.
const itemRetryAfter = 200 * time.Millisecond

// runner runs items of batch jobs through the proxy, and so through its admission.
type itemRunner struct {
	snapshots *snapshot.Latest
	proxy     atomic.Pointer[forward.Proxy]
}

// Run sends one item to an endpoint of its route's service.
func (r *itemRunner) Run(ctx context.Context, it *batch.Item, lastEventID string, event func(id string, data []byte)) batch.RunResult {
	p, snap := r.proxy.Load(), r.snapshots.Get()
	if p == nil || snap == nil || snap.Config == nil {
		return batch.RunResult{End: batch.RunNotStarted, RetryAfter: itemRetryAfter}
	}
	item := &forward.Item{ID: it.ID, Host: it.Host, Path: it.Path, Header: map[string]string{}, Body: it.Body, Due: it.Due, MayStart: it.MayStart}
	for _, h := range it.Headers {
		item.Header[h[0]] = h[1]
	}
	for i := range snap.Config.Routes {
		if snap.Config.Routes[i].Name == it.Route {
			item.Route = &snap.Config.Routes[i]
		}
	}
	if item.Route == nil {
		return batch.RunResult{End: batch.RunNotStarted, RetryAfter: itemRetryAfter} // a newer configuration may have it, or the job ends
	}
	res := p.RunItem(ctx, item, lastEventID, event)
	switch res.State {
	case forward.ItemDone:
		return batch.RunResult{End: batch.RunCompleted}
	case forward.ItemBroken:
		return batch.RunResult{End: batch.RunInterrupted}
	case forward.ItemFailed:
		return batch.RunResult{End: batch.RunFailed}
	case forward.ItemUnprocessable:
		return batch.RunResult{End: batch.RunImpossible}
	}
	return batch.RunResult{End: batch.RunNotStarted, RetryAfter: itemRetryAfter}
}
