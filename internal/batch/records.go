package batch

import (
	"errors"
	"hash/crc32"

	"dunetide/internal/platform/link"
)

// Records of a store's log. A record begins with one of these bytes and the index of a partition
// (u32). They are on disk.
const (
	recordIdentity  uint8 = 1 + iota // identity of the store; the partition is 0
	recordPromise                    // term
	recordTermStart                  // term, sequence number
	recordOperation                  // term, sequence number (0: sent before the start of the term), operation
	recordJob                        // job with results (see encodeJobWithResults)
	recordJobPart                    // job part (see jobPart)
)

// encodeRecord encodes a record, or its beginning.
func encodeRecord(kind uint8, partition int, numbers ...uint64) []byte {
	var w link.Writer
	w.U8(kind)
	w.U32(uint32(partition))
	for _, n := range numbers {
		w.U64(n)
	}
	return w.Buf
}

// replay applies a record whose first byte is at an offset of the log.
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
		return c.replayJobWithResults(p, &r, offset+int64(len(record)))
	case recordJobPart:
		return c.replayJobPart(p, &r, offset+int64(len(record)))
	}
	return r.Err
}

// replayJobWithResults replaces a job by one that encodeJobWithResults wrote. The record ends at an
// offset of the log.
func (c *core) replayJobWithResults(p *partition, r *link.Reader, end int64) error {
	j, ageMs, err := decodeJobWithResults(r, end)
	if err != nil {
		return err
	}
	c.putJob(p, j, ageMs)
	return nil
}

// validateJobWithResults checks that a job from another store can be decoded. An invalid one must
// not be appended to the log, as the log could not be replayed then.
func validateJobWithResults(encoded []byte) error {
	_, _, err := decodeJobWithResults(&link.Reader{Buf: encoded}, int64(len(encoded)))
	return err
}

// decodeJobWithResults decodes what encodeJobWithResults wrote, which ends at an offset of the log,
// and the job's age in ms.
func decodeJobWithResults(r *link.Reader, end int64) (*job, int64, error) {
	offset := func() int64 { return end - int64(len(r.Buf)) } // of the next field
	_ = r.String()                                            // the ID, which the encoded job has too
	encoded := r.Bytes()
	j, err := decodeJob(encoded, offset()-int64(len(encoded)))
	if err != nil {
		return nil, 0, err
	}
	for n := r.Count(minResult); n > 0; n-- {
		index, abandoned := int(r.U32()), r.Bool()
		text := r.Bytes()
		j.addResult(index, abandoned, text, offset()-int64(len(text)))
	}
	j.ended = r.Bool()
	ageMs := int64(0)
	if len(r.Buf) > 0 { // absent in records of older versions
		ageMs = max(0, int64(r.Int()))
	}
	return j, ageMs, r.Err
}

// Sizes of the encoding of a job with its results, in bytes.
const (
	perJob    = 64 // fields of the job besides the encoded job, with a margin
	perResult = 16 // fields of a result besides its text, with a margin
	minResult = 9  // fields of a result with an empty text
)

// encodeJobWithResults encodes the ID, the encoded job, the results in order, whether the job has
// ended, and its age in ms.
func (c *core) encodeJobWithResults(j *job) ([]byte, error) {
	w := link.Writer{Buf: make([]byte, 0, j.encodedSize())}
	w.String(j.id)
	encoded, err := c.readEncodedJob(j)
	if err != nil {
		return nil, err
	}
	w.Bytes(encoded)
	w.U32(uint32(len(j.results)))
	for _, res := range j.results {
		if err := c.encodeResult(&w, res); err != nil {
			return nil, err
		}
	}
	w.Bool(j.ended)
	w.Int(int(c.nowMs - j.knownSinceMs))
	return w.Buf, nil
}

// readEncodedJob reads the encoded job from the log and verifies the requests of its items.
func (c *core) readEncodedJob(j *job) ([]byte, error) {
	encoded, err := c.disk.ReadRaw(j.offset, j.encodedLength)
	if err != nil {
		return nil, err
	}
	for i := range j.items {
		if it := &j.items[i]; crc32.Checksum(encoded[it.offset:it.offset+it.length], castagnoli) != it.checksum {
			return nil, errCorruptRead
		}
	}
	return encoded, nil
}

// encodeResult appends a result with its text.
func (c *core) encodeResult(w *link.Writer, res result) error {
	text, err := c.resultText(res)
	if err != nil {
		return err
	}
	w.U32(uint32(res.itemIndex))
	w.Bool(res.abandoned)
	w.Bytes(text)
	return nil
}

// errCorruptRead reports that bytes read from the log do not match their checksum in memory.
var errCorruptRead = errors.New("the bytes read from disk do not match their checksum")

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
