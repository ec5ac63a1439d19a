package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/platform/sendlog"
)

// This file has the state of a sender, its bookkeeping, and the estimates derived from it.
// The decisions are in policy.go and the files that it lists.

// Sender makes the decisions of one node. It is not safe for concurrent use.
type Sender struct {
	set    Settings
	rng    *rand.Rand
	now    Time
	out    []Action
	wakeAt Time // the earliest requested wake, or 0

	endpoints map[EndpointID]*endpoint
	tags      map[Tag]*endpoint
	dests     map[int]*destination
	destList  []*destination // in order of first use; maps are never ranged over, to stay deterministic
	messages  map[MessageID]*message
	open      []*message // not yet ended, in order of arrival
	keyQueues map[uint64]*keyQueue

	nodeSettings Settings // of the whole node; set has this process's share of them
	share        struct {
		group    bool           // the node has several processes, which exchange observations
		fraction float64        // fraction of the node in use
		previous float64        // fraction in use before the last change
		pending  []pendingShare // increases of the share that take effect later, earliest first
	}

	sendQueue candidates // messages that may be sent in this step

	subscribed  bool // subscribed to list changes, or the request is in flight
	subscribeAt Time // when to subscribe again

	started         Time          // time of the first step
	smallCut        float64       // factor of a cut: smallCuts of them reduce a slice of one call to one call for all senders
	meanLatency     float64       // moving average of call latency, in seconds
	noteReceivedAt  Time          // when the last note was received
	noteSentAt      Time          // when the last note was sent
	longestDeadline time.Duration // the longest deadline of any class, at least FallWindow
	inFlight        int           // calls in flight
	slowdown        float64       // moving average, over all destinations, of latency relative to the path's estimate
}

// New returns a sender with empty state. All its randomness comes from seed.
func New(settings Settings, seed uint64) *Sender {
	settings.Senders = max(settings.Senders, 1)
	settings.Slots = max(settings.Slots, 1)
	longestDeadline := settings.FallWindow
	for _, c := range settings.Classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	s := &Sender{
		nodeSettings: settings, longestDeadline: longestDeadline, set: settings,
		smallCut: math.Pow(float64(settings.Senders), -1.0/smallCuts),
		rng:      rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), slowdown: 1, meanLatency: initialLatency.Seconds(),
		endpoints: map[EndpointID]*endpoint{}, tags: map[Tag]*endpoint{}, dests: map[int]*destination{},
		messages: map[MessageID]*message{}, keyQueues: map[uint64]*keyQueue{},
	}
	s.share.fraction, s.share.previous = 1, 1
	return s
}

// candidate is a message that may be sent in this step.
type candidate struct {
	message  *message
	score    float64
	position int // position among the open messages: breaks ties, oldest first
}

// candidates is a max-heap by score.
type candidates []candidate

// Len implements heap.Interface, as the methods that follow do.
func (c candidates) Len() int { return len(c) }

// Less orders by score, highest first, and by position where the scores are equal.
func (c candidates) Less(i, j int) bool {
	return c[i].score > c[j].score || c[i].score == c[j].score && c[i].position < c[j].position
}

// Swap exchanges two items.
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push appends an item.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop removes the last item and returns it.
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// pendingShare is an increase of the share that takes effect at a later time.
type pendingShare struct {
	at       Time
	fraction float64
}

// call is one call in flight: a message, or a bundle of messages.
type call struct {
	endpoint *endpoint
	sent     Time
	size     int  // messages sent with it
	pending  int  // messages without an outcome
	judged   bool // its outcome has been counted in the endpoint's health
}

// endpoint is one address of a destination.
type endpoint struct {
	id       EndpointID
	path     *path
	zone     int
	state    EndpointState
	told     Time // when the list last had it as Ready, or first as no longer Ready
	disabled bool // by an operator's order, which overrides the list

	calls            []*call // in flight, oldest first
	lastSent         Time
	lastOK           Time
	failureScore     float64     // from downScore on, the endpoint is down
	failureRate      float64     // moving average of the fraction of its calls that failed
	suspect          bool        // its last outcome was a failure
	out              bool        // the endpoint is down: in an outage
	downSince        Time        // when the outage was detected
	leadsTrials      bool        // this sender announced the outage to the others and leads the trials
	timeouts         int         // consecutive timeouts
	sawError         bool        // an error, a rejection or a failed connection came since its last success
	notRun           bool        // its last failure guarantees that the call did not run
	consecutiveFulls int         // consecutive Full outcomes, each of a call sent after the previous one was received
	warming          bool        // back from an outage and not yet warm
	warmUpStart      Time        // start of the warm-up
	coldCalls        sendlog.Log // recent calls, to limit the rate while it may be cold
	phase            float64     // random factor of the cold window, about 1, drawn with each call
	failingSince     Time        // when it was first reported to fail since it was last healthy, or 0
}

// path is a set of endpoints that share one rate limit: those of a destination, or one
// endpoint where each has its own limit (Kind.RoutesApart).
type path struct {
	dest      *destination
	jamAt     Time          // start of the last jam, seen here or reported by a note
	jamPause  time.Duration // upper bound of the pause of that jam
	kind      Kind
	fee       float64
	endpoints []*endpoint

	narrow, wide     sendlog.Log
	successes        sendlog.Log // times of successes within a narrow window
	peakSuccesses    int         // the highest number of successes in a narrow window so far
	successCount     int         // successes so far
	rejectionRate    float64     // moving average of the fraction of its calls that ended as Full
	maxReady         int         // the highest number of endpoints that were ready at one time
	slice            float64     // calls allowed per narrow window; infinite while no limit is known
	sliceBeforeFulls float64     // the slice before the last run of consecutive Fulls, or 0
	listedRate       float64     // this sender's part of the listed rate in calls per second, or 0
	minRate          float64     // lower bound of the true rate, given the accuracy of listedRate
	told             Allowance   // the limit for all senders that the last response reported
	closedUntil      Time        // end of a requested wait or of a pause after a Full
	lastFull         Time        // when the last Full was received
	nextTrial        Time        // time of the next trial in an outage
	latency          time.Duration
	deviation        time.Duration // moving average of the absolute deviation from latency
	baseline         time.Duration
}

// destination has the paths of a destination and the messages queued for it.
type destination struct {
	number   int
	paths    []*path
	queue    []*message // messages not in flight, in order of arrival
	sendable bool       // some path could accept a call when dispatch began
}

// message is one message, kept from its arrival until it has ended and has no attempt
// in flight.
type message struct {
	id        MessageID
	class     *Class
	dest      *destination
	submitted Time // when it was first submitted
	giveUpAt  Time
	keyQueue  *keyQueue

	attempts           int
	call               *call // the call in flight that carries it, or nil
	ended              bool
	mayHaveRun         bool // an attempt may have run, or is in flight
	ranAt              Time // when the first such attempt was sent
	ranZone            int  // the zone it was sent to
	finishedMayHaveRun bool // a finished attempt may have run
	notBefore          Time
	failedEndpoint     *endpoint // the endpoint of its last attempt, if that failed
}

// keyQueue is the queue of the messages of one key.
type keyQueue struct {
	waiting     []*message
	pausedUntil Time
}

// allDownSince reports whether all ready endpoints of a path are down or disabled, and since when.
func (p *path) allDownSince() (Time, bool) {
	from, any := Time(0), false
	for _, e := range p.endpoints {
		if e.state != Ready {
			continue
		}
		if !e.out && !e.disabled {
			return 0, false
		}
		from, any = max(from, e.downSince), true
	}
	return from, any
}

// addToCall moves a message from its queue to a call.
func (s *Sender) addToCall(m *message, c *call) {
	c.size++
	c.pending++
	m.call = c
	m.attempts++
	if !m.mayHaveRun {
		m.mayHaveRun, m.ranAt, m.ranZone = true, s.now, c.endpoint.zone
	}
	m.dest.queue = remove(m.dest.queue, m)
}

func (p *path) inFlight() int {
	n := 0
	for _, e := range p.endpoints {
		n += len(e.calls)
	}
	return n
}

// markFailing records when an endpoint was first reported to fail.
func (e *endpoint) markFailing(now Time) {
	if e.failingSince == 0 {
		e.failingSince = now
	}
}

// countNote counts a note as a call to the endpoint. All senders receive a note at the same
// time; the random phase keeps them from sending at the same time afterwards.
func (s *Sender) countNote(e *endpoint) {
	e.phase = s.rng.Float64()
	e.coldCalls.Record(s.now)
}

func (p *path) readyEndpoints() int {
	n := 0
	for _, e := range p.endpoints {
		if e.state == Ready && !e.disabled {
			n++
		}
	}
	return n
}

func (s *Sender) destination(n int) *destination {
	d := s.dests[n]
	if d == nil {
		d = &destination{number: n}
		s.dests[n] = d
		s.destList = append(s.destList, d)
	}
	return d
}

// end removes a message that has its final answer. It stays in messages while an attempt
// is in flight.
func (s *Sender) end(m *message) {
	m.ended = true
	s.open = remove(s.open, m)
	m.dest.queue = remove(m.dest.queue, m)
	s.forgetUnknown(m.dest)
	if m.call == nil {
		s.forget(m)
	}
}

func (s *Sender) forget(m *message) {
	delete(s.messages, m.id)
	if m.keyQueue != nil {
		m.keyQueue.waiting = remove(m.keyQueue.waiting, m)
	}
}

// jitter returns a random duration below d.
func (s *Sender) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

// remove deletes the first x from a slice, in place.
func remove[T comparable](list []T, x T) []T {
	for i, v := range list {
		if v == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// note applies an event that only changes state and needs no decision.
func (s *Sender) note(e Event) {
	switch e := e.(type) {
	case Listed:
		s.applyList(e)
	case Arrived:
		s.addMessage(e)
	case Withdrawn:
		if m := s.messages[e.Message]; m != nil && !m.ended {
			s.end(m)
		}
	case EndpointHistory:
		s.applyHistory(e)
	case OperatorOrder:
		s.applyOrder(e)
	case RestoredMemory:
		s.restoreMemory(e.Memory)
	case Woken:
		if s.wakeAt <= s.now {
			s.wakeAt = 0
		}
	}
}

func (s *Sender) applyList(l Listed) {
	named := map[EndpointID]bool{}
	for _, entry := range l.Entries {
		named[entry.Endpoint] = true
		e := s.endpoints[entry.Endpoint]
		if e == nil {
			if entry.State != Ready { // its drain may have been announced earlier, and the grace be over
				continue
			}
			e = s.addEndpoint(entry)
		}
		s.setState(e, entry.State)
	}
	for _, d := range s.destList {
		for _, p := range d.paths {
			for _, e := range p.endpoints {
				if l.Whole && !named[e.id] {
					s.setState(e, Gone)
				}
			}
		}
	}
	s.forgetGone()
}

// forgetGone drops the state of endpoints that have been gone for longer than it matters: no
// message from then is left, and an endpoint that returned under the same ID would be warm.
// A path without endpoints is dropped with its limit, unless recent calls still count.
func (s *Sender) forgetGone() {
	for _, d := range slices.Clone(s.destList) {
		for _, p := range d.paths {
			p.endpoints = slices.DeleteFunc(p.endpoints, func(e *endpoint) bool {
				if e.state != Gone || len(e.calls) > 0 || s.now-e.told < s.longestDeadline+s.set.WarmUp {
					return false
				}
				delete(s.endpoints, e.id)
				if s.tags[e.id.tag()] == e {
					delete(s.tags, e.id.tag())
				}
				return true
			})
		}
		d.paths = slices.DeleteFunc(d.paths, func(p *path) bool {
			return len(p.endpoints) == 0 && p.wide.Count(s.now) == 0 && s.now >= p.closedUntil
		})
		s.forgetUnknown(d)
	}
}

// forgetUnknown drops a destination that has no paths and no queued messages.
func (s *Sender) forgetUnknown(d *destination) {
	if len(d.paths) == 0 && len(d.queue) == 0 && s.dests[d.number] == d {
		delete(s.dests, d.number)
		s.destList = remove(s.destList, d)
	}
}

func (s *Sender) setState(e *endpoint, state EndpointState) {
	if state == Ready || e.state == Ready {
		e.told = s.now
	}
	e.state = state
	e.path.maxReady = max(e.path.maxReady, e.path.readyEndpoints())
}

func (s *Sender) addMessage(a Arrived) {
	class := &s.set.Classes[a.Class]
	m := &message{id: a.Message, class: class, dest: s.destination(a.Destination),
		submitted: min(s.now, a.GiveUpAt-class.Deadline), giveUpAt: a.GiveUpAt,
		attempts: a.Past.Attempts, mayHaveRun: a.Past.MayRun, finishedMayHaveRun: a.Past.MayRun,
		ranAt: a.Past.RanAt, ranZone: a.Past.RanZone}
	s.messages[m.id] = m
	s.open = append(s.open, m)
	if e := s.endpoints[a.Past.OutTo]; a.Past.Out && e != nil {
		s.adoptCall(m, e, a.Past)
	} else {
		m.dest.queue = append(m.dest.queue, m)
	}
	if class.Ordered && a.Key != 0 {
		if s.keyQueues[a.Key] == nil {
			s.keyQueues[a.Key] = &keyQueue{}
		}
		m.keyQueue = s.keyQueues[a.Key]
		m.keyQueue.waiting = append(m.keyQueue.waiting, m)
	}
}

func (s *Sender) addEndpoint(entry Entry) *endpoint {
	d := s.destination(entry.Destination)
	kind := Kind{BundleMax: 1}
	if entry.Kind < len(s.set.Kinds) {
		kind = s.set.Kinds[entry.Kind]
	}
	var p *path
	if len(d.paths) > 0 && !kind.RoutesApart {
		p = d.paths[0]
	} else {
		p = s.newPath(d, kind, entry)
		d.paths = append(d.paths, p)
	}
	e := &endpoint{id: entry.Endpoint, path: p, zone: entry.Zone, state: Ready, phase: 1}
	p.endpoints = append(p.endpoints, e)
	s.endpoints[e.id] = e
	s.tags[e.id.tag()] = e
	s.inheritOutage(e)
	return e
}

// worth returns what a message of a class earns if it is delivered at an age.
func (s *Sender) worth(c *Class, age time.Duration) float64 {
	switch {
	case age >= c.Deadline:
		return 0
	case age <= c.Aim:
		return c.Worth
	case s.set.HalvesLate:
		return c.Worth * max(c.LateWorth, math.Exp2(-float64(age-c.Aim)/float64(c.Aim)))
	}
	return c.Worth * (1 - (1-c.LateWorth)*float64(age-c.Aim)/float64(c.Deadline-c.Aim))
}

// warmth returns the fraction of its capacity that a destination has regained, at least.
func (s *Sender) warmth(from Time) float64 {
	if s.set.WarmUp <= 0 {
		return 1
	}
	cold := max(0.01, s.set.ColdShare)
	return min(1, cold+(1-cold)*float64(s.now-from)/float64(s.set.WarmUp))
}

// drawPhase returns a random factor about 1 that desynchronizes senders that saw the same event.
func (s *Sender) drawPhase() float64 {
	return 1 - stretchSpread + 2*stretchSpread*s.rng.Float64()
}

// sendNote sends a note if maySendNote allows it, and reports whether it did.
func (s *Sender) sendNote(e *endpoint, news News) bool {
	may := s.maySendNote()
	if may {
		s.noteSentAt = s.now
		s.out = append(s.out, SendNote{Tag: e.id.tag(), News: news})
	}
	return may
}

// countDoubtful counts the messages in flight to endpoints that are down, suspect or
// stalled.
func (s *Sender) countDoubtful() int {
	n := 0
	for _, m := range s.open {
		if m.call == nil {
			continue
		}
		if e := m.call.endpoint; e.out || e.suspect || s.stalled(e) {
			n++
		}
	}
	return n
}

// tag hashes the ID of an endpoint to a Tag.
func (id EndpointID) tag() Tag {
	return Tag(uint64(id) * 0x9e3779b97f4a7c15 >> (64 - TagBits))
}

// applyHistory restores the history of an endpoint from a previous run of the node: its
// calls count in the windows, and its failures in its health.
func (s *Sender) applyHistory(r EndpointHistory) {
	e := s.endpoints[r.Endpoint]
	if e == nil {
		return
	}
	p := e.path
	for _, log := range []*sendlog.Log{&p.narrow, &p.wide} {
		log.Times = append(log.Times, r.Sent...)
		slices.Sort(log.Times)
		log.Count(s.now)
	}
	s.restoreHealth(e, r)
}

// applyOrder disables or enables an endpoint. An enabled endpoint was restarted, so it counts
// as just back from an outage, and earlier observations of its health are discarded.
func (s *Sender) applyOrder(o OperatorOrder) {
	e := s.endpoints[o.Endpoint]
	if e == nil || e.disabled == o.Out {
		return
	}
	e.disabled = o.Out
	e.markFailing(s.now)
	if o.Out {
		if !e.out {
			e.downSince = s.now
		}
		return
	}
	e.suspect, e.sawError, e.timeouts, e.consecutiveFulls, e.failureScore = false, false, 0, 0, 0
	s.endOutage(e, BackCold)
}

// adoptCall adopts a call that is in flight in another process, so that it occupies a slot.
// Messages with the same endpoint and send time belong to one bundle.
func (s *Sender) adoptCall(m *message, e *endpoint, past Past) {
	m.finishedMayHaveRun = past.Settled
	i := slices.IndexFunc(e.calls, func(c *call) bool { return c.sent == past.OutSince })
	if i < 0 {
		i = len(e.calls)
		e.calls = append(e.calls, &call{endpoint: e, sent: past.OutSince})
		s.inFlight++
	}
	m.call = e.calls[i]
	m.call.size++
	m.call.pending++
}

// Memory returns the sender's state, for a process that takes over from it.
func (s *Sender) Memory() Memory {
	out := Memory{Started: s.started, Usual: s.meanLatency, Pace: s.slowdown}
	for _, d := range s.destList {
		for _, p := range d.paths {
			if len(p.endpoints) == 0 {
				continue
			}
			out.Paths = append(out.Paths, PathMemory{Endpoint: p.endpoints[0].id,
				Narrow: slices.Clone(p.narrow.Times), Wide: slices.Clone(p.wide.Times), Passed: slices.Clone(p.successes.Times),
				Peak: p.peakSuccesses, Passes: p.successCount, Most: p.maxReady, Slice: p.slice, BeforeRun: p.sliceBeforeFulls,
				NarrowWindow: p.narrow.Window, WideWindow: p.wide.Window, ClosedUntil: p.closedUntil, FullAt: p.lastFull,
				NextTrial: p.nextTrial, JamAt: p.jamAt, JamFor: p.jamPause,
				Latency: p.latency, Deviation: p.deviation, Baseline: p.baseline, Told: p.told})
			for _, e := range p.endpoints {
				out.Endpoints = append(out.Endpoints, EndpointMemory{Endpoint: e.id, Told: e.told,
					LastSent: e.lastSent, LastOK: e.lastOK, Since: e.downSince, WarmFrom: e.warmUpStart, Trouble: e.failingSince,
					Score: e.failureScore, Phase: e.phase, Suspect: e.suspect, Out: e.out, Lead: e.leadsTrials, Broken: e.sawError, Harmless: e.notRun,
					Warming: e.warming, Timeouts: e.timeouts, FullRun: e.consecutiveFulls,
					Cold: slices.Clone(e.coldCalls.Times), ColdWindow: e.coldCalls.Window})
			}
		}
	}
	return out
}

// restoreMemory takes over the memory of another process.
func (s *Sender) restoreMemory(m Memory) {
	s.started, s.meanLatency, s.slowdown = m.Started, m.Usual, m.Pace
	for _, r := range m.Paths {
		e := s.endpoints[r.Endpoint]
		if e == nil {
			continue
		}
		p := e.path
		p.narrow, p.wide = sendlog.Log{Window: r.NarrowWindow, Times: r.Narrow}, sendlog.Log{Window: r.WideWindow, Times: r.Wide}
		p.successes.Times = r.Passed
		p.peakSuccesses, p.successCount, p.maxReady, p.slice, p.sliceBeforeFulls = r.Peak, r.Passes, r.Most, r.Slice, r.BeforeRun
		p.closedUntil, p.lastFull, p.nextTrial = r.ClosedUntil, r.FullAt, r.NextTrial
		p.jamAt, p.jamPause = r.JamAt, r.JamFor
		p.latency, p.deviation, p.baseline, p.told = r.Latency, r.Deviation, r.Baseline, r.Told
	}
	for _, r := range m.Endpoints {
		e := s.endpoints[r.Endpoint]
		if e == nil {
			continue
		}
		e.told, e.lastSent, e.lastOK, e.downSince, e.warmUpStart, e.failingSince = r.Told, r.LastSent, r.LastOK, r.Since, r.WarmFrom, r.Trouble
		e.failureScore, e.phase, e.suspect, e.out, e.leadsTrials = r.Score, r.Phase, r.Suspect, r.Out, r.Lead
		e.sawError, e.notRun, e.warming, e.timeouts, e.consecutiveFulls = r.Broken, r.Harmless, r.Warming, r.Timeouts, r.FullRun
		e.coldCalls = sendlog.Log{Window: r.ColdWindow, Times: r.Cold}
	}
}

func (s *Sender) endOutage(e *endpoint, news News) {
	e.out = false
	e.path.nextTrial = min(e.path.nextTrial, s.now+s.trialGap(e))
	if news == BackCold {
		e.warming, e.warmUpStart = true, s.now
	}
}

// ownRate estimates the calls per second that a path has accepted from this sender, such
// that the rates of all senders sum to what the path accepted. It is the mean, or the peak
// of a narrow window less its expected random excess. The peaks of many senders don't
// coincide: each is peakDeviations above its mean, the peak of their sum 1/sqrt(Senders) of that.
func (s *Sender) ownRate(p *path) float64 {
	mean := float64(p.successCount) / max(narrowWindow, s.now-s.started).Seconds()
	apart := 1 - 1/math.Sqrt(float64(s.set.Senders))
	chance := peakDeviations * apart * math.Sqrt(max(fewSuccesses, mean*narrowWindow.Seconds()))
	return max(mean, (float64(p.peakSuccesses)-chance)/narrowWindow.Seconds())
}

// fairSlice returns an equal share of the reported limit, as a slice.
func (s *Sender) fairSlice(p *path) float64 {
	return p.told.Limit / float64(s.set.Senders) * narrowWindow.Seconds()
}

// receivesNotes reports whether a note was received recently. Otherwise the sender can't assume
// that its own notes are received, and must not lead the trials of an outage.
func (s *Sender) receivesNotes() bool {
	return s.noteReceivedAt > 0 && s.now-s.noteReceivedAt < s.set.FallWindow
}

// drainTime estimates how long a destination's queue takes to drain.
func (s *Sender) drainTime(d *destination) time.Duration {
	rate, expectedOutage := 0.0, time.Duration(math.MaxInt64)
	for _, p := range d.paths {
		r, o := s.rate(p), s.expectedOutage(p)
		rate += r
		expectedOutage = min(expectedOutage, o)
	}
	if len(d.paths) == 0 {
		return narrowWindow
	}
	return expectedOutage + time.Duration(float64(len(d.queue))/rate*float64(time.Second))
}

// rate estimates the messages per second that a path accepts from this sender.
func (s *Sender) rate(p *path) float64 {
	r := max(s.ownRate(p), p.listedRate, 1/narrowWindow.Seconds())
	if !math.IsInf(p.slice, 1) {
		r = p.slice / narrowWindow.Seconds()
	}
	return r * float64(p.kind.BundleMax)
}

// expectedOutage estimates how long a path stays closed. An outage is expected to last as long
// again as it has lasted so far.
func (s *Sender) expectedOutage(p *path) time.Duration {
	wait := max(0, p.closedUntil-s.now)
	if from, out := p.allDownSince(); out {
		wait = max(wait, s.now-from, s.set.FallWindow)
	}
	return wait
}
