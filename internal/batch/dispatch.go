package batch

import (
	"cmp"
	"slices"
)

// Dispatch assigns items to workers: the items of the job with the earliest due time first, each to
// the worker with the most free slots, with workers in the store's own zone preferred.

// enqueueJob adds a job to the dispatch queue, unless all its items have results.
func (c *core) enqueueJob(j *job) {
	if j.ended || j.queued {
		return
	}
	j.waitingItems, j.firstWaiting = 0, 0
	for i := range j.items {
		if j.items[i].state == itemWaiting {
			j.waitingItems++
		}
	}
	if j.isComplete() {
		return
	}
	j.queued = true
	at, _ := slices.BinarySearchFunc(c.dispatchQueue, j, compareDue)
	c.dispatchQueue = slices.Insert(c.dispatchQueue, at, j)
}

// dueAt returns when the results of a job are due, on the monotonic clock of this store.
func (j *job) dueAt() int64 { return j.knownSinceMs + j.dueMs }

// dueTimeOfDay returns when the results of a job are due by the clock of the proxy that accepted
// it, in ms since 1970.
func (j *job) dueTimeOfDay() int64 { return j.sentMs + j.dueMs }

// compareDue orders jobs by due time. The time of day only breaks ties among jobs that this process
// learned about at the same moment, such as those replayed from the log at startup.
func compareDue(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.dueAt(), b.dueAt()),
		cmp.Compare(a.dueTimeOfDay(), b.dueTimeOfDay()),
		cmp.Compare(a.id, b.id),
	)
}

// dispatchItems assigns items until no worker has a free slot.
func (c *core) dispatchItems() {
	if len(c.dispatchQueue) == 0 || len(c.attachedWorkers) == 0 {
		return
	}
	c.dispatchQueue = slices.DeleteFunc(c.dispatchQueue, func(j *job) bool {
		if j.dropped || j.ended || !j.queued || j.isComplete() {
			j.queued = false
			return true
		}
		return false
	})
	for _, j := range c.dispatchQueue {
		if j.waitingItems == 0 {
			continue
		}
		p := c.partition(c.table.PartitionOf(j.id))
		if !c.mayDispatch(p) {
			continue
		}
		if !c.dispatchJob(p, j) {
			return
		}
	}
}

// mayDispatch reports whether items of a partition may be assigned: this store is its primary, and
// is confirmed.
func (c *core) mayDispatch(p *partition) bool {
	primary := p.primary
	if primary == nil || !primary.serving || c.nowMs < primary.dispatchFrom {
		return false
	}
	if !c.isConfirmed(primary) && primary.confirmationRequestedAt+dispatchConfirmMs < c.nowMs {
		c.requestConfirmations(p)
	}
	return c.isConfirmed(primary)
}

// dispatchJob assigns the waiting items of a job. It returns false if no worker has a free slot.
func (c *core) dispatchJob(p *partition, j *job) bool {
	for index := j.firstWaiting; index < len(j.items); index++ {
		if j.items[index].state != itemWaiting {
			if index == j.firstWaiting {
				j.firstWaiting++
			}
			continue
		}
		w := c.pickWorker()
		if w == nil {
			return false
		}
		c.assignItem(p, j, index, w)
	}
	return true
}

// pickWorker returns the worker that gets the next item; nil if none has a free slot.
func (c *core) pickWorker() (best *worker) {
	for _, w := range c.attachedWorkers {
		if w.freeSlots() <= 0 {
			continue
		}
		switch {
		case best == nil:
			best = w
		case (w.zone == c.zone) != (best.zone == c.zone):
			if w.zone == c.zone {
				best = w
			}
		case w.freeSlots() > best.freeSlots():
			best = w
		}
	}
	return best
}

// assignItem assigns an item to a worker and sends it. An item that can't be read from the log
// remains waiting.
func (c *core) assignItem(p *partition, j *job, index int, w *worker) {
	it := &j.items[index]
	request, err := c.itemRequest(j, index)
	if err != nil {
		c.log("reading an item of job %s from the log: %v", j.id, err)
		return
	}
	c.markAssigned(p, j, index, w)
	message := assignMessage{
		item:        itemKey{p.index, j.id, index},
		epoch:       p.epoch,
		dueMs:       j.dueTimeOfDay(),
		maxAttempts: j.maxAttempts,
		route:       j.route,
		host:        j.host,
		itemID:      it.id,
		tokens:      it.tokens,
		request:     request,
		remainingMs: j.dueAt() - c.nowMs,
		pathPrefix:  j.pathPrefix,
	}
	c.send(w.pipe, kindAssignItem, message.encode())
}

// markAssigned records that a worker has an item.
func (c *core) markAssigned(p *partition, j *job, index int, w *worker) {
	j.items[index].state, j.items[index].worker = itemAssigned, w
	j.waitingItems--
	key := itemKey{p.index, j.id, index}
	w.assigned[key] = true
	delete(w.dropped, key)
}

// unassignItem makes an item that was assigned to a worker wait again.
func (c *core) unassignItem(w *worker, key itemKey) {
	delete(w.assigned, key)
	j := c.partition(key.partition).jobs[key.jobID]
	if j == nil || !j.hasItem(key.index) {
		return
	}
	if it := &j.items[key.index]; it.state == itemAssigned && it.worker == w {
		it.state, it.worker = itemWaiting, nil
		j.waitingItems++
		j.firstWaiting = min(j.firstWaiting, key.index)
	}
}
