package batch

import (
	"cmp"
	"slices"

	"dunetide/internal/link"
	"dunetide/internal/operator"
)

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
	no := c.table.PartOf(id)
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

// enqueue puts a job among those with items to hand out.
func (c *core) enqueue(j *job) {
	if j.ended || j.queued {
		return
	}
	j.waiting, j.next = 0, 0
	for i := range j.items {
		if j.items[i].state == itemWaiting {
			j.waiting++
		}
	}
	if len(j.results) == len(j.items) {
		return
	}
	j.queued = true
	due := func(j *job) int64 { return j.sentMs + j.dueMs }
	at, _ := slices.BinarySearchFunc(c.open, j, func(a, b *job) int {
		if d := cmp.Compare(due(a), due(b)); d != 0 {
			return d
		}
		return cmp.Compare(a.id, b.id)
	})
	c.open = slices.Insert(c.open, at, j)
}

// dispatch hands out items: earliest due first, to the workers with most room, those of the own zone first.
func (c *core) dispatch() {
	if len(c.open) == 0 || len(c.attached) == 0 {
		return
	}
	c.open = slices.DeleteFunc(c.open, func(j *job) bool {
		if j.dropping || j.ended || !j.queued || len(j.results) == len(j.items) {
			j.queued = false
			return true
		}
		return false
	})
	for _, j := range c.open {
		if j.waiting == 0 {
			continue
		}
		p := c.part(c.table.PartOf(j.id))
		if p.lead == nil || !p.lead.active || c.now < p.lead.handAt {
			continue
		}
		if !c.sure(p.lead) {
			if p.lead.asked+100 < c.now {
				c.confirm(p)
			}
			if !c.sure(p.lead) {
				continue
			}
		}
		for i := j.next; i < len(j.items); i++ {
			if j.items[i].state != itemWaiting {
				if i == j.next {
					j.next++
				}
				continue
			}
			w := c.pick()
			if w == nil {
				return
			}
			c.give(p, j, i, w)
		}
	}
}

func (c *core) pick() (best *worker) {
	for _, w := range c.attached {
		free := w.limit - len(w.held)
		if free <= 0 {
			continue
		}
		if best == nil || (w.zone == c.zone) != (best.zone == c.zone) {
			if best == nil || w.zone == c.zone {
				best = w
			}
			continue
		}
		if free > best.limit-len(best.held) {
			best = w
		}
	}
	return best
}

func (c *core) give(p *part, j *job, no int, w *worker) {
	it := &j.items[no]
	seg, err := c.segment(j, no)
	if err != nil {
		c.log("reading an item of job %s: %v", j.id, err)
		return
	}
	c.hand(p, j, no, w)
	b := link.Writer{B: make([]byte, 0, len(seg)+200)}
	b.U32(uint32(p.no))
	b.U64(p.epoch)
	b.String(j.id)
	b.U32(uint32(no))
	b.Int(int(j.sentMs + j.dueMs))
	b.Int(j.tries)
	b.String(j.route)
	b.String(j.host)
	b.String(it.id)
	b.Int(int(it.tokens))
	b.Bytes(seg)
	_ = w.pipe.Send(kGive, b.B)
}

func (c *core) hand(p *part, j *job, no int, w *worker) {
	j.items[no].state, j.items[no].by = itemHanded, w
	j.waiting--
	w.held[itemKey{p.no, j.id, no}] = true
}

// takeBack makes an item that a worker had in hand wait again.
func (c *core) takeBack(w *worker, k itemKey) {
	delete(w.held, k)
	j := c.part(k.part).jobs[k.job]
	if j == nil || k.item < 0 || k.item >= len(j.items) {
		return
	}
	if it := &j.items[k.item]; it.state == itemHanded && it.by == w {
		it.state, it.by = itemWaiting, nil
		j.waiting++
		j.next = min(j.next, k.item)
	}
}

func (c *core) workerMessage(pipe Pipe, kind link.Kind, body []byte) {
	r := link.Reader{B: body}
	w := c.workers[pipe]
	if kind == kAttach {
		name, zone, limit := r.String(), r.String(), r.Int()
		if r.Err != nil {
			return
		}
		if w == nil {
			w = &worker{pipe: pipe, held: map[itemKey]bool{}, holds: map[int]hold{}}
			c.workers[pipe] = w
			c.attached = append(c.attached, w)
		}
		w.name, w.zone, w.limit = name, zone, limit
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
		epoch := r.U64()
		var all []itemKey
		for n := r.Count(8); n > 0; n-- {
			all = append(all, itemKey{k.part, r.String(), int(r.U32())})
		}
		if r.Err != nil {
			return
		}
		w.holds[k.part] = hold{epoch, all}
		if p.lead != nil && p.lead.active {
			c.claim(p, w)
		}
	case kResult:
		k.job, k.item = r.String(), int(r.U32())
		givenUp := r.Bool()
		if text := r.Bytes(); r.Err == nil {
			c.result(p, w, k, givenUp, text)
		}
	case kCancelled:
		k.job = r.String()
		for h := range w.held {
			if h.part == k.part && h.job == k.job {
				c.takeBack(w, h)
			}
		}
		c.ends = slices.DeleteFunc(c.ends, func(e *ending) bool {
			if e.part != p || e.job != k.job {
				return false
			}
			delete(e.waiting, w)
			if len(e.waiting) == 0 {
				e.reply()
			}
			return len(e.waiting) == 0
		})
	case kPutBack:
		k.job, k.item = r.String(), int(r.U32())
		c.takeBack(w, k)
	}
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
		if it := &j.items[k.item]; it.state == itemHanded && it.by != w && c.limbo[it.by] != 0 {
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

// seen is how many results of a job may be read.
func (c *core) seen(j *job) int {
	return j.visible
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
		c.limbo[w] = c.now + limboMs
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

// tick is the event that time has passed.
func (c *core) tick() {
	if c.dead || c.table == nil {
		return
	}
	c.leaveLimbo()
	c.ends = slices.DeleteFunc(c.ends, func(e *ending) bool {
		if c.now < e.deadline {
			return false
		}
		e.reply()
		return true
	})
	for _, p := range c.parts {
		l := p.lead
		if l == nil {
			continue
		}
		readers := l.readers
		l.readers = nil
		for _, r := range readers {
			if c.now >= r.sureBy {
				r.from.Reply([]byte{codeUnavailable})
			} else {
				l.readers = append(l.readers, r)
			}
		}
		if len(l.readers) > 0 {
			c.confirm(p)
		}
	}
	c.quotaTick()
	if c.now >= c.nextWork {
		c.nextWork = c.now + 500
		c.checkStopping()
		c.ages()
		c.keepSpace()
	}
	for _, p := range c.parts {
		if p.lead == nil {
			continue
		}
		var due []string
		for id, j := range p.jobs {
			if slices.ContainsFunc(j.readers, func(r reader) bool { return c.now >= r.deadline }) {
				due = append(due, id)
			}
		}
		slices.Sort(due)
		for _, id := range due {
			if j := p.jobs[id]; j != nil && p.lead != nil {
				c.wakeReaders(p, j)
			}
		}
	}
	c.dispatch()
}

// ages gives up and drops what is too old, and tells again of groups that are ready.
func (c *core) ages() {
	for _, p := range c.parts {
		l := p.lead
		if l != nil && l.nextReady {
			c.ready(p.no, p.epoch)
		}
		if l == nil || !l.active {
			continue
		}
		c.keepSure(p)
		for _, id := range sortedKeys(p.jobs) {
			j := p.jobs[id]
			if j == nil || !j.committed {
				continue
			}
			age := c.wall - j.sentMs
			if !j.open() {
				if age > c.keep+dropMarginMs && (j.ended && j.endSeen || j.visible == len(j.items)) && !j.dropping {
					j.dropping = true
					c.order(p, encodeNamed(opDrop, id), func(bool) {})
				}
				continue
			}
			if j.maxWaitMs > 0 && age > j.maxWaitMs+giveUpMargin || c.routeGone(j) {
				for i := range j.items {
					if j.items[i].state != itemListed {
						k := itemKey{p.no, id, i}
						w := j.items[i].by
						c.list(p, j, i, true, nil, func(ok bool) {
							if w != nil && c.workers[w.pipe] == w {
								c.listed(w, k)
							}
						})
					}
				}
			}
		}
	}
}

// keepSure confirms again and again that this store leads while workers run items of the part, and holds them back when that
// can't be said: an end that a successor acknowledged would not reach them.
func (c *core) keepSure(p *part) {
	l := p.lead
	var running []*worker
	for _, w := range c.attached {
		for k := range w.held {
			if k.part == p.no {
				running = append(running, w)
				break
			}
		}
	}
	if len(running) == 0 {
		return
	}
	c.confirm(p)
	sure := c.now-l.confirmed <= 1500
	if sure == !l.unsure {
		return
	}
	l.unsure = !sure
	for _, w := range running {
		var b link.Writer
		b.U32(uint32(p.no))
		if sure {
			b.U64(0)
			_ = w.pipe.Send(kHeld, b.B)
		} else {
			_ = w.pipe.Send(kUnsure, b.B)
		}
	}
}

// routeGone tells whether the configuration has no route any more that a job came by.
func (c *core) routeGone(j *job) bool {
	if c.config == nil || c.config.Version < j.version {
		return false
	}
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		if r.Kind == operator.Bulk && (r.Name == j.route || r.Host == j.host && r.PathStart == j.pathStart) {
			return false
		}
	}
	return true
}

// leaveLimbo takes back what workers had in hand that have not come back.
func (c *core) leaveLimbo() {
	for w, until := range c.limbo {
		if c.now < until && len(w.held) > 0 {
			continue
		}
		delete(c.limbo, w)
		for k := range w.held {
			c.takeBack(w, k)
		}
	}
}

// busy tells whether somebody waits for a time to come.
func (c *core) busy() bool {
	if len(c.ends)+len(c.limbo) > 0 {
		return true
	}
	for _, p := range c.parts {
		l := p.lead
		if l == nil {
			continue
		}
		if len(l.readers)+len(l.reserves) > 0 || l.active && c.now < l.handAt {
			return true
		}
		for _, a := range l.accts {
			if len(a.held) > 0 {
				return true
			}
		}
		for _, u := range l.usage {
			if u.changed {
				return true
			}
		}
	}
	for _, j := range c.open {
		if len(j.readers) > 0 {
			return true
		}
	}
	return false
}
