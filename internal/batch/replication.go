package batch

import (
	"cmp"
	"slices"

	"dunetide/internal/platform/link"
)

// The primary of a partition orders operations and sends them to its replicas. An operation is
// committed once it is durable on enough of them.

// handleStoreMessage handles a message from another store.
func (c *core) handleStoreMessage(pipe Pipe, kind link.Kind, body []byte) {
	r := link.Reader{Buf: body}
	switch kind {
	case kindReserveTokens, kindReservationReply, kindUsageReport, kindUsageRequest:
		c.handleQuotaMessage(pipe, kind, &r)
		return
	}
	p := c.partition(int(r.U32()))
	term := r.U64()
	if r.Err != nil || p == nil {
		return
	}
	switch kind {
	case kindPrepare:
		if session := r.U64(); r.Err == nil {
			c.handlePrepare(p, term, session, pipe)
		}
	case kindFetchJob:
		if jobID := r.String(); r.Err == nil {
			c.handleFetchJob(p, term, jobID, pipe)
		}
	case kindFetchJobPart:
		jobID := r.String()
		at := partPosition{started: r.Bool(), results: int(r.U32())}
		if r.Err == nil {
			c.handleFetchJobPart(p, term, jobID, at, pipe)
		}
	case kindInstallJob, kindStartTerm, kindOperation, kindLeadState, kindInstallJobPart:
		session := r.U64()
		if r.Err != nil || c.rejectStaleTerm(p, term, pipe) {
			return
		}
		if term != p.promisedTerm || session != p.session || pipe != p.followedPrimary {
			return
		}
		c.followPrimary(p, term, kind, &r, pipe)
	case kindConfirm:
		if stamp := r.U64(); r.Err == nil {
			c.handleConfirm(p, term, stamp, pipe)
		}
	case kindStaleTerm:
		if primary := p.primary; primary != nil && primary.term < term {
			// The table with the newer epoch has not arrived yet. Until it does, this primary is
			// not confirmed, so nothing is read from it. What it has ordered is still committed if
			// enough replicas have it: the successor takes it over then.
			primary.confirmedAt, primary.superseded = never, true
		}
	default:
		if p.primary != nil && p.primary.term == term {
			c.handleReplicaMessage(p, kind, &r, pipe)
		}
	}
}

// handleReplicaMessage handles a message from a replica to its primary.
func (c *core) handleReplicaMessage(p *partition, kind link.Kind, r *link.Reader, pipe Pipe) {
	primary := p.primary
	switch kind {
	case kindPromise:
		c.handlePromise(p, r)
	case kindLeadReport:
		c.handleLeadReport(p, r)
	case kindLeadStateHeld:
		c.handleLeadStateHeld(p, r)
	case kindJobContents:
		c.handleJobContents(p, r)
	case kindJobPart:
		c.handleJobPart(p, r, pipe)
	case kindAcceptsParts:
		if replica := primary.progressOfSession(r.U64()); replica != nil && r.Err == nil {
			replica.acceptsParts = true
		}
	case kindJobInstalled:
		if replica := primary.progressOfSession(r.U64()); replica != nil && r.Err == nil {
			replica.transferAcknowledged()
			c.continueCatchUp(p, replica)
		}
	case kindOperationAck:
		sequence, logFull := int64(r.U64()), r.Bool()
		if r.Err != nil {
			return
		}
		for _, replica := range primary.progress {
			if replica.pipe == pipe && replica.upToDate {
				replica.acknowledged, replica.logFull = max(replica.acknowledged, sequence), logFull
			}
		}
		c.advanceCommit(p)
	case kindConfirmed:
		stamp, logFull := int64(r.U64()), r.Bool()
		if r.Err != nil {
			return
		}
		for _, replica := range primary.progress {
			if replica.pipe == pipe {
				replica.confirmedAt, replica.logFull = max(replica.confirmedAt, stamp), logFull
			}
		}
		c.countConfirmations(p)
	}
}

// followPrimary applies a message from the primary that this replica has promised to follow.
func (c *core) followPrimary(p *partition, term uint64, kind link.Kind, r *link.Reader, pipe Pipe) {
	switch kind {
	case kindInstallJob:
		if err := validateJobWithResults(r.Buf); err != nil {
			c.log("partition %d: job from the primary can't be decoded: %v", p.index, err)
			return
		}
		c.appendRecord(append(encodeRecord(recordJob, p.index), r.Buf...))
		c.acknowledgeTransfer(p, term, pipe)
	case kindInstallJobPart:
		if _, ok := c.acceptJobPart(p, r.Buf); ok {
			c.acknowledgeTransfer(p, term, pipe)
		}
	case kindStartTerm:
		sequence := r.U64()
		if r.Err != nil {
			return
		}
		c.appendRecord(encodeRecord(recordTermStart, p.index, term, sequence))
		c.acknowledgeAfterSync(p, term, sequence, pipe)
	case kindOperation:
		sequence := r.U64()
		if r.Err != nil {
			return
		}
		if sequence > 0 && (p.position.term != term || p.position.sequence+1 != sequence) {
			c.log("partition %d: operation %d received out of order, after %d", p.index, sequence, p.position.sequence)
			return
		}
		if err := validateOperation(r.Buf); err != nil {
			c.log("partition %d: operation %d can't be decoded: %v", p.index, sequence, err)
			return
		}
		c.appendRecord(append(encodeRecord(recordOperation, p.index, term, sequence), r.Buf...))
		if sequence > 0 {
			c.acknowledgeAfterSync(p, term, sequence, pipe)
		}
	case kindLeadState:
		c.holdLeadState(p, term, r, pipe)
	}
}

// acknowledgeTransfer acknowledges a message with a job or a part of one.
func (c *core) acknowledgeTransfer(p *partition, term uint64, pipe Pipe) {
	w := encodeTermMessage(0, p.index, term, p.session)
	c.send(pipe, kindJobInstalled, w.Buf)
}

// acknowledgeAfterSync acknowledges operations to the primary once they are durable here.
func (c *core) acknowledgeAfterSync(p *partition, term, sequence uint64, pipe Pipe) {
	acknowledge := func() {
		w := encodeTermMessage(1, p.index, term, sequence)
		w.Bool(c.logFull)
		c.send(pipe, kindOperationAck, w.Buf)
	}
	c.afterSync(acknowledge)
}

// sendOperation sends a replica an operation. The sequence number is 0 for an operation that is
// sent before the start of the term and included in it.
func (c *core) sendOperation(p *partition, replica *replicaProgress, sequence uint64, operation []byte) {
	w := encodeTermMessage(len(operation), p.index, p.primary.term, replica.session, sequence)
	w.Buf = append(w.Buf, operation...)
	c.send(replica.pipe, kindOperation, w.Buf)
}

// replicate orders an operation: it assigns the next sequence number, appends the operation to the
// log and sends it to the replicas. Done is called with true once it is committed, or with false
// when this store no longer leads and the outcome is unknown.
func (c *core) replicate(p *partition, operation []byte, done func(ok bool)) {
	primary := p.primary
	primary.lastSequence++
	sequence := primary.lastSequence
	c.appendRecord(append(encodeRecord(recordOperation, p.index, primary.term, sequence), operation...))
	jobID := jobOfOperation(operation)
	for _, id := range primary.allReplicas() {
		replica := primary.progress[id]
		if replica == nil || replica.outdatedJobs == nil {
			continue
		}
		if replica.upToDate {
			c.sendOperation(p, replica, sequence, operation)
		} else if !replica.outdatedJobs[jobID] {
			c.sendOperation(p, replica, 0, operation)
		}
	}
	primary.afterCommit(done)
	c.noteSelfSynced(p, sequence)
}

// afterCommit calls done with true once all operations ordered so far are committed, or with false
// when this store no longer leads.
func (s *primaryState) afterCommit(done func(ok bool)) {
	s.pendingCommits = append(s.pendingCommits, pendingCommit{int64(s.lastSequence), done})
}

// replicatedUpTo returns the operation up to which all are durable at f+1 replicas of a group; -1
// if too few have any.
func (c *core) replicatedUpTo(primary *primaryState, group []uint64) int64 {
	var durable []int64
	for _, id := range group {
		if id == c.self {
			durable = append(durable, primary.selfSynced)
		} else if replica := primary.progress[id]; replica != nil && replica.upToDate {
			durable = append(durable, replica.acknowledged)
		}
	}
	need := c.maxLostReplicas + 1
	if len(durable) < need {
		return -1
	}
	slices.SortFunc(durable, func(a, b int64) int { return cmp.Compare(b, a) })
	return durable[need-1]
}

// advanceCommit commits the operations that are durable at enough replicas, and calls the callbacks
// that wait for them.
func (c *core) advanceCommit(p *partition) {
	primary := p.primary
	if primary == nil || primary.stage != stageReplicating {
		return
	}
	replicated := c.replicatedUpTo(primary, primary.replicas)
	if primary.nextReplicas != nil {
		replicated = c.includeNextGroup(p, replicated)
	}
	if replicated < primary.startSequence || primary.selfSynced < 0 {
		return
	}
	if replicated > primary.committed {
		primary.committed = replicated
		commits.Inc()
		c.checkCommit(p, primary.replicas)
		if primary.nextGroupReady {
			c.checkCommit(p, primary.nextReplicas)
		}
	}
	for len(primary.pendingCommits) > 0 && primary.pendingCommits[0].sequence <= primary.committed {
		done := primary.pendingCommits[0].done
		primary.pendingCommits = primary.pendingCommits[1:]
		done(true)
		if p.primary != primary {
			return
		}
	}
	if !primary.serving {
		c.startServing(p)
	}
}

// includeNextGroup reports that the next group is ready once it has everything committed. From then
// on operations are committed by both groups (joint consensus), so it returns the lower of the two
// groups' operations.
func (c *core) includeNextGroup(p *partition, replicated int64) int64 {
	primary := p.primary
	next := c.replicatedUpTo(primary, primary.nextReplicas)
	// If so many replicas are lost that nothing more can be committed, the next group can still
	// become ready: then nothing has been committed in this term, and the state that was taken over
	// includes what was committed before.
	if !primary.nextGroupReady && c.joinersUpToDate(primary) && next >= max(primary.committed, primary.startSequence) {
		primary.nextGroupReady = true
	}
	if !primary.nextGroupReady {
		return replicated
	}
	if !primary.nextGroupReported {
		primary.nextGroupReported = true
		c.reportReady(p.index, p.epoch)
	}
	return min(replicated, next)
}

// joinersUpToDate reports whether each replica that is to join the group has everything committed.
func (c *core) joinersUpToDate(primary *primaryState) bool {
	for _, id := range primary.nextReplicas {
		if id == c.self || slices.Contains(primary.replicas, id) {
			continue
		}
		replica := primary.progress[id]
		if replica == nil || !replica.upToDate || replica.acknowledged < max(primary.committed, primary.startSequence) {
			return false
		}
	}
	return true
}
