package batch

import (
	"slices"

	"dunetide/internal/platform/link"
)

// worker is a store's view of a proxy that runs items. See itemRunner for the proxy's side.
type worker struct {
	pipe     Pipe
	name     string
	zone     string
	limit    int // the maximum number of items that this store may have assigned to it
	assigned map[itemKey]bool
	reported map[int]runningReport // by partition, until this store serves the partition as its primary
	// dropped has the items that the worker was told to drop, until they are assigned to it again. Links deliver in order,
	// so until then it has dropped them, or will, whatever the reports say that it sent before.
	dropped map[itemKey]bool
}

// maxDroppedItems bounds worker.dropped.
const maxDroppedItems = 4096

// runningReport is a worker's report of its items of a partition.
type runningReport struct {
	epoch uint64 // according to the worker's table
	items []itemKey
}

// itemKey identifies an item.
type itemKey struct {
	partition int
	jobID     string
	index     int // in the job
}

// anyEpoch is the epoch in a kindRunningNoted that does not answer a particular report.
const anyEpoch = 0

func (w *worker) freeSlots() int { return w.limit - len(w.assigned) }

// runsPartition reports whether a worker has an item of a partition.
func (w *worker) runsPartition(partition int) bool {
	for key := range w.assigned {
		if key.partition == partition {
			return true
		}
	}
	return false
}

// runsJob reports whether a worker has an item of a job.
func (w *worker) runsJob(partition int, jobID string) bool {
	for key := range w.assigned {
		if key.partition == partition && key.jobID == jobID {
			return true
		}
	}
	return false
}

func sendCancel(w *worker, partition int, jobID string) {
	_ = w.pipe.Send(kindCancelJob, encodeJobRef(partition, jobID))
}

func sendResultStored(w *worker, key itemKey) {
	_ = w.pipe.Send(kindResultStored, encodeItemRef(key))
}

// handleWorkerMessage handles a message from a worker.
func (c *core) handleWorkerMessage(pipe Pipe, kind link.Kind, body []byte) {
	r := link.Reader{Buf: body}
	w := c.workers[pipe]
	if kind == kindAttachWorker {
		c.attachWorker(pipe, &r)
		return
	}
	if w == nil {
		return
	}
	key := itemKey{partition: int(r.U32())}
	p := c.partition(key.partition)
	if r.Err != nil || p == nil {
		return
	}
	switch kind {
	case kindReportRunning:
		c.noteRunning(p, w, &r)
	case kindItemResult:
		key.jobID, key.index = r.String(), int(r.U32())
		abandoned := r.Bool()
		if text := r.Bytes(); r.Err == nil {
			c.handleResult(p, w, key, abandoned, text)
		}
	case kindJobCancelled:
		if jobID := r.String(); r.Err == nil {
			c.jobCancelled(p, w, jobID)
		}
	case kindReturnItem:
		if key.jobID, key.index = r.String(), int(r.U32()); r.Err == nil {
			c.unassignItem(w, key)
		}
	}
}

// attachWorker adds a new worker, or updates the limit of a known one.
func (c *core) attachWorker(pipe Pipe, r *link.Reader) {
	name, zone, limit := r.String(), r.String(), r.Int()
	if r.Err != nil {
		return
	}
	w := c.workers[pipe]
	if w == nil {
		w = &worker{pipe: pipe, assigned: map[itemKey]bool{}, reported: map[int]runningReport{}, dropped: map[itemKey]bool{}}
		c.workers[pipe] = w
		c.attachedWorkers = append(c.attachedWorkers, w)
	}
	w.name, w.zone, w.limit = name, zone, limit
}

// noteRunning records the items of a partition that a worker reports.
func (c *core) noteRunning(p *partition, w *worker, r *link.Reader) {
	report := runningReport{epoch: r.U64()}
	for n := r.Count(8); n > 0; n-- {
		report.items = append(report.items, itemKey{p.index, r.String(), int(r.U32())})
	}
	if r.Err != nil {
		return
	}
	w.reported[p.index] = report
	if p.primary != nil && p.primary.serving {
		c.adoptRunning(p, w)
	}
}

// adoptAllRunning adopts what each worker has reported for a partition.
func (c *core) adoptAllRunning(p *partition) {
	for _, w := range c.attachedWorkers {
		c.adoptRunning(p, w)
	}
}

// adoptRunning assigns to a worker the items of a partition that it has reported and that an
// earlier primary assigned to it. It requires this store to be the confirmed primary: a replaced
// primary would take from the worker what its successor assigned to it.
func (c *core) adoptRunning(p *partition, w *worker) {
	report, reported := w.reported[p.index]
	if !reported || report.epoch > p.epoch {
		return
	}
	if !c.isConfirmed(p.primary) {
		c.requestConfirmations(p)
		if !c.isConfirmed(p.primary) {
			return // countConfirmations calls it again
		}
	}
	delete(w.reported, p.index)
	if report.epoch < epochOfTerm(p.primary.incarnation) {
		return // to an earlier lead: another one may have told the worker to drop items since, and it reports to this one too
	}
	for _, key := range report.items {
		c.adoptItem(p, w, key)
	}
	c.send(w.pipe, kindRunningNoted, encodeRunningNoted(p.index, report.epoch))
	c.advanceCommit(p)
}

// adoptItem assigns an item to a worker that has it already, or notifies the worker that the item
// is not needed.
func (c *core) adoptItem(p *partition, w *worker, key itemKey) {
	j := p.jobs[key.jobID]
	if j == nil || j.ended || !j.hasItem(key.index) {
		sendCancel(w, p.index, key.jobID)
		return
	}
	it := &j.items[key.index]
	if it.state != itemDone && w.dropped[key] {
		sendResultStored(w, key) // again, as it may have ignored the first one (itemRunner.fromReplacedPrimary)
		return
	}
	if it.state == itemAssigned && it.worker != w {
		c.takeItemBack(it.worker, key, w)
	}
	switch {
	case it.state == itemWaiting && j.queued:
		c.markAssigned(p, j, key.index, w)
	case it.state == itemDone:
		p.primary.afterCommit(func(ok bool) {
			if ok {
				sendResultStored(w, key)
			}
		})
	}
}

// takeItemBack unassigns an item from a worker in favor of another one, which reports that it runs the item. The reporting
// worker had the item first and so is further on; the other one's run is ended, as one whole run is enough.
func (c *core) takeItemBack(from *worker, key itemKey, reporting *worker) {
	c.unassignItem(from, key)
	if from.name != reporting.name { // otherwise it is the same worker, over its previous connection
		c.endOtherRun(from, key)
	}
}

// endOtherRun makes a worker that is still connected drop an item, which it need not run to its end.
func (c *core) endOtherRun(w *worker, key itemKey) {
	if w == nil || c.workers[w.pipe] != w {
		return
	}
	if len(w.dropped) >= maxDroppedItems {
		c.forgetDroppedItems(w)
	}
	if len(w.dropped) >= maxDroppedItems {
		return // it runs the item to the end: that is wasted, but not knowing what it has dropped could lose an item
	}
	w.dropped[key] = true
	sendResultStored(w, key)
}

// forgetDroppedItems removes the items that need no run any more from those that a worker was told to drop.
func (c *core) forgetDroppedItems(w *worker) {
	for key := range w.dropped {
		j := c.partition(key.partition).jobs[key.jobID]
		if j == nil || !j.hasItem(key.index) || j.items[key.index].state == itemDone {
			delete(w.dropped, key)
		}
	}
}

// handleResult handles a worker's result of an item. Only the first result counts.
func (c *core) handleResult(p *partition, w *worker, key itemKey, abandoned bool, text []byte) {
	primary := p.primary
	if primary == nil || !primary.serving {
		return // the worker reports it again to the next primary
	}
	j := p.jobs[key.jobID]
	if j == nil || j.ended || !j.hasItem(key.index) {
		delete(w.assigned, key)
		sendResultStored(w, key)
		return
	}
	if j.items[key.index].state == itemDone {
		primary.afterCommit(func(ok bool) {
			if ok {
				delete(w.assigned, key)
				sendResultStored(w, key)
			}
		})
		c.advanceCommit(p)
		return
	}
	if len(text) > maxResultBytes { // from a worker of a version without that bound
		abandoned, text = true, nil
	}
	running := j.items[key.index].worker
	c.addResult(p, j, key.index, abandoned, text, func(ok bool) {
		delete(w.assigned, key)
		if !ok {
			return
		}
		sendResultStored(w, key)
		if running != w {
			c.endOtherRun(running, key)
		}
	})
}

// addResult orders the result of an item, which decides its position among the results of the job.
func (c *core) addResult(p *partition, j *job, index int, abandoned bool, text []byte, done func(ok bool)) {
	it := &j.items[index]
	if it.worker != nil {
		delete(it.worker.assigned, itemKey{p.index, j.id, index})
		it.worker = nil
	}
	tokens := it.tokens
	c.replicate(p, encodeAddResult(j.id, index, abandoned, text), func(ok bool) {
		if ok {
			j.readableResults++
			resultsCommitted.Inc()
			checkReadable(j)
			if !j.endCommitted {
				c.addUsage(p, j.account, -tokens)
			}
			c.resumeReads(p, j)
		}
		done(ok)
	})
}

// connectionClosed is called when a connection that another process opened to this store has
// closed.
func (c *core) connectionClosed(pipe Pipe) {
	w := c.workers[pipe]
	if w == nil {
		return
	}
	delete(c.workers, pipe)
	c.attachedWorkers = slices.DeleteFunc(c.attachedWorkers, func(attached *worker) bool { return attached == w })
	if len(w.assigned) > 0 {
		// Its process may still run: then it reconnects and reports its items.
		c.disconnectedWorkers[w] = c.nowMs + reconnectWaitMs
	}
	// Ends of jobs keep waiting for this worker: it has not confirmed any cancellation, but starts
	// no items while it is disconnected.
	c.dispatchItems()
}

// unassignFromLostWorkers makes the items of workers that have not reconnected in time wait again.
func (c *core) unassignFromLostWorkers() {
	for w, until := range c.disconnectedWorkers {
		if c.nowMs < until && len(w.assigned) > 0 {
			continue
		}
		delete(c.disconnectedWorkers, w)
		for key := range w.assigned {
			c.unassignItem(w, key)
		}
	}
}
