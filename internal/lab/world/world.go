package world

import (
	"math"
	"math/rand/v2"
	"time"

	"dunetide/internal/lab/agenda"
	"dunetide/internal/lab/trace"
	"dunetide/policy"
)

// Host connects a world to the delivery nodes.
type Host interface {
	// Answer delivers an endpoint's answer to a call, or the loss of its connection.
	Answer(now time.Duration, a Answer)
	// Listed notifies a node's agent that the phases of some endpoints have changed.
	Listed(now time.Duration, node int, eps []int)
	// DialResultChanged reports a change in how an endpoint treats new connections.
	DialResultChanged(now time.Duration, ep int, as DialResult)
	// ApplyNodeFault applies a fault to a node.
	ApplyNodeFault(now time.Duration, t Fault, node int)
}

// Answer is the end of a call.
type Answer struct {
	Call   uint64
	Node   int
	EP     int
	ID     string
	Status int // 200, 500, 429 or 503; 0 if the connection broke
	Wait   time.Duration
	Report policy.Allowance
}

// Attempt is one call as it reaches an endpoint.
type Attempt struct {
	ID      string
	Message int // index in Day.Messages; negative if no client sent it
	Try     int // number of this call among the message's calls, as input of random draws
	Node    int
	EP      int
	Fresh   bool // on a new connection
	Began   time.Duration
}

// Phase is the state of an endpoint in discovery.
type Phase string

// The phases.
const (
	Active  Phase = "active"
	Leaving Phase = "leaving"
	Left    Phase = "left"
)

// World is the state of a day while it is simulated.
type World struct {
	Day   Day
	now   time.Duration
	host  Host
	note  func(trace.Record)
	queue agenda.Agenda
	calls map[uint64]*call
	last  uint64
	eps   []endpoint
	dests []dest
	// reported holds, for each node, the phases that its agent reports, by endpoint
	reported [][]Phase
}

type call struct {
	Attempt
	id      uint64
	work    time.Duration // remaining work
	serving bool
	gone    bool // its node has abandoned it; the work continues
	ended   bool
}

type endpoint struct {
	phase      Phase
	busy       int
	waiting    []*call
	conns      int
	dialResult DialResult // last value reported to the host
	down       bool       // refuses connections
	silent     bool       // neither accepts connections nor sends answers
	hang       bool
	shut       time.Duration // refuses all calls until then
	errs       float64
	slow       float64
	paused     time.Duration // until then
	served     []*call       // calls that are being served
	held       []*call       // accepted and never answered
	rng        *rand.Rand
}

type dest struct {
	factor    float64 // of the limit, while it is lowered
	from      time.Duration
	used      float64
	shown     policy.Allowance // value that answers report now
	rng       *rand.Rand
	outage    bool
	sawOutage map[int]bool // nodes that saw it fail during the last outage
	cold      bool
	coldSince time.Duration // since when it is cold
	reached   []arrival     // calls within one window while it is cold
	collapsed bool
}

type arrival struct {
	at   time.Duration
	node int
}

// New starts a day. Every event is passed to note.
func New(d Day, host Host, note func(trace.Record)) *World {
	w := &World{Day: d, host: host, note: note, calls: map[uint64]*call{}}
	w.eps = make([]endpoint, len(d.Endpoints))
	for i := range w.eps {
		w.eps[i] = endpoint{phase: Active, slow: 1, errs: d.Endpoints[i].ErrorRate, rng: Random(d.Seed, "endpoint", uint64(i))}
	}
	w.dests = make([]dest, len(d.Dests))
	for i := range w.dests {
		w.dests[i] = dest{factor: 1, rng: Random(d.Seed, "destination", uint64(i)), sawOutage: map[int]bool{}}
		if d.Dests[i].Limit > 0 {
			w.dests[i].shown = policy.Allowance{Limit: d.Dests[i].Limit, Left: 1}
			w.at(time.Duration(w.dests[i].rng.Int64N(int64(d.ReportEvery))), func() { w.refreshReport(i) })
		}
	}
	w.reported = make([][]Phase, len(d.Nodes))
	for i := range w.reported {
		w.reported[i] = make([]Phase, len(w.eps))
		for j := range w.reported[i] {
			w.reported[i][j] = Active
		}
	}
	for _, t := range d.Troubles {
		w.at(t.From, func() { w.applyFault(t) })
	}
	return w
}

// Next returns the time of the world's next event, if there is one.
func (w *World) Next() (time.Duration, bool) { return w.queue.Next() }

// Advance runs all events due until now.
func (w *World) Advance(now time.Duration) {
	for at, some := w.queue.Next(); some && at <= now; at, some = w.queue.Next() {
		at, do := w.queue.Pop()
		w.now = max(w.now, at)
		do()
	}
	w.now = max(w.now, now)
}

func (w *World) at(t time.Duration, do func()) { w.queue.At(max(t, w.now), do) }

// Phases returns the phases that a node's agent reports, by endpoint.
func (w *World) Phases(node int) []Phase { return w.reported[node] }

// DialResult is the result of a connection attempt to an endpoint.
type DialResult int

// The results.
const (
	Accepted DialResult = iota
	Refused
	NoAnswer // no answer: the connection attempt times out
)

// dialResult returns the current result of a connection attempt to an endpoint.
func (w *World) dialResult(ep int) DialResult {
	e := &w.eps[ep]
	full := w.Day.Endpoints[ep].Conns > 0 && e.conns >= w.Day.Endpoints[ep].Conns
	switch {
	case e.silent:
		return NoAnswer
	case e.down || full || e.phase == Left:
		return Refused
	}
	return Accepted
}

// updateDialResult notifies the host if an endpoint now treats new connections differently.
func (w *World) updateDialResult(ep int) {
	if as := w.dialResult(ep); as != w.eps[ep].dialResult {
		w.eps[ep].dialResult = as
		w.host.DialResultChanged(w.now, ep, as)
	}
}

// Dial opens a connection from a node to an endpoint. Each accepted connection must be released by Hangup.
func (w *World) Dial(now time.Duration, node, ep int) DialResult {
	w.Advance(now)
	e := &w.eps[ep]
	switch w.dialResult(ep) {
	case NoAnswer:
		w.note(trace.Record{At: now, What: trace.NoConn, Node: node, EP: ep, Result: "silent"})
		w.observe(ep, node)
		return NoAnswer
	case Refused:
		w.note(trace.Record{At: now, What: trace.NoConn, Node: node, EP: ep, Result: "refused"})
		if e.down {
			w.observe(ep, node)
		}
		return Refused
	}
	e.conns++
	w.updateDialResult(ep)
	w.note(trace.Record{At: now, What: trace.Conn, Node: node, EP: ep})
	return Accepted
}

// Hangup closes a connection on which no call is in flight.
func (w *World) Hangup(ep int) {
	w.eps[ep].conns--
	w.updateDialResult(ep)
}

// Call starts a call whose last byte the node has just written, and returns the call's number. The answer, if there is one, is
// delivered through the host.
func (w *World) Call(now time.Duration, a Attempt) uint64 {
	w.Advance(now)
	w.last++
	c := &call{Attempt: a, id: w.last}
	w.calls[c.id] = c
	w.note(trace.Record{At: now, What: trace.Call, ID: a.ID, Node: a.Node, EP: a.EP, Dest: w.Day.Endpoints[a.EP].Dest,
		Call: c.id, Since: a.Began})
	way := w.Day.OneWay
	if a.Fresh {
		way += w.Day.Handshake
	}
	w.at(now+way, func() { w.arrive(c) })
	return c.id
}

// Abandon ends a call that its node gives up. The endpoint's work continues.
func (w *World) Abandon(now time.Duration, id uint64) {
	w.Advance(now)
	c := w.calls[id]
	if c == nil || c.ended {
		return
	}
	w.end(c, trace.Record{Result: trace.Closed})
	c.gone = true
	if w.dests[w.Day.Endpoints[c.EP].Dest].outage {
		w.observe(c.EP, c.Node)
	}
}

// end removes a call from the table and records how it ended.
func (w *World) end(c *call, r trace.Record) {
	c.ended = true
	delete(w.calls, c.id)
	r.At, r.What, r.ID, r.Node, r.EP, r.Call = w.now, trace.End, c.ID, c.Node, c.EP, c.id
	r.Dest = w.Day.Endpoints[c.EP].Dest
	w.note(r)
}

// answer sends an answer, which arrives after the one-way delay.
func (w *World) answer(c *call, status int, wait time.Duration) {
	w.at(w.now+w.Day.OneWay, func() {
		if c.ended || w.eps[c.EP].silent {
			return
		}
		d := w.Day.Endpoints[c.EP].Dest
		w.end(c, trace.Record{Status: status, Wait: wait})
		if status != 200 && w.dests[d].outage {
			w.observe(c.EP, c.Node)
		}
		w.host.Answer(w.now, Answer{Call: c.id, Node: c.Node, EP: c.EP, ID: c.ID, Status: status, Wait: wait, Report: w.dests[d].shown})
	})
}

// breakOff ends a call by closing its connection.
func (w *World) breakOff(c *call) {
	if c.ended {
		return
	}
	w.end(c, trace.Record{Result: trace.Reset})
	w.observe(c.EP, c.Node)
	w.host.Answer(w.now, Answer{Call: c.id, Node: c.Node, EP: c.EP, ID: c.ID})
}

// observe records that a node has observed an outage.
func (w *World) observe(ep, node int) {
	if d := &w.dests[w.Day.Endpoints[ep].Dest]; d.outage {
		d.sawOutage[node] = true
	}
}

// arrive handles a call that has reached its endpoint.
func (w *World) arrive(c *call) {
	e, spec := &w.eps[c.EP], w.Day.Endpoints[c.EP]
	d := &w.dests[spec.Dest]
	w.countColdArrival(spec.Dest, c.Node)
	switch {
	case e.down:
		w.breakOff(c)
		return
	case e.silent, e.hang:
		e.held = append(e.held, c)
		return
	case e.shut > w.now:
		wait := time.Duration(0)
		if d.rng.Float64() < w.Day.Dests[spec.Dest].TellsWait {
			wait = e.shut - w.now
		}
		w.refuse(c, wait)
		return
	}
	if ok, wait := w.hasCapacity(spec.Dest, e.busy >= spec.Cores && len(e.waiting) >= spec.Depth); !ok {
		w.refuse(c, wait)
		return
	}
	draws := Random(w.Day.Seed, "call", uint64(c.Message+1), uint64(c.Try))
	if spec.Refuses > 0 && Random(w.Day.Seed, "refused", uint64(c.Message+1), uint64(c.Try)).Float64() < spec.Refuses {
		w.refuse(c, 0)
		return
	}
	if draws.Float64() < e.errs {
		w.at(w.now+5*time.Millisecond, func() { w.answer(c, 500, 0) })
		return
	}
	work := 200 * time.Millisecond
	if c.Message >= 0 {
		work = w.Day.Messages[c.Message].Work
	}
	c.work = time.Duration(float64(work) * spread(draws, 0.25) / spec.Pace)
	if e.busy < spec.Cores {
		w.serve(c)
	} else {
		e.waiting = append(e.waiting, c)
	}
}

func (w *World) refuse(c *call, wait time.Duration) {
	status := 503
	if wait = wait.Round(time.Millisecond); wait > 0 {
		status = 429
	}
	w.answer(c, status, wait)
}

// serve starts the work of a call.
func (w *World) serve(c *call) {
	e := &w.eps[c.EP]
	e.busy++
	c.serving = true
	e.served = append(e.served, c)
	takes := float64(c.work) * e.slow / w.warmth(w.Day.Endpoints[c.EP].Dest)
	w.at(w.now+time.Duration(takes), func() { w.finish(c) })
}

func (w *World) finish(c *call) {
	e := &w.eps[c.EP]
	if !c.serving { // the call was broken off meanwhile
		return
	}
	if e.paused > w.now {
		w.at(e.paused, func() { w.finish(c) })
		return
	}
	c.serving = false
	e.busy--
	for i, o := range e.served {
		if o == c {
			e.served = append(e.served[:i], e.served[i+1:]...)
			break
		}
	}
	w.answer(c, 200, 0)
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		w.serve(next)
	}
}

// limit returns the current limit of a destination in calls per second; 0 for none.
func (w *World) limit(dest int) float64 { return w.Day.Dests[dest].Limit * w.dests[dest].factor }

// hasCapacity checks a call against the destination's limit. full says that the endpoint's queue is full; the refused call still
// uses up the limit if refused calls count.
func (w *World) hasCapacity(n int, full bool) (bool, time.Duration) {
	spec, d := &w.Day.Dests[n], &w.dests[n]
	limit := w.limit(n)
	if limit == 0 {
		return !full, 0
	}
	k := w.Day.Scenario.Kinds[spec.Kind]
	tells := func(wait time.Duration) time.Duration {
		if d.rng.Float64() < spec.TellsWait {
			return wait
		}
		return 0
	}
	if k.Limit == "rate" {
		// A token bucket of a fifth of a second, at least one call.
		size := max(1, limit/5)
		d.used = max(0, d.used-(w.now-d.from).Seconds()*limit)
		d.from = w.now
		ok := d.used+1 <= size && !full
		if ok || spec.RefusedCount {
			d.used = min(size, d.used+1)
		}
		if ok {
			return true, 0
		}
		return false, tells(millis(draw(d.rng, k.WaitMs)))
	}
	w.rollWindow(n)
	most := math.Max(1, math.Round(limit*spec.Window.Seconds()))
	over := d.used >= most
	if !over && !full || spec.RefusedCount {
		d.used++
	}
	switch {
	case over:
		return false, tells(d.from + spec.Window - w.now)
	case full:
		return false, 0
	}
	return true, 0
}

// rollWindow starts a new limit window if the last one has ended.
func (w *World) rollWindow(n int) {
	spec, d := &w.Day.Dests[n], &w.dests[n]
	from := (w.now-spec.Phase+spec.Window)/spec.Window*spec.Window + spec.Phase - spec.Window
	if from != d.from {
		d.from, d.used = from, 0
	}
}

// refreshReport updates the limit that answers report, after the report delay, and schedules the next update.
func (w *World) refreshReport(n int) {
	spec, d := &w.Day.Dests[n], &w.dests[n]
	limit := w.limit(n)
	left := 1.0
	if w.Day.Scenario.Kinds[spec.Kind].Limit == "window" {
		w.rollWindow(n)
		left = 1 - d.used/math.Max(1, math.Round(limit*spec.Window.Seconds()))
	} else {
		left = 1 - max(0, d.used-(w.now-d.from).Seconds()*limit)/max(1, limit/5)
	}
	noise := func() float64 { return 1 + w.Day.ReportNoise*d.rng.NormFloat64() }
	told := policy.Allowance{Limit: max(0, limit*noise()), Left: min(1, max(0, left*noise()))}
	w.at(w.now+w.Day.ReportDelay, func() { d.shown = told })
	if w.now < w.Day.Length+time.Minute {
		w.at(w.now+w.Day.ReportEvery, func() { w.refreshReport(n) })
	}
}

// Open returns the number of calls in flight.
func (w *World) Open() int { return len(w.calls) }
