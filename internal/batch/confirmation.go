package batch

import (
	"cmp"
	"slices"
)

// A primary serves reads only if f replicas have recently confirmed that it has not been replaced
// (as ReadIndex in etcd's raft). Messages of a replaced primary are rejected by their term.

// rejectStaleTerm reports whether a term is too old to be followed. If so, it notifies that term's
// primary.
func (c *core) rejectStaleTerm(p *partition, term uint64, pipe Pipe) bool {
	known := max(p.promisedTerm, firstTerm(p.epoch))
	if term >= known {
		return false
	}
	c.reportStaleTerm(p, term, known, pipe)
	w := encodeTermMessage(0, p.index, known)
	c.send(pipe, kindStaleTerm, w.Buf)
	return true
}

// reportStaleTerm counts a rejected stale term, and logs only the first rejection of each term: a
// replaced primary may send many messages before it learns that it was replaced.
func (c *core) reportStaleTerm(p *partition, term, known uint64, pipe Pipe) {
	staleTermsRejected.Inc()
	if p.rejectedTerm == term {
		return
	}
	p.rejectedTerm = term
	sender := "unknown"
	if connection, ok := pipe.(interface{ Addr() string }); ok {
		sender = connection.Addr()
	}
	c.log("partition %d: rejected stale term %x from %s: term %x is known", p.index, term, sender, known)
}

// handleConfirm confirms to a primary that it has not been replaced as far as this store knows.
func (c *core) handleConfirm(p *partition, term, stamp uint64, pipe Pipe) {
	if c.rejectStaleTerm(p, term, pipe) {
		return
	}
	p.confirmations.note(term, c.nowMs)
	w := encodeTermMessage(1, p.index, term, stamp)
	w.Bool(c.logFull)
	c.send(pipe, kindConfirmed, w.Buf)
}

// requestConfirmations asks the replicas whether this primary has been replaced, at most once per ms.
func (c *core) requestConfirmations(p *partition) {
	primary := p.primary
	if primary.confirmationRequestedAt == c.nowMs && primary.confirmationRequestedAt != 0 {
		return
	}
	primary.confirmationRequestedAt = c.nowMs
	if primary.superseded {
		return
	}
	w := encodeTermMessage(0, p.index, primary.term, uint64(c.nowMs))
	for _, id := range primary.allReplicas() {
		if replica := primary.progress[id]; replica != nil {
			c.send(replica.pipe, kindConfirm, w.Buf)
		}
	}
	c.countConfirmations(p)
}

// countConfirmations computes when this primary was last confirmed, and answers the reads that
// waited for it. A primary that knows that it was replaced is no longer confirmed: a replica's
// confirmation may have been in flight when another replica reported the newer term.
func (c *core) countConfirmations(p *partition) {
	primary := p.primary
	if primary.superseded {
		return
	}
	c.confirmLead(primary)
	stamps := []int64{c.nowMs} // its own
	for _, id := range primary.replicas {
		if replica := primary.progress[id]; replica != nil {
			stamps = append(stamps, replica.confirmedAt)
		}
	}
	if len(stamps) < c.maxLostReplicas+1 {
		return
	}
	slices.SortFunc(stamps, func(a, b int64) int { return cmp.Compare(b, a) })
	primary.confirmedAt = max(primary.confirmedAt, stamps[c.maxLostReplicas])
	if !c.isConfirmed(primary) {
		return
	}
	reads := primary.pendingReads
	primary.pendingReads = nil
	for _, read := range reads {
		c.readJob(p, read)
	}
	if p.primary == primary && primary.serving {
		c.adoptAllRunning(p)
	}
}

// isConfirmed reports whether a primary's newest confirmation is recent enough to rely on.
func (c *core) isConfirmed(primary *primaryState) bool {
	return c.nowMs-primary.confirmedAt <= confirmationMs
}

// superviseWorkers requests confirmations for this primary while workers run items of the
// partition. While it is not confirmed, workers may not start items: they would not be notified
// when a successor acknowledges the end of a job.
func (c *core) superviseWorkers(p *partition) {
	primary := p.primary
	var running []*worker
	for _, w := range c.attachedWorkers {
		if w.runsPartition(p.index) {
			running = append(running, w)
		}
	}
	if len(running) == 0 {
		return
	}
	c.requestConfirmations(p)
	mayStart := c.nowMs-primary.confirmedAt <= workerGraceMs
	if mayStart == !primary.startsPaused {
		return
	}
	primary.startsPaused = !mayStart
	for _, w := range running {
		if mayStart {
			c.send(w.pipe, kindRunningNoted, encodeRunningNoted(p.index, anyEpoch))
		} else {
			c.send(w.pipe, kindPauseStarts, encodeStartsPaused(p.index))
		}
	}
}
