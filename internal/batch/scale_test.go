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

// scaleRig steps the cores of a few stores by hand, with many workers that run items at a pace. Nothing
// but the cores takes notable time, so what the process spends is theirs.
type scaleRig struct {
	cores   []*core
	queue   []func()
	running []func() // items in hand, the longest first
	most    int      // in hand, at which the longest ends
	now     int64    // µs
	pace    int64    // µs an item
	listed  int
	ticked  int64
}

// scaleDisk keeps records as they come.
type scaleDisk struct {
	starts []int64
	recs   [][]byte
	size   int64
}

func (d *scaleDisk) Append(b []byte) (int64, error) {
	at := d.size
	d.starts, d.recs = append(d.starts, at), append(d.recs, bytes.Clone(b))
	d.size += int64(len(b))
	return at, nil
}

func (d *scaleDisk) ReadRaw(at int64, n int) ([]byte, error) {
	i := sort.Search(len(d.starts), func(i int) bool { return d.starts[i] > at }) - 1
	if i < 0 || at-d.starts[i]+int64(n) > int64(len(d.recs[i])) {
		return nil, errors.New("outside")
	}
	return bytes.Clone(d.recs[i][at-d.starts[i]:][:n]), nil
}

func (d *scaleDisk) NewestSize() int64     { return 0 }
func (d *scaleDisk) Oldest() (int64, bool) { return 0, false }
func (d *scaleDisk) Rotate() error         { return errors.New("not in this test") }
func (d *scaleDisk) DropOldest() error     { return errors.New("not in this test") }

func (d *scaleDisk) Size() int64 { return d.size }

// scaleEnd is one side of a connection.
type scaleEnd struct {
	rig  *scaleRig
	peer *scaleEnd
	take func(from *scaleEnd, kind link.Kind, body []byte)
}

func (e *scaleEnd) Send(kind link.Kind, body []byte) error {
	e.rig.queue = append(e.rig.queue, func() { e.peer.take(e.peer, kind, body) })
	return nil
}

func (g *scaleRig) connect(a, b func(*scaleEnd, link.Kind, []byte)) *scaleEnd {
	x, y := &scaleEnd{rig: g, take: a}, &scaleEnd{rig: g, take: b}
	x.peer, y.peer = y, x
	return x
}

type replied func([]byte)

func (f replied) Reply(b []byte) { f(b) }

func newScaleRig(stores, workers, inHand int, perSecond int64) *scaleRig {
	return newScaleRigOn(stores, workers, inHand, perSecond, func() disk { return &scaleDisk{} })
}

// newScaleRigOn has stores on disks of the caller's.
func newScaleRigOn(stores, workers, inHand int, perSecond int64, newDisk func() disk) *scaleRig {
	g := &scaleRig{most: workers * inHand * stores / 2, pace: 1e6 / perSecond}
	var all []snapshot.Store
	for i := range stores {
		c := newCore(uint64(i+1), newDisk())
		c.zone, c.config = fmt.Sprint("z", i%3), bulkConfig(1<<40)
		g.cores = append(g.cores, c)
		all = append(all, snapshot.Store{ID: c.self, Name: fmt.Sprint("s", i), Zone: c.zone})
	}
	table, _ := AssignPartitions(nil, all, func(uint64) bool { return false }, 16, 1)
	g.clock()
	to := func(c *core) func(*scaleEnd, link.Kind, []byte) {
		return func(e *scaleEnd, kind link.Kind, body []byte) { c.handleMessage(e, nil, kind, body) }
	}
	for _, c := range g.cores {
		c.setTable(table)
	}
	for _, c := range g.cores {
		for _, d := range g.cores {
			if c != d {
				c.peerConnected(d.self, g.connect(to(c), to(d)))
			}
		}
		for n := range workers {
			w := g.connect(g.work, to(c))
			var b link.Writer
			b.String(fmt.Sprint("w", n))
			b.String(fmt.Sprint("z", n%3))
			b.Int(inHand)
			_ = w.Send(kindAttachWorker, b.Buf)
		}
	}
	for range 1000 { // handAfterMs and more
		g.now += 1000
		g.settle()
	}
	return g
}

// work takes an item in hand; its result goes back when it is the longest there.
func (g *scaleRig) work(e *scaleEnd, kind link.Kind, body []byte) {
	switch kind {
	case kindResultStored:
		g.listed++
	case kindAssignItem:
		r := link.Reader{Buf: body}
		part := r.U32()
		r.U64()
		job, no := r.String(), r.U32()
		g.running = append(g.running, func() {
			w := link.Writer{Buf: make([]byte, 0, 600)}
			w.U32(part)
			w.String(job)
			w.U32(no)
			w.Bool(false)
			w.Bytes(scaleText)
			_ = e.Send(kindItemResult, w.Buf)
		})
	}
}

var scaleBody, scaleText = bytes.Repeat([]byte("b"), 1000), bytes.Repeat([]byte("t"), 500)

func (g *scaleRig) clock() {
	for _, c := range g.cores {
		c.nowMs = g.now/1000 + 1
	}
}

// settle plays all that is under way at this moment; disks are as fast as need be.
func (g *scaleRig) settle() {
	g.clock()
	if g.now-g.ticked >= 25_000 {
		g.ticked = g.now
		for _, c := range g.cores {
			c.tick()
		}
	}
	for {
		for len(g.queue) > 0 {
			all := g.queue
			g.queue = nil
			for _, f := range all {
				f()
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

func scaleLot(id string, items int, sent int64) []byte {
	j := Job{ID: id, Route: "b", Host: "h.example", PathPrefix: "/b/", SentMs: sent, DueMs: 1 << 40, MaxAttempts: 2, MaxQueuedTokens: 1 << 40, ConfigVersion: 1}
	for i := range items {
		j.Items = append(j.Items, JobItem{ID: fmt.Sprintf("item-%06d", i), Path: "/b/x", Headers: [][2]string{{"content-type", "application/json"}}, Body: scaleBody, Tokens: 100})
	}
	return j.encode()
}

func (g *scaleRig) accept(tb testing.TB, id string, items int) {
	enc, code := scaleLot(id, items, g.now/1000), uint8(0)
	no := g.cores[0].table.PartitionOf(id)
	c := g.cores[g.cores[0].table.Partitions[no].Primary-1]
	g.clock()
	c.handleMessage(nil, replied(func(b []byte) { code = b[0] }), kindAcceptJob, enc)
	for range 20 {
		if code != 0 {
			break
		}
		g.now += 25_000 // a quota's owner counts first
		g.settle()
	}
	if code != codeOK {
		tb.Fatalf("job %s: code %d", id, code)
	}
}

// drain runs all that is there.
func (g *scaleRig) drain(tb testing.TB, items int) {
	for g.listed < items {
		g.settle()
		if len(g.running) == 0 {
			if g.now += 25_000; g.now > 1e12 {
				tb.Fatalf("%d of %d items are listed, and nothing goes on", g.listed, items)
			}
			continue
		}
		f := g.running[0]
		g.running = g.running[1:]
		g.now += g.pace
		f()
	}
}

func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // it can't fail for the process itself
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkLots tells what an item of a batch job costs three stores together, from the hand-in of its
// job to its place in the list. Run it with -benchtime=1x.
func BenchmarkLots(b *testing.B) {
	for _, s := range []struct{ lots, items int }{{1, 1414}, {71, 1414}, {2000, 50}, {1, 6750}, {1, 13500}, {1, 27000}, {1, 54000}} {
		b.Run(fmt.Sprintf("%dx%d", s.lots, s.items), func(b *testing.B) {
			for b.Loop() {
				g := newScaleRig(3, 400, 4, 3*475)
				before, cpu := inUse(), processor()
				for i := range s.lots {
					g.accept(b, fmt.Sprint("job-", i), s.items)
				}
				taken := processor()
				g.drain(b, s.lots*s.items)
				done := processor()
				n := float64(s.lots * s.items)
				var disk int64
				for _, c := range g.cores {
					disk += c.disk.Size()
				}
				mem := inUse() - before - disk
				b.ReportMetric(float64((taken-cpu).Microseconds())/n, "µs-accept/item")
				b.ReportMetric(float64((done-taken).Microseconds())/n, "µs-run/item")
				b.ReportMetric(float64(disk)/3/n, "logB/item/store")
				b.ReportMetric(float64(mem)/3/n, "heapB/item/store")
				runtime.KeepAlive(g)
			}
		})
	}
}

// TestScaleRigListsAll: the rig of the benchmark plays to the end, each item listed once.
func TestScaleRigListsAll(t *testing.T) {
	g := newScaleRig(3, 6, 2, 1000)
	for i := range 3 {
		g.accept(t, fmt.Sprint("job-", i), 50)
	}
	g.drain(t, 150)
	for i := range 3 {
		id := fmt.Sprint("job-", i)
		no := g.cores[0].table.PartitionOf(id)
		for _, copyOf := range g.cores {
			j := copyOf.partition(no).jobs[id]
			if j == nil || len(j.results) != 50 {
				t.Fatalf("store %d: job %s is %+v", copyOf.self, id, j)
			}
			var nos []int32
			for _, r := range j.results {
				nos = append(nos, r.itemIndex)
			}
			slices.Sort(nos)
			if len(slices.Compact(nos)) != 50 {
				t.Errorf("store %d: job %s has items twice", copyOf.self, id)
			}
		}
	}
}

// TestDispatchGoesOnWhereItWas: what was handed out is not looked through again, and what a lost worker had
// in hand is.
func TestDispatchGoesOnWhereItWas(t *testing.T) {
	const items = 300
	g := newScaleRig(3, 6, 2, 1000)
	g.accept(t, "job", items)
	no := g.cores[0].table.PartitionOf("job")
	c := g.cores[g.cores[0].table.Partitions[no].Primary-1]
	j := c.partition(no).jobs["job"]
	check := func() {
		t.Helper()
		for i := range j.firstWaiting {
			if j.items[i].state == itemWaiting {
				t.Fatalf("item %d waits before %d", i, j.firstWaiting)
			}
		}
	}
	for g.listed < items/2 {
		g.settle()
		check()
		g.now += g.pace
		f := g.running[0]
		g.running = g.running[1:]
		f()
	}
	g.settle()
	if j.firstWaiting < items/2 {
		t.Fatalf("%d are listed, and items from %d on are looked through", g.listed, j.firstWaiting)
	}
	lost := c.attachedWorkers[0]
	had := len(lost.assigned)
	if had == 0 {
		t.Fatal("the worker has nothing in hand")
	}
	c.connectionClosed(lost.pipe)
	check()
	g.settle()
	check()
	for range 3*items + reconnectWaitMs { // its results come too, to a store that knows it no longer; what it had waits for it first
		if len(j.results) == items {
			break
		}
		g.now += g.pace
		if len(g.running) > 0 {
			f := g.running[0]
			g.running = g.running[1:]
			f()
		}
		g.settle()
		c.tick()
		check()
	}
	if len(j.results) != items || j.readableResults != items {
		t.Fatalf("%d of %d items are listed, %d can be read", len(j.results), items, j.readableResults)
	}
}
