package membership

import (
	"fmt"
	"testing"
	"time"
)

// keepersOf returns the number of keepers among n processes.
func keepersOf(n int) int { return min(8, (n+1)/2) }

func TestTrafficIsIndependentOfSize(t *testing.T) {
	sizes := []int{10, 30, 100, 300, 1000}
	if testing.Short() {
		sizes = sizes[:3]
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) { testTraffic(t, size) })
	}
}

// testTraffic checks the traffic of a process among n, and the time until all processes are reachable.
func testTraffic(t *testing.T, n int) {
	sim := newSimulation(t, uint64(n))
	sim.startAll(n, keepersOf(n))
	var allReachedAt time.Duration
	for sim.now < 20*time.Second {
		sim.runFor(100 * time.Millisecond)
		oneWay, _ := sim.reached()
		if allReachedAt == 0 && sim.now > 300*time.Millisecond && oneWay == n {
			allReachedAt = sim.now
		}
	}
	sim.expectConnected()

	before := make([]Stats, n)
	for i, p := range sim.processes {
		before[i] = p.Stats()
	}
	sim.runFor(time.Minute)
	sim.expectConnected()
	var sent, sentBytes, busiest float64
	oldest := 0
	for i, p := range sim.processes {
		stats := p.Stats()
		sent += float64(stats.Sent - before[i].Sent)
		sentBytes += float64(stats.SentBytes - before[i].SentBytes)
		busiest = max(busiest, float64(stats.Sent-before[i].Sent))
		for _, keeper := range p.Keepers() {
			oldest = max(oldest, int(keeper.Age))
		}
	}
	seconds := float64(n) * 60
	datagramRate, byteRate, busiestRate := sent/seconds, sentBytes/seconds, busiest/60
	t.Logf("%4d processes: all reached after %v; a process sends %.2f datagrams and %.0f bytes a second, the busiest "+
		"%.2f datagrams; largest %d bytes; every process knows %d keepers at least, oldest entry %d rounds",
		n, allReachedAt, datagramRate, byteRate, busiestRate, sim.largestDatagram, sim.fewestKeepers(), oldest)
	if datagramRate > 1.1 || byteRate > 1000 {
		t.Errorf("%d processes: %.2f datagrams, %.0f bytes a second: traffic must not grow with the number of processes", n, datagramRate, byteRate)
	}
	if busiestRate > 2.5 {
		t.Errorf("%d processes: the busiest sends %.2f datagrams a second", n, busiestRate)
	}
	if allReachedAt == 0 || allReachedAt > 10*time.Second {
		t.Errorf("%d processes: all reached after %v", n, allReachedAt)
	}
	if fewest := sim.fewestKeepers(); fewest < min(3, keepersOf(n)-1) {
		t.Errorf("%d processes: one knows only %d keepers", n, fewest)
	}
	if sim.largestDatagram >= 1200 {
		t.Errorf("largest datagram has %d bytes, want less than 1200", sim.largestDatagram)
	}
}

func TestNewProcessReachesOtherViews(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		if testing.Short() && n > 100 {
			continue
		}
		sim := newSimulation(t, uint64(n)+7)
		seeds := sim.startAll(n, keepersOf(n))
		sim.runUntil(30 * time.Second)
		begin := sim.now
		sim.start(n, "proxy", 5000, seeds)
		var reachedAfter, inFiveViewsAfter time.Duration
		for sim.now < begin+30*time.Second && inFiveViewsAfter == 0 {
			sim.runFor(50 * time.Millisecond)
			views := sim.viewsWith(address(n), 5000)
			if oneWay, _ := sim.reached(); reachedAfter == 0 && views >= 1 && oneWay == n+1 {
				reachedAfter = sim.now - begin
			}
			if inFiveViewsAfter == 0 && views >= 5 {
				inFiveViewsAfter = sim.now - begin
			}
		}
		t.Logf("%d processes: a new one is reachable from all after %v, in 5 views after %v", n, reachedAfter, inFiveViewsAfter)
		if reachedAfter == 0 || inFiveViewsAfter == 0 || reachedAfter > 2*time.Second || inFiveViewsAfter > 25*time.Second {
			t.Errorf("%d processes: a new one is reachable after %v, in 5 views after %v", n, reachedAfter, inFiveViewsAfter)
		}
	}
}

func TestViewsSurviveLossOfThirtyPercent(t *testing.T) {
	for seed := range uint64(5) {
		n := 300
		sim := newSimulation(t, seed)
		sim.startAll(n, 8)
		sim.runUntil(30 * time.Second)
		for _, i := range sim.rand.Perm(n)[:n*3/10] {
			sim.processes[i].up = false
		}
		oneWay, bothWays := sim.reached()
		sim.runFor(30 * time.Second)
		t.Logf("of %d left, %d are reachable immediately over directed views, %d over undirected; every process knows at least %d live keepers after 30 s",
			len(sim.up()), oneWay, bothWays, sim.fewestKeepers())
		if bothWays != len(sim.up()) {
			t.Errorf("the views are not connected: %d of %d", bothWays, len(sim.up()))
		}
		sim.expectConnected()
		if sim.fewestKeepers() < 1 {
			t.Error("a process knows no live keeper")
		}
	}
}

func TestOlderIncarnationIsNotReadmitted(t *testing.T) {
	sim := newSimulation(t, 5)
	seeds := sim.startAll(60, 8)
	sim.runUntil(20 * time.Second)
	for i := range 60 {
		if i%3 == 0 {
			sim.byAddr[address(i)].up = false
			role := sim.byAddr[address(i)].self.Role
			sim.after(2*time.Second, func() { sim.start(i, role, 100_000+uint64(i), seeds) })
		}
	}
	// A view that has had the new incarnation never contains the old one again.
	type observation struct{ observer, observed string }
	newer := map[observation]int{} // the observer's number of starts at that time
	for end := sim.now + time.Minute; sim.now < end; {
		sim.runFor(100 * time.Millisecond)
		for _, p := range sim.up() {
			for _, entry := range p.View() {
				key := observation{p.addr, entry.Addr}
				switch {
				case entry.Incarnation >= 100_000:
					newer[key] = p.starts
				case newer[key] == p.starts:
					t.Fatalf("%s: an older incarnation of %s is in the view again", p.addr, entry.Name)
				}
			}
		}
	}
	sim.expectConnected()
	for i := 0; i < 60; i += 3 {
		if sim.viewsWith(address(i), 100_000+uint64(i)) == 0 {
			t.Errorf("the new incarnation of %d is in no view", i)
		}
	}
}

func TestViewsReconnectAfterPartition(t *testing.T) {
	sim := newSimulation(t, 6)
	sim.startAll(40, 8)
	sim.runUntil(20 * time.Second)
	side := func(p *process) bool { return p.self.Incarnation%2 == 0 }
	sim.partitioned = func(a, b *process) bool { return side(a) != side(b) }
	sim.runFor(10 * time.Minute)
	if _, bothWays := sim.reached(); bothWays != 20 {
		t.Errorf("%d processes are reachable on one side of the partition, want 20", bothWays)
	}
	sim.partitioned = nil
	begin := sim.now
	for sim.now < begin+2*time.Minute {
		sim.runFor(time.Second)
		if oneWay, _ := sim.reached(); oneWay == len(sim.processes) {
			break
		}
	}
	t.Logf("after a partition of 10 minutes the views are connected in %v", sim.now-begin)
	if sim.now-begin > 70*time.Second {
		t.Errorf("the views of both sides are connected after %v", sim.now-begin)
	}
	sim.runFor(time.Minute)
	sim.expectConnected()
}

func TestPartitionedProcessRejoins(t *testing.T) {
	sim := newSimulation(t, 8)
	sim.startAll(40, 8)
	sim.runUntil(20 * time.Second)
	isolated := sim.processes[39]
	sim.partitioned = func(a, b *process) bool { return a == isolated || b == isolated }
	sim.runFor(5 * time.Minute)
	if len(isolated.Keepers()) == 0 {
		t.Error("the isolated process has no keepers left")
	}
	sim.partitioned = nil
	sim.runFor(5 * time.Second)
	if isolated.liveKeepers() == 0 || sim.viewsWith(isolated.addr, isolated.self.Incarnation) == 0 {
		t.Errorf("5 s after the partition the process knows %d live keepers and is in %d views",
			isolated.liveKeepers(), sim.viewsWith(isolated.addr, isolated.self.Incarnation))
	}
}
