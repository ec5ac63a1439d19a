package batch

import "slices"

// pendingEnd is a committed end of a job that waits until the workers have cancelled the job's
// items.
type pendingEnd struct {
	partition      *partition
	jobID          string
	callers        []Caller
	awaitedWorkers map[*worker]bool
	deadline       int64 // after which the end is acknowledged in any case
}

func (e *pendingEnd) reply(code uint8) {
	for _, caller := range e.callers {
		replyCode(caller, code)
	}
	e.callers = nil
}

// endJob ends a job: its items are no longer assigned, and workers cancel those that they have
// before the call is answered.
func (c *core) endJob(p *partition, jobID string, by Principal, caller Caller) {
	j := p.jobs[jobID]
	if j == nil || !j.committed || !by.mayUse(j.submitter.Tenant) {
		// There is no such job for the caller, which may be answered once this primary is confirmed.
		c.readJob(p, pendingRead{caller: caller, jobID: jobID, by: by, endsJob: true, confirmBy: c.nowMs + confirmationWaitMs})
		return
	}
	end := &pendingEnd{partition: p, jobID: jobID, callers: []Caller{caller}, awaitedWorkers: map[*worker]bool{}}
	if j.endCommitted {
		c.cancelOnWorkers(end)
		return
	}
	done := func(ok bool) {
		if !ok {
			replyCode(caller, codeUnavailable)
			return
		}
		c.cancelOnWorkers(end)
	}
	if j.ended { // ordered, but not committed yet
		p.primary.afterCommit(done)
		return
	}
	c.replicate(p, encodeJobOperation(opEndJob, jobID), func(ok bool) {
		if ok {
			j.endCommitted = true
			c.addUsage(p, j.account, -j.openTokens())
			c.resumeReads(p, j)
		}
		done(ok)
	})
}

// cancelOnWorkers makes the workers cancel a job's items, and acknowledges its end once they have.
func (c *core) cancelOnWorkers(end *pendingEnd) {
	for _, w := range c.attachedWorkers {
		if w.runsJob(end.partition.index, end.jobID) {
			end.awaitedWorkers[w] = true
		}
		sendCancel(w, end.partition.index, end.jobID)
	}
	if len(end.awaitedWorkers) == 0 {
		end.reply(codeOK)
		return
	}
	end.deadline = c.nowMs + cancelWaitMs
	c.pendingEnds = append(c.pendingEnds, end)
}

// jobCancelled records that a worker will not start any of a job's items.
func (c *core) jobCancelled(p *partition, w *worker, jobID string) {
	for key := range w.assigned {
		if key.partition == p.index && key.jobID == jobID {
			c.unassignItem(w, key)
		}
	}
	c.pendingEnds = slices.DeleteFunc(c.pendingEnds, func(end *pendingEnd) bool {
		if end.partition != p || end.jobID != jobID {
			return false
		}
		delete(end.awaitedWorkers, w)
		if len(end.awaitedWorkers) > 0 {
			return false
		}
		end.reply(codeOK)
		return true
	})
}

// finishOverdueEnds acknowledges the ends whose wait has timed out: a disconnected worker does not
// start items.
func (c *core) finishOverdueEnds() {
	c.pendingEnds = slices.DeleteFunc(c.pendingEnds, func(end *pendingEnd) bool {
		if c.nowMs < end.deadline {
			return false
		}
		end.reply(codeOK)
		return true
	})
}

// rejectPendingEnds rejects the pending ends of jobs of a partition that this store no longer
// leads.
func (c *core) rejectPendingEnds(p *partition) {
	c.pendingEnds = slices.DeleteFunc(c.pendingEnds, func(end *pendingEnd) bool {
		if end.partition != p {
			return false
		}
		end.reply(codeUnavailable)
		return true
	})
}
