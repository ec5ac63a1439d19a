package paxos

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/platform/link"
)

// world is a simulation by seed: machines with disks, links between them, clients, and one clock. It panics with
// a broken when a check fails.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	events   events
	seq      int
	machines []*machine

	loss, double float64
	delay        time.Duration // of most messages, at most
	late         float64       // share of messages that come seconds late
	cut          map[[2]int]bool
	slow         time.Duration // of a Save, at most

	// What must hold.
	chain   map[uint64][]byte // the decided State of each slot
	values  map[uint64][]byte
	newest  uint64
	placed  map[uint64]uint64 // operation -> slot
	floor   uint64            // the newest slot that was answered with
	ops     map[uint64]*op
	doneN   int
	onDone  func(*op, State)
	points  int // of those where a kill may hit
	killAt  int
	killing func(*machine)
	trace   []string
	tracing bool
}

type broken string

func (w *world) fail(format string, args ...any) { panic(broken(fmt.Sprintf(format, args...))) }

func (w *world) note(format string, args ...any) {
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

type op struct {
	id      uint64
	machine int
	write   bool
	floor   uint64
	result  string // "", ok, none, doubt
}

type machine struct {
	w          *world
	i          int
	name, addr string
	id         uint64
	payloads   [][]byte
	reg        *Register
	life       int
	up         bool
	clock      time.Duration // inside a step
	busy       time.Duration
	tick       int
	last       uint64 // the newest slot told in this life
	known      bool
	failing    int     // Saves that will fail
	full       float64 // how likely a Save finds no room, and leaves the disk as it was
	saved      uint64
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newWorld(seed uint64, n, spares int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), delay: 10 * time.Millisecond, cut: map[[2]int]bool{}, slow: 5 * time.Millisecond,
		chain: map[uint64][]byte{}, values: map[uint64][]byte{}, placed: map[uint64]uint64{}, ops: map[uint64]*op{}, killAt: -1}
	var voters []Voter
	for i := range n + spares {
		m := &machine{w: w, i: i, name: fmt.Sprint("n", i), addr: fmt.Sprint("a", i), id: uint64(i + 1)}
		w.machines = append(w.machines, m)
		if i < n {
			voters = append(voters, m.voter())
		}
	}
	for i, m := range w.machines {
		m.start()
		if i < n {
			m.do(func() { m.reg.Bootstrap(voters, nil) })
		}
	}
	return w
}

func (w *world) at(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, f})
}

func (w *world) after(d time.Duration, f func()) { w.at(w.now+d, f) }

func (w *world) run(until time.Duration) { w.runWhile(until, func() bool { return true }) }

func (w *world) runWhile(until time.Duration, more func() bool) {
	for len(w.events) > 0 && w.events[0].at <= until && more() {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		e.f()
	}
	if more() {
		w.now = max(w.now, until)
	}
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}
func (w *world) any() *machine { return w.machines[w.rng.IntN(len(w.machines))] }

func (m *machine) voter() Voter { return Voter{ID: m.id, Name: m.name, Addr: m.addr} }

type killed struct{}

// point is where a kill may hit.
func (m *machine) point() {
	m.w.points++
	if m.w.points == m.w.killAt {
		panic(killed{})
	}
}

// do runs a step, as soon as the machine has time for it.
func (m *machine) do(f func()) {
	if !m.up {
		return
	}
	if m.busy > m.w.now {
		life := m.life
		m.w.at(m.busy, func() {
			if m.life == life {
				m.do(f)
			}
		})
		return
	}
	m.clock = m.w.now
	func() {
		defer func() {
			if x := recover(); x != nil {
				if _, ok := x.(killed); !ok {
					panic(x)
				}
				m.w.note("%s killed at point %d", m.name, m.w.points)
				m.kill()
				if m.w.killing != nil {
					m.w.killing(m)
				}
			}
		}()
		f()
	}()
	if !m.up {
		return
	}
	m.busy = m.clock
	if len(m.payloads) > 40 && m.reg.Failed() == nil && m.full == 0 {
		m.payloads = m.reg.Snapshot()
	}
	m.schedule()
}

func (m *machine) schedule() {
	m.tick++
	tick, next := m.tick, m.reg.Next()
	if next == Never {
		return
	}
	m.w.at(max(next, m.clock), func() {
		if m.tick == tick {
			m.do(func() {
				if next := m.reg.Tick(m.clock); next <= m.clock && m.clock == m.w.now {
					m.w.fail("%s: Tick at %v wants to come again at %v", m.name, m.clock, next)
				}
			})
		}
	})
}

func (m *machine) start() {
	w := m.w
	m.up, m.life, m.last, m.known, m.tick = true, m.life+1, 0, false, m.tick+1
	m.busy = w.now
	life := m.life
	var err error
	m.reg, err = New(Options{Name: "r", ID: m.id, Proposer: w.rng.Uint64() | 1, Rand: w.rng.Float64,
		Save: func(b []byte) error {
			m.point()
			if m.failing > 0 {
				m.failing--
				if w.chance(.5) {
					m.payloads = append(m.payloads, bytes.Clone(b))
				}
				return errors.New("the disk is sick")
			}
			if w.chance(m.full) {
				return ErrNotSaved.New("the disk is full")
			}
			m.payloads = append(m.payloads, bytes.Clone(b))
			m.clock += w.upTo(w.slow)
			m.point()
			return nil
		},
		Send: func(to Voter, b []byte) { m.point(); m.transmit(to, b) },
		Decided: func(s State) {
			if m.known && s.Slot <= m.last {
				w.fail("%s was told slot %d after %d", m.name, s.Slot, m.last)
			}
			m.known, m.last = true, s.Slot
			w.observe(m.name, s)
		}}, m.payloads)
	if err != nil {
		w.fail("%s: %v", m.name, err)
	}
	if s, ok := m.reg.State(); ok {
		w.observe(m.name, s)
		m.known, m.last = true, s.Slot
	}
	if m.known && m.last < m.saved || !m.known && m.saved > 0 {
		w.fail("%s forgot slot %d", m.name, m.saved)
	}
	m.askAround(life)
	m.do(func() { m.reg.Tick(m.clock) })
}

// askAround is what a process does that knows nothing.
func (m *machine) askAround(life int) {
	if m.life != life || !m.up || m.known {
		return
	}
	m.do(func() { m.reg.Ask(m.clock, m.w.machines[m.w.rng.IntN(len(m.w.machines))].voter()) })
	m.w.after(300*time.Millisecond, func() { m.askAround(life) })
}

func (m *machine) kill() {
	if m.up {
		m.up, m.life = false, m.life+1
		for _, o := range m.w.ops {
			if o.machine == m.i && o.result == "" {
				o.result = "doubt"
			}
		}
	}
}

func (m *machine) lose() {
	m.kill()
	m.id, m.payloads, m.saved = m.w.rng.Uint64()|1, nil, 0
	m.w.note("%s lost its disk, is now %x", m.name, m.id)
}

func (m *machine) transmit(to Voter, b []byte) {
	w := m.w
	i := slices.IndexFunc(w.machines, func(o *machine) bool { return o.addr == to.Addr })
	if i < 0 {
		w.fail("a message to %v", to)
	}
	copies := 1
	if w.chance(w.double) {
		copies = 2
	}
	for range copies {
		if w.cut[[2]int{m.i, i}] || w.chance(w.loss) {
			continue
		}
		d := w.upTo(w.delay)
		if w.chance(w.late) {
			d += w.upTo(3 * time.Second)
		}
		from, to := Voter{Name: m.name, Addr: m.addr}, w.machines[i]
		w.at(m.clock+d, func() {
			to.do(func() { to.reg.Receive(to.clock, from, b) })
		})
	}
	if w.tracing {
		_, x, _ := decode(b)
		w.note("%s -> n%d kind %d slot %d ballot %d.%x other %d", m.name, i, x.kind, x.slot, x.ballot.round, x.ballot.proposer>>48, x.other.round)
	}
}

// observe is told every State that somebody holds for decided.
func (w *world) observe(who string, s State) {
	e := &link.Writer{}
	s.Append(e)
	if b, ok := w.chain[s.Slot]; ok {
		if !bytes.Equal(b, e.B) {
			w.fail("slot %d is two things: %s has %x, others %x", s.Slot, who, s.Value, w.values[s.Slot])
		}
		return
	}
	w.note("%s is first to know slot %d, voters %v", who, s.Slot, s.Voters)
	w.chain[s.Slot], w.values[s.Slot], w.newest = e.B, s.Value, max(w.newest, s.Slot)
	if len(s.Value) != 8*int(s.Slot) {
		w.fail("slot %d has %d operations", s.Slot, len(s.Value)/8)
	}
	for i := range s.Slot {
		id := binary.BigEndian.Uint64(s.Value[8*i:]) & (1<<32 - 1)
		if at, ok := w.placed[id]; ok && at != i+1 {
			w.fail("operation %d stands at slots %d and %d", id, at, i+1)
		}
		w.placed[id] = i + 1
	}
	for slot, v := range w.values {
		if !bytes.HasPrefix(s.Value, v) && !bytes.HasPrefix(v, s.Value) {
			w.fail("slots %d and %d are no chain", slot, s.Slot)
		}
	}
}

var errConflict = errors.New("conflict")

// propose starts an operation; change nil: one that only writes.
func (w *world) propose(m *machine, timeout time.Duration, change func(State) (State, error)) *op {
	o := &op{id: uint64(len(w.ops) + 1), machine: m.i, write: true, floor: w.floor}
	w.ops[o.id] = o
	life, calls := m.life, uint64(0)
	m.do(func() {
		o.floor = w.floor
		m.reg.Propose(m.clock, timeout, func(cur State) (State, error) {
			w.observe(m.name, cur)
			if cur.Slot < o.floor {
				w.fail("operation %d started at slot %d or later, and was called with %d", o.id, o.floor, cur.Slot)
			}
			if change != nil {
				next, err := change(cur.Clone())
				if err != nil {
					return State{}, err
				}
				cur = next
			}
			calls++
			cur.Value = binary.BigEndian.AppendUint64(cur.Value, o.id|calls<<32) // each call makes another value
			return cur, nil
		}, func(s State, err error) { w.done(m, life, o, s, err) })
	})
	return o
}

func (w *world) read(m *machine, timeout time.Duration) *op {
	o := &op{id: uint64(len(w.ops) + 1), machine: m.i, floor: w.floor}
	w.ops[o.id] = o
	life := m.life
	m.do(func() {
		o.floor = w.floor
		m.reg.Read(m.clock, timeout, func(s State, err error) { w.done(m, life, o, s, err) })
	})
	return o
}

func (w *world) done(m *machine, life int, o *op, s State, err error) {
	w.note("%s: operation %d: slot %d, %v", m.name, o.id, s.Slot, err)
	if o.result != "" {
		w.fail("operation %d ends twice", o.id)
	}
	switch {
	case err == nil:
		o.result = "ok"
		w.observe(m.name, s)
		if s.Slot < o.floor {
			w.fail("operation %d started at slot %d or later and is answered with %d", o.id, o.floor, s.Slot)
		}
		at, there := w.placed[o.id]
		switch {
		case o.write && there && at != s.Slot:
			w.fail("operation %d is at slot %d and is answered with %d", o.id, at, s.Slot)
		case o.write && there && s.Slot <= o.floor:
			w.fail("operation %d was written before it started", o.id)
		case o.write && !there:
			o.result = "none" // unchanged
		}
		w.floor = max(w.floor, s.Slot)
		w.doneN++
		if w.onDone != nil {
			w.onDone(o, s)
		}
	case ErrTimeout.Has(err):
		o.result = "doubt"
		if !o.write {
			w.fail("a read in doubt")
		}
	default:
		o.result = "none"
	}
}

// check looks back at a chain that has ended.
func (w *world) check() {
	for _, o := range w.ops {
		at, there := w.placed[o.id]
		switch {
		case o.result == "none" && there:
			w.fail("operation %d was refused and is at slot %d", o.id, at)
		case o.result == "ok" && o.write && !there:
			w.fail("operation %d was acknowledged and is nowhere", o.id)
		}
	}
}

// calm ends all troubles and starts all machines.
func (w *world) calm() {
	w.loss, w.double, w.late, w.delay, w.slow, w.killAt = 0, 0, 0, 10*time.Millisecond, 5*time.Millisecond, -1
	clear(w.cut)
	for _, m := range w.machines {
		m.failing, m.full = 0, 0
		if m.reg.Failed() != nil {
			m.kill() // as a process whose disk fails does
		}
		if !m.up {
			m.start()
		}
	}
}

// allRead has every machine read, and fails if one can't within the time, or reads something old.
func (w *world) allRead(within time.Duration) {
	var all []*op
	for _, m := range w.machines {
		all = append(all, w.read(m, within))
	}
	until := w.now + within + 10*time.Second
	w.runWhile(until, func() bool { return slices.ContainsFunc(all, func(o *op) bool { return o.result == "" }) })
	for _, o := range all {
		if o.result != "ok" {
			w.fail("%s can't read at the end: %q", w.machines[o.machine].name, o.result)
		}
	}
}
