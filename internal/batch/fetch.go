package batch

import "dunetide/internal/platform/link"

// A new primary fetches the jobs in which its state differs from that of the most complete replica.

// fetchState drops the jobs that the most complete replica does not have, and fetches those that
// differ.
func (c *core) fetchState(p *partition, replica *replicaProgress) {
	primary := p.primary
	primary.stage = stageFetching
	primary.requestedJobs = map[string]bool{}
	c.discardAllStaged(p)
	for _, id := range sortedKeys(p.jobs) {
		if _, ok := replica.digests[id]; !ok {
			drop := encodeJobOperation(opDropJob, id)
			c.appendRecord(append(encodeRecord(recordOperation, p.index, primary.term, 0), drop...))
		}
	}
	for id, digest := range replica.digests {
		if j := p.jobs[id]; j == nil || j.digest() != digest {
			primary.awaitedJobs[id] = true
		}
	}
	c.continueFetching(p)
}

// continueFetching requests the next awaited jobs, a few at a time, and adopts the state once all
// have arrived.
func (c *core) continueFetching(p *partition) {
	primary := p.primary
	source := primary.progress[primary.stateSource]
	if len(primary.awaitedJobs) == 0 {
		c.adoptState(p, source.position.sequence)
		return
	}
	for _, id := range sortedKeys(primary.awaitedJobs) {
		if len(primary.requestedJobs) >= c.transfers.messages {
			return
		}
		if !primary.requestedJobs[id] {
			primary.requestedJobs[id] = true
			c.requestJob(p, source, id, partPosition{})
		}
	}
}

// requestJob requests a job, or the part of it that begins at a position.
func (c *core) requestJob(p *partition, source *replicaProgress, id string, at partPosition) {
	w := encodeTermMessage(9+len(id), p.index, p.primary.term)
	w.String(id)
	if !source.acceptsParts {
		c.send(source.pipe, kindFetchJob, w.Buf)
		return
	}
	w.Bool(at.started)
	w.U32(uint32(at.results))
	c.send(source.pipe, kindFetchJobPart, w.Buf)
}

// handleFetchJob sends a job with its results to the new primary that this replica follows.
func (c *core) handleFetchJob(p *partition, term uint64, jobID string, pipe Pipe) {
	if term != p.promisedTerm {
		c.rejectStaleTerm(p, term, pipe)
		return
	}
	c.sendJobContents(p, jobID, pipe)
}

// handleFetchJobPart sends a part of a job to the new primary that this replica follows, or the
// whole job if it is small.
func (c *core) handleFetchJobPart(p *partition, term uint64, jobID string, at partPosition, pipe Pipe) {
	if term != p.promisedTerm {
		c.rejectStaleTerm(p, term, pipe)
		return
	}
	j := p.jobs[jobID]
	if j == nil || !at.started && c.fitsWhole(j) {
		c.sendJobContents(p, jobID, pipe)
		return
	}
	if at.results > len(j.results) {
		return // not a position of this job
	}
	encoded, _, _, err := c.encodeJobPart(j, at, true)
	if err != nil {
		c.log("reading job %s from the log: %v", jobID, err)
		return
	}
	w := encodeTermMessage(len(encoded), p.index, term)
	w.Buf = append(w.Buf, encoded...)
	c.send(pipe, kindJobPart, w.Buf)
}

// sendJobContents sends a job with its results to a new primary.
func (c *core) sendJobContents(p *partition, jobID string, pipe Pipe) {
	var encoded []byte
	j := p.jobs[jobID]
	if j != nil {
		var err error
		if encoded, err = c.encodeJobWithResults(j); err != nil {
			c.log("reading job %s from the log: %v", jobID, err)
			return
		}
	}
	w := encodeTermMessage(5+len(jobID)+len(encoded), p.index, p.promisedTerm)
	w.String(jobID)
	w.Bool(j != nil)
	w.Buf = append(w.Buf, encoded...)
	c.send(pipe, kindJobContents, w.Buf)
}

// handleJobContents handles a job from the most complete replica.
func (c *core) handleJobContents(p *partition, r *link.Reader) {
	primary := p.primary
	jobID, found := r.String(), r.Bool()
	if primary.stage != stageFetching || !primary.awaitedJobs[jobID] || r.Err != nil {
		return
	}
	if !found { // can't happen: it reported the job, and doesn't drop it while it follows this term
		return
	}
	if err := validateJobWithResults(r.Buf); err != nil {
		c.log("partition %d: job %s from a replica can't be decoded: %v", p.index, jobID, err)
		return
	}
	c.appendRecord(append(encodeRecord(recordJob, p.index), r.Buf...))
	c.jobFetched(p, jobID)
}

// handleJobPart handles a part of a job from the most complete replica, and requests the next one.
// It ignores parts of other connections, as parts of two replicas must not be mixed.
func (c *core) handleJobPart(p *partition, r *link.Reader, pipe Pipe) {
	primary := p.primary
	id := link.Reader{Buf: r.Buf}
	jobID := id.String()
	if primary.stage != stageFetching || !primary.awaitedJobs[jobID] || id.Err != nil {
		return
	}
	source := primary.progress[primary.stateSource]
	if source.pipe != pipe {
		return
	}
	part, ok := c.acceptJobPart(p, r.Buf)
	if !ok {
		return // the answer to a request that was repeated
	}
	if part.last {
		c.jobFetched(p, jobID)
		return
	}
	received := partPosition{started: true, results: part.begins.results + len(part.results)}
	c.requestJob(p, source, jobID, received)
}

// jobFetched is called when an awaited job has arrived.
func (c *core) jobFetched(p *partition, jobID string) {
	delete(p.primary.awaitedJobs, jobID)
	delete(p.primary.requestedJobs, jobID)
	c.continueFetching(p)
}
