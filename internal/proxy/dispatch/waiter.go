package dispatch

import (
	"math"
	"slices"
	"time"

	"dunetide/internal/control/snapshot"
)

// waiter is a request that waits in the hold of its pool, or is being decided on.
type waiter struct {
	r        *Request
	chains   []chain
	deadline Time
	due      Time
	giveUp   Time // when it is refused
	seq      uint64
	homes    []*endpoint // computed for the snapshot listing
	listing  uint64
	confined bool // a sound endpoint of the subset may serve it
	grant    *run
	refused  *Refused
	done     func(*waiter) // called once, with grant or refused set
}

// acquire grants a run to a request, holds it, or refuses it.
func (c *core) acquire(w *waiter) {
	p := c.pool(w.r.Service)
	if len(w.r.Prefix) > 0 {
		w.chains = chainOf(w.r.Model, w.r.Prefix)
	}
	if !c.mustWait(p, w) {
		if run := c.choose(p, w); run != nil {
			c.start(w, run)
			return
		}
	}
	if !w.r.Bulk {
		// A certificate may become valid while the request waits, but an endpoint that it must avoid stays excluded.
		if w.r.Regime == "" && c.anyListed(p) && !slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.may(w) }) {
			c.refuse(p, w, "no endpoint is left to ask")
			return
		}
		wait := c.expectedWait(p, w)
		if c.now+wait >= w.giveUp && c.anyListed(p) || c.now >= w.giveUp {
			c.refuse(p, w, "no endpoint has room in time")
			return
		}
	}
	if c.held >= c.settings.MostHeld {
		c.refuse(p, w, "the hold is full")
		return
	}
	i, _ := slices.BinarySearchFunc(p.hold, w, func(a, b *waiter) int { return before(a, b) })
	p.hold = slices.Insert(p.hold, i, w)
	c.held++
}

// before compares the places of two requests in the hold: first interactive ones by priority and deadline, then bulk by
// due time. It returns a negative number if a goes first.
func before(a, b *waiter) int {
	switch {
	case a.r.Bulk != b.r.Bulk:
		if b.r.Bulk {
			return -1
		}
		return 1
	case !a.r.Bulk && priority(a.r) != priority(b.r):
		return priority(a.r) - priority(b.r)
	}
	x, y := a.deadline, b.deadline
	if a.r.Bulk {
		x, y = a.due, b.due
	}
	switch {
	case x != y:
		if x < y {
			return -1
		}
		return 1
	case a.seq < b.seq:
		return -1
	case a.seq > b.seq:
		return 1
	}
	return 0
}

// priority returns the priority of a request. Lower numbers are more urgent.
func priority(r *Request) int {
	if r.Route == nil {
		return 0
	}
	return r.Route.Priority
}

// mustWait reports whether a request that goes first waits for the same endpoints.
func (c *core) mustWait(p *pool, w *waiter) bool {
	for _, h := range p.hold {
		if before(h, w) > 0 {
			return false
		}
		if !overlaps(h, w) {
			continue
		}
		if w.r.Bulk && !h.r.Bulk {
			if c.pressing(w) {
				continue
			}
			return true
		}
		if len(h.r.Avoid) == 0 && h.r.Model == w.r.Model {
			return true
		}
	}
	return false
}

// overlaps reports whether a waiting request may go, by its regime, to all endpoints that another one may go to. If not,
// the other one need not wait for it, because it may wait for endpoints that the other one cannot use.
func overlaps(h, w *waiter) bool { return h.r.Regime == "" || h.r.Regime == w.r.Regime }

// giveUp returns when a request is refused if it still waits: after a share of its route's target, or twice that if an
// endpoint was tried before, and at its deadline at the latest.
func (c *core) giveUp(w *waiter, arrived Time) Time {
	hold := time.Duration(math.MaxInt64 / 4)
	if t := w.r.Route; t != nil && t.LatencyTargetMs > 0 {
		hold = time.Duration(c.settings.HoldShare * float64(t.LatencyTargetMs) * float64(time.Millisecond))
	}
	if len(w.r.Avoid) > 0 {
		hold *= 2
	}
	if arrived == 0 {
		arrived = c.now
	}
	if w.r.Bulk && w.due == 0 {
		w.due = math.MaxInt64 / 4
	}
	if w.deadline == 0 {
		w.deadline = arrived + math.MaxInt64/4
	}
	return min(w.deadline, arrived+hold)
}

// refuse refuses a request for a reason and says when to retry.
func (c *core) refuse(p *pool, w *waiter, reason string) {
	wait := max(c.expectedWait(p, w), c.settings.LeastRetry)
	wait = min(wait, max(0, w.deadline-c.now)/3)
	w.refused = &Refused{Reason: p.service + ": " + reason, RetryAfter: max(wait, 0)}
	if w.r.Regime != "" && reason != closing {
		w.refused.Reason, w.refused.Regime = noneCertified(w.r.Regime), w.r.Regime
	}
	w.done(w)
}

// expectedWait estimates the time until an endpoint has room for a request.
func (c *core) expectedWait(p *pool, w *waiter) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	slots := 0.0
	for _, e := range p.endpoints {
		if e.unlisted || e.state != snapshot.Ready || !w.r.may(e.target.ID) {
			continue
		}
		wait := max(0, e.ejectedUntil-c.now, e.fullTill-c.now, e.roomAt(c)-c.now)
		soonest = min(soonest, wait)
		slots += float64(e.slots())
	}
	if slots == 0 {
		return c.settings.LeastRetry
	}
	ahead := 0
	for _, h := range p.hold {
		if before(h, w) < 0 && overlaps(h, w) {
			ahead++
		}
	}
	// Of the slots that become free, each sender gets an equal part.
	each := time.Duration(p.work.v * float64(time.Millisecond) * float64(c.senders) / slots)
	return soonest + time.Duration(ahead+1)*each
}

// serveAll serves the holds of all pools after a change.
func (c *core) serveAll() {
	for _, p := range c.order {
		c.serve(p)
	}
}

// interactive reports whether interactive requests found no room that may go to all endpoints of a request.
func interactive(all []failures, r *Request) bool {
	for _, f := range all {
		if !f.bulk && f.n > 0 && (f.regime == "" || f.regime == r.Regime) {
			return true
		}
	}
	return false
}

// serve goes through the hold of a pool, and starts the requests that have room and refuses those that have waited for
// too long.
func (c *core) serve(p *pool) {
	if len(p.hold) == 0 {
		return
	}
	list := slices.Clone(p.hold)
	// Overdue bulk goes last. Otherwise all bulk would be late once some is.
	slices.SortStableFunc(list, func(a, b *waiter) int { return c.overdue(a) - c.overdue(b) })
	gone := false
	var few [4]failures
	all := few[:0]
	for _, w := range list {
		if !w.r.Bulk && c.now >= w.giveUp {
			c.refuse(p, w, "no endpoint had room in time")
			gone = true
			continue
		}
		n := failuresOf(&all, w.r)
		if *n < mostFailures && (!w.r.Bulk || !interactive(all, w.r) || c.pressing(w)) {
			if run := c.choose(p, w); run != nil {
				c.start(w, run)
				gone = true
				continue
			}
			*n++
		}
	}
	if gone {
		was := len(p.hold)
		p.hold = slices.DeleteFunc(p.hold, func(w *waiter) bool { return w.grant != nil || w.refused != nil })
		c.held -= was - len(p.hold)
	}
}

// overdue returns 1 for a bulk request whose due time has passed, else 0.
func (c *core) overdue(w *waiter) int {
	if w.r.Bulk && c.now >= w.due {
		return 1
	}
	return 0
}

// withdraw removes a request from the hold and reports whether it was there.
func (c *core) withdraw(w *waiter) bool {
	p := c.pools[w.r.Service]
	if p == nil || w.grant != nil || w.refused != nil {
		return false
	}
	i := slices.Index(p.hold, w)
	if i < 0 {
		return false
	}
	p.hold = slices.Delete(p.hold, i, i+1)
	c.held--
	return true
}

// wake returns when step must be called even if nothing happens, and false if it need not be.
func (c *core) wake() (Time, bool) {
	at := Time(math.MaxInt64)
	for _, p := range c.order {
		if len(p.hold) == 0 {
			continue
		}
		for _, w := range p.hold {
			if !w.r.Bulk {
				at = min(at, w.giveUp)
			}
		}
		soonest := Time(math.MaxInt64)
		for _, e := range p.endpoints {
			if e.unlisted || e.state != snapshot.Ready {
				continue
			}
			next := max(e.ejectedUntil, e.fullTill, e.roomAt(c))
			if next <= c.now { // it is full by its load, of which the part of others fades
				next = c.now + c.settings.TrustLoad/10
			}
			soonest = min(soonest, next)
		}
		at = min(at, soonest)
	}
	return max(at, c.now+time.Millisecond), at != math.MaxInt64
}

// step applies the passing of time.
func (c *core) step() { c.serveAll() }

// first records that the first word of a run came, with a load.
func (c *core) first(r *run, l Load) {
	if r.ended || r.told {
		return
	}
	r.told = true
	r.heard = l.Known
	e := r.endpoint
	e.answered = true
	c.tell(e, l)
	took := float64(c.now-r.sent) / float64(time.Millisecond)
	e.slowness.add(min(max(took/max(r.expected, 0.5), 0.25), 4), 0.1)
	e.pool.lag(c.now, min(max(took-r.expected, -mostLag), mostLag), c.settings.LagFades)
	queued := l.Known && 2*l.Running > l.Slots // by requests of others of which this sender did not know
	if r.alone && !queued {
		e.pool.first.addBounded(r.read, took)
	}
	c.serve(e.pool)
}
