package dispatch

import "slices"

const (
	// promptShare is the weight of one request in the mean number of prompt tokens of its pool.
	promptShare = 0.02
	// slownessShare is the weight of one first token in its endpoint's slowness.
	slownessShare = 0.1
	// minSlownessSample and maxSlownessSample bound the slowness that is derived from one first
	// token, and minSlownessMs is the lower bound of the expected time that it is compared with.
	minSlownessSample, maxSlownessSample = 0.25, 4
	minSlownessMs                        = 0.5
)

// run is a request that was granted an endpoint, or that a choice proposes to grant.
type run struct {
	endpoint       *endpoint
	target         Target // of the endpoint at the grant
	sent           Time
	deadline       Time
	prefillTokens  float64 // tokens that the endpoint has to prefill
	expectedMs     float64 // ms to the first token
	onlyPrefill    bool    // no other prompt was being prefilled: its time to the first token shows the speed of prefill
	firstTokenSeen bool    // the first token has arrived
	loadReported   bool    // the first token arrived with a load report
	bulk           bool
	probe          bool // it probes an ejected endpoint
	ended          bool
}

// startRun grants a run to a request and records it at the endpoint.
func (c *core) startRun(w *waiter, r *run) {
	e := r.endpoint
	checkGrant(w, e)
	r.target, r.sent, r.deadline, r.bulk = e.target, c.now, w.deadline, w.request.Bulk
	e.pool.promptTokens.add(float64(w.request.TokensIn), promptShare)
	e.shortLog.Record(c.now)
	e.longLog.Record(c.now)
	r.onlyPrefill = e.pendingPrefill() == 0 && e.load(c) < float64(e.slots())/2
	e.running = append(e.running, r)
	if r.bulk {
		e.pool.bulkRunning++
	}
	if e.ejectedUntil != 0 {
		e.probing, r.probe = true, true
	}
	if len(w.prefixHashes) > 0 {
		e.cache.tokenRate.add(c.now, r.prefillTokens+float64(w.request.TokensOut))
		e.cache.recordPrompt(c.now, w.prefixHashes, w.request.Prefix,
			c.senders, e.pool.cacheTokens, c.settings.MaxCacheEntries)
	}
	w.granted = r
	w.decided(w)
}

// recordFirstToken records that the first token of a run arrived, with a load report.
func (c *core) recordFirstToken(r *run, l Load) {
	if r.ended || r.firstTokenSeen {
		return
	}
	r.firstTokenSeen = true
	r.loadReported = l.Known
	e := r.endpoint
	e.answered = true
	c.applyLoadReport(e, l)
	tookMs := milliseconds(c.now - r.sent)
	e.slowness.add(min(max(tookMs/max(r.expectedMs, minSlownessMs), minSlownessSample), maxSlownessSample), slownessShare)
	lateMs := min(max(tookMs-r.expectedMs, -maxLatenessMs), maxLatenessMs)
	e.pool.recordLateness(c.now, lateMs, c.settings.LatenessDecay)
	queued := l.Known && 2*l.Running > l.Slots // behind requests of other senders that this sender did not know of
	if r.onlyPrefill && !queued {
		e.pool.firstTokenFit.addBounded(r.prefillTokens, tookMs)
	}
	c.serveQueue(e.pool)
}

// endRun applies the outcome of a run and the load that came with it. Further calls for the same
// run have no effect.
func (c *core) endRun(r *run, o Outcome, l Load) {
	if r.ended {
		return
	}
	r.ended = true
	e := r.endpoint
	e.answered = true
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if r.bulk {
		e.pool.bulkRunning--
	}
	if r.probe {
		e.probing = false
	}
	if !r.loadReported {
		c.applyLoadReport(e, l)
	}
	switch o {
	case Served:
		c.recordSuccess(r)
	case NotRun:
		c.recordRefusal(r, l)
	case Misdirected:
		c.eject(e, c.settings.MaxEjection)
	case Failed:
		c.recordFailure(r, failedWeight)
	case Broken, TimedOut:
		c.recordFailure(r, brokenWeight)
	case NotSent:
		r.forgetStart()
		c.recordFailure(r, brokenWeight)
	case Canceled:
	}
	c.removeIfUnlisted(e)
	c.serveQueue(e.pool)
}

// cancelRun ends a run whose request was not sent and removes it from the send logs.
func (c *core) cancelRun(r *run) {
	if !r.ended {
		r.forgetStart()
		c.endRun(r, Canceled, Load{})
	}
}

// forgetStart removes a run from the send logs of its endpoint.
func (r *run) forgetStart() {
	r.endpoint.shortLog.Remove(r.sent)
	r.endpoint.longLog.Remove(r.sent)
}
