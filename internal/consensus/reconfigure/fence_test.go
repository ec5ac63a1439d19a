package reconfigure

import (
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

// replacedWhilePartitioned partitions the lease holder until another machine has replaced it as a voter.
func replacedWhilePartitioned(t *testing.T) (c *cluster, old *machine) {
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
		t.Fatal("no machine holds the lease")
	}
	old.partitioned = true
	joiner := c.addMachine()
	joiner.start()
	c.RunUntil(c.Now() + linkTimeout + UnresponsiveTimeout(repairTime) + time.Second)
	if !joiner.state.HasVoter(joiner.id) || joiner.state.HasVoter(old.id) {
		t.Fatalf("the voters are %v", joiner.state.Voters)
	}
	if !old.state.HasVoter(old.id) {
		t.Fatal("the partitioned machine knows of its replacement")
	}
	return c, old
}

// A voter that was replaced while it was partitioned returns with its old state. It can't decide a change from that
// state, its vote does not count, and no voter that knows of its replacement grants it a lease.
func TestFencedVoter(t *testing.T) {
	t.Run("lease", func(t *testing.T) {
		c, old := replacedWhilePartitioned(t)
		if old.candidate.HasLease(c.Now()) {
			t.Error("the replaced voter still has the lease")
		}
		for _, m := range c.machines {
			if m != old && m.mayGrant(old.id) {
				t.Errorf("%s grants it a lease", m.name)
			}
		}
		old.partitioned = false
		c.RunUntil(c.Now() + keeperTick)
		if old.candidate.HasLease(c.Now()) {
			t.Error("the replaced voter has the lease again")
		}
		c.RunUntil(c.Now() + repairTime)
		if !old.state.HasVoter(old.id) {
			t.Error("the replaced voter is not added again after it has caught up")
		}
	})
	t.Run("change of voters", func(t *testing.T) {
		c, old := replacedWhilePartitioned(t)
		old.partitioned = false
		stale := old.state
		change := Change{Reason: ReasonUnresponsive, Old: &stale.Voters[(indexOf(stale, old.id)+1)%3]}
		ended := false
		old.change(change, stale, orderTimeout, func(err error) { ended = err == nil })
		c.RunUntil(c.Now() + time.Second)
		if !ended {
			t.Fatal("the stale change did not end as unchanged")
		}
		for _, m := range c.machines {
			if m.known && len(m.state.Voters) < 3 {
				t.Errorf("%s knows a state with the voters %v", m.name, m.state.Voters)
			}
		}
	})
	t.Run("vote", func(t *testing.T) {
		// Two of the three new voters are lost, more than maxFailures: the old voter and the third one must not make a
		// majority.
		c, old := replacedWhilePartitioned(t)
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
			t.Error("the vote of a replaced voter counted towards a majority")
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
