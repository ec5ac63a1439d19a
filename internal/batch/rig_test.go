package batch

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// storeRig steps the cores of several stores manually, with many workers that run items at a fixed
// rate. Only the cores take notable time, so the CPU time of the process is theirs. Nothing fails:
// see simulation for faults.
type storeRig struct {
	cores      []*core
	queue      []func() // messages in flight
	running    []func() // ends of the running items, the longest running first
	now        int64    // µs
	itemMicros int64    // interval between the ends of two items
	stored     int      // number of results that stores have acknowledged
	tickedAt   int64    // µs
}

// memoryDisk is a disk in memory that never loses anything.
type memoryDisk struct {
	offsets []int64
	records [][]byte
	size    int64
}

func (d *memoryDisk) Append(b []byte) (int64, error) {
	offset := d.size
	d.offsets, d.records = append(d.offsets, offset), append(d.records, bytes.Clone(b))
	d.size += int64(len(b))
	return offset, nil
}

func (d *memoryDisk) ReadRaw(offset int64, length int) ([]byte, error) {
	i := sort.Search(len(d.offsets), func(i int) bool { return d.offsets[i] > offset }) - 1
	if i < 0 || offset-d.offsets[i]+int64(length) > int64(len(d.records[i])) {
		return nil, errors.New("outside")
	}
	return bytes.Clone(d.records[i][offset-d.offsets[i]:][:length]), nil
}

func (d *memoryDisk) NewestSize() int64     { return 0 }
func (d *memoryDisk) Oldest() (int64, bool) { return 0, false }
func (d *memoryDisk) Rotate() error         { return errors.New("not in this test") }
func (d *memoryDisk) DropOldest() error     { return errors.New("not in this test") }

func (d *memoryDisk) Size() int64 { return d.size }

// rigPipe is one side of a connection.
type rigPipe struct {
	rig     *storeRig
	peer    *rigPipe
	receive rigReceiver
	closed  bool
}

// rigReceiver handles a message at one side of a connection.
type rigReceiver func(side *rigPipe, kind link.Kind, body []byte)

// Send refuses long messages, as a link does.
func (p *rigPipe) Send(kind link.Kind, body []byte) error {
	if len(body) > link.MaxBody {
		return link.ErrTooLong
	}
	if p.closed {
		return link.ErrClosed
	}
	p.rig.queue = append(p.rig.queue, func() { p.peer.receive(p.peer, kind, body) })
	return nil
}

// connect creates a connection and returns its first side.
func (g *storeRig) connect(first, second rigReceiver) *rigPipe {
	a, b := &rigPipe{rig: g, receive: first}, &rigPipe{rig: g, receive: second}
	a.peer, b.peer = b, a
	return a
}

// receiverOf passes messages to a store.
func receiverOf(c *core) rigReceiver {
	return func(side *rigPipe, kind link.Kind, body []byte) { c.handleMessage(side, nil, kind, body) }
}

// callerFunc is a Caller that calls a function.
type callerFunc func(reply []byte)

func (f callerFunc) Reply(b []byte) { f(b) }

// newStoreRig creates the given number of stores in three zones, and for each of them the given
// number of workers with a limit of items. PerSecond is how many items end per second.
func newStoreRig(stores, workers, limit int, perSecond int64) *storeRig {
	return newStoreRigOn(stores, workers, limit, perSecond, func() disk { return &memoryDisk{} })
}

// newStoreRigOn is newStoreRig with disks that the caller provides.
func newStoreRigOn(stores, workers, limit int, perSecond int64, newDisk func() disk) *storeRig {
	g := &storeRig{itemMicros: 1e6 / perSecond}
	var all []snapshot.Store
	for i := range stores {
		c := newCore(uint64(i+1), newDisk())
		c.process = uint64(1000 + i)
		c.zone, c.config = fmt.Sprint("z", i%3), bulkConfig(1<<40)
		g.cores = append(g.cores, c)
		all = append(all, snapshot.Store{ID: c.self, Name: fmt.Sprint("s", i), Zone: c.zone})
	}
	table, _ := AssignPartitions(nil, all, func(uint64) bool { return false }, 16, 1)
	g.setClocks()
	for _, c := range g.cores {
		c.setTable(table)
	}
	for _, c := range g.cores {
		for _, d := range g.cores {
			if c != d {
				c.peerConnected(d.self, g.connect(receiverOf(c), receiverOf(d)))
			}
		}
		for n := range workers {
			w := g.connect(g.runItems, receiverOf(c))
			_ = w.Send(kindAttachWorker, encodeAttachWorker(fmt.Sprint("w", n), fmt.Sprint("z", n%3), limit))
		}
	}
	for range 1000 { // longer than dispatchDelayMs
		g.now += 1000
		g.deliverAll()
	}
	return g
}

// runItems is the worker's side of a connection. An item ends, and its result is sent to the store,
// when the caller of the rig calls endOldestItem.
func (g *storeRig) runItems(side *rigPipe, kind link.Kind, body []byte) {
	switch kind {
	case kindResultStored:
		g.stored++
	case kindAssignItem:
		key := itemOfAssignment(body)
		g.running = append(g.running, func() {
			_ = side.Send(kindItemResult, encodeItemResult(key, false, rigText))
		})
	}
}

// itemOfAssignment returns the item of a kindAssignItem message.
func itemOfAssignment(body []byte) itemKey {
	r := link.Reader{Buf: body}
	key := itemKey{partition: int(r.U32())}
	r.U64() // epoch
	key.jobID, key.index = r.String(), int(r.U32())
	return key
}

// rigBody is the body of each item, and rigText its text.
var rigBody, rigText = bytes.Repeat([]byte("b"), 1000), bytes.Repeat([]byte("t"), 500)

// endOldestItem ends the item that has been running longest.
func (g *storeRig) endOldestItem() {
	end := g.running[0]
	g.running = g.running[1:]
	end()
}

func (g *storeRig) setClocks() {
	for _, c := range g.cores {
		c.nowMs = g.now/1000 + 1
	}
}

// deliverAll delivers all messages in flight, and those sent in response. Syncs take no time.
func (g *storeRig) deliverAll() {
	g.setClocks()
	if g.now-g.tickedAt >= fastTick.Microseconds() {
		g.tickedAt = g.now
		for _, c := range g.cores {
			c.tick()
		}
	}
	for {
		for len(g.queue) > 0 {
			messages := g.queue
			g.queue = nil
			for _, deliver := range messages {
				deliver()
			}
		}
		for _, c := range g.cores {
			if c.syncedRecords < c.appendedRecords {
				c.recordsSynced(c.appendedRecords)
				c.dispatchItems()
			}
		}
		if len(g.queue) == 0 {
			return
		}
	}
}

// encodedJob encodes a job of the route "b" with items of 100 tokens each.
func encodedJob(id string, items int, sentMs int64) []byte {
	j := Job{
		ID:              id,
		Route:           "b",
		Host:            "h.example",
		PathPrefix:      "/b/",
		SentMs:          sentMs,
		DueMs:           1 << 40,
		MaxAttempts:     2,
		MaxQueuedTokens: 1 << 40,
		ConfigVersion:   1,
	}
	for i := range items {
		j.Items = append(j.Items, JobItem{
			ID:      fmt.Sprintf("item-%06d", i),
			Path:    "/b/x",
			Headers: [][2]string{{"content-type", "application/json"}},
			Body:    rigBody,
			Tokens:  100,
		})
	}
	return j.encode()
}

// primaryOf returns the store that the table gives as the primary of a job's partition.
func (g *storeRig) primaryOf(jobID string) *core {
	table := g.cores[0].table
	return g.cores[table.Partitions[table.PartitionOf(jobID)].Primary-1]
}

// call calls the primary of a job's partition and returns the code of the reply; 0 if there was
// none within half a second.
func (g *storeRig) call(jobID string, kind link.Kind, body []byte) (code uint8) {
	g.setClocks()
	g.primaryOf(jobID).handleMessage(nil, callerFunc(func(b []byte) { code = b[0] }), kind, body)
	for range 20 {
		g.deliverAll()
		if code != 0 {
			return code
		}
		g.now += 25_000 // the owner of a quota may have to collect the usage first
	}
	return code
}

// submit submits a job and returns the code of the reply.
func (g *storeRig) submit(id string, items int) (code uint8) {
	return g.call(id, kindAcceptJob, encodedJob(id, items, g.now/1000))
}

// accept submits a job, which must be accepted.
func (g *storeRig) accept(tb testing.TB, id string, items int) {
	tb.Helper()
	if code := g.submit(id, items); code != codeOK {
		tb.Fatalf("job %s: code %d", id, code)
	}
}

// runAll runs items until the given number of results is stored.
func (g *storeRig) runAll(tb testing.TB, items int) {
	tb.Helper()
	for g.stored < items {
		g.deliverAll()
		if len(g.running) == 0 {
			if g.now += 25_000; g.now > 1e12 {
				tb.Fatalf("no progress: %d of %d results are stored", g.stored, items)
			}
			continue
		}
		g.now += g.itemMicros
		g.endOldestItem()
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it can't fail for the process itself
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkJobs measures the cost of an item for three stores together, from the submission of its
// job until its result is stored. Run it with -benchtime=1x.
func BenchmarkJobs(b *testing.B) {
	for _, s := range []struct{ jobs, items int }{
		{1, 1414},
		{71, 1414},
		{2000, 50},
		{1, 6750},
		{1, 13500},
		{1, 27000},
		{1, 54000},
	} {
		b.Run(fmt.Sprintf("%dx%d", s.jobs, s.items), func(b *testing.B) {
			for b.Loop() {
				g := newStoreRig(3, 400, 4, 3*475)
				before, cpu := heapInUse(), processorTime()
				for i := range s.jobs {
					g.accept(b, fmt.Sprint("job-", i), s.items)
				}
				taken := processorTime()
				g.runAll(b, s.jobs*s.items)
				done := processorTime()
				n := float64(s.jobs * s.items)
				var disk int64
				for _, c := range g.cores {
					disk += c.disk.Size()
				}
				mem := heapInUse() - before - disk
				b.ReportMetric(float64((taken-cpu).Microseconds())/n, "µs-accept/item")
				b.ReportMetric(float64((done-taken).Microseconds())/n, "µs-run/item")
				b.ReportMetric(float64(disk)/3/n, "logB/item/store")
				b.ReportMetric(float64(mem)/3/n, "heapB/item/store")
				runtime.KeepAlive(g)
			}
		})
	}
}

// TestRigStoresEachResultOnce: the rig runs jobs to completion, with one result of each item at
// each replica.
func TestRigStoresEachResultOnce(t *testing.T) {
	g := newStoreRig(3, 6, 2, 1000)
	for i := range 3 {
		g.accept(t, fmt.Sprint("job-", i), 50)
	}
	g.runAll(t, 150)
	for i := range 3 {
		id := fmt.Sprint("job-", i)
		index := g.cores[0].table.PartitionOf(id)
		for _, c := range g.cores {
			j := c.partition(index).jobs[id]
			if j == nil || len(j.results) != 50 {
				t.Fatalf("store %d: job %s is %+v", c.self, id, j)
			}
			var items []int32
			for _, r := range j.results {
				items = append(items, r.itemIndex)
			}
			slices.Sort(items)
			if len(slices.Compact(items)) != 50 {
				t.Errorf("store %d: job %s has items twice", c.self, id)
			}
		}
	}
}

// TestDispatchContinuesAtTheFirstWaitingItem: dispatch does not scan assigned items again, except
// those of a lost worker.
func TestDispatchContinuesAtTheFirstWaitingItem(t *testing.T) {
	const items = 300
	g := newStoreRig(3, 6, 2, 1000)
	g.accept(t, "job", items)
	c := g.primaryOf("job")
	j := c.partition(c.table.PartitionOf("job")).jobs["job"]
	check := func() {
		t.Helper()
		for i := range j.firstWaiting {
			if j.items[i].state == itemWaiting {
				t.Fatalf("item %d waits before %d", i, j.firstWaiting)
			}
		}
	}
	for g.stored < items/2 {
		g.deliverAll()
		check()
		g.now += g.itemMicros
		g.endOldestItem()
	}
	g.deliverAll()
	if j.firstWaiting < items/2 {
		t.Fatalf("%d results are stored, but dispatch still scans from item %d on", g.stored, j.firstWaiting)
	}
	lost := c.attachedWorkers[0]
	if len(lost.assigned) == 0 {
		t.Fatal("the worker has no items")
	}
	c.connectionClosed(lost.pipe)
	check()
	g.deliverAll()
	check()
	// Results of the lost worker still arrive, at a store that no longer knows it. Its items first
	// wait for it to reconnect.
	for range 3*items + reconnectWaitMs {
		if len(j.results) == items {
			break
		}
		g.now += g.itemMicros
		if len(g.running) > 0 {
			g.endOldestItem()
		}
		g.deliverAll()
		c.tick()
		check()
	}
	if len(j.results) != items || j.readableResults != items {
		t.Fatalf("%d of %d results are stored, %d are readable", len(j.results), items, j.readableResults)
	}
}
