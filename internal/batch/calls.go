package batch

import "dunetide/internal/platform/link"

// replyCode replies with a code and nothing else.
func replyCode(caller Caller, code uint8) { caller.Reply([]byte{code}) }

// handleCall handles a call that a proxy forwards for a client. The call is refused if this store
// is not the serving primary of the job's partition.
func (c *core) handleCall(caller Caller, kind link.Kind, body []byte) {
	r := link.Reader{Buf: body}
	jobID := r.String() // an encoded job begins with its ID too
	index := c.table.PartitionOf(jobID)
	if r.Err != nil || index < 0 {
		replyCode(caller, codeUnavailable)
		return
	}
	p := c.partition(index)
	if p.primary == nil || !p.primary.serving {
		replyCode(caller, codeUnavailable)
		return
	}
	switch kind {
	case kindAcceptJob:
		c.acceptJob(p, jobID, body, caller)
	case kindReadResults:
		startAfter, waitMs, by := r.Int(), int64(r.Int()), readPrincipal(&r)
		if r.Err != nil || startAfter < 0 {
			replyCode(caller, codeUnavailable)
			return
		}
		c.readJob(p, pendingRead{
			caller:     caller,
			jobID:      jobID,
			by:         by,
			startAfter: startAfter,
			deadline:   c.nowMs + waitMs,
			confirmBy:  c.nowMs + waitMs + confirmationWaitMs,
		})
	case kindReadItemBody:
		itemID, by := r.String(), readPrincipal(&r)
		if r.Err != nil { // an empty item ID would be answered with codeNotFound
			replyCode(caller, codeUnavailable)
			return
		}
		c.readJob(p, pendingRead{
			caller:    caller,
			jobID:     jobID,
			by:        by,
			itemID:    itemID,
			readsBody: true,
			confirmBy: c.nowMs + confirmationWaitMs,
		})
	case kindEndJob:
		by := readPrincipal(&r)
		if r.Err != nil { // it may name another tenant
			replyCode(caller, codeUnavailable)
			return
		}
		c.endJob(p, jobID, by, caller)
	default:
		replyCode(caller, codeUnavailable)
	}
}

// acceptJob accepts a submitted job, once. A repeated call shares the outcome of the first one
// while that is in flight.
func (c *core) acceptJob(p *partition, jobID string, encoded []byte, caller Caller) {
	primary := p.primary
	j, err := decodeJob(encoded, 0)
	if err != nil {
		replyCode(caller, codeUnavailable)
		return
	}
	if known := p.jobs[jobID]; known != nil {
		c.acceptKnownJob(p, known, j.submitter, caller)
		return
	}
	if incoming := primary.incomingJobs[jobID]; incoming != nil {
		if !j.submitter.mayUse(incoming.tenant) {
			replyCode(caller, codeUnavailable) // the outcome of the other tenant's submission is not known yet
			return
		}
		incoming.callers = append(incoming.callers, caller)
		return
	}
	if c.stopping {
		replyCode(caller, codeUnavailable)
		return
	}
	if !c.hasCapacity(len(encoded)) || primary.anyReplicaFull() {
		replyCode(caller, codeLogFull)
		return
	}
	quota := c.quotaInForce(j)
	incoming := &incomingJob{
		encoded:   encoded,
		id:        jobID,
		tenant:    j.submitter.Tenant,
		account:   j.account,
		tokens:    j.openTokens(),
		maxTokens: quota,
		callers:   []Caller{caller},
	}
	if quota <= 0 {
		c.replicateAccept(p, incoming)
		return
	}
	if incoming.tokens > quota {
		replyCode(caller, codeQuotaFull)
		return
	}
	primary.incomingJobs[jobID] = incoming
	c.reserveTokens(p, incoming)
}

// acceptKnownJob answers the submission of a job whose ID is that of a known job. No confirmation is needed, as a later
// primary can't know otherwise: a committed job keeps its ID.
func (c *core) acceptKnownJob(p *partition, known *job, by Principal, caller Caller) {
	switch {
	case known.committed && by.mayUse(known.submitter.Tenant):
		replyCode(caller, codeOK)
	case known.committed:
		replyCode(caller, codeOtherTenant)
	case by.mayUse(known.submitter.Tenant):
		p.primary.afterCommit(func(ok bool) { replyAccepted(caller, ok) })
	default:
		replyCode(caller, codeUnavailable) // the outcome of the other tenant's submission is not known yet
	}
}

// replicateAccept orders a job whose tokens are granted. From here on the job may be stored, even
// if this store fails, so it can't be refused any more.
func (c *core) replicateAccept(p *partition, incoming *incomingJob) {
	c.addUsage(p, incoming.account, incoming.tokens)
	callers := incoming.callers
	c.replicate(p, encodeAcceptJob(incoming.encoded), func(ok bool) {
		if ok {
			if j := p.jobs[incoming.id]; j != nil {
				j.committed = true
				c.enqueueJob(j)
			}
		}
		for _, caller := range callers {
			replyAccepted(caller, ok)
		}
	})
}

// replyAccepted answers the submission of a job that was ordered: it is committed, or its outcome
// is unknown.
func replyAccepted(caller Caller, committed bool) {
	if committed {
		replyCode(caller, codeOK)
	} else {
		replyCode(caller, codeUnknown)
	}
}
