package dispatch

import "math"

// Bounds of the values that an endpoint reports about itself: one that reports implausible values
// must neither attract all requests nor, through the mean of its pool, make all others look full.
const (
	maxSlotsFactor = 2    // slots, as a multiple of those that are configured for its service
	maxSlots       = 4096 // slots, if none are configured
	maxLoadFactor  = 8    // running and waiting requests, as a multiple of its slots
)

// defaultSlots is the number of slots of an endpoint whose capacity is unknown.
const defaultSlots = 8

// otherLoadShare is the weight of one load report in the mean load that other senders cause.
const otherLoadShare = 0.1

// plausibleSlots returns the number of slots that an endpoint reports, or 0 if it is implausible.
func (e *endpoint) plausibleSlots(slots int) int {
	limit := maxSlots
	if e.pool.capacity > 0 {
		limit = maxSlotsFactor * e.pool.capacity
	}
	if slots < 1 || slots > limit {
		return 0
	}
	return slots
}

// slots returns the number of requests that an endpoint runs at a time.
func (e *endpoint) slots() int {
	switch {
	case e.capacity > 0:
		return e.capacity
	case e.pool.capacity > 0:
		return e.pool.capacity
	}
	return defaultSlots
}

// applyLoadReport applies a load that an endpoint reported. Requests beyond this sender's own count
// as those of other senders.
func (c *core) applyLoadReport(e *endpoint, l Load) {
	if !l.Known {
		return
	}
	if slots := e.plausibleSlots(l.Slots); slots > 0 {
		e.capacity = slots
	}
	reported := min(max(l.Running, 0)+max(l.Waiting, 0), maxLoadFactor*e.slots())
	e.otherLoad = float64(max(0, reported-len(e.running)))
	e.loadReportedAt, e.loadReported = c.now, true
	if e.fullAtLoad > 0 {
		e.fullAtLoad = max(e.fullAtLoad, float64(l.Running+l.Waiting))
	}
	e.pool.otherLoad.add(min(e.otherLoad, e.pool.otherLoad.value+float64(e.slots())), otherLoadShare)
	if l.Waiting == 0 && 2*l.Running < l.Slots && c.now-e.rateCutAt > c.settings.FullBackoff {
		e.rateLimit = math.Inf(1) // half of its slots are free, so the limit no longer holds
	}
}

// loadOfOthers estimates the requests of other senders at an endpoint from its last load report,
// which decays to the mean of the pool.
func (e *endpoint) loadOfOthers(c *core) float64 {
	if !e.loadReported {
		return e.pool.otherLoad.value
	}
	freshness := math.Exp(-float64(c.now-e.loadReportedAt) / float64(c.settings.LoadReportDecay))
	return e.pool.otherLoad.value + freshness*(e.otherLoad-e.pool.otherLoad.value)
}

// load estimates the requests at an endpoint, of this sender and others.
func (e *endpoint) load(c *core) float64 { return float64(len(e.running)) + e.loadOfOthers(c) }

// loadUncertainty returns by how much an endpoint's load may exceed its estimate, in requests.
// Within the subset the estimate is trusted; outside it the uncertainty grows with the age of the
// last load report, up to UncertaintyDeviations standard deviations of independent arrivals. There
// is none for a request that no healthy endpoint of the subset may serve, because of its model, its
// regime or the endpoints that it must avoid.
func (c *core) loadUncertainty(e *endpoint, w *waiter) float64 {
	if e.inSubset || !w.subsetServes {
		return 0
	}
	freshness := 0.0
	if e.loadReported {
		freshness = math.Exp(-float64(c.now-e.loadReportedAt) / float64(c.settings.LoadReportDecay))
	}
	return c.settings.UncertaintyDeviations * math.Sqrt(e.pool.otherLoad.value*(1-freshness*freshness))
}
