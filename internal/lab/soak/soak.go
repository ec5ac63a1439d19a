package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"dunetide/internal/lab/tier"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
	"dunetide/internal/lab/tier/operator"
	"dunetide/internal/lab/wait"
)

// Bounds of the simulated deployment (docs/system.md).
const (
	inTouch        = 3 * time.Second
	drainFor       = 2 * time.Second
	recoverFor     = 12 * time.Second
	visibleWithin  = time.Second
	cancelAfter    = 3 * time.Second
	finishBy       = 10 * time.Second
	grace          = 3 * time.Second
	heartbeatEvery = 500 * time.Millisecond
	stride         = 10 // tokens per event
	rules          = "base,drain,config,cost,recover,batch,stream,engine"
)

// Load and timeouts of a soak run.
const (
	// maxStartAndFinal bounds the time that a soak run takes besides its faults: start, final event, read-back.
	maxStartAndFinal = 90 * time.Second

	configWait = 15 * time.Second
	readyWait  = 20 * time.Second
	gen, web   = "gen", "web" // the services of model endpoints and of plain endpoints
	models     = 4
	plain      = 2
	clients    = 16
	// plainTraffic is the position of a read-only route in the default traffic.
	plainTraffic = 2
	jobs         = 6
	jobItems     = 12
	// longerStreams is the factor by which streams are longer than the default, so that faults happen during streams.
	longerStreams = 4
	// drainedFor is how long an endpoint continues to serve after its drain was acknowledged, so that late requests are observed.
	drainedFor = 5 * time.Second
)

// Options configure a soak run. All are required.
type Options struct {
	Program string // an executable built by cluster.BuildRelayed
	Dir     string // for settings, disks, logs and the account
	Plan    Plan
	Logf    func(format string, args ...any) // logs progress
}

// soakRun is the state of a soak run. Play owns it and waits for all its goroutines.
type soakRun struct {
	options Options
	plan    Plan
	cluster *cluster.Cluster
	runs    *engine.Runs
	began   time.Time

	endpointsMu sync.Mutex
	endpoints   []*engine.Endpoint // the running ones, in the order in which they started
	locations   map[*engine.Endpoint]location
	started     int

	reserved  sync.Map // of *cluster.Process: *sync.Mutex, locked while a fault has reserved it
	timeline  timeline
	orders    orders
	drains    drains
	misdirect misdirection
}

// Play executes a plan and returns an account of the observations. An error means that the soak run itself failed, not that
// a rule was violated.
func Play(ctx context.Context, o Options) (Account, error) {
	out := Account{Plan: o.Plan}
	shape := o.Plan.Shape
	c, err := cluster.New(cluster.Options{
		Program:           o.Program,
		Dir:               o.Dir,
		Zones:             shape.Zones,
		Edges:             shape.Edges,
		Keepers:           shape.Keepers,
		Stores:            shape.Stores,
		Survive:           shape.Survive,
		Relayed:           true,
		HeartbeatInterval: heartbeatEvery,
		Grace:             o.Plan.grace(),
		Rules:             rules,
	})
	if err != nil {
		return out, err
	}
	defer c.Close()
	p := &soakRun{
		options:   o,
		plan:      o.Plan,
		cluster:   c,
		runs:      &engine.Runs{},
		locations: map[*engine.Endpoint]location{},
	}
	defer p.closeEndpoints()
	p.timeline.machines = machinesOf(c)
	if err := p.start(ctx); err != nil {
		return out, p.explain(err)
	}
	if err := p.run(ctx, &out); err != nil {
		return out, p.explain(err)
	}
	return out, ctx.Err()
}

// start starts endpoints and processes and waits until the tier is ready.
func (p *soakRun) start(ctx context.Context) error {
	for n := range models + plain {
		service := gen
		if n >= models {
			service = web
		}
		zone := n % p.plan.Shape.Zones
		address := p.cluster.EndpointAddress(zone, n/p.plan.Shape.Zones)
		if err := p.startEndpoint(location{service: service, address: address, zone: zone}); err != nil {
			return err
		}
	}
	if err := p.cluster.Start(); err != nil {
		return err
	}
	if err := p.startOrders(); err != nil {
		return err
	}
	if err := wait.Within(ctx, configWait, func(ctx context.Context) error {
		return operator.New(p.cluster.Controls).Put(ctx, 0, p.orders.newest().text)
	}); err != nil {
		return fmt.Errorf("sending the first configuration: %w", err)
	}
	p.orders.tenancy.acknowledge(p.orders.newest())
	return wait.Within(ctx, readyWait, p.cluster.AwaitReady)
}

// startOrders creates the first configuration.
func (p *soakRun) startOrders() (err error) {
	traffic, _ := tier.DefaultTraffic()
	if !p.plan.Tenants {
		return p.orders.start(tier.Configuration(traffic, p.batchJobs()))
	}
	p.orders.tenancy, p.orders.seed = &tenancy{}, p.plan.Seed
	traffic = append(traffic, tenantTraffic(traffic[plainTraffic])...)
	text, err := withCustomers(tier.Configuration(traffic, p.batchJobs()), firstCustomers())
	if err != nil {
		return err
	}
	return p.orders.start(text)
}

// run runs clients, operators, readers and faults concurrently, then triggers the final event and leaves time to recover.
func (p *soakRun) run(ctx context.Context, out *Account) error {
	p.began = time.Now()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var watchers sync.WaitGroup
	watchers.Go(func() { p.putConfigs(watching) })
	for _, k := range p.keepers() {
		watchers.Go(func() { p.readConfig(watching, k) })
	}
	scraped := newScrapes()
	watchers.Go(func() { p.scrape(watching, scraped) })

	var playing sync.WaitGroup
	playing.Go(func() { out.Account = p.load(ctx, p.plan.loadLength()) })
	p.injectFaults(ctx)
	endedAt := time.Now()
	finalAt := p.injectFinal(ctx)
	playing.Wait()
	stop()
	watchers.Wait()
	p.scrapeOnce(ctx, scraped)
	if finalAt.IsZero() {
		finalAt = endedAt
	}
	out.check(p, scraped, finalAt)
	return p.readBack(ctx, out)
}

// batchJobs returns the batch jobs of the soak run, on routes whose items may wait until its end.
func (p *soakRun) batchJobs() []load.Jobs {
	_, all := tier.DefaultTraffic()
	for i := range all {
		all[i].Count, all[i].Items = jobs, jobItems
		wait := (p.plan.loadLength() + finishBy).Round(time.Second) // max_wait_s of the configuration is in seconds
		all[i].Route.MaxWaitMs = int(wait / time.Millisecond)
	}
	return all
}

// load runs the clients for the given time.
func (p *soakRun) load(ctx context.Context, length time.Duration) load.Account {
	traffic, _ := tier.DefaultTraffic()
	for i := range traffic {
		traffic[i].Rate *= p.plan.Load
		if traffic[i].Out > 0 { // streams that take seconds, so that faults happen during them
			traffic[i].Out *= longerStreams
			traffic[i].Rate /= longerStreams / 2
		}
	}
	options := load.Options{
		Seed:          p.plan.Seed,
		Length:        length,
		Clients:       clients,
		Zones:         p.cluster.Zones(),
		Front:         p.cluster.Front,
		Jobs:          p.batchJobs(),
		Stride:        stride,
		FinishBy:      finishBy,
		VisibleWithin: visibleWithin,
		Cancel:        cancelAfter,
		Runs:          p.runs,
		LeaveShare:    p.plan.LeaveShare,
		Steady:        p.plan.Steady,
		Fronts:        p.fronts(),
	}
	if p.plan.Tenants {
		traffic = append(traffic, tenantTraffic(traffic[plainTraffic])...)
		options.Directory = directory{p.orders.tenancy}
	}
	options.Traffic = traffic
	return load.Run(ctx, options)
}

// fronts returns the addresses at which clients reach the proxies.
func (p *soakRun) fronts() (addresses []string) {
	for _, process := range p.ofRole(cluster.Proxy) {
		addresses = append(addresses, process.ReachedFront())
	}
	return addresses
}

// keepers returns the control-plane servers.
func (p *soakRun) keepers() []*cluster.Process { return p.ofRole(cluster.Keeper) }

// ofRole returns all processes of a role.
func (p *soakRun) ofRole(role cluster.Role) (all []*cluster.Process) {
	for _, process := range p.cluster.Processes() {
		if process.Role == role {
			all = append(all, process)
		}
	}
	return all
}

// explain joins an error with the log output of processes that exited unexpectedly.
func (p *soakRun) explain(err error) error {
	for _, end := range p.cluster.Ends() {
		err = errors.Join(err, errors.New(end))
	}
	return err
}
