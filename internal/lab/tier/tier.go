// Package tier runs a small serving tier of real processes against the lab's simulated endpoints, clients and operator.
// `dunetide-lab tier` and tests of cmd/dunetide-lab use it; docs/tier-lab.md describes it.
package tier

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	config "dunetide/internal/control/operatorconfig"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
	"dunetide/internal/lab/tier/operator"
	"dunetide/internal/lab/wait"
)

const (
	zones          = 2
	engines        = 4
	plain          = 2
	stride         = 10 // tokens per event
	clients        = 24
	heartbeatEvery = 500 * time.Millisecond
	grace          = 3 * time.Second
	drainFor       = 2 * time.Second
	configWait     = 15 * time.Second
	readyWait      = 15 * time.Second
	finishBy       = 10 * time.Second
	host           = "tier.example"
	gen, web       = "gen", "web"
	visibleWithin  = time.Second
	cancelAfter    = 3 * time.Second
	configVersion  = 3
)

// Options configure a run of the lab.
type Options struct {
	Program        string
	Dir            string
	Seed           uint64
	Length         time.Duration
	Faults         []string                         // names from Faults, injected in this order, spread over the run
	CorruptAnswers bool                             // endpoints send occasional corrupt answers
	Load           float64                          // factor on the default rates; 0 means 1
	Logf           func(format string, args ...any) // logs progress

	certification *certificationRun // nil if no route is regulated
}

// DefaultTraffic returns the streams of requests and the batch jobs of the clients.
func DefaultTraffic() ([]load.Traffic, []load.Jobs) {
	route := func(name, service string, kind config.RouteKind, timeout, target int) *config.Route {
		return &config.Route{
			Name:            name,
			Host:            host,
			PathPrefix:      "/" + name + "/",
			Kind:            kind,
			TimeoutMs:       timeout,
			LatencyTargetMs: target,
			MaxAttempts:     2,
			Shares:          []config.Share{{Service: service, Weight: 1}},
		}
	}
	talk, essay := route("talk", gen, config.Streaming, 5000, 400), route("essay", gen, config.Streaming, 6000, 600)
	for _, r := range []*config.Route{talk, essay} {
		r.EventGapTargetMs, r.Sticky = 250, true
	}
	essay.Resumable, essay.Priority = true, 1
	lookup, save := route("lookup", web, config.ReadOnly, 2000, 150), route("save", web, config.Writes, 2000, 200)
	bulk := route("bulk", gen, config.Bulk, 5000, 500)
	bulk.DueMs, bulk.MaxWaitMs, bulk.Priority, bulk.Sticky = 10000, 20000, 2, true
	return []load.Traffic{
			{Route: talk, Rate: 10, In: 600, Out: 150, Sessions: 20},
			{Route: essay, Rate: 6, In: 900, Out: 300, Sessions: 20},
			{Route: lookup, Rate: 40},
			{Route: save, Rate: 25},
		}, []load.Jobs{
			{Route: bulk, Count: 4, Items: 30, In: 600, Out: 200, EndEvery: 4},
		}
}

// Configuration returns the configuration that the operator sends, with all routes of the traffic and the jobs.
func Configuration(ts []load.Traffic, js []load.Jobs) []byte {
	var routes []map[string]any
	add := func(r *config.Route) { routes = append(routes, routeFields(r)) }
	for _, t := range ts {
		add(t.Route)
	}
	for _, j := range js {
		add(j.Route)
	}
	o := EndpointOptions(gen)
	text, err := json.Marshal(map[string]any{
		"version": configVersion, "routes": routes,
		"services": []map[string]any{
			{
				"name": gen, "health_path": "/health", "max_conns": o.MaxConns, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"capacity": o.Capacity, "cache_tokens": o.CacheTokens, "token_bytes": 327680,
					"network_mbps": 4400000.0, "stride": stride,
					"models": []map[string]any{{"name": "m"}},
				},
			},
			{"name": web, "health_path": "/health", "max_conns": EndpointOptions(web).MaxConns, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000,
		},
	})
	if err != nil {
		panic(fmt.Errorf("encoding a configuration as JSON: %w", err))
	}
	return text
}

// routeKinds has the names of the route kinds in a configuration.
var routeKinds = map[config.RouteKind]string{
	config.ReadOnly:  "read_only",
	config.Writes:    "writes",
	config.Streaming: "streaming",
	config.Bulk:      "bulk",
}

// routeFields returns the fields of a route in a configuration.
func routeFields(r *config.Route) map[string]any {
	out := map[string]any{
		"name":       r.Name,
		"host":       r.Host,
		"path_start": r.PathPrefix,
		"kind":       routeKinds[r.Kind],
		"timeout_ms": r.TimeoutMs,
		"target_ms":  r.LatencyTargetMs,
		"priority":   r.Priority,
		"service":    r.Shares[0].Service,
		"tries":      r.MaxAttempts,
	}
	if r.Public {
		out["public"] = true
	}
	switch r.Kind {
	case config.Streaming:
		out["sticky"], out["resume"], out["gap_aim_ms"] = r.Sticky, r.Resumable, r.EventGapTargetMs
	case config.Bulk:
		out["sticky"], out["due_ms"], out["max_wait_s"], out["max_queued"] = r.Sticky, r.DueMs, r.MaxWaitMs/1000, 0
	}
	return out
}

// EndpointOptions returns the options of the endpoints of a service in the default configuration.
func EndpointOptions(service string) engine.Options {
	o := engine.Options{Service: service, Capacity: 8, Queue: 8, MaxConns: 60}
	if service == web {
		o.Work = 20 * time.Millisecond
		return o
	}
	o.CacheTokens, o.Stride, o.Piece = 24000, stride, 512
	o.Step, o.StepGrowth, o.PrefillToken = 10*time.Millisecond, 2*time.Millisecond, 20*time.Microsecond
	return o
}

// rig is a tier with its simulated endpoints. Its owner stops the endpoints with close.
type rig struct {
	options Options
	cluster *cluster.Cluster
	runs    *engine.Runs
	mu      sync.Mutex
	starts  int
	all     map[*engine.Endpoint]bool
}

// newRig returns a rig without endpoints.
func newRig(o Options, c *cluster.Cluster) *rig {
	return &rig{options: o, cluster: c, runs: &engine.Runs{}, all: map[*engine.Endpoint]bool{}}
}

// startEndpoint starts an endpoint of a service at an address.
func (r *rig) startEndpoint(service, addr string, zone int) error {
	o := EndpointOptions(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	o.ID = fmt.Sprintf("i-%08x", r.options.Seed<<16+uint64(r.starts))
	o.Address, o.Zone = addr, r.cluster.Zones()[zone]
	o.Runs = r.runs
	o.Heartbeats = engine.Heartbeats{Controls: r.cluster.Controls, Every: heartbeatEvery, DrainFor: drainFor}
	e, err := engine.Start(o)
	if err == nil {
		r.all[e] = true
	}
	return err
}

// close stops all endpoints.
func (r *rig) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for e := range r.all {
		e.Crash()
	}
}

// Play starts the tier and its endpoints, runs clients against it, and returns an account of the results. An error means
// that the run itself failed, not that a rule was violated.
func Play(ctx context.Context, o Options) (Account, error) {
	out := Account{Seed: o.Seed}
	for _, name := range o.Faults {
		if injectors[name] == nil {
			return out, fmt.Errorf("unknown fault %q; known faults: %s", name, strings.Join(Faults(), ", "))
		}
	}
	c, err := cluster.New(cluster.Options{
		Program:           o.Program,
		Dir:               o.Dir,
		Zones:             zones,
		Edges:             2,
		Keepers:           2,
		Stores:            3,
		HeartbeatInterval: heartbeatEvery,
		Grace:             grace,
		Rules:             "base,drain,config,cost,recover,batch,stream,engine",
	})
	if err != nil {
		return out, err
	}
	defer c.Close()
	r := newRig(o, c)
	defer r.close()
	traffic, jobs := DefaultTraffic()
	for i := range traffic {
		traffic[i].Rate *= cmp.Or(o.Load, 1)
	}
	text := Configuration(traffic, jobs)
	op := operator.New(c.Controls)
	if err := r.start(ctx, op, text, &out); err != nil {
		return out, err
	}
	o.Logf("tier ready after %.1f s; running clients for %v", out.ReadyS, o.Length)
	failed := r.run(ctx, op, traffic, jobs, &out)
	out.ReadBack = readBack(ctx, op, text)
	if o.certification != nil {
		o.certification.account(ctx, r)
	}
	out.Ends = c.Ends()
	return out, errors.Join(failed, ctx.Err())
}

// start starts the endpoints and the processes, sends the configuration and waits until the tier is ready.
func (r *rig) start(ctx context.Context, op *operator.Operator, config []byte, out *Account) error {
	if err := r.startEndpoints(); err != nil {
		return err
	}
	began := time.Now()
	if err := r.cluster.Start(); err != nil {
		return err
	}
	err := wait.Within(ctx, configWait, func(ctx context.Context) error { return op.Put(ctx, 0, config) })
	if err != nil {
		return explain(fmt.Errorf("sending the first configuration: %w", err), r.cluster)
	}
	out.ConfigS = time.Since(began).Seconds()
	if err := wait.Within(ctx, readyWait, r.cluster.AwaitReady); err != nil {
		return explain(err, r.cluster)
	}
	out.ReadyS = time.Since(began).Seconds()
	if r.options.certification != nil {
		if err := r.options.certification.begin(ctx, r, op); err != nil {
			return explain(err, r.cluster)
		}
	}
	return nil
}

// startEndpoints starts the model endpoints and then the plain ones, distributed over the zones in turn.
func (r *rig) startEndpoints() error {
	models := engines
	if r.options.certification != nil {
		models = certificationEngines
	}
	for n := range models + plain {
		service := gen
		if n >= models {
			service = web
		}
		zone := n % zones
		if err := r.startEndpoint(service, r.cluster.EndpointAddress(zone, n/zones), zone); err != nil {
			return err
		}
	}
	return nil
}

// run runs the clients while faults are injected, and returns the error of the fault injection.
func (r *rig) run(
	ctx context.Context, op *operator.Operator, traffic []load.Traffic, jobs []load.Jobs, out *Account,
) (failed error) {
	var injecting sync.WaitGroup
	injecting.Go(func() {
		if r.options.certification != nil {
			failed = r.options.certification.injectFaults(ctx, r, op)
			return
		}
		failed = r.faults(ctx)
	})
	corrupting, stop := context.WithCancel(ctx)
	defer stop()
	if r.options.CorruptAnswers {
		injecting.Go(func() { r.corrupt(corrupting) })
	}
	began := time.Now()
	out.Account = load.Run(ctx, load.Options{
		Seed:          r.options.Seed,
		Length:        r.options.Length,
		Clients:       clients,
		Zones:         r.cluster.Zones(),
		Front:         r.cluster.Front,
		Traffic:       traffic,
		Jobs:          jobs,
		Stride:        stride,
		FinishBy:      finishBy,
		VisibleWithin: visibleWithin,
		Cancel:        cancelAfter,
		Runs:          r.runs,
	})
	stop()
	injecting.Wait()
	out.Services = services(r.runs, began, r.options.Length)
	return failed
}

// readBack reads the configuration at the end and returns "same" if it equals the one that was sent, or else what differs.
func readBack(ctx context.Context, op *operator.Operator, sent []byte) string {
	var got []byte
	err := wait.Within(ctx, configWait, func(ctx context.Context) (err error) {
		got, err = op.Config(ctx)
		return err
	})
	switch {
	case err != nil:
		return err.Error()
	case operator.Same(got, sent):
		return "same"
	}
	return fmt.Sprintf("a different configuration of %d bytes", len(got))
}

// explain adds the log output of processes that exited unexpectedly to an error.
func explain(err error, c *cluster.Cluster) error {
	if ends := c.Ends(); len(ends) > 0 {
		return fmt.Errorf("%w\n%s", err, strings.Join(ends, "\n"))
	}
	return err
}
