// This file tracks the health of endpoints: outages, trials and cold returns.

package policy

import (
	"math"
	"slices"
	"time"
)

// stalled detects a hanging endpoint before its calls time out: a call has been in flight
// for long, with no success since it was sent. One late response ends the state.
func (s *Sender) stalled(e *endpoint) bool {
	limit := stallFactor * max(1, s.slowdown) * float64(e.path.latency)
	return slices.ContainsFunc(e.calls, func(c *call) bool {
		return s.now-c.sent > max(minStall, time.Duration(limit*bundleLatencyFactor(c.size))) &&
			e.lastOK <= c.sent
	})
}

// timeout returns a timeout that is long enough not to lose a response that is still coming. It
// doubles with each consecutive timeout: a slow endpoint looks the same as a dead one at first.
func (s *Sender) timeout(e *endpoint, m *message, size int) time.Duration {
	dev := max(e.path.deviation, e.path.latency/4)
	if e.path.successCount == 0 {
		dev = initialLatency
	}
	t := float64(e.path.latency+timeoutDeviations*dev) * max(1, s.slowdown) * bundleLatencyFactor(size)
	if s.inFlight <= s.set.Slots/2 {
		t *= 2
	}
	if e.warming {
		t /= s.warmth(e.warmUpStart)
	}
	floor := time.Duration(timeoutLatencies * s.meanLatency * float64(time.Second))
	first := max(minTimeout, min(maxFloor, floor), time.Duration(t))
	d := min(first<<min(e.timeouts, 4), max(first, (m.class.Deadline-m.class.Aim)/4))
	if m.class.Repeat == AtMostOnce {
		// A timeout ends the message: it can be neither resent nor refused. A failure to connect
		// guarantees that it never ran, so ConnectTimeout must expire first.
		d = 2*d + s.set.ConnectTimeout
	}
	return d
}

// slotsForSuspects reports whether a slot may go to a suspect endpoint. It keeps slots for endpoints
// that answer, however many others hang. While half of the slots are idle, suspect endpoints may
// use up to half of them, since calls may get lost anywhere.
func (s *Sender) slotsForSuspects() bool {
	n := s.countDoubtful()
	return n < max(1, s.set.Slots/suspectShare) || n < s.set.Slots/2 && s.inFlight <= s.set.Slots/2
}

// inheritOutage marks an endpoint that is added to a path in an outage as down too: a cold
// replacement must not get the whole backlog of the outage, but first one trial.
func (s *Sender) inheritOutage(e *endpoint) {
	out := false
	for _, o := range e.path.endpoints {
		if o != e && o.state == Ready && !o.out {
			return
		}
		out = out || o.out
	}
	e.out, e.downSince = out, s.now
}

// trialDue reports whether the path may make a trial: one at a time, with gaps, since rejected
// calls add load too.
func (s *Sender) trialDue(e *endpoint) bool {
	if s.now < e.path.nextTrial {
		return false
	}
	return !slices.ContainsFunc(e.path.endpoints, func(o *endpoint) bool { return o.out && len(o.calls) > 0 })
}

// suitsTrial reports whether a message may be used for a trial. It keeps AtMostOnce messages out of
// early trials, as a failure would end them. If the last call was rejected or found no connection,
// the next failure likely doesn't run the call either.
func (s *Sender) suitsTrial(m *message, e *endpoint) bool {
	return e.notRun || m.class.Repeat != AtMostOnce || s.now-m.submitted > m.class.Deadline/2
}

// coldBudget returns how many calls per fall window this sender may make to a path that may
// be cold. The budgets of all senders together must stay under the overload limit, without
// knowledge of the other senders. Each takes the larger of two rates:
//   - its part of the rate that the path certainly sustains (listed rate or minDestinationRate,
//     over the number of senders) or its own rate before the outage: these sum to the path's capacity;
//   - one call per time in which messages accumulated. At most as many senders have messages as
//     messages arrived in that time, so one call each is the rate at which they arrived.
//
// With x messages expected per sender in that time, 1-exp(-x) of the senders hold any, and
// the larger rates of these add up to (1-exp(-x))(x+exp(-x))/x of the sum: 1 at most.
// A new sender has no earlier rate, and counts the time from its first failure. Beyond the
// settings this assumes minDestinationRate, that a warm path sustains its earlier traffic, and that
// messages are spread evenly over senders. It doesn't depend on the other senders: if they
// are gone, their parts stay unused.
func (s *Sender) coldBudget(e *endpoint, warmth float64) float64 {
	sure := max(e.path.minRate, minDestinationRate/float64(s.set.Senders))
	gathered := min(s.longestDeadline, max(s.set.FallWindow, s.now-e.failingSince)).Seconds()
	bears := coldMargin * s.set.FallMultiple * warmth * s.set.FallWindow.Seconds()
	return bears * max(sure, s.ownRate(e.path), 1/gathered)
}

// mayCallCold reports whether an endpoint that may be cold may be sent a call. Its budget is the
// path's divided by the highest number of endpoints so far, as it may be the only one back. The
// budget is enforced as one call per interval, so no fraction of a call has to be rounded up.
func (s *Sender) mayCallCold(e *endpoint) bool {
	from := s.now
	if e.warming {
		from = e.warmUpStart
	}
	b := s.coldBudget(e, s.warmth(from)) / float64(e.path.maxReady)
	if b <= 0 {
		return true // the settings define no overload limit
	}
	part := 1 / b
	if b < 1 {
		part = max(1, e.phase/b)
	}
	e.coldCalls.Window = time.Duration(float64(s.set.FallWindow) * part)
	return e.coldCalls.Count(s.now) < 1
}

// errorIsOutage reports whether a single error counts as an outage: the last success is too old to
// contradict it, no notes arrive that could, and the cold budget is under one call. The next
// call could otherwise be one of hundreds, by senders that saw one failure each.
func (s *Sender) errorIsOutage(e *endpoint) bool {
	old := s.now-e.lastOK >= outageWindows*s.set.FallWindow
	return e.sawError && old && !s.receivesNotes() && s.coldBudget(e, s.warmth(s.now)) < 1
}

// maySendNote reports whether a note may be sent. While none are received, all senders together send
// one per tick: each note goes to all, and in an outage hundreds would send notes that are lost anyway.
func (s *Sender) maySendNote() bool {
	alone := s.now - s.noteSentAt
	return s.set.MayTell && (s.receivesNotes() || alone >= time.Duration(s.set.Senders)*s.set.Tick)
}

// trialGap returns the time between trials of this sender: about a fall window if it leads,
// otherwise by its part of the cold budget.
func (s *Sender) trialGap(e *endpoint) time.Duration {
	gap := s.set.FallWindow + s.jitter(s.set.FallWindow/2)
	if e.notRun {
		gap /= notRunTrialFactor // such a trial ends no message and holds no slot for long
	}
	if b := s.coldBudget(e, s.warmth(s.now)); b > 0 && !(e.leadsTrials && s.receivesNotes()) {
		part := time.Duration(float64(s.set.FallWindow) * s.drawPhase() / b)
		if e.failureScore >= downScore && !e.sawError && e.timeouts == 0 {
			return part // only resets: connections get lost, and a reset holds no slot
		}
		back := func(o *endpoint) bool { return o.state == Ready && !o.out }
		if slices.ContainsFunc(e.path.endpoints, back) {
			return part // others of the destination serve, so this one may be back too
		}
		gap = max(gap, part)
	}
	return gap
}

// recordOutcome updates the health of an endpoint with the outcome of a call.
func (s *Sender) recordOutcome(
	e *endpoint, outcome Outcome, wait time.Duration, c *call, took time.Duration,
) {
	p := e.path
	weight := 0.0
	switch outcome {
	case Delivered:
		s.recordSuccess(e, time.Duration(float64(took)/bundleLatencyFactor(c.size)))
		return
	case Full:
		s.recordFull(p, e, c.sent, wait)
		if e.consecutiveFulls >= outageFulls || wait > narrowWindow {
			weight = 1
			if p.sliceBeforeFulls > 0 && !e.out && wait > narrowWindow {
				s.resize(p, p.sliceBeforeFulls) // an outage: its rejections say nothing about the limit
			}
		}
	default:
		weight = weights[outcome]
	}
	if outcome == TimedOut {
		e.timeouts++
		s.out = append(s.out, CloseIdle{Endpoint: e.id}) // maybe only the connection is dead
	}
	if weight == 0 {
		return
	}
	e.markFailing(s.now)
	e.failureScore += weight * (1 - e.failureScore)
	e.failureRate += failureRateGain * (1 - e.failureRate)
	e.suspect = e.suspect || outcome != Reset || e.failureScore >= suspectScore
	e.sawError = e.sawError || outcome != TimedOut && outcome != Reset
	e.notRun = outcome == Unreachable || outcome == Full
	if e.warming && c.sent >= e.warmUpStart {
		e.warmUpStart = s.now // it was not back yet: restart the warm-up
	}
	if sure := e.failureScore >= downScore; !e.out && (sure || s.errorIsOutage(e)) {
		e.leadsTrials = sure && s.sendNote(e, Down)
		e.out, e.downSince = true, s.now
		s.sendVerdict(e, Down)
		p.nextTrial = s.now
		if outcome != Reset { // after a reset, try a new connection at once
			p.nextTrial += s.trialGap(e)
		}
	}
}

// weights are the increments of the failure score by outcome.
var weights = map[Outcome]float64{Failed: errorWeight, Unreachable: downScore, Reset: resetWeight,
	TimedOut: timeoutWeight}

// restoreHealth rates the history of an endpoint from a previous run of the node as that run did. If
// its last failures were an outage that still lasts, the endpoint is down, so that a restored backlog
// waits for a trial; if the outage ended less than a warm-up ago, the endpoint is cold. A single
// failed response is no outage.
func (s *Sender) restoreHealth(e *endpoint, r EndpointHistory) {
	for _, run := range r.Runs {
		failureScore := 0.0
		for _, o := range run.Outcomes {
			failureScore += weights[o] * (1 - failureScore)
		}
		switch {
		case failureScore < downScore && (run.Back || failureScore == 0):
		case failureScore < downScore:
			e.suspect, e.failureScore = true, failureScore
			e.markFailing(run.FailedAt)
		case !run.Back:
			e.out, e.suspect, e.sawError, e.downSince, e.failureScore = true, true, true, s.now, downScore
			e.markFailing(run.FailedAt)
			e.path.nextTrial = max(e.path.nextTrial, s.now+s.trialGap(e))
		case s.warmth(run.BackAt) < 1:
			e.warming, e.warmUpStart = true, run.BackAt
			e.markFailing(run.FailedAt)
			e.coldCalls.Times = append(e.coldCalls.Times[:0], r.Sent...)
		}
	}
}

// receiveNote applies a note of another sender, unless a recent success of this one contradicts it.
// Trials of an outage are mostly left to the sender that announced it; this one makes rare
// trials, since notes get lost.
func (s *Sender) receiveNote(n NoteReceived) {
	e := s.tags[n.Tag]
	s.noteReceivedAt = s.now
	switch {
	case e == nil:
	case n.News == Jam:
		if p := e.path; p.slice <= 1 || math.IsInf(p.slice, 1) && s.rate(p) <= 1/narrowWindow.Seconds() {
			s.jam(p)
		}
	case n.News == Down:
		if e.out || s.now-e.lastOK < minStall && e.lastOK > 0 {
			return
		}
		e.out, e.downSince, e.leadsTrials = true, s.now, false
		e.markFailing(s.now)
		s.countNote(e)
		e.path.nextTrial = s.now + s.trialGap(e)
	case e.out || e.suspect:
		s.endOutage(e, n.News)
		s.countNote(e)
		e.suspect, e.timeouts, e.consecutiveFulls, e.failureScore = false, 0, 0, 0
	}
}

func (s *Sender) recordSuccess(e *endpoint, took time.Duration) {
	p := e.path
	if e.out {
		// A few lost calls between two responses are no outage.
		news, gap := Back, s.now-e.lastOK
		together := !e.notRun && gap <= p.latency/2 && e.failureRate < outageFailureRate
		if e.sawError && !together || gap >= outageWindows*s.set.FallWindow {
			news = BackCold
		}
		s.sendNote(e, news)
		s.sendVerdict(e, news)
		s.endOutage(e, news)
	}
	e.suspect, e.sawError, e.timeouts, e.consecutiveFulls, e.lastOK = false, false, 0, 0, s.now
	e.failureScore *= successShrink
	e.failureRate -= failureRateGain * e.failureRate
	if e.warming = e.warming && s.warmth(e.warmUpStart) < 1; !e.warming {
		e.failingSince = 0
	}
	s.recordPathSuccess(p, took)
}
