package batch

import (
	"testing"

	"dunetide/internal/platform/link"
)

// TestItemsWaitForTheirWorkerToReconnect: the items of a worker whose link breaks wait for it to
// reconnect, as it keeps running them, and they would run twice.
func TestItemsWaitForTheirWorkerToReconnect(t *testing.T) {
	for _, back := range []bool{true, false} {
		g := newStoreRig(3, 1, 4, 1000)
		given := map[string]int{}
		g.accept(t, "j", 1)
		c := g.cores[0]
		for _, other := range g.cores {
			if p := other.partition(other.table.PartitionOf("j")); p.primary != nil {
				c = other
			}
		}
		p := c.partition(c.table.PartitionOf("j"))
		it := &p.jobs["j"].items[0]
		if it.state != itemAssigned {
			t.Fatalf("the item is not assigned: state %d", it.state)
		}
		old := it.worker
		c.connectionClosed(old.pipe)
		attach := func() {
			w := g.connect(func(_ *rigPipe, kind link.Kind, _ []byte) {
				if kind == kindAssignItem {
					given["again"]++
				}
			}, func(e *rigPipe, kind link.Kind, body []byte) { c.handleMessage(e, nil, kind, body) })
			_ = w.Send(kindAttachWorker, encodeAttachWorker("w0", "z0", 4))
			if back {
				var h link.Writer
				h.U32(uint32(p.index))
				h.U64(p.epoch)
				h.U32(1)
				h.String("j")
				h.U32(0)
				_ = w.Send(kindReportRunning, h.Buf)
			}
		}
		attach()
		for range 900 {
			g.now += 1000
			g.deliverAll()
			c.tick()
		}
		if given["again"] != 0 {
			t.Fatalf("back %v: the item was assigned again within the wait", back)
		}
		if back != (it.worker != old) {
			t.Errorf("back %v: the item is still assigned over the old link: %v", back, it.worker == old)
		}
		for range 400 {
			g.now += 1000
			g.deliverAll()
			c.tick()
		}
		if want := map[bool]int{true: 0, false: 1}[back]; given["again"] != want {
			t.Errorf("back %v: assigned again %d times, want %d", back, given["again"], want)
		}
	}
}
