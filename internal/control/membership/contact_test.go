package membership

import (
	"slices"
	"testing"
	"time"
)

func TestProcessJoinsWithSomeSeedsDown(t *testing.T) {
	for _, down := range []int{1, 2} {
		sim := newSimulation(t, 3)
		seeds := sim.startAll(30, 8)
		sim.runUntil(20 * time.Second)
		for i := range down {
			sim.byAddr[seeds[i]].up = false
		}
		newcomer := sim.start(30, "proxy", 9000, seeds)
		begin := sim.now
		for !newcomer.Joined() && sim.now < begin+5*time.Second {
			sim.runFor(10 * time.Millisecond)
		}
		sim.runUntil(begin + 3*time.Second)
		live := 0
		for _, keeper := range newcomer.Keepers() {
			if sim.byAddr[keeper.Addr].up {
				live++
			}
		}
		if !newcomer.Joined() || live < 2 {
			t.Errorf("%d of 3 seeds down: joined %v, %d live keepers after 3 s", down, newcomer.Joined(), live)
		}
		sim.runFor(time.Minute)
		sim.expectConnected()
	}
}

func TestProcessJoinsWhenSeedsStartLater(t *testing.T) {
	sim := newSimulation(t, 4)
	seeds := []string{address(0), address(1), address(2)}
	p := sim.start(9, "proxy", 1, seeds)
	sim.runUntil(5 * time.Second)
	if sent := p.Stats().Sent; sent < 40 || sent > 75 {
		t.Errorf("%d datagrams to 3 seeds in 5 s, want about 50 (one per 300 ms and seed)", sent)
	}
	sim.runUntil(10 * time.Minute)
	before := p.Stats().Sent
	sim.runUntil(20 * time.Minute)
	if sent := p.Stats().Sent - before; sent > 3*10*60 || sent < 3*60 {
		t.Errorf("%d datagrams in 10 minutes to seeds that stay down", sent)
	}
	for i := range 3 {
		sim.start(i, RoleKeeper, 2, seeds)
	}
	sim.runFor(5 * time.Second)
	if !p.Joined() || len(p.Keepers()) != 3 {
		t.Errorf("after the seeds have started: joined %v, keepers %v", p.Joined(), p.Keepers())
	}
}

// TestSeedsAreReplaced changes the seeds many times, and checks that the newest always get requests and that the former
// ones are abandoned.
func TestSeedsAreReplaced(t *testing.T) {
	sim := newSimulation(t, 8)
	seedsOf := func(turn int) []string { return []string{address(10 + 2*turn), address(11 + 2*turn)} }
	p := sim.start(0, "proxy", 1, seedsOf(0))
	const turns = 20
	for turn := 1; turn < turns; turn++ {
		sim.runFor(time.Second)
		p.SetSeeds(sim.now, seedsOf(turn))
		for _, seed := range seedsOf(turn) {
			if !slices.ContainsFunc(p.contacts, func(known contact) bool { return known.addr == seed && known.seed }) {
				t.Fatalf("turn %d: %s is not a seed", turn, seed)
			}
		}
		if len(p.contacts) > maxContacts {
			t.Fatalf("turn %d: %d contacts", turn, len(p.contacts))
		}
	}
	last := seedsOf(turns - 1)
	for i := range last {
		sim.start(10+2*(turns-1)+i, RoleKeeper, 2, last)
	}
	sim.runFor(10 * time.Second)
	if !p.Joined() || len(p.Keepers()) != 2 {
		t.Errorf("joined %v, keepers %v", p.Joined(), p.Keepers())
	}
	sim.runFor(time.Hour)
	for _, known := range p.contacts {
		if known.seed != slices.Contains(last, known.addr) {
			t.Errorf("%s: seed %v", known.addr, known.seed)
		}
	}
}
