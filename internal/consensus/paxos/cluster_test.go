package paxos

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/lab/simulation"
	"dunetide/internal/platform/link"
)

// cluster is a simulation determined by its seed: machines with disks, the network between them, clients, and one
// clock. Checks that fail end it with a simulation.Violation.
type cluster struct {
	simulation.Scheduler
	rng      *rand.Rand
	machines []*machine

	loss, duplicate float64
	maxDelay        time.Duration // of most messages
	lateShare       float64       // share of messages that arrive up to 3 s late
	partitioned     map[[2]int]bool
	maxSaveTime     time.Duration

	// The observed decisions and results, which the checks compare.
	decided      map[uint64][]byte // the decided State of each slot
	values       map[uint64][]byte
	newest       uint64
	slotOf       map[uint64]uint64 // slot of each operation
	acknowledged uint64            // the newest slot with which an operation has ended
	ops          map[uint64]*op
	doneCount    int
	onDone       func(*op, State)

	killPoints int // number of kill points passed so far
	killAt     int // number of the kill point at which the process is killed
	onKill     func(*machine)

	trace simulation.Trace
}

func (c *cluster) tracef(format string, args ...any) { c.trace.Addf(c.Now(), format, args...) }

// op is an operation of a client.
type op struct {
	id                 uint64
	machine            int
	write              bool
	acknowledgedBefore uint64
	result             string // "", ok, none (nothing written) or unknown
}

// machine has a disk and, while it is up, a process with a Register.
type machine struct {
	cluster      *cluster
	index        int
	name, addr   string
	id           uint64
	records      [][]byte
	register     *Register
	incarnation  int
	up           bool
	clock        time.Duration // inside a step
	busyUntil    time.Duration
	ticks        int
	lastNotified uint64 // the newest slot passed to OnDecided in this incarnation
	known        bool
	failingSaves int     // number of the next Saves that fail
	fullShare    float64 // probability that a Save fails for lack of space and leaves the disk unchanged
	storedSlot   uint64
}

func newCluster(seed uint64, n, spares int) *cluster {
	c := &cluster{
		rng:         rand.New(rand.NewPCG(seed, 7)),
		maxDelay:    10 * time.Millisecond,
		partitioned: map[[2]int]bool{},
		maxSaveTime: 5 * time.Millisecond,
		decided:     map[uint64][]byte{},
		values:      map[uint64][]byte{},
		slotOf:      map[uint64]uint64{},
		ops:         map[uint64]*op{},
		killAt:      -1,
	}
	var voters []Voter
	for i := range n + spares {
		m := &machine{cluster: c, index: i, name: fmt.Sprint("n", i), addr: fmt.Sprint("a", i), id: uint64(i + 1)}
		c.machines = append(c.machines, m)
		if i < n {
			voters = append(voters, m.voter())
		}
	}
	for i, m := range c.machines {
		m.start()
		if i < n {
			m.step(func() { m.register.Bootstrap(voters, nil) })
		}
	}
	return c
}

func (c *cluster) chance(p float64) bool { return p > 0 && c.rng.Float64() < p }
func (c *cluster) upTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}
func (c *cluster) randomMachine() *machine { return c.machines[c.rng.IntN(len(c.machines))] }

func (m *machine) voter() Voter { return Voter{ID: m.id, Name: m.name, Addr: m.addr} }

type killed struct{}

// killPoint marks a point at which the process may be killed.
func (m *machine) killPoint() {
	m.cluster.killPoints++
	if m.cluster.killPoints == m.cluster.killAt {
		panic(killed{})
	}
}

// step runs a step of the process once the machine is no longer busy.
func (m *machine) step(f func()) {
	if !m.up {
		return
	}
	if m.busyUntil > m.cluster.Now() {
		incarnation := m.incarnation
		m.cluster.At(m.busyUntil, func() {
			if m.incarnation == incarnation {
				m.step(f)
			}
		})
		return
	}
	m.clock = m.cluster.Now()
	func() {
		defer func() {
			if x := recover(); x != nil {
				if _, ok := x.(killed); !ok {
					panic(x)
				}
				m.cluster.tracef("%s killed at point %d", m.name, m.cluster.killPoints)
				m.kill()
				if m.cluster.onKill != nil {
					m.cluster.onKill(m)
				}
			}
		}()
		f()
	}()
	if !m.up {
		return
	}
	m.busyUntil = m.clock
	m.storedSlot, _ = m.register.StoredSlot()
	if len(m.records) > 40 && m.register.FatalError() == nil && m.fullShare == 0 {
		m.records = m.register.Snapshot()
	}
	m.scheduleTick()
}

func (m *machine) scheduleTick() {
	m.ticks++
	tick, next := m.ticks, m.register.NextTick()
	if next == Never {
		return
	}
	m.cluster.At(max(next, m.clock), func() {
		if m.ticks == tick {
			m.step(func() {
				if next := m.register.Tick(m.clock); next <= m.clock && m.clock == m.cluster.Now() {
					simulation.Failf("%s: Tick at %v returned the next tick %v", m.name, m.clock, next)
				}
			})
		}
	})
}

func (m *machine) start() {
	c := m.cluster
	m.up, m.busyUntil = true, c.Now()
	m.incarnation++
	m.ticks++
	m.lastNotified, m.known = 0, false
	incarnation := m.incarnation
	var err error
	m.register, err = New(Options{
		Name:       "r",
		ID:         m.id,
		ProposerID: c.rng.Uint64() | 1,
		Rand:       c.rng.Float64,
		Save:       m.save,
		Send: func(to Voter, b []byte) {
			m.killPoint()
			m.transmit(to, b)
		},
		OnDecided: m.decided,
	}, m.records)
	if err != nil {
		simulation.Failf("%s: %v", m.name, err)
	}
	if s, ok := m.register.State(); ok {
		c.observe(m.name, s)
		m.known, m.lastNotified = true, s.Slot
	}
	if m.known && m.lastNotified < m.storedSlot || !m.known && m.storedSlot > 0 {
		simulation.Failf("%s lost the stored slot %d", m.name, m.storedSlot)
	}
	m.requestStateFromAny(incarnation)
	m.step(func() { m.register.Tick(m.clock) })
}

func (m *machine) save(record []byte) error {
	c := m.cluster
	m.killPoint()
	if m.failingSaves > 0 {
		m.failingSaves--
		if c.chance(.5) {
			m.records = append(m.records, bytes.Clone(record))
		}
		return errors.New("the disk fails")
	}
	if c.chance(m.fullShare) {
		return ErrNotSaved.New("the disk is full")
	}
	m.records = append(m.records, bytes.Clone(record))
	m.clock += c.upTo(c.maxSaveTime)
	m.killPoint()
	return nil
}

func (m *machine) decided(s State) {
	if m.known && s.Slot <= m.lastNotified {
		simulation.Failf("%s was notified of slot %d after %d", m.name, s.Slot, m.lastNotified)
	}
	m.known, m.lastNotified = true, s.Slot
	m.cluster.observe(m.name, s)
}

// requestStateFromAny requests the State from random machines until the process knows one.
func (m *machine) requestStateFromAny(incarnation int) {
	if m.incarnation != incarnation || !m.up || m.known {
		return
	}
	m.step(func() {
		m.register.RequestState(m.clock, m.cluster.machines[m.cluster.rng.IntN(len(m.cluster.machines))].voter())
	})
	m.cluster.After(300*time.Millisecond, func() { m.requestStateFromAny(incarnation) })
}

func (m *machine) kill() {
	if m.up {
		m.up, m.incarnation = false, m.incarnation+1
		for _, o := range m.cluster.ops {
			if o.machine == m.index && o.result == "" {
				o.result = "unknown"
			}
		}
	}
}

func (m *machine) loseDisk() {
	m.kill()
	m.id, m.records, m.storedSlot = m.cluster.rng.Uint64()|1, nil, 0
	m.cluster.tracef("%s lost its disk, is now %x", m.name, m.id)
}

func (m *machine) transmit(to Voter, b []byte) {
	c := m.cluster
	i := slices.IndexFunc(c.machines, func(o *machine) bool { return o.addr == to.Addr })
	if i < 0 {
		simulation.Failf("a message to the unknown address of %v", to)
	}
	copies := 1
	if c.chance(c.duplicate) {
		copies = 2
	}
	for range copies {
		if c.partitioned[[2]int{m.index, i}] || c.chance(c.loss) {
			continue
		}
		d := c.upTo(c.maxDelay)
		if c.chance(c.lateShare) {
			d += c.upTo(3 * time.Second)
		}
		from, to := Voter{Name: m.name, Addr: m.addr}, c.machines[i]
		c.At(m.clock+d, func() {
			to.step(func() { to.register.Receive(to.clock, from, b) })
		})
	}
	if c.trace.Enabled {
		_, sent, _ := decodeMessage(b)
		c.tracef("%s -> n%d kind %d slot %d number %d.%x reported %d", m.name, i, sent.kind, sent.slot,
			sent.number.Round, sent.number.Proposer>>48, sent.reported.Round)
	}
}

// observe checks a State that a process has learned as decided.
func (c *cluster) observe(node string, s State) {
	e := &link.Writer{}
	s.Append(e)
	if b, ok := c.decided[s.Slot]; ok {
		if !bytes.Equal(b, e.Buf) {
			simulation.Failf("slot %d has two States: %s has value %x, others %x", s.Slot, node, s.Value, c.values[s.Slot])
		}
		return
	}
	c.tracef("%s is the first to learn slot %d, voters %v", node, s.Slot, s.Voters)
	c.decided[s.Slot], c.values[s.Slot], c.newest = e.Buf, s.Value, max(c.newest, s.Slot)
	if len(s.Value) != 8*int(s.Slot) {
		simulation.Failf("slot %d has %d operations", s.Slot, len(s.Value)/8)
	}
	for i := range s.Slot {
		id := binary.BigEndian.Uint64(s.Value[8*i:]) & (1<<32 - 1)
		if at, ok := c.slotOf[id]; ok && at != i+1 {
			simulation.Failf("operation %d is at slots %d and %d", id, at, i+1)
		}
		c.slotOf[id] = i + 1
	}
	for slot, v := range c.values {
		if !bytes.HasPrefix(s.Value, v) && !bytes.HasPrefix(v, s.Value) {
			simulation.Failf("the values of slots %d and %d do not extend each other", slot, s.Slot)
		}
	}
}

var errConflict = errors.New("conflict")

// propose starts a change that also writes the operation; with a nil change it writes only the operation.
func (c *cluster) propose(m *machine, timeout time.Duration, change func(State) (State, error)) *op {
	o := &op{id: uint64(len(c.ops) + 1), machine: m.index, write: true, acknowledgedBefore: c.acknowledged}
	c.ops[o.id] = o
	calls := uint64(0)
	m.step(func() {
		o.acknowledgedBefore = c.acknowledged
		m.register.Propose(m.clock, timeout, func(cur State) (State, error) {
			c.observe(m.name, cur)
			if cur.Slot < o.acknowledgedBefore {
				simulation.Failf("operation %d started at slot %d or later, but its change was called with slot %d",
					o.id, o.acknowledgedBefore, cur.Slot)
			}
			if change != nil {
				next, err := change(cur.Clone())
				if err != nil {
					return State{}, err
				}
				cur = next
			}
			calls++
			cur.Value = binary.BigEndian.AppendUint64(cur.Value, o.id|calls<<32) // each call returns a distinct value
			return cur, nil
		}, func(s State, err error) { c.done(m, o, s, err) })
	})
	return o
}

func (c *cluster) read(m *machine, timeout time.Duration) *op {
	o := &op{id: uint64(len(c.ops) + 1), machine: m.index, acknowledgedBefore: c.acknowledged}
	c.ops[o.id] = o
	m.step(func() {
		o.acknowledgedBefore = c.acknowledged
		m.register.Read(m.clock, timeout, func(s State, err error) { c.done(m, o, s, err) })
	})
	return o
}

func (c *cluster) done(m *machine, o *op, s State, err error) {
	c.tracef("%s: operation %d: slot %d, %v", m.name, o.id, s.Slot, err)
	if o.result != "" {
		simulation.Failf("operation %d ends twice", o.id)
	}
	switch {
	case err == nil:
		o.result = "ok"
		c.observe(m.name, s)
		if s.Slot < o.acknowledgedBefore {
			simulation.Failf("operation %d started at slot %d or later, but ended with slot %d",
				o.id, o.acknowledgedBefore, s.Slot)
		}
		at, found := c.slotOf[o.id]
		switch {
		case o.write && found && at != s.Slot:
			simulation.Failf("operation %d is at slot %d, but ended with slot %d", o.id, at, s.Slot)
		case o.write && found && s.Slot <= o.acknowledgedBefore:
			simulation.Failf("operation %d was written before it started", o.id)
		case o.write && !found:
			o.result = "none" // unchanged
		}
		c.acknowledged = max(c.acknowledged, s.Slot)
		c.doneCount++
		if c.onDone != nil {
			c.onDone(o, s)
		}
	case ErrOutcomeUnknown.Has(err):
		o.result = "unknown"
		if !o.write {
			simulation.Failf("a read ended with ErrOutcomeUnknown")
		}
	default:
		o.result = "none"
	}
}

// checkOperations compares the results of all operations with the decided States.
func (c *cluster) checkOperations() {
	for _, o := range c.ops {
		at, found := c.slotOf[o.id]
		switch {
		case o.result == "none" && found:
			simulation.Failf("operation %d ended as not written, but is at slot %d", o.id, at)
		case o.result == "ok" && o.write && !found:
			simulation.Failf("operation %d was acknowledged, but is in no slot", o.id)
		}
	}
}

// endFaults ends all faults and starts all machines.
func (c *cluster) endFaults() {
	c.loss, c.duplicate, c.lateShare = 0, 0, 0
	c.maxDelay, c.maxSaveTime = 10*time.Millisecond, 5*time.Millisecond
	c.killAt = -1
	clear(c.partitioned)
	for _, m := range c.machines {
		m.failingSaves, m.fullShare = 0, 0
		if m.register.FatalError() != nil {
			m.kill() // as a process ends when its disk fails
		}
		if !m.up {
			m.start()
		}
	}
}

// readOnAll reads on every machine. It fails if a read does not succeed within the time, or returns a stale State.
func (c *cluster) readOnAll(within time.Duration) {
	var all []*op
	for _, m := range c.machines {
		all = append(all, c.read(m, within))
	}
	until := c.Now() + within + 10*time.Second
	c.RunWhile(until, func() bool { return slices.ContainsFunc(all, func(o *op) bool { return o.result == "" }) })
	for _, o := range all {
		if o.result != "ok" {
			simulation.Failf("%s: the final read failed: %q", c.machines[o.machine].name, o.result)
		}
	}
}
