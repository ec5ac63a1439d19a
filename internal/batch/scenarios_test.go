package batch

import (
	"flag"
	"fmt"
	"testing"
)

// playScenario is the life of a few jobs with everything that may be asked of them. Step is called
// before each event.
func playScenario(w *simulation, hook func()) {
	w.start()
	for i := range 3 {
		w.addWorker(fmt.Sprintf("p%d", i))
	}
	w.run(400)
	w.beforeStep = hook
	a := w.newJob("a", 10, 10, 10, 10, 10)
	b := w.newJob("b", 20, 20)
	c := w.newJob("c", 30, 30)
	for _, j := range []*clientJob{a, b, c} {
		w.submitUntilAccepted(j, 12)
		w.readRepeatedly(j, 6000)
	}
	e := w.newJob("e", 45)
	e.extraMs = 2500
	w.submitUntilAccepted(e, 12)
	w.after(30, func() { w.workers[1].submit(a, nil) })
	w.after(31, func() { w.workers[2].submit(a, nil) })
	w.after(150+w.rng.Float64()*100, func() {
		if b.accepted {
			w.endUntilAcknowledged(b)
		}
	})
	w.run(3000)
	d := w.newJob("d", 40, 40)
	w.submitUntilAccepted(d, 12)
	w.readRepeatedly(d, 6000)
	w.run(3000)
	w.beforeStep = nil
	w.healAndCheck(6000)
}

func reportViolations(t *testing.T, w *simulation, what string) bool {
	t.Helper()
	for _, b := range w.violations {
		t.Errorf("%s: %s", what, b)
	}
	return len(w.violations) == 0
}

func TestJobsCompleteWithoutFaults(t *testing.T) {
	for seed := range uint64(40) {
		w := newSimulation(seed, 3+int(seed%3), 1, 4)
		playScenario(w, nil)
		if !reportViolations(t, w, fmt.Sprint("seed ", seed)) {
			return
		}
		if w.resultsRead < 7 {
			t.Fatalf("seed %d: only %d results", seed, w.resultsRead)
		}
	}
}

type disturbance struct {
	name string
	do   func(w *simulation, s *simStore)
}

var disturbances = []disturbance{
	{"kill", func(w *simulation, s *simStore) { s.kill(); w.after(400, s.start) }},
	{"kill for long", func(w *simulation, s *simStore) { s.kill(); w.after(3000, s.start) }},
	{"power", func(w *simulation, s *simStore) { s.losePower(); w.after(400, s.start) }},
	{"wipe", func(w *simulation, s *simStore) { s.loseDisk(); w.after(400, s.start) }},
	{"terminate", func(w *simulation, s *simStore) { s.terminate(func() { w.after(400, s.start) }) }},
	{"terminate for long", func(w *simulation, s *simStore) { s.terminate(func() { w.after(3000, s.start) }) }},
	{"terminate, then power of another", func(w *simulation, s *simStore) {
		o := w.nextStore(s)
		s.terminate(func() {
			w.after(300, s.start)
			o.losePower()
			w.after(300, o.start)
		})
	}},
	{"terminate, then the disk of another when it is back", func(w *simulation, s *simStore) {
		o := w.nextStore(s)
		s.terminate(func() {
			s.start()
			w.after(4000, func() { o.loseDisk(); w.after(400, o.start) })
		})
	}},
	{"terminate, then the disk of another at once", func(w *simulation, s *simStore) {
		o := w.nextStore(s)
		s.terminate(func() { w.after(300, s.start); o.loseDisk(); w.after(400, o.start) })
	}},
	{"terminate all at once", func(w *simulation, s *simStore) {
		for _, o := range w.stores {
			o.terminate(func() { w.after(300+w.rng.Float64()*200, o.start) })
		}
	}},
	{"terminate and a kill while it hands over", func(w *simulation, s *simStore) {
		s.terminate(func() {})
		w.after(60+w.rng.Float64()*60, func() { s.kill(); w.after(400, s.start) })
	}},
	{"freeze", func(w *simulation, s *simStore) { s.freeze(2600) }},
	{"cut", func(w *simulation, s *simStore) {
		w.cutLinks = func(a, b string) bool { return a == s.name }
		w.dropConnections(s.name, 1300)
		w.after(2500, func() { w.cutLinks = nil })
	}},
	{"wipe, the others without power", func(w *simulation, s *simStore) {
		for _, o := range w.stores {
			if o == s {
				o.loseDisk()
			} else {
				o.losePower()
			}
			w.after(300+w.rng.Float64()*200, o.start)
		}
	}},
	{"freeze, the others without power", func(w *simulation, s *simStore) {
		s.freeze(2600)
		for _, o := range w.stores {
			if o != s {
				o.losePower()
				w.after(300+w.rng.Float64()*200, o.start)
			}
		}
	}},
	{"alone with clients who don't know", func(w *simulation, s *simStore) {
		s.cutFromKeepers = true
		w.cutLinks = func(a, b string) bool { return (a == s.name || b == s.name) && a[0] == 's' && b[0] == 's' }
		for _, k := range w.workers {
			k.tableDelayMs = 2500
		}
		w.after(3000, func() {
			s.cutFromKeepers, w.cutLinks = false, nil
			for _, k := range w.workers {
				k.tableDelayMs = 0
			}
		})
	}},
	{"alone with one proxy that doesn't know", func(w *simulation, s *simStore) {
		s.cutFromKeepers = true
		w.cutLinks = func(a, b string) bool { return (a == s.name || b == s.name) && a[0] == 's' && b[0] == 's' }
		w.workers[0].tableDelayMs = 3500
		w.after(4000, func() { s.cutFromKeepers, w.cutLinks, w.workers[0].tableDelayMs = false, nil, 0 })
	}},
	{"acknowledgements lost, then its disk", func(w *simulation, s *simStore) {
		w.cutLinks = func(a, b string) bool { return b == s.name && a[0] == 's' }
		s.cutFromKeepers = true
		w.after(1600, func() { s.loseDisk(); w.cutLinks, s.cutFromKeepers = nil, false })
		w.after(2000, s.start)
	}},
	{"acknowledgements lost", func(w *simulation, s *simStore) {
		w.cutLinks = func(a, b string) bool { return b == s.name && a[0] == 's' }
		s.cutFromKeepers = true
		w.after(2600, func() { w.cutLinks, s.cutFromKeepers = nil, false })
	}},
	{"a slow copy, then a disk", func(w *simulation, s *simStore) {
		o := w.stores[(int(s.name[1]-'0')+1)%len(w.stores)]
		w.slowLinks = func(a, b string) bool { return b == o.name && a[0] == 's' }
		w.after(120+w.rng.Float64()*300, func() { s.loseDisk(); w.after(400, s.start) })
		w.after(900, func() { w.slowLinks = nil })
	}},
	{"a slow copy, then a kill", func(w *simulation, s *simStore) {
		o := w.stores[(int(s.name[1]-'0')+1)%len(w.stores)]
		w.slowLinks = func(a, b string) bool { return b == o.name && a[0] == 's' }
		w.after(120+w.rng.Float64()*300, func() { s.kill(); w.after(3000, s.start) })
		w.after(900, func() { w.slowLinks = nil })
	}},
	{"wipe, then another", func(w *simulation, s *simStore) {
		s.loseDisk()
		w.after(300, s.start)
		w.after(5000, func() {
			o := w.stores[(int(s.name[1]-'0')+1)%len(w.stores)]
			o.loseDisk()
			w.after(300, o.start)
		})
	}},
}

// nextStore is another store than this one.
func (w *simulation) nextStore(s *simStore) *simStore {
	for i, o := range w.stores {
		if o == s {
			return w.stores[(i+1)%len(w.stores)]
		}
	}
	return s
}

// disturbEachStep plays a life for each step, store and disturbance.
func disturbEachStep(every int, report func(what string, w *simulation) bool) {
	for step := 1; step < 1400; step += every {
		for s := range 4 {
			for _, d := range disturbances {
				seed := uint64(step*37 + s*5)
				n := 3 + int(seed%2)
				if s >= n {
					continue
				}
				w := newSimulation(seed, n, 1, 4)
				w.slowSyncs = step/37%2 == 1
				at := 0
				playScenario(w, func() {
					if at++; at == step {
						d.do(w, w.stores[s])
					}
				})
				if !report(fmt.Sprintf("%s of s%d at step %d", d.name, s, step), w) {
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
	disturbEachStep(every, func(what string, w *simulation) bool {
		n++
		return reportViolations(t, w, what)
	})
	t.Logf("%d lives", n)
}

// TestUncommittedJobIsAnsweredAsUnknown: a job that was ordered and not committed when its primary
// is replaced is answered neither as taken nor as refused.
func TestUncommittedJobIsAnsweredAsUnknown(t *testing.T) {
	w := newSimulation(1, 3, 1, 1)
	w.start()
	w.addWorker("p0")
	w.run(400)
	leads := w.storeNamed(w.table.Stores[w.table.Partitions[0].Primary].Name)
	w.cutLinks = func(a, b string) bool { return b == leads.name && a[0] == 's' }
	j := w.newJob("a", 10)
	var code uint8
	w.workers[0].submit(j, func(c uint8) { code = c })
	w.run(50)
	if code != 0 {
		t.Fatalf("answered %d without a copy", code)
	}
	next := cloneTable(w.table)
	next.Partitions[0].Epoch++
	next.Partitions[0].Primary = next.Partitions[0].Replicas[1]
	w.publish(next)
	w.run(100)
	if code != codeUnknown {
		t.Errorf("answered %d", code)
	}
}

// playStorm plays jobs without end while machines are disturbed, f at a time at most, and emptied.
func playStorm(seed uint64, f int, retire bool) *simulation {
	n := f + 2 + int(seed%3)
	w := newSimulation(seed, n, f, 6)
	w.maxQueuedTokens = 300
	w.slowSyncs = seed%4 == 1
	w.start()
	for i := range 3 {
		w.addWorker(fmt.Sprintf("p%d", i))
	}
	w.run(400)
	count := 0
	var jobs func()
	jobs = func() {
		if w.nowMs() > 24000 {
			return
		}
		count++
		var tokens []int64
		for range 1 + w.rng.IntN(5) {
			tokens = append(tokens, int64(5+w.rng.IntN(20)))
		}
		j := w.newJob(fmt.Sprint("j", count), tokens...)
		if w.rng.IntN(6) == 0 {
			j.extraMs = float64(w.rng.IntN(2500))
		}
		w.submitUntilAccepted(j, 1+w.rng.IntN(10))
		if w.rng.IntN(3) == 0 {
			w.workers[w.rng.IntN(3)].submit(j, nil)
		}
		w.readRepeatedly(j, w.nowMs()+3000)
		if w.rng.IntN(4) == 0 {
			w.after(w.rng.Float64()*600, func() {
				if j.accepted {
					w.endUntilAcknowledged(j)
				}
			})
		}
		w.after(20+w.rng.Float64()*260, jobs)
	}
	jobs()
	for w.nowMs() < 24000 {
		w.run(200 + int64(w.rng.IntN(1500)))
		hit := w.rng.Perm(n)
		if f == 1 {
			disturbances[w.rng.IntN(len(disturbances)-1)].do(w, w.stores[hit[0]])
		} else {
			for i := range f {
				switch s := w.stores[hit[i]]; w.rng.IntN(4) {
				case 0:
					s.loseDisk()
					w.after(300+w.rng.Float64()*2500, s.start)
				case 1:
					s.losePower()
					w.after(300+w.rng.Float64()*2500, s.start)
				case 2:
					s.freeze(500 + w.rng.Float64()*2500)
				default:
					s.kill()
					w.after(300+w.rng.Float64()*2500, s.start)
				}
			}
		}
		w.run(9000) // until all is whole again
		if bad := w.findUnhealthy(); bad != "" {
			w.violation("nine seconds after: %s", bad)
			return w
		}
		if retire {
			w.retireStore()
		}
		if len(w.violations) > 0 {
			return w
		}
	}
	w.healAndCheck(6000)
	return w
}

// findUnhealthy tells what is not as it should be: each part led, with all copies there.
func (w *simulation) findUnhealthy() string {
	for no := range w.table.Partitions {
		row := &w.table.Partitions[no]
		if len(row.Joining)+len(row.Leaving) > 0 {
			return fmt.Sprintf("part %d is on its way: %v", no, *row)
		}
		for _, id := range row.Replicas {
			s := w.storeNamed(w.table.Stores[id].Name)
			if s == nil || s.core == nil || s.core.self != id {
				return fmt.Sprintf("part %d has a copy at %d, which is not there: %v", no, id, *row)
			}
			if id == row.Primary && (s.core.partitions[no].primary == nil || !s.core.partitions[no].primary.serving) {
				return fmt.Sprintf("part %d is not led: %v", no, *row)
			}
		}
	}
	return ""
}

// retireStore empties a store and takes it away in the moment that it is finished, and the disk of another too.
func (w *simulation) retireStore() {
	s := w.stores[w.rng.IntN(len(w.stores))]
	next, known, few := RetireStore(w.table, s.name, w.aliveStores(), func(id uint64) bool { return w.nowMs()-w.lastHeard[id] > 1000 }, w.maxLost)
	if few {
		return
	}
	if !known {
		w.violation("%s is not known", s.name)
		return
	}
	w.logf("%s retires", s.name)
	w.publish(next)
	for range 100 {
		w.run(100)
		if _, done := RetirementState(w.table, s.name, w.maxLost); done {
			w.logf("%s is finished", s.name)
			s.loseDisk()
			s.name += "'" // the machine that comes in its place is another
			o := w.stores[w.rng.IntN(len(w.stores))]
			if o != s {
				o.loseDisk()
				w.after(400, o.start)
			}
			w.after(2000, s.start)
			w.run(9000)
			return
		}
	}
	w.violation("%s is not empty after 10 s: %v", s.name, w.table.Partitions)
}

var (
	storms    = flag.Uint64("storms", 12, "how many storms")
	firstSeed = flag.Uint64("storms.from", 0, "the seed of the first storm")
	stepEvery = flag.Int("steps.every", 61, "how many steps lie between those that are disturbed")
)

func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	seeds := *storms
	if testing.Short() {
		seeds = 4
	}
	for _, f := range []int{1, 2} {
		for seed := *firstSeed; seed < *firstSeed+seeds; seed++ {
			w := playStorm(seed, f, seed%2 == 0)
			if !reportViolations(t, w, fmt.Sprintf("f %d, seed %d", f, seed)) {
				return
			}
			if w.resultsRead < 20 {
				t.Fatalf("f %d, seed %d: only %d results", f, seed, w.resultsRead)
			}
		}
	}
}
