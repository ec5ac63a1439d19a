package batch

import "dunetide/internal/platform/link"

// Operations on the jobs of a partition, which its primary orders. Each begins with one of these
// bytes. They are on the wire and on disk.
const (
	opAcceptJob uint8 = 1 + iota // encoded job
	opAddResult                  // job ID, item index, abandoned, text (the remaining bytes)
	opEndJob                     // job ID
	opDropJob                    // job ID
)

func encodeAcceptJob(encodedJob []byte) []byte { return append([]byte{opAcceptJob}, encodedJob...) }

func encodeAddResult(jobID string, index int, abandoned bool, text []byte) []byte {
	w := link.Writer{Buf: make([]byte, 0, len(jobID)+len(text)+16)}
	w.U8(opAddResult)
	w.String(jobID)
	w.U32(uint32(index))
	w.Bool(abandoned)
	w.Buf = append(w.Buf, text...)
	return w.Buf
}

// encodeJobOperation encodes an operation that consists only of the job's ID.
func encodeJobOperation(operation uint8, jobID string) []byte {
	var w link.Writer
	w.U8(operation)
	w.String(jobID)
	return w.Buf
}

// jobOfOperation returns the ID of an operation's job. An encoded job begins with its ID too.
func jobOfOperation(operation []byte) string {
	r := link.Reader{Buf: operation}
	r.U8()
	return r.String()
}

// validateOperation checks that an operation from another store can be decoded. An invalid one must
// not be appended to the log, as the log could not be replayed then.
func validateOperation(operation []byte) error {
	r := link.Reader{Buf: operation}
	switch r.U8() {
	case opAcceptJob:
		_, err := decodeJob(r.Buf, 0)
		return err
	case opAddResult:
		_, _, _ = r.String(), r.U32(), r.Bool()
	case opEndJob, opDropJob:
		_ = r.String()
	}
	return r.Err
}

// applyOperation applies an operation whose first byte is at an offset of the log.
func (c *core) applyOperation(p *partition, operation []byte, offset int64) error {
	r := link.Reader{Buf: operation}
	switch r.U8() {
	case opAcceptJob:
		j, err := decodeJob(r.Buf, offset+1)
		if err != nil {
			return err
		}
		c.putJob(p, j, 0)
	case opAddResult:
		id, index, abandoned := r.String(), int(r.U32()), r.Bool()
		if r.Err != nil {
			return r.Err
		}
		if j := p.jobs[id]; j != nil {
			c.applyResult(j, index, abandoned, r.Buf, offset+int64(len(operation)-len(r.Buf)))
		}
	case opEndJob:
		if j := p.jobs[r.String()]; j != nil {
			j.ended = true
		}
	case opDropJob:
		id := r.String()
		c.discardStaged(p, id)
		c.removeJob(p, id)
	}
	return r.Err
}

func (c *core) applyResult(j *job, index int, abandoned bool, text []byte, offset int64) {
	before := len(j.results)
	j.addResult(index, abandoned, text, offset)
	if len(j.results) > before {
		added := j.results[before]
		c.addLiveBytes(added.offset, int64(added.length))
	}
}

// putJob adds a job that is at least ageMs old, or replaces what is known of it. The age of a
// replaced job does not decrease.
func (c *core) putJob(p *partition, j *job, ageMs int64) {
	j.knownSinceMs = c.nowMs - ageMs
	if known := p.jobs[j.id]; known != nil {
		j.knownSinceMs = min(j.knownSinceMs, known.knownSinceMs)
	}
	c.removeJob(p, j.id)
	p.jobs[j.id] = j
	c.addLiveJob(j, 1)
}

func (c *core) removeJob(p *partition, id string) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	c.addLiveJob(j, -1)
	j.dropped = true
	rejectReads(j.pendingReads)
	delete(p.jobs, id)
}
