package batch

import "dunetide/internal/platform/link"

// A new primary obtains promises from R-f replicas not to follow older terms, takes over the state
// of the most complete one, and brings the others up to date. See docs/batch.md for why that finds
// everything committed.

// sendPrepare requests a replica's promise and state. Earlier progress of the replica is discarded.
func (c *core) sendPrepare(p *partition, id uint64) {
	pipe := c.peers[id]
	if pipe == nil || id == c.self {
		return
	}
	c.lastSession++
	p.primary.progress[id] = &replicaProgress{
		pipe:         pipe,
		session:      c.lastSession,
		acknowledged: -1,
		confirmedAt:  never,
	}
	w := encodeTermMessage(0, p.index, p.primary.term, c.lastSession)
	c.send(pipe, kindPrepare, w.Buf)
}

// handlePrepare promises to follow a term and reports the state of this store, once the promise is
// durable.
func (c *core) handlePrepare(p *partition, term, session uint64, pipe Pipe) {
	if c.rejectStaleTerm(p, term, pipe) {
		return
	}
	if p.primary != nil {
		c.stepDown(p)
	}
	if term > p.promisedTerm {
		c.appendRecord(encodeRecord(recordPromise, p.index, term))
	}
	p.session, p.followedPrimary = session, pipe
	c.discardAllStaged(p)
	c.afterSync(func() {
		if p.session == session && p.followedPrimary == pipe && p.promisedTerm == term {
			c.send(pipe, kindAcceptsParts, encodeTermMessage(0, p.index, term, session).Buf)
			c.send(pipe, kindLeadReport, c.encodeLeadReport(p))
			c.send(pipe, kindPromise, p.encodePromise())
		}
	})
}

// encodePromise encodes kindPromise to the followed primary: the position, and the digest of each
// job.
func (p *partition) encodePromise() []byte {
	w := encodeTermMessage(4, p.index, p.promisedTerm, p.session, p.position.term, p.position.sequence)
	w.U32(uint32(len(p.jobs)))
	for _, id := range sortedKeys(p.jobs) {
		w.String(id)
		w.U64(p.jobs[id].digest())
	}
	return w.Buf
}

// handlePromise handles a replica's promise to follow this primary.
func (c *core) handlePromise(p *partition, r *link.Reader) {
	primary := p.primary
	session := r.U64()
	position := logPosition{term: r.U64(), sequence: r.U64()}
	replica := primary.progressOfSession(session)
	if replica == nil {
		return
	}
	digests := map[string]uint64{}
	for n := r.Count(12); n > 0; n-- {
		id := r.String()
		digests[id] = r.U64()
	}
	if r.Err != nil {
		return
	}
	replica.digests, replica.position = digests, position
	c.resendLeadState(p, replica)
	switch primary.stage {
	case stageCollecting:
		c.chooseStateSource(p)
	case stageReplicating:
		c.startCatchUp(p, replica)
	}
}

// chooseStateSource chooses the replica with the highest position once enough have promised, and
// fetches the jobs that differ.
func (c *core) chooseStateSource(p *partition) {
	primary := p.primary
	if primary == nil || primary.stage != stageCollecting {
		return
	}
	promised, best, bestPosition := 0, c.self, p.position
	for _, id := range primary.replicas {
		replica := primary.progress[id]
		switch {
		case id == c.self:
			promised++
		case replica != nil && replica.digests != nil:
			promised++
			if replica.position.after(bestPosition) {
				best, bestPosition = id, replica.position
			}
		}
	}
	need := len(primary.replicas) - c.maxLostReplicas
	if promised < max(need, 1) {
		return
	}
	c.learnOfEarlierLeads(p)
	primary.stateSource, primary.awaitedJobs = best, map[string]bool{}
	if best == c.self {
		c.adoptState(p, bestPosition.sequence)
		return
	}
	c.fetchState(p, primary.progress[best])
}

// adoptState starts the term with the current state of this store, and brings the replicas up to
// date.
func (c *core) adoptState(p *partition, sequence uint64) {
	primary := p.primary
	primary.lastSequence = sequence
	c.writeTermStart(p)
	for _, id := range primary.allReplicas() {
		if replica := primary.progress[id]; replica != nil && replica.digests != nil {
			c.startCatchUp(p, replica)
		}
	}
	c.advanceCommit(p)
}

// writeTermStart records that this store has everything up to the newest operation in its term.
func (c *core) writeTermStart(p *partition) {
	primary := p.primary
	primary.stage, primary.startSequence = stageReplicating, int64(primary.lastSequence)
	c.appendRecord(encodeRecord(recordTermStart, p.index, primary.term, primary.lastSequence))
	c.noteSelfSynced(p, primary.lastSequence)
}

// noteSelfSynced counts this store as a replica that has everything up to an operation, once that
// is durable.
func (c *core) noteSelfSynced(p *partition, sequence uint64) {
	primary := p.primary
	term := primary.term
	c.afterSync(func() {
		if p.primary == primary && primary.term == term && int64(sequence) > primary.selfSynced {
			primary.selfSynced = int64(sequence)
			c.advanceCommit(p)
		}
	})
}
