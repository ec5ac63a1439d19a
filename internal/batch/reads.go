package batch

import (
	"slices"

	"dunetide/internal/platform/link"
)

// pendingRead is a call that reads results or the body of an item. It waits for a result, for a
// confirmation that this store is still the primary, or both.
type pendingRead struct {
	caller     Caller
	jobID      string
	by         Principal
	itemID     string // the item whose body is read
	startAfter int    // index of the first result to read
	deadline   int64  // until when it waits for a result
	confirmBy  int64  // until when it waits for a confirmation after that
	readsBody  bool
	endsJob    bool // the call ends a job that is not known here, or belongs to another tenant
}

func rejectReads(reads []pendingRead) {
	for _, read := range reads {
		replyCode(read.caller, codeUnavailable)
	}
}

// readJob answers a read once there is something to read and this store is confirmed as the
// primary.
func (c *core) readJob(p *partition, read pendingRead) {
	j := p.jobs[read.jobID]
	if j != nil && (!j.committed || !read.by.mayUse(j.submitter.Tenant)) {
		j = nil // answered alike, so nobody learns of other tenants' jobs
	}
	if j != nil && read.endsJob {
		c.endJob(p, read.jobID, read.by, read.caller)
		return
	}
	if j != nil && c.awaitsResult(j, &read) {
		j.pendingReads = append(j.pendingReads, read)
		return
	}
	if primary := p.primary; !c.isConfirmed(primary) {
		if c.nowMs >= read.confirmBy {
			replyCode(read.caller, codeUnavailable)
			return
		}
		primary.pendingReads = append(primary.pendingReads, read)
		c.requestConfirmations(p)
		return
	}
	switch {
	case j == nil:
		replyCode(read.caller, codeNotFound)
	case read.readsBody:
		c.replyItemBody(j, read)
	default:
		c.replyResults(j, read)
	}
}

// awaitsResult reports whether a read of results has nothing to read yet and its deadline has not
// passed.
func (c *core) awaitsResult(j *job, read *pendingRead) bool {
	readable := j.readable()
	mayCome := readable < len(j.items) && !j.endCommitted
	return !read.readsBody && read.startAfter >= readable && mayCome && c.nowMs < read.deadline
}

// readable returns how many results of a job may be read: those whose position in the list is
// committed.
func (j *job) readable() int {
	return j.readableResults
}

// replyResults replies with results from an index on, as many as fit.
func (c *core) replyResults(j *job, read pendingRead) {
	const perResult = 100 // approximate overhead in bytes
	end, size := read.startAfter, 0
	for end < j.readable() && (end == read.startAfter || size+j.results[end].length < maxReadBytes) {
		size += j.results[end].length + perResult
		end++
	}
	w := link.Writer{Buf: make([]byte, 0, 512)}
	w.U8(codeOK)
	w.U32(uint32(len(j.items)))
	w.U32(uint32(max(0, end-read.startAfter)))
	for i := read.startAfter; i < end; i++ {
		res := j.results[i]
		text, err := c.resultText(res)
		if err != nil {
			c.log("reading a result of job %s from the log: %v", j.id, err)
			replyCode(read.caller, codeUnavailable)
			return
		}
		w.String(j.items[res.itemIndex].id)
		w.Bool(res.abandoned)
		w.Bytes(text)
	}
	read.caller.Reply(w.Buf)
}

// replyItemBody replies with the body of an item.
func (c *core) replyItemBody(j *job, read pendingRead) {
	for index := range j.items {
		if j.items[index].id != read.itemID {
			continue
		}
		body, err := c.itemBody(j, index)
		if err != nil {
			c.log("reading an item of job %s from the log: %v", j.id, err)
			replyCode(read.caller, codeUnavailable)
			return
		}
		read.caller.Reply(append([]byte{codeOK}, body...))
		return
	}
	replyCode(read.caller, codeNotFound)
}

func (c *core) itemBody(j *job, index int) ([]byte, error) {
	request, err := c.itemRequest(j, index)
	if err != nil {
		return nil, err
	}
	_, _, body, err := decodeRequest(request)
	return body, err
}

// resumeReads retries the reads that wait for a result of a job.
func (c *core) resumeReads(p *partition, j *job) {
	reads := j.pendingReads
	j.pendingReads = nil
	for _, read := range reads {
		c.readJob(p, read)
	}
}

// resumeOverdueReads answers the reads whose wait for a result has timed out.
func (c *core) resumeOverdueReads() {
	for _, p := range c.partitions {
		if p.primary == nil {
			continue
		}
		var overdue []string
		for id, j := range p.jobs {
			if j.hasOverdueRead(c.nowMs) {
				overdue = append(overdue, id)
			}
		}
		slices.Sort(overdue)
		for _, id := range overdue {
			if j := p.jobs[id]; j != nil && p.primary != nil {
				c.resumeReads(p, j)
			}
		}
	}
}

func (j *job) hasOverdueRead(nowMs int64) bool {
	return slices.ContainsFunc(j.pendingReads, func(read pendingRead) bool { return nowMs >= read.deadline })
}

// retryConfirmations rejects the reads whose wait for a confirmation has timed out, and requests
// one for the others.
func (c *core) retryConfirmations() {
	for _, p := range c.partitions {
		primary := p.primary
		if primary == nil {
			continue
		}
		reads := primary.pendingReads
		primary.pendingReads = nil
		for _, read := range reads {
			if c.nowMs >= read.confirmBy {
				replyCode(read.caller, codeUnavailable)
			} else {
				primary.pendingReads = append(primary.pendingReads, read)
			}
		}
		if len(primary.pendingReads) > 0 {
			c.requestConfirmations(p)
		}
	}
}
