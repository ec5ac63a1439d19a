// This file has what the processes of one node share: parts of its slots, and what each has seen.

package policy

import "math"

// shared takes in a part of the node. A smaller one binds at once. What a larger one adds
// may have been used up by another a moment ago, so that waits until a wide window of its
// own length would be empty; but for what this one used and nobody else has had since.
func (s *Sender) shared(e Shared) {
	whole := float64(max(1, e.Whole))
	parts := max(0, float64(e.Parts)/whole)
	now := min(parts, max(s.share.parts, min(s.share.had, float64(e.Kept)/whole)))
	if e.Alone {
		now = parts
	}
	switch {
	case !s.share.group: // before the first word of a share nothing was used
		s.share.had = now
	case now > 0 || s.share.parts > 0: // what was used before there was none is remembered
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

// Share is the part of the node that is in use.
func (s *Sender) Share() float64 { return s.share.parts }

// hearsay takes in what another process of the node has seen. The calls of all are one
// node's, so an outage seen by one is an outage for all, and each goes on with its part of
// the node's trials; an own success since then weighs more, and so does an own failure.
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

// verdict passes on to the other processes of the node what was seen, where there are any.
func (s *Sender) verdict(e *endpoint, news News) {
	if s.share.group {
		s.out = append(s.out, Verdict{Endpoint: e.id, News: news})
	}
}

// grow takes larger shares into use when their times have come.
func (s *Sender) grow() {
	for len(s.share.grows) > 0 && s.now >= s.share.grows[0].at {
		if s.share.grows[0].parts > s.share.parts {
			s.resume(s.share.grows[0].parts)
		}
		s.share.grows = s.share.grows[1:]
	}
}

// resume uses a part of the node from now on: as one of so many more senders, with that part
// of its slots and hold. A slice stays the same part of what the node may have.
func (s *Sender) resume(parts float64) {
	before := float64(s.set.Senders)
	s.share.parts = parts
	s.set.Slots = int(parts * float64(s.whole.Slots))
	s.set.MaxHeld = s.whole.MaxHeld
	if parts <= 0 {
		return // nothing is sent without slots; what is held and known stays for a share to come
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
