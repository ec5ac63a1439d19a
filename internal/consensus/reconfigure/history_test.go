package reconfigure

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// histories is how many a test plays: RECONFIGURE_HISTORIES, or what fits into a few seconds.
func histories(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("RECONFIGURE_HISTORIES")); err == nil {
		return n
	}
	return usual
}

// TestHistories plays drawn histories of losses, losses of disks, cuts, restarts, replacements and planned replacements
// within what may be lost, often at the first moment that is allowed. Checked are: one chain, nothing acknowledged is
// lost, orders are taken within the time for it in calm, and the voters are as many as they should be within the time
// that a repair may take. RECONFIGURE_SEED plays one history, and tells what happened.
func TestHistories(t *testing.T) {
	for _, c := range []struct{ machines, survive int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {8, 2}, {9, 2}} {
		t.Run(fmt.Sprintf("%d machines, %d lost", c.machines, c.survive), func(t *testing.T) {
			playHistories(t, histories(20), c.machines, c.survive)
		})
	}
}

func playHistories(t *testing.T, n, machines, survive int) {
	if seed, err := strconv.ParseUint(os.Getenv("RECONFIGURE_SEED"), 10, 64); err == nil {
		if failed := playHistory(seed, machines, survive, true); failed != "" {
			t.Error(failed)
		}
		return
	}
	var next, played atomic.Uint64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := next.Add(1); seed <= uint64(n) && !t.Failed(); seed = next.Add(1) {
				if failed := playHistory(seed, machines, survive, false); failed != "" {
					t.Error(failed)
				}
				played.Add(1)
			}
		})
	}
	group.Wait()
	t.Logf("%d histories played", played.Load())
}

// playHistory tells what failed; "": nothing.
func playHistory(seed uint64, machines, survive int, tracing bool) (failed string) {
	var s *simulation
	defer func() {
		if x := recover(); x != nil {
			f, ok := x.(failure)
			if !ok {
				panic(x)
			}
			failed = fmt.Sprintf("seed %d at %v: %s\n%s", seed, s.now, f, strings.Join(s.trace, "\n"))
		}
	}()
	s = newSimulation(seed, machines, survive)
	s.tracing = tracing
	s.after(time.Second, s.sendOrders)
	s.runUntil(simCatchUp + time.Duration(machines)*time.Second)
	s.checkVoters()
	for range 8 {
		s.trouble()
	}
	s.returnAll()
	s.runUntil(s.now + simCatchUp)
	s.checkVoters()
	s.runUntil(s.now + simInTouch + simAck)
	s.checkTaken()
	return ""
}

// TestHistoriesThatBroke plays the drawn histories that found faults, each of which is mended.
func TestHistoriesThatBroke(t *testing.T) {
	for _, c := range []struct {
		seed              uint64
		machines, survive int
	}{
		{335, 9, 2},  // candidates never caught up under a stream of orders
		{1761, 3, 1}, // two candidates for the duty kept each other out
		{8585, 3, 1}, // a keeper that had left became a voter again
	} {
		if failed := playHistory(c.seed, c.machines, c.survive, false); failed != "" {
			t.Error(failed)
		}
	}
}

// trouble draws one that is allowed now, and what passes until the next.
func (s *simulation) trouble() {
	kinds := []func(){s.loseOne, s.loseOne, s.loseOne, s.loseOne, s.replacePlanned, s.restart}
	kinds[s.rng.IntN(len(kinds))]()
	switch s.rng.IntN(4) {
	case 0: // at once
	case 1:
		s.runUntil(s.now + s.upTo(time.Second))
	default: // the first moment at which one more may be lost
		s.waitUntilFewerCount()
	}
}

func (s *simulation) counting() int {
	n := 0
	for _, m := range s.machines {
		if m.counts() {
			n++
		}
	}
	return n
}

// waitUntilFewerCount passes time until fewer machines count as lost than may be.
func (s *simulation) waitUntilFewerCount() {
	for end := s.now + time.Minute; s.counting() >= s.survive && s.now < end; {
		s.runUntil(s.now + 10*time.Millisecond)
	}
	if s.counting() == 0 && !s.anyLeaving() && s.now-s.lastLoss >= simCatchUp {
		s.checkVoters()
	}
}

// anyLeaving tells whether a machine hands over.
func (s *simulation) anyLeaving() bool {
	return slices.ContainsFunc(s.machines, func(m *simMachine) bool { return m.up && m.leaving })
}

// running is a machine that is connected and does not count as lost, drawn at random; nil: there is none.
func (s *simulation) running() *simMachine {
	var all []*simMachine
	for _, m := range s.machines {
		if m.connected() && !m.leaving && !m.counts() {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[s.rng.IntN(len(all))]
}

// troubled notes that something happens now.
func (s *simulation) troubled(format string, args ...any) {
	s.lastLoss = s.now
	s.note(format, args...)
}

// loseOne loses a machine in one of the ways there are, and has it or its successor come back.
func (s *simulation) loseOne() {
	m := s.running()
	if m == nil || s.counting() >= s.survive {
		return
	}
	away := s.upTo(6 * time.Second)
	switch s.rng.IntN(4) {
	case 0:
		s.troubled("%s is cut off for %v", m.name, away)
		m.cut = true
		s.after(away, func() {
			m.cut = false
			m.back()
		})
	case 1:
		s.troubled("%s is killed for %v", m.name, away)
		m.stop()
		s.after(away, func() { m.start(); m.back() })
	case 2:
		s.troubled("%s loses its disk, for %v", m.name, away)
		m.stop()
		m.emptyDisk()
		s.after(away, func() { m.start(); m.back() })
	case 3:
		s.troubled("%s is lost for good, its successor comes in %v", m.name, away)
		m.stop()
		s.after(away, func() {
			m.gone = true
			next := s.addMachine()
			next.start()
			next.back()
		})
	}
}

// back notes that a machine is back, or new.
func (m *simMachine) back() {
	m.s.troubled("%s is there", m.name)
	m.lostUntil = m.s.now + simCatchUp
}

// replacePlanned starts a machine and, once that stopped counting as lost or at any moment before, ends another one.
func (s *simulation) replacePlanned() {
	if s.counting() >= s.survive {
		return
	}
	next := s.addMachine()
	next.start()
	next.back()
	wait := simCatchUp
	if s.rng.IntN(3) == 0 {
		wait = time.Second + s.upTo(simCatchUp-time.Second)
	}
	s.runUntil(s.now + wait)
	m := s.running()
	if m == nil || m == next {
		return
	}
	s.troubled("%s is replaced by %s", m.name, next.name)
	m.terminate(func() {
		m.gone = true
		s.troubled("%s has ended", m.name)
	})
	if s.rng.IntN(2) == 0 {
		s.runUntil(s.now + s.upTo(simHandOver))
	}
}

// restart is SIGTERM to a machine that comes back at once.
func (s *simulation) restart() {
	m := s.running()
	if m == nil || s.counting() >= s.survive {
		return
	}
	s.troubled("%s is restarted", m.name)
	m.lostUntil = s.now + time.Hour
	away := s.upTo(time.Second)
	m.terminate(func() { s.after(away, func() { m.start(); m.back() }) })
}

// returnAll waits until nothing counts as lost but what is new.
func (s *simulation) returnAll() {
	for end := s.now + time.Minute; s.now < end; s.runUntil(s.now + 10*time.Millisecond) {
		away := slices.ContainsFunc(s.machines, func(m *simMachine) bool { return !m.gone && (!m.connected() || m.leaving) })
		if !away {
			return
		}
	}
	s.fail("a machine stays away")
}

// checkVoters checks that the voters are all machines that are there, and no others.
func (s *simulation) checkVoters() {
	var newest *simMachine
	wanted := 0
	for _, m := range s.machines {
		if m.gone || m.leaving {
			continue
		}
		wanted++
		if newest == nil || m.stored() > newest.stored() {
			newest = m
		}
	}
	state := newest.state
	connected := 0
	for _, voter := range state.Voters {
		if slices.ContainsFunc(s.machines, func(m *simMachine) bool { return m.connected() && m.id == voter.ID }) {
			connected++
		}
	}
	if connected != len(state.Voters) || connected != min(wanted, 9) {
		s.fail("%d of %d voters are connected, and %d machines are there: %v", connected, len(state.Voters), wanted, state.Voters)
	}
}
