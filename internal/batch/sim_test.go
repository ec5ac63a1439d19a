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

// world is a whole system in one goroutine: stores, keepers, workers and clients on a clock and links of its
// own, all drawn from a seed. It checks every promise that was made.
type world struct {
	rng    *rand.Rand
	now    int64 // in 1/10 ms
	queue  events
	order  int
	steps  int
	f      int
	stores []*simStore
	works  []*simWorker
	table  *snapshot.PartitionTable
	config *operatorconfig.Config
	cut    func(a, b string) bool // links that are cut
	slow   func(a, b string) bool // links on which messages take 0.9 s

	heard       map[uint64]int64
	slowSync    bool // syncs take up to 60 ms
	jobs        map[string]*promise
	names       []string
	bad         []string
	nextID      uint64
	most        int64
	nParts      int
	trace       func(format string, args ...any)
	hook        func() // before each step
	noAgreement bool   // keepers have no majority: the table can't change
	served      int
	handed      int // stores that ended after others had their parts
	all         []*simPipe
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

func (w *world) after(ms float64, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + int64(ms*10), w.order, do})
}

func (w *world) ms() int64 { return w.now / 10 }

func (w *world) delay() float64 { return 0.2 + w.rng.Float64()*3 }

func (w *world) fault(format string, args ...any) {
	w.bad = append(w.bad, fmt.Sprintf("%d ms: ", w.ms())+fmt.Sprintf(format, args...))
}

func (w *world) say(format string, args ...any) {
	if w.trace != nil {
		w.trace("%6d "+format, append([]any{w.ms()}, args...)...)
	}
}

// run plays for so many ms.
func (w *world) run(ms int64) {
	end := w.now + ms*10
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.steps++
		if w.hook != nil {
			w.hook()
		}
		e.do()
	}
	w.now = end
}

// simDisk is a disk whose records may be lost until they are synced.
type simDisk struct {
	first   int64    // number of the oldest segment
	data    [][]byte // of each segment
	recs    []simRec
	synced  int   // records
	dropped int64 // how often the oldest segment was removed
	broken  bool
}

type simRec struct {
	at int64
	n  int
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
	d.recs = append(d.recs, simRec{at, len(b)})
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
	d.synced = len(d.recs)
	d.data = append(d.data, nil)
	return nil
}

func (d *simDisk) DropOldest() error {
	d.data = d.data[1:]
	d.first++
	d.recs = slices.DeleteFunc(d.recs, func(r simRec) bool { return segmentOf(r.at) < d.first })
	d.synced = len(d.recs)
	d.dropped++
	return nil
}

// powerLoss leaves what was synced, and some of what came after.
func (d *simDisk) powerLoss(pick func(int) int) {
	n := d.synced + pick(len(d.recs)-d.synced+1)
	if n < len(d.recs) {
		at := d.recs[n].at
		i := segmentOf(at) - d.first
		d.data = d.data[:i+1]
		d.data[i] = d.data[i][:at&segmentMask]
		d.recs = d.recs[:n]
	}
	d.synced = n
}

// simStore is a machine with a store.
type simStore struct {
	w       *world
	name    string
	zone    string
	disk    *simDisk
	core    *core // nil: down
	life    int
	frozen  bool
	waiting []func() // while frozen
	synced  bool     // a sync runs
	pipes   map[string]*simPipe
	table   *snapshot.PartitionTable
	heard   int64
	wiped   bool // taken away for good
	deaf    bool // keepers don't hear of it, nor it of them
}

// simPipe is one side of a connection. Messages arrive at the other side in order, unless either has died.
type simPipe struct {
	w       *world
	from    string
	to      string
	peer    *simPipe
	open    bool
	last    int64
	deliver func(p *simPipe, m Caller, kind link.Kind, body []byte) // to the owner of this side
	closed  func(p *simPipe)
}

func (p *simPipe) Send(kind link.Kind, body []byte) error { return p.call(nil, kind, body) }

func (p *simPipe) call(m Caller, kind link.Kind, body []byte) error {
	if !p.open {
		return errors.New("closed")
	}
	body = slices.Clone(body)
	at := max(p.last, p.w.now+int64(p.w.delay()*10))
	if p.w.slow != nil && p.w.slow(p.from, p.to) {
		at = max(at, p.w.now+9000)
	}
	p.last = at
	q := p.peer
	p.w.after(float64(at-p.w.now)/10, func() {
		if !q.open || p.w.cut != nil && p.w.cut(p.from, p.to) {
			return
		}
		q.deliver(q, m, kind, body)
	})
	return nil
}

func (w *world) isCut(a, b string) bool { return w.cut != nil && (w.cut(a, b) || w.cut(b, a)) }

// end closes both sides: at once here, and there when it is noticed.
func (p *simPipe) end(ms float64) {
	if !p.open {
		return
	}
	p.open = false
	q := p.peer
	p.w.after(ms, func() {
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

func newWorld(seed uint64, n, f, parts int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), f: f, jobs: map[string]*promise{}, heard: map[uint64]int64{}, nParts: parts, most: 100}
	w.config = bulkConfig(100)
	for i := range n {
		s := &simStore{w: w, name: fmt.Sprintf("s%d", i), zone: fmt.Sprintf("z%d", i%3), disk: &simDisk{}}
		w.stores = append(w.stores, s)
	}
	return w
}

func (w *world) start() {
	for _, s := range w.stores {
		s.boot()
	}
	w.keep()
}

func (w *world) store(name string) *simStore {
	for _, s := range w.stores {
		if s.name == name {
			return s
		}
	}
	return nil
}

// do runs something on a store's own goroutine, as it were: later if it is frozen, never if it has died.
func (s *simStore) do(life int, fn func()) {
	if s.core == nil || s.life != life {
		return
	}
	if s.frozen {
		s.waiting = append(s.waiting, func() { s.do(life, fn) })
		return
	}
	s.core.nowMs = s.w.ms() + 1
	fn()
	s.sync()
}

func (s *simStore) sync() {
	if s.synced || s.core == nil || s.core.syncedRecords >= s.core.appendedRecords {
		return
	}
	s.synced = true
	n, recs, life, disk := s.core.appendedRecords, len(s.disk.recs), s.life, s.disk
	dropped := disk.dropped
	most := 4.0
	if s.w.slowSync {
		most = 60
	}
	s.w.after(0.5+s.w.rng.Float64()*most, func() {
		if s.life != life || s.disk != disk {
			return
		}
		s.synced = false
		if disk.dropped == dropped {
			disk.synced = max(disk.synced, recs)
		}
		s.do(life, func() { s.core.recordsSynced(n); s.core.dispatchItems() })
	})
}

func (s *simStore) boot() {
	if s.core != nil || s.wiped {
		return
	}
	w := s.w
	s.life++
	life := s.life
	c := newCore(0, s.disk)
	c.nowMs = w.ms() + 1
	c.maxLostReplicas, c.zone = w.f, s.zone
	c.retentionMs, c.fixedSegmentBytes = 1<<40, 1500
	if w.trace != nil {
		c.logf = func(f string, a ...any) { w.say(s.name+": "+f, a...) }
	}
	for _, r := range s.disk.recs {
		b, err := s.disk.ReadRaw(r.at, r.n)
		if err != nil {
			w.fault("%s: reading record %d: %v", s.name, r.at, err)
		}
		if err := c.replay(b, r.at); err != nil {
			w.fault("%s: replay: %v", s.name, err)
		}
	}
	s.core, s.frozen, s.waiting, s.synced = c, false, nil, false
	s.pipes = map[string]*simPipe{}
	s.table = nil
	if c.self == 0 {
		w.nextID++
		c.self = w.nextID
	}
	c.appendRecord(encodeRecord(recordIdentity, 0, c.self))
	s.disk.synced = len(s.disk.recs)
	c.recordsSynced(c.appendedRecords)
	c.reportReady = func(part int, epoch uint64) {
		w.checkReady(c, part)
		if s.deaf {
			return
		}
		w.after(w.delay()*3, func() {
			if next, ok := SwitchReplicas(w.table, part, epoch); ok {
				w.say("switch part %d from epoch %d: %v", part, epoch, next.Partitions[part])
				w.publish(next)
			}
		})
	}
	c.announceStopping = func(stopping bool) {
		if s.deaf {
			return
		}
		id := c.self
		w.after(w.delay()*3, func() {
			if next, ok := SetStopping(w.table, id, stopping); ok {
				w.say("%s: stopping %v", s.name, stopping)
				w.publish(next)
			}
		})
	}
	w.say("%s starts as %d", s.name, c.self)
	var tick func()
	tick = func() {
		if s.life != life || s.core == nil {
			return
		}
		s.do(life, func() { s.core.tick() })
		if !s.frozen && !s.deaf {
			s.heard = w.ms()
		}
		w.after(25+w.rng.Float64()*10, tick)
	}
	w.after(w.rng.Float64()*20, tick)
	w.after(5+w.rng.Float64()*30, func() {
		if s.life == life && w.table != nil {
			s.take(w.table, life)
		}
	})
	w.after(700, func() { s.news(life) })
	w.after(20, func() { s.dial(life) })
}

// checkReady checks, when a primary says that the next group of a part has all of it, that those that join do.
func (w *world) checkReady(primary *core, part int) {
	l := primary.partition(part).primary
	for _, o := range w.stores {
		if o.core == nil || o.core == primary || !slices.Contains(l.nextReplicas, o.core.self) || slices.Contains(l.replicas, o.core.self) {
			continue
		}
		if p := o.core.partition(part); p.position.term != l.term || int64(p.position.sequence) < max(l.committed, l.startSequence) {
			w.fault("part %d is to be handed to %s, which has (%x, %d) of (%x, %d)", part, o.name, p.position.term, p.position.sequence, l.term, max(l.committed, l.startSequence))
		}
	}
}

// news gives a store the newest table now and then, as a keeper that it has found does.
func (s *simStore) news(life int) {
	if s.life != life || s.core == nil {
		return
	}
	if !s.deaf && s.w.table != nil {
		s.take(s.w.table, life)
	}
	s.w.after(700, func() { s.news(life) })
}

// take gives a store a table.
func (s *simStore) take(t *snapshot.PartitionTable, life int) {
	s.do(life, func() {
		if s.table == nil || t.Version > s.table.Version {
			s.table = t
		}
		s.core.config = s.w.config
		s.core.setTable(t)
	})
}

// dial holds connections to all other stores of the table.
func (s *simStore) dial(life int) {
	if s.life != life || s.core == nil {
		return
	}
	w := s.w
	if s.table != nil && !s.frozen {
		for _, id := range sortedIDs(s.table.Stores) {
			name := s.table.Stores[id].Name
			o := w.store(name)
			if id == s.core.self || s.pipes[name] != nil && s.pipes[name].open || o == nil || o.core == nil || o.core.self != id || o.frozen || w.isCut(s.name, name) {
				continue
			}
			p := w.connect(s.name, name, s.receive(life), o.receive(o.life))
			s.pipes[name] = p
			p.closed = func(p *simPipe) { s.do(life, func() { s.core.peerDisconnected(id, p) }) }
			olife := o.life
			p.peer.closed = func(q *simPipe) { o.do(olife, func() { o.core.connectionClosed(q) }) }
			s.do(life, func() { s.core.peerConnected(id, p) })
		}
	}
	w.after(50+w.rng.Float64()*20, func() { s.dial(life) })
}

func sortedIDs[V any](m map[uint64]V) []uint64 { return sortedKeys(m) }

func (s *simStore) receive(life int) func(*simPipe, Caller, link.Kind, []byte) {
	return func(p *simPipe, m Caller, kind link.Kind, body []byte) {
		s.do(life, func() { s.core.handleMessage(p, m, kind, body) })
	}
}

func (w *world) connect(a, b string, fa, fb func(*simPipe, Caller, link.Kind, []byte)) *simPipe {
	p := &simPipe{w: w, from: a, to: b, open: true, deliver: fa}
	q := &simPipe{w: w, from: b, to: a, open: true, deliver: fb, peer: p}
	p.peer = q
	w.all = append(w.all, p)
	return p
}

// drop ends all connections of a machine; the others notice after so many ms.
func (w *world) drop(name string, ms float64) {
	for _, p := range w.all {
		if p.from == name {
			p.end(ms)
		} else if p.to == name {
			p.peer.end(ms)
		}
	}
	w.all = slices.DeleteFunc(w.all, func(p *simPipe) bool { return !p.open })
}

// kill ends a store's process.
func (s *simStore) kill() {
	if s.core == nil {
		return
	}
	s.w.say("%s is killed", s.name)
	s.core = nil
	s.life++
	s.w.drop(s.name, 1)
}

// terminate tells a store to end: it hands its parts over, and ends when that is done or its time is over.
func (s *simStore) terminate(then func()) {
	w, life := s.w, s.life
	s.do(life, func() { s.core.beginDraining() })
	until := w.ms() + 2000
	var poll func()
	poll = func() {
		if s.life != life || s.core == nil {
			then()
			return
		}
		if s.core.drained() || w.ms() > until {
			if s.core.primaryCount() == 0 {
				w.handed++
			}
			s.kill()
			then()
			return
		}
		w.after(25, poll)
	}
	w.after(25, poll)
}

// power takes the power away.
func (s *simStore) power() {
	s.kill()
	s.disk.powerLoss(s.w.rng.IntN)
}

// wipe takes the disk away.
func (s *simStore) wipe() {
	s.kill()
	s.disk = &simDisk{}
	s.w.say("%s has lost its disk", s.name)
}

// freeze stops a store for so long. Others notice by silence.
func (s *simStore) freeze(ms float64) {
	if s.core == nil || s.frozen {
		return
	}
	w, life := s.w, s.life
	w.say("%s is frozen", s.name)
	s.frozen = true
	w.after(1300, func() {
		if s.life == life && s.frozen {
			w.drop(s.name, 0)
		}
	})
	w.after(ms, func() {
		if s.life == life && s.frozen {
			w.say("%s goes on", s.name)
			s.frozen = false
			all := s.waiting
			s.waiting = nil
			for _, fn := range all {
				fn()
			}
		}
	})
}

// alive are the stores that keepers hear of.
func (w *world) alive() (alive []snapshot.Store) {
	for _, s := range w.stores {
		if s.core != nil && (w.ms()-s.heard < 400 || w.ms() < 300) {
			alive = append(alive, snapshot.Store{ID: s.core.self, Name: s.name, Addr: s.name, Zone: s.zone})
		}
	}
	return alive
}

// keep is the keepers' duty.
func (w *world) keep() {
	for _, s := range w.stores {
		if s.core != nil {
			w.heard[s.core.self] = s.heard
		}
	}
	lost := func(id uint64) bool { return w.ms()-w.heard[id] > 1000 }
	starting := w.ms() < 300
	alive := w.alive()
	if !starting || len(alive) == len(w.stores) {
		lost2 := lost
		if starting {
			lost2 = func(uint64) bool { return false }
		}
		if next, ok := AssignPartitions(w.table, alive, lost2, w.nParts, w.f); ok {
			w.say("assign: %v", next.Partitions)
			w.publish(next)
		}
	}
	w.after(100, w.keep)
}

func (w *world) publish(t *snapshot.PartitionTable) {
	if w.noAgreement {
		return
	}
	w.table = t
	for _, s := range w.stores {
		life := s.life
		if !s.deaf {
			w.after(w.delay()*5, func() { s.take(t, life) })
		}
	}
	for _, k := range w.works {
		w.after(w.delay()*5+k.late, func() { k.take(t) })
	}
}
