package world

import (
	"math"
	"math/rand/v2"
	"time"

	"dunetide/internal/lab/agenda"
	"dunetide/internal/lab/trace"
	"dunetide/policy"
)

// Host plays a world: it carries the world's word to the delivery nodes.
type Host interface {
	// Answer brings what an endpoint says to a call, or that its connection breaks.
	Answer(now time.Duration, a Answer)
	// Listed tells a node's agent of endpoints whose phase has changed.
	Listed(now time.Duration, node int, eps []int)
	// Door tells that an endpoint takes new connections otherwise from now on.
	Door(now time.Duration, ep int, as Dialled)
	// Strike carries out a trouble of a node.
	Strike(now time.Duration, t Fault, node int)
}

// Answer ends a call.
type Answer struct {
	Call   uint64
	Node   int
	EP     int
	ID     string
	Status int // 200, 500, 429 or 503; 0 where the connection breaks
	Wait   time.Duration
	Report policy.Allowance
}

// Attempt is one call as it reaches an endpoint.
type Attempt struct {
	ID      string
	Message int // of the day's; negative where no client sent it
	Try     int // so manieth call with this message, for what is drawn
	Node    int
	EP      int
	Fresh   bool // on a new connection
	Began   time.Duration
}

// Phase is what discovery says of an endpoint.
type Phase string

// The phases.
const (
	Active  Phase = "active"
	Leaving Phase = "leaving"
	Left    Phase = "left"
)

// World is a day as it goes on.
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
	// what each node's agent has been told, by endpoint
	told [][]Phase
}

type call struct {
	Attempt
	id      uint64
	work    time.Duration // that is left
	serving bool
	gone    bool // its node has given it up; the work runs on
	ended   bool
}

type endpoint struct {
	phase   Phase
	busy    int
	waiting []*call
	conns   int
	door    Dialled // as the host knows it
	down    bool    // refuses connections
	silent  bool    // says nothing to anybody
	hang    bool
	shut    time.Duration // until then
	errs    float64
	slow    float64
	paused  time.Duration // until then
	served  []*call       // calls that are being served
	held    []*call       // taken and never answered
	rng     *rand.Rand
}

type dest struct {
	factor  float64 // of the limit, where it was lowered
	from    time.Duration
	used    float64
	shown   policy.Allowance // what answers tell now
	rng     *rand.Rand
	outage  bool
	knows   map[int]bool // nodes that saw it fail during the last outage
	cold    bool
	back    time.Duration // since when
	reached []arrival     // calls while it is cold, within one window
	fallen  bool
}

type arrival struct {
	at   time.Duration
	node int
}

// New begins a day. Everything that is seen goes to note.
func New(d Day, host Host, note func(trace.Record)) *World {
	w := &World{Day: d, host: host, note: note, calls: map[uint64]*call{}}
	w.eps = make([]endpoint, len(d.Endpoints))
	for i := range w.eps {
		w.eps[i] = endpoint{phase: Active, slow: 1, errs: d.Endpoints[i].ErrorRate, rng: Random(d.Seed, "endpoint", uint64(i))}
	}
	w.dests = make([]dest, len(d.Dests))
	for i := range w.dests {
		w.dests[i] = dest{factor: 1, rng: Random(d.Seed, "destination", uint64(i)), knows: map[int]bool{}}
		if d.Dests[i].Limit > 0 {
			w.dests[i].shown = policy.Allowance{Limit: d.Dests[i].Limit, Left: 1}
			w.at(time.Duration(w.dests[i].rng.Int64N(int64(d.ReportEvery))), func() { w.refresh(i) })
		}
	}
	w.told = make([][]Phase, len(d.Nodes))
	for i := range w.told {
		w.told[i] = make([]Phase, len(w.eps))
		for j := range w.told[i] {
			w.told[i][j] = Active
		}
	}
	for _, t := range d.Troubles {
		w.at(t.From, func() { w.applyFault(t) })
	}
	return w
}

// Next is when the world has something to do.
func (w *World) Next() (time.Duration, bool) { return w.queue.Next() }

// Advance does all that is due until now.
func (w *World) Advance(now time.Duration) {
	for at, some := w.queue.Next(); some && at <= now; at, some = w.queue.Next() {
		at, do := w.queue.Pop()
		w.now = max(w.now, at)
		do()
	}
	w.now = max(w.now, now)
}

func (w *World) at(t time.Duration, do func()) { w.queue.At(max(t, w.now), do) }

// Phases is what a node's agent has been told.
func (w *World) Phases(node int) []Phase { return w.told[node] }

// Dialled is how an endpoint takes a new connection.
type Dialled int

// The ways.
const (
	Accepted Dialled = iota
	Refused
	Unheard // it never comes up
)

// door is how an endpoint takes new connections now.
func (w *World) door(ep int) Dialled {
	e := &w.eps[ep]
	full := w.Day.Endpoints[ep].Conns > 0 && e.conns >= w.Day.Endpoints[ep].Conns
	switch {
	case e.silent:
		return Unheard
	case e.down || full || e.phase == Left:
		return Refused
	}
	return Accepted
}

// knock tells the host where an endpoint's door has changed.
func (w *World) knock(ep int) {
	if as := w.door(ep); as != w.eps[ep].door {
		w.eps[ep].door = as
		w.host.Door(w.now, ep, as)
	}
}

// Dial is a node's new connection. One that is accepted has to be given back by Hangup.
func (w *World) Dial(now time.Duration, node, ep int) Dialled {
	w.Advance(now)
	e := &w.eps[ep]
	switch w.door(ep) {
	case Unheard:
		w.note(trace.Record{At: now, What: trace.NoConn, Node: node, EP: ep, Result: "silent"})
		w.observe(ep, node)
		return Unheard
	case Refused:
		w.note(trace.Record{At: now, What: trace.NoConn, Node: node, EP: ep, Result: "refused"})
		if e.down {
			w.observe(ep, node)
		}
		return Refused
	}
	e.conns++
	w.knock(ep)
	w.note(trace.Record{At: now, What: trace.Conn, Node: node, EP: ep})
	return Accepted
}

// Hangup ends a connection on which no call is out.
func (w *World) Hangup(ep int) {
	w.eps[ep].conns--
	w.knock(ep)
}

// Call is a call whose last byte the node has just written. It gives the call's number;
// its answer comes through the host, if there is one.
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

// Abandon is a node that gives a call up. The work runs on.
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

// end takes a call off the table and notes how it ended.
func (w *World) end(c *call, r trace.Record) {
	c.ended = true
	delete(w.calls, c.id)
	r.At, r.What, r.ID, r.Node, r.EP, r.Call = w.now, trace.End, c.ID, c.Node, c.EP, c.id
	r.Dest = w.Day.Endpoints[c.EP].Dest
	w.note(r)
}

// answer lets an answer set out.
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

// breakOff ends a call with its connection.
func (w *World) breakOff(c *call) {
	if c.ended {
		return
	}
	w.end(c, trace.Record{Result: trace.Reset})
	w.observe(c.EP, c.Node)
	w.host.Answer(w.now, Answer{Call: c.id, Node: c.Node, EP: c.EP, ID: c.ID})
}

// observe remembers which nodes know of an outage.
func (w *World) observe(ep, node int) {
	if d := &w.dests[w.Day.Endpoints[ep].Dest]; d.outage {
		d.knows[node] = true
	}
}

// arrive is a call that has come to its endpoint.
func (w *World) arrive(c *call) {
	e, spec := &w.eps[c.EP], w.Day.Endpoints[c.EP]
	d := &w.dests[spec.Dest]
	w.weigh(spec.Dest, c.Node)
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
	if !c.serving { // it was lost meanwhile
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

// limit is how many calls a second a destination takes now, and how long its spans are.
func (w *World) limit(dest int) float64 { return w.Day.Dests[dest].Limit * w.dests[dest].factor }

// hasCapacity asks the limit of a destination. A call that finds the queue full uses the limit
// up where refused calls do.
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
		// A bucket of a fifth of a second, one call at least.
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
	w.roll(n)
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

// roll begins a new span where the last one is over.
func (w *World) roll(n int) {
	spec, d := &w.Day.Dests[n], &w.dests[n]
	from := (w.now-spec.Phase+spec.Window)/spec.Window*spec.Window + spec.Phase - spec.Window
	if from != d.from {
		d.from, d.used = from, 0
	}
}

// refresh renews what answers tell of a limit, a while later.
func (w *World) refresh(n int) {
	spec, d := &w.Day.Dests[n], &w.dests[n]
	limit := w.limit(n)
	left := 1.0
	if w.Day.Scenario.Kinds[spec.Kind].Limit == "window" {
		w.roll(n)
		left = 1 - d.used/math.Max(1, math.Round(limit*spec.Window.Seconds()))
	} else {
		left = 1 - max(0, d.used-(w.now-d.from).Seconds()*limit)/max(1, limit/5)
	}
	noise := func() float64 { return 1 + w.Day.ReportNoise*d.rng.NormFloat64() }
	told := policy.Allowance{Limit: max(0, limit*noise()), Left: min(1, max(0, left*noise()))}
	w.at(w.now+w.Day.ReportDelay, func() { d.shown = told })
	if w.now < w.Day.Length+time.Minute {
		w.at(w.now+w.Day.ReportEvery, func() { w.refresh(n) })
	}
}

// Open is how many calls are out.
func (w *World) Open() int { return len(w.calls) }
