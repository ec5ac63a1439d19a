package batch

import (
	"cmp"
	"fmt"
	"slices"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// clientJob is the clients' view of a job.
type clientJob struct {
	id           string
	tenant       string // whose keys its clients have
	items        []string
	tokens       []int64
	extraMs      float64 // additional duration of each item
	attempts     int
	refusals     int // responses of 429 or 503
	acceptedAt   int64
	accepted     bool
	endRequested bool
	endedAt      int64
	ended        bool
	positions    map[int]string // the results that were read, by position
	readAt       map[int]int64
	started      map[string]bool // items that a worker started
	finished     map[string]bool // items that a worker finished
}

// simWorker is a simulated proxy: it runs items and forwards client calls.
type simWorker struct {
	simulation   *simulation
	name         string
	pipes        map[uint64]*simPipe
	table        *snapshot.PartitionTable
	assigned     map[itemKey]*simRun
	contacts     map[int]*simContact
	runCount     int
	tableDelayMs float64 // additional delay of tables
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

// addWorker adds a proxy.
func (sim *simulation) addWorker(name string) {
	proxy := &simWorker{
		simulation: sim,
		name:       name,
		pipes:      map[uint64]*simPipe{},
		assigned:   map[itemKey]*simRun{},
		contacts:   map[int]*simContact{},
	}
	sim.workers = append(sim.workers, proxy)
	proxy.table = sim.table
	proxy.connectStores()
}

func (proxy *simWorker) receiveTable(t *snapshot.PartitionTable) {
	if proxy.table == nil || t.Version > proxy.table.Version {
		proxy.table = t
		proxy.reportRunning()
	}
}

func (proxy *simWorker) connectStores() {
	sim := proxy.simulation
	if proxy.table != nil {
		for _, id := range sortedKeys(proxy.table.Stores) {
			store := sim.storeNamed(proxy.table.Stores[id].Name)
			if p := proxy.pipes[id]; p != nil && p.open || !store.reachable(id) || sim.isCut(proxy.name, store.name) {
				continue
			}
			p := sim.connect(proxy.name, store.name, proxy.receive, store.receiver(store.incarnation))
			p.closed = func(*simPipe) {}
			otherIncarnation := store.incarnation
			p.peer.closed = func(q *simPipe) { store.runEvent(otherIncarnation, func() { store.core.connectionClosed(q) }) }
			proxy.pipes[id] = p
			_ = p.Send(kindAttachWorker, encodeAttachWorker(proxy.name, "z0", 3))
		}
		proxy.reportRunning()
	}
	sim.after(60, proxy.connectStores)
}

func (proxy *simWorker) reportRunning() {
	if proxy.table == nil {
		return
	}
	for index := range proxy.table.Partitions {
		row := &proxy.table.Partitions[index]
		contact := proxy.contacts[index]
		if contact != nil && contact.epoch > row.Epoch {
			continue
		}
		p := proxy.pipes[row.Primary]
		if p != nil && p.open && (contact == nil || contact.pipe != p || contact.epoch < row.Epoch) {
			proxy.reportRunningOf(index, p, row.Epoch)
		}
	}
}

func (proxy *simWorker) reportRunningOf(index int, p *simPipe, epoch uint64) {
	proxy.contacts[index] = &simContact{pipe: p, epoch: epoch}
	keys := slices.DeleteFunc(proxy.assignedKeys(), func(key itemKey) bool { return key.partition != index })
	_ = p.Send(kindReportRunning, encodeReportRunning(index, epoch, keys))
}

func compareKeys(a, b itemKey) int {
	return cmp.Or(cmp.Compare(a.jobID, b.jobID), cmp.Compare(a.index, b.index))
}

func (proxy *simWorker) receive(p *simPipe, _ Caller, kind link.Kind, body []byte) {
	sim := proxy.simulation
	r := link.Reader{Buf: body}
	key := itemKey{partition: int(r.U32())}
	switch kind {
	case kindAssignItem:
		epoch := r.U64()
		key.jobID, key.index = r.String(), int(r.U32())
		contact := proxy.contacts[key.partition]
		if contact != nil && contact.epoch > epoch && contact.pipe != p {
			_ = p.Send(kindReturnItem, encodeItemRef(key))
			return
		}
		if contact != nil && contact.pipe == p {
			contact.startsPaused = false
		}
		run := proxy.assigned[key]
		fresh := run == nil
		if fresh {
			run = &simRun{}
			proxy.assigned[key] = run
		}
		if contact == nil {
			proxy.contacts[key.partition] = &simContact{pipe: p, epoch: epoch, runningNoted: true}
		} else if contact.pipe != p || contact.epoch < epoch {
			proxy.reportRunningOf(key.partition, p, epoch)
		}
		if !fresh {
			if run.done {
				proxy.sendResult(p, key, run)
			}
			return
		}
		sim.after(sim.rng.Float64()*60, func() { proxy.startRun(key, run) })
	case kindRunningNoted:
		epoch := r.U64()
		contact := proxy.contacts[key.partition]
		if contact != nil && contact.pipe == p && (contact.epoch == epoch || epoch == anyEpoch) {
			contact.runningNoted, contact.startsPaused = true, false
			partition := key.partition
			for _, key := range proxy.assignedKeys() {
				if key.partition == partition && proxy.assigned[key].done {
					proxy.sendResult(p, key, proxy.assigned[key])
				}
			}
		}
	case kindPauseStarts:
		if contact := proxy.contacts[key.partition]; contact != nil && contact.pipe == p {
			contact.startsPaused = true
		}
	case kindResultStored:
		key.jobID, key.index = r.String(), int(r.U32())
		delete(proxy.assigned, key)
	case kindCancelJob:
		key.jobID = r.String()
		if contact := proxy.contacts[key.partition]; contact != nil && contact.pipe != p {
			return
		}
		for _, assigned := range proxy.assignedKeys() {
			if assigned.partition == key.partition && assigned.jobID == key.jobID {
				delete(proxy.assigned, assigned)
			}
		}
		_ = p.Send(kindJobCancelled, body)
	}
}

func (proxy *simWorker) assignedKeys() []itemKey {
	var keys []itemKey
	for key := range proxy.assigned {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// startRun sends an item to an endpoint.
func (proxy *simWorker) startRun(key itemKey, run *simRun) {
	sim := proxy.simulation
	if proxy.assigned[key] != run {
		return
	}
	contact := proxy.contacts[key.partition]
	if contact == nil || !contact.runningNoted || contact.startsPaused || !contact.pipe.open {
		sim.after(50, func() { proxy.startRun(key, run) })
		return
	}
	j := sim.jobs[key.jobID]
	if j == nil {
		sim.violation("an item of a job that was not submitted runs: %v", key)
		return
	}
	item := j.items[key.index]
	j.started[item] = true
	if j.attempts > 0 && j.refusals == j.attempts {
		sim.violation("%s runs although all %d submissions of its job were rejected", item, j.attempts)
	}
	if j.ended && sim.nowMs() > j.endedAt+3000 {
		sim.violation("%s starts %d ms after the end of its job was acknowledged", item, sim.nowMs()-j.endedAt)
	}
	proxy.runCount++
	text := fmt.Sprintf("%s by %s run %d", item, proxy.name, proxy.runCount)
	sim.after(sim.rng.Float64()*80+j.extraMs, func() {
		if proxy.assigned[key] != run {
			return
		}
		j.finished[item] = true
		run.text, run.done = text, true
		if contact := proxy.contacts[key.partition]; contact != nil && contact.runningNoted {
			proxy.sendResult(contact.pipe, key, run)
		}
	})
}

func (proxy *simWorker) sendResult(p *simPipe, key itemKey, run *simRun) {
	_ = p.Send(kindItemResult, encodeItemResult(key, false, []byte(run.text)))
}

// simCall is a client call; it is answered at most once.
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

// call calls the primary of a job's partition over a worker's connections. The reply is nil if none
// arrives within the given ms.
func (proxy *simWorker) call(job string, kind link.Kind, body []byte, ms float64, fn func(b []byte, sent bool)) {
	sim := proxy.simulation
	index := proxy.table.PartitionOf(job)
	if index < 0 {
		fn(nil, false)
		return
	}
	p := proxy.pipes[proxy.table.Partitions[index].Primary]
	if p == nil || !p.open {
		fn(nil, false)
		return
	}
	over := false
	r := &simCall{simulation: sim, handle: func(b []byte) {
		if over {
			return
		}
		over = true
		if sim.isCut(proxy.name, p.to) || !p.open {
			b = nil
		}
		fn(b, true)
	}}
	_ = p.call(r, kind, body)
	sim.after(ms, func() {
		if !over {
			over = true
			fn(nil, true)
		}
	})
}

// simTenants are the tenants whose clients submit jobs, in turn.
var simTenants = []string{"rizzo", "salvo"}

func principalOfTenant(tenant string) Principal { return Principal{HasTenants: true, Tenant: tenant} }

// principal is that of a client of the tenant that submits the job.
func (j *clientJob) principal() Principal { return principalOfTenant(j.tenant) }

// stranger is a client of another tenant.
func (j *clientJob) stranger() Principal {
	for _, tenant := range simTenants {
		if tenant != j.tenant {
			return principalOfTenant(tenant)
		}
	}
	return principalOfTenant("")
}

// newJob adds a job for clients to submit.
func (sim *simulation) newJob(id string, tokens ...int64) *clientJob {
	j := &clientJob{
		id:        id,
		tenant:    simTenants[len(sim.jobIDs)%len(simTenants)],
		tokens:    tokens,
		positions: map[int]string{},
		readAt:    map[int]int64{},
		started:   map[string]bool{},
		finished:  map[string]bool{},
	}
	for i := range tokens {
		j.items = append(j.items, fmt.Sprintf("%s.%d", id, i))
	}
	sim.jobs[id] = j
	sim.jobIDs = append(sim.jobIDs, id)
	return j
}

func (sim *simulation) encodeJob(j *clientJob) []byte {
	r := sim.config.Routes[0]
	out := &Job{
		ID:              j.id,
		Route:           r.Name,
		Host:            r.Host,
		PathPrefix:      r.PathPrefix,
		SentMs:          sim.nowMs(),
		DueMs:           1000,
		MaxAttempts:     2,
		MaxQueuedTokens: sim.maxQueuedTokens,
		ConfigVersion:   1,
		Submitter:       j.principal(),
	}
	for i, id := range j.items {
		out.Items = append(out.Items, JobItem{ID: id, Path: "/b/1", Body: []byte("body of " + id), Tokens: j.tokens[i]})
	}
	return out.encode()
}

// submit submits a job once.
func (proxy *simWorker) submit(j *clientJob, then func(code uint8)) {
	sim := proxy.simulation
	j.attempts++
	proxy.call(j.id, kindAcceptJob, sim.encodeJob(j), 1500, func(b []byte, sent bool) {
		code := codeUnknown
		if len(b) > 0 {
			code = b[0]
		} else if !sent {
			code = codeUnavailable
		}
		switch code {
		case codeOK:
			if !j.accepted {
				j.accepted, j.acceptedAt = true, sim.nowMs()
				sim.checkQuota()
			}
		case codeQuotaFull, codeUnavailable:
			if code == codeQuotaFull {
				sim.checkQuotaRefusal(j)
			}
			j.refusals++
			if j.refusals == j.attempts && len(j.started) > 0 {
				sim.violation("job %s ran although all its submissions were rejected", j.id)
			}
		}
		if then != nil {
			then(code)
		}
	})
}

// checkQuota checks the quota of each tenant after a job has been accepted.
func (sim *simulation) checkQuota() {
	inUse := map[string]int64{}
	for _, j := range sim.jobs {
		if !j.accepted || j.endRequested {
			continue
		}
		for i, id := range j.items {
			if !j.finished[id] {
				inUse[j.tenant] += j.tokens[i]
			}
		}
	}
	for _, tenant := range simTenants {
		if sim.maxQueuedTokens > 0 && inUse[tenant] > sim.maxQueuedTokens {
			sim.violation("%d tokens of %s are in use, over the quota of %d", inUse[tenant], tenant, sim.maxQueuedTokens)
		}
	}
}

// checkQuotaRefusal checks that a job that was refused for the quota would not have fitted. With faults that is not
// certain: a grant whose answer was lost counts until the next report.
func (sim *simulation) checkQuotaRefusal(refused *clientJob) {
	var submitted int64
	for _, j := range sim.jobs {
		for _, tokens := range j.tokens {
			if j.tenant == refused.tenant && j.attempts > 0 {
				submitted += tokens
			}
		}
	}
	if sim.calm && submitted <= sim.maxQueuedTokens {
		sim.violation("job %s of %s was refused, though all its jobs have %d tokens", refused.id, refused.tenant, submitted)
	}
}

// submitUntilAccepted submits a job over random workers until it is accepted, at most the given
// number of times.
func (sim *simulation) submitUntilAccepted(j *clientJob, tries int) {
	proxy := sim.workers[sim.rng.IntN(len(sim.workers))]
	proxy.submit(j, func(code uint8) {
		if code != codeOK && tries > 1 {
			sim.after(100+sim.rng.Float64()*100, func() { sim.submitUntilAccepted(j, tries-1) })
		}
	})
}

// readResults reads the results of a job and checks the answer.
func (proxy *simWorker) readResults(j *clientJob, after int, wait int64, then func(ok bool)) {
	sim := proxy.simulation
	proxy.call(j.id, kindReadResults, encodeReadResults(j.id, after, wait, j.principal()), float64(wait)+1200, func(b []byte, _ bool) {
		r := link.Reader{Buf: b}
		ok := false
		switch r.U8() {
		case codeNotFound:
			if j.accepted && sim.nowMs() > j.acceptedAt+1000 {
				sim.violation("404 for job %s, accepted %d ms ago", j.id, sim.nowMs()-j.acceptedAt)
			}
		case codeOK:
			ok = true
			if total := int(r.U32()); total != len(j.items) {
				sim.violation("job %s: total is %d", j.id, total)
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
					sim.violation("job %s: position %d was %q and is %q", j.id, pos, old, what)
				}
				if p, ok := seen[id]; ok && p != pos {
					sim.violation("job %s: %s is at positions %d and %d", j.id, id, p, pos)
				}
				seen[id] = pos
				if !slices.Contains(j.items, id) {
					sim.violation("job %s has a result of unknown item %s", j.id, id)
				}
				if _, ok := j.positions[pos]; !ok {
					j.positions[pos], j.readAt[pos] = what, sim.nowMs()
				}
			}
			if at, ok := j.readAt[after]; ok && n == 0 && sim.nowMs() > at+1000 {
				sim.violation("job %s: no result at position %d, which was read %d ms ago", j.id, after, sim.nowMs()-at)
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

// readRepeatedly reads the results of a job repeatedly until the given time.
func (sim *simulation) readRepeatedly(j *clientJob, until int64) {
	if sim.nowMs() > until {
		return
	}
	proxy := sim.workers[sim.rng.IntN(len(sim.workers))]
	after := 0
	if n := len(j.positions); n > 0 {
		after = sim.rng.IntN(n + 1)
	}
	proxy.readResults(j, after, int64(sim.rng.IntN(300)), nil)
	if sim.calm { // with faults the scenario keeps its steps, and healAndCheck calls as a stranger
		proxy.readAsStranger(j)
	}
	sim.after(60+sim.rng.Float64()*100, func() { sim.readRepeatedly(j, until) })
}

// readAsStranger calls about a job with a key of another tenant, for which it must not exist.
func (proxy *simWorker) readAsStranger(j *clientJob) {
	for _, m := range []struct {
		kind link.Kind
		body []byte
	}{
		{kindReadResults, encodeReadResults(j.id, 0, 0, j.stranger())},
		{kindReadItemBody, encodeReadItemBody(j.id, j.items[0], j.stranger())},
		{kindEndJob, encodeEndJob(j.id, j.stranger())},
	} {
		proxy.call(j.id, m.kind, m.body, 1500, func(b []byte, _ bool) {
			if code := codeOf(b); code != 0 && code != codeNotFound && code != codeUnavailable {
				proxy.simulation.violation("call of kind %d about job %s of %s by another tenant: code %d", m.kind, j.id, j.tenant, code)
			}
		})
	}
}

// endUntilAcknowledged ends a job, with retries until that is acknowledged.
func (sim *simulation) endUntilAcknowledged(j *clientJob) {
	proxy := sim.workers[sim.rng.IntN(len(sim.workers))]
	j.endRequested = true
	proxy.call(j.id, kindEndJob, encodeEndJob(j.id, j.principal()), 1500, func(b []byte, _ bool) {
		if len(b) > 0 && b[0] == codeOK {
			if !j.ended {
				j.ended, j.endedAt = true, sim.nowMs()
			}
			return
		}
		if len(b) > 0 && b[0] == codeNotFound && j.accepted && sim.nowMs() > j.acceptedAt+1000 {
			sim.violation("404 at the end of job %s", j.id)
		}
		sim.after(100, func() { sim.endUntilAcknowledged(j) })
	})
}

// healAndCheck ends all faults and checks that nothing acknowledged was lost.
func (sim *simulation) healAndCheck(ms int64) {
	sim.cutLinks, sim.slowLinks = nil, nil
	for _, s := range sim.stores {
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
	sim.run(ms)
	for _, id := range sim.jobIDs {
		j := sim.jobs[id]
		if !j.accepted {
			continue
		}
		sim.workers[0].readAsStranger(j)
		read, had := false, len(j.positions)
		sim.workers[0].readResults(j, 0, 0, func(ok bool) { read = ok })
		sim.run(1500)
		if !read {
			sim.violation("job %s can't be read at the end", id)
			continue
		}
		if len(j.positions) < had {
			sim.violation("job %s has lost positions", id)
		}
		if !j.endRequested && len(j.positions) < len(j.items) {
			sim.violation("job %s: %d of %d items are done at the end", id, len(j.positions), len(j.items))
		}
		sim.resultsRead += len(j.positions)
		body := ""
		request := encodeReadItemBody(id, j.items[0], j.principal())
		sim.workers[0].call(id, kindReadItemBody, request, 1000, func(b []byte, _ bool) { body = string(b) })
		sim.run(1500)
		if want := string([]byte{codeOK}) + "body of " + j.items[0]; body != want {
			sim.violation("job %s: body %q", id, body)
		}
	}
}
