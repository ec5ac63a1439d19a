// This file has what the processes of one node share: its slots and rates, and their observations.

package policy

import "math"

// shared applies a new share of the node. A decrease takes effect at once. An increase waits for
// a wide window, since another process may just have used up that capacity; except for the part
// that this process used before and no other has held since.
func (s *Sender) shared(e Shared) {
	whole := float64(max(1, e.Whole))
	parts := max(0, float64(e.Parts)/whole)
	now := min(parts, max(s.share.parts, min(s.share.had, float64(e.Kept)/whole)))
	if e.Alone {
		now = parts
	}
	switch {
	case !s.share.group: // before the first share nothing was used
		s.share.had = now
	case now > 0 || s.share.parts > 0: // a share used before a period without any is kept
		s.share.had = max(now, s.share.parts)
	}
	s.resume(now)
	for i := range s.share.grows {
		s.share.grows[i].parts = min(s.share.grows[i].parts, parts)
	}
	if n := len(s.share.grows); parts > now && (n == 0 || s.share.grows[n-1].parts < parts) {
		s.share.grows = append(s.share.grows, growth{s.now + wideWindow, parts})
	}
	s.share.group = true
}

// Share returns the fraction of the node that is in use.
func (s *Sender) Share() float64 { return s.share.parts }

// hearsay applies an observation of another process of the node. The calls of all processes are
// those of one node, so an outage seen by one is an outage for all, and each makes its part of
// the node's trials. A newer success or failure seen by this process takes precedence.
func (s *Sender) hearsay(h Hearsay) {
	e := s.endpoints[h.Endpoint]
	switch {
	case e == nil:
	case h.News == Down && !e.out && e.lastOK < h.At:
		e.out, e.since, e.suspect, e.broken, e.score = true, s.now, true, true, outScore
		e.trouble(h.At)
		e.path.nextTrial = max(e.path.nextTrial, s.now+s.trialGap(e))
	case (h.News == Back || h.News == BackCold) && e.out && e.since < h.At:
		s.returned(e, h.News)
		e.suspect, e.broken, e.timeouts, e.fullRun, e.score = false, false, 0, 0, 0
	}
}

// verdict sends an observation to the other processes of the node, if there are any.
func (s *Sender) verdict(e *endpoint, news News) {
	if s.share.group {
		s.out = append(s.out, Verdict{Endpoint: e.id, News: news})
	}
}

// grow applies increases of the share that are due.
func (s *Sender) grow() {
	for len(s.share.grows) > 0 && s.now >= s.share.grows[0].at {
		if s.share.grows[0].parts > s.share.parts {
			s.resume(s.share.grows[0].parts)
		}
		s.share.grows = s.share.grows[1:]
	}
}

// resume sets the fraction of the node that is in use: the sender acts as one of
// correspondingly more senders, with that fraction of the slots and of MaxHeld. Each slice
// stays the same fraction of the node's.
func (s *Sender) resume(parts float64) {
	before := float64(s.set.Senders)
	s.share.parts = parts
	s.set.Slots = int(parts * float64(s.whole.Slots))
	s.set.MaxHeld = s.whole.MaxHeld
	if parts <= 0 {
		return // without slots nothing is sent; messages and state are kept for a later share
	}
	if s.whole.MaxHeld > 0 {
		s.set.MaxHeld = max(1, int(parts*float64(s.whole.MaxHeld)))
	}
	s.set.Senders = int(math.Ceil(float64(s.whole.Senders) / parts))
	ratio := before / float64(s.set.Senders)
	for _, d := range s.ordered {
		for _, p := range d.paths {
			p.listed *= ratio
			p.sureRate *= ratio
			if !math.IsInf(p.slice, 1) {
				s.resize(p, p.slice*ratio)
			}
		}
	}
}
