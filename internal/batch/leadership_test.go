package batch

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// A user of leads, such as the count of tenants' requests, in the tests below: it relies on a lead for leadValidityMs
// after a confirmation, and waits until leadWaitMs after the last confirmation that an earlier lead may have had.
const (
	leadValidityMs = 600
	leadWaitMs     = 624
)

// leadMonitor checks at each step of a simulation which stores may rely on their leads, and what they were told of
// earlier ones. The stores share states, which hold the incarnation and the number.
type leadMonitor struct {
	sim      *simulation
	waitMs   int64
	overlaps []string
	accounts []*leadAccount // by partition
	wrong    []string       // what a lead was told of earlier ones
	steps    int            // partitions seen at steps
	held     int            // those with a lead that can be relied on

	successors, heirs, early int // leads after others: all, with an inherited state, with a wait that began long before
}

// leadAccount is what was observed of the leads of a partition, by incarnation.
type leadAccount struct {
	confirmedAt map[uint64]int64  // the newest time at which the lead was confirmed
	shared      map[uint64]uint64 // the number of the newest state that all successors have to find
	began       map[uint64]bool
}

// isEarlyMs is how long before a takeover the wait must have begun to count as early.
const isEarlyMs = 200

// newLeadMonitor attaches a monitor to a simulation in which the leads of all stores are confirmed regularly.
func newLeadMonitor(sim *simulation, waitMs int64) *leadMonitor {
	m := &leadMonitor{sim: sim, waitMs: waitMs}
	sim.beforeStep = m.check
	for _, s := range sim.stores {
		m.confirmRegularly(s)
	}
	for range sim.partitionCount {
		m.accounts = append(m.accounts, &leadAccount{map[uint64]int64{}, map[uint64]uint64{}, map[uint64]bool{}})
	}
	return m
}

// shareNext shares the next state of a lead.
func shareNext(c *core, index int) {
	l := c.leadOf(c.partition(index))
	if l.incarnation == 0 {
		return
	}
	sequence := uint64(1)
	if held := c.partition(index).heldState; held != nil && held.incarnation == l.incarnation {
		sequence = held.sequence + 1
	}
	w := link.Writer{}
	w.U64(l.incarnation)
	w.U64(sequence)
	c.shareLeadState(index, l.incarnation, sequence, w.Buf)
}

// observe adds a lead to the account, and checks what it was told of earlier ones.
func (m *leadMonitor) observe(name string, index int, l lead) {
	account := m.accounts[index]
	if l.confirmedAt != never {
		account.confirmedAt[l.incarnation] = l.confirmedAt
	}
	account.shared[l.incarnation] = max(account.shared[l.incarnation], l.sharedSequence)
	if !account.began[l.incarnation] {
		account.began[l.incarnation] = true
		m.countSuccessor(l)
	}
	complain := func(format string, args ...any) {
		if len(m.wrong) < 3 {
			where := fmt.Sprintf("%d ms: %s, lead %x of partition %d: ", m.sim.nowMs(), name, l.incarnation, index)
			m.wrong = append(m.wrong, where+fmt.Sprintf(format, args...))
		}
	}
	if l.earlierUntil > l.servingSince {
		complain("earlier leads until %d, but it serves since %d", l.earlierUntil, l.servingSince)
	}
	for incarnation, confirmedAt := range account.confirmedAt {
		if incarnation < l.incarnation && confirmedAt-stampAheadMs > l.earlierUntil {
			complain("earlier leads until %d, but %x was confirmed at %d", l.earlierUntil, incarnation, confirmedAt)
		}
	}
	if l.inherited == nil {
		return
	}
	r := link.Reader{Buf: l.inherited.state}
	from, sequence := r.U64(), r.U64()
	if from >= l.incarnation || r.Err != nil {
		complain("inherits state %d of %x", sequence, from)
	}
	for incarnation := range account.confirmedAt {
		if from < incarnation && incarnation < l.incarnation {
			complain("inherits state %d of %x, but %x was confirmed", sequence, from, incarnation)
		}
	}
	for incarnation, shared := range account.shared {
		newer := incarnation == from && shared > sequence || incarnation > from && incarnation < l.incarnation && shared > 0
		if newer {
			complain("inherits state %d of %x, but %d of %x was shared", sequence, from, shared, incarnation)
		}
	}
}

func (m *leadMonitor) countSuccessor(l lead) {
	if isFirstTerm(l.incarnation) {
		return
	}
	m.successors++
	if l.inherited != nil {
		m.heirs++
	}
	if l.servingSince-l.earlierUntil >= isEarlyMs {
		m.early++
	}
}

func (m *leadMonitor) confirmRegularly(s *simStore) {
	s.runEvent(s.incarnation, func() {
		for index := range m.sim.partitionCount {
			s.core.requestLeadConfirmation(index)
			shareNext(s.core, index)
		}
	})
	m.sim.after(50+m.sim.rng.Float64()*100, func() { m.confirmRegularly(s) })
}

// mayRely reports whether a store may rely on its lead of a partition. A frozen store may, as it may be about to resume.
func (m *leadMonitor) mayRely(s *simStore, index int) bool {
	if s.core == nil {
		return false
	}
	l := s.core.leadOf(s.core.partition(index))
	now := m.sim.nowMs()
	return l.incarnation != 0 && now-(l.confirmedAt-stampAheadMs) <= leadValidityMs && now-l.earlierUntil >= m.waitMs
}

func (m *leadMonitor) check() {
	for index := range m.sim.partitionCount {
		m.steps++
		holder := ""
		for _, s := range m.sim.stores {
			if s.core == nil {
				continue
			}
			if l := s.core.leadOf(s.core.partition(index)); l.incarnation != 0 {
				m.observe(s.name, index, l)
			}
			if !m.mayRely(s, index) {
				continue
			}
			if holder != "" && len(m.overlaps) < 3 {
				m.overlaps = append(m.overlaps, fmt.Sprintf("%d ms: %s and %s lead partition %d", m.sim.nowMs(), holder, s.name, index))
			}
			holder = s.name
		}
		if holder != "" {
			m.held++
		}
	}
}

// leadFaults replace primaries faster than the loss of a store is noticed.
var leadFaults = []fault{
	{"replaced while out of touch", func(sim *simulation, s *simStore) {
		s.cutFromKeepers = true
		sim.cutLinks = func(a, b string) bool { return (a == s.name || b == s.name) && a[0] == 's' && b[0] == 's' }
		sim.moveLeads(s)
		sim.after(1500, func() { s.cutFromKeepers, sim.cutLinks = false, nil })
	}},
	{"replaced while its answers are lost", func(sim *simulation, s *simStore) {
		s.cutFromKeepers = true
		sim.cutLinks = func(a, b string) bool { return b == s.name && a[0] == 's' }
		sim.moveLeads(s)
		sim.after(1500, func() { s.cutFromKeepers, sim.cutLinks = false, nil })
	}},
	{"replaced, then its successor", func(sim *simulation, s *simStore) {
		sim.moveLeads(s)
		sim.after(sim.rng.Float64()*400, func() { sim.moveLeads(sim.nextStore(s)) })
	}},
	{"restart, then another is replaced", func(sim *simulation, s *simStore) {
		s.kill()
		sim.after(20, s.start)
		sim.after(40+sim.rng.Float64()*200, func() { sim.moveLeads(sim.nextStore(s)) })
	}},
	{"restarts one after the other", func(sim *simulation, s *simStore) {
		for i, o := range sim.stores {
			sim.after(float64(i)*(100+sim.rng.Float64()*300), func() { o.kill(); sim.after(20, o.start) })
		}
	}},
	{"restart of all", func(sim *simulation, s *simStore) {
		for _, o := range sim.stores {
			o.kill()
			sim.after(sim.rng.Float64()*300, o.start)
		}
	}},
}

// moveLeads has the table move the leads of a store away, as if it stopped.
func (sim *simulation) moveLeads(s *simStore) {
	if s.core == nil {
		return
	}
	if next, ok := SetStopping(sim.table, s.core.self, true); ok {
		sim.publish(next)
	}
}

// playLeads disturbs the stores for 25 s: kills, freezes, cuts, lost messages, lost power and disks, planned ends.
func playLeads(seed uint64, waitMs int64, disturbed bool) *leadMonitor {
	f := 1 + int(seed%2)
	n := f + 2 + int(seed%3)
	sim := newSimulation(seed, n, f, 4)
	sim.slowSyncs = seed%4 == 1
	sim.start()
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("p%d", i))
	}
	m := newLeadMonitor(sim, waitMs)
	sim.run(3000)
	for disturbed && sim.nowMs() < 25_000 {
		if i := sim.rng.IntN(len(faults) + len(leadFaults)); i < len(faults) {
			faults[i].do(sim, sim.stores[sim.rng.IntN(n)])
		} else {
			leadFaults[i-len(faults)].do(sim, sim.stores[sim.rng.IntN(n)])
		}
		sim.run(500 + int64(sim.rng.IntN(4000)))
	}
	sim.run(3000)
	return m
}

// leadSeeds is how many drawn histories the tests of leads play.
const leadSeeds = 120

// TestLeadsAreExclusive guards against two stores that rely on the lead of one partition at the same time, and against
// leads that are told that earlier ones ended before their last confirmation, or inherit a state that is not the
// newest.
func TestLeadsAreExclusive(t *testing.T) {
	held, steps, successors, heirs, early := 0, 0, 0, 0, 0
	for seed := range uint64(leadSeeds) {
		m := playLeads(seed, leadWaitMs, true)
		for _, overlap := range m.overlaps {
			t.Errorf("seed %d: %s", seed, overlap)
		}
		for _, wrong := range m.wrong {
			t.Errorf("seed %d: %s", seed, wrong)
		}
		successors, heirs, early = successors+m.successors, heirs+m.heirs, early+m.early
		held += m.held
		steps += m.steps
	}
	if held*2 < steps {
		t.Errorf("leads could be relied on at %d of %d steps", held, steps)
	}
	if heirs*4 < successors || early*8 < successors {
		t.Errorf("%d of %d successors inherited a state, %d knew of an early end", heirs, successors, early)
	}
	t.Logf("leads could be relied on at %d of %d steps", held, steps)
	t.Logf("%d of %d successors inherited a state, %d knew of an early end", heirs, successors, early)
}

// TestLeadsOverlapWithoutTheWait shows that the simulation would find two leads at once.
func TestLeadsOverlapWithoutTheWait(t *testing.T) {
	for seed := range uint64(leadSeeds) {
		if m := playLeads(seed, 0, true); len(m.overlaps) > 0 {
			t.Logf("seed %d: %s", seed, m.overlaps[0])
			return
		}
	}
	t.Error("no two stores led a partition at once")
}

// TestLeadsHoldWithoutFaults guards against a lead that is not confirmed although nothing is wrong.
func TestLeadsHoldWithoutFaults(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSimulation(seed, 4, 1, 4)
		sim.start()
		sim.run(3000)
		m := newLeadMonitor(sim, leadWaitMs)
		sim.run(300)
		m.held, m.steps = 0, 0
		sim.run(3000)
		if m.held != m.steps || m.steps == 0 {
			t.Errorf("seed %d: leads could be relied on at %d of %d steps", seed, m.held, m.steps)
		}
	}
}

// TestLeadNeedsBothGroups guards against a lead that only the old group of replicas confirms while the next primary is
// chosen by the next group.
func TestLeadNeedsBothGroups(t *testing.T) {
	c := newCore(1, &memoryDisk{})
	c.nowMs = 100
	primary := newPrimaryState(firstTerm(3) + 1)
	primary.replicas, primary.nextReplicas = []uint64{1, 2, 3}, []uint64{1, 3, 4}
	primary.progress = map[uint64]*replicaProgress{2: {confirmedAt: 90}, 3: {confirmedAt: never}, 4: {confirmedAt: never}}
	c.confirmLead(primary)
	if primary.leadConfirmedAt != never {
		t.Error("confirmed by the old group alone")
	}
	primary.progress[4].confirmedAt = 80
	c.confirmLead(primary)
	if primary.leadConfirmedAt != 80 {
		t.Errorf("confirmed at %d", primary.leadConfirmedAt)
	}
	primary.nextReplicas = []uint64{3, 4} // without this store
	c.confirmLead(primary)
	if primary.leadConfirmedAt != 80 {
		t.Errorf("confirmed at %d without replica 3", primary.leadConfirmedAt)
	}
}

// TestWitnessOfPrimaries guards against a predecessor that is taken for an old one although others followed it.
func TestWitnessOfPrimaries(t *testing.T) {
	var w primaryWitness
	see := func(epoch, previous, primary uint64, nowMs, wantPredecessor int64) {
		t.Helper()
		w.see(&snapshot.Partition{Epoch: epoch, Primary: primary}, previous, nowMs)
		if w.predecessorSince != wantPredecessor {
			t.Errorf("epoch %d: the predecessor was there since %d, want %d", epoch, w.predecessorSince, wantPredecessor)
		}
	}
	see(7, 0, 1, 1000, 1000) // the first table says nothing of the past
	see(8, 7, 2, 5000, 1000)
	see(9, 8, 2, 6000, 1000) // the replicas have changed
	see(10, 9, 3, 9000, 5000)
	see(12, 10, 2, 20_000, 20_000) // the epoch between was not seen
}

// TestStorePublishesItsLeads guards against leads that other goroutines never see, or see after they ended.
func TestStorePublishesItsLeads(t *testing.T) {
	g := newStoreRig(3, 0, 0, 1000)
	index := g.cores[0].table.PartitionOf("rate:a")
	c := g.cores[g.cores[0].table.Partitions[index].Primary-1]
	s := &Store{core: c, start: time.Now(), wake: make(chan struct{}, 1)}
	if _, ok := s.LeadOf("rate:a"); ok {
		t.Error("a lead before any was published")
	}
	c.requestLeadConfirmation(index)
	g.deliverAll()
	s.publishLeads()
	primary := c.partition(index).primary
	got, ok := s.LeadOf("rate:a")
	want := PartitionLead{
		Partition:        index,
		EarlierUntil:     s.timeOf(primary.earlierUntil),
		Incarnation:      primary.incarnation,
		ServingSince:     s.timeOf(primary.servingSince),
		ConfirmedAt:      s.timeOf(primary.leadConfirmedAt - stampAheadMs),
		PredecessorSince: s.timeOf(primary.predecessorSince),
		First:            true,
	}
	if !ok || !reflect.DeepEqual(got, want) || got.ConfirmedAt.Before(got.ServingSince) {
		t.Errorf("%+v, want %+v", got, want)
	}
	published := s.leads.published.Load()
	s.publishLeads()
	if s.leads.published.Load() != published {
		t.Error("published anew although nothing has changed")
	}
	s.ConfirmLead("rate:a")
	s.ConfirmLead("rate:a")
	if n := len(s.swapQueue()); n != 1 {
		t.Errorf("%d requests for confirmations at once", n)
	}
	primary.superseded = true
	s.publishLeads()
	if _, ok := s.LeadOf("rate:a"); ok {
		t.Error("a lead that was replaced is published")
	}
}
