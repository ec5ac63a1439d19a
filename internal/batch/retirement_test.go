package batch

import (
	"fmt"
	"testing"

	"dunetide/internal/control/snapshot"
)

// submitSteadily submits jobs until the given time.
func (sim *simulation) submitSteadily(until int64) {
	n := len(sim.jobIDs) + 1
	if sim.nowMs() > until {
		return
	}
	j := sim.newJob(fmt.Sprint("j", n), 3, 3)
	sim.submitUntilAccepted(j, 12)
	sim.readRepeatedly(j, sim.nowMs()+1500)
	sim.after(40+sim.rng.Float64()*80, func() { sim.submitSteadily(until) })
}

// whenRetired calls a function at the moment at which the retirement of a store is finished.
func (sim *simulation) whenRetired(name string, then func()) {
	if _, finished := RetirementState(sim.table, name, sim.maxLost); finished {
		then()
		return
	}
	sim.after(5, func() { sim.whenRetired(name, then) })
}

// startRetiring starts the retirement of a store.
func (sim *simulation) startRetiring(t *testing.T, name string) {
	t.Helper()
	next, known, few := RetireStore(sim.table, name, sim.aliveStores(), sim.isLost, sim.maxLost)
	if !known || few {
		t.Fatalf("%s: known %v, too few %v", name, known, few)
	}
	sim.publish(next)
}

// TestRetirementSurvivesLossesAtItsEnd: a store retires while another one is slow or down for a
// while. At the moment at which the retirement is finished the store is removed, and a third one
// loses its disk. Every combination is played for four stores, and a third of them for five.
func TestRetirementSurvivesLossesAtItsEnd(t *testing.T) {
	type trouble struct {
		name string
		do   func(sim *simulation, o *simStore) (end func())
	}
	troubles := []trouble{
		{"none", func(*simulation, *simStore) func() { return func() {} }},
		{"slow", func(sim *simulation, o *simStore) func() {
			sim.slowLinks = func(a, b string) bool { return b == o.name && a[0] == 's' }
			return func() { sim.slowLinks = nil }
		}},
		{"terminated and back", func(sim *simulation, o *simStore) func() {
			o.terminate(func() { sim.after(600, o.start) })
			return func() {}
		}},
	}
	for _, n := range []int{4, 5} {
		for retiring := range n {
			for other := range n {
				for victim := range n {
					for _, tr := range troubles {
						if retiring == other || retiring == victim || other == victim {
							continue
						}
						if n > 4 && (retiring+other+victim)%3 != 0 || testing.Short() && (retiring+other+victim)%2 != 0 {
							continue
						}
						sim := newSimulation(uint64(n*1000+retiring*100+other*10+victim), n, 1, 4)
						sim.start()
						for i := range 2 {
							sim.addWorker(fmt.Sprint("p", i))
						}
						sim.run(600)
						sim.maxQueuedTokens = 10_000
						sim.submitSteadily(sim.nowMs() + 3000)
						sim.run(500)
						s, o, v := sim.stores[retiring], sim.stores[other], sim.stores[victim]
						end := tr.do(sim, o)
						done := false
						sim.run(30)
						sim.startRetiring(t, s.name)
						sim.whenRetired(s.name, func() {
							done = true
							s.loseDisk()
							s.removed = true
							v.loseDisk()
							sim.after(300, func() { end(); v.start() })
						})
						sim.run(9000)
						end()
						what := fmt.Sprintf("%d stores, %d retires, %d %s, %d wiped", n, retiring, other, tr.name, victim)
						if !done {
							t.Fatalf("%s: not finished: %v", what, sim.table.Partitions)
						}
						sim.healAndCheck(5000)
						if !reportViolations(t, sim, what) {
							return
						}
					}
				}
			}
		}
	}
}

// newBusySimulation has five stores, of which one may be lost, a worker, and jobs that are
// submitted and run.
func newBusySimulation(seed uint64) *simulation {
	sim := newSimulation(seed, 5, 1, 4)
	sim.start()
	sim.addWorker("p0")
	sim.run(600)
	sim.maxQueuedTokens = 10_000
	sim.submitSteadily(sim.nowMs() + 2500)
	sim.run(400)
	return sim
}

// TestTwoStoresRetireAtOnce: two stores retire at the same time, and the requests are repeated.
// Both retirements finish, and both stores may be removed.
func TestTwoStoresRetireAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		sim := newBusySimulation(seed)
		a, b := sim.stores[seed%5], sim.stores[(seed+2)%5]
		for range 3 {
			sim.startRetiring(t, a.name)
			sim.startRetiring(t, b.name)
			sim.run(50)
		}
		gone := 0
		for _, s := range []*simStore{a, b} {
			sim.whenRetired(s.name, func() { gone++; s.loseDisk(); s.removed = true })
		}
		sim.run(8000)
		if gone != 2 {
			t.Fatalf("seed %d: %d of two are finished: %v", seed, gone, sim.table.Partitions)
		}
		sim.healAndCheck(4000)
		if !reportViolations(t, sim, fmt.Sprint("seed ", seed)) {
			return
		}
	}
}

// TestStoreThatLosesItsDiskStillRetires: a store that loses its disk while it retires, and comes
// back under its name, still retires, as the retirement applies to the machine.
func TestStoreThatLosesItsDiskStillRetires(t *testing.T) {
	for seed := range uint64(6) {
		sim := newBusySimulation(seed)
		s := sim.stores[seed%5]
		sim.startRetiring(t, s.name)
		sim.run(20 + int64(seed)*20)
		if _, finished := RetirementState(sim.table, s.name, sim.maxLost); finished {
			t.Fatalf("seed %d: finished before its disk was lost", seed)
		}
		s.loseDisk()
		sim.after(300, s.start)
		gone := false
		sim.run(400)
		sim.whenRetired(s.name, func() { gone = true; s.loseDisk(); s.removed = true })
		sim.run(9000)
		if !gone {
			t.Fatalf("seed %d: not finished: %v, retiring %v", seed, sim.table.Partitions, sim.table.Retiring)
		}
		sim.healAndCheck(4000)
		if !reportViolations(t, sim, fmt.Sprint("seed ", seed)) {
			return
		}
	}
}

// TestRetirementNeedsEnoughOtherReplicas: a retirement is not finished while too few other replicas
// are left, or the store is still joining a group.
func TestRetirementNeedsEnoughOtherReplicas(t *testing.T) {
	table := &snapshot.PartitionTable{
		Stores:   map[uint64]snapshot.Store{1: {ID: 1, Name: "a"}, 2: {ID: 2, Name: "b"}, 3: {ID: 3, Name: "c"}},
		Retiring: map[uint64]bool{1: true},
	}
	for _, c := range []struct {
		part     snapshot.Partition
		finished bool
	}{
		{snapshot.Partition{Replicas: []uint64{2, 3}}, true},
		{snapshot.Partition{Replicas: []uint64{2}}, false},
		{snapshot.Partition{Replicas: []uint64{1, 2, 3}}, false},
		{snapshot.Partition{Replicas: []uint64{1, 2, 3}, Leaving: []uint64{1}}, false},
		{snapshot.Partition{Replicas: []uint64{2, 3}, Joining: []uint64{1}}, false},
	} {
		table.Partitions = []snapshot.Partition{c.part}
		if known, finished := RetirementState(table, "a", 1); !known || finished != c.finished {
			t.Errorf("%v: known %v, finished %v", c.part, known, finished)
		}
	}
}
