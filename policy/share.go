// This file has what the processes of one node share: its slots and rates, and their observations.

package policy

import "math"

// applyShare applies a new share of the node. A decrease takes effect at once. An increase waits for
// a wide window, since another process may just have used up that capacity; except for the part
// that this process used before and no other has held since.
func (s *Sender) applyShare(e ShareAssigned) {
	whole := float64(max(1, e.Whole))
	fraction := max(0, float64(e.Parts)/whole)
	now := min(fraction, max(s.share.fraction, min(s.share.previous, float64(e.Kept)/whole)))
	if e.Alone {
		now = fraction
	}
	switch {
	case !s.share.group: // before the first share nothing was used
		s.share.previous = now
	case now > 0 || s.share.fraction > 0: // a share used before a period without any is kept
		s.share.previous = max(now, s.share.fraction)
	}
	s.useShare(now)
	for i := range s.share.pending {
		s.share.pending[i].fraction = min(s.share.pending[i].fraction, fraction)
	}
	if n := len(s.share.pending); fraction > now && (n == 0 || s.share.pending[n-1].fraction < fraction) {
		s.share.pending = append(s.share.pending, pendingShare{s.now + wideWindow, fraction})
	}
	s.share.group = true
}

// Share returns the fraction of the node that is in use.
func (s *Sender) Share() float64 { return s.share.fraction }

// hearsay applies an observation of another process of the node. The calls of all processes are
// those of one node, so an outage seen by one is an outage for all, and each makes its part of
// the node's trials. A newer success or failure seen by this process takes precedence.
func (s *Sender) hearsay(h PeerObservation) {
	e := s.endpoints[h.Endpoint]
	switch {
	case e == nil:
	case h.News == Down && !e.out && e.lastOK < h.At:
		e.out, e.downSince, e.suspect, e.sawError, e.failureScore = true, s.now, true, true, downScore
		e.markFailing(h.At)
		e.path.nextTrial = max(e.path.nextTrial, s.now+s.trialGap(e))
	case (h.News == Back || h.News == BackCold) && e.out && e.downSince < h.At:
		s.endOutage(e, h.News)
		e.suspect, e.sawError, e.timeouts, e.consecutiveFulls, e.failureScore = false, false, 0, 0, 0
	}
}

// sendVerdict sends an observation to the other processes of the node, if any.
func (s *Sender) sendVerdict(e *endpoint, news News) {
	if s.share.group {
		s.out = append(s.out, Verdict{Endpoint: e.id, News: news})
	}
}

// applyPendingShares applies increases of the share that are due.
func (s *Sender) applyPendingShares() {
	for len(s.share.pending) > 0 && s.now >= s.share.pending[0].at {
		if s.share.pending[0].fraction > s.share.fraction {
			s.useShare(s.share.pending[0].fraction)
		}
		s.share.pending = s.share.pending[1:]
	}
}

// useShare sets the fraction of the node that is in use: the sender acts as one of
// correspondingly more senders, with that fraction of the slots and of MaxHeld. Each slice
// stays the same fraction of the node's.
func (s *Sender) useShare(fraction float64) {
	before := float64(s.set.Senders)
	s.share.fraction = fraction
	s.set.Slots = int(fraction * float64(s.nodeSettings.Slots))
	s.set.MaxHeld = s.nodeSettings.MaxHeld
	if fraction <= 0 {
		return // without slots nothing is sent; messages and state are kept for a later share
	}
	if s.nodeSettings.MaxHeld > 0 {
		s.set.MaxHeld = max(1, int(fraction*float64(s.nodeSettings.MaxHeld)))
	}
	s.set.Senders = int(math.Ceil(float64(s.nodeSettings.Senders) / fraction))
	ratio := before / float64(s.set.Senders)
	for _, d := range s.destList {
		for _, p := range d.paths {
			p.listedRate *= ratio
			p.minRate *= ratio
			if !math.IsInf(p.slice, 1) {
				s.resize(p, p.slice*ratio)
			}
		}
	}
}
