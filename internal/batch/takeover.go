package batch

import "dunetide/internal/platform/link"

// A new primary collects what the copies have before it goes on.

func (c *core) ask(p *part, id uint64) {
	pipe := c.peers[id]
	if pipe == nil || id == c.self {
		return
	}
	c.sessions++
	p.lead.peers[id] = &peer{pipe: pipe, session: c.sessions, acked: -1, stamp: -1 << 60}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(p.lead.ballot)
	w.U64(c.sessions)
	_ = pipe.Send(kAsk, w.B)
}

// asked promises a ballot and tells what there is.
func (c *core) asked(p *part, ballot, session uint64, pipe Pipe) {
	if c.stale(p, ballot, pipe) {
		return
	}
	if p.lead != nil {
		c.stopLead(p)
	}
	if ballot > p.promised {
		c.append(encodeRec(recPromise, p.no, ballot))
	}
	p.session, p.from = session, pipe
	c.afterSync(func() {
		if p.session != session || p.from != pipe || p.promised != ballot {
			return
		}
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(ballot)
		w.U64(session)
		w.U64(p.claimB)
		w.U64(p.claimS)
		w.U32(uint32(len(p.jobs)))
		for _, id := range sortedKeys(p.jobs) {
			w.String(id)
			w.U64(p.jobs[id].digest())
		}
		_ = pipe.Send(kHave, w.B)
	})
}

// have is what a copy says that it has.
func (c *core) have(p *part, r *link.Reader) {
	l := p.lead
	session, claimBallot, claimSeq := r.U64(), r.U64(), r.U64()
	from := l.bySession(session)
	if from == nil {
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
	from.have, from.claimB, from.claimS = digests, claimBallot, claimSeq
	switch l.stage {
	case collecting:
		c.collected(p)
	case ordering:
		c.bring(p, from)
	}
}

// fetchAsked sends a job whole to a new primary.
func (c *core) fetchAsked(p *part, ballot uint64, id string, pipe Pipe) {
	if ballot != p.promised {
		c.stale(p, ballot, pipe)
		return
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(ballot)
	w.String(id)
	j := p.jobs[id]
	w.Bool(j != nil)
	if j != nil {
		whole, err := c.whole(j)
		if err != nil {
			c.log("reading job %s: %v", id, err)
			return
		}
		w.B = append(w.B, whole...)
	}
	_ = pipe.Send(kWhole, w.B)
}

// wholeCame takes in a job that this new primary did not have as the most complete copy has it.
func (c *core) wholeCame(p *part, r *link.Reader) {
	l := p.lead
	id, found := r.String(), r.Bool()
	if l.stage != fetching || !l.fetch[id] || r.Err != nil {
		return
	}
	if !found { // it told of it; it can't lose it while it follows this ballot
		return
	}
	delete(l.fetch, id)
	c.append(append(encodeRec(recPut, p.no), r.B...))
	c.fetched(p)
}

// collected looks whether enough have told what they have, and takes the most complete.
func (c *core) collected(p *part) {
	l := p.lead
	if l == nil || l.stage != collecting {
		return
	}
	n, best, cb, cs := 0, c.self, p.claimB, p.claimS
	for _, id := range l.copies {
		q := l.peers[id]
		switch {
		case id == c.self:
			n++
		case q != nil && q.have != nil:
			n++
			if q.claimB > cb || q.claimB == cb && q.claimS > cs {
				best, cb, cs = id, q.claimB, q.claimS
			}
		}
	}
	need := len(l.copies) - c.maxLost
	if n < max(need, 1) {
		return
	}
	l.best, l.fetch = best, map[string]bool{}
	if best == c.self {
		c.adopt(p, cs)
		return
	}
	l.stage = fetching
	q := l.peers[best]
	for _, id := range sortedKeys(p.jobs) {
		if _, ok := q.have[id]; !ok {
			c.append(append(encodeRec(recOp, p.no, l.ballot, 0), encodeNamed(opDrop, id)...))
		}
	}
	for _, id := range sortedKeys(q.have) {
		if j := p.jobs[id]; j == nil || j.digest() != q.have[id] {
			l.fetch[id] = true
			var w link.Writer
			w.U32(uint32(p.no))
			w.U64(l.ballot)
			w.String(id)
			_ = q.pipe.Send(kFetch, w.B)
		}
	}
	c.fetched(p)
}

func (c *core) fetched(p *part) {
	if l := p.lead; len(l.fetch) == 0 {
		c.adopt(p, l.peers[l.best].claimS)
	}
}

// adopt: the state is the part's under this ballot.
func (c *core) adopt(p *part, seq uint64) {
	p.lead.seq = seq
	c.mark(p)
	for _, id := range p.lead.all() {
		if q := p.lead.peers[id]; q != nil && q.have != nil {
			c.bring(p, q)
		}
	}
	c.advance(p)
}

func (c *core) mark(p *part) {
	l := p.lead
	l.stage, l.start = ordering, int64(l.seq)
	c.append(encodeRec(recMark, p.no, l.ballot, l.seq))
	c.selfSynced(p, l.seq)
}

func (c *core) selfSynced(p *part, seq uint64) {
	l := p.lead
	ballot := l.ballot
	c.afterSync(func() {
		if p.lead == l && l.ballot == ballot && int64(seq) > l.selfS {
			l.selfS = int64(seq)
			c.advance(p)
		}
	})
}
