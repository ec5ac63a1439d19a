package dispatch

import (
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// wideLayout is a fleet with many senders before many endpoints, each of which has few slots: a sender meets an endpoint seldom.
func wideLayout() fleetLayout {
	return fleetLayout{senders: 30, endpoints: 45, zones: 5, slots: 12, cacheTokens: 320_000, maxConns: 480, stepMs: 1.85, stepPerSlotMs: 0.01,
		readPerMs: 128, chunk: 4096, speeds: []float64{1, 1, 1.3}, tokensPerEvent: 21, zoneDelay: 1400 * time.Microsecond, tellsLoad: true}
}

// mixture is short requests, long prompts with a shared prefix, and bulk, at so many a second.
func mixture(short, long, bulk float64) []*requestKind {
	return []*requestKind{
		{name: "short", perSecond: short, subjects: 40, shared: fleetSize{103, 0.4, 257}, own: fleetSize{612, 0.89, 2500},
			out: fleetSize{13.3, 0.7, 45}, aim: 300 * time.Millisecond, pause: 400 * time.Millisecond, deadline: 5 * time.Second, worth: 2, late: 0.3},
		{name: "long", perSecond: long, subjects: 170, shared: fleetSize{13300, 0.7, 39900}, own: fleetSize{3720, 1.1, 53200},
			out: fleetSize{5.7, 1.4, 22.8}, aim: 400 * time.Millisecond, pause: 400 * time.Millisecond, deadline: 4 * time.Second, worth: 3, late: 0.3},
		{name: "bulk", perSecond: bulk, subjects: 30, shared: fleetSize{432, 0.4, 1080}, own: fleetSize{768, 0.6, 4370},
			out: fleetSize{32, 0.6, 70}, aim: 10 * time.Second, deadline: 60 * time.Second, worth: 2.4, late: 0.28, bulk: true},
	}
}

// fleetWorld is a fleet with its traffic: a warm-up, and then a rush of bulk with what follows it.
type fleetScenario struct {
	layout fleetLayout
	kinds  func() []*requestKind
	rush   float64 // by so much bulk is multiplied for a second
}

// Worlds that no bench has, and one like the widest that is known.
var fleetScenarios = map[string]fleetScenario{
	"many senders, many endpoints": {wideLayout(), func() []*requestKind { return mixture(200, 45, 120) }, 6},
	"few senders, large endpoints": {func() fleetLayout {
		l := wideLayout()
		l.senders, l.endpoints, l.zones, l.slots, l.cacheTokens, l.stepMs = 4, 10, 2, 48, 900_000, 3.1
		return l
	}(), func() []*requestKind { return mixture(120, 20, 90) }, 5},
	"two endpoints": {func() fleetLayout {
		l := wideLayout()
		l.senders, l.endpoints, l.zones, l.slots, l.cacheTokens = 20, 2, 2, 64, 4_000_000
		return l
	}(), func() []*requestKind { return mixture(40, 4, 15) }, 5},
	"loads told late": {func() fleetLayout {
		l := wideLayout()
		l.tellsLate = 400 * time.Millisecond
		return l
	}(), func() []*requestKind { return mixture(180, 40, 100) }, 6},
	"loads never told": {func() fleetLayout {
		l := wideLayout()
		l.tellsLoad = false
		return l
	}(), func() []*requestKind { return mixture(180, 40, 60) }, 4},
	"one zone, slow steps, short answers": {func() fleetLayout {
		l := wideLayout()
		l.zones, l.stepMs, l.readPerMs, l.speeds = 1, 4, 60, []float64{1}
		return l
	}(), func() []*requestKind { return mixture(90, 15, 50) }, 4},
}

// playScenario returns what was earned of what was owed, and the share of interactive requests that were not served in time.
func playScenario(t *testing.T, w fleetScenario, settings Settings, oracle bool) (worth, missed float64) {
	t.Helper()
	layout := w.layout
	layout.settings, layout.oracle = settings, oracle
	f := newFleetSimulation(layout, w.kinds()...)
	f.play(4 * time.Second)
	f.resetCounts()
	bulk := f.kinds[2]
	bulk.perSecond *= w.rush
	f.play(time.Second)
	bulk.perSecond /= w.rush
	f.play(6 * time.Second)
	bulk.perSecond = 0
	f.play(6 * time.Second) // so that what was asked for is over
	f.report(t)
	asked, over := 0, 0
	for _, k := range f.kinds[:2] {
		asked += k.asked
		over += k.over + k.lost
	}
	return f.worth(), float64(over) / float64(asked)
}

// everywhere makes each endpoint part of each sender's subset: no subsets.
var everywhere = Settings{SendersPerEndpoint: 1e6}

func TestSubsetsInManyWorlds(t *testing.T) {
	for name, w := range fleetScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worth, missed := playScenario(t, w, Settings{}, false)
			without, missedWithout := playScenario(t, w, everywhere, false)
			t.Logf("worth %.4f, %.4f not in time; without subsets %.4f, %.4f", worth, missed, without, missedWithout)
			if worth < without-0.01 || missed > missedWithout+0.01 {
				t.Errorf("subsets cost: worth %.4f against %.4f, not in time %.4f against %.4f", worth, without, missed, missedWithout)
			}
		})
	}
}

// With many senders, knowing few endpoints well is worth most of what knowing all of them would be.
func TestSubsetsKeepInteractiveRequestsInTimeInARush(t *testing.T) {
	w := fleetScenarios["many senders, many endpoints"]
	_, missed := playScenario(t, w, Settings{}, false)
	_, without := playScenario(t, w, everywhere, false)
	_, limit := playScenario(t, w, everywhere, true)
	t.Logf("not in time: %.4f, without subsets %.4f, with all loads known %.4f", missed, without, limit)
	if missed > without/2 {
		t.Errorf("%.4f of interactive requests are not served in time, %.4f without subsets", missed, without)
	}
}

func TestSubsetsCoverAllEndpoints(t *testing.T) {
	l := wideLayout()
	l.endpoints, l.senders = 100, 200
	f := newFleetSimulation(l, mixture(1, 1, 1)...)
	shared := map[string]int{}
	for _, s := range f.senders {
		chosen := 0
		for id, e := range s.core.endpoints {
			if !e.inSubset {
				continue
			}
			chosen++
			shared[id]++
			if e.target.Zone != s.core.zone {
				t.Errorf("a sender prefers %s of another zone, though its own has enough", id)
			}
		}
		if chosen != s.core.settings.MinSubsetSize {
			t.Errorf("a sender prefers %d endpoints", chosen)
		}
	}
	for _, e := range f.endpoints {
		if shared[e.id] == 0 || shared[e.id] > 4*200*3/100 {
			t.Errorf("%s is preferred by %d senders", e.id, shared[e.id])
		}
	}
}

// An endpoint that comes or goes leaves the rest of a subset as it is.
func TestSubsetsChangeLittle(t *testing.T) {
	f := newFleetSimulation(wideLayout(), mixture(1, 1, 1)...)
	c := f.senders[0].core
	before := map[string]bool{}
	gone := ""
	for id, e := range c.endpoints {
		if before[id] = e.inSubset; e.inSubset {
			gone = id
		}
	}
	snap := f.snapshot()
	for i, e := range snap.Endpoints["s"] {
		if e.ID == gone {
			snap.Endpoints["s"] = append(snap.Endpoints["s"][:i:i], snap.Endpoints["s"][i+1:]...)
			break
		}
	}
	c.applySnapshot(snap)
	changed := 0
	for id, e := range c.endpoints {
		if e.inSubset != before[id] {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("%d other endpoints entered or left the subset when one went", changed)
	}
}

// Bulk that no endpoint of the subset may serve goes to others, whatever is known of them: those of its regime, those of its model, or
// any while the subset is ejected.
func TestBulkOutsideTheSubset(t *testing.T) {
	layout := wideLayout()
	layout.senders = 100
	busy := func() (*core, []*endpoint) {
		f := newFleetSimulation(layout, mixture(1, 1, 1)...)
		c := f.senders[0].core
		c.now = time.Minute
		p := c.pool("s")
		p.otherLoad.value = 6 // of 12 slots: a doubt of three deviations leaves no room
		var outside []*endpoint
		for _, e := range p.endpoints {
			if !e.inSubset {
				outside = append(outside, e)
			}
		}
		return c, outside
	}
	ask := func(c *core, r *Request) *run {
		r.ID, r.Service, r.Bulk = "1", "s", true
		var granted *run
		w := &waiter{request: r, decided: func(w *waiter) { granted = w.granted }}
		c.setTimes(w, c.now, w.due, w.deadline)
		w.due = c.now + time.Minute
		c.admit(w)
		return granted
	}
	c, outside := busy()
	if granted := ask(c, &Request{}); granted == nil || !granted.endpoint.inSubset {
		t.Error("not granted an endpoint of the subset")
	}
	only := outside[0].target.ID
	if granted := ask(c, &Request{Regime: "r", Certified: func(id string) bool { return id == only }}); granted == nil {
		t.Error("waits, though a certified endpoint outside the subset has room")
	}
	outside[1].models = []snapshot.Model{{Name: "m"}}
	for _, e := range c.pool("s").endpoints {
		if e != outside[1] {
			e.models = []snapshot.Model{{Name: "other"}}
		}
	}
	if granted := ask(c, &Request{Model: "m"}); granted == nil {
		t.Error("waits, though the endpoint with its model has room")
	}
	c, _ = busy()
	for _, e := range c.pool("s").endpoints {
		if e.inSubset {
			c.eject(e, 0)
		}
	}
	if granted := ask(c, &Request{}); granted == nil || granted.endpoint.inSubset {
		t.Error("waits for a subset that is ejected")
	}
}
