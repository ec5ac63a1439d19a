package batch

// A primary brings the replicas of its partition up to date: it sends them the jobs in which their
// state differs from its own, and then the start of its term.

// jobTransfer is a job that is being sent to a replica in parts. Results that are ordered meanwhile
// are in a later part: until the last one is sent, the job counts as outdated.
type jobTransfer struct {
	job  *job
	sent partPosition // the parts before it have been sent
}

// startCatchUp begins to bring a replica that has reported its state up to date with this primary.
func (c *core) startCatchUp(p *partition, replica *replicaProgress) {
	if replica.outdatedJobs != nil {
		return
	}
	replica.outdatedJobs = map[string]bool{}
	for id, j := range p.jobs {
		if digest, ok := replica.digests[id]; !ok || digest != j.digest() {
			replica.outdatedJobs[id] = true
		}
	}
	for _, id := range sortedKeys(replica.digests) {
		if p.jobs[id] == nil {
			c.sendOperation(p, replica, 0, encodeJobOperation(opDropJob, id))
		}
	}
	replica.digests = map[string]uint64{}
	c.continueCatchUp(p, replica)
}

// continueCatchUp sends a replica the next outdated jobs with their results, as many as may be in
// flight, and the start of the term once it has them all.
func (c *core) continueCatchUp(p *partition, replica *replicaProgress) {
	if replica.upToDate || replica.outdatedJobs == nil {
		return
	}
	for len(replica.outdatedJobs) > 0 && c.mayTransfer(replica) {
		if !c.transferNext(p, replica) {
			return
		}
	}
	if len(replica.outdatedJobs) > 0 || len(replica.transfersInFlight) > 0 {
		return
	}
	w := encodeTermMessage(0, p.index, p.primary.term, replica.session, p.primary.lastSequence)
	replica.upToDate = true
	c.send(replica.pipe, kindStartTerm, w.Buf)
}

// mayTransfer reports whether a further message with a job may be sent to a replica.
func (c *core) mayTransfer(replica *replicaProgress) bool {
	bytes := 0
	for _, size := range replica.transfersInFlight {
		bytes += size
	}
	return len(replica.transfersInFlight) < c.transfers.messages && bytes < c.transfers.inFlightBytes
}

// transferNext sends a replica the next part of the job that is being sent in parts, or else the
// next outdated job or its first part. It returns false if nothing can be sent.
func (c *core) transferNext(p *partition, replica *replicaProgress) bool {
	if t := replica.transfer; t != nil {
		if p.jobs[t.job.id] == t.job {
			return c.sendNextPart(p, replica)
		}
		replica.transfer = nil // the job was dropped
	}
	id := sortedKeys(replica.outdatedJobs)[0]
	j := p.jobs[id]
	switch {
	case j == nil:
		delete(replica.outdatedJobs, id)
		c.sendOperation(p, replica, 0, encodeJobOperation(opDropJob, id))
		return true
	case replica.acceptsParts && !c.fitsWhole(j):
		replica.transfer = &jobTransfer{job: j}
		return c.sendNextPart(p, replica)
	}
	return c.sendWholeJob(p, replica, j)
}

// sendWholeJob sends a replica an outdated job with its results.
func (c *core) sendWholeJob(p *partition, replica *replicaProgress, j *job) bool {
	encoded, err := c.encodeJobWithResults(j)
	if err != nil {
		c.failDisk(err)
		return false
	}
	w := encodeTermMessage(len(encoded), p.index, p.primary.term, replica.session)
	w.Buf = append(w.Buf, encoded...)
	if !c.send(replica.pipe, kindInstallJob, w.Buf) {
		return false // it is too long for a replica of a version without parts, which stays outdated
	}
	delete(replica.outdatedJobs, j.id)
	replica.transfersInFlight = append(replica.transfersInFlight, len(w.Buf))
	return true
}

// sendNextPart sends a replica the next part of the job that is being sent in parts.
func (c *core) sendNextPart(p *partition, replica *replicaProgress) bool {
	t := replica.transfer
	encoded, next, last, err := c.encodeJobPart(t.job, t.sent, true)
	if err != nil {
		c.failDisk(err)
		return false
	}
	w := encodeTermMessage(len(encoded), p.index, p.primary.term, replica.session)
	w.Buf = append(w.Buf, encoded...)
	if !c.send(replica.pipe, kindInstallJobPart, w.Buf) {
		return false
	}
	replica.transfersInFlight = append(replica.transfersInFlight, len(w.Buf))
	t.sent = next
	if last {
		delete(replica.outdatedJobs, t.job.id)
		replica.transfer = nil
	}
	return true
}

// transferAcknowledged is called when a replica has acknowledged the oldest message with a job.
func (replica *replicaProgress) transferAcknowledged() {
	if len(replica.transfersInFlight) > 0 {
		replica.transfersInFlight = replica.transfersInFlight[1:]
	}
}
