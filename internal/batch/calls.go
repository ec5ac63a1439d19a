package batch

import "dunetide/internal/platform/link"

// Calls of clients, as edges pass them on.

type reader struct {
	from     Caller
	job      string
	body     string // the item whose body is wanted
	after    int
	deadline int64 // of a held read
	sureBy   int64 // of the confirmation
	isBody   bool
	isEnd    bool
}

type ending struct {
	part     *part
	job      string
	from     []Caller
	waiting  map[*worker]bool
	deadline int64
}

// message is the event of any message: m is its call, nil if no reply is awaited.
func (c *core) message(pipe Pipe, m Caller, kind link.Kind, body []byte) {
	if c.dead {
		return
	}
	switch {
	case kind >= kAsk:
		c.storeMessage(pipe, kind, body)
	case kind >= kAttach:
		c.workerMessage(pipe, kind, body)
	case m != nil:
		c.call(m, kind, body)
	}
	c.dispatch()
}

func (c *core) call(m Caller, kind link.Kind, body []byte) {
	r := link.Reader{B: body}
	id := r.String()
	no := c.table.PartitionOf(id)
	if r.Err != nil || no < 0 {
		m.Reply([]byte{codeUnavailable})
		return
	}
	p := c.part(no)
	if p.lead == nil || !p.lead.active {
		m.Reply([]byte{codeUnavailable})
		return
	}
	switch kind {
	case kAccept:
		c.accept(p, id, body, m)
	case kRead:
		after, wait := r.Int(), int64(r.Int())
		if r.Err != nil || after < 0 {
			m.Reply([]byte{codeUnavailable})
			return
		}
		c.read(p, reader{from: m, job: id, after: after, deadline: c.now + wait, sureBy: c.now + wait + confirmWaitMs})
	case kBody:
		c.read(p, reader{from: m, job: id, body: r.String(), isBody: true, sureBy: c.now + confirmWaitMs})
	case kEnd:
		c.end(p, id, m)
	default:
		m.Reply([]byte{codeUnavailable})
	}
}

func (c *core) accept(p *part, id string, enc []byte, m Caller) {
	l := p.lead
	if j := p.jobs[id]; j != nil {
		if j.committed {
			m.Reply([]byte{codeOK})
			return
		}
		l.pend = append(l.pend, pending{int64(l.seq), c.takenOrUnknown(m)})
		return
	}
	if in := l.incoming[id]; in != nil {
		in.from = append(in.from, m)
		return
	}
	j, err := decodeJob(enc, 0)
	if c.stopping || err != nil {
		m.Reply([]byte{codeUnavailable})
		return
	}
	if !c.hasRoom(len(enc)) || l.copyFull() {
		m.Reply([]byte{codeNoRoom})
		return
	}
	in := &incoming{enc: enc, id: id, route: j.route, tokens: j.tokens(), most: j.maxQueued, from: []Caller{m}}
	if j.maxQueued <= 0 {
		c.take(p, in)
		return
	}
	if in.tokens > j.maxQueued {
		m.Reply([]byte{codeFull})
		return
	}
	l.incoming[id] = in
	c.askTokens(p, in)
}

func (c *core) takenOrUnknown(m Caller) func(bool) {
	return func(ok bool) {
		if ok {
			m.Reply([]byte{codeOK})
		} else {
			m.Reply([]byte{codeUnknown})
		}
	}
}

// take orders a job whose tokens are granted. From here on it may be kept, whatever becomes of this store.
func (c *core) take(p *part, in *incoming) {
	c.usageChange(p, in.route, in.tokens)
	from := in.from
	op := append([]byte{opAccept}, in.enc...)
	c.order(p, op, func(ok bool) {
		if ok {
			if j := p.jobs[in.id]; j != nil {
				j.committed = true
				c.enqueue(j)
			}
		}
		for _, m := range from {
			c.takenOrUnknown(m)(ok)
		}
	})
}

// read answers a read, now or when there is something, and only when this store is sure to be the primary.
func (c *core) read(p *part, r reader) {
	l := p.lead
	j := p.jobs[r.job]
	if j != nil && !j.committed {
		j = nil
	}
	if j != nil && r.isEnd {
		c.end(p, r.job, r.from)
		return
	}
	if !r.isBody && j != nil && r.after >= c.seen(j) && c.now < r.deadline && c.seen(j) < len(j.items) && !j.endSeen {
		j.readers = append(j.readers, r)
		return
	}
	if !c.sure(l) {
		if c.now >= r.sureBy {
			r.from.Reply([]byte{codeUnavailable})
			return
		}
		l.readers = append(l.readers, r)
		c.confirm(p)
		return
	}
	if j == nil {
		r.from.Reply([]byte{codeNone})
		return
	}
	if r.isBody {
		c.readBody(j, r)
		return
	}
	w := link.Writer{B: make([]byte, 0, 512)}
	w.U8(codeOK)
	w.U32(uint32(len(j.items)))
	last, size := r.after, 0
	for last < c.seen(j) && (last == r.after || size+j.results[last].n < readBytes) {
		size += j.results[last].n + 100
		last++
	}
	w.U32(uint32(max(0, last-r.after)))
	for i := r.after; i < last; i++ {
		res := j.results[i]
		text, err := c.text(res)
		if err != nil {
			c.log("reading a result of job %s: %v", j.id, err)
			r.from.Reply([]byte{codeUnavailable})
			return
		}
		w.String(j.items[res.item].id)
		w.Bool(res.givenUp)
		w.Bytes(text)
	}
	r.from.Reply(w.B)
}

func (c *core) readBody(j *job, r reader) {
	for i := range j.items {
		if j.items[i].id != r.body {
			continue
		}
		seg, err := c.segment(j, i)
		if err == nil {
			var body []byte
			if _, _, body, err = decodeSegment(seg); err == nil {
				r.from.Reply(append([]byte{codeOK}, body...))
				return
			}
		}
		c.log("reading an item of job %s: %v", j.id, err)
		r.from.Reply([]byte{codeUnavailable})
		return
	}
	r.from.Reply([]byte{codeNone})
}

// end ends a job: nothing of it is handed out from now on, and the workers let go of it before the answer.
func (c *core) end(p *part, id string, m Caller) {
	j := p.jobs[id]
	if j == nil || !j.committed {
		c.read(p, reader{from: m, job: id, isEnd: true, sureBy: c.now + confirmWaitMs}) // none, if that is sure
		return
	}
	e := &ending{part: p, job: id, from: []Caller{m}, waiting: map[*worker]bool{}}
	if j.endSeen {
		c.endWorkers(e)
		return
	}
	done := func(ok bool) {
		if !ok {
			m.Reply([]byte{codeUnavailable})
			return
		}
		c.endWorkers(e)
	}
	if j.ended { // on its way
		l := p.lead
		l.pend = append(l.pend, pending{int64(l.seq), done})
		return
	}
	c.order(p, encodeNamed(opEnd, id), func(ok bool) {
		if ok {
			j.endSeen = true
			c.usageChange(p, j.route, -j.tokens())
			c.wakeReaders(p, j)
		}
		done(ok)
	})
}

func (c *core) endWorkers(e *ending) {
	for _, w := range c.attached {
		for k := range w.held {
			if k.part == e.part.no && k.job == e.job {
				e.waiting[w] = true
				break
			}
		}
		c.cancel(w, e.part.no, e.job)
	}
	if len(e.waiting) == 0 {
		e.reply()
		return
	}
	e.deadline = c.now + cancelWaitMs
	c.ends = append(c.ends, e)
}

func (e *ending) reply() {
	for _, m := range e.from {
		m.Reply([]byte{codeOK})
	}
	e.from = nil
}

func (c *core) cancel(w *worker, part int, job string) {
	var b link.Writer
	b.U32(uint32(part))
	b.String(job)
	_ = w.pipe.Send(kCancel, b.B)
}

// wakeReaders answers those who wait for more of a job.
func (c *core) wakeReaders(p *part, j *job) {
	readers := j.readers
	j.readers = nil
	for _, r := range readers {
		c.read(p, r)
	}
}

// seen is how many results of a job may be read.
func (c *core) seen(j *job) int {
	return j.visible
}
