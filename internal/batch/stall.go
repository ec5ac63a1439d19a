package batch

import "time"

// A disk may answer nothing for seconds. A store with such a disk can neither order nor acknowledge anything, so its
// partitions would stand still. It therefore gives up its primaries, as a store does that is about to stop: it has the
// keepers mark it in the table, other replicas take over under a newer term, and what it sends under the older one is
// refused. It stays a replica, which is not waited for, and may lead again once its disk has answered for a while.

const (
	// defaultStallBound is how long an operation of the disk may take before the store gives up its primaries, unless
	// StoreOptions.StallBound says otherwise. It is a hundred times what a sync of the slowest known disk takes.
	defaultStallBound = 500 * time.Millisecond
	// stallRepeat is how often a stall that goes on is announced.
	stallRepeat = 250 * time.Millisecond
	// stallRecoveryMs is how long the disk has to have answered before the store leads again, in ms: moving a primary
	// costs its partition a few hundred ms, so a disk that stalls again and again must not have it moved each time.
	stallRecoveryMs = 3000
)

// watchDisk has an operation that takes too long reported as a stall.
func (s *Store) watchDisk(o *diskOperation) {
	o.bound = s.stallBound
	o.overdue = time.AfterFunc(time.Hour, func() { s.operationOverdue(o) })
	o.overdue.Stop()
}

// operationOverdue reports a stall while an operation is under way that has taken too long. It runs in a goroutine of
// its own, as the store's may be waiting for the disk.
func (s *Store) operationOverdue(o *diskOperation) {
	if o.elapsed(time.Since(s.start)) < s.stallBound || s.isClosed() {
		return
	}
	s.announceStopping(true)
	s.enqueue(s.core.noteStall)
	o.overdue.Reset(stallRepeat)
}

// isClosed reports whether the store has ended.
func (s *Store) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// noteStall is the event that an operation of the disk takes too long.
func (c *core) noteStall() {
	c.stalledAtMs = c.nowMs
	if c.stalled {
		return
	}
	c.stalled = true
	diskStalls.Inc()
	c.log("the disk does not answer: others are to lead the %d parts that this store leads", c.primaryCount())
	c.announceDraining()
}

// endStall ends a stall after which the disk has answered for a while.
func (c *core) endStall() {
	if !c.stalled || c.nowMs-c.stalledAtMs < stallRecoveryMs {
		return
	}
	c.stalled = false
	c.log("the disk answers again")
	c.announceDraining()
}

// mustNotLead reports whether other replicas are to be the primaries: this store is about to stop, or its disk does not
// answer.
func (c *core) mustNotLead() bool { return c.stopping || c.stalled }
