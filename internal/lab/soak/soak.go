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

// Bounds of the deployment that a play stands for, and of what a play waits for.
const (
	inTouch        = 3 * time.Second
	drainFor       = 2 * time.Second
	recoverFor     = 12 * time.Second
	settleTime     = time.Second
	cancelAfter    = 3 * time.Second
	finishBy       = 10 * time.Second
	grace          = 3 * time.Second
	heartbeatEvery = 500 * time.Millisecond
	configWait     = 15 * time.Second
	readyWait      = 20 * time.Second
	gen, web       = "gen", "web"
	models         = 4
	plain          = 2
	clients        = 16
	stride         = 10
	// longerStreams is by how much streams are longer than the default ones.
	longerStreams = 4
	jobs          = 6
	jobItems      = 12
	drainedFor    = 5 * time.Second // an endpoint serves on for so long after its drain was acknowledged, so that late requests are seen
)

// Options of a play.
type Options struct {
	Program string // that cluster.BuildRelayed has made
	Dir     string // for settings, disks, logs and the account
	Plan    Plan
	Logf    func(format string, args ...any)
}

// play is one under way.
type play struct {
	options Options
	plan    Plan
	cluster *cluster.Cluster
	runs    *engine.Runs
	began   time.Time

	endpointsMu sync.Mutex
	endpoints   []*engine.Endpoint // that run, in the order of their starts
	addresses   map[*engine.Endpoint]place
	started     int

	busy     sync.Map // of *cluster.Process: *sync.Mutex, held while one trouble has it down
	timeline timeline
	orders   orders
	drains   drains
	decoy    misdirected
}

// place is where an endpoint is.
type place struct {
	service string
	address string
	zone    int
}

// Play plays a plan and accounts for what was seen.
func Play(ctx context.Context, o Options) (Account, error) {
	out := Account{Plan: o.Plan}
	shape := o.Plan.Shape
	c, err := cluster.New(cluster.Options{Program: o.Program, Dir: o.Dir, Zones: shape.Zones, Edges: shape.Edges, Keepers: shape.Keepers, Stores: shape.Stores,
		Relayed: true, BeatEvery: heartbeatEvery, Grace: grace, Rules: "base,drain,config,cost,recover,batch,stream,engine", Survive: shape.Survive})
	if err != nil {
		return out, err
	}
	defer c.Close()
	p := &play{options: o, plan: o.Plan, cluster: c, runs: &engine.Runs{}, addresses: map[*engine.Endpoint]place{}}
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

// start starts endpoints and processes, and waits until the tier is ready.
func (p *play) start(ctx context.Context) error {
	for n := range models + plain {
		service := gen
		if n >= models {
			service = web
		}
		zone := n % p.plan.Shape.Zones
		if err := p.startEndpoint(place{service, p.cluster.EndpointAddress(zone, n/p.plan.Shape.Zones), zone}); err != nil {
			return err
		}
	}
	if err := p.cluster.Start(); err != nil {
		return err
	}
	ts, js := tier.DefaultTraffic()
	p.orders.start(tier.Configuration(ts, js))
	if err := wait.Within(ctx, configWait, func(ctx context.Context) error {
		return operator.New(p.cluster.Controls).Put(ctx, 0, p.orders.newest().text)
	}); err != nil {
		return fmt.Errorf("the first configuration: %w", err)
	}
	return wait.Within(ctx, readyWait, p.cluster.AwaitReady)
}

// run has clients, operators, readers and troubles go on side by side, then the final and the time to recover.
func (p *play) run(ctx context.Context, out *Account) error {
	p.began = time.Now()
	watching, stop := context.WithCancel(ctx)
	defer stop()
	var watchers sync.WaitGroup
	watchers.Go(func() { p.putOrders(watching) })
	for _, k := range p.keepers() {
		watchers.Go(func() { p.readConfig(watching, k) })
	}
	scraped := newScrapes()
	watchers.Go(func() { p.scrape(watching, scraped) })

	whole := p.plan.latestEnd() + ackedWait + recoverFor
	var playing sync.WaitGroup
	playing.Go(func() { out.Account = p.load(ctx, whole) })
	p.playFaults(ctx)
	endedAt := time.Now()
	finalAt := p.playFinal(ctx)
	playing.Wait()
	stop()
	watchers.Wait()
	p.scrapeOnce(ctx, scraped)
	if finalAt.IsZero() {
		finalAt = endedAt
	}
	out.judge(p, scraped, finalAt)
	return p.readBack(ctx, out)
}

// load has clients ask for so long.
func (p *play) load(ctx context.Context, length time.Duration) load.Account {
	ts, js := tier.DefaultTraffic()
	for i := range ts {
		ts[i].Rate *= p.plan.Load
		if ts[i].Out > 0 { // streams of some seconds, so that troubles meet them
			ts[i].Out *= longerStreams
			ts[i].Rate /= longerStreams / 2
		}
	}
	for i := range js {
		js[i].Count, js[i].Items = jobs, jobItems
		js[i].Route.MaxWaitMs = int((length + finishBy) / time.Millisecond)
	}
	return load.Run(ctx, load.Options{Seed: p.plan.Seed, Length: length, Clients: clients, Zones: p.cluster.Zones(), Front: p.cluster.Front, Traffic: ts, Jobs: js,
		Stride: stride, FinishBy: finishBy, Settle: settleTime, Cancel: cancelAfter, Runs: p.runs, GiveUp: p.plan.LeaveShare})
}

// startEndpoint starts a new incarnation at a place.
func (p *play) startEndpoint(at place) error {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	p.started++
	o := tier.EndpointOptions(at.service)
	o.ID, o.Address, o.Zone, o.Runs = fmt.Sprintf("i-%08x", p.plan.Seed<<16+uint64(p.started)), at.address, p.cluster.Zones()[at.zone], p.runs
	o.Heartbeats = engine.Heartbeats{Controls: p.decoy.controls(p.cluster), Every: heartbeatEvery, DrainFor: drainedFor}
	e, err := engine.Start(o)
	if err != nil {
		return err
	}
	p.endpoints = append(p.endpoints, e)
	p.addresses[e] = at
	return nil
}

// removeEndpoint takes an endpoint that runs out of the list, for a trouble that ends it.
func (p *play) removeEndpoint(n int) (*engine.Endpoint, place, bool) {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	if len(p.endpoints) == 0 {
		return nil, place{}, false
	}
	n %= len(p.endpoints)
	e := p.endpoints[n]
	p.endpoints = append(p.endpoints[:n:n], p.endpoints[n+1:]...)
	at := p.addresses[e]
	delete(p.addresses, e)
	return e, at, true
}

// running are the endpoints at this moment.
func (p *play) running() []*engine.Endpoint {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	return append([]*engine.Endpoint(nil), p.endpoints...)
}

func (p *play) closeEndpoints() {
	for _, e := range p.running() {
		e.Crash()
	}
}

// keepers are the processes that take orders.
func (p *play) keepers() []*cluster.Process { return p.ofRole(cluster.Keeper) }

func (p *play) ofRole(role cluster.Role) (all []*cluster.Process) {
	for _, process := range p.cluster.Processes() {
		if process.Role == role {
			all = append(all, process)
		}
	}
	return all
}

// explain adds what the processes logged that ended by themselves.
func (p *play) explain(err error) error {
	for _, end := range p.cluster.Ends() {
		err = errors.Join(err, errors.New(end))
	}
	return err
}
