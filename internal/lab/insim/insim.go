// Package insim runs a simulation in one goroutine and in simulated time: a policy.Sender for each node against the lab's world. A
// seed yields the same trace on any machine.
package insim

import (
	"errors"
	"fmt"
	"time"

	"dunetide/internal/deliverynode/wire"
	"dunetide/internal/lab/agenda"
	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
	"dunetide/policy"
)

// clockStart keeps the policy's clock away from zero, which the policy takes for "never".
const clockStart = time.Hour

// restartTime is the downtime of a restarted node: 0.6 s until the process is started, plus its start-up.
const restartTime = 800 * time.Millisecond

// refusalDelay is the time until a refused connection is detected, in addition to the round trip.
const refusalDelay = time.Millisecond

// maxSteps limits the steps that a run may take without its clock advancing.
const maxSteps = 1 << 20

// Run simulates a day. stop, which may be nil, ends the run early, between two points in time.
func Run(d world.Day, note func(trace.Record), stop func(now time.Duration) bool) error {
	s, err := newSim(d, note)
	if err != nil {
		return err
	}
	return s.run(stop)
}

type sim struct {
	day      world.Day
	world    *world.World
	settings policy.Settings
	note     func(trace.Record)
	nodes    []*node
	queue    agenda.Agenda
	now      time.Duration
	calls    map[uint64]*attempt // calls in flight, by the world's call number
	last     uint64
	tries    map[policy.MessageID]world.Try // without an end at any node
	end      time.Duration
}

type node struct {
	me         int
	sender     *policy.Sender
	batch      []policy.Event
	actions    []policy.Action
	due        time.Duration // of the scheduled step; 0: none
	wake       time.Duration
	phase      time.Duration // offset of its ticks
	up         bool
	stopped    bool // by SIGSTOP: it does nothing until it is resumed
	held       map[policy.MessageID]*message
	order      []policy.MessageID // held messages, oldest first
	pools      [][]*conn          // idle connections, by endpoint
	memories   map[int]*memory
	out        map[*attempt]bool
	generation int
}

type message struct {
	try      world.Try
	id       policy.MessageID
	attempts int
	ran      bool
	settled  bool
	ranAt    time.Duration
	out      *attempt
}

// memory is what the journal keeps of an endpoint across restarts of a node.
type memory struct {
	sent []time.Duration
	runs []policy.Run // its times are in policy time
}

type conn struct {
	ep   int
	idle time.Duration // last used; each use updates it
	uses int
}

type attempt struct {
	node       *node
	generation int
	msg        *message
	number     int
	ep         int
	sent       time.Duration
	conn       *conn
	call       uint64 // call number in the world; 0 while it connects
	done       bool
}

func newSim(d world.Day, note func(trace.Record)) (*sim, error) {
	s := &sim{day: d, note: note, calls: map[uint64]*attempt{}, tries: map[policy.MessageID]world.Try{}, end: d.Length}
	settings, err := wire.DecodeSettings(d.Settings(0))
	if err != nil {
		return nil, fmt.Errorf("decoding the settings of the day: %w", err)
	}
	s.settings = settings
	s.world = world.New(d, s, note)
	for i := range d.Nodes {
		n := &node{me: i, phase: time.Duration(world.Random(d.Seed, "phase", uint64(i)).Int64N(int64(settings.Tick)))}
		s.nodes = append(s.nodes, n)
		s.start(n, nil)
	}
	for i := range d.Messages {
		t := world.Try{Message: i, At: d.Messages[i].At, Node: d.Messages[i].Node}
		s.end = max(s.end, d.Until(t))
		s.at(t.At, func() { s.submit(t) })
	}
	s.end += time.Second
	return s, nil
}

func (s *sim) at(t time.Duration, do func()) { s.queue.At(max(t, s.now), do) }

func (s *sim) run(stop func(time.Duration) bool) error {
	for still := 0; ; still++ {
		at, some := s.queue.Next()
		theirs, has := s.world.Next()
		if has && (!some || theirs <= at) {
			at, some = theirs, true
		}
		if !some || at > s.end {
			s.note(trace.Record{At: s.end, What: trace.RunEnded})
			return nil
		}
		if at > s.now {
			still = 0
			if stop != nil && stop(at) {
				return errors.New("stopped")
			}
		}
		if still > maxSteps {
			return fmt.Errorf("the clock is stuck at %v after %d steps", s.now, still)
		}
		s.now = at
		if has && theirs <= at {
			s.world.Advance(at)
			continue
		}
		_, do := s.queue.Pop()
		do()
	}
}

// clock returns the time in the policy's clock.
func (s *sim) clock() policy.Time { return clockStart + s.now }

// submit submits a client's try to a node.
func (s *sim) submit(t world.Try) {
	s.note(s.day.Submitted(t))
	n := s.nodes[t.Node]
	if !n.up || n.stopped { // refused or no answer: the client tries another node
		s.note(trace.Record{At: s.now, What: trace.TurnedAway, ID: t.ID(), Node: t.Node})
		if next, ok := s.day.RetryAfterFailure(t, s.now); ok {
			s.at(next.At, func() { s.submit(next) })
		}
		return
	}
	if len(n.held) >= s.settings.MaxHeld {
		s.note(trace.Record{At: s.now, What: trace.TurnedAway, ID: t.ID(), Node: t.Node, Status: 503, Wait: time.Second})
		s.retryAfterRefusal(t, time.Second)
		return
	}
	s.note(trace.Record{At: s.now, What: trace.Accepted, ID: t.ID(), Node: t.Node})
	s.last++
	m := &message{try: t, id: policy.MessageID(s.last)}
	n.held[m.id] = m
	n.order = append(n.order, m.id)
	s.enqueue(n, s.arrived(m))
}

func (s *sim) retryAfterRefusal(t world.Try, wait time.Duration) {
	if next, ok := s.day.RetryAfterRefusal(t, s.now, wait); ok {
		s.at(next.At, func() { s.submit(next) })
	}
}

func (s *sim) arrived(m *message) policy.Arrived {
	spec := s.day.Messages[m.try.Message]
	a := policy.Arrived{Message: m.id, Destination: spec.Dest, Class: spec.Class, GiveUpAt: clockStart + s.day.Until(m.try)}
	if m.attempts > 0 {
		a.Past = policy.Past{Attempts: m.attempts, MayRun: m.ran, RanAt: clockStart + m.ranAt}
	}
	return a
}

// enqueue queues an event for a node, which handles it at its next tick.
func (s *sim) enqueue(n *node, e policy.Event) {
	n.batch = append(n.batch, e)
	s.scheduleStep(n, s.now)
}

// scheduleStep schedules a step of a node at its first tick from the given time on.
func (s *sim) scheduleStep(n *node, at time.Duration) {
	tick := s.settings.Tick
	at = (max(at, s.now)-n.phase+tick-1)/tick*tick + n.phase
	if at <= s.now {
		at += tick
	}
	if n.due > 0 && n.due <= at {
		return
	}
	n.due = at
	generation := n.generation
	s.at(at, func() {
		if n.generation == generation && n.due == at {
			s.step(n)
		}
	})
}

func (s *sim) step(n *node) {
	n.due = 0
	if !n.up || n.stopped {
		return
	}
	if n.wake > 0 && s.now >= n.wake {
		n.wake = 0
		n.batch = append(n.batch, policy.Woken{})
	}
	n.actions = n.sender.Step(s.clock(), n.batch, n.actions[:0])
	n.batch = n.batch[:0]
	for _, a := range n.actions {
		switch a := a.(type) {
		case policy.Send:
			s.send(n, a)
		case policy.Refuse:
			s.finish(n, a.Message, "handed_back", a.Wait)
		case policy.Fail:
			s.finish(n, a.Message, "given_up", 0)
		case policy.CloseIdle:
			s.closeIdle(n, int(a.Endpoint)-1)
		case policy.Wake:
			n.wake = a.At - clockStart
		}
	}
	if n.wake > 0 { // also if this step ran before the wake-up time, for another reason
		s.scheduleStep(n, n.wake)
	}
}

func (s *sim) finish(n *node, id policy.MessageID, how string, wait time.Duration) {
	m := n.held[id]
	if m == nil {
		return
	}
	s.drop(n, m)
	s.note(trace.Record{At: s.now, What: trace.Notice, ID: m.try.ID(), Node: n.me, Result: how, Wait: wait})
	if how == "handed_back" {
		s.retryAfterRefusal(m.try, wait)
	}
}

func (s *sim) drop(n *node, m *message) {
	delete(n.held, m.id)
	for i, id := range n.order {
		if id == m.id {
			n.order = append(n.order[:i], n.order[i+1:]...)
			break
		}
	}
}

// memory returns the node's memory of an endpoint, as the journal keeps it.
func (n *node) memory(ep int) *memory {
	if n.memories[ep] == nil {
		n.memories[ep] = &memory{}
	}
	return n.memories[ep]
}

func (s *sim) send(n *node, a policy.Send) {
	m := n.held[a.Message]
	ep := int(a.Endpoint) - 1
	t := &attempt{node: n, generation: n.generation, ep: ep, sent: s.now, msg: m}
	if m == nil {
		s.note(trace.Record{At: s.now, What: trace.ProtocolError, Node: n.me, EP: ep, Result: "the policy sent a message that it does not hold"})
		return
	}
	t.number = m.attempts
	m.attempts++
	m.out = t
	if len(n.out) >= s.settings.Slots {
		s.at(s.now, func() { s.endAttempt(t, policy.Moot, 0, policy.Allowance{}) })
		return
	}
	n.out[t] = true
	mem := n.memory(ep)
	mem.sent = append(mem.sent, s.now)
	if len(mem.sent) > 64 {
		mem.sent = mem.sent[1:]
	}
	s.at(s.now+a.Timeout, func() { s.timeout(t) })
	pool := n.pools[ep]
	if len(pool) > 0 {
		t.conn = pool[len(pool)-1]
		n.pools[ep] = pool[:len(pool)-1]
		s.dispatch(t, false)
		return
	}
	switch s.world.Dial(s.now, n.me, ep) {
	case world.Accepted:
		t.conn = &conn{ep: ep}
		s.dispatch(t, true)
	case world.Refused:
		s.at(s.now+2*s.day.OneWay+refusalDelay, func() { s.endAttempt(t, policy.Unreachable, 0, policy.Allowance{}) })
	case world.NoAnswer:
		s.at(s.now+s.settings.ConnectTimeout, func() { s.endAttempt(t, policy.Unreachable, 0, policy.Allowance{}) })
	}
}

func (s *sim) dispatch(t *attempt, fresh bool) {
	m := t.msg
	if !m.ran {
		m.ran, m.ranAt = true, s.now // until it is known that it did not run
	}
	t.conn.uses++
	t.call = s.world.Call(s.now, world.Attempt{ID: m.try.ID(), Message: m.try.Message, Try: m.try.Number<<8 | t.number, Node: t.node.me,
		EP: t.ep, Fresh: fresh, Began: s.now})
	s.calls[t.call] = t
}

func (s *sim) timeout(t *attempt) {
	if t.done || t.generation != t.node.generation || t.node.stopped {
		return
	}
	s.hangUp(t)
	if t.call == 0 {
		s.endAttempt(t, policy.Unreachable, 0, policy.Allowance{})
		return
	}
	s.endAttempt(t, policy.TimedOut, 0, policy.Allowance{})
}

// hangUp abandons a call and closes its connection.
func (s *sim) hangUp(t *attempt) {
	if t.call != 0 {
		delete(s.calls, t.call)
		s.world.Abandon(s.now, t.call)
	}
	if t.conn != nil {
		s.world.Hangup(t.ep)
		t.conn = nil
	}
}

// Answer implements world.Host.
func (s *sim) Answer(now time.Duration, a world.Answer) {
	s.now = now
	t := s.calls[a.Call]
	if t == nil {
		return
	}
	delete(s.calls, a.Call)
	n := t.node
	if a.Status == 0 {
		s.world.Hangup(t.ep)
		s.endAttempt(t, policy.Reset, 0, policy.Allowance{})
		return
	}
	c := t.conn
	c.idle = now
	n.pools[t.ep] = append(n.pools[t.ep], c)
	generation, uses := n.generation, c.uses
	s.at(now+seconds(s.day.Scenario.Rules.IdleS), func() {
		if n.generation == generation && c.uses == uses {
			s.closeConn(n, c)
		}
	})
	switch a.Status {
	case 200:
		s.endAttempt(t, policy.Delivered, 0, a.Report)
	case 500:
		s.endAttempt(t, policy.Failed, 0, a.Report)
	default:
		s.endAttempt(t, policy.Full, a.Wait, a.Report)
	}
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func (s *sim) closeConn(n *node, c *conn) {
	for i, o := range n.pools[c.ep] {
		if o == c {
			n.pools[c.ep] = append(n.pools[c.ep][:i], n.pools[c.ep][i+1:]...)
			s.world.Hangup(c.ep)
			return
		}
	}
}

func (s *sim) closeIdle(n *node, ep int) {
	for range n.pools[ep] {
		s.world.Hangup(ep)
	}
	n.pools[ep] = nil
}

// endAttempt reports the end of an attempt to the policy.
func (s *sim) endAttempt(t *attempt, o policy.Outcome, wait time.Duration, told policy.Allowance) {
	n, m := t.node, t.msg
	if t.done || t.generation != n.generation {
		return
	}
	t.done = true
	delete(n.out, t)
	m.out = nil
	mem := n.memory(t.ep)
	switch o {
	case policy.Full, policy.Unreachable, policy.Moot:
		if !m.settled {
			m.ran = false
		}
	default:
		m.ran, m.settled = true, true
	}
	switch o {
	case policy.Delivered:
		if k := len(mem.runs); k > 0 && !mem.runs[k-1].Back {
			mem.runs[k-1].Back, mem.runs[k-1].BackAt = true, clockStart+s.now
		}
		if n.held[m.id] != nil {
			s.drop(n, m)
		}
	case policy.Failed, policy.Reset, policy.TimedOut, policy.Unreachable:
		if k := len(mem.runs); k == 0 || mem.runs[k-1].Back {
			mem.runs = append(mem.runs, policy.Run{})
		}
		run := &mem.runs[len(mem.runs)-1]
		run.Outcomes, run.FailedAt = append(run.Outcomes, o), clockStart+s.now
	}
	s.enqueue(n, policy.Ended{Message: m.id, Attempt: t.number, Endpoint: policy.EndpointID(t.ep + 1), Outcome: o, Wait: wait,
		Final: o == policy.Delivered, Took: s.now - t.sent, Told: told})
}

// DialResultChanged implements world.Host. It does nothing, as each connection attempt asks the world itself.
func (s *sim) DialResultChanged(time.Duration, int, world.DialResult) {}

// Listed implements world.Host.
func (s *sim) Listed(now time.Duration, me int, eps []int) {
	s.now = now
	if n := s.nodes[me]; n.up {
		s.enqueue(n, s.list(me, eps, false))
	}
}

func (s *sim) list(me int, eps []int, whole bool) policy.Listed {
	l := policy.Listed{Whole: whole}
	for _, ep := range eps {
		m := s.world.Member(me, ep, "")
		state := policy.Ready
		switch m.Phase {
		case world.Leaving:
			state = policy.Draining
		case world.Left:
			state = policy.Gone
		}
		if whole && state == policy.Gone {
			continue
		}
		l.Entries = append(l.Entries, policy.Entry{Endpoint: policy.EndpointID(ep + 1), Destination: m.Cell,
			Kind: s.day.Dests[m.Cell].Kind, State: state, Rate: m.Size})
	}
	return l
}

// start starts a node with the state and the messages that its journal holds.
func (s *sim) start(n *node, unfinished []*message) {
	n.generation++
	n.up, n.due, n.wake, n.batch = true, 0, 0, nil
	n.sender = policy.New(s.settings, world.Random(s.day.Seed, "sender", uint64(n.me), uint64(n.generation)).Uint64())
	n.held, n.order, n.out = map[policy.MessageID]*message{}, nil, map[*attempt]bool{}
	n.pools = make([][]*conn, len(s.day.Endpoints))
	if n.memories == nil {
		n.memories = map[int]*memory{}
	}
	all := make([]int, len(s.day.Endpoints))
	for i := range all {
		all[i] = i
	}
	s.note(trace.Record{At: s.now, What: trace.Ready, Node: n.me})
	n.batch = append(n.batch, s.list(n.me, all, true))
	for _, ep := range all {
		m := n.memories[ep]
		if m == nil {
			continue
		}
		r := policy.EndpointHistory{Endpoint: policy.EndpointID(ep + 1)}
		for _, at := range m.sent {
			if s.now-at < 15*time.Second {
				r.Sent = append(r.Sent, clockStart+at)
			}
		}
		r.Runs = m.runs
		n.batch = append(n.batch, r)
	}
	for _, m := range unfinished {
		n.held[m.id] = m
		n.order = append(n.order, m.id)
		n.batch = append(n.batch, s.arrived(m))
	}
	s.scheduleStep(n, s.now)
}

// ApplyNodeFault implements world.Host.
func (s *sim) ApplyNodeFault(now time.Duration, t world.Fault, me int) {
	s.now = now
	n := s.nodes[me]
	switch t.What {
	case "kill":
		s.kill(n, "SIGKILL", t.Lost)
	case "term":
		// Calls in flight may finish until the process is killed; the journal keeps the rest.
		if n.up {
			s.at(now+2200*time.Millisecond, func() { s.kill(n, "SIGTERM", t.Lost) })
		}
	case "stop":
		if !n.up {
			return
		}
		n.stopped = true
		generation := n.generation
		s.at(t.Until, func() {
			if n.generation != generation {
				return
			}
			n.stopped = false
			for _, a := range sorted(n.out) { // their timeouts may have passed meanwhile
				s.at(s.now, func() { s.endOverdue(a) })
			}
			s.scheduleStep(n, s.now)
		})
	}
}

// endOverdue ends a call whose timeout passed while its node was stopped.
func (s *sim) endOverdue(a *attempt) {
	if !a.done && s.now-a.sent > 2*time.Second {
		s.timeout(a)
	}
}

func sorted(out map[*attempt]bool) []*attempt {
	var all []*attempt
	for a := range out {
		all = append(all, a)
	}
	// Ordered by the time of sending and by message, as the iteration order of a map is random.
	for i := 1; i < len(all); i++ {
		for j := i; j > 0 && (all[j].sent < all[j-1].sent || all[j].sent == all[j-1].sent && all[j].msg.id < all[j-1].msg.id); j-- {
			all[j], all[j-1] = all[j-1], all[j]
		}
	}
	return all
}

func (s *sim) kill(n *node, signal string, lost bool) {
	if !n.up {
		return
	}
	n.up, n.stopped = false, false
	if lost {
		signal = "lost"
	}
	s.note(trace.Record{At: s.now, What: trace.Stop, Node: n.me, Result: signal})
	for _, a := range sorted(n.out) {
		a.done = true
		s.hangUp(a)
		a.msg.out = nil
		a.msg.settled = a.msg.ran
	}
	for ep := range n.pools {
		s.closeIdle(n, ep)
	}
	var unfinished []*message
	for _, id := range n.order {
		unfinished = append(unfinished, n.held[id])
	}
	if lost {
		for _, m := range unfinished {
			if m.ran && s.settings.Classes[s.day.Messages[m.try.Message].Class].Repeat == policy.AtMostOnce {
				continue
			}
			if next, ok := s.day.RetryAfterFailure(m.try, s.now); ok {
				s.at(next.At, func() { s.submit(next) })
			}
		}
		unfinished, n.memories = nil, nil
	}
	generation := n.generation
	s.at(s.now+restartTime, func() {
		if n.generation == generation {
			s.note(trace.Record{At: s.now, What: trace.Start, Node: n.me})
			s.start(n, unfinished)
		}
	})
}
