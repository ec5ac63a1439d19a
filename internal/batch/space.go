package batch

// Reclaiming the space of a store's log. Jobs are dropped roughly in the order in which they
// arrived, so after some time little of the oldest segment is live. Its live data is appended to
// the log again, and the segment is removed.

const (
	// segmentsInLog is the number of segments of a log at full capacity.
	segmentsInLog = 24
	// minSegmentBytes is the minimum length of a segment before a new one is begun.
	minSegmentBytes = 1 << 20
	// maxLivePercent is the percentage of the capacity that may be live; above it no job is
	// accepted.
	maxLivePercent = 80
	// reclaimPressurePercent is the percentage of the capacity above which even mostly live
	// segments are reclaimed.
	reclaimPressurePercent = 85
	// resultsPerByte is the expected number of result bytes for each byte of a job.
	resultsPerByte = 3
)

// addLiveBytes counts bytes at an offset of the log as live, or, if negative, as garbage.
func (c *core) addLiveBytes(offset, bytes int64) {
	c.liveBytes += bytes
	c.liveBytesBySegment[segmentOf(offset)] += bytes
}

// addLiveJob counts all bytes of a job as live, or, with sign -1, as garbage.
func (c *core) addLiveJob(j *job, sign int64) {
	c.addLiveBytes(j.offset, sign*int64(j.encodedLength))
	for _, res := range j.results {
		c.addLiveBytes(res.offset, sign*int64(res.length))
	}
}

// hasCapacity reports whether the log has space for a job of the given size with its results, in
// addition to the expected results of the jobs that it has.
func (c *core) hasCapacity(bytes int) bool {
	if c.logCapacity <= 0 {
		return true
	}
	needed := c.liveBytes + int64(bytes)*(1+resultsPerByte)
	for _, p := range c.partitions {
		for _, j := range p.jobs {
			if j.isOpen() {
				items := int64(len(j.items))
				needed += int64(j.encodedLength) * resultsPerByte * (items - int64(len(j.results))) / items
			}
		}
	}
	return needed <= c.logCapacity*maxLivePercent/100
}

// targetSegmentBytes returns the length at which a new segment is begun.
func (c *core) targetSegmentBytes() int64 {
	if c.fixedSegmentBytes > 0 {
		return c.fixedSegmentBytes
	}
	return max(minSegmentBytes, c.logCapacity/segmentsInLog)
}

// reclaimSpace begins a new segment when the newest one is long enough, and removes the oldest one
// if that frees enough space.
func (c *core) reclaimSpace() {
	if c.diskFailed {
		return
	}
	if c.disk.NewestSize() >= c.targetSegmentBytes() {
		if err := c.disk.Rotate(); err != nil {
			c.failDisk(err)
			return
		}
		c.appendRecord(encodeRecord(recordIdentity, 0, c.self)) // so that no older segment is needed for the identity
	}
	if oldest, more := c.disk.Oldest(); more && c.shouldReclaim(oldest) {
		c.reclaimOldest(oldest)
	}
	c.updateLogFull()
}

// shouldReclaim reports whether the oldest segment should be removed: most of it is garbage, or
// most of the log is, or space is running out and there is some garbage.
func (c *core) shouldReclaim(oldest int64) bool {
	size := c.disk.Size()
	garbage := size - c.liveBytes
	if c.liveBytesBySegment[oldest]*4 <= c.targetSegmentBytes() || garbage*2 > size {
		return true
	}
	return c.logCapacity > 0 && size*100 > c.logCapacity*reclaimPressurePercent && garbage*8 > size
}

// reclaimOldest appends the live data of the oldest segment again, and removes the segment.
func (c *core) reclaimOldest(oldest int64) {
	for _, p := range c.partitions {
		for _, id := range sortedKeys(p.jobs) {
			if j := p.jobs[id]; j.hasBytesIn(oldest) && !c.rewriteJob(p, j) {
				return
			}
		}
		for _, id := range sortedKeys(p.staged) {
			if j := p.staged[id]; j.hasBytesIn(oldest) && !c.rewriteInParts(p, j, false) {
				return
			}
		}
		if p.position.term > 0 {
			c.appendRecord(encodeRecord(recordTermStart, p.index, p.position.term, p.position.sequence))
		}
		if p.promisedTerm > 0 {
			c.appendRecord(encodeRecord(recordPromise, p.index, p.promisedTerm))
		}
	}
	if c.diskFailed {
		return
	}
	if err := c.disk.DropOldest(); err != nil {
		c.failDisk(err)
		return
	}
	delete(c.liveBytesBySegment, oldest)
	c.recordsSynced(c.appendedRecords)
}

// hasBytesIn reports whether a segment has any data of a job.
func (j *job) hasBytesIn(segment int64) bool {
	if segmentOf(j.offset) == segment {
		return true
	}
	for i := range j.results {
		if segmentOf(j.results[i].offset) == segment {
			return true
		}
	}
	return false
}

// rewriteJob appends a job with its results, which makes its earlier records garbage. It returns
// false if the disk has failed.
func (c *core) rewriteJob(p *partition, j *job) bool {
	if !c.fitsWhole(j) {
		if !c.rewriteInParts(p, j, true) {
			return false
		}
		// The rewritten parts replace what was staged of the job before them in the log.
		staged := p.staged[j.id]
		return staged == nil || c.rewriteInParts(p, staged, false)
	}
	encoded, err := c.encodeJobWithResults(j)
	if err != nil {
		c.failDisk(err)
		return false
	}
	offset, ok := c.writeRecord(append(encodeRecord(recordJob, p.index), encoded...))
	if !ok {
		return false
	}
	c.addLiveJob(j, -1)
	j.moveTo(offset)
	c.addLiveJob(j, 1)
	return true
}

// moveTo updates the offsets of a job that encodeJobWithResults wrote into the record at an offset
// of the log.
func (j *job) moveTo(recordOffset int64) {
	const (
		recordHeader = 1 + 4 // kind, partition
		lengthPrefix = 4
		resultHeader = 4 + 1 // item index, abandoned
	)
	offset := recordOffset + recordHeader + lengthPrefix + int64(len(j.id)) + lengthPrefix
	j.offset = offset
	offset += int64(j.encodedLength) + 4 // the number of results
	for i := range j.results {
		offset += resultHeader + lengthPrefix
		j.results[i].offset = offset
		offset += int64(j.results[i].length)
	}
}

// updateLogFull updates logFull, and logs when the store begins to reject jobs for lack of space
// and when it accepts jobs again.
func (c *core) updateLogFull() {
	if full := !c.hasCapacity(0); full != c.logFull {
		c.logFull = full
		c.log("log full: %v; %d live bytes, capacity %d bytes, size %d bytes",
			full, c.liveBytes, c.logCapacity, c.disk.Size())
	}
}

// anyReplicaFull reports whether the log of a replica has no space for more jobs.
func (s *primaryState) anyReplicaFull() bool {
	for _, replica := range s.progress {
		if replica.logFull {
			return true
		}
	}
	return false
}
