package dispatch

import "time"

// The cost of an endpoint for a request is in ms: the expected time to the first token plus
// penalties, such as for load, another zone and recent failures.

const (
	// minExpectedMs is the lower bound of the expected time to the first token when a run is checked
	// for being overdue.
	minExpectedMs = 20
	// overdueFactor is how many times the expected time a run may take to its first token before it
	// is overdue.
	overdueFactor = 3
	// failurePenaltyMs is the penalty of each failure since the last success.
	failurePenaltyMs = 10
	// minSlowness and maxSlowness bound how much an endpoint's own speed changes its expected times.
	minSlowness, maxSlowness = 0.5, 3
)

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// prospectiveRun returns the run of a request at an endpoint and its cost.
func (c *core) prospectiveRun(e *endpoint, w *waiter, common *placement) (run, float64) {
	r := run{endpoint: e, prefillTokens: float64(w.request.TokensIn)}
	r.prefillTokens -= c.cachedTokens(e, w, common)
	r.expectedMs = c.timeToFirstToken(e, common, &r.prefillTokens)
	cost := r.expectedMs + c.penalty(e)
	if common.sharedTokens > 0 {
		cost += c.settings.RereadCost * common.msPerToken * min(common.sharedTokens, r.prefillTokens)
		// An endpoint that has cached the prefix gets no more than its share of the load, unless all are as loaded.
		if load := e.load(c); load > common.loadBound && load > c.settings.PreferredLoadFloor*float64(e.slots()) {
			cost += milliseconds(c.settings.LoadCost) * (load - common.loadBound)
		}
	}
	return r, cost
}

// timeToFirstToken estimates the ms until the first token: the wait for a slot, and the prefill of
// the prompts before this one and of this one. It raises a negative number of tokens to prefill to
// 0.
func (c *core) timeToFirstToken(e *endpoint, common *placement, prefillTokens *float64) float64 {
	*prefillTokens = max(*prefillTokens, 0)
	ms := common.baseMs + common.msPerToken*(*prefillTokens+e.pendingPrefill())
	ms *= min(max(e.slowness.value, minSlowness), maxSlowness)
	if over := e.load(c) + 1 - float64(e.slots()); over > 0 {
		ms += over * e.pool.runTime.value / float64(e.slots())
	}
	return ms
}

// pendingPrefill returns the number of tokens of this sender's prompts that an endpoint has yet to prefill.
func (e *endpoint) pendingPrefill() float64 {
	tokens := 0.0
	for _, r := range e.running {
		if !r.firstTokenSeen {
			tokens += r.prefillTokens
		}
	}
	return tokens
}

// penalty returns the cost of an endpoint in addition to the expected time: for its load, another
// zone, a warm-up, an overdue first token, and recent failures.
func (c *core) penalty(e *endpoint) float64 {
	utilization := e.load(c) / float64(e.slots())
	cost := milliseconds(c.settings.LoadCost) * utilization * utilization
	if e.target.Zone != c.zone {
		cost += milliseconds(c.settings.OtherZoneCost)
	}
	if !e.inSubset {
		cost += milliseconds(c.settings.OutsideSubsetCost)
	}
	if e.warmingUntil > c.now {
		cost += c.settings.WarmUpCost * float64(e.warmingUntil-c.now) / float64(time.Millisecond)
	}
	return cost + e.overdue(c.now) + failurePenaltyMs*e.failureScore
}

// overdue returns by how many ms the first token of the oldest run that has none is overdue.
func (e *endpoint) overdue(now Time) float64 {
	for _, r := range e.running {
		if !r.firstTokenSeen {
			return max(0, milliseconds(now-r.sent)-overdueFactor*max(r.expectedMs, minExpectedMs))
		}
	}
	return 0
}
