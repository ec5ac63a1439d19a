package reconfigure

import (
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

// replacedWhileAway partitions the lease holder until another machine has replaced it as a voter.
func replacedWhileAway(t *testing.T) (c *cluster, old *machine) {
	t.Helper()
	c = newCluster(1, 3, 1)
	c.loss = 0
	c.After(time.Second, c.sendOrders)
	c.RunUntil(repairTime)
	for _, m := range c.machines {
		if m.candidate.HasLease(c.Now()) {
			old = m
		}
	}
	if old == nil {
		t.Fatal("nobody has the lease")
	}
	old.partitioned = true
	joiner := c.addMachine()
	joiner.start()
	c.RunUntil(c.Now() + linkTimeout + UnresponsiveTimeout(repairTime) + time.Second)
	if !joiner.state.HasVoter(joiner.id) || joiner.state.HasVoter(old.id) {
		t.Fatalf("the voters are %v", joiner.state.Voters)
	}
	if !old.state.HasVoter(old.id) {
		t.Fatal("the one that was partitioned knows what it can't know")
	}
	return c, old
}

// A voter that was replaced while it was partitioned comes back with its old state. It decides nothing with that, its vote
// does not count, and no voter that knows of its replacement grants it a lease.
func TestFencedVoter(t *testing.T) {
	t.Run("lease", func(t *testing.T) {
		c, old := replacedWhileAway(t)
		if old.candidate.HasLease(c.Now()) {
			t.Error("it still has the lease")
		}
		for _, m := range c.machines {
			if m != old && m.mayGrant(old.id) {
				t.Errorf("%s grants it a lease", m.name)
			}
		}
		old.partitioned = false
		c.RunUntil(c.Now() + keeperTick)
		if old.candidate.HasLease(c.Now()) {
			t.Error("it has the lease again")
		}
		c.RunUntil(c.Now() + repairTime)
		if !old.state.HasVoter(old.id) {
			t.Error("it is no voter once it has caught up")
		}
	})
	t.Run("change of voters", func(t *testing.T) {
		c, old := replacedWhileAway(t)
		old.partitioned = false
		stale := old.state
		change := Change{Reason: ReasonUnresponsive, Old: &stale.Voters[(indexOf(stale, old.id)+1)%3]}
		ended := false
		old.change(change, stale, orderTimeout, func(err error) { ended = err == nil })
		c.RunUntil(c.Now() + time.Second)
		if !ended {
			t.Fatal("it was not notified that others vote")
		}
		for _, m := range c.machines {
			if m.known && len(m.state.Voters) < 3 {
				t.Errorf("%s knows a state with the voters %v", m.name, m.state.Voters)
			}
		}
	})
	t.Run("vote", func(t *testing.T) {
		// Of the three new voters two are lost, beyond what may be: the old one must not make a majority with the third.
		c, old := replacedWhileAway(t)
		newest := c.machines[len(c.machines)-1]
		for _, m := range c.machines {
			if m != old && m != newest {
				m.stop()
			}
		}
		old.partitioned = false
		c.RunUntil(c.Now() + 100*time.Millisecond)
		decided := false
		newest.step(func() {
			newest.register.Propose(c.Now(), time.Second, func(current paxos.State) (paxos.State, error) { return current, nil },
				func(_ paxos.State, err error) { decided = decided || err == nil })
		})
		c.RunUntil(c.Now() + 1500*time.Millisecond)
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
