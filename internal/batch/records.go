package batch

import (
	"errors"
	"hash/crc32"

	"dunetide/internal/platform/link"
)

// Records of a store's log. The first byte of a record is one of these, then comes the index of a
// partition (u32). They are on disk.
const (
	recordIdentity  uint8 = 1 + iota // identity of the store; the partition is 0
	recordPromise                    // term
	recordTermStart                  // term, sequence number
	recordOperation                  // term, sequence number (0: sent before the start of the term), operation
	recordJob                        // whole job (see encodeWholeJob)
)

// encodeRecord encodes a record, or its begin.
func encodeRecord(kind uint8, partition int, numbers ...uint64) []byte {
	var w link.Writer
	w.U8(kind)
	w.U32(uint32(partition))
	for _, n := range numbers {
		w.U64(n)
	}
	return w.Buf
}

// replay applies a record whose first byte lies at an offset of the log.
func (c *core) replay(record []byte, offset int64) error {
	r := link.Reader{Buf: record}
	kind := r.U8()
	p := c.partition(int(r.U32()))
	if r.Err != nil || p == nil {
		return link.ErrTruncated
	}
	switch kind {
	case recordIdentity:
		c.self = r.U64()
	case recordPromise:
		p.promisedTerm = max(p.promisedTerm, r.U64())
	case recordTermStart:
		p.position = logPosition{term: r.U64(), sequence: r.U64()}
		p.promisedTerm = max(p.promisedTerm, p.position.term)
	case recordOperation:
		position := logPosition{term: r.U64(), sequence: r.U64()}
		if r.Err != nil {
			return r.Err
		}
		if position.sequence > 0 {
			p.position = position
		}
		return c.applyOperation(p, r.Buf, offset+int64(len(record)-len(r.Buf)))
	case recordJob:
		return c.replayWholeJob(p, &r, offset+int64(len(record)))
	}
	return r.Err
}

// replayWholeJob replaces a job by one that encodeWholeJob wrote. The record ends at an offset of the log.
func (c *core) replayWholeJob(p *partition, r *link.Reader, end int64) error {
	j, ageMs, err := decodeWholeJob(r, end)
	if err != nil {
		return err
	}
	c.putJob(p, j, ageMs)
	return nil
}

// validateWholeJob reports whether another store has sent a whole job that can be read. What can't be read must not get
// into the log, which could not be replayed with it.
func validateWholeJob(encoded []byte) error {
	_, _, err := decodeWholeJob(&link.Reader{Buf: encoded}, int64(len(encoded)))
	return err
}

// decodeWholeJob reads what encodeWholeJob wrote, which ends at an offset of the log, and the job's age in ms.
func decodeWholeJob(r *link.Reader, end int64) (*job, int64, error) {
	offset := func() int64 { return end - int64(len(r.Buf)) } // of what is read next
	_ = r.String()                                            // the ID, which the encoded job has too
	encoded := r.Bytes()
	j, err := decodeJob(encoded, offset()-int64(len(encoded)))
	if err != nil {
		return nil, 0, err
	}
	for n := r.Count(9); n > 0; n-- {
		index, abandoned := int(r.U32()), r.Bool()
		text := r.Bytes()
		j.addResult(index, abandoned, text, offset()-int64(len(text)))
	}
	j.ended = r.Bool()
	ageMs := int64(0)
	if len(r.Buf) > 0 { // records of older versions end before it
		ageMs = max(0, int64(r.Int()))
	}
	return j, ageMs, r.Err
}

// encodeWholeJob encodes a job with its results: the ID, the encoded job, the results in their
// order, whether it has ended, and its age in ms.
func (c *core) encodeWholeJob(j *job) ([]byte, error) {
	const perResult = 16
	w := link.Writer{Buf: make([]byte, 0, j.logBytes+int64(64+perResult*len(j.results)))}
	w.String(j.id)
	encoded, err := c.disk.ReadRaw(j.offset, j.encodedLength)
	if err != nil {
		return nil, err
	}
	for i := range j.items {
		if it := &j.items[i]; crc32.Checksum(encoded[it.offset:it.offset+it.length], castagnoli) != it.checksum {
			return nil, errCorruptRead
		}
	}
	w.Bytes(encoded)
	w.U32(uint32(len(j.results)))
	for _, res := range j.results {
		w.U32(uint32(res.itemIndex))
		w.Bool(res.abandoned)
		text, err := c.resultText(res)
		if err != nil {
			return nil, err
		}
		w.Bytes(text)
	}
	w.Bool(j.ended)
	w.Int(int(c.nowMs - j.knownSinceMs))
	return w.Buf, nil
}

// errCorruptRead says that bytes of the log that were checked when they were written are others now.
var errCorruptRead = errors.New("the disk gave back other bytes than were written")

// resultText reads the text of a result.
func (c *core) resultText(res result) ([]byte, error) {
	return c.readChecked(res.offset, res.length, res.checksum)
}

// itemRequest reads the encoded request of an item.
func (c *core) itemRequest(j *job, index int) ([]byte, error) {
	it := &j.items[index]
	return c.readChecked(j.offset+int64(it.offset), int(it.length), it.checksum)
}

func (c *core) readChecked(offset int64, length int, checksum uint32) ([]byte, error) {
	b, err := c.disk.ReadRaw(offset, length)
	if err == nil && crc32.Checksum(b, castagnoli) != checksum {
		err = errCorruptRead
	}
	return b, err
}
