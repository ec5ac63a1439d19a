package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// fleetSimulation simulates many senders and the endpoints of one service in steps of 1 ms. Unlike simulation, it has zones with a delay
// between them, random sizes of prompts and answers, chunked prefill, in which a long prompt delays the streams of other requests, pauses
// that make an answer late, and endpoints of different speeds.
type fleetSimulation struct {
	layout fleetLayout
	rng    *rand.Rand
	now    time.Duration
	ids    uint64

	senders     []*fleetSender
	endpoints   []*fleetEndpoint
	byID        map[string]*fleetEndpoint
	kinds       []*requestKind
	scheduled   map[time.Duration][]func() // calls by the ms at which they are due
	countedFrom time.Duration              // only requests that were submitted later are counted
}

// fleetLayout is the shape of a fleet.
type fleetLayout struct {
	senders, endpoints, zones int
	slots                     int
	cacheTokens               int64
	maxConns                  int
	stepMs, stepPerSlotMs     float64 // a step gives each running request one token
	prefillPerMs              float64 // prompt tokens that are prefilled in a ms
	prefillChunk              float64 // maximal prompt tokens that are prefilled in one step
	speeds                    []float64
	tokensPerEvent            float64
	zoneDelay                 time.Duration
	reportsLoad               bool
	reportAge                 time.Duration // age of the loads that endpoints report
	settings                  Settings
	seed                      uint64
	oracle                    bool // senders know the true loads at each choice: an upper bound for any policy
}

// requestKind is a kind of requests. Sizes are drawn from log-normal distributions.
type requestKind struct {
	name                    string
	perSecond               float64
	prefixes                int
	shared, own, out        fleetSize
	latencyTarget, maxPause time.Duration
	deadline                time.Duration
	worth, lateShare        float64
	bulk                    bool
	sharedTokens            []int
	pendingArrivals         float64
	submitted, onTime, late int
	lost                    int
	weight, earned          float64
	firstTokenMs            []float64
	pauses, prefilledAgain  int
	lateFirstTokens         int
}

// fleetSize is a distribution of sizes.
type fleetSize struct{ mean, spread, limit float64 }

func (s fleetSize) draw(rng *rand.Rand) float64 {
	if s.spread == 0 {
		return s.mean
	}
	sigma := math.Sqrt(math.Log(1 + s.spread*s.spread))
	return min(s.mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2), s.limit)
}

type fleetSender struct {
	core *core
	zone int
}

// fleetTask is a request of a client.
type fleetTask struct {
	kind         *requestKind
	request      *Request
	sender       *fleetSender
	submittedAt  time.Duration
	refusals     int
	waiter       *waiter
	grant        *run
	toPrefill    float64 // tokens that are left to prefill
	toGenerate   float64 // tokens that are left to generate
	generated    float64
	running      bool
	firstTokenAt time.Duration
	lastEventAt  time.Duration
	longestPause time.Duration
}

type fleetEndpoint struct {
	id        string
	zone      int
	speed     float64
	tasks     []*fleetTask // in the order of arrival: the first ones run
	cache     prefixCache
	budgetMs  float64         // ms that are left for steps
	loads     []Load          // the loads of recent ms, the newest last
	misreport func(Load) Load // the load report for an actual load; nil: the actual load
	arrivals  int
	down      bool
}

func newFleetSimulation(l fleetLayout, kinds ...*requestKind) *fleetSimulation {
	f := &fleetSimulation{layout: l, rng: rand.New(rand.NewPCG(7, l.seed)), kinds: kinds, scheduled: map[time.Duration][]func(){}, byID: map[string]*fleetEndpoint{}}
	for i := range l.endpoints {
		id := fmt.Sprintf("endpoint-%03d", i)
		e := &fleetEndpoint{id: id, zone: i % l.zones, speed: l.speeds[i/l.zones%len(l.speeds)]}
		f.endpoints = append(f.endpoints, e)
		f.byID[id] = e
	}
	snap := f.snapshot()
	for i := range l.senders {
		s := &fleetSender{core: newCore(l.settings, zoneName(i%l.zones), f.rng.Float64), zone: i % l.zones}
		s.core.senderHash = snapshot.Hash(fmt.Sprint("sender-", i))
		s.core.applySnapshot(snap)
		f.senders = append(f.senders, s)
	}
	for _, k := range kinds {
		for range k.prefixes {
			k.sharedTokens = append(k.sharedTokens, int(k.shared.draw(f.rng)))
		}
	}
	return f
}

// snapshot lists all endpoints.
func (f *fleetSimulation) snapshot() *snapshot.Snapshot {
	l := f.layout
	snap := &snapshot.Snapshot{Proxies: l.senders, Endpoints: map[string][]*snapshot.Endpoint{},
		Config: &operatorconfig.Config{Services: map[string]*operatorconfig.Service{"s": {Name: "s", MaxConnections: l.maxConns,
			Engine: &operatorconfig.Engine{Capacity: l.slots, CacheTokens: l.cacheTokens}}}}}
	for _, e := range f.endpoints {
		snap.Endpoints["s"] = append(snap.Endpoints["s"], &snapshot.Endpoint{ID: e.id, Service: "s", Zone: zoneName(e.zone), Capacity: l.slots})
	}
	return snap
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

// schedule queues a call for a later ms, 1 ms from now at the earliest.
func (f *fleetSimulation) schedule(d time.Duration, call func()) {
	at := (f.now + max(d, time.Millisecond)).Round(time.Millisecond)
	f.scheduled[at] = append(f.scheduled[at], call)
}

func (f *fleetSimulation) submit(k *requestKind) {
	f.ids++
	subject := f.rng.IntN(k.prefixes)
	own := max(1, int(k.own.draw(f.rng)))
	in := k.sharedTokens[subject] + own
	out := int(math.Ceil(k.out.draw(f.rng) * f.layout.tokensPerEvent))
	t := &fleetTask{kind: k, sender: f.senders[f.rng.IntN(len(f.senders))], submittedAt: f.now, toGenerate: float64(out)}
	t.request = &Request{ID: fmt.Sprint(f.ids), Service: "s", TokensIn: in, TokensOut: out, Bulk: k.bulk,
		Route:  &operatorconfig.Route{Name: k.name, Kind: operatorconfig.Streaming, LatencyTargetMs: int(k.latencyTarget.Milliseconds()), MaxAttempts: 1},
		Prefix: []PromptPart{{uint64(len(k.name))<<40 + uint64(subject), k.sharedTokens[subject]}, {1<<60 + f.ids, own}}}
	k.submitted++
	t.kind.weight += f.worthOf(t)
	f.request(t)
}

// revealLoads sets the load estimates of a sender to the true loads of the endpoints.
func (f *fleetSimulation) revealLoads(c *core) {
	for id, e := range c.endpoints {
		e.otherLoad = max(0, float64(len(f.byID[id].tasks)-len(e.running)))
		e.loadReportedAt, e.loadReported = f.now, true
	}
}

// worthOf returns the worth of a request that is served in time, which grows with its size.
func (f *fleetSimulation) worthOf(t *fleetTask) float64 {
	k := t.kind
	mean := k.shared.mean + k.own.mean + 10*k.out.mean*f.layout.tokensPerEvent
	size := float64(t.request.TokensIn + 10*t.request.TokensOut)
	return k.worth * min(4, 0.3+0.7*size/mean)
}

func (f *fleetSimulation) request(t *fleetTask) {
	c := t.sender.core
	c.now = f.now
	f.ids++
	w := &waiter{request: t.request, sequence: f.ids, deadline: t.submittedAt + t.kind.deadline, due: t.submittedAt + t.kind.latencyTarget}
	c.setTimes(w, f.now, w.due, w.deadline)
	if f.layout.oracle {
		f.revealLoads(c)
	}
	w.decided = func(w *waiter) {
		if w.refused == nil {
			t.grant = w.granted
			e := f.byID[w.granted.target.ID]
			f.schedule(f.delay(t.sender, e), func() { f.arrive(t, e) })
			return
		}
		if t.refusals++; t.refusals > 1 {
			f.recordLost(t)
			return
		}
		f.schedule(w.refused.RetryAfter, func() {
			t.sender = f.senders[f.rng.IntN(len(f.senders))]
			f.request(t)
		})
	}
	t.waiter = w
	c.admit(w)
}

func (f *fleetSimulation) delay(s *fleetSender, e *fleetEndpoint) time.Duration {
	if s.zone == e.zone {
		return 0
	}
	return f.layout.zoneDelay
}

func (f *fleetSimulation) arrive(t *fleetTask, e *fleetEndpoint) {
	if len(e.tasks) >= 4*f.layout.slots {
		load := f.reportedLoad(e)
		f.schedule(f.delay(t.sender, e), func() {
			c := t.sender.core
			c.now = f.now
			c.endRun(t.grant, NotRun, load)
			t.request.Avoid = append(t.request.Avoid, e.id)
			if len(t.request.Avoid) > 3 {
				f.recordLost(t)
				return
			}
			f.request(t)
		})
		return
	}
	e.arrivals++
	e.tasks = append(e.tasks, t)
}

// reportedLoad returns the load that an endpoint reports.
func (f *fleetSimulation) reportedLoad(e *fleetEndpoint) Load {
	if !f.layout.reportsLoad {
		return Load{}
	}
	load := f.loadOf(e)
	if len(e.loads) > 0 {
		load = e.loads[0]
	}
	if e.misreport != nil {
		load = e.misreport(load)
	}
	return load
}

func (f *fleetSimulation) loadOf(e *fleetEndpoint) Load {
	running := min(len(e.tasks), f.layout.slots)
	return Load{Running: running, Waiting: len(e.tasks) - running, Slots: f.layout.slots, Known: true}
}

func (f *fleetSimulation) play(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += time.Millisecond
		for _, k := range f.kinds {
			for k.pendingArrivals += k.perSecond / 1000; k.pendingArrivals > 0 && f.rng.Float64() < k.pendingArrivals; k.pendingArrivals-- {
				f.submit(k)
			}
		}
		arrived := f.scheduled[f.now]
		delete(f.scheduled, f.now)
		for _, call := range arrived {
			call()
		}
		for _, e := range f.endpoints {
			f.run(e)
			if f.layout.reportAge > 0 {
				e.loads = append(e.loads, f.loadOf(e))
				if len(e.loads) > int(f.layout.reportAge/time.Millisecond) {
					e.loads = e.loads[1:]
				}
			}
		}
		for _, s := range f.senders {
			s.core.now = f.now
			if at, any := s.core.nextWake(); any && at <= f.now+time.Millisecond {
				s.core.serveAllQueues()
			}
		}
	}
}

// run simulates an endpoint for 1 ms, with as many steps as fit into it.
func (f *fleetSimulation) run(e *fleetEndpoint) {
	if e.down {
		return
	}
	e.budgetMs++
	for e.budgetMs > 0 {
		n := min(len(e.tasks), f.layout.slots)
		if n == 0 {
			e.budgetMs = 0
			return
		}
		budget := f.layout.prefillChunk
		var done []*fleetTask
		for _, t := range e.tasks[:n] {
			if !t.running {
				f.startPrefill(e, t)
			}
			if t.toPrefill > 0 {
				now := min(budget, t.toPrefill)
				t.toPrefill -= now
				budget -= now
				if t.toPrefill > 0 {
					continue
				}
			}
			if f.generateToken(e, t); t.toGenerate <= 0 {
				done = append(done, t)
			}
		}
		e.budgetMs -= (f.layout.stepMs + f.layout.stepPerSlotMs*float64(n) + (f.layout.prefillChunk-budget)/f.layout.prefillPerMs) * e.speed
		for _, t := range done {
			e.tasks = slices.DeleteFunc(e.tasks, func(o *fleetTask) bool { return o == t })
			f.finish(e, t)
		}
	}
}

func (f *fleetSimulation) startPrefill(e *fleetEndpoint, t *fleetTask) {
	t.running = true
	chains := hashPrefixes(t.request.Model, t.request.Prefix)
	t.toPrefill = float64(t.request.TokensIn)
	kept := e.cache.cachedParts(chains, f.now, maxCacheLifetime)
	for _, part := range t.request.Prefix[:kept] {
		t.toPrefill -= float64(part.Tokens)
	}
	if kept == 0 {
		t.kind.prefilledAgain += t.request.Prefix[0].Tokens
	}
	e.cache.recordPrompt(f.now, chains, t.request.Prefix, 1, f.layout.cacheTokens, 1<<20)
}

// generateToken generates the next token of a request. The client receives tokens in events of several tokens.
func (f *fleetSimulation) generateToken(e *fleetEndpoint, t *fleetTask) {
	t.toGenerate--
	t.generated++
	if t.firstTokenAt == 0 {
		t.firstTokenAt, t.lastEventAt = f.now, f.now
		load := f.reportedLoad(e)
		f.schedule(f.delay(t.sender, e), func() {
			t.sender.core.now = f.now
			t.sender.core.recordFirstToken(t.grant, load)
		})
		return
	}
	if math.Mod(t.generated, f.layout.tokensPerEvent) < 1 {
		t.longestPause = max(t.longestPause, f.now-t.lastEventAt)
		t.lastEventAt = f.now
	}
}

func (f *fleetSimulation) finish(e *fleetEndpoint, t *fleetTask) {
	f.count(t)
	f.schedule(f.delay(t.sender, e), func() {
		t.sender.core.now = f.now
		t.sender.core.endRun(t.grant, Served, Load{})
	})
}

// count records the end of a request that was served.
func (f *fleetSimulation) count(t *fleetTask) {
	if t.submittedAt <= f.countedFrom {
		return
	}
	k := t.kind
	took := t.firstTokenAt - t.submittedAt
	if k.bulk {
		took = f.now - t.submittedAt
	}
	k.firstTokenMs = append(k.firstTokenMs, float64(took)/float64(time.Millisecond))
	switch {
	case took > k.latencyTarget:
		k.late++
		k.lateFirstTokens++
		k.earned += f.worthOf(t) * k.lateShare
	case !k.bulk && t.longestPause > k.maxPause:
		k.late++
		k.pauses++
		k.earned += f.worthOf(t) * k.lateShare
	default:
		k.onTime++
		k.earned += f.worthOf(t)
	}
}

// recordLost counts a request that is never served.
func (f *fleetSimulation) recordLost(t *fleetTask) {
	if t.submittedAt > f.countedFrom {
		t.kind.lost++
	}
}

// resetCounts resets all counts.
func (f *fleetSimulation) resetCounts() {
	f.countedFrom = f.now
	for _, k := range f.kinds {
		k.submitted, k.onTime, k.late, k.lost, k.pauses, k.lateFirstTokens, k.prefilledAgain = 0, 0, 0, 0, 0, 0, 0
		k.weight, k.earned, k.firstTokenMs = 0, 0, nil
	}
}

// worth is the earned share of the worth of all requests.
func (f *fleetSimulation) worth() float64 {
	earned, owed := 0.0, 0.0
	for _, k := range f.kinds {
		earned += k.earned
		owed += k.weight
	}
	return earned / owed
}

func (f *fleetSimulation) report(t *testing.T) {
	t.Helper()
	for _, k := range f.kinds {
		slices.Sort(k.firstTokenMs)
		q := func(share float64) float64 { return quantile(k.firstTokenMs, share) }
		t.Logf("%-9s %6d submitted, worth %.3f; late %.4f by the first token, %.4f by a pause; lost %.4f; %8d tokens prefilled again; p50 %.0f p90 %.0f p99 %.0f ms",
			k.name, k.submitted, k.earned/k.weight, float64(k.lateFirstTokens)/float64(k.submitted), float64(k.pauses)/float64(k.submitted),
			float64(k.lost)/float64(k.submitted), k.prefilledAgain, q(0.5), q(0.9), q(0.99))
	}
	running, most := 0, 0
	for _, e := range f.endpoints {
		running += len(e.tasks)
		most = max(most, len(e.tasks))
	}
	t.Logf("worth %.4f; %d requests at the endpoints, %d at the most loaded", f.worth(), running, most)
}
