package reconfigure

import (
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

// replacedWhileAway has the voter that holds the duty cut off until another machine has its seat.
func replacedWhileAway(t *testing.T) (s *simulation, old *simMachine) {
	t.Helper()
	s = newSimulation(1, 3, 1)
	s.loss = 0
	s.after(time.Second, s.sendOrders)
	s.runUntil(simCatchUp)
	for _, m := range s.machines {
		if m.candidate.Holds(s.now) {
			old = m
		}
	}
	if old == nil {
		t.Fatal("nobody holds the duty")
	}
	old.cut = true
	joiner := s.addMachine()
	joiner.start()
	s.runUntil(s.now + simSilence + GiveUpAfter(simCatchUp) + time.Second)
	if !joiner.state.Has(joiner.id) || joiner.state.Has(old.id) {
		t.Fatalf("the voters are %v", joiner.state.Voters)
	}
	if !old.state.Has(old.id) {
		t.Fatal("the one that was cut off knows what it can't know")
	}
	return s, old
}

// TestFencedVoter: a voter that was replaced while it was away has its old state when it wakes. It decides nothing with
// that, its vote counts for nothing, and nobody who knows of its replacement grants it a lease.
func TestFencedVoter(t *testing.T) {
	t.Run("duty", func(t *testing.T) {
		s, old := replacedWhileAway(t)
		if old.candidate.Holds(s.now) {
			t.Error("it still holds the duty")
		}
		for _, m := range s.machines {
			if m != old && m.mayGrant(old.id) {
				t.Errorf("%s grants it a lease", m.name)
			}
		}
		old.cut = false
		s.runUntil(s.now + simTick)
		if old.candidate.Holds(s.now) {
			t.Error("it holds the duty again")
		}
		s.runUntil(s.now + simCatchUp)
		if !old.state.Has(old.id) {
			t.Error("it is no voter once it has caught up")
		}
	})
	t.Run("change of voters", func(t *testing.T) {
		s, old := replacedWhileAway(t)
		old.cut = false
		stale := old.state
		change := Change{Reason: GivenUp, Old: &stale.Voters[(indexOf(stale, old.id)+1)%3]}
		ended := false
		old.change(change, stale, simAck, func(err error) { ended = err == nil })
		s.runUntil(s.now + time.Second)
		if !ended {
			t.Fatal("it was not told that others vote")
		}
		for _, m := range s.machines {
			if m.known && len(m.state.Voters) < 3 {
				t.Errorf("%s knows a state with the voters %v", m.name, m.state.Voters)
			}
		}
	})
	t.Run("vote", func(t *testing.T) {
		// Of the three new voters two are lost, beyond what may be: the old one must not make a majority with the third.
		s, old := replacedWhileAway(t)
		newest := s.machines[len(s.machines)-1]
		for _, m := range s.machines {
			if m != old && m != newest {
				m.stop()
			}
		}
		old.cut = false
		s.runUntil(s.now + 100*time.Millisecond)
		decided := false
		newest.step(func() {
			newest.register.Propose(s.now, time.Second, func(current paxos.State) (paxos.State, error) { return current, nil },
				func(_ paxos.State, err error) { decided = decided || err == nil })
		})
		s.runUntil(s.now + 1500*time.Millisecond)
		if decided {
			t.Error("a majority was made with the vote of one that was replaced")
		}
	})
}

func indexOf(state paxos.State, id uint64) int {
	for i, voter := range state.Voters {
		if voter.ID == id {
			return i
		}
	}
	return -1
}
