package batch

import (
	"fmt"
	"slices"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// promise is what clients know of a job.
type promise struct {
	id        string
	items     []string
	tokens    []int64
	slow      float64 // ms that an item takes besides
	tries     int
	refused   int // answers of 429 or 503
	takenAt   int64
	taken     bool
	endAsked  bool
	endedAt   int64
	ended     bool
	positions map[int]string // what was read
	readAt    map[int]int64
	ran       map[string]bool // items that a worker began
	finished  map[string]bool // items that a worker ended
}

// simWorker is a proxy: it runs items and lets clients in.
type simWorker struct {
	w     *world
	name  string
	pipes map[uint64]*simPipe
	table *snapshot.PartitionTable
	held  map[itemKey]*simRun
	parts map[int]*simHold
	runs  int
	late  float64 // tables come that many ms later
}

type simHold struct {
	pipe  *simPipe
	epoch uint64
	noted bool

	unsure bool
}

type simRun struct {
	text string
	done bool
}

func (w *world) addWorker(name string) *simWorker {
	k := &simWorker{w: w, name: name, pipes: map[uint64]*simPipe{}, held: map[itemKey]*simRun{}, parts: map[int]*simHold{}}
	w.works = append(w.works, k)
	k.table = w.table
	k.dial()
	return k
}

func (k *simWorker) take(t *snapshot.PartitionTable) {
	if k.table == nil || t.Version > k.table.Version {
		k.table = t
		k.hold()
	}
}

func (k *simWorker) dial() {
	w := k.w
	if k.table != nil {
		for _, id := range sortedIDs(k.table.Stores) {
			o := w.store(k.table.Stores[id].Name)
			if p := k.pipes[id]; p != nil && p.open || o == nil || o.core == nil || o.core.self != id || o.frozen || w.isCut(k.name, o.name) {
				continue
			}
			p := w.connect(k.name, o.name, k.receive, o.receive(o.life))
			p.closed = func(*simPipe) {}
			olife := o.life
			p.peer.closed = func(q *simPipe) { o.do(olife, func() { o.core.connectionClosed(q) }) }
			k.pipes[id] = p
			var b link.Writer
			b.String(k.name)
			b.String("z0")
			b.Int(3)
			_ = p.Send(kindAttachWorker, b.Buf)
		}
		k.hold()
	}
	w.after(60, k.dial)
}

func (k *simWorker) hold() {
	if k.table == nil {
		return
	}
	for no := range k.table.Partitions {
		row := &k.table.Partitions[no]
		h := k.parts[no]
		if h != nil && h.epoch > row.Epoch {
			continue
		}
		if p := k.pipes[row.Primary]; p != nil && p.open && (h == nil || h.pipe != p || h.epoch < row.Epoch) {
			k.holdPart(no, p, row.Epoch)
		}
	}
}

func (k *simWorker) holdPart(no int, p *simPipe, epoch uint64) {
	k.parts[no] = &simHold{pipe: p, epoch: epoch}
	var b link.Writer
	b.U32(uint32(no))
	b.U64(epoch)
	var keys []itemKey
	for _, key := range k.keys() {
		if key.partition == no {
			keys = append(keys, key)
		}
	}
	b.U32(uint32(len(keys)))
	for _, key := range keys {
		b.String(key.jobID)
		b.U32(uint32(key.index))
	}
	_ = p.Send(kindReportRunning, b.Buf)
}

func compareKeys(a, b itemKey) int {
	if a.jobID != b.jobID {
		if a.jobID < b.jobID {
			return -1
		}
		return 1
	}
	return a.index - b.index
}

func (k *simWorker) receive(p *simPipe, _ Caller, kind link.Kind, body []byte) {
	w := k.w
	r := link.Reader{Buf: body}
	key := itemKey{partition: int(r.U32())}
	switch kind {
	case kindAssignItem:
		epoch := r.U64()
		key.jobID, key.index = r.String(), int(r.U32())
		h := k.parts[key.partition]
		if h != nil && h.epoch > epoch && h.pipe != p {
			var b link.Writer
			b.U32(uint32(key.partition))
			b.String(key.jobID)
			b.U32(uint32(key.index))
			_ = p.Send(kindReturnItem, b.Buf)
			return
		}
		if h != nil && h.pipe == p {
			h.unsure = false
		}
		run := k.held[key]
		fresh := run == nil
		if fresh {
			run = &simRun{}
			k.held[key] = run
		}
		if h == nil {
			k.parts[key.partition] = &simHold{pipe: p, epoch: epoch, noted: true}
		} else if h.pipe != p || h.epoch < epoch {
			k.holdPart(key.partition, p, epoch)
		}
		if !fresh {
			if run.done {
				k.report(p, key, run)
			}
			return
		}
		w.after(w.rng.Float64()*60, func() { k.begin(key, run) })
	case kindRunningNoted:
		epoch := r.U64()
		if h := k.parts[key.partition]; h != nil && h.pipe == p && (h.epoch == epoch || epoch == 0) {
			h.noted, h.unsure = true, false
			for _, key := range k.keys() {
				if key.partition == int(h2part(body)) && k.held[key].done {
					k.report(p, key, k.held[key])
				}
			}
		}
	case kindPauseStarts:
		if h := k.parts[key.partition]; h != nil && h.pipe == p {
			h.unsure = true
		}
	case kindResultStored:
		key.jobID, key.index = r.String(), int(r.U32())
		delete(k.held, key)
	case kindCancelJob:
		key.jobID = r.String()
		if h := k.parts[key.partition]; h != nil && h.pipe != p {
			return
		}
		for _, h := range k.keys() {
			if h.partition == key.partition && h.jobID == key.jobID {
				delete(k.held, h)
			}
		}
		_ = p.Send(kindJobCancelled, body)
	}
}

func h2part(body []byte) uint32 { r := link.Reader{Buf: body}; return r.U32() }

func (k *simWorker) keys() []itemKey {
	var keys []itemKey
	for key := range k.held {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// begin sends an item to an endpoint.
func (k *simWorker) begin(key itemKey, run *simRun) {
	w := k.w
	if k.held[key] != run {
		return
	}
	h := k.parts[key.partition]
	if h == nil || !h.noted || h.unsure || !h.pipe.open {
		w.after(50, func() { k.begin(key, run) })
		return
	}
	j := w.jobs[key.jobID]
	if j == nil {
		w.fault("an item of a job that nobody sent runs: %v", key)
		return
	}
	item := j.items[key.index]
	j.ran[item] = true
	if j.tries > 0 && j.refused == j.tries {
		w.fault("%s runs, and all %d tries of its job were refused", item, j.tries)
	}
	if j.ended && w.ms() > j.endedAt+3000 {
		w.fault("%s begins %d ms after the end of its job was acknowledged", item, w.ms()-j.endedAt)
	}
	k.runs++
	text := fmt.Sprintf("%s by %s run %d", item, k.name, k.runs)
	w.after(w.rng.Float64()*80+j.slow, func() {
		if k.held[key] != run {
			return
		}
		j.finished[item] = true
		run.text, run.done = text, true
		if h := k.parts[key.partition]; h != nil && h.noted {
			k.report(h.pipe, key, run)
		}
	})
}

func (k *simWorker) report(p *simPipe, key itemKey, run *simRun) {
	var b link.Writer
	b.U32(uint32(key.partition))
	b.String(key.jobID)
	b.U32(uint32(key.index))
	b.Bool(false)
	b.Bytes([]byte(run.text))
	_ = p.Send(kindItemResult, b.Buf)
}

// reply is a call of a client; it is answered once, or cut.
type reply struct {
	w    *world
	fn   func([]byte)
	done bool
}

func (r *reply) Reply(b []byte) {
	if r.done {
		return
	}
	r.done = true
	b = slices.Clone(b)
	r.w.after(r.w.delay(), func() { r.fn(b) })
}

// call calls the primary of a job's part through a worker's connections; nil: no answer. It gives up after so many ms.
func (k *simWorker) call(job string, kind link.Kind, body []byte, ms float64, fn func(b []byte, sent bool)) {
	w := k.w
	no := k.table.PartitionOf(job)
	if no < 0 {
		fn(nil, false)
		return
	}
	p := k.pipes[k.table.Partitions[no].Primary]
	if p == nil || !p.open {
		fn(nil, false)
		return
	}
	over := false
	r := &reply{w: w, fn: func(b []byte) {
		if over {
			return
		}
		over = true
		if w.isCut(k.name, p.to) || !p.open {
			b = nil
		}
		fn(b, true)
	}}
	_ = p.call(r, kind, body)
	w.after(ms, func() {
		if !over {
			over = true
			fn(nil, true)
		}
	})
}

// newJob is a job that clients will send.
func (w *world) newJob(id string, tokens ...int64) *promise {
	j := &promise{id: id, tokens: tokens, positions: map[int]string{}, readAt: map[int]int64{}, ran: map[string]bool{}, finished: map[string]bool{}}
	for i := range tokens {
		j.items = append(j.items, fmt.Sprintf("%s.%d", id, i))
	}
	w.jobs[id] = j
	w.names = append(w.names, id)
	return j
}

func (w *world) encode(j *promise) []byte {
	r := w.config.Routes[0]
	out := &Job{ID: j.id, Route: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, SentMs: w.ms(), DueMs: 1000, MaxAttempts: 2, MaxQueuedTokens: w.most, ConfigVersion: 1}
	for i, id := range j.items {
		out.Items = append(out.Items, JobItem{ID: id, Path: "/b/1", Body: []byte("body of " + id), Tokens: j.tokens[i]})
	}
	return out.encode()
}

// send hands a job in, once.
func (k *simWorker) send(j *promise, then func(code uint8)) {
	w := k.w
	j.tries++
	k.call(j.id, kindAcceptJob, w.encode(j), 1500, func(b []byte, sent bool) {
		code := codeUnknown
		if len(b) > 0 {
			code = b[0]
		} else if !sent {
			code = codeUnavailable
		}
		switch code {
		case codeOK:
			if !j.taken {
				j.taken, j.takenAt = true, w.ms()
				w.countQuota()
			}
		case codeQuotaFull, codeUnavailable:
			j.refused++
			if j.refused == j.tries && len(j.ran) > 0 {
				w.fault("job %s ran and all its tries were refused", j.id)
			}
		}
		if then != nil {
			then(code)
		}
	})
}

// countQuota checks the tokens at a 202.
func (w *world) countQuota() {
	var sum int64
	for _, j := range w.jobs {
		if !j.taken || j.endAsked {
			continue
		}
		for i, id := range j.items {
			if !j.finished[id] {
				sum += j.tokens[i]
			}
		}
	}
	if w.most > 0 && sum > w.most {
		w.fault("%d tokens wait, over %d", sum, w.most)
	}
}

// insist sends a job until it is taken or so many tries are over, at workers in turn.
func (w *world) insist(j *promise, tries int) {
	k := w.works[w.rng.IntN(len(w.works))]
	k.send(j, func(code uint8) {
		if code != codeOK && tries > 1 {
			w.after(100+w.rng.Float64()*100, func() { w.insist(j, tries-1) })
		}
	})
}

// read reads a job and checks the answer.
func (k *simWorker) read(j *promise, after int, wait int64, then func(ok bool)) {
	w := k.w
	var b link.Writer
	b.String(j.id)
	b.Int(after)
	b.Int(int(wait))
	k.call(j.id, kindReadResults, b.Buf, float64(wait)+1200, func(b []byte, _ bool) {
		r := link.Reader{Buf: b}
		ok := false
		switch r.U8() {
		case codeNotFound:
			if j.taken && w.ms() > j.takenAt+1000 {
				w.fault("404 for job %s, taken %d ms ago", j.id, w.ms()-j.takenAt)
			}
		case codeOK:
			ok = true
			if total := int(r.U32()); total != len(j.items) {
				w.fault("job %s: total is %d", j.id, total)
			}
			n := r.Count(9)
			seen := map[string]int{}
			for pos, what := range j.positions {
				seen[idOf(what)] = pos
			}
			for i := range n {
				id, _ := r.String(), r.Bool()
				what := id + "=" + string(r.Bytes())
				pos := after + i
				if old, ok := j.positions[pos]; ok && old != what {
					w.fault("job %s: position %d was %q and is %q", j.id, pos, old, what)
				}
				if p, ok := seen[id]; ok && p != pos {
					w.fault("job %s: %s stands at %d and at %d", j.id, id, p, pos)
				}
				seen[id] = pos
				if !slices.Contains(j.items, id) {
					w.fault("job %s lists %s", j.id, id)
				}
				if _, ok := j.positions[pos]; !ok {
					j.positions[pos], j.readAt[pos] = what, w.ms()
				}
			}
			if at, ok := j.readAt[after]; ok && n == 0 && w.ms() > at+1000 {
				w.fault("job %s: nothing at position %d, which was read %d ms ago", j.id, after, w.ms()-at)
			}
		}
		if then != nil {
			then(ok)
		}
	})
}

func idOf(what string) string {
	for i := range what {
		if what[i] == '=' {
			return what[:i]
		}
	}
	return what
}

// follow reads a job over and over.
func (w *world) follow(j *promise, until int64) {
	if w.ms() > until {
		return
	}
	k := w.works[w.rng.IntN(len(w.works))]
	after := 0
	if n := len(j.positions); n > 0 {
		after = w.rng.IntN(n + 1)
	}
	k.read(j, after, int64(w.rng.IntN(300)), nil)
	w.after(60+w.rng.Float64()*100, func() { w.follow(j, until) })
}

// end ends a job, until it is acknowledged.
func (w *world) end(j *promise) {
	k := w.works[w.rng.IntN(len(w.works))]
	j.endAsked = true
	var b link.Writer
	b.String(j.id)
	k.call(j.id, kindEndJob, b.Buf, 1500, func(b []byte, _ bool) {
		if len(b) > 0 && b[0] == codeOK {
			if !j.ended {
				j.ended, j.endedAt = true, w.ms()
			}
			return
		}
		if len(b) > 0 && b[0] == codeNotFound && j.taken && w.ms() > j.takenAt+1000 {
			w.fault("404 at the end of job %s", j.id)
		}
		w.after(100, func() { w.end(j) })
	})
}

// settle heals everything and checks that all that was promised is there.
func (w *world) settle(ms int64) {
	w.cut, w.slow = nil, nil
	for _, s := range w.stores {
		if s.frozen {
			s.frozen = false
			all := s.waiting
			s.waiting = nil
			for _, fn := range all {
				fn()
			}
		}
		s.deaf = false
		s.boot()
	}
	w.run(ms)
	for _, id := range w.names {
		j := w.jobs[id]
		if !j.taken {
			continue
		}
		read, had := false, len(j.positions)
		w.works[0].read(j, 0, 0, func(ok bool) { read = ok })
		w.run(1500)
		if !read {
			w.fault("job %s can't be read at the end", id)
			continue
		}
		if len(j.positions) < had {
			w.fault("job %s has lost positions", id)
		}
		if !j.endAsked && len(j.positions) < len(j.items) {
			w.fault("job %s: %d of %d items are done at the end", id, len(j.positions), len(j.items))
		}
		w.served += len(j.positions)
		var b link.Writer
		b.String(id)
		b.String(j.items[0])
		body := ""
		w.works[0].call(id, kindReadItemBody, b.Buf, 1000, func(b []byte, _ bool) { body = string(b) })
		w.run(1500)
		if want := string([]byte{codeOK}) + "body of " + j.items[0]; body != want {
			w.fault("job %s: body %q", id, body)
		}
	}
}
