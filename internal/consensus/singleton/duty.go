// Package duty has leases on singleton duties: who does one holds a lease that a majority of voters
// granted, and stops before it ends. It is stepped: it has no clock, no links and no goroutines. Nothing
// is on disk, as a voter that has just started grants nothing until what it may have granted before has
// ended. What a duty changes is fenced by other means (compare-and-swap on a register), so that one who
// was frozen in the middle of an act does no harm.
package singleton

import "time"

const (
	// Length is how long a grant lasts on a voter's clock.
	Length = 1500 * time.Millisecond
	// Use is how long a granted lease is used, from before it was asked for, on its holder's clock. The
	// difference is more than steady clocks drift in that time.
	Use = 1200 * time.Millisecond
	// Renew is how long before its end a lease is asked for again.
	Renew = 700 * time.Millisecond
	// askWait is how long a candidate waits for grants.
	askWait = 300 * time.Millisecond
	// backoff is the least and the spread of a candidate's pause after it has failed.
	backoff = 200 * time.Millisecond
)

// Grants are what one voter has granted.
type Grants struct {
	from time.Duration
	by   map[string]grant
}

type grant struct {
	holder string
	until  time.Duration
}

// NewGrants is a voter that starts now.
func NewGrants(now time.Duration) *Grants { return &Grants{from: now + Length, by: map[string]grant{}} }

// Ask grants a duty if nobody else has it.
func (g *Grants) Ask(now time.Duration, duty, holder string) bool {
	if now < g.from {
		return false
	}
	if has, there := g.by[duty]; there && has.holder != holder && now < has.until {
		return false
	}
	g.by[duty] = grant{holder, now + Length}
	return true
}

// Release takes a grant back that its holder does not use.
func (g *Grants) Release(duty, holder string) {
	if g.by[duty].holder == holder {
		delete(g.by, duty)
	}
}

// Holder tells who has a duty by this voter's word; "" for nobody.
func (g *Grants) Holder(now time.Duration, duty string) string {
	if has := g.by[duty]; now < has.until {
		return has.holder
	}
	return ""
}

// Candidate is one who would do a duty.
type Candidate struct {
	rand  func() float64
	round uint64
	asked time.Duration // when the round began
	open  bool          // the round waits for grants
	need  int
	// refusals is how many voters may refuse a round that can still be granted.
	refusals int
	got      map[string]bool
	refused  map[string]bool
	until    time.Duration // of the lease; 0: none
	since    time.Duration // of the lease held without a break
	next     time.Duration
}

// NewCandidate draws its pauses with rand, from 0 to 1.
func NewCandidate(rand func() float64) *Candidate { return &Candidate{rand: rand} }

// Holds tells whether the duty may be done now. It is to be asked right before each act.
func (c *Candidate) Holds(now time.Duration) bool { return now < c.until }

// Held is for how long the lease has been held without a break; 0 without one.
func (c *Candidate) Held(now time.Duration) time.Duration {
	if !c.Holds(now) {
		return 0
	}
	return now - c.since
}

// Step tells what to do now: ask all voters, in the round given, or release what they granted.
func (c *Candidate) Step(now time.Duration, voters int) (ask, release bool, round uint64) {
	if c.until != 0 && now >= c.until {
		c.until = 0
	}
	if c.open && now-c.asked >= askWait {
		c.open = false
		if !c.Holds(now) {
			c.pause(now)
			return false, true, c.round
		}
	}
	if c.open || now < c.next || c.Holds(now) && c.until-now > Renew {
		return false, false, c.round
	}
	c.round++
	c.open, c.asked, c.need, c.got, c.refused = true, now, voters/2+1, map[string]bool{}, map[string]bool{}
	c.refusals = voters - c.need
	return true, false, c.round
}

// Stop ends the use of the lease and of grants that are under way.
func (c *Candidate) Stop() { c.until, c.open = 0, false }

func (c *Candidate) pause(now time.Duration) {
	c.next = now + backoff + time.Duration(c.rand()*float64(2*backoff))
}

// Refused takes in that a voter has refused a round, or can't be asked. True: no majority can grant the round any more,
// and what was granted is to be released at once, as others may ask for it.
func (c *Candidate) Refused(now time.Duration, round uint64, voter string) (release bool) {
	if round != c.round || !c.open || c.got[voter] {
		return false
	}
	c.refused[voter] = true
	if len(c.refused) <= c.refusals {
		return false
	}
	c.open = false
	if c.Holds(now) {
		return false
	}
	c.pause(now)
	return true
}

// Granted takes a voter's grant of a round in.
func (c *Candidate) Granted(now time.Duration, round uint64, voter string) {
	if round != c.round || !c.open {
		return
	}
	c.got[voter] = true
	if len(c.got) < c.need {
		return
	}
	c.open = false
	if !c.Holds(now) {
		c.since = now
	}
	if until := c.asked + Use; until > now {
		c.until = until
	}
}
