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
	// A series begins at any moment of the play, so that several overlap.
	firstSeries  = time.Second
	seriesEvery  = 1500 * time.Millisecond
	minSeriesFor = time.Second
	maxSeriesFor = 5 * time.Second
	// shortestLife and longestLife bound how long a process of a restart series runs before it is ended again.
	shortestLife = 5 * time.Millisecond
	longestLife  = 900 * time.Millisecond
	// maxSignalPause is the longest pause between two signals of a series.
	maxSignalPause = 80 * time.Millisecond
	// handledPoll is how often a process that has just started is asked whether it handles SIGHUP.
	handledPoll = time.Millisecond
	// handledWait bounds that wait.
	handledWait = 5 * time.Second
	// seriesGrace is the grace of the processes in a play of series.
	seriesGrace = 5 * time.Second
	// seriesSteady is the number of clients that keep connections in use until their processes are gone.
	seriesSteady = 48
	// maxSeriesTargets is how many processes a series may have at once.
	maxSeriesTargets = 4
)

// seriesShapes are those that a seed of series chooses from. The last ones have as many processes as fit beside others on
// one machine of some cores.
var seriesShapes = []Shape{
	{Zones: 3, Edges: 2, Keepers: 1, Stores: 3, Survive: 1},
	{Zones: 2, Edges: 2, Keepers: 2, Stores: 3, Survive: 1},
	{Zones: 3, Edges: 2, Keepers: 2, Stores: 5, Survive: 2},
	{Zones: 3, Edges: 10, Keepers: 2, Stores: 9, Survive: 2},
	{Zones: 5, Edges: 18, Keepers: 1, Stores: 20, Survive: 2},
}

// plannedSeries are the kinds of a play that has planned work alone: every request that a process has read must be answered.
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

// mixedSeries are the kinds of a play in which processes are also killed, frozen and cut off.
var mixedSeries = append([]weightedKind{
	{RestartSeries, 4, []string{"proxy kill", "keeper kill", "store kill"}},
	{Kill, 2, []string{"keeper", "store", "proxy"}},
	{Freeze, 2, []string{"keeper", "store", "proxy"}},
	{CutOff, 2, []string{"keeper", "store"}},
	{KillKeepers, 1, []string{""}},
	{Misbehave, 2, []string{""}},
	{Twin, 1, []string{"keeper", "store", "proxy"}},
}, plannedSeries...)

// RandomSeriesPlan returns the plan of a seed in which signals, restarts and changes come in series that overlap, while
// clients keep their connections in use until the processes behind them are gone. The same seed and length give the same
// plan.
func RandomSeriesPlan(seed uint64, length time.Duration) Plan {
	rng := world.Random(seed, "soak series plan")
	p := Plan{
		Seed:   seed,
		Shape:  seriesShapes[rng.IntN(len(seriesShapes))],
		Length: length,
		Load:   0.5 + rng.Float64(),
		Steady: seriesSteady,
		Final:  []Final{FinalNone, FinalRestart}[rng.IntN(2)],
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

// onlyPlanned reports whether all faults of the plan and its end are planned work and endpoints are sound, so that no request
// that a process has read may be lost.
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

// perProcess plays something on each process of a fault at the same time. One that another fault has ended is left alone.
func (p *play) perProcess(
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

// signalSeries has processes reload their settings again and again, then ends them with SIGTERM among further signals, and
// has them reload once more as soon as they run again.
func (p *play) signalSeries(ctx context.Context, fault Fault, processes []*cluster.Process) error {
	return p.perProcess(ctx, fault, processes, func(ctx context.Context, process *cluster.Process, rng *rand.Rand) error {
		err := p.hangupFor(ctx, process, rng, fault.For/2)
		p.timeline.terminates(process)
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

// hangupFor has a process reload settings with the seeds in other orders for so long, from the moment on at which it handles
// the signal.
func (p *play) hangupFor(ctx context.Context, process *cluster.Process, rng *rand.Rand, length time.Duration) error {
	handled, cancel := context.WithTimeout(ctx, handledWait)
	defer cancel()
	for !process.HandlesHangup() {
		if !wait.For(handled, handledPoll) {
			return nil // it does not run, as the play ends
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

// hangupSeries has all processes reload their settings again and again.
func (p *play) hangupSeries(ctx context.Context, fault Fault) error {
	return p.perProcess(ctx, fault, p.cluster.Processes(), func(ctx context.Context, process *cluster.Process, rng *rand.Rand) error {
		return p.hangupFor(ctx, process, rng, fault.For)
	})
}

// restartSeries starts and ends processes again and again, after lives of some milliseconds and more.
func (p *play) restartSeries(ctx context.Context, fault Fault, processes []*cluster.Process) error {
	end := (*cluster.Process).Kill
	if endsAsPlanned(fault) {
		end = (*cluster.Process).Term
	}
	return p.perProcess(ctx, fault, processes, func(ctx context.Context, process *cluster.Process, rng *rand.Rand) error {
		var failed error
		for until := time.Now().Add(fault.For); time.Now().Before(until); {
			if endsAsPlanned(fault) {
				p.timeline.terminates(process)
			}
			failed = errors.Join(failed, end(process), process.Start())
			if !wait.For(ctx, randomPause(rng, shortestLife, longestLife)) {
				break
			}
		}
		return failed
	})
}

// randomPause returns a duration from shortest up to longest.
func randomPause(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}
