package batch

import (
	"fmt"
	"slices"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// clientJob is what clients know of a job.
type clientJob struct {
	id           string
	items        []string
	tokens       []int64
	extraMs      float64 // ms that an item takes besides
	attempts     int
	refusals     int // answers of 429 or 503
	acceptedAt   int64
	accepted     bool
	endRequested bool
	endedAt      int64
	ended        bool
	positions    map[int]string // what was read
	readAt       map[int]int64
	started      map[string]bool // items that a worker began
	finished     map[string]bool // items that a worker ended
}

// simWorker is a proxy: it runs items and lets clients in.
type simWorker struct {
	simulation   *simulation
	name         string
	pipes        map[uint64]*simPipe
	table        *snapshot.PartitionTable
	assigned     map[itemKey]*simRun
	contacts     map[int]*simContact
	runCount     int
	tableDelayMs float64 // tables come that many ms later
}

type simContact struct {
	pipe         *simPipe
	epoch        uint64
	runningNoted bool

	startsPaused bool
}

type simRun struct {
	text string
	done bool
}

func (w *simulation) addWorker(name string) *simWorker {
	k := &simWorker{simulation: w, name: name, pipes: map[uint64]*simPipe{}, assigned: map[itemKey]*simRun{}, contacts: map[int]*simContact{}}
	w.workers = append(w.workers, k)
	k.table = w.table
	k.connectStores()
	return k
}

func (k *simWorker) receiveTable(t *snapshot.PartitionTable) {
	if k.table == nil || t.Version > k.table.Version {
		k.table = t
		k.reportRunning()
	}
}

func (k *simWorker) connectStores() {
	w := k.simulation
	if k.table != nil {
		for _, id := range sortedIDs(k.table.Stores) {
			o := w.storeNamed(k.table.Stores[id].Name)
			if p := k.pipes[id]; p != nil && p.open || o == nil || o.core == nil || o.core.self != id || o.frozen || w.isCut(k.name, o.name) {
				continue
			}
			p := w.connect(k.name, o.name, k.receive, o.receiver(o.incarnation))
			p.closed = func(*simPipe) {}
			olife := o.incarnation
			p.peer.closed = func(q *simPipe) { o.runEvent(olife, func() { o.core.connectionClosed(q) }) }
			k.pipes[id] = p
			_ = p.Send(kindAttachWorker, encodeAttachWorker(k.name, "z0", 3))
		}
		k.reportRunning()
	}
	w.after(60, k.connectStores)
}

func (k *simWorker) reportRunning() {
	if k.table == nil {
		return
	}
	for no := range k.table.Partitions {
		row := &k.table.Partitions[no]
		h := k.contacts[no]
		if h != nil && h.epoch > row.Epoch {
			continue
		}
		if p := k.pipes[row.Primary]; p != nil && p.open && (h == nil || h.pipe != p || h.epoch < row.Epoch) {
			k.reportRunningOf(no, p, row.Epoch)
		}
	}
}

func (k *simWorker) reportRunningOf(no int, p *simPipe, epoch uint64) {
	k.contacts[no] = &simContact{pipe: p, epoch: epoch}
	var b link.Writer
	b.U32(uint32(no))
	b.U64(epoch)
	var keys []itemKey
	for _, key := range k.assignedKeys() {
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
	w := k.simulation
	r := link.Reader{Buf: body}
	key := itemKey{partition: int(r.U32())}
	switch kind {
	case kindAssignItem:
		epoch := r.U64()
		key.jobID, key.index = r.String(), int(r.U32())
		h := k.contacts[key.partition]
		if h != nil && h.epoch > epoch && h.pipe != p {
			var b link.Writer
			b.U32(uint32(key.partition))
			b.String(key.jobID)
			b.U32(uint32(key.index))
			_ = p.Send(kindReturnItem, b.Buf)
			return
		}
		if h != nil && h.pipe == p {
			h.startsPaused = false
		}
		run := k.assigned[key]
		fresh := run == nil
		if fresh {
			run = &simRun{}
			k.assigned[key] = run
		}
		if h == nil {
			k.contacts[key.partition] = &simContact{pipe: p, epoch: epoch, runningNoted: true}
		} else if h.pipe != p || h.epoch < epoch {
			k.reportRunningOf(key.partition, p, epoch)
		}
		if !fresh {
			if run.done {
				k.sendResult(p, key, run)
			}
			return
		}
		w.after(w.rng.Float64()*60, func() { k.startRun(key, run) })
	case kindRunningNoted:
		epoch := r.U64()
		if h := k.contacts[key.partition]; h != nil && h.pipe == p && (h.epoch == epoch || epoch == 0) {
			h.runningNoted, h.startsPaused = true, false
			for _, key := range k.assignedKeys() {
				if key.partition == int(partitionOfMessage(body)) && k.assigned[key].done {
					k.sendResult(p, key, k.assigned[key])
				}
			}
		}
	case kindPauseStarts:
		if h := k.contacts[key.partition]; h != nil && h.pipe == p {
			h.startsPaused = true
		}
	case kindResultStored:
		key.jobID, key.index = r.String(), int(r.U32())
		delete(k.assigned, key)
	case kindCancelJob:
		key.jobID = r.String()
		if h := k.contacts[key.partition]; h != nil && h.pipe != p {
			return
		}
		for _, h := range k.assignedKeys() {
			if h.partition == key.partition && h.jobID == key.jobID {
				delete(k.assigned, h)
			}
		}
		_ = p.Send(kindJobCancelled, body)
	}
}

func partitionOfMessage(body []byte) uint32 { r := link.Reader{Buf: body}; return r.U32() }

func (k *simWorker) assignedKeys() []itemKey {
	var keys []itemKey
	for key := range k.assigned {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// startRun sends an item to an endpoint.
func (k *simWorker) startRun(key itemKey, run *simRun) {
	w := k.simulation
	if k.assigned[key] != run {
		return
	}
	h := k.contacts[key.partition]
	if h == nil || !h.runningNoted || h.startsPaused || !h.pipe.open {
		w.after(50, func() { k.startRun(key, run) })
		return
	}
	j := w.jobs[key.jobID]
	if j == nil {
		w.violation("an item of a job that nobody sent runs: %v", key)
		return
	}
	item := j.items[key.index]
	j.started[item] = true
	if j.attempts > 0 && j.refusals == j.attempts {
		w.violation("%s runs, and all %d tries of its job were refused", item, j.attempts)
	}
	if j.ended && w.nowMs() > j.endedAt+3000 {
		w.violation("%s begins %d ms after the end of its job was acknowledged", item, w.nowMs()-j.endedAt)
	}
	k.runCount++
	text := fmt.Sprintf("%s by %s run %d", item, k.name, k.runCount)
	w.after(w.rng.Float64()*80+j.extraMs, func() {
		if k.assigned[key] != run {
			return
		}
		j.finished[item] = true
		run.text, run.done = text, true
		if h := k.contacts[key.partition]; h != nil && h.runningNoted {
			k.sendResult(h.pipe, key, run)
		}
	})
}

func (k *simWorker) sendResult(p *simPipe, key itemKey, run *simRun) {
	var b link.Writer
	b.U32(uint32(key.partition))
	b.String(key.jobID)
	b.U32(uint32(key.index))
	b.Bool(false)
	b.Bytes([]byte(run.text))
	_ = p.Send(kindItemResult, b.Buf)
}

// simCall is a call of a client; it is answered once, or cut.
type simCall struct {
	simulation *simulation
	handle     func([]byte)
	done       bool
}

func (r *simCall) Reply(b []byte) {
	if r.done {
		return
	}
	r.done = true
	b = slices.Clone(b)
	r.simulation.after(r.simulation.delay(), func() { r.handle(b) })
}

// call calls the primary of a job's part through a worker's connections; nil: no answer. It gives
// up after so many ms.
func (k *simWorker) call(job string, kind link.Kind, body []byte, ms float64, fn func(b []byte, sent bool)) {
	w := k.simulation
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
	r := &simCall{simulation: w, handle: func(b []byte) {
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
func (w *simulation) newJob(id string, tokens ...int64) *clientJob {
	j := &clientJob{id: id, tokens: tokens, positions: map[int]string{}, readAt: map[int]int64{}, started: map[string]bool{}, finished: map[string]bool{}}
	for i := range tokens {
		j.items = append(j.items, fmt.Sprintf("%s.%d", id, i))
	}
	w.jobs[id] = j
	w.jobIDs = append(w.jobIDs, id)
	return j
}

func (w *simulation) encodeJob(j *clientJob) []byte {
	r := w.config.Routes[0]
	out := &Job{ID: j.id, Route: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, SentMs: w.nowMs(), DueMs: 1000, MaxAttempts: 2, MaxQueuedTokens: w.maxQueuedTokens, ConfigVersion: 1}
	for i, id := range j.items {
		out.Items = append(out.Items, JobItem{ID: id, Path: "/b/1", Body: []byte("body of " + id), Tokens: j.tokens[i]})
	}
	return out.encode()
}

// submit hands a job in, once.
func (k *simWorker) submit(j *clientJob, then func(code uint8)) {
	w := k.simulation
	j.attempts++
	k.call(j.id, kindAcceptJob, w.encodeJob(j), 1500, func(b []byte, sent bool) {
		code := codeUnknown
		if len(b) > 0 {
			code = b[0]
		} else if !sent {
			code = codeUnavailable
		}
		switch code {
		case codeOK:
			if !j.accepted {
				j.accepted, j.acceptedAt = true, w.nowMs()
				w.checkQuota()
			}
		case codeQuotaFull, codeUnavailable:
			j.refusals++
			if j.refusals == j.attempts && len(j.started) > 0 {
				w.violation("job %s ran and all its tries were refused", j.id)
			}
		}
		if then != nil {
			then(code)
		}
	})
}

// checkQuota checks the tokens at a 202.
func (w *simulation) checkQuota() {
	var sum int64
	for _, j := range w.jobs {
		if !j.accepted || j.endRequested {
			continue
		}
		for i, id := range j.items {
			if !j.finished[id] {
				sum += j.tokens[i]
			}
		}
	}
	if w.maxQueuedTokens > 0 && sum > w.maxQueuedTokens {
		w.violation("%d tokens wait, over %d", sum, w.maxQueuedTokens)
	}
}

// submitUntilAccepted sends a job until it is taken or so many tries are over, at workers in turn.
func (w *simulation) submitUntilAccepted(j *clientJob, tries int) {
	k := w.workers[w.rng.IntN(len(w.workers))]
	k.submit(j, func(code uint8) {
		if code != codeOK && tries > 1 {
			w.after(100+w.rng.Float64()*100, func() { w.submitUntilAccepted(j, tries-1) })
		}
	})
}

// readResults reads a job and checks the answer.
func (k *simWorker) readResults(j *clientJob, after int, wait int64, then func(ok bool)) {
	w := k.simulation
	var b link.Writer
	b.String(j.id)
	b.Int(after)
	b.Int(int(wait))
	k.call(j.id, kindReadResults, b.Buf, float64(wait)+1200, func(b []byte, _ bool) {
		r := link.Reader{Buf: b}
		ok := false
		switch r.U8() {
		case codeNotFound:
			if j.accepted && w.nowMs() > j.acceptedAt+1000 {
				w.violation("404 for job %s, taken %d ms ago", j.id, w.nowMs()-j.acceptedAt)
			}
		case codeOK:
			ok = true
			if total := int(r.U32()); total != len(j.items) {
				w.violation("job %s: total is %d", j.id, total)
			}
			n := r.Count(9)
			seen := map[string]int{}
			for pos, what := range j.positions {
				seen[itemOfResult(what)] = pos
			}
			for i := range n {
				id, _ := r.String(), r.Bool()
				what := id + "=" + string(r.Bytes())
				pos := after + i
				if old, ok := j.positions[pos]; ok && old != what {
					w.violation("job %s: position %d was %q and is %q", j.id, pos, old, what)
				}
				if p, ok := seen[id]; ok && p != pos {
					w.violation("job %s: %s stands at %d and at %d", j.id, id, p, pos)
				}
				seen[id] = pos
				if !slices.Contains(j.items, id) {
					w.violation("job %s lists %s", j.id, id)
				}
				if _, ok := j.positions[pos]; !ok {
					j.positions[pos], j.readAt[pos] = what, w.nowMs()
				}
			}
			if at, ok := j.readAt[after]; ok && n == 0 && w.nowMs() > at+1000 {
				w.violation("job %s: nothing at position %d, which was read %d ms ago", j.id, after, w.nowMs()-at)
			}
		}
		if then != nil {
			then(ok)
		}
	})
}

func itemOfResult(what string) string {
	for i := range what {
		if what[i] == '=' {
			return what[:i]
		}
	}
	return what
}

// readRepeatedly reads a job over and over.
func (w *simulation) readRepeatedly(j *clientJob, until int64) {
	if w.nowMs() > until {
		return
	}
	k := w.workers[w.rng.IntN(len(w.workers))]
	after := 0
	if n := len(j.positions); n > 0 {
		after = w.rng.IntN(n + 1)
	}
	k.readResults(j, after, int64(w.rng.IntN(300)), nil)
	w.after(60+w.rng.Float64()*100, func() { w.readRepeatedly(j, until) })
}

// endUntilAcknowledged ends a job, until it is acknowledged.
func (w *simulation) endUntilAcknowledged(j *clientJob) {
	k := w.workers[w.rng.IntN(len(w.workers))]
	j.endRequested = true
	var b link.Writer
	b.String(j.id)
	k.call(j.id, kindEndJob, b.Buf, 1500, func(b []byte, _ bool) {
		if len(b) > 0 && b[0] == codeOK {
			if !j.ended {
				j.ended, j.endedAt = true, w.nowMs()
			}
			return
		}
		if len(b) > 0 && b[0] == codeNotFound && j.accepted && w.nowMs() > j.acceptedAt+1000 {
			w.violation("404 at the end of job %s", j.id)
		}
		w.after(100, func() { w.endUntilAcknowledged(j) })
	})
}

// healAndCheck heals everything and checks that all that was promised is there.
func (w *simulation) healAndCheck(ms int64) {
	w.cutLinks, w.slowLinks = nil, nil
	for _, s := range w.stores {
		if s.frozen {
			s.frozen = false
			all := s.frozenEvents
			s.frozenEvents = nil
			for _, fn := range all {
				fn()
			}
		}
		s.cutFromKeepers = false
		s.start()
	}
	w.run(ms)
	for _, id := range w.jobIDs {
		j := w.jobs[id]
		if !j.accepted {
			continue
		}
		read, had := false, len(j.positions)
		w.workers[0].readResults(j, 0, 0, func(ok bool) { read = ok })
		w.run(1500)
		if !read {
			w.violation("job %s can't be read at the end", id)
			continue
		}
		if len(j.positions) < had {
			w.violation("job %s has lost positions", id)
		}
		if !j.endRequested && len(j.positions) < len(j.items) {
			w.violation("job %s: %d of %d items are done at the end", id, len(j.positions), len(j.items))
		}
		w.resultsRead += len(j.positions)
		var b link.Writer
		b.String(id)
		b.String(j.items[0])
		body := ""
		w.workers[0].call(id, kindReadItemBody, b.Buf, 1000, func(b []byte, _ bool) { body = string(b) })
		w.run(1500)
		if want := string([]byte{codeOK}) + "body of " + j.items[0]; body != want {
			w.violation("job %s: body %q", id, body)
		}
	}
}
