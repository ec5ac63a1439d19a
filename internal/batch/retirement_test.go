package batch

import (
	"fmt"
	"testing"

	"dunetide/internal/control/snapshot"
)

// submitSteadily hands jobs in until a time.
func (w *simulation) submitSteadily(until int64) {
	n := len(w.jobIDs) + 1
	if w.nowMs() > until {
		return
	}
	j := w.newJob(fmt.Sprint("j", n), 3, 3)
	w.submitUntilAccepted(j, 12)
	w.readRepeatedly(j, w.nowMs()+1500)
	w.after(40+w.rng.Float64()*80, func() { w.submitSteadily(until) })
}

// whenRetired waits until a store is finished, and calls then in that moment.
func (w *simulation) whenRetired(name string, then func()) {
	if _, finished := RetirementState(w.table, name, w.maxLost); finished {
		then()
		return
	}
	w.after(5, func() { w.whenRetired(name, then) })
}

// startRetiring asks for a store to be emptied.
func (w *simulation) startRetiring(t *testing.T, name string) {
	t.Helper()
	next, known, few := RetireStore(w.table, name, w.aliveStores(), func(id uint64) bool { return w.nowMs()-w.lastHeard[id] > 1000 }, w.maxLost)
	if !known || few {
		t.Fatalf("%s: known %v, too few %v", name, known, few)
	}
	w.publish(next)
}

// TestRetirementSurvivesLossesAtItsEnd: a store retires while another one lags behind or is away
// for a while; in the moment that it is finished it goes with its disk, and yet another one loses
// its disk. Each order is played for four stores, and a third of them for five.
func TestRetirementSurvivesLossesAtItsEnd(t *testing.T) {
	type trouble struct {
		name string
		do   func(w *simulation, o *simStore) (end func())
	}
	troubles := []trouble{
		{"none", func(*simulation, *simStore) func() { return func() {} }},
		{"slow", func(w *simulation, o *simStore) func() {
			w.slowLinks = func(a, b string) bool { return b == o.name && a[0] == 's' }
			return func() { w.slowLinks = nil }
		}},
		{"terminated and back", func(w *simulation, o *simStore) func() {
			o.terminate(func() { w.after(600, o.start) })
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
						w := newSimulation(uint64(n*1000+retiring*100+other*10+victim), n, 1, 4)
						w.start()
						for i := range 2 {
							w.addWorker(fmt.Sprint("p", i))
						}
						w.run(600)
						w.maxQueuedTokens = 10_000
						w.submitSteadily(w.nowMs() + 3000)
						w.run(500)
						s, o, v := w.stores[retiring], w.stores[other], w.stores[victim]
						end := tr.do(w, o)
						done := false
						w.run(30)
						w.startRetiring(t, s.name)
						w.whenRetired(s.name, func() {
							done = true
							s.loseDisk()
							s.removed = true
							v.loseDisk()
							w.after(300, func() { end(); v.start() })
						})
						w.run(9000)
						end()
						what := fmt.Sprintf("%d stores, %d retires, %d %s, %d wiped", n, retiring, other, tr.name, victim)
						if !done {
							t.Fatalf("%s: not finished: %v", what, w.table.Partitions)
						}
						w.healAndCheck(5000)
						if !reportViolations(t, w, what) {
							return
						}
					}
				}
			}
		}
	}
}

// newBusySimulation is five stores, of which one may be lost, with a worker and jobs that come and are run.
func newBusySimulation(seed uint64) *simulation {
	w := newSimulation(seed, 5, 1, 4)
	w.start()
	w.addWorker("p0")
	w.run(600)
	w.maxQueuedTokens = 10_000
	w.submitSteadily(w.nowMs() + 2500)
	w.run(400)
	return w
}

// TestTwoStoresRetireAtOnce: two stores retire at once, asked for again and again; both are
// finished, and both may go.
func TestTwoStoresRetireAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		w := newBusySimulation(seed)
		a, b := w.stores[seed%5], w.stores[(seed+2)%5]
		for range 3 {
			w.startRetiring(t, a.name)
			w.startRetiring(t, b.name)
			w.run(50)
		}
		gone := 0
		for _, s := range []*simStore{a, b} {
			w.whenRetired(s.name, func() { gone++; s.loseDisk(); s.removed = true })
		}
		w.run(8000)
		if gone != 2 {
			t.Fatalf("seed %d: %d of two are finished: %v", seed, gone, w.table.Partitions)
		}
		w.healAndCheck(4000)
		if !reportViolations(t, w, fmt.Sprint("seed ", seed)) {
			return
		}
	}
}

// TestStoreThatLosesItsDiskRetiresStill: a store that loses its disk while it retires, and comes
// back under its name, is to be emptied too: the order is about the machine.
func TestStoreThatLosesItsDiskRetiresStill(t *testing.T) {
	for seed := range uint64(6) {
		w := newBusySimulation(seed)
		s := w.stores[seed%5]
		w.startRetiring(t, s.name)
		w.run(20 + int64(seed)*20)
		if _, finished := RetirementState(w.table, s.name, w.maxLost); finished {
			t.Fatalf("seed %d: finished before its disk was lost", seed)
		}
		s.loseDisk()
		w.after(300, s.start)
		gone := false
		w.run(400)
		w.whenRetired(s.name, func() { gone = true; s.loseDisk(); s.removed = true })
		w.run(9000)
		if !gone {
			t.Fatalf("seed %d: not finished: %v, retiring %v", seed, w.table.Partitions, w.table.Retiring)
		}
		w.healAndCheck(4000)
		if !reportViolations(t, w, fmt.Sprint("seed ", seed)) {
			return
		}
	}
}

// TestRetirementNeedsEnoughOtherReplicas: nothing is finished where too few others would be left,
// or one still joins.
func TestRetirementNeedsEnoughOtherReplicas(t *testing.T) {
	table := &snapshot.PartitionTable{Stores: map[uint64]snapshot.Store{1: {ID: 1, Name: "a"}, 2: {ID: 2, Name: "b"}, 3: {ID: 3, Name: "c"}}, Retiring: map[uint64]bool{1: true}}
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
