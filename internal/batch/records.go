package batch

import (
	"errors"
	"hash/crc32"

	"dunetide/internal/platform/link"
)

// What the records of the log do to the state, and what is read back from it.

// replay does to the state what a record at a place in the log says.
func (c *core) replay(rec []byte, at int64) error {
	r := link.Reader{B: rec}
	kind := r.U8()
	pos := func() int64 { return at + int64(len(rec)-len(r.B)) }
	p := c.part(int(r.U32()))
	if r.Err != nil || p == nil {
		return link.ErrShort
	}
	switch kind {
	case recID:
		c.self = r.U64()
	case recPromise:
		p.promised = max(p.promised, r.U64())
	case recMark:
		p.claimB, p.claimS = r.U64(), r.U64()
		p.promised = max(p.promised, p.claimB)
	case recOp:
		b, s := r.U64(), r.U64()
		if r.Err != nil {
			return r.Err
		}
		if s > 0 {
			p.claimB, p.claimS = b, s
		}
		return c.apply(p, r.B, pos())
	case recPut:
		_ = r.String() // the id, which the job has too
		enc := r.Bytes()
		j, err := decodeJob(enc, pos()-int64(len(enc)))
		if err != nil {
			return err
		}
		for n := r.Count(9); n > 0; n-- {
			no, gu := int(r.U32()), r.Bool()
			text := r.Bytes()
			j.list(no, gu, text, pos()-int64(len(text)))
		}
		j.ended = r.Bool()
		age := int64(0)
		if len(r.B) > 0 { // records of older versions end before it
			age = max(0, int64(r.Int()))
		}
		if r.Err != nil {
			return r.Err
		}
		c.keepJob(p, j, age)
	}
	return r.Err
}

// keepJob takes a job in that is at least so many ms old, in the place of what was known of it. It has been known since it
// was known first.
func (c *core) keepJob(p *part, j *job, age int64) {
	j.knownSince = c.now - age
	if known := p.jobs[j.id]; known != nil {
		j.knownSince = min(j.knownSince, known.knownSince)
	}
	c.forget(p, j.id)
	p.jobs[j.id] = j
	c.chargeJob(j, 1)
}

func (c *core) forget(p *part, id string) {
	if j := p.jobs[id]; j != nil {
		c.chargeJob(j, -1)
		j.dropping = true
		for _, r := range j.readers {
			r.from.Reply([]byte{codeUnavailable})
		}
		delete(p.jobs, id)
	}
}

// apply does an operation whose bytes lie at a place in the log.
func (c *core) apply(p *part, op []byte, at int64) error {
	r := link.Reader{B: op}
	switch r.U8() {
	case opAccept:
		j, err := decodeJob(r.B, at+1)
		if err != nil {
			return err
		}
		c.keepJob(p, j, 0)
	case opList:
		id, no, gu := r.String(), int(r.U32()), r.Bool()
		if r.Err != nil {
			return r.Err
		}
		if j := p.jobs[id]; j != nil {
			before := len(j.results)
			if j.list(no, gu, r.B, at+int64(len(op)-len(r.B))); len(j.results) > before {
				res := j.results[before]
				c.chargeLog(res.at, int64(res.n))
			}
		}
	case opEnd:
		if j := p.jobs[r.String()]; j != nil {
			j.ended = true
		}
	case opDrop:
		c.forget(p, r.String())
	}
	return r.Err
}

// whole is a job with all that happened to it, as kPut and recPut have it: the id, the encoded job, the results, whether it
// has ended, and its age in ms.
func (c *core) whole(j *job) ([]byte, error) {
	w := link.Writer{B: make([]byte, 0, j.bytes+int64(64+16*len(j.results)))}
	w.String(j.id)
	enc, err := c.disk.ReadRaw(j.at, j.n)
	if err != nil {
		return nil, err
	}
	for i := range j.items {
		if it := &j.items[i]; crc32.Checksum(enc[it.off:it.off+it.n], castagnoli) != it.sum {
			return nil, errChanged
		}
	}
	w.Bytes(enc)
	w.U32(uint32(len(j.results)))
	for _, res := range j.results {
		w.U32(uint32(res.item))
		w.Bool(res.givenUp)
		text, err := c.text(res)
		if err != nil {
			return nil, err
		}
		w.Bytes(text)
	}
	w.Bool(j.ended)
	w.Int(int(c.now - j.knownSince))
	return w.B, nil
}

var errChanged = errors.New("the disk gave back other bytes than were written")

// text is that of a result.
func (c *core) text(res result) ([]byte, error) { return c.checked(res.at, res.n, res.sum) }

// segment is an item's path, headers and body.
func (c *core) segment(j *job, no int) ([]byte, error) {
	it := &j.items[no]
	return c.checked(j.at+int64(it.off), int(it.n), it.sum)
}

func (c *core) checked(at int64, n int, sum uint32) ([]byte, error) {
	b, err := c.disk.ReadRaw(at, n)
	if err == nil && crc32.Checksum(b, castagnoli) != sum {
		err = errChanged
	}
	return b, err
}
