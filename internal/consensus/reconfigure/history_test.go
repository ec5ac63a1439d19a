package reconfigure

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/lab/simulation"
)

// historyCount returns how many histories a test plays: RECONFIGURE_HISTORIES, or a default that takes a few seconds.
func historyCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("RECONFIGURE_HISTORIES")); err == nil {
		return n
	}
	return defaultCount
}

// TestHistories plays randomized histories of crashes, disk losses, partitions, restarts, replacements and planned
// replacements with at most maxFailures losses at a time, often with the next fault as soon as one is allowed. It
// checks that all slots form one chain, that no acknowledged order is lost, that orders are accepted within
// orderTimeout while there are no faults, and that all machines are voters again within repairTime. RECONFIGURE_SEED
// plays a single history and prints its trace.
func TestHistories(t *testing.T) {
	for _, c := range []struct{ machines, maxFailures int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {8, 2}, {9, 2}} {
		t.Run(fmt.Sprintf("%d machines, %d lost", c.machines, c.maxFailures), func(t *testing.T) {
			playHistories(t, historyCount(20), c.machines, c.maxFailures)
		})
	}
}

func playHistories(t *testing.T, n, machines, maxFailures int) {
	t.Helper()
	if seed, err := strconv.ParseUint(os.Getenv("RECONFIGURE_SEED"), 10, 64); err == nil {
		if failed := playHistory(seed, machines, maxFailures, true); failed != "" {
			t.Error(failed)
		}
		return
	}
	var played atomic.Uint64
	simulation.EachSeed(uint64(n), func() bool { return !t.Failed() }, func(seed uint64) {
		if failed := playHistory(seed, machines, maxFailures, false); failed != "" {
			t.Error(failed)
		}
		played.Add(1)
	})
	t.Logf("%d histories played", played.Load())
}

// playHistory plays one history and returns the violation found, or "".
func playHistory(seed uint64, machines, maxFailures int, tracing bool) (failed string) {
	var c *cluster
	found := simulation.Play(func() {
		c = newCluster(seed, machines, maxFailures)
		c.trace.Enabled = tracing
		c.After(time.Second, c.sendOrders)
		c.RunUntil(repairTime + time.Duration(machines)*time.Second)
		c.checkVoters()
		for range 8 {
			c.injectRandomFault()
		}
		c.returnAll()
		c.RunUntil(c.Now() + repairTime)
		c.checkVoters()
		c.RunUntil(c.Now() + contactTime + orderTimeout)
		c.checkOrders()
	})
	if found == "" {
		return ""
	}
	return fmt.Sprintf("seed %d at %v: %s\n%s", seed, c.Now(), found, c.trace.String())
}

// TestHistoriesOfFixedFaults plays histories that each reproduced a fault that has been fixed.
func TestHistoriesOfFixedFaults(t *testing.T) {
	for _, c := range []struct {
		seed                  uint64
		machines, maxFailures int
	}{
		{335, 9, 2},  // candidates never caught up under a stream of orders
		{1761, 3, 1}, // two candidates for the lease blocked each other
		{8585, 3, 1}, // a keeper that had left became a voter again
	} {
		if failed := playHistory(c.seed, c.machines, c.maxFailures, false); failed != "" {
			t.Error(failed)
		}
	}
}

// injectRandomFault injects a random fault if one is allowed now, and runs until a random time for the next one.
func (c *cluster) injectRandomFault() {
	kinds := []func(){c.loseOne, c.loseOne, c.loseOne, c.loseOne, c.replacePlanned, c.restart}
	kinds[c.rng.IntN(len(kinds))]()
	switch c.rng.IntN(4) {
	case 0: // at once
	case 1:
		c.RunUntil(c.Now() + c.upTo(time.Second))
	default: // the first moment at which one more machine may be lost
		c.waitUntilOneMoreMayBeLost()
	}
}

func (c *cluster) countedLosses() int {
	n := 0
	for _, m := range c.machines {
		if m.countsAsLost() {
			n++
		}
	}
	return n
}

// waitUntilOneMoreMayBeLost runs until fewer than maxFailures machines count as lost.
func (c *cluster) waitUntilOneMoreMayBeLost() {
	for end := c.Now() + time.Minute; c.countedLosses() >= c.maxFailures && c.Now() < end; {
		c.RunUntil(c.Now() + 10*time.Millisecond)
	}
	if c.countedLosses() == 0 && !c.anyLeaving() && c.Now()-c.lastFault >= repairTime {
		c.checkVoters()
	}
}

// anyLeaving reports whether a machine is shutting down.
func (c *cluster) anyLeaving() bool {
	return slices.ContainsFunc(c.machines, func(m *machine) bool { return m.up && m.leaving })
}

// randomRunning returns a random machine that is connected, is not leaving and does not count as lost; nil if there is
// none.
func (c *cluster) randomRunning() *machine {
	var all []*machine
	for _, m := range c.machines {
		if m.connected() && !m.leaving && !m.countsAsLost() {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[c.rng.IntN(len(all))]
}

// recordFault records the time of a fault, a return, a start or an end, and traces it.
func (c *cluster) recordFault(format string, args ...any) {
	c.lastFault = c.Now()
	c.tracef(format, args...)
}

// loseOne loses a machine by a random kind of fault, and schedules its return or that of its replacement.
func (c *cluster) loseOne() {
	m := c.randomRunning()
	if m == nil || c.countedLosses() >= c.maxFailures {
		return
	}
	downtime := c.upTo(6 * time.Second)
	switch c.rng.IntN(4) {
	case 0:
		c.recordFault("%s is partitioned for %v", m.name, downtime)
		m.partitioned = true
		c.After(downtime, func() {
			m.partitioned = false
			m.recordReturn()
		})
	case 1:
		c.recordFault("%s is killed and down for %v", m.name, downtime)
		m.stop()
		c.After(downtime, func() { m.start(); m.recordReturn() })
	case 2:
		c.recordFault("%s loses its disk and is down for %v", m.name, downtime)
		m.stop()
		m.emptyDisk()
		c.After(downtime, func() { m.start(); m.recordReturn() })
	case 3:
		c.recordFault("%s is lost permanently, its replacement starts in %v", m.name, downtime)
		m.stop()
		c.After(downtime, func() {
			m.removed = true
			next := c.addMachine()
			next.start()
			next.recordReturn()
		})
	}
}

// recordReturn records that a machine has returned or is new: it counts as lost for repairTime.
func (m *machine) recordReturn() {
	m.cluster.recordFault("%s is up", m.name)
	m.lostUntil = m.cluster.Now() + repairTime
}

// replacePlanned starts a machine and terminates another one, either once the new one no longer counts as lost or at a
// random time before.
func (c *cluster) replacePlanned() {
	if c.countedLosses() >= c.maxFailures {
		return
	}
	next := c.addMachine()
	next.start()
	next.recordReturn()
	wait := repairTime
	if c.rng.IntN(3) == 0 {
		wait = time.Second + c.upTo(repairTime-time.Second)
	}
	c.RunUntil(c.Now() + wait)
	m := c.randomRunning()
	if m == nil || m == next {
		return
	}
	c.recordFault("%s is replaced by %s", m.name, next.name)
	m.terminate(func() {
		m.removed = true
		c.recordFault("%s has ended", m.name)
	})
	if c.rng.IntN(2) == 0 {
		c.RunUntil(c.Now() + c.upTo(leaveTimeout))
	}
}

// restart terminates a machine and starts it again up to a second later.
func (c *cluster) restart() {
	m := c.randomRunning()
	if m == nil || c.countedLosses() >= c.maxFailures {
		return
	}
	c.recordFault("%s is restarted", m.name)
	m.lostUntil = c.Now() + time.Hour
	downtime := c.upTo(time.Second)
	m.terminate(func() { c.After(downtime, func() { m.start(); m.recordReturn() }) })
}

// returnAll runs until all machines have returned.
func (c *cluster) returnAll() {
	for end := c.Now() + time.Minute; c.Now() < end; c.RunUntil(c.Now() + 10*time.Millisecond) {
		missing := slices.ContainsFunc(c.machines, func(m *machine) bool {
			return !m.removed && (!m.connected() || m.leaving)
		})
		if !missing {
			return
		}
	}
	simulation.Failf("a machine did not return within a minute")
}

// checkVoters checks that the voters are exactly the running machines, up to the limit of nine.
func (c *cluster) checkVoters() {
	var newest *machine
	wanted := 0
	for _, m := range c.machines {
		if m.removed || m.leaving {
			continue
		}
		wanted++
		if newest == nil || m.nextSlot() > newest.nextSlot() {
			newest = m
		}
	}
	state := newest.state
	connected := 0
	for _, voter := range state.Voters {
		if slices.ContainsFunc(c.machines, func(m *machine) bool { return m.connected() && m.id == voter.ID }) {
			connected++
		}
	}
	if connected != len(state.Voters) || connected != min(wanted, 9) {
		simulation.Failf("%d of %d voters are connected, want all of %d machines up to the limit: %v",
			connected, len(state.Voters), wanted, state.Voters)
	}
}
