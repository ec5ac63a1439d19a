package batch

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// simulation is a whole system in one goroutine: stores, keepers, workers and clients with a
// simulated clock and simulated links. All randomness comes from a seed. It checks each answer
// against the clients' view, and collects the violations.
type simulation struct {
	rng       *rand.Rand
	now       int64 // in 1/10 ms
	queue     events
	nextOrder int
	steps     int
	maxLost   int
	stores    []*simStore
	workers   []*simWorker
	table     *snapshot.PartitionTable
	config    *operatorconfig.Config
	cutLinks  func(a, b string) bool // links that drop messages
	slowLinks func(a, b string) bool // links on which messages take 0.9 s

	lastHeard        map[uint64]int64
	slowSyncs        bool // syncs take up to 60 ms
	jobs             map[string]*clientJob
	jobIDs           []string
	violations       []string
	nextID           uint64
	maxQueuedTokens  int64
	partitionCount   int
	trace            func(format string, args ...any)
	beforeStep       func()         // called before each step
	calm             bool           // no faults
	wholeRuns        map[string]int // of each item
	tableFrozen      bool           // keepers have no majority: the table can't change
	resultsRead      int
	startedProcesses uint64
	transfers        transferLimits // of the stores
	maxBody          int            // maximum size of a message that transfers a job, in bytes; as of a link, but small
	partsSent        int            // messages with a part of a job
	drainedStores    int            // stores that stopped after others had taken over the lead of their partitions
	connections      []*simPipe
}

type event struct {
	at    int64
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (sim *simulation) after(ms float64, do func()) {
	sim.nextOrder++
	heap.Push(&sim.queue, event{sim.now + int64(ms*10), sim.nextOrder, do})
}

func (sim *simulation) nowMs() int64 { return sim.now / 10 }

func (sim *simulation) delay() float64 { return 0.2 + sim.rng.Float64()*3 }

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%d ms: ", sim.nowMs())+fmt.Sprintf(format, args...))
}

func (sim *simulation) logf(format string, args ...any) {
	if sim.trace != nil {
		sim.trace("%6d "+format, append([]any{sim.nowMs()}, args...)...)
	}
}

// run plays the simulation for the given ms.
func (sim *simulation) run(ms int64) {
	end := sim.now + ms*10
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		sim.steps++
		if sim.beforeStep != nil {
			sim.beforeStep()
		}
		e.do()
	}
	sim.now = end
}

// simDisk is a disk whose records may be lost until they are synced.
type simDisk struct {
	first           int64    // number of the oldest segment
	data            [][]byte // of each segment
	records         []simRecord
	synced          int   // records
	droppedSegments int64 // how often the oldest segment was removed
	broken          bool
}

type simRecord struct {
	offset int64
	length int
}

func (d *simDisk) Append(b []byte) (int64, error) {
	if d.broken {
		return 0, errors.New("broken")
	}
	if len(d.data) == 0 {
		d.data = append(d.data, nil)
	}
	last := len(d.data) - 1
	at := (d.first+int64(last))<<segmentShift | int64(len(d.data[last]))
	d.data[last] = append(d.data[last], b...)
	d.records = append(d.records, simRecord{at, len(b)})
	return at, nil
}

func (d *simDisk) ReadRaw(at int64, n int) ([]byte, error) {
	i, from := segmentOf(at)-d.first, at&segmentMask
	if i < 0 || i >= int64(len(d.data)) || from+int64(n) > int64(len(d.data[i])) {
		return nil, errors.New("outside")
	}
	return slices.Clone(d.data[i][from : from+int64(n)]), nil
}

func (d *simDisk) Size() (size int64) {
	for _, b := range d.data {
		size += int64(len(b))
	}
	return size
}

func (d *simDisk) NewestSize() int64 {
	if len(d.data) == 0 {
		return 0
	}
	return int64(len(d.data[len(d.data)-1]))
}

func (d *simDisk) Oldest() (int64, bool) { return d.first, len(d.data) > 1 }

func (d *simDisk) Rotate() error {
	d.synced = len(d.records)
	d.data = append(d.data, nil)
	return nil
}

func (d *simDisk) DropOldest() error {
	d.data = d.data[1:]
	d.first++
	d.records = slices.DeleteFunc(d.records, func(r simRecord) bool { return segmentOf(r.offset) < d.first })
	d.synced = len(d.records)
	d.droppedSegments++
	return nil
}

// replayInto replays all records.
func (d *simDisk) replayInto(c *core) error {
	for _, r := range d.records {
		b, err := d.ReadRaw(r.offset, r.length)
		if err != nil {
			return fmt.Errorf("reading the record at %d: %w", r.offset, err)
		}
		if err := c.replay(b, r.offset); err != nil {
			return fmt.Errorf("replaying the record at %d: %w", r.offset, err)
		}
	}
	return nil
}

// powerLoss loses records that were not synced; pick chooses how many are kept.
func (d *simDisk) powerLoss(pick func(int) int) {
	n := d.synced + pick(len(d.records)-d.synced+1)
	if n < len(d.records) {
		at := d.records[n].offset
		i := segmentOf(at) - d.first
		d.data = d.data[:i+1]
		d.data[i] = d.data[i][:at&segmentMask]
		d.records = d.records[:n]
	}
	d.synced = n
}

// simStore is a machine with a store.
type simStore struct {
	simulation     *simulation
	name           string
	zone           string
	disk           *simDisk
	core           *core // nil while down
	incarnation    int
	frozen         bool
	frozenEvents   []func() // events that arrived while frozen
	syncRunning    bool     // a sync is in progress
	pipes          map[string]*simPipe
	table          *snapshot.PartitionTable
	lastHeartbeat  int64
	removed        bool // for good
	cutFromKeepers bool // drops all messages between it and the keepers
}

// simReceiver handles a message at one side of a connection. The caller is nil if no reply is
// expected.
type simReceiver func(side *simPipe, caller Caller, kind link.Kind, body []byte)

// simPipe is one side of a connection. Messages arrive at the other side in order, unless either
// side has closed.
type simPipe struct {
	simulation  *simulation
	from        string
	to          string
	peer        *simPipe
	open        bool
	lastArrival int64
	deliver     simReceiver // to the owner of this side
	closed      func(p *simPipe)
}

func (p *simPipe) Send(kind link.Kind, body []byte) error { return p.call(nil, kind, body) }

func (p *simPipe) call(m Caller, kind link.Kind, body []byte) error {
	if !p.open {
		return errors.New("closed")
	}
	if err := p.simulation.checkLength(kind, body); err != nil {
		return err
	}
	body = slices.Clone(body)
	at := max(p.lastArrival, p.simulation.now+int64(p.simulation.delay()*10))
	if p.simulation.slowLinks != nil && p.simulation.slowLinks(p.from, p.to) {
		at = max(at, p.simulation.now+9000)
	}
	p.lastArrival = at
	q := p.peer
	p.simulation.after(float64(at-p.simulation.now)/10, func() {
		if !q.open || p.simulation.cutLinks != nil && p.simulation.cutLinks(p.from, p.to) {
			return
		}
		q.deliver(q, m, kind, body)
	})
	return nil
}

func (sim *simulation) isCut(a, b string) bool {
	return sim.cutLinks != nil && (sim.cutLinks(a, b) || sim.cutLinks(b, a))
}

// checkLength refuses messages that transfer jobs and are too long.
func (sim *simulation) checkLength(kind link.Kind, body []byte) error {
	switch kind {
	case kindJobPart, kindInstallJobPart:
		sim.partsSent++
	case kindJobContents, kindInstallJob:
	default:
		return nil
	}
	if len(body) > sim.maxBody {
		return link.ErrTooLong
	}
	return nil
}

// end closes both sides: this one at once, and the other one after ms.
func (p *simPipe) end(ms float64) {
	if !p.open {
		return
	}
	p.open = false
	q := p.peer
	p.simulation.after(ms, func() {
		if p.closed != nil {
			p.closed(p)
		}
		if q.open {
			q.open = false
			if q.closed != nil {
				q.closed(q)
			}
		}
	})
}

func newSimulation(seed uint64, n, f, parts int) *simulation {
	sim := &simulation{
		rng:             rand.New(rand.NewPCG(seed, 7)),
		maxLost:         f,
		jobs:            map[string]*clientJob{},
		lastHeard:       map[uint64]int64{},
		wholeRuns:       map[string]int{},
		partitionCount:  parts,
		maxQueuedTokens: 100,
	}
	sim.config = bulkConfig(100)
	sim.transfers, sim.maxBody = defaultTransferLimits, link.MaxBody
	if seed%2 == 1 { // jobs soon exceed what a message can have
		sim.transfers = transferLimits{wholeJobBytes: 300, partBytes: 150, inFlightBytes: 400, messages: 2}
		sim.maxBody = 420
	}
	for i := range n {
		s := &simStore{simulation: sim, name: fmt.Sprintf("s%d", i), zone: fmt.Sprintf("z%d", i%3), disk: &simDisk{}}
		sim.stores = append(sim.stores, s)
	}
	return sim
}

func (sim *simulation) start() {
	for _, s := range sim.stores {
		s.start()
	}
	sim.runKeepers()
}

func (sim *simulation) storeNamed(name string) *simStore {
	for _, s := range sim.stores {
		if s.name == name {
			return s
		}
	}
	return nil
}

// runEvent runs an event of an incarnation of a store: later if it is frozen, never if it has
// stopped.
func (s *simStore) runEvent(incarnation int, fn func()) {
	if s.core == nil || s.incarnation != incarnation {
		return
	}
	if s.frozen {
		s.frozenEvents = append(s.frozenEvents, func() { s.runEvent(incarnation, fn) })
		return
	}
	s.core.nowMs = s.simulation.nowMs() + 1
	fn()
	s.sync()
}

func (s *simStore) sync() {
	if s.syncRunning || s.core == nil || s.core.syncedRecords >= s.core.appendedRecords {
		return
	}
	s.syncRunning = true
	n, recs, incarnation, disk := s.core.appendedRecords, len(s.disk.records), s.incarnation, s.disk
	dropped := disk.droppedSegments
	most := 4.0
	if s.simulation.slowSyncs {
		most = 60
	}
	s.simulation.after(0.5+s.simulation.rng.Float64()*most, func() {
		if s.incarnation != incarnation || s.disk != disk {
			return
		}
		s.syncRunning = false
		if disk.droppedSegments == dropped {
			disk.synced = max(disk.synced, recs)
		}
		s.runEvent(incarnation, func() { s.core.recordsSynced(n); s.core.dispatchItems() })
	})
}

func (s *simStore) start() {
	if s.core != nil || s.removed {
		return
	}
	sim := s.simulation
	s.incarnation++
	incarnation := s.incarnation
	c := newCore(0, s.disk)
	c.nowMs = sim.nowMs() + 1
	sim.startedProcesses++
	c.process, c.startedMs = sim.startedProcesses, c.nowMs
	c.maxLostReplicas, c.zone, c.transfers = sim.maxLost, s.zone, sim.transfers
	c.retentionMs, c.fixedSegmentBytes = 1<<40, 1500
	if sim.trace != nil {
		c.logf = func(f string, a ...any) { sim.logf(s.name+": "+f, a...) }
	}
	if err := s.disk.replayInto(c); err != nil {
		sim.violation("%s: %v", s.name, err)
	}
	s.core, s.frozen, s.frozenEvents, s.syncRunning = c, false, nil, false
	s.pipes = map[string]*simPipe{}
	s.table = nil
	if c.self == 0 {
		sim.nextID++
		c.self = sim.nextID
	}
	c.appendRecord(encodeRecord(recordIdentity, 0, c.self))
	s.disk.synced = len(s.disk.records)
	c.recordsSynced(c.appendedRecords)
	c.reportReady = func(index int, epoch uint64) {
		sim.checkReady(c, index)
		if s.cutFromKeepers {
			return
		}
		sim.after(sim.delay()*3, func() {
			if next, ok := SwitchReplicas(sim.table, index, epoch); ok {
				sim.logf("switch partition %d from epoch %d: %v", index, epoch, next.Partitions[index])
				sim.publish(next)
			}
		})
	}
	c.announceStopping = func(stopping bool) {
		if s.cutFromKeepers {
			return
		}
		id := c.self
		sim.after(sim.delay()*3, func() {
			if next, ok := SetStopping(sim.table, id, stopping); ok {
				sim.logf("%s: stopping %v", s.name, stopping)
				sim.publish(next)
			}
		})
	}
	sim.logf("%s starts as %d", s.name, c.self)
	var tick func()
	tick = func() {
		if s.incarnation != incarnation || s.core == nil {
			return
		}
		s.runEvent(incarnation, func() { s.core.tick() })
		if !s.frozen && !s.cutFromKeepers {
			s.lastHeartbeat = sim.nowMs()
		}
		sim.after(25+sim.rng.Float64()*10, tick)
	}
	sim.after(sim.rng.Float64()*20, tick)
	sim.after(5+sim.rng.Float64()*30, func() {
		if s.incarnation == incarnation && sim.table != nil {
			s.receiveTable(sim.table, incarnation)
		}
	})
	sim.after(700, func() { s.pollTable(incarnation) })
	sim.after(20, func() { s.connectPeers(incarnation) })
}

// checkReady is called when a primary reports that the next group of a partition is ready: the
// joining replicas must have everything that is committed.
func (sim *simulation) checkReady(primary *core, index int) {
	state := primary.partition(index).primary
	for _, other := range sim.stores {
		if other.core == nil || other.core == primary || slices.Contains(state.replicas, other.core.self) ||
			!slices.Contains(state.nextReplicas, other.core.self) {
			continue
		}
		position, committed := other.core.partition(index).position, max(state.committed, state.startSequence)
		if position.term != state.term || int64(position.sequence) < committed {
			sim.violation("partition %d is ready for replica %s, which is at (%x, %d) of (%x, %d)",
				index, other.name, position.term, position.sequence, state.term, committed)
		}
	}
}

// pollTable passes a store the newest table regularly, as a keeper that the store has connected to
// does.
func (s *simStore) pollTable(incarnation int) {
	if s.incarnation != incarnation || s.core == nil {
		return
	}
	if !s.cutFromKeepers && s.simulation.table != nil {
		s.receiveTable(s.simulation.table, incarnation)
	}
	s.simulation.after(700, func() { s.pollTable(incarnation) })
}

// receiveTable passes a table to a store.
func (s *simStore) receiveTable(t *snapshot.PartitionTable, incarnation int) {
	s.runEvent(incarnation, func() {
		if s.table == nil || t.Version > s.table.Version {
			s.table = t
		}
		s.core.config = s.simulation.config
		s.core.setTable(t)
	})
}

// reachable reports whether a connection to the store with the given identity can be opened.
func (s *simStore) reachable(id uint64) bool {
	return s != nil && s.core != nil && s.core.self == id && !s.frozen
}

// connectPeers keeps connections open to all other stores in the table.
func (s *simStore) connectPeers(incarnation int) {
	if s.incarnation != incarnation || s.core == nil {
		return
	}
	sim := s.simulation
	if s.table != nil && !s.frozen {
		for _, id := range sortedKeys(s.table.Stores) {
			name := s.table.Stores[id].Name
			other := sim.storeNamed(name)
			connected := s.pipes[name] != nil && s.pipes[name].open
			if id == s.core.self || connected || !other.reachable(id) || sim.isCut(s.name, name) {
				continue
			}
			p := sim.connect(s.name, name, s.receiver(incarnation), other.receiver(other.incarnation))
			s.pipes[name] = p
			p.closed = func(p *simPipe) { s.runEvent(incarnation, func() { s.core.peerDisconnected(id, p) }) }
			otherIncarnation := other.incarnation
			p.peer.closed = func(q *simPipe) { other.runEvent(otherIncarnation, func() { other.core.connectionClosed(q) }) }
			s.runEvent(incarnation, func() { s.core.peerConnected(id, p) })
		}
	}
	sim.after(50+sim.rng.Float64()*20, func() { s.connectPeers(incarnation) })
}

func (s *simStore) receiver(incarnation int) simReceiver {
	return func(p *simPipe, m Caller, kind link.Kind, body []byte) {
		s.runEvent(incarnation, func() { s.core.handleMessage(p, m, kind, body) })
	}
}

func (sim *simulation) connect(a, b string, fa, fb simReceiver) *simPipe {
	p := &simPipe{simulation: sim, from: a, to: b, open: true, deliver: fa}
	q := &simPipe{simulation: sim, from: b, to: a, open: true, deliver: fb, peer: p}
	p.peer = q
	sim.connections = append(sim.connections, p)
	return p
}

// dropConnections closes all connections of a machine; the other sides notice after the given ms.
func (sim *simulation) dropConnections(name string, ms float64) {
	for _, p := range sim.connections {
		if p.from == name {
			p.end(ms)
		} else if p.to == name {
			p.peer.end(ms)
		}
	}
	sim.connections = slices.DeleteFunc(sim.connections, func(p *simPipe) bool { return !p.open })
}

// kill kills a store's process.
func (s *simStore) kill() {
	if s.core == nil {
		return
	}
	s.simulation.logf("%s is killed", s.name)
	s.core = nil
	s.incarnation++
	s.simulation.dropConnections(s.name, 1)
}

// terminate drains a store, and stops it when that is done or after 2 s.
func (s *simStore) terminate(then func()) {
	sim, incarnation := s.simulation, s.incarnation
	s.runEvent(incarnation, func() { s.core.beginDraining() })
	until := sim.nowMs() + 2000
	var poll func()
	poll = func() {
		if s.incarnation != incarnation || s.core == nil {
			then()
			return
		}
		if s.core.drained() || sim.nowMs() > until {
			if s.core.primaryCount() == 0 {
				sim.drainedStores++
			}
			s.kill()
			then()
			return
		}
		sim.after(25, poll)
	}
	sim.after(25, poll)
}

// losePower stops a store and loses unsynced records of its disk.
func (s *simStore) losePower() {
	s.kill()
	s.disk.powerLoss(s.simulation.rng.IntN)
}

// loseDisk stops a store and gives it an empty disk.
func (s *simStore) loseDisk() {
	s.kill()
	s.disk = &simDisk{}
	s.simulation.logf("%s has lost its disk", s.name)
}

// freeze suspends a store for the given ms. Other stores detect that by a timeout.
func (s *simStore) freeze(ms float64) {
	if s.core == nil || s.frozen {
		return
	}
	sim, incarnation := s.simulation, s.incarnation
	sim.logf("%s is frozen", s.name)
	s.frozen = true
	sim.after(1300, func() {
		if s.incarnation == incarnation && s.frozen {
			sim.dropConnections(s.name, 0)
		}
	})
	sim.after(ms, func() {
		if s.incarnation == incarnation && s.frozen {
			sim.logf("%s resumes", s.name)
			s.frozen = false
			all := s.frozenEvents
			s.frozenEvents = nil
			for _, fn := range all {
				fn()
			}
		}
	})
}

// aliveStores returns the stores whose heartbeats keepers receive.
func (sim *simulation) aliveStores() (alive []snapshot.Store) {
	for _, s := range sim.stores {
		if s.core != nil && (sim.nowMs()-s.lastHeartbeat < 400 || sim.nowMs() < 300) {
			alive = append(alive, snapshot.Store{ID: s.core.self, Name: s.name, Addr: s.name, Zone: s.zone})
		}
	}
	return alive
}

// isLost reports whether a store has sent no heartbeat for a second.
func (sim *simulation) isLost(id uint64) bool { return sim.nowMs()-sim.lastHeard[id] > 1000 }

// runKeepers assigns the partitions periodically.
func (sim *simulation) runKeepers() {
	for _, s := range sim.stores {
		if s.core != nil {
			sim.lastHeard[s.core.self] = s.lastHeartbeat
		}
	}
	starting := sim.nowMs() < 300
	alive := sim.aliveStores()
	if !starting || len(alive) == len(sim.stores) {
		lost := sim.isLost
		if starting {
			lost = func(uint64) bool { return false }
		}
		if next, ok := AssignPartitions(sim.table, alive, lost, sim.partitionCount, sim.maxLost); ok {
			sim.logf("assign: %v", next.Partitions)
			sim.publish(next)
		}
	}
	sim.after(100, sim.runKeepers)
}

func (sim *simulation) publish(t *snapshot.PartitionTable) {
	if sim.tableFrozen {
		return
	}
	sim.table = t
	for _, s := range sim.stores {
		incarnation := s.incarnation
		if !s.cutFromKeepers {
			sim.after(sim.delay()*5, func() { s.receiveTable(t, incarnation) })
		}
	}
	for _, proxy := range sim.workers {
		sim.after(sim.delay()*5+proxy.tableDelayMs, func() { proxy.receiveTable(t) })
	}
}
