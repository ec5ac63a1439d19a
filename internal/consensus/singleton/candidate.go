package singleton

import (
	"time"

	"dunetide/internal/consensus/paxos"
)

const (
	// LeaseDuration is how long a holder uses a lease, on its own clock and counted from its request. It is shorter than
	// GrantDuration by more than monotonic clocks drift in that time.
	LeaseDuration = 1200 * time.Millisecond
	// RenewBefore is how long before the end of a lease its holder requests a renewal.
	RenewBefore = 700 * time.Millisecond
	// requestTimeout is how long a candidate waits for grants.
	requestTimeout = 300 * time.Millisecond
	// minBackoff is the minimum pause of a candidate after a failed round; a random time of up to twice that is added.
	minBackoff = 200 * time.Millisecond
)

// Action is what the owner of a Candidate has to do after a step.
type Action uint8

const (
	// ActionNone requires no action.
	ActionNone Action = iota
	// ActionRequest requires a request for a grant to all voters, in the round that Step returned.
	ActionRequest
	// ActionRelease requires the release of all grants of that round.
	ActionRelease
)

// Candidate requests the lease of one role, and holds it while a majority of the voters has granted it.
type Candidate struct {
	rand func() float64

	// The round of requests in progress, or else the latest one.
	round       uint64
	requestedAt time.Duration
	requesting  bool // the round waits for grants
	quorum      int
	maxRefusals int // number of refusals up to which the round can still reach a quorum
	granted     map[string]bool
	refused     map[string]bool

	until       time.Duration // end of the lease; 0: no lease
	nextRequest time.Duration
}

// NewCandidate returns a candidate without a lease; rand returns numbers in [0, 1).
func NewCandidate(rand func() float64) *Candidate { return &Candidate{rand: rand} }

// HasLease reports whether the candidate may act in the role now. Callers check it immediately before each act.
func (c *Candidate) HasLease(now time.Duration) bool { return now < c.until }

// Step returns the action to take now and the round that it applies to.
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

// Stop gives up the lease and ignores grants that are still in flight.
func (c *Candidate) Stop() { c.until, c.requesting = 0, false }

// RecordRefusal records that a voter has refused a round or is unreachable. It returns true if no majority can grant
// the round any more; its grants must then be released at once, since other candidates may be requesting them.
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

// RecordGrant records a voter's grant in a round. The lease counts from the request, because the voters may have
// granted it at any moment since then.
func (c *Candidate) RecordGrant(now time.Duration, round uint64, voter string) {
	if round != c.round || !c.requesting {
		return
	}
	c.granted[voter] = true
	if len(c.granted) < c.quorum {
		return
	}
	c.requesting = false
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

// backOff delays the next round by a random time, so that competing candidates don't block each other repeatedly.
func (c *Candidate) backOff(now time.Duration) {
	c.nextRequest = now + minBackoff + time.Duration(c.rand()*float64(2*minBackoff))
}
