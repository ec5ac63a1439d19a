package main

import (
	"context"
	"sync/atomic"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/proxy/forward"
)

// itemRetryAfter is the delay before an item that no endpoint has run is retried.
const itemRetryAfter = 200 * time.Millisecond

// forwardRunner runs items of batch jobs through the proxy, including its admission control.
type forwardRunner struct {
	snapshots *snapshot.Latest
	proxy     atomic.Pointer[forward.Proxy] // nil until setProxy
}

// Run sends one item to an endpoint of its route's service. It implements batch.Runner.
func (r *forwardRunner) Run(
	ctx context.Context, it *batch.Item, lastEventID string, event func(id string, data []byte),
) batch.RunResult {
	p, snap := r.proxy.Load(), r.snapshots.Get()
	if p == nil || snap == nil || snap.Config == nil {
		return notStarted()
	}
	route := it.RouteIn(snap.Config)
	if route == nil {
		return notStarted() // a newer configuration may have it, or the job ends
	}
	switch p.RunItem(ctx, forwardItem(it, route), lastEventID, event).State {
	case forward.ItemDone:
		return batch.RunResult{End: batch.RunCompleted}
	case forward.ItemBroken:
		return batch.RunResult{End: batch.RunInterrupted}
	case forward.ItemFailed:
		return batch.RunResult{End: batch.RunFailed}
	case forward.ItemUnprocessable:
		return batch.RunResult{End: batch.RunImpossible}
	default:
		return notStarted()
	}
}

// forwardItem returns an item of a job as the request that is sent for it.
func forwardItem(it *batch.Item, route *operatorconfig.Route) *forward.Item {
	item := &forward.Item{
		ID:       it.ID,
		Host:     it.Host,
		Path:     it.Path,
		Header:   make(map[string]string, len(it.Headers)),
		Body:     it.Body,
		Route:    route,
		RouteIn:  it.RouteIn,
		MayStart: it.MayStart,
		Rejected: it.Rejected,
		Due:      it.Due,
	}
	for _, h := range it.Headers {
		item.Header[h[0]] = h[1]
	}
	return item
}

// notStarted returns the result for an item that no endpoint has run.
func notStarted() batch.RunResult {
	return batch.RunResult{End: batch.RunNotStarted, RetryAfter: itemRetryAfter}
}
