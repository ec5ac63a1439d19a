package batch

import (
	"slices"

	"dunetide/internal/platform/link"
)

// What workers say, and what they have in hand.

// worker is a proxy that runs items.
type worker struct {
	pipe  Pipe
	name  string
	zone  string
	limit int
	held  map[itemKey]bool
	holds map[int]hold // what it says it has in hand, of parts that this store does not lead yet
}

type hold struct {
	epoch uint64
	items []itemKey
}

type itemKey struct {
	part int
	job  string
	item int
}

func (c *core) workerMessage(pipe Pipe, kind link.Kind, body []byte) {
	r := link.Reader{B: body}
	w := c.workers[pipe]
	if kind == kAttach {
		c.attach(pipe, &r)
		return
	}
	if w == nil {
		return
	}
	k := itemKey{part: int(r.U32())}
	p := c.part(k.part)
	if r.Err != nil || p == nil {
		return
	}
	switch kind {
	case kHold:
		c.holding(p, w, &r)
	case kResult:
		k.job, k.item = r.String(), int(r.U32())
		givenUp := r.Bool()
		if text := r.Bytes(); r.Err == nil {
			c.result(p, w, k, givenUp, text)
		}
	case kCancelled:
		c.cancelled(p, w, r.String())
	case kPutBack:
		k.job, k.item = r.String(), int(r.U32())
		c.takeBack(w, k)
	}
}

// attach notes a worker, or another limit of it.
func (c *core) attach(pipe Pipe, r *link.Reader) {
	name, zone, limit := r.String(), r.String(), r.Int()
	if r.Err != nil {
		return
	}
	w := c.workers[pipe]
	if w == nil {
		w = &worker{pipe: pipe, held: map[itemKey]bool{}, holds: map[int]hold{}}
		c.workers[pipe] = w
		c.attached = append(c.attached, w)
	}
	w.name, w.zone, w.limit = name, zone, limit
}

// holding notes what a worker says that it has in hand of a part.
func (c *core) holding(p *part, w *worker, r *link.Reader) {
	epoch := r.U64()
	var all []itemKey
	for n := r.Count(8); n > 0; n-- {
		all = append(all, itemKey{p.no, r.String(), int(r.U32())})
	}
	if r.Err != nil {
		return
	}
	w.holds[p.no] = hold{epoch, all}
	if p.lead != nil && p.lead.active {
		c.claim(p, w)
	}
}

// cancelled is a worker's word that nothing of a job starts there any more.
func (c *core) cancelled(p *part, w *worker, job string) {
	for k := range w.held {
		if k.part == p.no && k.job == job {
			c.takeBack(w, k)
		}
	}
	c.ends = slices.DeleteFunc(c.ends, func(e *ending) bool {
		if e.part != p || e.job != job {
			return false
		}
		delete(e.waiting, w)
		if len(e.waiting) == 0 {
			e.reply()
		}
		return len(e.waiting) == 0
	})
}

// claim notes what a worker has in hand of a part that is led here now.
func (c *core) claim(p *part, w *worker) {
	h, said := w.holds[p.no]
	if !said || h.epoch > p.epoch {
		return
	}
	if !c.sure(p.lead) { // one that was replaced would take from the worker what its successor handed out
		c.confirm(p)
		if !c.sure(p.lead) {
			return // countConfirmed comes back
		}
	}
	delete(w.holds, p.no)
	for _, k := range h.items {
		j := p.jobs[k.job]
		if j == nil || j.ended || k.item < 0 || k.item >= len(j.items) {
			c.cancel(w, p.no, k.job)
			continue
		}
		if it := &j.items[k.item]; it.state == itemHanded && it.by != w && c.disconnected[it.by] != 0 {
			c.takeBack(it.by, k)
		}
		switch it := &j.items[k.item]; {
		case it.state == itemWaiting && j.queued:
			c.hand(p, j, k.item, w)
		case it.state == itemListed:
			p.lead.pend = append(p.lead.pend, pending{int64(p.lead.seq), func(ok bool) {
				if ok {
					c.listed(w, k)
				}
			}})
		}
	}
	var b link.Writer
	b.U32(uint32(p.no))
	b.U64(h.epoch)
	_ = w.pipe.Send(kHeld, b.B)
	c.advance(p)
}

func (c *core) listed(w *worker, k itemKey) {
	var b link.Writer
	b.U32(uint32(k.part))
	b.String(k.job)
	b.U32(uint32(k.item))
	_ = w.pipe.Send(kListed, b.B)
}

// result is the text of an item. The first one counts.
func (c *core) result(p *part, w *worker, k itemKey, givenUp bool, text []byte) {
	l := p.lead
	if l == nil || !l.active {
		return // it comes again to whoever leads
	}
	j := p.jobs[k.job]
	if j == nil || j.ended || k.item < 0 || k.item >= len(j.items) {
		delete(w.held, k)
		c.listed(w, k)
		return
	}
	it := &j.items[k.item]
	if it.state == itemListed {
		l.pend = append(l.pend, pending{int64(l.seq), func(ok bool) {
			if ok {
				delete(w.held, k)
				c.listed(w, k)
			}
		}})
		c.advance(p)
		return
	}
	c.list(p, j, k.item, givenUp, text, func(ok bool) {
		delete(w.held, k)
		if ok {
			c.listed(w, k)
		}
	})
}

func (c *core) list(p *part, j *job, no int, givenUp bool, text []byte, done func(bool)) {
	it := &j.items[no]
	if it.by != nil {
		delete(it.by.held, itemKey{p.no, j.id, no})
		it.by = nil
	}
	tokens := it.tokens
	c.order(p, encodeList(j.id, no, givenUp, text), func(ok bool) {
		if ok {
			j.visible++
			itemsListed.Inc()
			checkVisible(j)
			if !j.endSeen {
				c.usageChange(p, j.route, -tokens)
			}
			c.wakeReaders(p, j)
		}
		done(ok)
	})
}

// pipeClosed is the event of the end of a connection that others opened to this store.
func (c *core) pipeClosed(pipe Pipe) {
	w := c.workers[pipe]
	if w == nil {
		return
	}
	delete(c.workers, pipe)
	c.attached = slices.DeleteFunc(c.attached, func(v *worker) bool { return v == w })
	// A link may break while its worker runs on: it comes back and says what it has in hand.
	if len(w.held) > 0 {
		c.disconnected[w] = c.now + reconnectWaitMs
	}
	c.ends = slices.DeleteFunc(c.ends, func(e *ending) bool {
		if !e.waiting[w] {
			return false
		}
		// It is not known to have let go. It stops by itself when it hears nothing; so the end waits for its time.
		return false
	})
	c.dispatch()
}

// takeBackFromLost takes back what workers had in hand that have not come back.
func (c *core) takeBackFromLost() {
	for w, until := range c.disconnected {
		if c.now < until && len(w.held) > 0 {
			continue
		}
		delete(c.disconnected, w)
		for k := range w.held {
			c.takeBack(w, k)
		}
	}
}
