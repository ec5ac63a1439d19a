package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"wingmount/internal/batch"
	"wingmount/internal/forward"
	"wingmount/internal/operator"
	"wingmount/internal/view"
)

const (
	// callMost is how long a call about batch jobs may take.
	callMost = 4 * time.Second
	// bodyMost bounds such a call's body where no configuration says it.
	bodyMost = 8 << 20
)

// jobs is the batch side of a proxy.
type jobs struct {
	edge   *batch.Edge
	holder *view.Holder
	runner *runner
}

func newJobs(p *process, holder *view.Holder) *jobs {
	j := &jobs{holder: holder, runner: &runner{holder: holder}}
	j.edge = batch.NewEdge(batch.EdgeOptions{Views: holder, Name: p.settings.NodeName, Zone: p.settings.Zone, Runner: j.runner,
		Logf: func(format string, args ...any) { p.log.Info("batch: "+format, args...) }})
	return j
}

// work lets the proxy run items.
func (j *jobs) work(p *forward.Proxy) { j.runner.proxy.Store(p) }

func (j *jobs) update(*view.Snapshot) { j.edge.Update() }

func (j *jobs) stop() { j.edge.SetLimit(0) }

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
