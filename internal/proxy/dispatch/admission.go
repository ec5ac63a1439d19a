package dispatch

import (
	"math"
	"slices"
	"time"
)

// never is later than any time that occurs, and small enough that sums with it don't overflow.
const never = Time(math.MaxInt64 / 4)

// admit grants a request a run, adds it to the queue, or refuses it.
func (c *core) admit(w *waiter) {
	p := c.pool(w.request.Service)
	if c.routeMoved(w.request) {
		c.refuse(p, w, leadsElsewhere)
		return
	}
	if len(w.request.Prefix) > 0 {
		w.prefixHashes = hashPrefixes(w.request.Model, w.request.Prefix)
	}
	if !c.mustWait(p, w) {
		if run := c.choose(p, w); run != nil {
			c.startRun(w, run)
			return
		}
	}
	if reason := c.refusalReason(p, w); reason != "" {
		c.refuse(p, w, reason)
		return
	}
	c.enqueue(p, w)
}

// noneEligible is the reason of a refusal because a request must avoid all endpoints that are ready.
const noneEligible = "no eligible endpoint is left"

// refusalReason returns why a request that must wait is refused at once, or "" if it may wait.
func (c *core) refusalReason(p *pool, w *waiter) string {
	if w.request.Bulk {
		if p.onlyAvoidedLeft(w) {
			return noneEligible
		}
	} else {
		// A certificate may become valid while the request waits, but an endpoint that it must
		// avoid stays excluded.
		if w.request.Regime == "" && p.hasReadyEndpoint() && !p.hasEligibleEndpoint(w) {
			return noneEligible
		}
		wait := c.expectedWait(p, w)
		if c.now+wait >= w.refuseAt && p.hasReadyEndpoint() || c.now >= w.refuseAt {
			return "no endpoint is expected to have capacity in time"
		}
	}
	if c.queued >= c.settings.MaxQueued {
		return "the queue is full"
	}
	return ""
}

// hasEligibleEndpoint reports whether a request may go to any endpoint of a pool.
func (p *pool) hasEligibleEndpoint(w *waiter) bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.eligible(w) })
}

// setTimes sets the due time and the deadline of a request, and the time at which it is refused if
// it is still pending: after a share of its route's latency target from its arrival, or twice that
// if an endpoint was tried before, and at its deadline at the latest. A zero arrival time means now;
// a zero due time or deadline means none.
func (c *core) setTimes(w *waiter, arrived, due, deadline Time) {
	w.due, w.deadline = due, deadline
	if arrived == 0 {
		arrived = c.now
	}
	if w.request.Bulk && w.due == 0 {
		w.due = never
	}
	if w.deadline == 0 {
		w.deadline = arrived + never
	}
	maxWait := never
	if route := w.request.Route; route != nil && route.LatencyTargetMs > 0 {
		maxWait = time.Duration(c.settings.MaxWaitShare * float64(route.LatencyTargetMs) * float64(time.Millisecond))
	}
	if len(w.request.Avoid) > 0 {
		maxWait *= 2
	}
	w.refuseAt = min(w.deadline, arrived+maxWait)
}

// refuse refuses a request for a reason and says when to retry.
func (c *core) refuse(p *pool, w *waiter, reason string) {
	wait := max(c.expectedWait(p, w), c.settings.MinRetryAfter)
	wait = min(wait, max(0, w.deadline-c.now)/3)
	w.refused = &RefusedError{Reason: p.service + ": " + reason, RetryAfter: max(wait, 0)}
	if w.request.Regime != "" && reason != closing {
		w.refused.Reason, w.refused.Regime = noCertifiedEndpoint(w.request.Regime), w.request.Regime
	}
	w.decided(w)
}

// expectedWait estimates the time until an endpoint has capacity for a request.
func (c *core) expectedWait(p *pool, w *waiter) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	slots := 0.0
	for _, e := range p.endpoints {
		if !e.ready() || !w.request.mayUse(e.target.ID) {
			continue
		}
		wait := max(0, e.ejectedUntil-c.now, e.fullUntil-c.now, e.nextStartAt(c)-c.now)
		soonest = min(soonest, wait)
		slots += float64(e.slots())
	}
	if slots == 0 {
		return c.settings.MinRetryAfter
	}
	ahead := 0
	for _, first := range p.queue {
		if compareUrgency(first, w) < 0 && overlaps(first, w) {
			ahead++
		}
	}
	// Each sender gets an equal share of the slots that become free.
	each := time.Duration(p.runTime.value * float64(time.Millisecond) * float64(c.senders) / slots)
	return soonest + time.Duration(ahead+1)*each
}
