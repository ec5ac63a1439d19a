package paxos

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestKilledAtEachPoint plays short runs of two proposers and a change of voters, and kills the process that is
// at point k, for each k: before and after each Save, and before each Send. It comes back at once or later with
// its disk, or with an empty one. More seeds are other links.
func TestKilledAtEachPoint(t *testing.T) {
	type shape struct {
		sz    size
		empty bool
		away  time.Duration
	}
	var shapes []shape
	for _, sz := range sizes[:3] {
		shapes = append(shapes, shape{sz, false, 0}, shape{sz, false, 200 * time.Millisecond}, shape{sz, true, 0})
	}
	const pointsMost = 300
	var unused atomic.Int64
	play(t, max(seeds(0), len(shapes)*pointsMost), func(seed uint64, set func(*world)) {
		sh, at, links := shapes[int(seed)%len(shapes)], int(seed)/len(shapes)%pointsMost+1, int(seed)/len(shapes)/pointsMost
		w := newWorld(uint64(sh.sz.n+10*links), sh.sz.n, 1)
		set(w)
		w.run(time.Second)
		w.points, w.killAt = 0, at
		hit := false
		w.killing = func(m *machine) {
			hit = true
			if sh.empty {
				w.loseDisk(m, nil)
				return
			}
			w.after(sh.away, m.start)
		}
		w.propose(w.machines[0], 2*time.Second, nil)
		w.propose(w.machines[1], 2*time.Second, nil)
		w.run(w.now + 30*time.Millisecond)
		spare := w.machines[sh.sz.n]
		w.propose(w.machines[1], 2*time.Second, func(cur State) (State, error) {
			next, ok := admitVoter(cur, spare.voter(), func(v Voter) bool { return v.Name == "n0" }, sh.sz.n)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
		w.read(w.machines[0], 2*time.Second)
		w.run(w.now + 100*time.Millisecond)
		w.propose(spare, 2*time.Second, nil)
		w.run(w.now + 3*time.Second)
		w.calm()
		w.run(w.now + 3*time.Second)
		w.allRead(10 * time.Second)
		w.check()
		if !hit {
			unused.Add(1)
		}
	})
	t.Logf("%d runs ended before their point", unused.Load())
}
