package paxos

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestKilledAtEachPoint plays short runs of two proposers and a change of voters, and kills the process that reaches
// kill point k, for each k: before and after each Save, and before each Send. The process restarts at once or later on
// its disk, or on an empty one. Additional seeds vary the message delays.
func TestKilledAtEachPoint(t *testing.T) {
	type shape struct {
		sz    clusterSize
		empty bool
		down  time.Duration
	}
	var shapes []shape
	for _, sz := range clusterSizes[:3] {
		shapes = append(shapes, shape{sz, false, 0}, shape{sz, false, 200 * time.Millisecond}, shape{sz, true, 0})
	}
	const maxPoints = 300
	var notKilled atomic.Int64
	playSeeds(t, max(seedCount(0), len(shapes)*maxPoints), func(seed uint64, started func(*cluster)) {
		sh, at, delays := shapes[int(seed)%len(shapes)], int(seed)/len(shapes)%maxPoints+1, int(seed)/len(shapes)/maxPoints
		c := newCluster(uint64(sh.sz.voters+10*delays), sh.sz.voters, 1)
		started(c)
		c.RunUntil(time.Second)
		c.killPoints, c.killAt = 0, at
		hit := false
		c.onKill = func(m *machine) {
			hit = true
			if sh.empty {
				c.replaceDisk(m, nil)
				return
			}
			c.After(sh.down, m.start)
		}
		c.propose(c.machines[0], 2*time.Second, nil)
		c.propose(c.machines[1], 2*time.Second, nil)
		c.RunUntil(c.Now() + 30*time.Millisecond)
		spare := c.machines[sh.sz.voters]
		c.propose(c.machines[1], 2*time.Second, func(cur State) (State, error) {
			next, ok := admitVoter(cur, spare.voter(), func(v Voter) bool { return v.Name == "n0" }, sh.sz.voters)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
		c.read(c.machines[0], 2*time.Second)
		c.RunUntil(c.Now() + 100*time.Millisecond)
		c.propose(spare, 2*time.Second, nil)
		c.RunUntil(c.Now() + 3*time.Second)
		c.endFaults()
		c.RunUntil(c.Now() + 3*time.Second)
		c.readOnAll(10 * time.Second)
		c.checkOperations()
		if !hit {
			notKilled.Add(1)
		}
	})
	t.Logf("%d runs ended before their kill point", notKilled.Load())
}
