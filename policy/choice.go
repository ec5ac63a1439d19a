// This file selects the next message to send, and its endpoint.

package policy

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// dispatch sends messages while slots are free and some message can be sent. The message
// that would lose the most worth by waiting, for the slot time it takes, goes first.
func (s *Sender) dispatch() {
	if s.inFlight >= s.set.Slots {
		return
	}
	for _, d := range s.destList {
		d.sendable = slices.ContainsFunc(d.paths, s.hasCapacity)
	}
	s.sendQueue = s.sendQueue[:0]
	for i, m := range s.open {
		if m.dest.sendable && s.ready(m) && !s.waitsForBundle(m) {
			s.sendQueue = append(s.sendQueue, candidate{m, s.score(m), i})
		}
	}
	heap.Init(&s.sendQueue)
	for s.inFlight < s.set.Slots && len(s.sendQueue) > 0 {
		m := heap.Pop(&s.sendQueue).(candidate).message
		if !s.ready(m) || s.waitsForBundle(m) { // sent in a bundle meanwhile, or others of its queue were
			continue
		}
		if e := s.choose(m); e != nil {
			s.sendCall(m, e)
		}
	}
}

// ready reports whether the state of the message itself allows an attempt now.
func (s *Sender) ready(m *message) bool {
	if m.call != nil || m.ended || s.now < m.notBefore || m.attempts >= s.set.MaxAttempts {
		return false
	}
	if s.answerAt(m)-s.now <= 2*s.set.Tick {
		return false
	}
	return m.keyQueue == nil || m.keyQueue.waiting[0] == m &&
		(m.attempts > 0 || s.now >= m.keyQueue.pausedUntil)
}

// waitsForBundle reports whether a message waits for others to share its call, while the rate is
// limited: many senders get few messages each, and each call counts against the limit.
func (s *Sender) waitsForBundle(m *message) bool {
	p := m.dest.paths[0]
	if m.attempts > 0 || len(m.dest.queue) >= p.kind.BundleMax || math.IsInf(p.slice, 1) {
		return false
	}
	return s.now-m.submitted < time.Duration(bundleWaitShare*float64(m.class.Aim))-p.latency/2
}

// score returns the worth lost by waiting a narrow window longer, per second of slot
// time. Ties go to the message that has waited longest.
func (s *Sender) score(m *message) float64 {
	latency := m.dest.paths[0].latency
	age := s.now - m.submitted
	loss := s.worth(m.class, age+latency) - s.worth(m.class, age+latency+narrowWindow)
	return loss/latency.Seconds() + 1e-6*age.Seconds()
}

// choose returns the endpoint for a message, or nil if it must wait. Paths without a
// fee are preferred; one with a fee is taken if waiting would cost more.
func (s *Sender) choose(m *message) *endpoint {
	var best *endpoint
	free := s.freeWait(m)
	for _, p := range m.dest.paths {
		if !s.hasCapacity(p) {
			continue
		}
		if p.fee > 0 && free >= 0 && !s.slotsScarce() {
			age := s.now - m.submitted + p.latency
			if s.worth(m.class, age)-s.worth(m.class, age+free) < p.fee*m.class.Worth {
				continue
			}
		}
		for _, e := range p.endpoints {
			if s.usable(e, m) && (best == nil || s.better(e, best, m)) {
				best = e
			}
		}
	}
	return best
}

// freeWait estimates how long a message would wait for a path without a fee. It is
// negative if no such path can take the message.
func (s *Sender) freeWait(m *message) time.Duration {
	wait := time.Duration(-1)
	for _, p := range m.dest.paths {
		if p.fee > 0 {
			continue
		}
		w := s.expectedOutage(p) + time.Duration(float64(len(p.dest.queue))/s.rate(p)*float64(time.Second))
		may := func(e *endpoint) bool { return e.state == Ready && s.mayRepeat(m, e) }
		if (wait < 0 || w < wait) && slices.ContainsFunc(p.endpoints, may) {
			wait = w
		}
	}
	return wait
}

// slotsScarce reports whether messages wait for slots: then slot time is worth more than
// a fee, and the faster path is taken.
func (s *Sender) slotsScarce() bool { return len(s.open) > 2*s.set.Slots }

func (s *Sender) better(a, b *endpoint, m *message) bool {
	if x, y := a == m.failedEndpoint, b == m.failedEndpoint; x != y {
		return y // avoid the endpoint where the last attempt failed
	}
	if a.path.fee != b.path.fee {
		if s.slotsScarce() {
			return a.path.latency < b.path.latency
		}
		return a.path.fee < b.path.fee
	}
	if a.out != b.out {
		return a.out // prefer a trial that is due
	}
	if len(a.calls) != len(b.calls) {
		return len(a.calls) < len(b.calls)
	}
	return a.lastSent < b.lastSent // reuse of the last connection was tried: uneven load costs more
}

// usable reports whether an endpoint may be sent a message now.
func (s *Sender) usable(e *endpoint, m *message) bool {
	if !s.mayRepeat(m, e) || !s.acceptsCalls(e) {
		return false
	}
	switch {
	case s.stalled(e), (e.out || e.suspect) && !s.slotsForSuspects():
		return false
	case e.out && !s.trialDue(e), (e.out || e.suspect) && !s.suitsTrial(m, e), e.suspect && len(e.calls) > 0:
		return false
	case e.out && (e.leadsTrials || !s.receivesNotes()):
		return true
	}
	return !e.out && !e.warming || s.mayCallCold(e)
}

// acceptsCalls reports whether the list and operator orders allow calls to an endpoint. A draining
// one gets none, unless its destination has no ready endpoint, in the first half of the grace.
func (s *Sender) acceptsCalls(e *endpoint) bool {
	if e.state == Ready || e.disabled {
		return !e.disabled
	}
	if e.state == Gone || s.now-e.told >= s.set.DrainGrace/2 {
		return false
	}
	return !slices.ContainsFunc(e.path.dest.paths, func(p *path) bool { return p.readyEndpoints() > 0 })
}

// sendCall makes one call to an endpoint, with as many queued messages as fit.
func (s *Sender) sendCall(m *message, e *endpoint) {
	p := e.path
	c := &call{endpoint: e, sent: s.now}
	e.calls = append(e.calls, c)
	s.inFlight++
	p.narrow.Record(s.now)
	p.wide.Record(s.now)
	e.lastSent = s.now
	if e.out {
		p.nextTrial = s.now + s.trialGap(e)
	}
	bundle := []*message{m}
	s.addToCall(m, c)
	room := p.kind.BundleMax
	if e.out || e.suspect {
		room = 1 // a trial risks only one message
	}
	for c.size < room {
		var best *message
		var bestScore float64
		for _, n := range p.dest.queue {
			if s.ready(n) && s.mayRepeat(n, e) {
				if score := s.score(n); best == nil || score > bestScore {
					best, bestScore = n, score
				}
			}
		}
		if best == nil {
			break
		}
		bundle = append(bundle, best)
		s.addToCall(best, c)
	}
	e.phase = s.drawPhase() * bundleLatencyFactor(c.size)
	e.coldCalls.Record(s.now)
	var timeout time.Duration // the bundle ends together, so it has one timeout
	for _, n := range bundle {
		timeout = max(timeout, s.timeout(e, n, c.size))
	}
	for _, n := range bundle {
		left := s.answerAt(n) - s.set.Tick - s.now
		s.out = append(s.out, Send{Message: n.id, Endpoint: e.id, Timeout: min(timeout, left)})
	}
}

func bundleLatencyFactor(size int) float64 { return 1 + messageLatencyShare*float64(size-1) }
