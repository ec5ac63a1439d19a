package batch

import (
	"fmt"
	"slices"
	"testing"

	"dunetide/internal/platform/link"
)

// TestItemReportedByTwoWorkersIsKeptByOne guards against an item that both of its workers are told to drop: an item is
// assigned to a worker, and that worker's report and the report of another one that runs it too are both in flight, as
// after an epoch that keeps the primary. The first adoption tells the assigned worker to drop it, the second one tells
// the other worker; the store then believes that the assigned worker runs it.
func TestItemReportedByTwoWorkersIsKeptByOne(t *testing.T) {
	g := newStoreRig(3, 1, 4, 1000)
	g.accept(t, "job", 1)
	c, p := primaryOfJob(t, g)
	it := &p.jobs["job"].items[0]
	assigned := it.worker
	recorded := &recordingPipe{}
	delete(c.workers, assigned.pipe)
	assigned.pipe = recorded
	c.workers[recorded] = assigned

	late := attachRecordingWorker(c, "w9")
	report := encodeReportRunning(p.index, p.epoch, []itemKey{{p.index, "job", 0}})
	c.handleMessage(late, nil, kindReportRunning, report)
	c.handleMessage(recorded, nil, kindReportRunning, report) // sent before it has received what the first report caused
	g.deliverAll()

	dropped := map[string]bool{
		assigned.name: slices.Contains(recorded.kinds, link.Kind(kindResultStored)),
		"w9":          slices.Contains(late.kinds, link.Kind(kindResultStored)),
	}
	if it.worker == nil {
		return // waiting: it will be assigned again
	}
	if dropped[it.worker.name] {
		t.Errorf("the item is assigned to %s, which has been told to drop it; dropped by %v", it.worker.name, dropped)
	}
	for range 120 { // 30 s
		g.step(250)
	}
	if it.state == itemAssigned && it.worker != nil && dropped[it.worker.name] {
		t.Errorf("after 30 s it is still assigned to %s, and nobody runs it", it.worker.name)
	}
}

// TestReturningWorkerWhileEpochsChangeLosesNoItem plays the same on whole simulated stores and workers: a worker comes back
// after its items have been assigned to others, while epochs change that keep the primaries (as when a store joins or leaves
// the group of replicas), so that all workers report what they run. The link of another worker is slow meanwhile, as with loss.
func TestReturningWorkerWhileEpochsChangeLosesNoItem(t *testing.T) {
	for name, play := range map[string]struct{ bump, slow bool }{
		"control": {}, "epochs change": {bump: true}, "slow link": {slow: true}, "both": {bump: true, slow: true},
	} {
		lost := 0
		for seed := range uint64(60) {
			sim := newSimulation(seed, 4, 1, 4)
			sim.start()
			for i := range 3 {
				sim.addWorker(fmt.Sprint("p", i))
			}
			sim.run(800)
			sim.maxQueuedTokens = 10_000
			for i := range 12 {
				j := sim.newJob(fmt.Sprint("j", i), 1, 1, 1, 1, 1, 1)
				j.extraMs = 6000
				sim.submitUntilAccepted(j, 12)
			}
			sim.run(600)
			sim.cutLinks = func(a, b string) bool { return a == "p0" || b == "p0" }
			sim.dropConnections("p0", 0)
			sim.after(2000, func() { sim.cutLinks = nil })
			if play.slow {
				sim.after(1900, func() { sim.slowLinks = func(a, b string) bool { return a == "p1" || b == "p1" } })
				sim.after(4000, func() { sim.slowLinks = nil })
			}
			if play.bump {
				sim.after(1990+float64(seed%20)*4, func() {
					next := cloneTable(sim.table)
					next.Version++
					for i := range next.Partitions {
						next.Partitions[i].Epoch++
					}
					sim.publish(next)
				})
			}
			sim.run(90_000)
			if missing := 12*6 - len(sim.wholeRuns); missing > 0 {
				lost += missing
			}
			stuck := 0
			for _, s := range sim.stores {
				if s.core == nil {
					continue
				}
				for _, p := range s.core.partitions {
					if p.primary == nil {
						continue
					}
					for id, j := range p.jobs {
						for i := range j.items {
							it := &j.items[i]
							if it.state != itemAssigned || it.worker == nil {
								continue
							}
							for _, w := range sim.workers {
								if w.name == it.worker.name && w.assigned[itemKey{p.index, id, i}] == nil {
									stuck++
								}
							}
						}
					}
				}
			}
			if stuck > 0 {
				t.Errorf("%s, seed %d: %d items are assigned to workers that don't have them", name, seed, stuck)
			}
		}
		if lost > 0 {
			t.Errorf("%s: %d items without a whole run", name, lost)
		}
	}
}

// twoRunsOfAnItem returns a rig in which an item is assigned to a worker, after another one that had it was told to drop it.
func twoRunsOfAnItem(t *testing.T, items int) (c *core, p *partition, holder, dropper *recordingPipe) {
	t.Helper()
	g := newStoreRig(3, 0, 0, 1000)
	c = g.primaryOf("job")
	dropper, holder = attachRecordingWorker(c, "w1"), &recordingPipe{}
	g.accept(t, "job", items)
	c, p = primaryOfJob(t, g)
	c.handleMessage(holder, nil, kindAttachWorker, encodeAttachWorker("w2", "z0", 0))
	c.handleMessage(holder, nil, kindReportRunning, reportOfItem(p, 0))
	if w := p.jobs["job"].items[0].worker; w == nil || w.name != "w2" {
		t.Fatalf("the item is assigned to %+v", w)
	}
	return c, p, holder, dropper
}

// reportOfItem encodes a report that an item of the job "job" runs.
func reportOfItem(p *partition, index int) []byte {
	return encodeReportRunning(p.index, p.epoch, []itemKey{{p.index, "job", index}})
}

// countKind returns how many messages of a kind a worker was sent.
func countKind(pipe *recordingPipe, kind link.Kind) (n int) {
	for _, sent := range pipe.kinds {
		if sent == kind {
			n++
		}
	}
	return n
}

// TestDroppedItemIsAssignedAgainInsteadOfAdopted guards against a late report of an item that its worker was told to drop,
// which arrives when the worker that got it is lost: the item waits then, and nobody would run it. Once it is assigned to
// the same worker again, reports of it count.
func TestDroppedItemIsAssignedAgainInsteadOfAdopted(t *testing.T) {
	c, p, holder, dropper := twoRunsOfAnItem(t, 1)
	if countKind(dropper, kindAssignItem) != 1 || countKind(dropper, kindResultStored) != 1 {
		t.Fatalf("the worker was sent %v", dropper.kinds)
	}
	it := &p.jobs["job"].items[0]
	c.unassignItem(it.worker, itemKey{p.index, "job", 0}) // as it is lost
	c.handleWorkerMessage(dropper, kindReportRunning, reportOfItem(p, 0))
	if it.state != itemWaiting {
		t.Fatalf("the item is in state %d, assigned to %+v", it.state, it.worker)
	}
	c.dispatchItems()
	if it.worker != c.workers[dropper] || countKind(dropper, kindAssignItem) != 2 {
		t.Fatalf("the item is assigned to %+v, and the worker was sent %v", it.worker, dropper.kinds)
	}
	c.unassignItem(it.worker, itemKey{p.index, "job", 0})
	c.handleWorkerMessage(holder, kindReportRunning, reportOfItem(p, 0))
	c.handleWorkerMessage(dropper, kindReportRunning, reportOfItem(p, 0))
	if it.worker != c.workers[dropper] || countKind(holder, kindResultStored) != 1 {
		t.Errorf("the item is assigned to %+v, and the other worker was sent %v", it.worker, holder.kinds)
	}
}

// TestDroppedItemsAreBounded guards against a memory of dropped items that grows for ever, and against one that forgets an
// item which may still be reported.
func TestDroppedItemsAreBounded(t *testing.T) {
	c, p, holder, dropper := twoRunsOfAnItem(t, maxDroppedItems+1)
	w, it := c.workers[dropper], &p.jobs["job"].items[2]
	for i := range maxDroppedItems - 1 { // none of these needs a run
		w.dropped[itemKey{p.index, "gone", i}] = true
	}
	c.handleMessage(holder, nil, kindReportRunning, reportOfItem(p, 1))
	if len(w.dropped) != 2 || !w.dropped[itemKey{p.index, "job", 0}] || !w.dropped[itemKey{p.index, "job", 1}] {
		t.Fatalf("%d items are remembered, want the two that may be reported", len(w.dropped))
	}
	w.limit = 0
	for i := range maxDroppedItems - 2 { // all of these need one
		w.dropped[itemKey{p.index, "job", i + 3}] = true
	}
	told := countKind(dropper, kindResultStored)
	c.handleMessage(holder, nil, kindReportRunning, reportOfItem(p, 2))
	if it.worker != c.workers[holder] || len(w.dropped) != maxDroppedItems || countKind(dropper, kindResultStored) != told {
		t.Errorf("%d items are remembered, and the worker was sent %v", len(w.dropped), dropper.kinds)
	}
	if c.handleWorkerMessage(dropper, kindReportRunning, reportOfItem(p, 2)); it.worker != w {
		t.Errorf("the item, which its first worker was not told to drop, is assigned to %+v", it.worker)
	}
}

// TestReportToAnEarlierLeadIsNotAdopted guards against a worker's report that a primary could not adopt while it was not
// confirmed, and that it adopts when it leads the partition again: the lead in between may have told the worker to drop the
// item. The worker reports to each lead what it has.
func TestReportToAnEarlierLeadIsNotAdopted(t *testing.T) {
	g := newStoreRig(3, 0, 0, 1000)
	g.accept(t, "job", 1)
	c, p := primaryOfJob(t, g)
	late := &recordingPipe{}
	c.handleMessage(late, nil, kindAttachWorker, encodeAttachWorker("w9", "z0", 0))
	p.primary.confirmedAt = never
	c.handleMessage(late, nil, kindReportRunning, reportOfItem(p, 0))
	if p.jobs["job"].items[0].state != itemWaiting {
		t.Fatal("a primary that is not confirmed adopted the item")
	}
	for _, primary := range []uint64{c.self%3 + 1, c.self} {
		next := cloneTable(c.table)
		row := &next.Partitions[p.index]
		row.Epoch, row.Primary = row.Epoch+1, primary
		for _, other := range g.cores {
			other.setTable(next)
		}
		g.step(1000)
	}
	if c, p = primaryOfJob(t, g); c.workers[late] == nil {
		t.Fatal("another store leads the partition")
	}
	it := &p.jobs["job"].items[0]
	if it.worker != nil {
		t.Errorf("the item is assigned to %s by its report to the lead before", it.worker.name)
	}
	if c.handleMessage(late, nil, kindReportRunning, reportOfItem(p, 0)); it.worker != c.workers[late] {
		t.Errorf("the report to this lead was not adopted: the item is assigned to %+v", it.worker)
	}
}
