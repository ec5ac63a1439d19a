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

// fleetSimulation plays many senders before the endpoints of one service in steps of a ms, with what the worlds of world_test.go leave out: zones
// and their delay, prompts and answers of drawn sizes, prompts that are read in pieces between the tokens of others, so that a long
// prompt holds up the streams beside it, pauses that make an answer late, and endpoints of different speed.
type fleetSimulation struct {
	layout fleetLayout
	rng    *rand.Rand
	now    time.Duration
	ids    uint64

	senders   []*fleetSender
	endpoints []*fleetEndpoint
	byID      map[string]*fleetEndpoint
	kinds     []*requestKind
	mail      map[time.Duration][]func() // what arrives at a ms
	counted   time.Duration              // requests count that came later
}

// fleetLayout is the shape of a fleet.
type fleetLayout struct {
	senders, endpoints, zones int
	slots                     int
	cacheTokens               int64
	maxConns                  int
	stepMs, stepPerSlotMs     float64 // a step gives each running request one token
	readPerMs                 float64 // tokens of prompts
	chunk                     float64 // tokens of prompts that are read in one step at most
	speeds                    []float64
	tokensPerEvent            float64
	zoneDelay                 time.Duration
	tellsLoad                 bool
	tellsLate                 time.Duration // how old the loads are that endpoints tell
	settings                  Settings
	seed                      uint64
	oracle                    bool // senders know the true loads at each choice: the limit of what any policy could know
}

// fleetKind is a kind of requests. Sizes are drawn from log-normal distributions.
type requestKind struct {
	name               string
	perSecond          float64
	subjects           int
	shared, own, out   fleetSize
	aim, pause         time.Duration
	deadline           time.Duration
	worth, late        float64
	bulk               bool
	sharedOf           []int
	acc                float64
	asked, inAim, over int
	lost               int
	weight, earned     float64
	firsts             []float64
	pauses, reread     int
	lateFirst          int
}

// fleetSize is a distribution of sizes.
type fleetSize struct{ mean, spread, most float64 }

func (s fleetSize) draw(rng *rand.Rand) float64 {
	if s.spread == 0 {
		return s.mean
	}
	sigma := math.Sqrt(math.Log(1 + s.spread*s.spread))
	return min(s.mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2), s.most)
}

type fleetSender struct {
	core *core
	zone int
}

// fleetTask is a request of a client.
type fleetTask struct {
	kind    *requestKind
	request *Request
	sender  *fleetSender
	born    time.Duration
	tries   int
	waiter  *waiter
	grant   *run
	read    float64 // tokens that are left to read
	left    float64 // tokens that are left to write
	written float64
	running bool
	first   time.Duration
	lastOut time.Duration
	paused  time.Duration
}

type fleetEndpoint struct {
	id       string
	zone     int
	speed    float64
	tasks    []*fleetTask // in the order of their coming: the first of them run
	cache    prefixCache
	free     float64         // ms that the present step has left
	loads    []Load          // of the last ms, the newest last
	lie      func(Load) Load // what it tells in place of its load; nil: the truth
	arrivals int
	down     bool
}

func newFleetSimulation(l fleetLayout, kinds ...*requestKind) *fleetSimulation {
	f := &fleetSimulation{layout: l, rng: rand.New(rand.NewPCG(7, l.seed)), kinds: kinds, mail: map[time.Duration][]func(){}, byID: map[string]*fleetEndpoint{}}
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
		for range k.subjects {
			k.sharedOf = append(k.sharedOf, int(k.shared.draw(f.rng)))
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

// after calls something later.
func (f *fleetSimulation) after(d time.Duration, call func()) {
	at := (f.now + max(d, time.Millisecond)).Round(time.Millisecond)
	f.mail[at] = append(f.mail[at], call)
}

func (f *fleetSimulation) submit(k *requestKind) {
	f.ids++
	subject := f.rng.IntN(k.subjects)
	own := max(1, int(k.own.draw(f.rng)))
	in := k.sharedOf[subject] + own
	out := int(math.Ceil(k.out.draw(f.rng) * f.layout.tokensPerEvent))
	t := &fleetTask{kind: k, sender: f.senders[f.rng.IntN(len(f.senders))], born: f.now, left: float64(out)}
	t.request = &Request{ID: fmt.Sprint(f.ids), Service: "s", TokensIn: in, TokensOut: out, Bulk: k.bulk,
		Route:  &operatorconfig.Route{Name: k.name, Kind: operatorconfig.Streaming, LatencyTargetMs: int(k.aim.Milliseconds()), MaxAttempts: 1},
		Prefix: []PromptPart{{uint64(len(k.name))<<40 + uint64(subject), k.sharedOf[subject]}, {1<<60 + f.ids, own}}}
	k.asked++
	t.kind.weight += f.worthOf(t)
	f.request(t)
}

// reveal reports to a sender the true load of each endpoint.
func (f *fleetSimulation) reveal(c *core) {
	for id, e := range c.endpoints {
		e.otherLoad = max(0, float64(len(f.byID[id].tasks)-len(e.running)))
		e.loadReportedAt, e.loadReported = f.now, true
	}
}

// worthOf is what a request in time earns: larger ones earn more.
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
	w := &waiter{request: t.request, sequence: f.ids, deadline: t.born + t.kind.deadline, due: t.born + t.kind.aim}
	c.setTimes(w, f.now, w.due, w.deadline)
	if f.layout.oracle {
		f.reveal(c)
	}
	w.decided = func(w *waiter) {
		if w.refused == nil {
			t.grant = w.granted
			e := f.byID[w.granted.target.ID]
			f.after(f.delay(t.sender, e), func() { f.arrive(t, e) })
			return
		}
		if t.tries++; t.tries > 1 {
			f.recordLost(t)
			return
		}
		f.after(w.refused.RetryAfter, func() {
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
		f.after(f.delay(t.sender, e), func() {
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

// told is the load that an endpoint tells.
func (f *fleetSimulation) reportedLoad(e *fleetEndpoint) Load {
	if !f.layout.tellsLoad {
		return Load{}
	}
	load := f.loadOf(e)
	if len(e.loads) > 0 {
		load = e.loads[0]
	}
	if e.lie != nil {
		load = e.lie(load)
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
			for k.acc += k.perSecond / 1000; k.acc > 0 && f.rng.Float64() < k.acc; k.acc-- {
				f.submit(k)
			}
		}
		arrived := f.mail[f.now]
		delete(f.mail, f.now)
		for _, call := range arrived {
			call()
		}
		for _, e := range f.endpoints {
			f.run(e)
			if f.layout.tellsLate > 0 {
				e.loads = append(e.loads, f.loadOf(e))
				if len(e.loads) > int(f.layout.tellsLate/time.Millisecond) {
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

// run plays a ms of an endpoint: as many steps as fit into it.
func (f *fleetSimulation) run(e *fleetEndpoint) {
	if e.down {
		return
	}
	e.free++
	for e.free > 0 {
		n := min(len(e.tasks), f.layout.slots)
		if n == 0 {
			e.free = 0
			return
		}
		budget := f.layout.chunk
		var done []*fleetTask
		for _, t := range e.tasks[:n] {
			if !t.running {
				f.begin(e, t)
			}
			if t.read > 0 {
				now := min(budget, t.read)
				t.read -= now
				budget -= now
				if t.read > 0 {
					continue
				}
			}
			if f.write(e, t); t.left <= 0 {
				done = append(done, t)
			}
		}
		e.free -= (f.layout.stepMs + f.layout.stepPerSlotMs*float64(n) + (f.layout.chunk-budget)/f.layout.readPerMs) * e.speed
		for _, t := range done {
			e.tasks = slices.DeleteFunc(e.tasks, func(o *fleetTask) bool { return o == t })
			f.finish(e, t)
		}
	}
}

func (f *fleetSimulation) begin(e *fleetEndpoint, t *fleetTask) {
	t.running = true
	chains := hashPrefixes(t.request.Model, t.request.Prefix)
	t.read = float64(t.request.TokensIn)
	kept := e.cache.cachedParts(chains, f.now, maxCacheLifetime)
	for _, part := range t.request.Prefix[:kept] {
		t.read -= float64(part.Tokens)
	}
	if kept == 0 {
		t.kind.reread += t.request.Prefix[0].Tokens
	}
	e.cache.recordPrompt(f.now, chains, t.request.Prefix, 1, f.layout.cacheTokens, 1<<20)
}

// write gives a request its next token. The client sees whole events.
func (f *fleetSimulation) write(e *fleetEndpoint, t *fleetTask) {
	t.left--
	t.written++
	if t.first == 0 {
		t.first, t.lastOut = f.now, f.now
		load := f.reportedLoad(e)
		f.after(f.delay(t.sender, e), func() {
			t.sender.core.now = f.now
			t.sender.core.recordFirstToken(t.grant, load)
		})
		return
	}
	if math.Mod(t.written, f.layout.tokensPerEvent) < 1 {
		t.paused = max(t.paused, f.now-t.lastOut)
		t.lastOut = f.now
	}
}

func (f *fleetSimulation) finish(e *fleetEndpoint, t *fleetTask) {
	f.count(t)
	f.after(f.delay(t.sender, e), func() {
		t.sender.core.now = f.now
		t.sender.core.endRun(t.grant, Served, Load{})
	})
}

// count takes the end of a request into the account.
func (f *fleetSimulation) count(t *fleetTask) {
	if t.born <= f.counted {
		return
	}
	k := t.kind
	took := t.first - t.born
	if k.bulk {
		took = f.now - t.born
	}
	k.firsts = append(k.firsts, float64(took)/float64(time.Millisecond))
	switch {
	case took > k.aim:
		k.over++
		k.lateFirst++
		k.earned += f.worthOf(t) * k.late
	case !k.bulk && t.paused > k.pause:
		k.over++
		k.pauses++
		k.earned += f.worthOf(t) * k.late
	default:
		k.inAim++
		k.earned += f.worthOf(t)
	}
}

// recordLost takes a request into the account that is never served.
func (f *fleetSimulation) recordLost(t *fleetTask) {
	if t.born > f.counted {
		t.kind.lost++
	}
}

// resetCounts begins the account anew.
func (f *fleetSimulation) resetCounts() {
	f.counted = f.now
	for _, k := range f.kinds {
		k.asked, k.inAim, k.over, k.lost, k.pauses, k.lateFirst, k.reread = 0, 0, 0, 0, 0, 0, 0
		k.weight, k.earned, k.firsts = 0, 0, nil
	}
}

// worth is the share of what was owed that was earned.
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
		slices.Sort(k.firsts)
		q := func(share float64) float64 { return quantile(k.firsts, share) }
		t.Logf("%-9s %6d asked, worth %.3f; late %.4f by the first word, %.4f by a pause; lost %.4f; %8d tokens read anew; p50 %.0f p90 %.0f p99 %.0f",
			k.name, k.asked, k.earned/k.weight, float64(k.lateFirst)/float64(k.asked), float64(k.pauses)/float64(k.asked),
			float64(k.lost)/float64(k.asked), k.reread, q(0.5), q(0.9), q(0.99))
	}
	running, most := 0, 0
	for _, e := range f.endpoints {
		running += len(e.tasks)
		most = max(most, len(e.tasks))
	}
	t.Logf("worth %.4f; %d at the endpoints, %d at the fullest", f.worth(), running, most)
}
