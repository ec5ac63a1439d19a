package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// similarCost is the difference in cost, in ms, up to which endpoints count as equal.
	similarCost = 0.25
	// urgencyFactor reduces the load at which a late request may still be started, for each step of
	// lower priority.
	urgencyFactor = 0.8
	// minTenantLoadShare is the share of the load limit for late requests that remains to a tenant of
	// any priority: an endpoint with half of its slots free has capacity to spare.
	minTenantLoadShare = 0.5
)

// candidates are the endpoints that may serve a request.
type candidates struct {
	healthy   []*endpoint // not ejected
	probe     *endpoint   // an ejected one with capacity, which the request should probe; nil if there is none
	totalLoad float64     // the sum of the loads of all, in requests
	count     int
}

// placement holds the inputs that the costs of all endpoints for one request share.
type placement struct {
	baseMs, msPerToken float64     // ms to the first token: fixed, and for each token to prefill
	loadBound          float64     // the load above which an endpoint is too full for further requests of a shared prefix
	preferred          []*endpoint // the preferred endpoints of the shared prefix
	sharedTokens       float64     // tokens of the prefix that other requests may share
}

// choose picks the endpoint for a request and returns the proposed run, or nil if no endpoint has
// capacity.
func (c *core) choose(p *pool, w *waiter) *run {
	w.certified = w.certified[:0]
	found := c.candidates(p, w)
	if found.count == 0 {
		return nil
	}
	var common placement
	common.loadBound = c.settings.PreferredLoadFactor*found.totalLoad/float64(found.count) + c.settings.PreferredLoadSlack
	common.baseMs, common.msPerToken = p.firstTokenFit.fit()
	if found.probe != nil {
		probe := run{endpoint: found.probe, prefillTokens: float64(w.request.TokensIn)}
		probe.expectedMs = c.timeToFirstToken(found.probe, &common, &probe.prefillTokens)
		return &probe
	}
	healthy := found.healthy
	if len(healthy) == 0 { // all are ejected: the one whose ejection ends first is better than none
		least := leastEjected(p, w)
		if least == nil {
			return nil
		}
		healthy = append(healthy, least)
	}
	available := slices.DeleteFunc(healthy, func(e *endpoint) bool { return !c.hasCapacity(e, w) })
	if len(available) == 0 {
		return nil
	}
	if len(w.prefixHashes) > 0 {
		common.preferred, common.sharedTokens = c.preferredEndpoints(p, w), sharedTokens(w)
	}
	return c.cheapestRun(available, w, &common)
}

// candidates returns the endpoints of a pool that may serve a request.
func (c *core) candidates(p *pool, w *waiter) candidates {
	found := candidates{healthy: make([]*endpoint, 0, len(p.endpoints))}
	w.subsetServes = false
	for _, e := range p.endpoints {
		if !e.eligible(w) {
			continue
		}
		if e.inSubset && e.ejectedUntil == 0 {
			w.subsetServes = true
		}
		found.totalLoad += e.load(c)
		found.count++
		switch {
		case e.ejectedUntil == 0:
			found.healthy = append(found.healthy, e)
		case e.probeDue(c, w) && c.hasCapacity(e, w):
			found.probe = e
		}
	}
	return found
}

// cheapestRun returns the run at the endpoint with the lowest cost, or at a random one of those with
// a similar cost. It returns nil if the run would be too late at all of them.
func (c *core) cheapestRun(available []*endpoint, w *waiter, common *placement) *run {
	var best run
	lowest, similar := math.Inf(1), 0
	for _, e := range available {
		candidate, cost := c.prospectiveRun(e, w, common)
		if !c.estimateAllows(e, w, candidate.expectedMs) {
			continue
		}
		switch {
		case cost < lowest-similarCost:
			best, lowest, similar = candidate, cost, 1
		case cost <= lowest+similarCost:
			similar++
			if c.random()*float64(similar) < 1 {
				best = candidate
			}
			lowest = min(lowest, cost)
		}
	}
	if best.endpoint == nil {
		return nil
	}
	return &best
}

// estimateAllows reports whether to start a run whose first token is expected after ms milliseconds.
// The first token must come before the deadline. If it comes after the due time, the load must be
// low, and the lower, the less urgent its tenant and its route are. An estimate that refuses all requests would
// never be corrected, so it is ignored if no first token has come for Settings.MaxEstimateAge.
func (c *core) estimateAllows(e *endpoint, w *waiter, ms float64) bool {
	if w.request.Bulk {
		return true
	}
	if c.now-e.pool.lastFirstToken > c.settings.MaxEstimateAge {
		return true // the estimate is stale: this request tests it
	}
	late := e.pool.lateness.value * math.Exp(-float64(c.now-e.pool.lastFirstToken)/float64(c.settings.LatenessDecay))
	at := c.now + time.Duration((ms+max(0, late))*float64(time.Millisecond))
	if at >= w.deadline {
		return false
	}
	if w.due == 0 || at <= w.due {
		return true
	}
	return e.load(c) < float64(e.slots())*c.settings.QueueLate*e.pool.lateLoadShare(w.request)
}

// lateLoadShare returns the share of the load limit for late requests up to which a request may be
// started. It never rises in the order of compareUrgency: each step of lower priority reduces it, and
// a step of the tenant's counts as much as all steps that the routes of the pool may have.
func (p *pool) lateLoadShare(r *Request) float64 {
	steps := r.TenantPriority*p.routePriorities + routePriority(r)
	share := math.Pow(urgencyFactor, float64(steps))
	if r.TenantPriority == 0 {
		return share
	}
	leastOfFirstTenants := math.Pow(urgencyFactor, float64(p.routePriorities-1))
	return max(share, min(minTenantLoadShare, leastOfFirstTenants))
}
