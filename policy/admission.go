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
		successes: sendlog.Log{Window: narrowWindow}, maxReady: 1, latency: initialLatency}
	if s.set.Listing != RateUnlisted && entry.Rate > 0 {
		p.listedRate = entry.Rate / float64(s.set.Senders)
		s.resize(p, p.listedRate*narrowWindow.Seconds())
		p.minRate = p.listedRate
		if s.set.Listing == RateRough {
			p.minRate /= roughExcess
		}
	}
	if kind.RoutesApart && entry.Zone < len(s.set.ZoneFee) {
		p.fee = s.set.ZoneFee[entry.Zone]
	}
	return p
}

// hasCapacity reports whether a path may be sent one more call now.
func (s *Sender) hasCapacity(p *path) bool {
	slice := max(1, p.slice)
	gap := time.Duration(spread * float64(narrowWindow) / slice)
	// At most this many calls in as many gaps: one, or those of burstTicks steps if a gap is under a step.
	burst := 1
	if gap < s.set.Tick {
		burst = int(burstTicks * s.set.Tick / max(1, gap))
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
	return p.inFlight() < s.maxInFlight(p)
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

// maxInFlight returns how many calls a path may have in flight. The windows count only the
// starts of calls: without a limit, a path that hangs or is much slower than its
// baseline, while the others are not, would take all slots.
func (s *Sender) maxInFlight(p *path) int {
	if p.slow(s.slowdown) {
		return max(1, s.set.Slots/4)
	}
	return max(2, (s.set.Slots+1)/2)
}

func (p *path) slow(pace float64) bool {
	return p.baseline > 0 && float64(p.latency) > slowFactor*max(1, pace)*float64(p.baseline)
}

// recordFull handles a Full outcome: it cuts the slice, or sets it from the narrow count the
// first time, and closes the path for the requested wait or a pause.
func (s *Sender) recordFull(p *path, e *endpoint, sent Time, wait time.Duration) {
	gap, isolatedFull := s.isolatedFull(p)
	// A consecutive Full is not isolated, but Fulls of calls in flight together count as one.
	isolatedFull = isolatedFull && wait == 0 && (e.consecutiveFulls == 0 || sent < p.lastFull)
	if sent >= p.lastFull { // calls in flight together count as one rejection
		if math.IsInf(p.slice, 1) {
			s.resize(p, max(1, float64(p.narrow.Count(s.now))))
		} else {
			cut := jamCut
			if e.consecutiveFulls == 0 {
				cut, p.sliceBeforeFulls = sliceCut, p.slice
			}
			slice := p.slice
			if p.told.Limit > 0 {
				slice = min(slice, s.fairSlice(p))
			} else if slice <= 1 {
				cut = s.smallCut
			}
			if isolatedFull {
				cut = max(cut, 1-1/slice)
			}
			s.resize(p, slice*cut)
		}
		e.consecutiveFulls++
		p.lastFull = s.now
	}
	if p.slice <= 1 && s.set.MayTell && s.jam(p) {
		s.sendNote(e, Jam)
	}
	pause, jitter := wait, waitJitter
	if wait == 0 {
		pause = min(maxFullPause, fullPause<<min(e.consecutiveFulls, 6))
	}
	if isolatedFull {
		pause, jitter = gap, gap
	}
	p.rejectionRate += (1 - p.rejectionRate) * rejectionRateGain
	p.closedUntil = max(p.closedUntil, s.now+pause+s.jitter(jitter))
}

// isolatedFull reports whether a Full without a requested wait is isolated, so that it shows only
// that one call was too many: few recent calls were rejected, and the usual pause would cost many
// calls. It returns the interval of one call under the slice; a pause of that length costs one call.
func (s *Sender) isolatedFull(p *path) (time.Duration, bool) {
	if math.IsInf(p.slice, 1) || p.successCount < isolatedFullAfter ||
		p.rejectionRate > 1.0/isolatedFullAfter {
		return 0, false
	}
	gap := time.Duration(float64(narrowWindow) / max(1, p.slice))
	return gap, fullPause >= isolatedFullCost*gap
}

// jam closes a path of which senders get a call per window or less, each for a random part of
// a period that doubles while Fulls go on: if rejected calls count against the limit, the first
// calls of many senders alone keep it exhausted. It reports whether this is a new jam.
func (s *Sender) jam(p *path) bool {
	since := s.now - p.jamAt
	if p.jamPause > 0 && since < narrowWindow/2 {
		return false
	}
	if since < 2*p.jamPause {
		p.jamPause = min(2*p.jamPause, wideWindow)
	} else {
		p.jamPause = narrowWindow
	}
	p.jamAt = s.now
	p.closedUntil = max(p.closedUntil, s.now+s.jitter(p.jamPause))
	return true
}

// followLimit scales the slice with the limit that responses report.
func (s *Sender) followLimit(p *path, told Allowance) {
	if told.Limit <= 0 {
		return
	}
	before := p.told.Limit
	if before == 0 {
		before = p.listedRate * float64(s.set.Senders)
	}
	if p.told.Limit > 0 { // Left falls from 1 to 0 within a period: use its mean
		told.Left = p.told.Left + (told.Left-p.told.Left)*unusedGain
	}
	if p.told = told; before > 0 && !math.IsInf(p.slice, 1) {
		slice := p.slice * told.Limit / before
		// What exceeds the fair slice is capacity that other senders left unused.
		if fairSlice := s.fairSlice(p); slice > fairSlice && told.Left < evenUnused {
			slice = max(fairSlice, slice*(1+told.Left-evenUnused))
		}
		s.resize(p, slice)
	}
}

func (s *Sender) recordPathSuccess(p *path, took time.Duration) {
	p.successCount++
	p.rejectionRate -= p.rejectionRate * rejectionRateGain
	p.successes.Record(s.now)
	p.peakSuccesses = max(p.peakSuccesses, p.successes.Count(s.now))
	s.meanLatency += (took.Seconds() - s.meanLatency) * baselineGain
	calls := math.Ceil(p.slice)
	wide := float64(p.wide.Count(s.now)) >= calls*float64(wideWindow/narrowWindow)-1
	if !math.IsInf(p.slice, 1) && (wide || float64(p.narrow.Count(s.now)) >= calls-1) {
		share, most := growthShare, sliceGrowth
		if p.told.Limit > 0 {
			share, most = max(0, p.told.Left-evenUnused), math.Inf(1)
		} else if p.slice < 1 {
			share = math.Pow(s.smallCut, -1.0/smallGrowth) - 1
		}
		s.resize(p, p.slice+min(most, share*p.slice))
	}
	if p.successCount == 1 {
		// One sample says little: average it with the initial estimate.
		took = (took + initialLatency) / 2
		p.latency, p.baseline, p.deviation = took, took, took
		return
	}
	ratio := min(5, max(0.2, float64(took)/float64(p.latency)))
	s.slowdown += (ratio - s.slowdown) * latencyGain / 2
	p.deviation += time.Duration((math.Abs(float64(took-p.latency)) - float64(p.deviation)) * latencyGain)
	p.latency += time.Duration(float64(took-p.latency) * latencyGain)
	p.baseline += time.Duration(float64(took-p.baseline) * baselineGain)
}
