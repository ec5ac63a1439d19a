package batch

import (
	"fmt"

	"dunetide/internal/platform/link"
)

// A job with its results may be larger than a message or a record can be, as nothing bounds the
// results of a job together. A large job is therefore sent and rewritten in parts. The first one
// has the encoded job, and each has some of the results, in order. The receiver appends the parts
// to its log and keeps the job staged until the last part has arrived. Only then does the staged
// job replace what the receiver knew of it: until then a takeover must find the former state, which
// may be needed to find everything committed.

// transferLimits bound the messages that transfer jobs of one partition between two stores.
type transferLimits struct {
	wholeJobBytes int // maximum size of a job with its results that is sent, or rewritten, as a whole
	partBytes     int // maximum size of a part with more than one result
	inFlightBytes int // after which no further message is sent to a replica before it acknowledges one
	messages      int // maximum number of messages in flight to a replica, or of jobs requested from one
}

// defaultTransferLimits keep the messages that follow on the same connection, such as
// confirmations, from waiting long, and what all partitions of a store have in flight to another one
// below what a connection queues. Versions without parts send and accept whole jobs only.
var defaultTransferLimits = transferLimits{
	wholeJobBytes: 2 << 20,
	partBytes:     512 << 10,
	inFlightBytes: 1 << 20,
	messages:      4,
}

// Bounds of what a single part must hold. Both fit into a message and into a record.
const (
	// transferOverhead is more than all other fields of a message or a part take.
	transferOverhead = 64 << 10
	// maxEncodedJobBytes is the maximum size of an encoded job.
	maxEncodedJobBytes = link.MaxBody - transferOverhead
	// maxResultBytes is the maximum size of the text of a result.
	maxResultBytes = link.MaxBody - transferOverhead
)

// partPosition is how much of a job with its results precedes a part.
type partPosition struct {
	started bool // the encoded job does
	results int  // the number of results that do
}

// jobPart is a part of a job with its results, as core.encodeJobPart encodes it.
type jobPart struct {
	jobID   string
	begins  partPosition
	head    *job         // without results; nil: an earlier part has it
	results []partResult // in order
	last    bool         // the fields below are present

	ended  bool
	ageMs  int64
	digest uint64 // of the whole job
}

// partResult is a result in a part.
type partResult struct {
	index     int // of the item
	abandoned bool
	text      []byte
	offset    int64 // of the text, in the log
}

// fitsWhole reports whether a job is sent and rewritten as a whole.
func (c *core) fitsWhole(j *job) bool { return j.encodedSize() <= c.transfers.wholeJobBytes }

// encodedSize returns about how long the job is as encodeJobWithResults encodes it.
func (j *job) encodedSize() int { return int(j.logBytes) + perJob + perResult*len(j.results) }

// encodeJobPart encodes the part of a job that begins at a position, and returns the position after
// it. The part is the last one if the job is complete, which a staged job is not, and no result is left.
func (c *core) encodeJobPart(j *job, at partPosition, complete bool) (encoded []byte, next partPosition, last bool, err error) {
	w := link.Writer{Buf: make([]byte, 0, min(j.encodedSize(), c.transfers.partBytes+transferOverhead))}
	w.String(j.id)
	w.Bool(!at.started)
	if !at.started {
		head, err := c.readEncodedJob(j)
		if err != nil {
			return nil, at, false, err
		}
		w.Bytes(head)
	}
	count := c.resultsInPart(j, at, len(w.Buf))
	w.U32(uint32(at.results))
	w.U32(uint32(count))
	next = partPosition{started: true, results: at.results + count}
	for _, res := range j.results[at.results:next.results] {
		if err := c.encodeResult(&w, res); err != nil {
			return nil, at, false, err
		}
	}
	last = complete && next.results == len(j.results)
	w.Bool(last)
	if last {
		w.Bool(j.ended)
		w.Int(int(c.nowMs - j.knownSinceMs))
		w.U64(j.digest())
	}
	return w.Buf, next, last, nil
}

// resultsInPart returns how many results a part has that begins at a position and of which used bytes are taken: as many
// as fit, and at least one, unless the part has the encoded job.
func (c *core) resultsInPart(j *job, at partPosition, used int) (count int) {
	for _, res := range j.results[at.results:] {
		used += perResult + res.length
		if used > c.transfers.partBytes && (count > 0 || !at.started) {
			break
		}
		count++
	}
	return count
}

// decodeJobPart decodes a part that ends at an offset of the log.
func decodeJobPart(r *link.Reader, end int64) (*jobPart, error) {
	offset := func() int64 { return end - int64(len(r.Buf)) } // of the next field
	part := &jobPart{jobID: r.String()}
	part.begins.started = !r.Bool()
	if !part.begins.started {
		encoded := r.Bytes()
		head, err := decodeJob(encoded, offset()-int64(len(encoded)))
		if err != nil {
			return nil, err
		}
		part.head = head
	}
	part.begins.results = int(r.U32())
	for n := r.Count(minResult); n > 0; n-- {
		res := partResult{index: int(r.U32()), abandoned: r.Bool(), text: r.Bytes()}
		res.offset = offset() - int64(len(res.text))
		part.results = append(part.results, res)
	}
	if part.last = r.Bool(); part.last {
		part.ended, part.ageMs, part.digest = r.Bool(), max(0, int64(r.Int())), r.U64()
	}
	if r.Err != nil {
		return nil, r.Err
	}
	if part.head != nil && (part.head.id != part.jobID || part.begins.results != 0) {
		return nil, fmt.Errorf("part of job %q begins job %q at result %d", part.jobID, part.head.id, part.begins.results)
	}
	return part, nil
}

// follows reports whether a part continues what is staged of its job; nil: nothing is.
func (part *jobPart) follows(staged *job) bool {
	if part.head != nil {
		return true
	}
	return staged != nil && part.begins.results == len(staged.results)
}

// addTo adds a part to the job that the parts before it gave, and returns that job.
func (part *jobPart) addTo(staged *job) *job {
	if part.head != nil {
		staged = part.head
	}
	for _, res := range part.results {
		staged.addResult(res.index, res.abandoned, res.text, res.offset)
	}
	if part.last {
		staged.ended = part.ended
	}
	return staged
}

// acceptJobPart appends a part from another store to the log, which stages it, and installs the job
// if the part is the last one. It returns false if the part is none that can follow here.
func (c *core) acceptJobPart(p *partition, encoded []byte) (part *jobPart, ok bool) {
	part, err := decodeJobPart(&link.Reader{Buf: encoded}, int64(len(encoded)))
	switch {
	case err != nil:
		c.log("partition %d: part of a job can't be decoded: %v", p.index, err)
		return nil, false
	case !part.follows(p.staged[part.jobID]):
		c.log("partition %d: part of job %s at result %d does not follow", p.index, part.jobID, part.begins.results)
		return part, false
	}
	c.appendRecord(append(encodeRecord(recordJobPart, p.index), encoded...))
	return part, !part.last || p.staged[part.jobID] == nil
}

// replayJobPart stages a part that ends at an offset of the log, and replaces the job once it is
// complete. It ignores a part of which the earlier ones were in a segment that has been removed.
func (c *core) replayJobPart(p *partition, r *link.Reader, end int64) error {
	part, err := decodeJobPart(r, end)
	if err != nil {
		return err
	}
	staged := p.staged[part.jobID]
	if !part.follows(staged) {
		c.discardStaged(p, part.jobID)
		return nil
	}
	if part.head != nil {
		c.discardStaged(p, part.jobID)
	} else {
		c.addLiveJob(staged, -1)
	}
	staged = part.addTo(staged)
	p.staged[part.jobID] = staged
	c.addLiveJob(staged, 1)
	if !part.last {
		return nil
	}
	if staged.digest() != part.digest {
		c.log("partition %d: job %s arrived with another digest than it was sent with", p.index, part.jobID)
		return nil
	}
	c.discardStaged(p, part.jobID)
	c.putJob(p, staged, part.ageMs)
	return nil
}

// discardStaged forgets the parts that have arrived of a job.
func (c *core) discardStaged(p *partition, id string) {
	if staged := p.staged[id]; staged != nil {
		c.addLiveJob(staged, -1)
		delete(p.staged, id)
	}
}

// discardAllStaged forgets the parts that were sent under an earlier term or over an earlier
// connection: their sender begins anew.
func (c *core) discardAllStaged(p *partition) {
	for _, id := range sortedKeys(p.staged) {
		c.discardStaged(p, id)
	}
}

// rewriteInParts appends a job with its results in parts, which makes its earlier records garbage.
// It returns false if the disk has failed.
func (c *core) rewriteInParts(p *partition, j *job, complete bool) bool {
	var rewritten *job
	for at, last := (partPosition{}), false; !last && (!at.started || at.results < len(j.results)); {
		encoded, next, isLast, err := c.encodeJobPart(j, at, complete)
		if err != nil {
			c.failDisk(err)
			return false
		}
		record := append(encodeRecord(recordJobPart, p.index), encoded...)
		offset, ok := c.writeRecord(record)
		if !ok {
			return false
		}
		part, err := decodeJobPart(&link.Reader{Buf: encoded}, offset+int64(len(record)))
		if err != nil {
			c.failDisk(err)
			return false
		}
		rewritten = part.addTo(rewritten)
		at, last = next, isLast
	}
	c.addLiveJob(j, -1)
	j.offset = rewritten.offset
	for i := range j.results {
		j.results[i].offset = rewritten.results[i].offset
	}
	c.addLiveJob(j, 1)
	return true
}
