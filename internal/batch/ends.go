package batch

import "slices"

// pendingEnd is the end of a job, which is committed, that waits until the workers have cancelled
// what they run of it.
type pendingEnd struct {
	partition      *partition
	jobID          string
	callers        []Caller
	awaitedWorkers map[*worker]bool
	deadline       int64 // after which the end is acknowledged all the same
}

func (e *pendingEnd) reply(code uint8) {
	for _, caller := range e.callers {
		replyCode(caller, code)
	}
	e.callers = nil
}

// endJob ends a job: none of its items is assigned any more, and workers cancel those that they
// have before the call is answered.
func (c *core) endJob(p *partition, jobID string, caller Caller) {
	j := p.jobs[jobID]
	if j == nil || !j.committed {
		// It is not there, which may be said once that is confirmed.
		c.readJob(p, pendingRead{caller: caller, jobID: jobID, endsJob: true, confirmBy: c.nowMs + confirmationWaitMs})
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
	if j.ended { // ordered, and not committed yet
		p.primary.afterCommit(done)
		return
	}
	c.replicate(p, encodeJobOperation(opEndJob, jobID), func(ok bool) {
		if ok {
			j.endCommitted = true
			c.addUsage(p, j.route, -j.openTokens())
			c.resumeReads(p, j)
		}
		done(ok)
	})
}

// cancelOnWorkers has the workers cancel what they run of a job, and acknowledges its end once they have.
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

// jobCancelled notes that a worker starts none of a job's items any more.
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

// finishOverdueEnds acknowledges the ends that have waited long enough: a worker that is out of
// touch starts nothing by itself.
func (c *core) finishOverdueEnds() {
	c.pendingEnds = slices.DeleteFunc(c.pendingEnds, func(end *pendingEnd) bool {
		if c.nowMs < end.deadline {
			return false
		}
		end.reply(codeOK)
		return true
	})
}

// rejectPendingEnds answers the ends of jobs of a partition that this store does not lead any more.
func (c *core) rejectPendingEnds(p *partition) {
	c.pendingEnds = slices.DeleteFunc(c.pendingEnds, func(end *pendingEnd) bool {
		if end.partition != p {
			return false
		}
		end.reply(codeUnavailable)
		return true
	})
}
