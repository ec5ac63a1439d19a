package batch

import (
	"cmp"
	"slices"

	"dunetide/internal/platform/link"
)

// Operations on their way from a primary to the copies, and when they are committed.

// storeMessage is the event of a message of another store.
func (c *core) storeMessage(pipe Pipe, kind link.Kind, body []byte) {
	r := link.Reader{B: body}
	switch kind {
	case kReserve, kGrant, kUsage, kUsageAsk:
		c.quotaMessage(pipe, kind, &r)
		return
	}
	p := c.part(int(r.U32()))
	ballot := r.U64()
	if r.Err != nil || p == nil {
		return
	}
	switch kind {
	case kAsk:
		c.asked(p, ballot, r.U64(), pipe)
	case kFetch:
		c.fetchAsked(p, ballot, r.String(), pipe)
	case kPut, kMark, kOp:
		session := r.U64()
		if c.stale(p, ballot, pipe) || ballot != p.promised || session != p.session || pipe != p.from {
			return
		}
		c.follow(p, ballot, kind, &r, pipe)
	case kConfirm:
		c.confirmAsked(p, ballot, r.U64(), pipe)
	case kStale:
		if l := p.lead; l != nil && l.ballot < ballot {
			// The table that says so is on its way. Until then nothing is committed and nobody is sure.
			l.confirmed, l.barred = -1<<60, true
		}
	default:
		if p.lead != nil && p.lead.ballot == ballot {
			c.copyMessage(p, kind, &r, pipe)
		}
	}
}

// copyMessage is the event of a message of a copy to the primary that it follows.
func (c *core) copyMessage(p *part, kind link.Kind, r *link.Reader, pipe Pipe) {
	l := p.lead
	switch kind {
	case kHave:
		c.have(p, r)
	case kWhole:
		c.wholeCame(p, r)
	case kPutAck:
		if from := l.bySession(r.U64()); from != nil {
			from.flight--
			c.pump(p, from)
		}
	case kAck:
		seq, full := int64(r.U64()), r.Bool()
		for _, q := range l.peers {
			if q.pipe == pipe && q.live {
				q.acked, q.full = max(q.acked, seq), full
			}
		}
		c.advance(p)
	case kConfirmed:
		stamp, full := int64(r.U64()), r.Bool()
		for _, q := range l.peers {
			if q.pipe == pipe {
				q.stamp, q.full = max(q.stamp, stamp), full
			}
		}
		c.countConfirmed(p)
	}
}

// follow does what the primary says.
func (c *core) follow(p *part, ballot uint64, kind link.Kind, r *link.Reader, pipe Pipe) {
	switch kind {
	case kPut:
		c.append(append(encodeRec(recPut, p.no), r.B...))
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(ballot)
		w.U64(p.session)
		_ = pipe.Send(kPutAck, w.B)
	case kMark:
		seq := r.U64()
		c.append(encodeRec(recMark, p.no, ballot, seq))
		c.ackAfterSync(p, ballot, seq, pipe)
	case kOp:
		seq := r.U64()
		if r.Err != nil {
			return
		}
		if seq > 0 && (p.claimB != ballot || p.claimS+1 != seq) {
			c.log("part %d: operation %d does not follow %d", p.no, seq, p.claimS)
			return
		}
		c.append(append(encodeRec(recOp, p.no, ballot, seq), r.B...))
		if seq > 0 {
			c.ackAfterSync(p, ballot, seq, pipe)
		}
	}
}

func (c *core) ackAfterSync(p *part, ballot, seq uint64, pipe Pipe) {
	ack := func() {
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(ballot)
		w.U64(seq)
		w.Bool(c.full)
		_ = pipe.Send(kAck, w.B)
	}
	c.afterSync(ack)
}

// bring brings one that told what it has to the primary's state.
func (c *core) bring(p *part, q *peer) {
	if q.dirty != nil {
		return
	}
	q.dirty = map[string]bool{}
	for id, j := range p.jobs {
		if d, ok := q.have[id]; !ok || d != j.digest() {
			q.dirty[id] = true
		}
	}
	for _, id := range sortedKeys(q.have) {
		if p.jobs[id] == nil {
			c.sendOp(p, q, 0, encodeNamed(opDrop, id))
		}
	}
	q.have = map[string]uint64{}
	c.pump(p, q)
}

// pump sends jobs whole, a few at once, and then the mark.
func (c *core) pump(p *part, q *peer) {
	l := p.lead
	if q.live || q.dirty == nil {
		return
	}
	for len(q.dirty) > 0 && q.flight < putWindow {
		id := sortedKeys(q.dirty)[0]
		delete(q.dirty, id)
		j := p.jobs[id]
		if j == nil {
			c.sendOp(p, q, 0, encodeNamed(opDrop, id))
			continue
		}
		b, err := c.whole(j)
		if err != nil {
			c.failed(err)
			return
		}
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(l.ballot)
		w.U64(q.session)
		w.B = append(w.B, b...)
		q.flight++
		_ = q.pipe.Send(kPut, w.B)
	}
	if len(q.dirty) > 0 || q.flight > 0 {
		return
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(l.ballot)
	w.U64(q.session)
	w.U64(l.seq)
	q.live = true
	_ = q.pipe.Send(kMark, w.B)
}

func (c *core) sendOp(p *part, q *peer, seq uint64, op []byte) {
	w := link.Writer{B: make([]byte, 0, len(op)+32)}
	w.U32(uint32(p.no))
	w.U64(p.lead.ballot)
	w.U64(q.session)
	w.U64(seq)
	w.B = append(w.B, op...)
	_ = q.pipe.Send(kOp, w.B)
}

// order gives an operation its number, writes it and sends it to the copies. Done is called once it is
// committed, or when this store leads no longer and can't know.
func (c *core) order(p *part, op []byte, done func(ok bool)) {
	l := p.lead
	l.seq++
	c.append(append(encodeRec(recOp, p.no, l.ballot, l.seq), op...))
	id := jobOf(op)
	for _, to := range l.all() {
		q := l.peers[to]
		if q == nil || q.dirty == nil {
			continue
		}
		if q.live {
			c.sendOp(p, q, l.seq, op)
		} else if !q.dirty[id] {
			c.sendOp(p, q, 0, op)
		}
	}
	l.pend = append(l.pend, pending{int64(l.seq), done})
	c.selfSynced(p, l.seq)
}

// reached is how far so many of a group have it on disk.
func (c *core) reached(l *lead, group []uint64) int64 {
	var s []int64
	for _, id := range group {
		if id == c.self {
			s = append(s, l.selfS)
		} else if q := l.peers[id]; q != nil && q.live {
			s = append(s, q.acked)
		}
	}
	need := c.maxLost + 1
	if len(s) < need {
		return -1
	}
	slices.SortFunc(s, func(a, b int64) int { return cmp.Compare(b, a) })
	return s[need-1]
}

// advance commits what is on enough disks.
func (c *core) advance(p *part) {
	l := p.lead
	if l == nil || l.stage != ordering {
		return
	}
	n := c.reached(l, l.copies)
	if l.next != nil {
		m := c.reached(l, l.next)
		// Where so many copies are lost that nothing can be committed any more, the next group takes over what was: nothing
		// has been committed under this ballot then, and what was before is in the primary's state.
		if !l.nextReady && l.joined(c) && m >= max(l.commit, l.start) {
			l.nextReady = true
		}
		if l.nextReady {
			n = min(n, m)
		}
		if l.nextReady && !l.told {
			l.told = true
			c.ready(p.no, p.epoch)
		}
	}
	if n < l.start || l.selfS < 0 {
		return
	}
	if n > l.commit {
		l.commit = n
		commits.Inc()
		c.checkCommit(p, l.copies)
		if l.nextReady {
			c.checkCommit(p, l.next)
		}
	}
	for len(l.pend) > 0 && l.pend[0].seq <= l.commit {
		done := l.pend[0].done
		l.pend = l.pend[1:]
		done(true)
		if p.lead != l {
			return
		}
	}
	if !l.active {
		l.active = true
		c.activate(p)
	}
}

// joined tells whether all of the next group that are to join it have all.
func (l *lead) joined(c *core) bool {
	for _, id := range l.next {
		if id == c.self || slices.Contains(l.copies, id) {
			continue
		}
		if q := l.peers[id]; q == nil || !q.live || q.acked < max(l.commit, l.start) {
			return false
		}
	}
	return true
}
