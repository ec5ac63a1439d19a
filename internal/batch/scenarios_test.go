package batch

import (
	"flag"
	"fmt"
	"testing"
)

// playScenario plays several jobs with all kinds of calls. Hook is called before each event.
func playScenario(sim *simulation, hook func()) {
	sim.start()
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("p%d", i))
	}
	sim.run(400)
	sim.beforeStep, sim.calm = hook, hook == nil
	a := sim.newJob("a", 10, 10, 10, 10, 10)
	b := sim.newJob("b", 20, 20)
	c := sim.newJob("c", 30, 30)
	for _, j := range []*clientJob{a, b, c} {
		sim.submitUntilAccepted(j, 12)
		sim.readRepeatedly(j, 6000)
	}
	e := sim.newJob("e", 45)
	e.extraMs = 2500
	sim.submitUntilAccepted(e, 12)
	sim.after(30, func() { sim.workers[1].submit(a, nil) })
	sim.after(31, func() { sim.workers[2].submit(a, nil) })
	sim.after(150+sim.rng.Float64()*100, func() {
		if b.accepted {
			sim.endUntilAcknowledged(b)
		}
	})
	sim.run(3000)
	d := sim.newJob("d", 40, 40)
	sim.submitUntilAccepted(d, 12)
	sim.readRepeatedly(d, 6000)
	sim.run(3000)
	sim.beforeStep = nil
	sim.healAndCheck(6000)
}

func reportViolations(t *testing.T, sim *simulation, what string) bool {
	t.Helper()
	for _, b := range sim.violations {
		t.Errorf("%s: %s", what, b)
	}
	return len(sim.violations) == 0
}

func TestJobsCompleteWithoutFaults(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(seed, 3+int(seed%3), 1, 4)
		playScenario(sim, nil)
		if !reportViolations(t, sim, fmt.Sprint("seed ", seed)) {
			return
		}
		if sim.resultsRead < 7 {
			t.Fatalf("seed %d: only %d results", seed, sim.resultsRead)
		}
	}
}

type fault struct {
	name string
	do   func(sim *simulation, s *simStore)
}

var faults = []fault{
	{"kill", func(sim *simulation, s *simStore) { s.kill(); sim.after(400, s.start) }},
	{"kill for long", func(sim *simulation, s *simStore) { s.kill(); sim.after(3000, s.start) }},
	{"power", func(sim *simulation, s *simStore) { s.losePower(); sim.after(400, s.start) }},
	{"wipe", func(sim *simulation, s *simStore) { s.loseDisk(); sim.after(400, s.start) }},
	{"terminate", func(sim *simulation, s *simStore) { s.terminate(func() { sim.after(400, s.start) }) }},
	{"terminate for long", func(sim *simulation, s *simStore) { s.terminate(func() { sim.after(3000, s.start) }) }},
	{"terminate, then power of another", func(sim *simulation, s *simStore) {
		o := sim.nextStore(s)
		s.terminate(func() {
			sim.after(300, s.start)
			o.losePower()
			sim.after(300, o.start)
		})
	}},
	{"terminate, then the disk of another when it is back", func(sim *simulation, s *simStore) {
		o := sim.nextStore(s)
		s.terminate(func() {
			s.start()
			sim.after(4000, func() { o.loseDisk(); sim.after(400, o.start) })
		})
	}},
	{"terminate, then the disk of another at once", func(sim *simulation, s *simStore) {
		o := sim.nextStore(s)
		s.terminate(func() { sim.after(300, s.start); o.loseDisk(); sim.after(400, o.start) })
	}},
	{"terminate all at once", func(sim *simulation, s *simStore) {
		for _, o := range sim.stores {
			o.terminate(func() { sim.after(300+sim.rng.Float64()*200, o.start) })
		}
	}},
	{"terminate and a kill during the transfer", func(sim *simulation, s *simStore) {
		s.terminate(func() {})
		sim.after(60+sim.rng.Float64()*60, func() { s.kill(); sim.after(400, s.start) })
	}},
	{"freeze", func(sim *simulation, s *simStore) { s.freeze(2600) }},
	{"cut", func(sim *simulation, s *simStore) {
		sim.cutLinks = func(a, b string) bool { return a == s.name }
		sim.dropConnections(s.name, 1300)
		sim.after(2500, func() { sim.cutLinks = nil })
	}},
	{"wipe, the others without power", func(sim *simulation, s *simStore) {
		for _, o := range sim.stores {
			if o == s {
				o.loseDisk()
			} else {
				o.losePower()
			}
			sim.after(300+sim.rng.Float64()*200, o.start)
		}
	}},
	{"freeze, the others without power", func(sim *simulation, s *simStore) {
		s.freeze(2600)
		for _, o := range sim.stores {
			if o != s {
				o.losePower()
				sim.after(300+sim.rng.Float64()*200, o.start)
			}
		}
	}},
	{"isolated with clients that have an old table", func(sim *simulation, s *simStore) {
		s.cutFromKeepers = true
		sim.cutLinks = func(a, b string) bool { return (a == s.name || b == s.name) && a[0] == 's' && b[0] == 's' }
		for _, proxy := range sim.workers {
			proxy.tableDelayMs = 2500
		}
		sim.after(3000, func() {
			s.cutFromKeepers, sim.cutLinks = false, nil
			for _, proxy := range sim.workers {
				proxy.tableDelayMs = 0
			}
		})
	}},
	{"isolated with one proxy that has an old table", func(sim *simulation, s *simStore) {
		s.cutFromKeepers = true
		sim.cutLinks = func(a, b string) bool { return (a == s.name || b == s.name) && a[0] == 's' && b[0] == 's' }
		sim.workers[0].tableDelayMs = 3500
		sim.after(4000, func() { s.cutFromKeepers, sim.cutLinks, sim.workers[0].tableDelayMs = false, nil, 0 })
	}},
	{"acknowledgements lost, then its disk", func(sim *simulation, s *simStore) {
		sim.cutLinks = func(a, b string) bool { return b == s.name && a[0] == 's' }
		s.cutFromKeepers = true
		sim.after(1600, func() { s.loseDisk(); sim.cutLinks, s.cutFromKeepers = nil, false })
		sim.after(2000, s.start)
	}},
	{"acknowledgements lost", func(sim *simulation, s *simStore) {
		sim.cutLinks = func(a, b string) bool { return b == s.name && a[0] == 's' }
		s.cutFromKeepers = true
		sim.after(2600, func() { sim.cutLinks, s.cutFromKeepers = nil, false })
	}},
	{"a slow replica, then a lost disk", func(sim *simulation, s *simStore) {
		o := sim.stores[(int(s.name[1]-'0')+1)%len(sim.stores)]
		sim.slowLinks = func(a, b string) bool { return b == o.name && a[0] == 's' }
		sim.after(120+sim.rng.Float64()*300, func() { s.loseDisk(); sim.after(400, s.start) })
		sim.after(900, func() { sim.slowLinks = nil })
	}},
	{"a slow replica, then a kill", func(sim *simulation, s *simStore) {
		o := sim.stores[(int(s.name[1]-'0')+1)%len(sim.stores)]
		sim.slowLinks = func(a, b string) bool { return b == o.name && a[0] == 's' }
		sim.after(120+sim.rng.Float64()*300, func() { s.kill(); sim.after(3000, s.start) })
		sim.after(900, func() { sim.slowLinks = nil })
	}},
	{"wipe, then another", func(sim *simulation, s *simStore) {
		s.loseDisk()
		sim.after(300, s.start)
		sim.after(5000, func() {
			o := sim.stores[(int(s.name[1]-'0')+1)%len(sim.stores)]
			o.loseDisk()
			sim.after(300, o.start)
		})
	}},
}

// nextStore returns the store after this one.
func (sim *simulation) nextStore(s *simStore) *simStore {
	for i, o := range sim.stores {
		if o == s {
			return sim.stores[(i+1)%len(sim.stores)]
		}
	}
	return s
}

// injectFaultAtEachStep plays a scenario for each step, store and fault.
func injectFaultAtEachStep(every int, report func(what string, sim *simulation) bool) {
	for step := 1; step < 1400; step += every {
		for s := range 4 {
			for _, d := range faults {
				seed := uint64(step*37 + s*5)
				n := 3 + int(seed%2)
				if s >= n {
					continue
				}
				sim := newSimulation(seed, n, 1, 4)
				sim.slowSyncs = step/37%2 == 1
				at := 0
				playScenario(sim, func() {
					if at++; at == step {
						d.do(sim, sim.stores[s])
					}
				})
				if !report(fmt.Sprintf("%s of s%d at step %d", d.name, s, step), sim) {
					return
				}
			}
		}
	}
}

func TestPromisesHoldWithAFaultAtEachStep(t *testing.T) {
	every := *stepEvery
	if testing.Short() {
		every = 211
	}
	n := 0
	injectFaultAtEachStep(every, func(what string, sim *simulation) bool {
		n++
		return reportViolations(t, sim, what)
	})
	t.Logf("%d runs", n)
}

// TestUncommittedJobIsAnsweredAsUnknown: a job that was ordered but not committed when its primary
// is replaced is answered neither as accepted nor as rejected.
func TestUncommittedJobIsAnsweredAsUnknown(t *testing.T) {
	sim := newSimulation(1, 3, 1, 1)
	sim.start()
	sim.addWorker("p0")
	sim.run(400)
	leads := sim.storeNamed(sim.table.Stores[sim.table.Partitions[0].Primary].Name)
	sim.cutLinks = func(a, b string) bool { return b == leads.name && a[0] == 's' }
	j := sim.newJob("a", 10)
	var code uint8
	sim.workers[0].submit(j, func(c uint8) { code = c })
	sim.run(50)
	if code != 0 {
		t.Fatalf("answered %d without a replica", code)
	}
	next := cloneTable(sim.table)
	next.Partitions[0].Epoch++
	next.Partitions[0].Primary = next.Partitions[0].Replicas[1]
	sim.publish(next)
	sim.run(100)
	if code != codeUnknown {
		t.Errorf("answered %d", code)
	}
}

// playRandomFaults plays jobs for 24 s while stores are disturbed, at most f at a time, and retired.
func playRandomFaults(seed uint64, f int, retire bool) *simulation {
	n := f + 2 + int(seed%3)
	sim := newSimulation(seed, n, f, 6)
	sim.maxQueuedTokens = 300
	sim.slowSyncs = seed%4 == 1
	sim.start()
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("p%d", i))
	}
	sim.run(400)
	count := 0
	var jobs func()
	jobs = func() {
		if sim.nowMs() > 24000 {
			return
		}
		count++
		var tokens []int64
		for range 1 + sim.rng.IntN(5) {
			tokens = append(tokens, int64(5+sim.rng.IntN(20)))
		}
		j := sim.newJob(fmt.Sprint("j", count), tokens...)
		if sim.rng.IntN(6) == 0 {
			j.extraMs = float64(sim.rng.IntN(2500))
		}
		sim.submitUntilAccepted(j, 1+sim.rng.IntN(10))
		if sim.rng.IntN(3) == 0 {
			sim.workers[sim.rng.IntN(3)].submit(j, nil)
		}
		sim.readRepeatedly(j, sim.nowMs()+3000)
		if sim.rng.IntN(4) == 0 {
			sim.after(sim.rng.Float64()*600, func() {
				if j.accepted {
					sim.endUntilAcknowledged(j)
				}
			})
		}
		sim.after(20+sim.rng.Float64()*260, jobs)
	}
	jobs()
	for sim.nowMs() < 24000 {
		sim.run(200 + int64(sim.rng.IntN(1500)))
		hit := sim.rng.Perm(n)
		if f == 1 {
			faults[sim.rng.IntN(len(faults)-1)].do(sim, sim.stores[hit[0]])
		} else {
			for i := range f {
				switch s := sim.stores[hit[i]]; sim.rng.IntN(4) {
				case 0:
					s.loseDisk()
					sim.after(300+sim.rng.Float64()*2500, s.start)
				case 1:
					s.losePower()
					sim.after(300+sim.rng.Float64()*2500, s.start)
				case 2:
					s.freeze(500 + sim.rng.Float64()*2500)
				default:
					s.kill()
					sim.after(300+sim.rng.Float64()*2500, s.start)
				}
			}
		}
		sim.run(9000) // until everything has recovered
		if bad := sim.findUnhealthy(); bad != "" {
			sim.violation("nine seconds after: %s", bad)
			return sim
		}
		if retire {
			sim.retireStore()
		}
		if len(sim.violations) > 0 {
			return sim
		}
	}
	sim.healAndCheck(6000)
	return sim
}

// findUnhealthy describes a partition that has no serving primary or lacks a replica; empty if
// there is none.
func (sim *simulation) findUnhealthy() string {
	for no := range sim.table.Partitions {
		row := &sim.table.Partitions[no]
		if len(row.Joining)+len(row.Leaving) > 0 {
			return fmt.Sprintf("the replicas of partition %d are still changing: %v", no, *row)
		}
		for _, id := range row.Replicas {
			s := sim.storeNamed(sim.table.Stores[id].Name)
			if s == nil || s.core == nil || s.core.self != id {
				return fmt.Sprintf("partition %d has a replica at %d, which is down: %v", no, id, *row)
			}
			if id == row.Primary && (s.core.partitions[no].primary == nil || !s.core.partitions[no].primary.serving) {
				return fmt.Sprintf("partition %d has no serving primary: %v", no, *row)
			}
		}
	}
	return ""
}

// retireStore retires a store. At the moment at which that is finished the store is removed, and
// another one loses its disk.
func (sim *simulation) retireStore() {
	s := sim.stores[sim.rng.IntN(len(sim.stores))]
	next, known, few := RetireStore(sim.table, s.name, sim.aliveStores(), sim.isLost, sim.maxLost)
	if few {
		return
	}
	if !known {
		sim.violation("%s is not known", s.name)
		return
	}
	sim.logf("%s retires", s.name)
	sim.publish(next)
	for range 100 {
		sim.run(100)
		if _, done := RetirementState(sim.table, s.name, sim.maxLost); done {
			sim.logf("retirement of %s is finished", s.name)
			s.loseDisk()
			s.name += "'" // a different machine replaces it
			o := sim.stores[sim.rng.IntN(len(sim.stores))]
			if o != s {
				o.loseDisk()
				sim.after(400, o.start)
			}
			sim.after(2000, s.start)
			sim.run(9000)
			return
		}
	}
	sim.violation("%s is not empty after 10 s: %v", s.name, sim.table.Partitions)
}

var (
	randomRuns = flag.Uint64("storms", 12, "number of runs with random faults")
	firstSeed  = flag.Uint64("storms.from", 0, "seed of the first run with random faults")
	stepEvery  = flag.Int("steps.every", 61, "interval between the steps at which a fault is injected")
)

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	seeds := *randomRuns
	if testing.Short() {
		seeds = 4
	}
	for _, f := range []int{1, 2} {
		for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
			sim := playRandomFaults(seed, f, seed%2 == 0)
			if !reportViolations(t, sim, fmt.Sprintf("f %d, seed %d", f, seed)) {
				return
			}
			if sim.resultsRead < 20 {
				t.Fatalf("f %d, seed %d: only %d results", f, seed, sim.resultsRead)
			}
			if large := sim.transfers != defaultTransferLimits; large != (sim.partsSent > 0) {
				t.Errorf("f %d, seed %d: jobs exceed a message: %v, but %d parts were sent", f, seed, large, sim.partsSent)
			}
		}
	}
}
