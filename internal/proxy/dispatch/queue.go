package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waiter is a request that is pending in the queue of its pool, or for which a decision is being made.
type waiter struct {
	request       *Request
	prefixHashes  []prefixHash // of the prompt's parts
	deadline      Time
	due           Time
	refuseAt      Time        // when it is refused if it is still pending
	sequence      uint64      // in the order of arrival
	preferred     []*endpoint // for the prompt's prefix
	preferredAsOf uint64      // the snapshot for which the preferred endpoints were computed
	subsetServes  bool        // a healthy endpoint of the subset may serve it
	certified     []string    // for a request with a regime: ids of the endpoints that were certified at the newest choice

	// decided is called once, when either granted or refused is set.
	granted *run
	refused *RefusedError
	decided func(*waiter)
}

// compareUrgency compares the positions of two requests in a queue and returns a negative number if a
// goes first. Interactive requests precede bulk. They go by the priority of their tenant, then of
// their route, then by deadline; bulk goes by due time. The order is total: ties go by arrival.
func compareUrgency(a, b *waiter) int {
	if a.request.Bulk != b.request.Bulk {
		if a.request.Bulk {
			return 1
		}
		return -1
	}
	if a.request.Bulk {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.sequence, b.sequence))
	}
	return cmp.Or(
		cmp.Compare(a.request.TenantPriority, b.request.TenantPriority),
		cmp.Compare(routePriority(a.request), routePriority(b.request)),
		cmp.Compare(a.deadline, b.deadline),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// routePriority returns the priority of a request's route. Lower numbers are more urgent.
func routePriority(r *Request) int {
	if r.Route == nil {
		return 0
	}
	return r.Route.Priority
}

// mustWait reports whether a more urgent request is pending for the same endpoints.
func (c *core) mustWait(p *pool, w *waiter) bool {
	for _, first := range p.queue {
		if compareUrgency(first, w) > 0 {
			return false
		}
		if !overlaps(first, w) {
			continue
		}
		if w.request.Bulk && !first.request.Bulk {
			if c.nearDue(w) {
				continue
			}
			return true
		}
		if len(first.request.Avoid) == 0 && first.request.Model == w.request.Model {
			return true
		}
	}
	return false
}

// overlaps reports whether the regime of a pending request allows it all endpoints that another
// request may use. If not, the other one need not wait for it, because the pending one may be
// waiting for certified endpoints while others have capacity.
func overlaps(pending, other *waiter) bool {
	return pending.request.Regime == "" || pending.request.Regime == other.request.Regime
}

// enqueue adds a request to the queue of its pool.
func (c *core) enqueue(p *pool, w *waiter) {
	i, _ := slices.BinarySearchFunc(p.queue, w, compareUrgency)
	p.queue = slices.Insert(p.queue, i, w)
	c.queued++
}

// dequeue removes a request from its queue and reports whether it was there.
func (c *core) dequeue(w *waiter) bool {
	p := c.pools[w.request.Service]
	if p == nil || w.granted != nil || w.refused != nil {
		return false
	}
	i := slices.Index(p.queue, w)
	if i < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, i, i+1)
	c.queued--
	return true
}

// serveAllQueues serves the queues of all pools after a change.
func (c *core) serveAllQueues() {
	for _, p := range c.poolOrder {
		c.serveQueue(p)
	}
}

// serveQueue goes through the queue of a pool, starts the requests for which an endpoint has
// capacity and refuses those that have waited for too long.
func (c *core) serveQueue(p *pool) {
	if len(p.queue) == 0 {
		return
	}
	pending := slices.Clone(p.queue)
	// Overdue bulk goes last. Otherwise all bulk would be late once some is.
	slices.SortStableFunc(pending, func(a, b *waiter) int { return c.overdue(a) - c.overdue(b) })
	decided := false
	var few [4]failedPlacements
	failed := few[:0]
	for _, w := range pending {
		if !w.request.Bulk && c.now >= w.refuseAt {
			c.refuse(p, w, "no endpoint had capacity in time")
			decided = true
			continue
		}
		if w.request.Bulk && p.onlyAvoidedLeft(w) {
			c.refuse(p, w, noneEligible)
			decided = true
			continue
		}
		failures := failedPlacementsOf(&failed, w.request)
		if *failures >= maxFailedPlacements || w.request.Bulk && interactiveBlocked(failed, w.request) && !c.nearDue(w) {
			continue
		}
		if run := c.choose(p, w); run != nil {
			c.startRun(w, run)
			decided = true
			continue
		}
		*failures++
	}
	if decided {
		c.removeDecided(p)
	}
}

// removeDecided removes the requests of a queue that were granted or refused.
func (c *core) removeDecided(p *pool) {
	before := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(w *waiter) bool { return w.granted != nil || w.refused != nil })
	c.queued -= before - len(p.queue)
}

// overdue returns 1 for a bulk request whose due time has passed, else 0.
func (c *core) overdue(w *waiter) int {
	if w.request.Bulk && c.now >= w.due {
		return 1
	}
	return 0
}

// maxFailedPlacements is the number of requests without an endpoint after which a pass over the
// queue skips further ones of the same kind and regime.
const maxFailedPlacements = 4

// failedPlacements counts the pending requests of one kind and regime for which no endpoint had
// capacity. Those of other regimes may go to other endpoints.
type failedPlacements struct {
	regime string
	bulk   bool
	count  int
}

// failedPlacementsOf returns the count for the kind and regime of a request.
func failedPlacementsOf(all *[]failedPlacements, r *Request) *int {
	for i := range *all {
		if f := &(*all)[i]; f.regime == r.Regime && f.bulk == r.Bulk {
			return &f.count
		}
	}
	*all = append(*all, failedPlacements{regime: r.Regime, bulk: r.Bulk})
	return &(*all)[len(*all)-1].count
}

// interactiveBlocked reports whether no endpoint had capacity for interactive requests that may use
// all endpoints that a request may use.
func interactiveBlocked(all []failedPlacements, r *Request) bool {
	for _, f := range all {
		if !f.bulk && f.count > 0 && (f.regime == "" || f.regime == r.Regime) {
			return true
		}
	}
	return false
}

// nextWake returns when serveAllQueues must be called even if no other call is made, and false if it
// need not be.
func (c *core) nextWake() (Time, bool) {
	at := Time(math.MaxInt64)
	for _, p := range c.poolOrder {
		if len(p.queue) == 0 {
			continue
		}
		for _, w := range p.queue {
			if !w.request.Bulk {
				at = min(at, w.refuseAt)
			}
		}
		at = min(at, c.nextCapacity(p))
	}
	return max(at, c.now+time.Millisecond), at != math.MaxInt64
}

// nextCapacity returns when an endpoint of a pool may have capacity again.
func (c *core) nextCapacity(p *pool) Time {
	soonest := Time(math.MaxInt64)
	for _, e := range p.endpoints {
		if !e.ready() {
			continue
		}
		next := max(e.ejectedUntil, e.fullUntil, e.nextStartAt(c))
		if next <= c.now { // its load is too high, of which the estimate for other senders decays
			next = c.now + c.settings.LoadReportDecay/10
		}
		soonest = min(soonest, next)
	}
	return soonest
}
