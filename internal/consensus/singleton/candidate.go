package singleton

import (
	"time"

	"dunetide/internal/consensus/paxos"
)

const (
	// LeaseDuration is how long a granted lease is used, from before it was requested, on its holder's clock. The
	// difference to GrantDuration is more than monotonic clocks drift in that time.
	LeaseDuration = 1200 * time.Millisecond
	// RenewBefore is how long before its end a lease is requested again.
	RenewBefore = 700 * time.Millisecond
	// requestTimeout is how long a candidate waits for grants.
	requestTimeout = 300 * time.Millisecond
	// minBackoff is the least pause of a candidate after it has failed; a random part of up to twice that is added.
	minBackoff = 200 * time.Millisecond
)

// Action is what a Candidate's owner does after a step.
type Action uint8

const (
	// ActionNone asks for nothing.
	ActionNone Action = iota
	// ActionRequest asks to request grants from all voters, in the round that Step returned.
	ActionRequest
	// ActionRelease asks to release what voters have granted in that round.
	ActionRelease
)

// Candidate requests the lease of one role, and holds it while a majority of the voters has granted it.
type Candidate struct {
	rand func() float64

	// The round of requests under way, or the newest.
	round       uint64
	requestedAt time.Duration
	requesting  bool // the round waits for grants
	quorum      int
	maxRefusals int // how many voters may refuse a round that can still be granted
	granted     map[string]bool
	refused     map[string]bool

	until       time.Duration // of the lease; 0: none
	since       time.Duration // the lease was held without a break from then on
	nextRequest time.Duration
}

// NewCandidate returns a candidate without a lease; rand is in [0, 1).
func NewCandidate(rand func() float64) *Candidate { return &Candidate{rand: rand} }

// HasLease reports whether the holder may act in the role now. It is to be called right before each act.
func (c *Candidate) HasLease(now time.Duration) bool { return now < c.until }

// LeaseAge is for how long the lease has been held without a break; 0 without one.
func (c *Candidate) LeaseAge(now time.Duration) time.Duration {
	if !c.HasLease(now) {
		return 0
	}
	return now - c.since
}

// Step returns what to do now, and the round for it.
func (c *Candidate) Step(now time.Duration, voters int) (action Action, round uint64) {
	if c.until != 0 && now >= c.until {
		c.until = 0
	}
	if c.requesting && now-c.requestedAt >= requestTimeout {
		c.requesting = false
		if !c.HasLease(now) {
			c.backOff(now)
			return ActionRelease, c.round
		}
	}
	renewLater := c.HasLease(now) && c.until-now > RenewBefore
	if c.requesting || now < c.nextRequest || renewLater {
		return ActionNone, c.round
	}
	c.startRound(now, voters)
	return ActionRequest, c.round
}

// Stop ends the use of the lease and of grants that are under way.
func (c *Candidate) Stop() { c.until, c.requesting = 0, false }

// RecordRefusal notes that a voter has refused a round, or can't be reached. True: no majority can grant the round any
// more, and what was granted is to be released at once, as other candidates may request it.
func (c *Candidate) RecordRefusal(now time.Duration, round uint64, voter string) (release bool) {
	if round != c.round || !c.requesting || c.granted[voter] {
		return false
	}
	c.refused[voter] = true
	if len(c.refused) <= c.maxRefusals {
		return false
	}
	c.requesting = false
	if c.HasLease(now) {
		return false
	}
	c.backOff(now)
	return true
}

// RecordGrant notes a voter's grant of a round. The lease counts from the request, as nothing is known of when voters
// granted it.
func (c *Candidate) RecordGrant(now time.Duration, round uint64, voter string) {
	if round != c.round || !c.requesting {
		return
	}
	c.granted[voter] = true
	if len(c.granted) < c.quorum {
		return
	}
	c.requesting = false
	if !c.HasLease(now) {
		c.since = now
	}
	if until := c.requestedAt + LeaseDuration; until > now {
		c.until = until
	}
}

func (c *Candidate) startRound(now time.Duration, voters int) {
	c.round++
	c.requesting, c.requestedAt = true, now
	c.quorum = paxos.QuorumSize(voters)
	c.maxRefusals = voters - c.quorum
	c.granted, c.refused = map[string]bool{}, map[string]bool{}
}

// backOff has the next round wait, so that candidates don't keep each other out.
func (c *Candidate) backOff(now time.Duration) {
	c.nextRequest = now + minBackoff + time.Duration(c.rand()*float64(2*minBackoff))
}
