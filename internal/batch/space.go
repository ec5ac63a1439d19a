package batch

// The space that a store's log takes. Jobs are dropped in about the order in which they came, so the oldest segment of
// the log is soon empty of what must stay; what is left in it is appended again, and the segment goes.

const (
	// segmentsInRoom is how many segments the log has when it has taken all of its room.
	segmentsInRoom = 24
	// minSegmentBytes is how long a segment gets at least before a new one is begun.
	minSegmentBytes = 1 << 20
	// fullPercent of the room may be taken by what must stay; above it no job is taken.
	fullPercent = 80
	// pressedPercent of the room may be taken by the log before also segments are emptied that are mostly wanted.
	pressedPercent = 85
	// resultsPerByte is how many bytes of results are expected for each of a job.
	resultsPerByte = 3
)

// chargeLog counts bytes at a place in the log that must stay, or that need not any more.
func (c *core) chargeLog(at, bytes int64) {
	c.live += bytes
	c.liveIn[segmentOf(at)] += bytes
}

// chargeJob counts all bytes of a job.
func (c *core) chargeJob(j *job, sign int64) {
	c.chargeLog(j.at, sign*int64(j.n))
	for _, res := range j.results {
		c.chargeLog(res.at, sign*int64(res.n))
	}
}

// hasRoom tells whether the log can take a job of so many bytes, its results and those of the jobs that it has.
func (c *core) hasRoom(bytes int) bool {
	if c.room <= 0 {
		return true
	}
	needed := c.live + int64(bytes)*(1+resultsPerByte)
	for _, p := range c.parts {
		for _, j := range p.jobs {
			if j.open() {
				needed += int64(j.n) * resultsPerByte * int64(len(j.items)-len(j.results)) / int64(len(j.items))
			}
		}
	}
	return needed <= c.room*fullPercent/100
}

// segmentBytes is how long a segment gets.
func (c *core) segmentBytes() int64 {
	if c.segmentSize > 0 {
		return c.segmentSize
	}
	return max(minSegmentBytes, c.room/segmentsInRoom)
}

// keepSpace begins a new segment when the newest one is long enough, and gives the oldest one back if that is worth it.
func (c *core) keepSpace() {
	if c.dead {
		return
	}
	if c.disk.NewestSize() >= c.segmentBytes() {
		if err := c.disk.Rotate(); err != nil {
			c.failed(err)
			return
		}
		c.append(encodeRec(recID, 0, c.self)) // each segment begins with the identity, so that none need stay for it
	}
	if oldest, more := c.disk.Oldest(); more && c.worthEmptying(oldest) {
		c.emptyOldest(oldest)
	}
	c.reportRoom()
}

// worthEmptying tells whether the oldest segment should be given back: most of it is garbage, or most of the log is, or
// space runs out and there is some garbage.
func (c *core) worthEmptying(oldest int64) bool {
	size := c.disk.Size()
	garbage := size - c.live
	if c.liveIn[oldest]*4 <= c.segmentBytes() || garbage*2 > size {
		return true
	}
	return c.room > 0 && size*100 > c.room*pressedPercent && garbage*8 > size
}

// emptyOldest appends again what must stay of the oldest segment, and removes it.
func (c *core) emptyOldest(oldest int64) {
	for _, p := range c.parts {
		for _, id := range sortedKeys(p.jobs) {
			if j := p.jobs[id]; j.touches(oldest) && !c.moveJob(p, j) {
				return
			}
		}
		if p.claimB > 0 {
			c.append(encodeRec(recMark, p.no, p.claimB, p.claimS))
		}
		if p.promised > 0 {
			c.append(encodeRec(recPromise, p.no, p.promised))
		}
	}
	if c.dead {
		return
	}
	if err := c.disk.DropOldest(); err != nil {
		c.failed(err)
		return
	}
	delete(c.liveIn, oldest)
	c.synced(c.appended)
}

// touches tells whether anything of a job lies in a segment.
func (j *job) touches(segment int64) bool {
	if segmentOf(j.at) == segment {
		return true
	}
	for i := range j.results {
		if segmentOf(j.results[i].at) == segment {
			return true
		}
	}
	return false
}

// moveJob appends a job whole; what was written of it before is garbage then. False: the store can't go on.
func (c *core) moveJob(p *part, j *job) bool {
	whole, err := c.whole(j)
	if err != nil {
		c.failed(err)
		return false
	}
	at, ok := c.write(append(encodeRec(recPut, p.no), whole...))
	if !ok {
		return false
	}
	c.chargeJob(j, -1)
	pos := at + 5 + 4 + int64(len(j.id)) + 4
	j.at = pos
	pos += int64(j.n) + 4
	for i := range j.results {
		pos += 4 + 1 + 4
		j.results[i].at = pos
		pos += int64(j.results[i].n)
	}
	c.chargeJob(j, 1)
	return true
}

// reportRoom logs when the store begins to take no more jobs for want of space, and when it takes some again.
func (c *core) reportRoom() {
	if full := !c.hasRoom(0); full != c.full {
		c.full = full
		c.log("full: %v; %d bytes must stay of the %d that the log may have, it has %d", full, c.live, c.room, c.disk.Size())
	}
}

// copyFull tells whether a copy has no room for more jobs.
func (l *lead) copyFull() bool {
	for _, q := range l.peers {
		if q.full {
			return true
		}
	}
	return false
}
