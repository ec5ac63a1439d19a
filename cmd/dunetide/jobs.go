package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/forward"
	"dunetide/internal/operator"
	"dunetide/internal/view"
)

const (
	// callMost is how long a call about batch jobs may take.
	callMost = 4 * time.Second
	// bodyMost bounds such a call's body where no configuration says it.
	bodyMost = 8 << 20
	// spareItems are in hand beyond the share, so that none has to be asked for when one ends.
	spareItems = 2
)

// jobs is the batch side of a proxy.
type jobs struct {
	edge   *batch.Edge
	holder *view.Holder
	runner *runner
	// stopped: no more items are taken up.
	stopped atomic.Bool
}

func newJobs(p *process, holder *view.Holder) *jobs {
	j := &jobs{holder: holder, runner: &runner{holder: holder}}
	j.edge = batch.NewEdge(batch.EdgeOptions{Views: holder, Name: p.settings.NodeName, Zone: p.settings.Zone, Runner: j.runner, Log: p.log,
		Logf: func(format string, args ...any) { p.log.Info("batch", "event", fmt.Sprintf(format, args...)) }})
	return j
}

// work lets the proxy run items.
func (j *jobs) work(p *forward.Proxy) { j.runner.proxy.Store(p) }

// update follows the system: a proxy has its share of the endpoints' places in hand, and a few more.
func (j *jobs) update(snap *view.Snapshot) {
	if !j.stopped.Load() {
		j.edge.SetLimit(inHand(snap))
	}
	j.edge.Update()
}

// inHand is how many items a proxy takes up at once.
func inHand(snap *view.Snapshot) int {
	if snap.Config == nil {
		return 0
	}
	services := map[string]bool{}
	for i := range snap.Config.Routes {
		if r := &snap.Config.Routes[i]; r.Kind == operator.Bulk {
			for _, s := range r.Shares {
				services[s.Service] = true
			}
		}
	}
	places := 0
	for s := range services {
		for _, e := range snap.Endpoints[s] {
			if e.State == view.Ready {
				places += e.Capacity
			}
		}
	}
	if places == 0 {
		return 0
	}
	return places/max(snap.Senders, 1) + spareItems
}

func (j *jobs) stop() {
	j.stopped.Store(true)
	j.edge.SetLimit(0)
}

// serve answers a client's call about batch jobs.
func (j *jobs) serve(w http.ResponseWriter, r *http.Request, _ *operator.Route) {
	most := int64(bodyMost)
	if snap := j.holder.Get(); snap != nil && snap.Config != nil && snap.Config.Limits.MaxBodyBytes > 0 {
		most = snap.Config.Limits.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callMost)
	defer cancel()
	a := j.edge.Serve(ctx, &batch.Call{Method: r.Method, Host: r.Host, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header.Get, Body: body})
	if a.Status == 0 {
		panic(http.ErrAbortHandler) // nothing can be promised
	}
	if a.RetryAfter != "" {
		w.Header().Set("Retry-After", a.RetryAfter)
	}
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
