// This file has the ordinary path: two sliding windows for each path.

package policy

import (
	"math"
	"time"

	"dunetide/internal/platform/sendlog"
)

// newPath starts with an unbound slice, or with this sender's part of the
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

// hasRoom tells whether a path may be sent one more call now.
func (s *Sender) hasRoom(p *path) bool {
	slice := max(1, p.slice)
	gap := time.Duration(spread * float64(narrowWindow) / slice)
	// So many calls in as many gaps: one, or what falls into some steps where many do.
	some := 1
	if gap < s.set.Tick {
		some = int(spreadTicks * s.set.Tick / max(1, gap))
	}
	n := len(p.narrow.Times)
	if p.slice > 1 && n >= some && s.now-p.narrow.Times[n-some] < time.Duration(some)*gap {
		return false
	}
	calls := math.Ceil(slice)
	if s.now < p.closedUntil || float64(p.narrow.Count(s.now)) >= calls ||
		float64(p.wide.Count(s.now)) >= calls*float64(wideWindow/narrowWindow) {
		return false
	}
	return p.inFlight() < s.bound(p)
}

// resize sets a slice and the windows to it. With many senders a fair slice is one
// call and a part of one, or less than one: the windows stretch until it is whole, or
// the part would be nobody's. Where it is one, their lengths are drawn apart, or
// senders that were refused together come back together.
func (s *Sender) resize(p *path, slice float64) {
	slice = max(1/float64(s.set.Senders), slice) // one call in a window for all senders together
	stretch := math.Ceil(slice) / slice
	if slice <= 1 {
		stretch = s.drawPhase() / slice
	}
	p.slice = slice
	p.narrow.Window = time.Duration(stretch * float64(narrowWindow))
	p.wide.Window = time.Duration(stretch * float64(wideWindow))
}

// bound is how many unanswered calls a path may hold. The logs count starts
// only: a path that hangs or is much slower than its past, while others are
// not, would take all slots.
func (s *Sender) bound(p *path) int {
	if p.slow(s.pace) {
		return max(1, s.set.Slots/4)
	}
	return max(2, (s.set.Slots+1)/2)
}

func (p *path) slow(pace float64) bool {
	return p.baseline > 0 && float64(p.latency) > slowFactor*max(1, pace)*float64(p.baseline)
}

// full cuts a slice after a full, or sets it from the narrow count the first
// time, and closes the logs for the told wait.
func (s *Sender) full(p *path, e *endpoint, sent Time, wait time.Duration) {
	gap, lone := s.lone(p)
	// One right after another is not, but those that were out together are one.
	lone = lone && wait == 0 && (e.fullRun == 0 || sent < p.fullAt)
	if sent >= p.fullAt { // calls that were out together count as one refusal
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

// lone tells whether a full with no wait told proves no more than that one call was too many:
// few calls are refused of late, and while the logs are closed many would be had. Then they
// close for as long as one call takes of the slice, which loses that call.
func (s *Sender) lone(p *path) (time.Duration, bool) {
	if math.IsInf(p.slice, 1) || p.passes < loneAfter || p.refused > 1.0/loneAfter {
		return 0, false
	}
	gap := time.Duration(float64(narrowWindow) / max(1, p.slice))
	return gap, fullPause >= loneCost*gap
}

// jam closes the logs of all who send less than a call a window, each for a part
// of a span that doubles while fulls go on: where refused calls use up the limit,
// first calls alone keep it full. It tells whether the jam was news.
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

// follow keeps a slice the same part of the limit while answers tell of other limits.
func (s *Sender) follow(p *path, told Allowance) {
	if told.Limit <= 0 {
		return
	}
	before := p.told.Limit
	if before == 0 {
		before = p.listed * float64(s.set.Senders)
	}
	if p.told.Limit > 0 { // within a span the room falls from all to none: its mean tells
		told.Left = p.told.Left + (told.Left-p.told.Left)*roomGain
	}
	if p.told = told; before > 0 && !math.IsInf(p.slice, 1) {
		slice := p.slice * told.Limit / before
		if fair := s.fair(p); slice > fair && told.Left < evenRoom { // what is over it was others' room
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
		// One answer tells little: half of it is taken to be usual.
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
