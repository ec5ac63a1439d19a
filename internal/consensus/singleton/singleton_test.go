package singleton

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// cluster simulates nodes that are each a voter and a candidate.
type cluster struct {
	rng         *rand.Rand
	now         time.Duration
	granters    []*Granter
	candidates  []*Candidate
	clockOffset []time.Duration // of each node's clock
	frozenUntil []time.Duration // of each node
	partitioned func(from, to int) bool
	inFlight    []message
}

type message struct {
	at time.Duration
	do func()
}

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), partitioned: func(int, int) bool { return false }}
	for range n {
		offset := time.Duration(c.rng.Int64N(int64(time.Hour)))
		c.clockOffset = append(c.clockOffset, offset)
		c.granters = append(c.granters, NewGranter(offset))
		c.candidates = append(c.candidates, NewCandidate(c.rng.Float64))
		c.frozenUntil = append(c.frozenUntil, 0)
	}
	return c
}

func (c *cluster) send(from, to int, do func()) {
	if c.partitioned(from, to) || c.rng.IntN(20) == 0 {
		return
	}
	c.inFlight = append(c.inFlight, message{c.now + time.Duration(c.rng.IntN(60))*time.Millisecond, do})
}

func name(i int) string { return fmt.Sprint("n", i) }

func (c *cluster) step() {
	c.now += 10 * time.Millisecond
	flight := c.inFlight
	c.inFlight = nil
	for _, m := range flight {
		if m.at > c.now {
			c.inFlight = append(c.inFlight, m)
			continue
		}
		m.do()
	}
	for i, candidate := range c.candidates {
		if c.now < c.frozenUntil[i] {
			continue
		}
		action, round := candidate.Step(c.now+c.clockOffset[i], len(c.candidates))
		for j := range c.granters {
			if action == ActionRelease {
				c.send(i, j, func() { c.granters[j].Release("d", name(i)) })
			}
			if action != ActionRequest {
				continue
			}
			c.send(i, j, func() {
				if c.now < c.frozenUntil[j] || !c.granters[j].Grant(c.now+c.clockOffset[j], "d", name(i)) {
					return
				}
				c.send(j, i, func() {
					if c.now >= c.frozenUntil[i] {
						candidate.RecordGrant(c.now+c.clockOffset[i], round, name(j))
					}
				})
			})
		}
	}
}

func (c *cluster) leaseHolders() (holders []int) {
	for i, candidate := range c.candidates {
		if candidate.HasLease(c.now + c.clockOffset[i]) {
			holders = append(holders, i)
		}
	}
	return holders
}

func TestNoTwoLeaseHolders(t *testing.T) {
	for seed := range uint64(300) {
		n := []int{3, 4, 5, 8}[seed%4]
		c := newCluster(seed, n)
		cutLinks := map[[2]int]bool{}
		c.partitioned = func(a, b int) bool { return a != b && cutLinks[[2]int{a, b}] }
		for range 3000 {
			c.step()
			if h := c.leaseHolders(); len(h) > 1 {
				t.Fatalf("seed %d at %v: %v hold the lease at the same time", seed, c.now, h)
			}
			switch c.rng.IntN(150) {
			case 0: // a node restarts
				i := c.rng.IntN(n)
				c.granters[i], c.candidates[i] = NewGranter(c.now+c.clockOffset[i]), NewCandidate(c.rng.Float64)
			case 1:
				c.frozenUntil[c.rng.IntN(n)] = c.now + time.Duration(c.rng.IntN(4000))*time.Millisecond
			case 2:
				cutLinks[[2]int{c.rng.IntN(n), c.rng.IntN(n)}] = true
			case 3:
				clear(cutLinks)
			}
		}
	}
}

func TestLeaseIsGrantedSoonAndKept(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(seed, 3+int(seed%6))
		for c.now < 6*time.Second {
			c.step()
		}
		first := c.leaseHolders()
		if len(first) != 1 {
			t.Fatalf("seed %d: after %v %v hold the lease, want one holder", seed, c.now, first)
		}
		without := 0
		for range 1000 {
			c.step()
			if len(c.leaseHolders()) == 0 {
				without++
			}
		}
		if without > 100 {
			t.Errorf("seed %d: %d of 1,000 steps without a lease holder", seed, without)
		}
	}
}

func TestAnotherCandidateTakesOver(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(seed, 3+int(seed%6))
		for len(c.leaseHolders()) == 0 {
			c.step()
		}
		old := c.leaseHolders()[0]
		c.frozenUntil[old] = c.now + time.Hour
		at := c.now
		for c.now < at+10*time.Second && (len(c.leaseHolders()) == 0 || c.leaseHolders()[0] == old) {
			c.step()
		}
		if h := c.leaseHolders(); len(h) != 1 || h[0] == old {
			t.Errorf("seed %d: %v after the holder froze %v hold the lease", seed, c.now-at, h)
		}
	}
}

func TestRestartedVoterGrantsNothing(t *testing.T) {
	g := NewGranter(0)
	if g.Grant(GrantDuration-1, "d", "a") {
		t.Error("granted a lease while a grant from before the start may be valid")
	}
	if !g.Grant(GrantDuration, "d", "a") || g.Grant(GrantDuration+1, "d", "b") || !g.Grant(2*GrantDuration, "d", "b") {
		t.Error("want one holder at a time, until its grant expires")
	}
}

// A candidate that stops has no lease, even if grants are still in flight.
func TestStoppedCandidateHoldsNoLease(t *testing.T) {
	c := NewCandidate(func() float64 { return 0 })
	_, round := c.Step(0, 1)
	c.RecordGrant(1, round, "a")
	if !c.HasLease(2) {
		t.Fatal("no lease")
	}
	c.Stop()
	if c.HasLease(2) {
		t.Error("the candidate still has its lease after Stop")
	}
	action, round := c.Step(3, 2)
	if action != ActionRequest {
		t.Fatal("no new request")
	}
	c.RecordGrant(4, round, "a")
	c.Stop()
	c.RecordGrant(5, round, "b")
	if c.HasLease(6) {
		t.Error("a grant after Stop gave the candidate a lease")
	}
}

// A round ends as soon as no majority can grant it, so that it does not delay the rounds of other candidates.
func TestRefusedRoundEndsAtOnce(t *testing.T) {
	c := NewCandidate(func() float64 { return 0 })
	_, round := c.Step(0, 3)
	c.RecordGrant(1, round, "a")
	if c.RecordRefusal(2, round, "a") || c.RecordRefusal(2, round+1, "b") ||
		c.RecordRefusal(2, round, "b") || c.RecordRefusal(2, round, "b") {
		t.Error("a round ended that can still be granted")
	}
	if !c.RecordRefusal(3, round, "c") {
		t.Error("a round continues that can't be granted any more")
	}
	c.RecordGrant(4, round, "c")
	if c.HasLease(5) {
		t.Error("a grant in a round that has ended gave a lease")
	}
	if action, _ := c.Step(3+minBackoff-1, 3); action != ActionNone {
		t.Error("a new request before the end of the pause")
	}
	action, round := c.Step(3+minBackoff, 3)
	if action != ActionRequest {
		t.Fatal("no new request after the pause")
	}
	c.RecordGrant(3+minBackoff, round, "a")
	c.RecordGrant(3+minBackoff, round, "b")
	if !c.HasLease(3 + minBackoff) {
		t.Fatal("no lease")
	}
	_, round = c.Step(3+minBackoff+LeaseDuration-RenewBefore, 3)
	c.RecordRefusal(3+minBackoff+LeaseDuration-RenewBefore, round, "a")
	if c.RecordRefusal(3+minBackoff+LeaseDuration-RenewBefore, round, "b") {
		t.Error("a refused renewal releases the lease that is held")
	}
}
