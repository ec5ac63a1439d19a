// This file has retries and the answers to clients.

package policy

import "time"

// mayRepeat reports whether a message may be sent to an endpoint, given its earlier attempts.
func (s *Sender) mayRepeat(m *message, e *endpoint) bool {
	if m.call != nil || m.ended || s.mustNotResend(m) {
		return false
	}
	free := !m.mayHaveRun || m.class.Repeat == Idempotent
	return free || m.class.GroupAll || m.class.GroupZone && e.zone == m.ranZone
}

// mayRefuse reports whether the client may be told that a retry is safe.
func (s *Sender) mayRefuse(m *message) bool {
	return !m.mayHaveRun || m.class.Repeat == Idempotent || m.class.Repeat == Deduplicated && m.class.GroupAll
}

func (s *Sender) attemptEnded(o Ended) {
	m := s.messages[o.Message]
	if m == nil || m.call == nil {
		return
	}
	c := m.call
	m.call = nil
	if c.pending--; c.pending == 0 {
		c.endpoint.calls = remove(c.endpoint.calls, c)
		s.inFlight--
		if o.Outcome == Moot && !c.judged { // never sent: it does not count against the limit
			c.endpoint.path.narrow.Remove(c.sent)
			c.endpoint.path.wide.Remove(c.sent)
		}
	}
	if !c.judged && o.Outcome != Moot && o.Outcome != Cancelled {
		c.judged = true
		s.followLimit(c.endpoint.path, o.Told)
		s.recordOutcome(c.endpoint, o.Outcome, o.Wait, c, o.Took)
	}
	if p := c.endpoint.path; o.Wait > 0 {
		// Messages of one call may end separately, so the wait of each applies.
		p.closedUntil = max(p.closedUntil, s.now+o.Wait)
	}
	switch o.Outcome {
	case Full, Unreachable, Moot:
		if !m.finishedMayHaveRun {
			m.mayHaveRun = false
		}
	case TimedOut, Reset, Cancelled:
		m.finishedMayHaveRun = true
		if m.keyQueue != nil {
			m.keyQueue.pausedUntil = max(m.keyQueue.pausedUntil, s.now+s.set.TurnGap)
		}
	default:
		m.finishedMayHaveRun = true
	}
	if o.Final || o.Outcome == Delivered {
		if !m.ended {
			s.end(m)
			return
		}
	}
	if m.ended {
		s.forget(m)
		return
	}
	m.failedEndpoint = nil
	if o.Outcome != Full && o.Outcome != Moot {
		m.failedEndpoint = c.endpoint
		backoff := min(backoffMax, backoffBase<<min(m.attempts-1, 10))
		m.notBefore = s.now + backoff/2 + s.jitter(backoff/2)
	}
	m.dest.queue = append(m.dest.queue, m)
}

// answerAt returns when a message is answered at the latest: a tick before its deadline, so
// that the answer is in time even if a step is late.
func (s *Sender) answerAt(m *message) Time { return m.giveUpAt - s.set.Tick }

// answerDue answers messages just before their deadline, and at once if no attempt is left.
func (s *Sender) answerDue() {
	for i := 0; i < len(s.open); i++ {
		m := s.open[i]
		hopeless := m.call == nil && (m.attempts >= s.set.MaxAttempts || s.mustNotResend(m))
		if s.now >= s.answerAt(m) || hopeless {
			s.answer(m)
			i--
		}
	}
}

// mustNotResend reports that the message must not be sent again to any endpoint.
func (s *Sender) mustNotResend(m *message) bool {
	return m.mayHaveRun && (m.class.Repeat == AtMostOnce ||
		m.class.Repeat == Deduplicated && s.now-m.ranAt >= m.class.Window)
}

// answer refuses a message if that is allowed, since the client may then retry, and fails
// it otherwise.
func (s *Sender) answer(m *message) {
	if s.mayRefuse(m) {
		var wait time.Duration
		if s.set.AdviseWait {
			wait = min(s.set.MaxWait, s.drainTime(m.dest))
		}
		s.out = append(s.out, Refuse{Message: m.id, Wait: wait})
	} else {
		s.out = append(s.out, Fail{Message: m.id})
	}
	s.end(m)
}

// shedLoad ends messages to keep part of MaxHeld free: messages beyond MaxHeld are lost without a decision.
func (s *Sender) shedLoad() {
	if s.set.MaxHeld <= 0 {
		return
	}
	keep := s.set.MaxHeld - max(1, int(holdReserve*float64(s.set.MaxHeld)))
	for len(s.open) > keep {
		var worst *message
		least := shedBelow
		for _, m := range s.open {
			if m.call != nil || m.class.Worth <= 0 {
				continue
			}
			v := s.worth(m.class, s.now-m.submitted+s.drainTime(m.dest)) / m.class.Worth
			if s.inFlight >= s.set.Slots && len(m.dest.paths) > 0 {
				v *= min(1, s.meanLatency/m.dest.paths[0].latency.Seconds())
			}
			if !s.mayRefuse(m) {
				v += 0.1
			}
			if v < least {
				worst, least = m, v
			}
		}
		if worst == nil {
			return
		}
		s.answer(worst)
	}
}
