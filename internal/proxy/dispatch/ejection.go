package dispatch

import "time"

// Weights of failures in the failure score of an endpoint.
const (
	failedWeight = 0.7 // it answered, but with an error
	brokenWeight = 1   // it did not answer, or its answer broke off
)

// runTimeShare is the weight of one run in the mean run time of its pool.
const runTimeShare = 0.05

// leastEjected returns, of the endpoints that may serve a request, the one whose ejection ends
// first; nil if none may.
func leastEjected(p *pool, w *waiter) *endpoint {
	var least *endpoint
	for _, e := range p.endpoints {
		if e.eligible(w) && (least == nil || e.ejectedUntil < least.ejectedUntil) {
			least = e
		}
	}
	return least
}

// probeDue reports whether a request should probe an ejected endpoint. One request at a time does:
// from the end of the ejection a bulk request or one that may run twice, an ejection time later also
// one with a prompt of no more than average length, and another ejection time later any.
func (e *endpoint) probeDue(c *core, w *waiter) bool {
	from := e.ejectedUntil
	if !w.request.Bulk && (w.request.Route == nil || !w.request.Route.Idempotent()) {
		if from += e.ejectedFor; float64(w.request.TokensIn) > e.pool.promptTokens.value {
			from += e.ejectedFor
		}
	}
	return e.ejectedUntil != 0 && c.now >= from && !e.probing
}

// recordSuccess records that a run was served: its endpoint counts as healthy.
func (c *core) recordSuccess(r *run) {
	e := r.endpoint
	e.failureScore = 0
	e.ejectedUntil, e.ejectedFor = 0, 0
	e.pool.runTime.add(milliseconds(c.now-r.sent), runTimeShare)
	e.servedLog.Record(c.now)
}

// recordRefusal records that an endpoint refused a run, which shows that it is working.
func (c *core) recordRefusal(r *run, l Load) {
	e := r.endpoint
	e.failureScore = 0
	if e.ejectedUntil != 0 {
		e.ejectedUntil, e.ejectedFor = 0, 0
	}
	if c.now < r.deadline { // a refusal after the deadline says nothing about the endpoint's limit
		c.reduceRateLimit(r, l)
	}
}

// recordFailure adds to the failure score of an endpoint, and ejects it if the score reaches
// Settings.EjectionScore or a probe has failed.
func (c *core) recordFailure(r *run, weight float64) {
	e := r.endpoint
	e.failureScore += weight
	if e.ejectedUntil != 0 && r.probe || e.failureScore >= c.settings.EjectionScore {
		c.eject(e, 0)
	}
}

// eject excludes an endpoint from all requests but probes for a time, which doubles each time it is
// ejected again. Least is a lower bound of that time. The time is randomized by ±25 %, so that
// senders do not all probe at once.
func (c *core) eject(e *endpoint, least time.Duration) {
	if e.ejectedUntil > c.now {
		return
	}
	e.ejectedFor = min(max(2*e.ejectedFor, c.settings.MinEjection, least), c.settings.MaxEjection)
	e.ejectedUntil = c.now + time.Duration(float64(e.ejectedFor)*(0.75+0.5*c.random()))
	e.failureScore = 0
}
