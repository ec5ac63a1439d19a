// This file has the rate limit of each path, enforced by two sliding windows.

package policy

import (
	"math"
	"time"

	"dunetide/internal/platform/sendlog"
)

// newPath returns a path with an infinite slice, or with this sender's part of the
// listed rate.
func (s *Sender) newPath(d *destination, kind Kind, entry Entry) *path {
	p := &path{dest: d, kind: kind, slice: math.Inf(1),
		narrow: sendlog.Log{Window: narrowWindow}, wide: sendlog.Log{Window: wideWindow},
		passed: sendlog.Log{Window: narrowWindow}, most: 1, latency: firstLatency}
	if s.set.Listing != RateUnlisted && entry.Rate > 0 {
		p.listed = entry.Rate / float64(s.set.Senders)
		s.resize(p, p.listed*narrowWindow.Seconds())
		p.sureRate = p.listed
		if s.set.Listing == RateRough {
			p.sureRate /= roughOver
		}
	}
	if kind.RoutesApart && entry.Zone < len(s.set.ZoneFee) {
		p.fee = s.set.ZoneFee[entry.Zone]
	}
	return p
}

// hasRoom reports whether a path may be sent one more call now.
func (s *Sender) hasRoom(p *path) bool {
	slice := max(1, p.slice)
	gap := time.Duration(spread * float64(narrowWindow) / slice)
	// At most this many calls in as many gaps: one, or those of spreadTicks steps if a gap is under a step.
	burst := 1
	if gap < s.set.Tick {
		burst = int(spreadTicks * s.set.Tick / max(1, gap))
	}
	n := len(p.narrow.Times)
	if p.slice > 1 && n >= burst && s.now-p.narrow.Times[n-burst] < time.Duration(burst)*gap {
		return false
	}
	calls := math.Ceil(slice)
	if s.now < p.closedUntil || float64(p.narrow.Count(s.now)) >= calls ||
		float64(p.wide.Count(s.now)) >= calls*float64(wideWindow/narrowWindow) {
		return false
	}
	return p.inFlight() < s.bound(p)
}

// resize sets the slice and adapts the windows to it. With many senders a fair slice has a
// fraction of a call: the windows are stretched until it is a whole number of calls, or the
// fraction would be lost. For slices of one call or less their lengths are randomized, or
// senders that were rejected together would return together.
func (s *Sender) resize(p *path, slice float64) {
	slice = max(1/float64(s.set.Senders), slice) // at least one call per window for all senders together
	stretch := math.Ceil(slice) / slice
	if slice <= 1 {
		stretch = s.drawPhase() / slice
	}
	p.slice = slice
	p.narrow.Window = time.Duration(stretch * float64(narrowWindow))
	p.wide.Window = time.Duration(stretch * float64(wideWindow))
}

// bound returns how many calls a path may have in flight. The windows count only the
// starts of calls: without a bound, a path that hangs or is much slower than its
// baseline, while the others are not, would take all slots.
func (s *Sender) bound(p *path) int {
	if p.slow(s.pace) {
		return max(1, s.set.Slots/4)
	}
	return max(2, (s.set.Slots+1)/2)
}

func (p *path) slow(pace float64) bool {
	return p.baseline > 0 && float64(p.latency) > slowFactor*max(1, pace)*float64(p.baseline)
}

// full handles a Full outcome: it cuts the slice, or sets it from the narrow count the
// first time, and closes the path for the requested wait or a pause.
func (s *Sender) full(p *path, e *endpoint, sent Time, wait time.Duration) {
	gap, lone := s.lone(p)
	// A consecutive Full is not isolated, but Fulls of calls in flight together count as one.
	lone = lone && wait == 0 && (e.fullRun == 0 || sent < p.fullAt)
	if sent >= p.fullAt { // calls in flight together count as one rejection
		if math.IsInf(p.slice, 1) {
			s.resize(p, max(1, float64(p.narrow.Count(s.now))))
		} else {
			cut := jamCut
			if e.fullRun == 0 {
				cut, p.beforeRun = sliceCut, p.slice
			}
			slice := p.slice
			if p.told.Limit > 0 {
				slice = min(slice, s.fair(p))
			} else if slice <= 1 {
				cut = s.smallCut
			}
			if lone {
				cut = max(cut, 1-1/slice)
			}
			s.resize(p, slice*cut)
		}
		e.fullRun++
		p.fullAt = s.now
	}
	if p.slice <= 1 && s.set.MayTell && s.jam(p) {
		s.tell(e, Jam)
	}
	pause, jitter := wait, waitJitter
	if wait == 0 {
		pause = min(maxFullPause, fullPause<<min(e.fullRun, 6))
	}
	if lone {
		pause, jitter = gap, gap
	}
	p.refused += (1 - p.refused) * refusedGain
	p.closedUntil = max(p.closedUntil, s.now+pause+s.jitter(jitter))
}

// lone reports whether a Full without a requested wait is isolated, so that it shows only that one
// call was too many: few recent calls were rejected, and the usual pause would cost many calls.
// It returns the interval of one call under the slice; a pause of that length costs one call.
func (s *Sender) lone(p *path) (time.Duration, bool) {
	if math.IsInf(p.slice, 1) || p.passes < loneAfter || p.refused > 1.0/loneAfter {
		return 0, false
	}
	gap := time.Duration(float64(narrowWindow) / max(1, p.slice))
	return gap, fullPause >= loneCost*gap
}

// jam closes a path of which senders get a call per window or less, each for a random part of
// a period that doubles while Fulls go on: if rejected calls count against the limit, the first
// calls of many senders alone keep it exhausted. It reports whether this is a new jam.
func (s *Sender) jam(p *path) bool {
	since := s.now - p.jamAt
	if p.jamFor > 0 && since < narrowWindow/2 {
		return false
	}
	if since < 2*p.jamFor {
		p.jamFor = min(2*p.jamFor, wideWindow)
	} else {
		p.jamFor = narrowWindow
	}
	p.jamAt = s.now
	p.closedUntil = max(p.closedUntil, s.now+s.jitter(p.jamFor))
	return true
}

// follow scales the slice with the limit that responses report.
func (s *Sender) follow(p *path, told Allowance) {
	if told.Limit <= 0 {
		return
	}
	before := p.told.Limit
	if before == 0 {
		before = p.listed * float64(s.set.Senders)
	}
	if p.told.Limit > 0 { // Left falls from 1 to 0 within a period: use its mean
		told.Left = p.told.Left + (told.Left-p.told.Left)*roomGain
	}
	if p.told = told; before > 0 && !math.IsInf(p.slice, 1) {
		slice := p.slice * told.Limit / before
		// What exceeds the fair slice is capacity that other senders left unused.
		if fair := s.fair(p); slice > fair && told.Left < evenRoom {
			slice = max(fair, slice*(1+told.Left-evenRoom))
		}
		s.resize(p, slice)
	}
}

func (s *Sender) passedOne(p *path, took time.Duration) {
	p.passes++
	p.refused -= p.refused * refusedGain
	p.passed.Record(s.now)
	p.peak = max(p.peak, p.passed.Count(s.now))
	s.usual += (took.Seconds() - s.usual) * baselineGain
	calls := math.Ceil(p.slice)
	wide := float64(p.wide.Count(s.now)) >= calls*float64(wideWindow/narrowWindow)-1
	if !math.IsInf(p.slice, 1) && (wide || float64(p.narrow.Count(s.now)) >= calls-1) {
		share, most := growthShare, sliceGrowth
		if p.told.Limit > 0 {
			share, most = max(0, p.told.Left-evenRoom), math.Inf(1)
		} else if p.slice < 1 {
			share = math.Pow(s.smallCut, -1.0/smallGrowth) - 1
		}
		s.resize(p, p.slice+min(most, share*p.slice))
	}
	if p.passes == 1 {
		// One sample says little: average it with the initial estimate.
		took = (took + firstLatency) / 2
		p.latency, p.baseline, p.deviation = took, took, took
		return
	}
	ratio := min(5, max(0.2, float64(took)/float64(p.latency)))
	s.pace += (ratio - s.pace) * latencyGain / 2
	p.deviation += time.Duration((math.Abs(float64(took-p.latency)) - float64(p.deviation)) * latencyGain)
	p.latency += time.Duration(float64(took-p.latency) * latencyGain)
	p.baseline += time.Duration(float64(took-p.baseline) * baselineGain)
}
