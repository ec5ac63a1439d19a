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

// simulation is a whole system in one goroutine: stores, keepers, workers and clients on a clock
// and links of its own, all drawn from a seed. It checks every promise that was made.
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
	cutLinks  func(a, b string) bool // links that are cut
	slowLinks func(a, b string) bool // links on which messages take 0.9 s

	lastHeard       map[uint64]int64
	slowSyncs       bool // syncs take up to 60 ms
	jobs            map[string]*clientJob
	jobIDs          []string
	violations      []string
	nextID          uint64
	maxQueuedTokens int64
	partitionCount  int
	trace           func(format string, args ...any)
	beforeStep      func() // before each step
	tableFrozen     bool   // keepers have no majority: the table can't change
	resultsRead     int
	drainedStores   int // stores that ended after others had their parts
	connections     []*simPipe
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

func (w *simulation) after(ms float64, do func()) {
	w.nextOrder++
	heap.Push(&w.queue, event{w.now + int64(ms*10), w.nextOrder, do})
}

func (w *simulation) nowMs() int64 { return w.now / 10 }

func (w *simulation) delay() float64 { return 0.2 + w.rng.Float64()*3 }

func (w *simulation) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d ms: ", w.nowMs())+fmt.Sprintf(format, args...))
}

func (w *simulation) logf(format string, args ...any) {
	if w.trace != nil {
		w.trace("%6d "+format, append([]any{w.nowMs()}, args...)...)
	}
}

// run plays for so many ms.
func (w *simulation) run(ms int64) {
	end := w.now + ms*10
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		if w.beforeStep != nil {
			w.beforeStep()
		}
		e.do()
	}
	w.now = end
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

// powerLoss leaves what was synced, and some of what came after.
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
	core           *core // nil: down
	incarnation    int
	frozen         bool
	frozenEvents   []func() // while frozen
	syncRunning    bool     // a sync runs
	pipes          map[string]*simPipe
	table          *snapshot.PartitionTable
	lastHeartbeat  int64
	removed        bool // taken away for good
	cutFromKeepers bool // keepers don't hear of it, nor it of them
}

// simPipe is one side of a connection. Messages arrive at the other side in order, unless either has died.
type simPipe struct {
	simulation  *simulation
	from        string
	to          string
	peer        *simPipe
	open        bool
	lastArrival int64
	deliver     func(p *simPipe, m Caller, kind link.Kind, body []byte) // to the owner of this side
	closed      func(p *simPipe)
}

func (p *simPipe) Send(kind link.Kind, body []byte) error { return p.call(nil, kind, body) }

func (p *simPipe) call(m Caller, kind link.Kind, body []byte) error {
	if !p.open {
		return errors.New("closed")
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

func (w *simulation) isCut(a, b string) bool {
	return w.cutLinks != nil && (w.cutLinks(a, b) || w.cutLinks(b, a))
}

// end closes both sides: at once here, and there when it is noticed.
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
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), maxLost: f, jobs: map[string]*clientJob{}, lastHeard: map[uint64]int64{}, partitionCount: parts, maxQueuedTokens: 100}
	w.config = bulkConfig(100)
	for i := range n {
		s := &simStore{simulation: w, name: fmt.Sprintf("s%d", i), zone: fmt.Sprintf("z%d", i%3), disk: &simDisk{}}
		w.stores = append(w.stores, s)
	}
	return w
}

func (w *simulation) start() {
	for _, s := range w.stores {
		s.start()
	}
	w.runKeepers()
}

func (w *simulation) storeNamed(name string) *simStore {
	for _, s := range w.stores {
		if s.name == name {
			return s
		}
	}
	return nil
}

// runEvent runs something on a store's own goroutine, as it were: later if it is frozen, never if it has died.
func (s *simStore) runEvent(life int, fn func()) {
	if s.core == nil || s.incarnation != life {
		return
	}
	if s.frozen {
		s.frozenEvents = append(s.frozenEvents, func() { s.runEvent(life, fn) })
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
	n, recs, life, disk := s.core.appendedRecords, len(s.disk.records), s.incarnation, s.disk
	dropped := disk.droppedSegments
	most := 4.0
	if s.simulation.slowSyncs {
		most = 60
	}
	s.simulation.after(0.5+s.simulation.rng.Float64()*most, func() {
		if s.incarnation != life || s.disk != disk {
			return
		}
		s.syncRunning = false
		if disk.droppedSegments == dropped {
			disk.synced = max(disk.synced, recs)
		}
		s.runEvent(life, func() { s.core.recordsSynced(n); s.core.dispatchItems() })
	})
}

func (s *simStore) start() {
	if s.core != nil || s.removed {
		return
	}
	w := s.simulation
	s.incarnation++
	life := s.incarnation
	c := newCore(0, s.disk)
	c.nowMs = w.nowMs() + 1
	c.maxLostReplicas, c.zone = w.maxLost, s.zone
	c.retentionMs, c.fixedSegmentBytes = 1<<40, 1500
	if w.trace != nil {
		c.logf = func(f string, a ...any) { w.logf(s.name+": "+f, a...) }
	}
	if err := s.disk.replayInto(c); err != nil {
		w.violation("%s: %v", s.name, err)
	}
	s.core, s.frozen, s.frozenEvents, s.syncRunning = c, false, nil, false
	s.pipes = map[string]*simPipe{}
	s.table = nil
	if c.self == 0 {
		w.nextID++
		c.self = w.nextID
	}
	c.appendRecord(encodeRecord(recordIdentity, 0, c.self))
	s.disk.synced = len(s.disk.records)
	c.recordsSynced(c.appendedRecords)
	c.reportReady = func(part int, epoch uint64) {
		w.checkReady(c, part)
		if s.cutFromKeepers {
			return
		}
		w.after(w.delay()*3, func() {
			if next, ok := SwitchReplicas(w.table, part, epoch); ok {
				w.logf("switch part %d from epoch %d: %v", part, epoch, next.Partitions[part])
				w.publish(next)
			}
		})
	}
	c.announceStopping = func(stopping bool) {
		if s.cutFromKeepers {
			return
		}
		id := c.self
		w.after(w.delay()*3, func() {
			if next, ok := SetStopping(w.table, id, stopping); ok {
				w.logf("%s: stopping %v", s.name, stopping)
				w.publish(next)
			}
		})
	}
	w.logf("%s starts as %d", s.name, c.self)
	var tick func()
	tick = func() {
		if s.incarnation != life || s.core == nil {
			return
		}
		s.runEvent(life, func() { s.core.tick() })
		if !s.frozen && !s.cutFromKeepers {
			s.lastHeartbeat = w.nowMs()
		}
		w.after(25+w.rng.Float64()*10, tick)
	}
	w.after(w.rng.Float64()*20, tick)
	w.after(5+w.rng.Float64()*30, func() {
		if s.incarnation == life && w.table != nil {
			s.receiveTable(w.table, life)
		}
	})
	w.after(700, func() { s.pollTable(life) })
	w.after(20, func() { s.connectPeers(life) })
}

// checkReady checks, when a primary says that the next group of a part has all of it, that those that join do.
func (w *simulation) checkReady(primary *core, part int) {
	l := primary.partition(part).primary
	for _, o := range w.stores {
		if o.core == nil || o.core == primary || !slices.Contains(l.nextReplicas, o.core.self) || slices.Contains(l.replicas, o.core.self) {
			continue
		}
		if p := o.core.partition(part); p.position.term != l.term || int64(p.position.sequence) < max(l.committed, l.startSequence) {
			w.violation("part %d is to be handed to %s, which has (%x, %d) of (%x, %d)", part, o.name, p.position.term, p.position.sequence, l.term, max(l.committed, l.startSequence))
		}
	}
}

// pollTable gives a store the newest table now and then, as a keeper that it has found does.
func (s *simStore) pollTable(life int) {
	if s.incarnation != life || s.core == nil {
		return
	}
	if !s.cutFromKeepers && s.simulation.table != nil {
		s.receiveTable(s.simulation.table, life)
	}
	s.simulation.after(700, func() { s.pollTable(life) })
}

// receiveTable gives a store a table.
func (s *simStore) receiveTable(t *snapshot.PartitionTable, life int) {
	s.runEvent(life, func() {
		if s.table == nil || t.Version > s.table.Version {
			s.table = t
		}
		s.core.config = s.simulation.config
		s.core.setTable(t)
	})
}

// connectPeers holds connections to all other stores of the table.
func (s *simStore) connectPeers(life int) {
	if s.incarnation != life || s.core == nil {
		return
	}
	w := s.simulation
	if s.table != nil && !s.frozen {
		for _, id := range sortedIDs(s.table.Stores) {
			name := s.table.Stores[id].Name
			o := w.storeNamed(name)
			if id == s.core.self || s.pipes[name] != nil && s.pipes[name].open || o == nil || o.core == nil || o.core.self != id || o.frozen || w.isCut(s.name, name) {
				continue
			}
			p := w.connect(s.name, name, s.receiver(life), o.receiver(o.incarnation))
			s.pipes[name] = p
			p.closed = func(p *simPipe) { s.runEvent(life, func() { s.core.peerDisconnected(id, p) }) }
			olife := o.incarnation
			p.peer.closed = func(q *simPipe) { o.runEvent(olife, func() { o.core.connectionClosed(q) }) }
			s.runEvent(life, func() { s.core.peerConnected(id, p) })
		}
	}
	w.after(50+w.rng.Float64()*20, func() { s.connectPeers(life) })
}

func sortedIDs[V any](m map[uint64]V) []uint64 { return sortedKeys(m) }

func (s *simStore) receiver(life int) func(*simPipe, Caller, link.Kind, []byte) {
	return func(p *simPipe, m Caller, kind link.Kind, body []byte) {
		s.runEvent(life, func() { s.core.handleMessage(p, m, kind, body) })
	}
}

func (w *simulation) connect(a, b string, fa, fb func(*simPipe, Caller, link.Kind, []byte)) *simPipe {
	p := &simPipe{simulation: w, from: a, to: b, open: true, deliver: fa}
	q := &simPipe{simulation: w, from: b, to: a, open: true, deliver: fb, peer: p}
	p.peer = q
	w.connections = append(w.connections, p)
	return p
}

// dropConnections ends all connections of a machine; the others notice after so many ms.
func (w *simulation) dropConnections(name string, ms float64) {
	for _, p := range w.connections {
		if p.from == name {
			p.end(ms)
		} else if p.to == name {
			p.peer.end(ms)
		}
	}
	w.connections = slices.DeleteFunc(w.connections, func(p *simPipe) bool { return !p.open })
}

// kill ends a store's process.
func (s *simStore) kill() {
	if s.core == nil {
		return
	}
	s.simulation.logf("%s is killed", s.name)
	s.core = nil
	s.incarnation++
	s.simulation.dropConnections(s.name, 1)
}

// terminate tells a store to end: it hands its parts over, and ends when that is done or its time is over.
func (s *simStore) terminate(then func()) {
	w, life := s.simulation, s.incarnation
	s.runEvent(life, func() { s.core.beginDraining() })
	until := w.nowMs() + 2000
	var poll func()
	poll = func() {
		if s.incarnation != life || s.core == nil {
			then()
			return
		}
		if s.core.drained() || w.nowMs() > until {
			if s.core.primaryCount() == 0 {
				w.drainedStores++
			}
			s.kill()
			then()
			return
		}
		w.after(25, poll)
	}
	w.after(25, poll)
}

// losePower takes the power away.
func (s *simStore) losePower() {
	s.kill()
	s.disk.powerLoss(s.simulation.rng.IntN)
}

// loseDisk takes the disk away.
func (s *simStore) loseDisk() {
	s.kill()
	s.disk = &simDisk{}
	s.simulation.logf("%s has lost its disk", s.name)
}

// freeze stops a store for so long. Others notice by silence.
func (s *simStore) freeze(ms float64) {
	if s.core == nil || s.frozen {
		return
	}
	w, life := s.simulation, s.incarnation
	w.logf("%s is frozen", s.name)
	s.frozen = true
	w.after(1300, func() {
		if s.incarnation == life && s.frozen {
			w.dropConnections(s.name, 0)
		}
	})
	w.after(ms, func() {
		if s.incarnation == life && s.frozen {
			w.logf("%s goes on", s.name)
			s.frozen = false
			all := s.frozenEvents
			s.frozenEvents = nil
			for _, fn := range all {
				fn()
			}
		}
	})
}

// aliveStores are the stores that keepers hear of.
func (w *simulation) aliveStores() (alive []snapshot.Store) {
	for _, s := range w.stores {
		if s.core != nil && (w.nowMs()-s.lastHeartbeat < 400 || w.nowMs() < 300) {
			alive = append(alive, snapshot.Store{ID: s.core.self, Name: s.name, Addr: s.name, Zone: s.zone})
		}
	}
	return alive
}

// runKeepers is the keepers' duty.
func (w *simulation) runKeepers() {
	for _, s := range w.stores {
		if s.core != nil {
			w.lastHeard[s.core.self] = s.lastHeartbeat
		}
	}
	lost := func(id uint64) bool { return w.nowMs()-w.lastHeard[id] > 1000 }
	starting := w.nowMs() < 300
	alive := w.aliveStores()
	if !starting || len(alive) == len(w.stores) {
		lost2 := lost
		if starting {
			lost2 = func(uint64) bool { return false }
		}
		if next, ok := AssignPartitions(w.table, alive, lost2, w.partitionCount, w.maxLost); ok {
			w.logf("assign: %v", next.Partitions)
			w.publish(next)
		}
	}
	w.after(100, w.runKeepers)
}

func (w *simulation) publish(t *snapshot.PartitionTable) {
	if w.tableFrozen {
		return
	}
	w.table = t
	for _, s := range w.stores {
		life := s.incarnation
		if !s.cutFromKeepers {
			w.after(w.delay()*5, func() { s.receiveTable(t, life) })
		}
	}
	for _, k := range w.workers {
		w.after(w.delay()*5+k.tableDelayMs, func() { k.receiveTable(t) })
	}
}
