package reconfigure

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/singleton"
	"dunetide/internal/lab/simulation"
)

// Times of the simulation; those of keepers are the same as in production.
const (
	repairTime      = 5 * time.Second         // within which the voters reach their intended number again
	orderTimeout    = 4 * time.Second         // within which an order is accepted while there are no faults
	contactTime     = 3 * time.Second         // time to regain contact after a fault
	keeperTick      = 200 * time.Millisecond  // interval between the ticks of a keeper
	linkTimeout     = 1300 * time.Millisecond // idle time after which a link is closed
	leaveTimeout    = 2 * time.Second         // within which a process ends after SIGTERM
	leaveRetry      = 50 * time.Millisecond   // interval between two steps of leaving
	maxBehind       = 500 * time.Millisecond  // a voter that is behind for longer grants no lease
	maxMessageDelay = 10 * time.Millisecond

	votersRole = "voters" // the singleton role of changing the voters
)

// cluster simulates machines with a register and the singleton role of changing its voters, on one clock. Checks that
// fail end it with a simulation.Violation.
type cluster struct {
	simulation.Scheduler
	rng          *rand.Rand
	machines     []*machine
	maxFailures  int
	lastIdentity uint64
	loss         float64

	decided   map[uint64][]byte // the decided state of each slot
	orders    map[uint64]*operatorOrder
	lastFault time.Duration // when a machine was last lost, returned, started or ended
	trace     simulation.Trace
}

func (c *cluster) tracef(format string, args ...any) { c.trace.Addf(c.Now(), format, args...) }

func (c *cluster) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit) + 1))
}

// machine is a machine with a disk and its keeper.
type machine struct {
	cluster         *cluster
	name, addr      string
	id              uint64
	disk            [][]byte
	up, partitioned bool
	removed         bool
	lostUntil       time.Duration // until then it counts as lost even if it is up

	incarnation int
	register    *paxos.Register
	state       paxos.State // the newest stored state
	known       bool
	grants      *singleton.Granter
	candidate   *singleton.Candidate
	observer    *Observer
	reports     map[uint64]*receivedReport // by voter ID
	changing    bool
	leaving     bool
	behindSince time.Duration // since when others have reported newer states; 0 if they have not
	tickDue     time.Duration // when the register's next tick is due
}

type receivedReport struct {
	Report
	from *machine
	at   time.Duration
}

func (m *machine) voter() paxos.Voter { return paxos.Voter{ID: m.id, Name: m.name, Addr: m.addr} }
func (m *machine) connected() bool    { return m.up && !m.partitioned }

// countsAsLost reports whether the machine counts as lost.
func (m *machine) countsAsLost() bool {
	return !m.removed && (!m.connected() || m.cluster.Now() < m.lostUntil)
}

func newCluster(seed uint64, machines, maxFailures int) *cluster {
	c := &cluster{
		rng:         rand.New(rand.NewPCG(seed, 11)),
		maxFailures: maxFailures,
		decided:     map[uint64][]byte{},
		orders:      map[uint64]*operatorOrder{},
	}
	c.loss = .02 * c.rng.Float64()
	for range machines {
		c.addMachine()
	}
	var seeds []paxos.Voter
	for _, m := range c.machines[:3] {
		seeds = append(seeds, m.voter())
	}
	for i, m := range c.machines {
		m.start()
		if i < 3 {
			m.register.Bootstrap(seeds, nil)
			m.scheduleRegister()
		}
	}
	return c
}

func (c *cluster) addMachine() *machine {
	i := len(c.machines)
	m := &machine{cluster: c, name: fmt.Sprint("n", i), addr: fmt.Sprint("a", i)}
	c.machines = append(c.machines, m)
	m.emptyDisk()
	return m
}

func (m *machine) emptyDisk() {
	m.cluster.lastIdentity++
	m.id, m.disk = m.cluster.lastIdentity, nil
}

// after runs f in this incarnation of the machine, while it is up.
func (m *machine) after(wait time.Duration, f func()) {
	incarnation := m.incarnation
	m.cluster.After(wait, func() {
		if m.up && m.incarnation == incarnation {
			f()
		}
	})
}

// start starts the machine's process on its present disk.
func (m *machine) start() {
	c := m.cluster
	m.up, m.leaving, m.changing = true, false, false
	m.incarnation++
	m.behindSince, m.tickDue = 0, 0
	m.grants, m.candidate, m.observer = singleton.NewGranter(c.Now()), singleton.NewCandidate(c.rng.Float64), &Observer{}
	m.reports = map[uint64]*receivedReport{}
	register, err := paxos.New(paxos.Options{
		Name:       "r",
		ID:         m.id,
		ProposerID: c.rng.Uint64() | 1,
		Rand:       c.rng.Float64,
		Save: func(record []byte) error {
			m.disk = append(m.disk, bytes.Clone(record))
			return nil
		},
		Send: m.sendRegister,
		OnDecided: func(state paxos.State) {
			m.state, m.known = state, true
			m.observer.ObserveDecided(state, m.allReports())
			c.observe(state)
		},
	}, m.disk)
	if err != nil {
		simulation.Failf("%s: %v", m.name, err)
	}
	m.register = register
	m.state, m.known = register.State()
	m.after(c.upTo(keeperTick), m.tick)
	m.scheduleRegister()
}

func (m *machine) stop() {
	m.up = false
	m.incarnation++
	for _, other := range m.cluster.machines {
		if other.connected() && !m.partitioned {
			delete(other.reports, m.id) // the links of the machine are reset
		}
	}
}

// transmit runs f at another machine after a random message delay, unless the message is lost.
func (m *machine) transmit(to *machine, f func()) {
	c := m.cluster
	if c.rng.Float64() < c.loss {
		return
	}
	c.After(c.upTo(maxMessageDelay), func() {
		if to.connected() && !m.partitioned {
			f()
		}
	})
}

func (m *machine) sendRegister(to paxos.Voter, message []byte) {
	for _, other := range m.cluster.machines {
		if other.addr == to.Addr {
			from := m.voter()
			m.transmit(other, func() { other.step(func() { other.register.Receive(m.cluster.Now(), from, message) }) })
		}
	}
}

// step runs a step of the register.
func (m *machine) step(f func()) {
	f()
	if len(m.disk) > 60 {
		m.disk = m.register.Snapshot()
	}
	m.scheduleRegister()
}

func (m *machine) scheduleRegister() {
	next := m.register.NextTick()
	if next == paxos.Never || m.tickDue != 0 && m.tickDue <= next && m.tickDue > m.cluster.Now() {
		return
	}
	m.tickDue = max(next, m.cluster.Now()+time.Millisecond)
	due := m.tickDue
	m.after(due-m.cluster.Now(), func() {
		if m.tickDue == due {
			m.tickDue = 0
			m.step(func() { m.register.Tick(m.cluster.Now()) })
		}
	})
}

// nextSlot returns Report.NextSlot: the slot after the newest stored one.
func (m *machine) nextSlot() uint64 {
	if !m.known {
		return 0
	}
	return m.state.Slot + 1
}

func (m *machine) report() Report {
	report := Report{Keeper: m.voter(), Connected: []uint64{m.id}, NextSlot: m.nextSlot(), Leaving: m.leaving}
	for id := range m.reports {
		report.Connected = append(report.Connected, id)
	}
	slices.Sort(report.Connected)
	return report
}

// allReports returns the machine's own report and those of the connected keepers.
func (m *machine) allReports() []Report {
	reports := []Report{m.report()}
	for _, r := range m.reports {
		reports = append(reports, r.Report)
	}
	slices.SortFunc(reports, func(a, b Report) int { return int(a.Keeper.ID) - int(b.Keeper.ID) })
	return reports
}

func (m *machine) sendReports() {
	report := m.report()
	for _, other := range m.cluster.machines {
		if other != m {
			m.transmit(other, func() { other.receiveReport(m, report) })
		}
	}
}

func (m *machine) receiveReport(from *machine, report Report) {
	if !from.up || from.id != report.Keeper.ID {
		return // the link has been closed
	}
	m.reports[report.Keeper.ID] = &receivedReport{report, from, m.cluster.Now()}
	if report.NextSlot > m.nextSlot() {
		m.step(func() { m.register.RequestState(m.cluster.Now(), report.Keeper) })
	}
}

func (m *machine) limits() Limits {
	return Limits{MaxFailures: m.cluster.maxFailures, MaxVoters: 9, UnresponsiveTimeout: UnresponsiveTimeout(repairTime)}
}

// tick runs a keeper's periodic work: reports, observations, the lease and the singleton role.
func (m *machine) tick() {
	m.after(keeperTick, m.tick)
	c := m.cluster
	for id, r := range m.reports {
		if c.Now()-r.at > linkTimeout {
			delete(m.reports, id)
		}
	}
	m.sendReports()
	if !m.known {
		return
	}
	state := m.state
	m.observer.Observe(c.Now(), state, m.allReports())
	m.recordBehind()
	m.requestLease(state)
	if !m.candidate.HasLease(c.Now()) || m.changing || m.leaving || m.behindSince != 0 {
		return
	}
	if change, found := NextChange(m.observer.Situation(c.Now(), state, m.allReports(), m.limits())); found {
		m.change(change, state, leaveTimeout, func(error) {})
	}
}

func (m *machine) recordBehind() {
	behind := false
	for _, r := range m.reports {
		behind = behind || r.NextSlot > m.nextSlot()
	}
	switch {
	case !behind:
		m.behindSince = 0
	case m.behindSince == 0:
		m.behindSince = m.cluster.Now()
	}
}

func (m *machine) change(change Change, state paxos.State, within time.Duration, done func(error)) {
	m.changing = true
	m.cluster.tracef("%s: %v of slot %d: old %v, new %v", m.name, change.Reason, state.Slot, change.Old, change.New)
	m.step(func() {
		m.register.Propose(m.cluster.Now(), within, func(current paxos.State) (paxos.State, error) {
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

// requestLease requests the lease of the role from the voters.
func (m *machine) requestLease(state paxos.State) {
	if m.leaving || m.behindSince != 0 || !state.HasVoter(m.id) {
		return
	}
	c := m.cluster
	action, round := m.candidate.Step(c.Now(), len(state.Voters))
	switch action {
	case singleton.ActionNone:
		return
	case singleton.ActionRelease:
		m.releaseGrants(state)
		return
	case singleton.ActionRequest:
	}
	for _, voter := range state.Voters {
		switch peer := m.peer(voter.ID); {
		case voter.ID == m.id:
			m.receiveLeaseAnswer(state, round, voter, m.grants.Grant(c.Now(), votersRole, m.name))
		case peer == nil:
			m.receiveLeaseAnswer(state, round, voter, false)
		default:
			m.transmit(peer, func() { peer.receiveLeaseRequest(m, state, round) })
		}
	}
}

// peer returns the connected machine with a voter ID; nil if it is not connected.
func (m *machine) peer(id uint64) *machine {
	if r, connected := m.reports[id]; connected {
		return r.from
	}
	return nil
}

func (m *machine) receiveLeaseAnswer(state paxos.State, round uint64, voter paxos.Voter, granted bool) {
	if granted {
		m.candidate.RecordGrant(m.cluster.Now(), round, voter.Name)
	} else if m.candidate.RecordRefusal(m.cluster.Now(), round, voter.Name) {
		m.releaseGrants(state)
	}
}

func (m *machine) releaseGrants(state paxos.State) {
	m.grants.Release(votersRole, m.name)
	for _, voter := range state.Voters {
		if peer := m.peer(voter.ID); peer != nil {
			m.transmit(peer, func() { peer.grants.Release(votersRole, m.name) })
		}
	}
}

func (m *machine) receiveLeaseRequest(by *machine, state paxos.State, round uint64) {
	granted := m.mayGrant(by.id) && m.grants.Grant(m.cluster.Now(), votersRole, by.name)
	incarnation := by.incarnation
	m.transmit(by, func() {
		if by.incarnation == incarnation {
			by.receiveLeaseAnswer(state, round, m.voter(), granted)
		}
	})
}

func (m *machine) mayGrant(holder uint64) bool {
	state := m.state
	upToDate := m.behindSince == 0 || m.cluster.Now()-m.behindSince < maxBehind
	return m.known && state.HasVoter(m.id) && state.HasVoter(holder) && upToDate
}

// terminate simulates SIGTERM: the machine removes itself from the voters if it can, and ends.
func (m *machine) terminate(ended func()) {
	m.cluster.tracef("%s receives SIGTERM", m.name)
	m.leaving = true
	m.candidate.Stop()
	m.sendReports()
	deadline := m.cluster.Now() + leaveTimeout
	var step func()
	end := func() {
		m.cluster.tracef("%s ends", m.name)
		m.stop()
		ended()
	}
	again := func() { m.after(leaveRetry, step) }
	step = func() {
		state := m.state
		if m.cluster.Now() >= deadline || !m.known {
			end()
			return
		}
		within := deadline - m.cluster.Now()
		next, change := NextLeaveStep(m.observer.Situation(m.cluster.Now(), state, m.allReports(), m.limits()), m.id)
		switch next {
		case LeaveStepConfirm:
			m.step(func() {
				m.register.Read(m.cluster.Now(), within, func(read paxos.State, err error) {
					if err == nil && !read.HasVoter(m.id) {
						m.after(0, end)
					} else {
						again()
					}
				})
			})
		case LeaveStepChange:
			m.change(change, state, within, func(error) { again() })
		case LeaveStepWait:
			again()
		case LeaveStepEnd:
			end()
		}
	}
	if m.known && m.state.HasVoter(m.id) {
		step()
	} else {
		end()
	}
}

// observe checks every decided state.
func (c *cluster) observe(state paxos.State) {
	if earlier, known := c.decided[state.Slot]; known {
		if !bytes.Equal(earlier, encoded(state)) {
			simulation.Failf("slot %d has two different states", state.Slot)
		}
		return
	}
	c.tracef("slot %d is decided, %d bytes, voters %v", state.Slot, len(state.Value), state.Voters)
	c.decided[state.Slot] = encoded(state)
	if before, known := c.decided[state.Slot-1]; known && !bytes.HasPrefix(state.Value, valueOf(before)) {
		simulation.Failf("slot %d does not extend the value of the slot before", state.Slot)
	}
}

func encoded(state paxos.State) []byte {
	text := fmt.Sprintf("%v", state.Voters)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), append([]byte(text), state.Value...)...)
}

func valueOf(b []byte) []byte { return b[4+binary.BigEndian.Uint32(b):] }

// operatorOrder is an operator's change. The operator resends it, to a random machine each time, until it is accepted.
type operatorOrder struct {
	id       uint64
	started  time.Duration
	accepted bool
}

var errAccepted = errors.New("accepted before")

func (c *cluster) sendOrders() {
	o := &operatorOrder{id: uint64(len(c.orders) + 1), started: c.Now()}
	c.orders[o.id] = o
	c.sendOrder(o)
	c.After(100*time.Millisecond+c.upTo(400*time.Millisecond), c.sendOrders)
}

func (c *cluster) sendOrder(o *operatorOrder) {
	if o.accepted {
		return
	}
	if c.faultFreeFor(c.Now()-o.started) >= orderTimeout {
		simulation.Failf("order %d was not accepted in %v without faults", o.id, orderTimeout)
	}
	var reachable []*machine
	for _, m := range c.machines {
		if m.connected() {
			reachable = append(reachable, m)
		}
	}
	m := reachable[c.rng.IntN(len(reachable))]
	m.step(func() {
		m.register.Propose(c.Now(), 900*time.Millisecond, func(current paxos.State) (paxos.State, error) {
			for value := current.Value; len(value) > 0; value = value[8:] {
				if binary.BigEndian.Uint64(value) == o.id {
					return current, errAccepted
				}
			}
			current.Value = binary.BigEndian.AppendUint64(current.Value, o.id)
			return current, nil
		}, func(_ paxos.State, err error) { o.accepted = o.accepted || err == nil || errors.Is(err, errAccepted) })
	})
	c.After(200*time.Millisecond, func() { c.sendOrder(o) })
}

// faultFreeFor returns how long there have been no faults, counted from contactTime after the last one; at most length.
func (c *cluster) faultFreeFor(length time.Duration) time.Duration {
	return min(length, c.Now()-c.lastFault-contactTime)
}

// checkOrders reads on every connected machine and checks that each accepted order is in the value exactly once.
func (c *cluster) checkOrders() {
	type reading struct {
		m     *machine
		state *paxos.State
	}
	var accepted []uint64
	for id, o := range c.orders {
		if o.accepted {
			accepted = append(accepted, id)
		}
	}
	var readings []*reading
	for _, m := range c.machines {
		if m.connected() {
			r := &reading{m: m}
			readings = append(readings, r)
			m.step(func() {
				m.register.Read(c.Now(), orderTimeout, func(state paxos.State, err error) {
					if err == nil {
						r.state = &state
					}
				})
			})
		}
	}
	c.RunUntil(c.Now() + orderTimeout)
	for _, r := range readings {
		if r.state == nil {
			simulation.Failf("%s can't read at the end", r.m.name)
		}
		occurrences := map[uint64]int{}
		for value := r.state.Value; len(value) > 0; value = value[8:] {
			occurrences[binary.BigEndian.Uint64(value)]++
		}
		for _, id := range accepted {
			if occurrences[id] != 1 {
				simulation.Failf("%s: accepted order %d occurs %d times, want once", r.m.name, id, occurrences[id])
			}
		}
	}
}
