package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// simulation simulates several senders and model endpoints in steps of 1 ms.
type simulation struct {
	rng   *rand.Rand
	now   time.Duration
	cores []*core
	eps   []*engine
	snap  *snapshot.Snapshot
	next  uint64
	kinds []*simulationKind

	delayed []later
}

type simulationKind struct {
	name              string
	perSecond         float64
	groups            int // of shared parts
	shared, own       int
	out               int
	latencyTargetMs   int
	deadline          time.Duration
	bulk              bool
	priority          int
	pendingArrivals   float64
	submitted, onTime int
	late, failed      int
	rejected          int
	firstTokenMs      []float64
	prefilledAgain    int
}

type later struct {
	at   time.Duration
	task *task
	core int
}

// task is a request of a client.
type task struct {
	kind         *simulationKind
	r            *Request
	submittedAt  time.Duration
	core         int
	refusals     int
	w            *waiter
	toPrefill    float64
	toGenerate   float64
	firstTokenAt time.Duration
	running      bool
}

// engine is a model endpoint.
type engine struct {
	id             string
	slots          int
	queue          int
	tasks          []*task // running first, then waiting
	cache          prefixCache
	prefilledAgain float64
	everPrefilled  map[prefixHash]bool
	speed          float64
	broken         bool // fails all calls at once
	silent         bool // does not answer
}

const (
	prefillSpeed = 128.0 // tokens a ms
	cacheTokens  = 400_000
)

func newSimulation(senders, endpoints, zones int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(3, 4)), snap: &snapshot.Snapshot{Proxies: senders,
		Endpoints: map[string][]*snapshot.Endpoint{},
		Config: &operatorconfig.Config{Services: map[string]*operatorconfig.Service{"s": {Name: "s", MaxConnections: 220,
			Engine: &operatorconfig.Engine{Capacity: 24, CacheTokens: cacheTokens}}}}}}
	for i := range endpoints {
		id := fmt.Sprintf("e%02d", i)
		w.eps = append(w.eps, &engine{id: id, slots: 24, queue: 48, everPrefilled: map[prefixHash]bool{}, speed: 1})
		w.snap.Endpoints["s"] = append(w.snap.Endpoints["s"],
			&snapshot.Endpoint{ID: id, Service: "s", Zone: fmt.Sprint(i % zones), Capacity: 24})
	}
	for i := range senders {
		c := newCore(Settings{}, fmt.Sprint(i%zones), w.rng.Float64)
		c.applySnapshot(w.snap)
		w.cores = append(w.cores, c)
	}
	return w
}

func (w *simulation) submit(k *simulationKind) {
	w.next++
	group := uint64(w.rng.IntN(max(k.groups, 1))) + 1
	t := &task{kind: k, submittedAt: w.now, core: w.rng.IntN(len(w.cores))}
	own := int(float64(k.own) * (0.5 + w.rng.Float64()))
	t.r = &Request{ID: fmt.Sprint(w.next), Service: "s", TokensIn: k.shared + own, TokensOut: k.out, Bulk: k.bulk,
		Route:  &operatorconfig.Route{Name: k.name, Kind: operatorconfig.Streaming, LatencyTargetMs: k.latencyTargetMs, Priority: k.priority},
		Prefix: []PromptPart{{uint64(len(k.name))<<32 + group, k.shared}, {1<<60 + w.next, own}}}
	k.submitted++
	w.request(t)
}

func (w *simulation) request(t *task) {
	c := w.cores[t.core]
	c.now = w.now
	w.next++
	t.w = &waiter{request: t.r, sequence: w.next, deadline: t.submittedAt + t.kind.deadline,
		due: t.submittedAt + time.Duration(t.kind.latencyTargetMs)*time.Millisecond}
	c.setTimes(t.w, w.now, t.w.due, t.w.deadline)
	t.w.decided = func(x *waiter) {
		if x.refused != nil {
			t.refusals++
			if t.refusals > 1 || w.now+x.refused.RetryAfter > t.w.deadline {
				t.kind.failed++
				return
			}
			w.delayed = append(w.delayed, later{w.now + x.refused.RetryAfter, t, w.rng.IntN(len(w.cores))})
			return
		}
		w.arrive(t, x.granted)
	}
	c.admit(t.w)
}

func (w *simulation) load(e *engine) Load {
	l := Load{Slots: e.slots, Known: true}
	l.Running = min(len(e.tasks), e.slots)
	l.Waiting = len(e.tasks) - l.Running
	return l
}

func (w *simulation) arrive(t *task, r *run) {
	i := slices.IndexFunc(w.eps, func(e *engine) bool { return e.id == r.target.ID })
	e := w.eps[i]
	if len(e.tasks) >= e.slots+e.queue {
		t.kind.rejected++
		w.delayed = append(w.delayed, later{w.now + time.Millisecond, t, -1})
		return
	}
	t.firstTokenAt = 0
	t.running = false
	e.tasks = append(e.tasks, t)
}

func (w *simulation) prefill(e *engine, t *task) {
	chains := hashPrefixes(t.r.Model, t.r.Prefix)
	t.toPrefill = float64(t.r.TokensIn)
	cached := e.cache.cachedParts(chains, 0, maxCacheLifetime)
	for i := range cached {
		t.toPrefill -= float64(t.r.Prefix[i].Tokens)
	}
	if shared := float64(t.r.Prefix[0].Tokens); cached == 0 && e.prefilledAnywhere(w, chains[0]) {
		e.prefilledAgain += shared
		t.kind.prefilledAgain++
	}
	e.everPrefilled[chains[0]] = true
	e.cache.recordPrompt(0, chains, t.r.Prefix, 1, cacheTokens, 1<<20)
	t.toGenerate = float64(t.r.TokensOut)
	t.running = true
}

func (e *engine) prefilledAnywhere(w *simulation, h prefixHash) bool {
	return slices.ContainsFunc(w.eps, func(o *engine) bool { return o.everPrefilled[h] })
}

func (w *simulation) step() {
	w.now += time.Millisecond
	for _, k := range w.kinds {
		for k.pendingArrivals += k.perSecond / 1000; k.pendingArrivals > 0 && w.rng.Float64() < k.pendingArrivals; k.pendingArrivals-- {
			w.submit(k)
		}
	}
	due := w.delayed
	w.delayed = nil
	for _, l := range due {
		switch {
		case l.at > w.now:
			w.delayed = append(w.delayed, l)
		case l.core < 0: // the endpoint rejected it
			c, t := w.cores[l.task.core], l.task
			c.now = w.now
			g := t.w.granted
			i := slices.IndexFunc(w.eps, func(e *engine) bool { return e.id == g.target.ID })
			c.endRun(g, NotRun, w.load(w.eps[i]))
			t.r.Avoid = append(t.r.Avoid, g.target.ID)
			if len(t.r.Avoid) > 2 {
				t.kind.failed++
				continue
			}
			w.request(t)
		default:
			l.task.core = l.core
			l.task.r.Avoid = nil
			w.request(l.task)
		}
	}
	for _, e := range w.eps {
		w.run(e)
	}
	for _, c := range w.cores {
		c.now = w.now
		if at, any := c.nextWake(); any && at <= w.now+time.Millisecond {
			c.serveAllQueues()
		}
	}
}

const callTimeout = 500 * time.Millisecond // for the first token

// failRuns ends calls without an answer.
func (w *simulation) failRuns(e *engine, o Outcome, which func(*task) bool) {
	for _, t := range slices.Clone(e.tasks) {
		if !which(t) {
			continue
		}
		e.tasks = slices.DeleteFunc(e.tasks, func(o *task) bool { return o == t })
		w.cores[t.core].now = w.now
		w.cores[t.core].endRun(t.w.granted, o, Load{})
		if t.kind.bulk { // a batch item is submitted again
			w.delayed = append(w.delayed, later{w.now + 50*time.Millisecond, t, t.core})
			continue
		}
		t.kind.failed++
	}
}

func (w *simulation) run(e *engine) {
	switch {
	case e.broken:
		w.failRuns(e, Broken, func(*task) bool { return true })
		return
	case e.silent:
		w.failRuns(e, TimedOut, func(t *task) bool { return w.now-t.w.granted.sent > callTimeout })
		return
	}
	budget := prefillSpeed * e.speed
	n := min(len(e.tasks), e.slots)
	if n == 0 {
		return
	}
	rate := e.speed / (1.85 + 0.05*float64(n))
	var done []*task
	for _, t := range e.tasks[:n] {
		c := w.cores[t.core]
		if !t.running {
			w.prefill(e, t)
		}
		if t.toPrefill > 0 {
			used := min(budget, t.toPrefill)
			budget -= used
			t.toPrefill -= used
			continue
		}
		t.toGenerate -= rate
		if t.firstTokenAt == 0 {
			t.firstTokenAt = w.now
			c.now = w.now
			c.recordFirstToken(t.w.granted, w.load(e))
		}
		if t.toGenerate <= 0 {
			done = append(done, t)
		}
	}
	for _, t := range done {
		e.tasks = slices.DeleteFunc(e.tasks, func(o *task) bool { return o == t })
		ms := float64(t.firstTokenAt-t.submittedAt) / float64(time.Millisecond)
		t.kind.firstTokenMs = append(t.kind.firstTokenMs, ms)
		if ms <= float64(t.kind.latencyTargetMs) {
			t.kind.onTime++
		} else {
			t.kind.late++
		}
		c := w.cores[t.core]
		c.now = w.now
		c.endRun(t.w.granted, Served, Load{})
	}
}

func (w *simulation) play(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

// quantile returns the value below which a share of sorted values lies, 0 if there are none.
func quantile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}

func (w *simulation) report(t *testing.T) {
	t.Helper()
	prefilledAgain := 0.0
	most := 0
	for _, e := range w.eps {
		prefilledAgain += e.prefilledAgain
		most = max(most, len(e.tasks))
	}
	for _, k := range w.kinds {
		slices.Sort(k.firstTokenMs)
		q := func(share float64) float64 { return quantile(k.firstTokenMs, share) }
		t.Logf("%s: %d submitted, on time %.3f, late %.3f, failed %.3f, rejected %d, prefilled again %d, first token p50 %.0f p90 %.0f p99 %.0f ms",
			k.name, k.submitted, float64(k.onTime)/float64(k.submitted), float64(k.late)/float64(k.submitted),
			float64(k.failed)/float64(k.submitted), k.rejected, k.prefilledAgain, q(0.5), q(0.9), q(0.99))
	}
	t.Logf("worth %.3f", w.worth())
	t.Logf("%.0f tokens a second prefilled again; the most loaded endpoint has %d requests", prefilledAgain/w.now.Seconds(), most)
}

func ordinaryLoad(scale float64) []*simulationKind {
	return []*simulationKind{
		{name: "chat", perSecond: 141 * scale, groups: 40, shared: 172, own: 543, out: 72, latencyTargetMs: 200, deadline: 6 * time.Second},
		{name: "review", perSecond: 19.6 * scale, groups: 12, shared: 13300, own: 3720, out: 28, latencyTargetMs: 300, deadline: 4 * time.Second},
		{name: "letters", perSecond: 10 * scale, groups: 4, shared: 432, own: 768, out: 160, latencyTargetMs: 10000, deadline: 60 * time.Second, bulk: true},
	}
}

// worth is the earned share of the worth of all requests.
func (w *simulation) worth() float64 {
	earned, owed := 0.0, 0.0
	for i, k := range w.kinds {
		worth := []float64{2, 3, 2.2}[i%3]
		earned += worth * (float64(k.onTime) + 0.3*float64(k.late) - 0.3*float64(k.failed))
		owed += worth * float64(k.submitted)
	}
	return earned / owed
}

func TestOrdinaryLoadMeetsItsTargetAndPrefillsSharedPartsOnce(t *testing.T) {
	for _, scale := range []float64{1, 4} {
		t.Run(fmt.Sprint(scale), func(t *testing.T) {
			w := newSimulation(10, 18, 4)
			w.kinds = ordinaryLoad(scale)
			w.play(20 * time.Second)
			w.report(t)
			if v := w.worth(); v < 0.98 {
				t.Errorf("worth %.3f", v)
			}
			if k := w.kinds[1]; k.prefilledAgain > k.submitted/20 {
				t.Errorf("the shared parts of %d of %d reviews were prefilled again", k.prefilledAgain, k.submitted)
			}
		})
	}
}

func TestOverloadMeetsItsTarget(t *testing.T) {
	w := newSimulation(10, 18, 4)
	w.kinds = ordinaryLoad(14)
	w.play(8 * time.Second)
	w.report(t)
	for _, k := range w.kinds[:2] {
		if k.onTime < 3*k.late {
			t.Errorf("%s: %d on time, %d late", k.name, k.onTime, k.late)
		}
		if 4*(k.onTime+k.late) < k.submitted {
			t.Errorf("%s starves: %d of %d served", k.name, k.onTime+k.late, k.submitted)
		}
	}
}

func TestBulkIsNotStarvedByOverload(t *testing.T) {
	w := newSimulation(4, 6, 2)
	w.kinds = ordinaryLoad(14.0 / 3)
	w.kinds[2].latencyTargetMs = 4000
	w.play(20 * time.Second)
	w.report(t)
	if k := w.kinds[2]; 3*(k.onTime+k.late) < k.submitted {
		t.Errorf("%d of %d served", k.onTime+k.late, k.submitted)
	}
}

func TestBurstDrainsSoon(t *testing.T) {
	w := newSimulation(10, 18, 4)
	w.kinds = ordinaryLoad(4)
	w.play(2 * time.Second)
	w.kinds[0].perSecond *= 6
	w.play(2 * time.Second)
	w.kinds[0].perSecond /= 6
	w.play(2 * time.Second)
	for _, k := range w.kinds {
		k.submitted, k.onTime, k.late, k.failed, k.firstTokenMs = 0, 0, 0, 0, nil
	}
	w.play(4 * time.Second)
	w.report(t)
	if v := w.worth(); v < 0.95 {
		t.Errorf("worth %.3f two seconds after the burst", v)
	}
}

func TestUnhealthyEndpointsCostLittle(t *testing.T) {
	for name, setFault := range map[string]func(*engine, bool){
		"broken": func(e *engine, on bool) { e.broken = on },
		"silent": func(e *engine, on bool) { e.silent = on },
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(6, 18, 4)
			w.kinds = ordinaryLoad(2)
			w.play(3 * time.Second)
			for _, e := range w.eps[:3] {
				setFault(e, true)
			}
			w.play(10 * time.Second)
			for _, e := range w.eps[:3] {
				setFault(e, false)
			}
			w.play(5 * time.Second)
			before := w.cores[0].endpoints["e00"].longLog.Count(w.now)
			w.play(6 * time.Second)
			w.report(t)
			// Two failed calls eject an endpoint at a sender; a third may have been in flight already.
			lost := 0
			for _, k := range w.kinds {
				lost += k.failed
			}
			if lost > 3*3*len(w.cores) {
				t.Errorf("%d requests failed", lost)
			}
			if w.cores[0].endpoints["e00"].longLog.Count(w.now) <= before {
				t.Error("an endpoint that works again gets no requests")
			}
		})
	}
}
