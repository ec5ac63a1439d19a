package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/wait"
	"dunetide/internal/lab/world"
)

const (
	// Series start at random times throughout a soak run, so that several overlap.
	firstSeries  = time.Second
	seriesEvery  = 1500 * time.Millisecond
	minSeriesFor = time.Second
	maxSeriesFor = 5 * time.Second
	// minUptime and maxUptime bound how long a process of a restart series runs before it is ended again.
	minUptime = 5 * time.Millisecond
	maxUptime = 900 * time.Millisecond
	// maxSignalPause is the longest pause between two signals of a series.
	maxSignalPause = 80 * time.Millisecond
	// handledPoll is how often a process that has just started is checked for a SIGHUP handler.
	handledPoll = time.Millisecond
	// handledWait bounds that wait.
	handledWait = 5 * time.Second
	// seriesGrace is the grace period of the processes in a series plan.
	seriesGrace = 5 * time.Second
	// seriesSteady is the number of clients that use their connections until the process behind them closes them.
	seriesSteady = 48
	// maxSeriesTargets is how many processes a series targets at once.
	maxSeriesTargets = 4
)

// seriesShapes are the tier sizes that a series plan chooses from. The last ones have as many processes as one machine with
// a few cores can run.
var seriesShapes = []Shape{
	{Zones: 3, Edges: 2, Keepers: 1, Stores: 3, Survive: 1},
	{Zones: 2, Edges: 2, Keepers: 2, Stores: 3, Survive: 1},
	{Zones: 3, Edges: 2, Keepers: 2, Stores: 5, Survive: 2},
	{Zones: 3, Edges: 10, Keepers: 2, Stores: 9, Survive: 2},
	{Zones: 5, Edges: 18, Keepers: 1, Stores: 20, Survive: 2},
}

// plannedSeries are the fault kinds of a plan that consists of planned operations only: every request that a process has
// read must be answered.
var plannedSeries = []weightedKind{
	{SignalSeries, 5, []string{"proxy", "proxy", "keeper", "store"}},
	{RestartSeries, 2, []string{"proxy term", "keeper term", "store term"}},
	{HangupSeries, 3, []string{""}},
	{Term, 2, []string{"proxy", "proxy twice", "keeper twice", "store"}},
	{RollProxies, 2, []string{""}},
	{TermStores, 1, []string{""}},
	{Leave, 2, []string{"", "silent"}},
	{Race, 2, []string{""}},
}

// mixedSeries are the fault kinds of a plan in which processes are also killed, frozen and cut off.
var mixedSeries = append([]weightedKind{
	{RestartSeries, 4, []string{"proxy kill", "keeper kill", "store kill"}},
	{Kill, 2, []string{"keeper", "store", "proxy"}},
	{Freeze, 2, []string{"keeper", "store", "proxy"}},
	{CutOff, 2, []string{"keeper", "store"}},
	{KillKeepers, 1, []string{""}},
	{Misbehave, 2, []string{""}},
	{Twin, 1, []string{"keeper", "store", "proxy"}},
}, plannedSeries...)

// RandomSeriesPlan returns a plan of overlapping series of signals, restarts and configuration changes, while clients use
// their connections until the processes behind them close them. The same seed and length give the same plan.
func RandomSeriesPlan(seed uint64, length time.Duration) Plan {
	rng := world.Random(seed, "soak series plan")
	p := Plan{
		Seed:   seed,
		Shape:  seriesShapes[rng.IntN(len(seriesShapes))],
		Length: length,
		Load:   0.5 + rng.Float64(),
		Steady: seriesSteady,

		Tenants: hasTenants(seed),
		Final:   []Final{FinalNone, FinalRestart}[rng.IntN(2)],
	}
	kinds := plannedSeries
	if rng.IntN(2) == 0 {
		kinds = mixedSeries
		p.Final = []Final{FinalNone, FinalRestart, FinalKillAll}[rng.IntN(3)]
	}
	for at := firstSeries; at < length; at += time.Duration(rng.Int64N(int64(2 * seriesEvery))) {
		fault := Fault{
			Number: len(p.Faults) + 1,
			At:     at,
			For:    minSeriesFor + time.Duration(rng.Int64N(int64(maxSeriesFor-minSeriesFor))),
		}
		fault.Kind, fault.How = randomKindOf(rng, kinds)
		for range 1 + rng.IntN(maxSeriesTargets) {
			fault.Targets = append(fault.Targets, rng.IntN(1<<10))
		}
		p.Faults = append(p.Faults, fault)
	}
	return p
}

// onlyPlanned reports whether all faults of the plan and its final event are planned operations and endpoints behave
// correctly, so that no request that a process has read may be lost.
func (p Plan) onlyPlanned() bool {
	if p.Final != FinalNone && p.Final != FinalRestart {
		return false
	}
	for _, fault := range p.Faults {
		if unplanned(fault) {
			return false
		}
	}
	return true
}

func unplanned(fault Fault) bool {
	switch fault.Kind {
	case RestartSeries:
		return !endsAsPlanned(fault)
	case SignalSeries, HangupSeries, Term, RollProxies, TermStores, Leave, Race, Hangup:
		return false
	}
	return true
}

// endsAsPlanned reports whether a restart series ends its processes with SIGTERM.
func endsAsPlanned(fault Fault) bool {
	_, variant, _ := strings.Cut(fault.How, " ")
	return variant == "term"
}

// perProcess calls body for each process of a fault concurrently. It skips processes that another fault has reserved.
func (p *soakRun) perProcess(
	ctx context.Context, fault Fault, processes []*cluster.Process, body func(context.Context, *cluster.Process, *rand.Rand) error,
) error {
	failures := make([]error, len(processes))
	var all sync.WaitGroup
	for i, process := range processes {
		all.Go(func() {
			unlock, free := p.reserve(process)
			if !free {
				return
			}
			defer unlock()
			defer p.timeline.begin(string(fault.Kind), process)()
			rng := world.Random(p.plan.Seed, "series", uint64(fault.Number), uint64(i))
			failures[i] = body(ctx, process, rng)
		})
	}
	all.Wait()
	return errors.Join(failures...)
}

// signalSeries makes processes reload their settings repeatedly, sends SIGTERM mixed with further signals, starts the
// processes again, and makes them reload as soon as they handle SIGHUP.
func (p *soakRun) signalSeries(ctx context.Context, fault Fault, processes []*cluster.Process) error {
	return p.perProcess(ctx, fault, processes, func(ctx context.Context, process *cluster.Process, rng *rand.Rand) error {
		err := p.hangupFor(ctx, process, rng, fault.For/2)
		p.timeline.recordTerm(process)
		ended := make(chan error, 1)
		go func() { ended <- process.Term() }() // it is received below
		for {
			select {
			case failed := <-ended:
				return errors.Join(err, failed, process.Start(), p.hangupFor(ctx, process, rng, fault.For/2))
			case <-time.After(randomPause(rng, 0, maxSignalPause)):
				if rng.IntN(2) == 0 {
					err = errors.Join(err, process.Hangup())
				} else {
					err = errors.Join(err, process.SecondTerm())
				}
			}
		}
	})
}

// hangupFor makes a process reload settings with the seeds in varying order for the given time, beginning when the process
// handles SIGHUP.
func (p *soakRun) hangupFor(ctx context.Context, process *cluster.Process, rng *rand.Rand, length time.Duration) error {
	handled, cancel := context.WithTimeout(ctx, handledWait)
	defer cancel()
	for !process.HandlesHangup() {
		if !wait.For(handled, handledPoll) {
			return nil // it does not run because the soak run ends
		}
	}
	var failed error
	for until := time.Now().Add(length); time.Now().Before(until); {
		failed = errors.Join(failed, process.Rewrite(rng.IntN(len(p.cluster.Seeds()))), process.Hangup())
		if !wait.For(ctx, randomPause(rng, 0, maxSignalPause)) {
			break
		}
	}
	return failed
}

// hangupSeries makes all processes reload their settings repeatedly.
func (p *soakRun) hangupSeries(ctx context.Context, fault Fault) error {
	return p.perProcess(ctx, fault, p.cluster.Processes(), func(ctx context.Context, process *cluster.Process, rng *rand.Rand) error {
		return p.hangupFor(ctx, process, rng, fault.For)
	})
}

// restartSeries ends and starts processes repeatedly, with uptimes between minUptime and maxUptime.
func (p *soakRun) restartSeries(ctx context.Context, fault Fault, processes []*cluster.Process) error {
	end := (*cluster.Process).Kill
	if endsAsPlanned(fault) {
		end = (*cluster.Process).Term
	}
	return p.perProcess(ctx, fault, processes, func(ctx context.Context, process *cluster.Process, rng *rand.Rand) error {
		var failed error
		for until := time.Now().Add(fault.For); time.Now().Before(until); {
			if endsAsPlanned(fault) {
				p.timeline.recordTerm(process)
			}
			failed = errors.Join(failed, end(process), process.Start())
			if !wait.For(ctx, randomPause(rng, minUptime, maxUptime)) {
				break
			}
		}
		return failed
	})
}

// randomPause returns a random duration of at least shortest and less than longest.
func randomPause(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}
