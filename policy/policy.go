// All decisions of the sender are in this file (constants with their reasons, and Step), admission.go
// (rate limits by two sliding windows), choice.go, health.go, answers.go and share.go. Read api.go first:
// it has the settings, events and actions.

package policy

import (
	"math"
	"time"
)

const (
	// The two windows. A destination gets a few calls per second, so the narrow one must
	// span seconds. The wide one still counts the calls that a slice allowed before a cut.
	narrowWindow = 2 * time.Second
	wideWindow   = 12 * time.Second

	// A success while the slice is the limiting factor in either window adds sliceGrowth calls to it;
	// a Full multiplies it by sliceCut. A rejection costs little, while unused capacity delays
	// waiting messages, so growth is fast and the cut is mild.
	sliceGrowth = 0.25
	sliceCut    = 0.85
	// Small slices grow by at most this fraction: many senders with a small slice
	// each would otherwise exceed the limit together between two rejections.
	growthShare = 0.12
	// If responses report the unused fraction of the limit, a slice changes by its excess over
	// this: a limit that is just used up at the end of a period is half unused on average over it.
	evenUnused = 0.5
	unusedGain = 0.3 // gain of the moving average of the unused fraction
	// A Full directly after a Full, without a success between, cuts deeper: the destination
	// is jammed, and stays jammed if rejected calls count against the limit.
	jamCut = 0.75
	// Calls under a slice keep this fraction of an even gap: a destination that limits
	// the rate rejects a burst of all the calls of a window.
	spread = 0.8
	// If a gap is shorter than a step, the calls of up to this many steps may be sent together:
	// otherwise a path would get at most one call per step.
	burstTicks = 4
	// smallCuts Fulls reduce a slice of one call to one call for all senders; smallGrowth
	// successes undo one Full. Such slices see few outcomes, so each counts for more.
	smallCuts     = 3
	smallGrowth   = 3
	stretchSpread = 0.5 // such windows vary by up to this fraction of their length

	// A Full without a requested wait closes the path, for twice as long with each consecutive one.
	fullPause    = 200 * time.Millisecond
	maxFullPause = 2 * time.Second
	// If fewer than 1 in isolatedFullAfter recent calls were rejected, a Full closes the path only for
	// the interval of one call, provided that the usual pause would cost isolatedFullCost calls
	// or more: an isolated Full shows only that one call was too many.
	isolatedFullAfter = 20
	isolatedFullCost  = 10
	rejectionRateGain = 1.0 / 64 // gain of the moving average of rejections; over several isolatedFullAfter
	// Waits of all senders end at the same moment: each adds up to this, to avoid a thundering herd.
	waitJitter  = 250 * time.Millisecond
	outageFulls = 3 // this many consecutive Fulls, or a requested wait over a window, are an outage

	latencyGain    = 0.2 // gain of the moving average of latency
	baselineGain   = 0.02
	initialLatency = 500 * time.Millisecond // estimate before the first response
	// An endpoint with a call unanswered for this many latencies is stalled: see stalled.
	stallFactor  = 4
	minStall     = 500 * time.Millisecond
	suspectShare = 4 // 1 in suspectShare slots, and at least one, may hold calls to suspect endpoints
	// The timeout is the latency plus this many deviations, and twice that while half of
	// the slots are idle: the work for a response that arrives too late is wasted.
	timeoutDeviations = 5
	// It is at least this many mean latencies, up to maxFloor: a lost call holds its slot that long.
	timeoutLatencies = 8
	minTimeout       = 600 * time.Millisecond
	maxFloor         = 1600 * time.Millisecond
	// A message waits for others to share its call for this fraction of Aim, less half a latency.
	bundleWaitShare     = 0.25
	messageLatencyShare = 0.2 // assumed relative increase in latency for each further message in a call
	// A destination that is slower than its baseline by this factor, while the others are
	// not, gets a small part of the slots.
	slowFactor = 3

	// Failure score: a failure moves it towards 1, a success shrinks it. From downScore on the
	// endpoint is down: after two consecutive errors, or one refused connection. Timeouts and
	// resets weigh less, since single calls and connections get lost, and a few resets don't
	// make an endpoint suspect: one that is down refuses the next connection.
	downScore     = 0.5
	suspectScore  = 0.4
	errorWeight   = 0.35
	timeoutWeight = 0.25
	resetWeight   = 0.2
	successShrink = 0.6
	// Errors between two successes less than half a latency apart were in flight together with
	// them: no outage, unless the recent failure rate is that of the mildest outage with errors.
	failureRateGain   = 1.0 / 16 // gain of the moving average of failures; spans a few calls of one latency
	outageFailureRate = 0.3

	notRunTrialFactor = 4 // trials are this many times as frequent if the last failure did not run the call

	outageWindows = 2 // timeouts or resets for less than this many fall windows count as lost calls
	// The rest is left for calls in flight at the return and for senders that did not see the outage.
	coldMargin     = 0.85
	peakDeviations = 2 // the peak window is about this many standard deviations over the mean,
	fewSuccesses   = 2 // and more if the mean is below this many successes
	// Every destination is assumed to sustain this many calls per second from all senders when
	// warm. No setting gives it; with a lower value small destinations would hardly be tried.
	minDestinationRate = 6
	roughExcess        = 1.5 // a rough rate is up to 50% over the true one

	backoffBase = 200 * time.Millisecond // between attempts of a message, doubled each time
	backoffMax  = 4 * time.Second

	// Load shedding starts when less than holdReserve of MaxHeld is free. It ends messages
	// that are likely to earn less than shedBelow of their worth.
	holdReserve = 0.15
	shedBelow   = 0.9

	recheckInterval = 20 * time.Millisecond // interval of steps while messages wait for capacity
)

// Step processes the events since the last step, and appends the actions to take
// now to actions. Times must not decrease.
func (s *Sender) Step(now Time, events []Event, actions []Action) []Action {
	s.now, s.out = now, actions
	if s.started == 0 {
		s.started = now
	}
	hearsay := len(events) > 0 // notes alone free no capacity: waiting messages have a wake
	for _, e := range events {
		_, note := e.(NoteReceived)
		hearsay = hearsay && note
		switch e := e.(type) {
		case ListFailed:
			s.subscribed, s.subscribeAt = false, now+backoffMax/2+s.jitter(backoffMax/2)
		case Ended:
			s.attemptEnded(e)
		case NoteReceived:
			s.receiveNote(e)
		case ShareAssigned:
			s.applyShare(e)
		case PeerObservation:
			s.hearsay(e)
		case PeerWait:
			if o := s.endpoints[e.Endpoint]; o != nil {
				o.path.closedUntil = max(o.path.closedUntil, e.Until)
			}
		default:
			s.note(e)
		}
	}
	s.applyPendingShares()
	if hearsay {
		actions, s.out = s.out, nil
		return actions
	}
	if s.set.MustSubscribe && !s.subscribed && now >= s.subscribeAt {
		s.subscribed = true
		s.out = append(s.out, Subscribe{})
	}
	s.answerDue()
	s.shedLoad()
	s.dispatch()
	s.requestWake()
	actions, s.out = s.out, nil
	return actions
}

// requestWake requests the next wake: in recheckInterval while messages wait for capacity,
// else when the next answer is due.
func (s *Sender) requestWake() {
	next := Time(math.MaxInt64)
	if len(s.share.pending) > 0 {
		next = s.share.pending[0].at
	}
	if s.set.MustSubscribe && !s.subscribed {
		next = s.subscribeAt
	}
	for _, m := range s.open {
		next = min(next, s.answerAt(m))
		if m.call == nil {
			next = min(next, s.now+recheckInterval)
		}
	}
	next = max(next, s.now+1)
	if next < math.MaxInt64 && (s.wakeAt == 0 || next < s.wakeAt) {
		s.wakeAt = next
		s.out = append(s.out, Wake{At: next})
	}
}
