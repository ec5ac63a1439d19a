package paxos

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"dunetide/internal/lab/simulation"
)

// seedCount returns how many seeds a test plays: PAXOS_SEEDS, or a default that takes a few seconds.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("PAXOS_SEEDS")); err == nil {
		return n
	}
	return defaultCount
}

// playSeeds runs f for each seed on all cores; PAXOS_SEED plays a single seed and prints its trace. The function f must
// pass its cluster to started.
func playSeeds(t *testing.T, n int, f func(seed uint64, started func(*cluster))) {
	t.Helper()
	if seed, err := strconv.ParseUint(os.Getenv("PAXOS_SEED"), 10, 64); err == nil {
		var played *cluster
		found := simulation.Play(func() {
			f(seed, func(c *cluster) {
				played = c
				c.trace.Enabled = true
			})
		})
		if found != "" {
			t.Fatalf("BROKEN seed %d: %s\n%s", seed, found, played.trace.String())
		}
		return
	}
	simulation.EachSeed(uint64(n), func() bool { return !t.Failed() }, func(seed uint64) {
		if found := simulation.Play(func() { f(seed, func(*cluster) {}) }); found != "" {
			t.Errorf("BROKEN seed %d: %s", seed, found)
		}
	})
}

// clusterSize is the initial number of voters and the number of their disks that may be lost.
type clusterSize struct{ voters, maxLost int }

var clusterSizes = []clusterSize{{3, 1}, {4, 1}, {5, 2}, {8, 2}}

// startRandomOperation starts a read, a write, a conditional write or a random change of the voters.
func (c *cluster) startRandomOperation(sz clusterSize) {
	m := c.randomMachine()
	timeout := 200*time.Millisecond + c.upTo(3*time.Second)
	switch c.rng.IntN(10) {
	case 0, 1, 2:
		c.read(m, timeout)
	case 3:
		expected := c.newest
		c.propose(m, timeout, func(cur State) (State, error) {
			if cur.Slot != expected {
				return cur, errConflict
			}
			return cur, nil
		})
	case 4:
		c.propose(m, timeout, func(State) (State, error) { return State{}, ErrUnchanged })
	case 5:
		joiner, dead := c.randomMachine(), c.randomMachine().name
		in := joiner.voter()
		c.propose(m, timeout, func(cur State) (State, error) {
			if in.ID != joiner.id {
				return cur, ErrUnchanged // joiner has lost its disk meanwhile
			}
			next, ok := admitVoter(cur, in, func(v Voter) bool { return v.Name == dead }, sz.voters+1)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
	case 6:
		dead := c.randomMachine().name
		c.propose(m, timeout, func(cur State) (State, error) {
			next, ok := expelVoter(cur, func(v Voter) bool { return v.Name == dead }, 2*sz.maxLost+1)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
	default:
		c.propose(m, timeout, nil)
	}
}

// injectRandomFault starts a random fault and schedules its end.
func (c *cluster) injectRandomFault() {
	m, o := c.randomMachine(), c.randomMachine()
	length := 50*time.Millisecond + c.upTo(1500*time.Millisecond)
	switch c.rng.IntN(12) {
	case 0:
		c.partitioned[[2]int{m.index, o.index}] = true
		c.After(length, func() { delete(c.partitioned, [2]int{m.index, o.index}) })
	case 1:
		for _, p := range c.machines {
			c.partitioned[[2]int{m.index, p.index}], c.partitioned[[2]int{p.index, m.index}] = true, true
		}
		c.After(length, func() {
			for _, p := range c.machines {
				delete(c.partitioned, [2]int{m.index, p.index})
				delete(c.partitioned, [2]int{p.index, m.index})
			}
		})
	case 2:
		m.kill()
		c.After(length, func() {
			if !m.up {
				m.start()
			}
		})
	case 3:
		m.busyUntil = max(m.busyUntil, c.Now()+length) // frozen
	case 4:
		c.killAt = c.killPoints + 1 + c.rng.IntN(30)
		c.onKill = func(m *machine) {
			c.After(length, func() {
				if !m.up {
					m.start()
				}
			})
		}
	case 5:
		m.failingSaves = 1
		c.After(length, func() {
			if m.register.FatalError() != nil {
				m.kill()
				m.failingSaves = 0
				m.start()
			}
		})
	case 6, 7: // restarted at once
		for range 1 + c.rng.IntN(4) {
			c.After(c.upTo(200*time.Millisecond), func() {
				if m := c.randomMachine(); m.up {
					m.kill()
					m.start()
				}
			})
		}
	case 8:
		c.maxSaveTime = 200 * time.Millisecond
		c.After(length, func() { c.maxSaveTime = 5 * time.Millisecond })
	case 9:
		m.fillDisk(length)
	case 10: // killed while its disk is full
		m.fillDisk(length)
		c.After(c.upTo(200*time.Millisecond), func() {
			m.kill()
			m.start()
		})
	case 11:
		for _, p := range c.machines {
			if c.chance(.7) {
				p.fillDisk(length)
			}
		}
	}
}

// fillDisk makes a disk full for a time, either completely or for a random share of the Saves.
func (m *machine) fillDisk(length time.Duration) {
	m.fullShare = 1
	if m.cluster.chance(.5) {
		m.fullShare = .3 + .6*m.cluster.rng.Float64()
	}
	m.cluster.tracef("%s: disk full, %.2f", m.name, m.fullShare)
	m.cluster.After(length, func() { m.fullShare = 0 })
}

// replaceDisk makes a machine lose its disk and start with an empty one, proposes it as a voter until it is one, and
// then calls joined.
func (c *cluster) replaceDisk(m *machine, joined func()) {
	m.loseDisk()
	id := m.id
	c.After(c.upTo(time.Second), func() {
		if !m.up {
			m.start()
		}
	})
	var join func()
	join = func() {
		if m.id != id {
			return
		}
		in := false
		o := c.propose(c.randomMachine(), time.Second, func(cur State) (State, error) {
			next, ok := admitVoter(cur, m.voter(), func(v Voter) bool { return false }, len(cur.Voters))
			if in = !ok; in {
				return cur, ErrUnchanged
			}
			return next, nil
		})
		c.After(1200*time.Millisecond, func() {
			switch {
			case o.result == "ok" || in && o.result == "none":
				if joined != nil {
					joined()
				}
			default:
				join()
			}
		})
	}
	c.After(200*time.Millisecond, join)
}

func (c *cluster) makeNetworkUnreliable() {
	c.loss, c.duplicate, c.lateShare = .1*c.rng.Float64(), .1*c.rng.Float64(), .05*c.rng.Float64()
	c.maxDelay = time.Millisecond + c.upTo(40*time.Millisecond)
}

// TestChaos plays all faults at once. It checks that all slots form one chain, that no acknowledged operation is lost
// and that reads are linearizable; and, if no more than maxLost disks were lost, that reads and writes succeed
// afterwards.
func TestChaos(t *testing.T) {
	playSeeds(t, seedCount(1000), func(seed uint64, started func(*cluster)) {
		sz := clusterSizes[seed%4]
		c := newCluster(seed, sz.voters, 2)
		started(c)
		c.makeNetworkUnreliable()
		losses, excessive := 0, seed%5 == 0 // excessive: more than maxLost disks may be lost
		for c.Now() < 4*time.Second {
			for range 1 + c.rng.IntN(3) {
				c.After(c.upTo(50*time.Millisecond), func() { c.startRandomOperation(sz) })
			}
			if c.chance(.5) {
				c.injectRandomFault()
			}
			if c.chance(.05) && (excessive || losses < sz.maxLost) {
				losses++
				c.replaceDisk(c.randomMachine(), nil)
			}
			c.RunUntil(c.Now() + 20*time.Millisecond + c.upTo(300*time.Millisecond))
		}
		c.endFaults()
		c.RunUntil(c.Now() + 4*time.Second)
		if !excessive {
			c.readOnAll(20 * time.Second)
			o := c.propose(c.randomMachine(), 10*time.Second, nil)
			c.RunUntil(c.Now() + 10*time.Second)
			if o.result != "ok" {
				simulation.Failf("a write after the end of all faults failed: %q", o.result)
			}
			c.readOnAll(20 * time.Second)
		}
		c.checkOperations()
	})
}

// TestLastFault loses maxLost disks immediately after an operation was acknowledged, while most other machines lose
// power. Afterwards every machine must read the operation.
func TestLastFault(t *testing.T) {
	playSeeds(t, seedCount(2000), func(seed uint64, started func(*cluster)) {
		sz := clusterSizes[seed%4]
		c := newCluster(seed, sz.voters, 2)
		started(c)
		c.makeNetworkUnreliable()
		joining, after := 0, 1+c.rng.IntN(25)
		hit, clear := false, uint64(0)
		c.onDone = func(o *op, s State) {
			// Disks that were lost before must have been replaced, and no lost disk can still be admitted as a voter.
			if after--; after > 0 || joining > 0 || hit || s.Slot < clear {
				return
			}
			hit = true
			c.After(0, func() {
				c.tracef("the last fault")
				lost := c.rng.Perm(len(c.machines))[:sz.maxLost]
				for _, m := range c.machines {
					if slices.Contains(lost, m.index) {
						m.loseDisk()
					} else if c.chance(.9) {
						m.kill()
					}
				}
			})
		}
		for c.Now() < 8*time.Second && !hit {
			for range 1 + c.rng.IntN(3) {
				c.startRandomOperation(sz)
			}
			if c.chance(.3) {
				c.injectRandomFault()
			}
			if joining == 0 && c.chance(.05) {
				joining++
				c.replaceDisk(c.randomMachine(), func() { joining-- })
				clear = c.newest + 2
			}
			c.RunWhile(c.Now()+20*time.Millisecond+c.upTo(200*time.Millisecond), func() bool { return !hit })
		}
		c.RunUntil(c.Now())
		if !hit {
			return
		}
		c.onDone = nil
		for _, m := range c.machines {
			if !m.up {
				c.After(c.upTo(time.Second), func() {
					if !m.up {
						m.start()
					}
				})
			}
		}
		c.RunUntil(c.Now() + time.Second)
		c.endFaults()
		c.readOnAll(10 * time.Second)
		c.checkOperations()
	})
}

// TestLastFaultAfterAdmit loses a disk and replaces its voter, by the same machine with an empty disk or by another
// machine while the first stays down. When the replacement is acknowledged, maxLost disks are lost and all other
// machines lose power. Afterwards a single process must be able to read.
func TestLastFaultAfterAdmit(t *testing.T) {
	playSeeds(t, seedCount(2000), func(seed uint64, started func(*cluster)) {
		sz := clusterSizes[seed%4]
		c := newCluster(seed, sz.voters, 1)
		started(c)
		c.loss, c.duplicate, c.maxDelay = .2*c.rng.Float64(), .1*c.rng.Float64(), 40*time.Millisecond
		c.RunUntil(time.Second)
		if seed%3 == 0 { // some disks are full until the fault, and not after it
			for _, m := range c.machines {
				if c.chance(.4) {
					m.fillDisk(time.Hour)
				}
			}
		}
		c.propose(c.randomMachine(), 2*time.Second, nil)
		c.RunUntil(c.Now() + 2*time.Second)
		first, other := c.machines[c.rng.IntN(sz.voters)], c.chance(.5)
		joiner := first
		if other {
			joiner = c.machines[sz.voters]
		}
		if first.loseDisk(); !other {
			first.start()
		}
		c.RunUntil(c.Now() + time.Second)
		proposer := joiner
		for proposer == first {
			proposer = c.randomMachine()
		}
		var admit *op
		hit := false
		c.onDone = func(o *op, s State) {
			if o != admit || o.result != "ok" {
				return
			}
			hit = true
			c.After(0, func() {
				c.tracef("the last fault")
				lost := c.rng.Perm(len(c.machines))
				lost = slices.DeleteFunc(lost, func(i int) bool { return other && i == first.index })[:sz.maxLost]
				for _, m := range c.machines {
					if slices.Contains(lost, m.index) {
						m.loseDisk()
					}
					m.kill()
				}
			})
		}
		admit = c.propose(proposer, 5*time.Second, func(cur State) (State, error) {
			next, ok := admitVoter(cur, joiner.voter(), func(v Voter) bool { return v.Name == first.name }, sz.voters)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
		c.RunWhile(c.Now()+8*time.Second, func() bool { return !hit })
		c.RunUntil(c.Now())
		if !hit {
			return
		}
		c.onDone = nil
		c.loss, c.duplicate = 0, 0
		for _, m := range c.machines {
			m.fullShare = 0
			if m != first || !other {
				c.After(200*time.Millisecond+c.upTo(200*time.Millisecond), m.start)
			}
		}
		c.RunUntil(c.Now() + 500*time.Millisecond)
		reader := c.randomMachine()
		for !reader.up {
			reader = c.randomMachine()
		}
		o := c.read(reader, 10*time.Second)
		c.RunUntil(c.Now() + 12*time.Second)
		if o.result != "ok" {
			simulation.Failf("%s: the final read failed: %q", reader.name, o.result)
		}
		c.checkOperations()
	})
}
