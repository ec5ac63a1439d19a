package dispatch

import (
	"math"
	"slices"
	"time"

	"dunetide/internal/view"
)

// waiter is a request in the hold, or on its way through.
type waiter struct {
	r        *Request
	chains   []chain
	deadline Time
	due      Time
	giveUp   Time // refused then
	seq      uint64
	ranks    map[*endpoint]int // of listing
	listing  uint64
	grant    *run
	refused  *Refused
	done     func(*waiter) // called once, with grant or refused set
}

// acquire lets a request through, holds it or refuses it.
func (c *core) acquire(w *waiter) {
	p := c.pool(w.r.Service)
	if len(w.r.Prefix) > 0 {
		w.chains = chainOf(w.r.Model, w.r.Prefix)
	}
	if !c.mustWait(p, w) {
		if e, run := c.choose(p, w); e != nil {
			c.start(w, run)
			return
		}
	}
	if !w.r.Bulk {
		// A certificate may come or count again within the hold; another endpoint that was asked already doesn't.
		if w.r.Regime == "" && c.anyListed(p) && !slices.ContainsFunc(p.eps, func(e *endpoint) bool { return e.may(w) }) {
			c.refuse(p, w, "no endpoint is left to ask")
			return
		}
		wait := c.expectedWait(p, w)
		if c.now+wait >= w.giveUp && c.anyListed(p) || c.now >= w.giveUp {
			c.refuse(p, w, "no endpoint has room in time")
			return
		}
	}
	if c.held >= c.set.MostHeld {
		c.refuse(p, w, "the hold is full")
		return
	}
	i, _ := slices.BinarySearchFunc(p.hold, w, func(a, b *waiter) int { return before(a, b) })
	p.hold = slices.Insert(p.hold, i, w)
	c.held++
}

// before orders the hold: interactive by priority, then by deadline; then bulk by what falls due first.
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

func priority(r *Request) int {
	if r.Route == nil {
		return 0
	}
	return r.Route.Priority
}

// mustWait tells whether others wait that go first and may go wherever this one may.
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

// overlaps tells whether one that waits may go wherever another may, by its regime: else it has not to be waited for,
// as what it waits for may be of no use to the other.
func overlaps(h, w *waiter) bool { return h.r.Regime == "" || h.r.Regime == w.r.Regime }

// giveUp is how long a request is held: a share of its target, and twice that where an endpoint had a try.
func (c *core) giveUp(w *waiter, arrived Time) Time {
	hold := time.Duration(math.MaxInt64 / 4)
	if t := w.r.Route; t != nil && t.TargetMs > 0 {
		hold = time.Duration(c.set.HoldShare * float64(t.TargetMs) * float64(time.Millisecond))
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

func (c *core) refuse(p *pool, w *waiter, reason string) {
	wait := max(c.expectedWait(p, w), c.set.LeastRetry)
	wait = min(wait, max(0, w.deadline-c.now)/3)
	w.refused = &Refused{Reason: p.service + ": " + reason, RetryAfter: max(wait, 0)}
	if w.r.Regime != "" && reason != closing {
		w.refused.Reason, w.refused.Regime = noneCertified(w.r.Regime), w.r.Regime
	}
	w.done(w)
}

// expectedWait guesses how long until an endpoint has room for a request.
func (c *core) expectedWait(p *pool, w *waiter) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	slots := 0.0
	for _, e := range p.eps {
		if e.unlisted || e.state != view.Ready || !w.r.may(e.target.ID) {
			continue
		}
		wait := max(0, e.outTill-c.now, e.fullTill-c.now, e.roomAt(c)-c.now)
		soonest = min(soonest, wait)
		slots += float64(e.slots())
	}
	if slots == 0 {
		return c.set.LeastRetry
	}
	ahead := 0
	for _, h := range p.hold {
		if before(h, w) < 0 && overlaps(h, w) {
			ahead++
		}
	}
	// Of the slots that come free, this sender has its part.
	each := time.Duration(p.work.v * float64(time.Millisecond) * float64(c.senders) / slots)
	return soonest + time.Duration(ahead+1)*each
}

// serveAll goes through the holds after something has changed.
func (c *core) serveAll() {
	for _, p := range c.order {
		c.serve(p)
	}
}

// interactive tells whether interactive requests wait that may go wherever one may.
func interactive(all []failures, r *Request) bool {
	for _, f := range all {
		if !f.bulk && f.n > 0 && (f.regime == "" || f.regime == r.Regime) {
			return true
		}
	}
	return false
}

func (c *core) serve(p *pool) {
	if len(p.hold) == 0 {
		return
	}
	list := slices.Clone(p.hold)
	// Bulk that is overdue goes last: else all of it would be late once some is.
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
			if e, run := c.choose(p, w); e != nil {
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

func (c *core) overdue(w *waiter) int {
	if w.r.Bulk && c.now >= w.due {
		return 1
	}
	return 0
}

// withdraw takes a request out of the hold again. It tells whether it was there.
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

// wake is when to step again though nothing happens, if at all.
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
		for _, e := range p.eps {
			if e.unlisted || e.state != view.Ready {
				continue
			}
			next := max(e.outTill, e.fullTill, e.roomAt(c))
			if next <= c.now { // no clock opens it; what is told of others fades
				next = c.now + c.set.TrustLoad/10
			}
			soonest = min(soonest, next)
		}
		at = min(at, soonest)
	}
	return max(at, c.now+time.Millisecond), at != math.MaxInt64
}

// step lets time pass.
func (c *core) step() { c.serveAll() }

// first takes in that a run's first word came.
func (c *core) first(r *run, l Load) {
	if r.ended || r.told {
		return
	}
	r.told = true
	r.heard = l.Known
	e := r.e
	c.tell(e, l)
	took := float64(c.now-r.sent) / float64(time.Millisecond)
	e.slowness.add(min(max(took/max(r.expected, 0.5), 0.25), 4), 0.1)
	e.pool.lag(c.now, min(max(took-r.expected, -mostLag), mostLag), c.set.LagFades)
	if r.alone {
		e.pool.first.add(r.read, took)
	}
	c.serve(e.pool)
}
