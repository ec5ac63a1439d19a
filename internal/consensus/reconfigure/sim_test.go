package reconfigure

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/singleton"
)

// Times of the simulation, as keepers have them.
const (
	simCatchUp     = 5 * time.Second
	simAck         = 4 * time.Second
	simInTouch     = 3 * time.Second
	simTick        = 200 * time.Millisecond
	simSilence     = 1300 * time.Millisecond // a link on which nothing comes has ended
	simHandOver    = 2 * time.Second
	simRetry       = 50 * time.Millisecond
	simBehind      = 500 * time.Millisecond
	simLargestWait = 10 * time.Millisecond // of a message
	simDuty        = "voters"
)

// simulation is some machines with a register and the duty of changing its voters, on one clock. It panics with a
// failure when a check fails.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	events   eventQueue
	sequence int
	machines []*simMachine
	survive  int
	identity uint64
	loss     float64

	chain    map[uint64][]byte // the decided state of each slot
	orders   map[uint64]*order
	lastLoss time.Duration // when a machine was last lost, came back, started or ended
	trace    []string
	tracing  bool
}

type failure string

func (s *simulation) fail(format string, args ...any) { panic(failure(fmt.Sprintf(format, args...))) }

func (s *simulation) note(format string, args ...any) {
	if s.tracing {
		s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
	}
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *simulation) after(wait time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + wait, s.sequence, run})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simulation) upTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most) + 1))
}

// simMachine is a machine with a disk and its keeper.
type simMachine struct {
	s          *simulation
	name, addr string
	id         uint64
	disk       [][]byte
	up, cut    bool
	gone       bool
	lostUntil  time.Duration // until then it counts as lost, though it is up

	life      int
	register  *paxos.Register
	state     paxos.State // the newest that is stored
	known     bool
	grants    *singleton.Grants
	candidate *singleton.Candidate
	observer  *Observer
	reports   map[uint64]*simReport // by identity
	changing  bool
	leaving   bool
	behind    time.Duration // since when; 0: it is not
	tickSet   time.Duration // when the register's next tick is due
}

type simReport struct {
	Report
	from *simMachine
	at   time.Duration
}

func (m *simMachine) voter() paxos.Voter { return paxos.Voter{ID: m.id, Name: m.name, Addr: m.addr} }
func (m *simMachine) connected() bool    { return m.up && !m.cut }

// counts tells whether the machine counts as lost.
func (m *simMachine) counts() bool { return !m.gone && (!m.connected() || m.s.now < m.lostUntil) }

func newSimulation(seed uint64, machines, survive int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 11)), survive: survive, chain: map[uint64][]byte{}, orders: map[uint64]*order{}}
	s.loss = .02 * s.rng.Float64()
	for range machines {
		s.addMachine()
	}
	var seeds []paxos.Voter
	for _, m := range s.machines[:3] {
		seeds = append(seeds, m.voter())
	}
	for i, m := range s.machines {
		m.start()
		if i < 3 {
			m.register.Bootstrap(seeds, nil)
			m.scheduleRegister()
		}
	}
	return s
}

func (s *simulation) addMachine() *simMachine {
	i := len(s.machines)
	m := &simMachine{s: s, name: fmt.Sprint("n", i), addr: fmt.Sprint("a", i)}
	s.machines = append(s.machines, m)
	m.emptyDisk()
	return m
}

func (m *simMachine) emptyDisk() {
	m.s.identity++
	m.id, m.disk = m.s.identity, nil
}

// soon runs f in this life of the machine, while it is up.
func (m *simMachine) soon(wait time.Duration, f func()) {
	life := m.life
	m.s.after(wait, func() {
		if m.up && m.life == life {
			f()
		}
	})
}

// start starts the machine's process on the disk that it has.
func (m *simMachine) start() {
	s := m.s
	m.up, m.leaving, m.changing, m.life, m.behind, m.tickSet = true, false, false, m.life+1, 0, 0
	m.grants, m.candidate, m.observer = singleton.NewGrants(s.now), singleton.NewCandidate(s.rng.Float64), &Observer{}
	m.reports = map[uint64]*simReport{}
	register, err := paxos.New(paxos.Options{Name: "r", ID: m.id, Proposer: s.rng.Uint64() | 1, Rand: s.rng.Float64,
		Save:    func(payload []byte) error { m.disk = append(m.disk, bytes.Clone(payload)); return nil },
		Send:    m.sendRegister,
		Decided: func(state paxos.State) { m.state, m.known = state, true; s.observe(state) },
	}, m.disk)
	if err != nil {
		s.fail("%s: %v", m.name, err)
	}
	m.register = register
	m.state, m.known = register.State()
	m.soon(s.upTo(simTick), m.tick)
	m.scheduleRegister()
}

func (m *simMachine) stop() {
	m.up = false
	m.life++
	for _, other := range m.s.machines {
		if other.connected() && !m.cut {
			delete(other.reports, m.id) // its links are reset
		}
	}
}

// transmit has f run at another machine, unless the message is lost.
func (m *simMachine) transmit(to *simMachine, f func()) {
	s := m.s
	if s.rng.Float64() < s.loss {
		return
	}
	s.after(s.upTo(simLargestWait), func() {
		if to.connected() && !m.cut {
			f()
		}
	})
}

func (m *simMachine) sendRegister(to paxos.Voter, message []byte) {
	for _, other := range m.s.machines {
		if other.addr == to.Addr {
			from := m.voter()
			m.transmit(other, func() { other.step(func() { other.register.Receive(m.s.now, from, message) }) })
		}
	}
}

// step runs a step of the register.
func (m *simMachine) step(f func()) {
	f()
	if len(m.disk) > 60 {
		m.disk = m.register.Snapshot()
	}
	m.scheduleRegister()
}

func (m *simMachine) scheduleRegister() {
	next := m.register.Next()
	if next == paxos.Never || m.tickSet != 0 && m.tickSet <= next && m.tickSet > m.s.now {
		return
	}
	m.tickSet = max(next, m.s.now+time.Millisecond)
	due := m.tickSet
	m.soon(due-m.s.now, func() {
		if m.tickSet == due {
			m.tickSet = 0
			m.step(func() { m.register.Tick(m.s.now) })
		}
	})
}

// stored is the newest slot that is stored, as reports tell it.
func (m *simMachine) stored() uint64 {
	if !m.known {
		return 0
	}
	return m.state.Slot + 1
}

func (m *simMachine) report() Report {
	report := Report{Keeper: m.voter(), Heard: []uint64{m.id}, Stored: m.stored(), Leaving: m.leaving}
	for id := range m.reports {
		report.Heard = append(report.Heard, id)
	}
	slices.Sort(report.Heard)
	return report
}

// allReports are the own one and those of the keepers that are connected.
func (m *simMachine) allReports() []Report {
	reports := []Report{m.report()}
	for _, r := range m.reports {
		reports = append(reports, r.Report)
	}
	slices.SortFunc(reports, func(a, b Report) int { return int(a.Keeper.ID) - int(b.Keeper.ID) })
	return reports
}

func (m *simMachine) sendReports() {
	report := m.report()
	for _, other := range m.s.machines {
		if other != m {
			m.transmit(other, func() { other.reported(m, report) })
		}
	}
}

func (m *simMachine) reported(from *simMachine, report Report) {
	if !from.up || from.id != report.Keeper.ID {
		return // its link has ended
	}
	m.reports[report.Keeper.ID] = &simReport{report, from, m.s.now}
	if report.Stored > m.stored() {
		m.step(func() { m.register.Ask(m.s.now, report.Keeper) })
	}
}

func (m *simMachine) limits() Limits {
	return Limits{Survive: m.s.survive, MostVoters: 9, GiveUpAfter: GiveUpAfter(simCatchUp)}
}

// tick is what a keeper does now and then: reports, observations, the lease, the duty.
func (m *simMachine) tick() {
	m.soon(simTick, m.tick)
	s := m.s
	for id, r := range m.reports {
		if s.now-r.at > simSilence {
			delete(m.reports, id)
		}
	}
	m.sendReports()
	if !m.known {
		return
	}
	state := m.state
	m.observer.Observe(s.now, state, m.allReports())
	m.noteBehind()
	m.askLease(state)
	if !m.candidate.Holds(s.now) || m.changing || m.leaving || m.behind != 0 {
		return
	}
	if change, found := Next(m.observer.Situation(s.now, state, m.allReports(), m.limits())); found {
		m.change(change, state, simHandOver, func(error) {})
	}
}

func (m *simMachine) noteBehind() {
	behind := false
	for _, r := range m.reports {
		behind = behind || r.Stored > m.stored()
	}
	switch {
	case !behind:
		m.behind = 0
	case m.behind == 0:
		m.behind = m.s.now
	}
}

func (m *simMachine) change(change Change, state paxos.State, within time.Duration, done func(error)) {
	m.changing = true
	m.s.note("%s: %v of slot %d: old %v, new %v", m.name, change.Reason, state.Slot, change.Old, change.New)
	m.step(func() {
		m.register.Propose(m.s.now, within, func(current paxos.State) (paxos.State, error) {
			next, applied := change.Apply(current, state.Voters)
			if !applied {
				return current, paxos.ErrUnchanged
			}
			return next, nil
		}, func(_ paxos.State, err error) {
			m.changing = false
			done(err)
		})
	})
}

// askLease asks the voters for the lease of the duty.
func (m *simMachine) askLease(state paxos.State) {
	if m.leaving || m.behind != 0 || !state.Has(m.id) {
		return
	}
	s := m.s
	ask, release, round := m.candidate.Step(s.now, len(state.Voters))
	if !ask && !release {
		return
	}
	if release {
		m.releaseGrants(state)
		return
	}
	for _, voter := range state.Voters {
		switch peer := m.peer(voter.ID); {
		case voter.ID == m.id:
			m.answered(state, round, voter, m.grants.Ask(s.now, simDuty, m.name))
		case peer == nil:
			m.answered(state, round, voter, false)
		default:
			m.transmit(peer, func() { peer.leaseAsked(m, state, round) })
		}
	}
}

// peer is the machine with an identity that is connected; nil: it is not.
func (m *simMachine) peer(id uint64) *simMachine {
	if r, connected := m.reports[id]; connected {
		return r.from
	}
	return nil
}

func (m *simMachine) answered(state paxos.State, round uint64, voter paxos.Voter, granted bool) {
	if granted {
		m.candidate.Granted(m.s.now, round, voter.Name)
	} else if m.candidate.Refused(m.s.now, round, voter.Name) {
		m.releaseGrants(state)
	}
}

func (m *simMachine) releaseGrants(state paxos.State) {
	m.grants.Release(simDuty, m.name)
	for _, voter := range state.Voters {
		if peer := m.peer(voter.ID); peer != nil {
			m.transmit(peer, func() { peer.grants.Release(simDuty, m.name) })
		}
	}
}

func (m *simMachine) leaseAsked(by *simMachine, state paxos.State, round uint64) {
	granted := m.mayGrant(by.id) && m.grants.Ask(m.s.now, simDuty, by.name)
	life := by.life
	m.transmit(by, func() {
		if by.life == life {
			by.answered(state, round, m.voter(), granted)
		}
	})
}

func (m *simMachine) mayGrant(holder uint64) bool {
	state := m.state
	return m.known && state.Has(m.id) && state.Has(holder) && (m.behind == 0 || m.s.now-m.behind < simBehind)
}

// terminate is SIGTERM: the machine hands its vote over and ends.
func (m *simMachine) terminate(ended func()) {
	m.s.note("%s is told to end", m.name)
	m.leaving = true
	m.candidate.Stop()
	m.sendReports()
	deadline := m.s.now + simHandOver
	var step func()
	end := func() {
		m.s.note("%s ends", m.name)
		m.stop()
		ended()
	}
	again := func() { m.soon(simRetry, step) }
	step = func() {
		state := m.state
		if m.s.now >= deadline || !m.known {
			end()
			return
		}
		within := deadline - m.s.now
		next, change := HandOver(m.observer.Situation(m.s.now, state, m.allReports(), m.limits()), m.id)
		switch next {
		case StepConfirm:
			m.step(func() {
				m.register.Read(m.s.now, within, func(read paxos.State, err error) {
					if err == nil && !read.Has(m.id) {
						m.soon(0, end)
					} else {
						again()
					}
				})
			})
		case StepChange:
			m.change(change, state, within, func(error) { again() })
		case StepWait:
			again()
		case StepEnd:
			end()
		}
	}
	if m.known && m.state.Has(m.id) {
		step()
	} else {
		end()
	}
}

// observe is told every decided state.
func (s *simulation) observe(state paxos.State) {
	if earlier, known := s.chain[state.Slot]; known {
		if !bytes.Equal(earlier, encoded(state)) {
			s.fail("slot %d has two states", state.Slot)
		}
		return
	}
	s.note("slot %d is decided, %d bytes, voters %v", state.Slot, len(state.Value), state.Voters)
	s.chain[state.Slot] = encoded(state)
	if before, known := s.chain[state.Slot-1]; known && !bytes.HasPrefix(state.Value, valueOf(before)) {
		s.fail("slot %d does not carry on from the one before", state.Slot)
	}
}

func encoded(state paxos.State) []byte {
	text := fmt.Sprintf("%v", state.Voters)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), append([]byte(text), state.Value...)...)
}

func valueOf(b []byte) []byte { return b[4+binary.BigEndian.Uint32(b):] }

// order is a change of an operator, who sends it again to another machine until it is taken.
type order struct {
	id      uint64
	started time.Duration
	taken   bool
}

var errTaken = errors.New("taken before")

func (s *simulation) sendOrders() {
	o := &order{id: uint64(len(s.orders) + 1), started: s.now}
	s.orders[o.id] = o
	s.sendOrder(o)
	s.after(100*time.Millisecond+s.upTo(400*time.Millisecond), s.sendOrders)
}

func (s *simulation) sendOrder(o *order) {
	if o.taken {
		return
	}
	if s.calmFor(s.now-o.started) >= simAck {
		s.fail("order %d was not taken in %v of calm", o.id, simAck)
	}
	var reachable []*simMachine
	for _, m := range s.machines {
		if m.connected() {
			reachable = append(reachable, m)
		}
	}
	m := reachable[s.rng.IntN(len(reachable))]
	m.step(func() {
		m.register.Propose(s.now, 900*time.Millisecond, func(current paxos.State) (paxos.State, error) {
			for value := current.Value; len(value) > 0; value = value[8:] {
				if binary.BigEndian.Uint64(value) == o.id {
					return current, errTaken
				}
			}
			current.Value = binary.BigEndian.AppendUint64(current.Value, o.id)
			return current, nil
		}, func(_ paxos.State, err error) { o.taken = o.taken || err == nil || errors.Is(err, errTaken) })
	})
	s.after(200*time.Millisecond, func() { s.sendOrder(o) })
}

// calmFor is for how long the latest part of a time has been calm.
func (s *simulation) calmFor(length time.Duration) time.Duration {
	return min(length, s.now-s.lastLoss-simInTouch)
}

// checkTaken reads every machine that is connected, and compares with all orders that were acknowledged.
func (s *simulation) checkTaken() {
	type reading struct {
		m     *simMachine
		state *paxos.State
	}
	var taken []uint64
	for id, o := range s.orders {
		if o.taken {
			taken = append(taken, id)
		}
	}
	var readings []*reading
	for _, m := range s.machines {
		if m.connected() {
			r := &reading{m: m}
			readings = append(readings, r)
			m.step(func() {
				m.register.Read(s.now, simAck, func(state paxos.State, err error) {
					if err == nil {
						r.state = &state
					}
				})
			})
		}
	}
	s.runUntil(s.now + simAck)
	for _, r := range readings {
		if r.state == nil {
			s.fail("%s can't read at the end", r.m.name)
		}
		stands := map[uint64]int{}
		for value := r.state.Value; len(value) > 0; value = value[8:] {
			stands[binary.BigEndian.Uint64(value)]++
		}
		for _, id := range taken {
			if stands[id] != 1 {
				s.fail("%s: order %d was acknowledged and stands there %d times", r.m.name, id, stands[id])
			}
		}
	}
}
