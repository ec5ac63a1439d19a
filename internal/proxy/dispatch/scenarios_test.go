package dispatch

import (
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// wideLayout is a fleet of many senders and many endpoints with few slots each: a sender rarely sends to any one endpoint.
func wideLayout() fleetLayout {
	return fleetLayout{senders: 30, endpoints: 45, zones: 5, slots: 12, cacheTokens: 320_000, maxConns: 480, stepMs: 1.85, stepPerSlotMs: 0.01,
		prefillPerMs: 128, prefillChunk: 4096, speeds: []float64{1, 1, 1.3}, tokensPerEvent: 21, zoneDelay: 1400 * time.Microsecond, reportsLoad: true}
}

// mixture is short requests, long prompts with a shared prefix, and bulk, at given rates per second.
func mixture(short, long, bulk float64) []*requestKind {
	return []*requestKind{
		{name: "short", perSecond: short, prefixes: 40, shared: fleetSize{103, 0.4, 257}, own: fleetSize{612, 0.89, 2500},
			out: fleetSize{13.3, 0.7, 45}, latencyTarget: 300 * time.Millisecond, maxPause: 400 * time.Millisecond, deadline: 5 * time.Second, worth: 2, lateShare: 0.3},
		{name: "long", perSecond: long, prefixes: 170, shared: fleetSize{13300, 0.7, 39900}, own: fleetSize{3720, 1.1, 53200},
			out: fleetSize{5.7, 1.4, 22.8}, latencyTarget: 400 * time.Millisecond, maxPause: 400 * time.Millisecond, deadline: 4 * time.Second, worth: 3, lateShare: 0.3},
		{name: "bulk", perSecond: bulk, prefixes: 30, shared: fleetSize{432, 0.4, 1080}, own: fleetSize{768, 0.6, 4370},
			out: fleetSize{32, 0.6, 70}, latencyTarget: 10 * time.Second, deadline: 60 * time.Second, worth: 2.4, lateShare: 0.28, bulk: true},
	}
}

// fleetScenario is a fleet with its traffic: a warm-up, then a burst of bulk and the time after it.
type fleetScenario struct {
	layout      fleetLayout
	kinds       func() []*requestKind
	burstFactor float64 // factor of the rate of bulk for a second
}

// Fleets that no bench has, and one like the largest known.
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
	"late load reports": {func() fleetLayout {
		l := wideLayout()
		l.reportAge = 400 * time.Millisecond
		return l
	}(), func() []*requestKind { return mixture(180, 40, 100) }, 6},
	"no load reports": {func() fleetLayout {
		l := wideLayout()
		l.reportsLoad = false
		return l
	}(), func() []*requestKind { return mixture(180, 40, 60) }, 4},
	"one zone, slow steps, short answers": {func() fleetLayout {
		l := wideLayout()
		l.zones, l.stepMs, l.prefillPerMs, l.speeds = 1, 4, 60, []float64{1}
		return l
	}(), func() []*requestKind { return mixture(90, 15, 50) }, 4},
}

// playScenario returns the earned share of the worth of all requests, and the share of interactive requests that were not served in time.
func playScenario(t *testing.T, w fleetScenario, settings Settings, oracle bool) (worth, missed float64) {
	t.Helper()
	layout := w.layout
	layout.settings, layout.oracle = settings, oracle
	f := newFleetSimulation(layout, w.kinds()...)
	f.play(4 * time.Second)
	f.resetCounts()
	bulk := f.kinds[2]
	bulk.perSecond *= w.burstFactor
	f.play(time.Second)
	bulk.perSecond /= w.burstFactor
	f.play(6 * time.Second)
	bulk.perSecond = 0
	f.play(6 * time.Second) // so that all requests end
	f.report(t)
	submitted, late := 0, 0
	for _, k := range f.kinds[:2] {
		submitted += k.submitted
		late += k.late + k.lost
	}
	return f.worth(), float64(late) / float64(submitted)
}

// withoutSubsets disables subsets: each sender's subset has all endpoints.
var withoutSubsets = Settings{SendersPerEndpoint: 1e6}

func TestSubsetsInAllScenarios(t *testing.T) {
	for name, w := range fleetScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worth, missed := playScenario(t, w, Settings{}, false)
			without, missedWithout := playScenario(t, w, withoutSubsets, false)
			t.Logf("worth %.4f, %.4f not in time; without subsets %.4f, %.4f", worth, missed, without, missedWithout)
			if worth < without-0.01 || missed > missedWithout+0.01 {
				t.Errorf("worse than without subsets: worth %.4f against %.4f, not in time %.4f against %.4f", worth, without, missed, missedWithout)
			}
		})
	}
}

// With many senders, recent loads of the few endpoints of a subset give most of the benefit that the true loads of all endpoints would
// give.
func TestSubsetsKeepInteractiveRequestsInTimeInABurst(t *testing.T) {
	w := fleetScenarios["many senders, many endpoints"]
	_, missed := playScenario(t, w, Settings{}, false)
	_, without := playScenario(t, w, withoutSubsets, false)
	_, limit := playScenario(t, w, withoutSubsets, true)
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
				t.Errorf("the subset of a sender has %s of another zone, though there are enough endpoints in its own", id)
			}
		}
		if chosen != s.core.settings.MinSubsetSize {
			t.Errorf("the subset of a sender has %d endpoints", chosen)
		}
	}
	for _, e := range f.endpoints {
		if shared[e.id] == 0 || shared[e.id] > 4*200*3/100 {
			t.Errorf("%s is in the subsets of %d senders", e.id, shared[e.id])
		}
	}
}

// An endpoint that leaves the fleet is replaced in a subset, and the rest of the subset does not change.
func TestSubsetsChangeLittle(t *testing.T) {
	f := newFleetSimulation(wideLayout(), mixture(1, 1, 1)...)
	c := f.senders[0].core
	before := map[string]bool{}
	removed := ""
	for id, e := range c.endpoints {
		if before[id] = e.inSubset; e.inSubset {
			removed = id
		}
	}
	snap := f.snapshot()
	for i, e := range snap.Endpoints["s"] {
		if e.ID == removed {
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
		t.Errorf("%d other endpoints joined or left the subset when one endpoint left, want 1", changed)
	}
}

// Bulk that no endpoint of the subset may serve is sent to other endpoints without regard to the age of their load reports: to those
// certified for its regime, those with its model, or any while the subset is ejected.
func TestBulkOutsideTheSubset(t *testing.T) {
	layout := wideLayout()
	layout.senders = 100
	busy := func() (*core, []*endpoint) {
		f := newFleetSimulation(layout, mixture(1, 1, 1)...)
		c := f.senders[0].core
		c.now = time.Minute
		p := c.pool("s")
		p.otherLoad.value = 6 // of 12 slots: with an uncertainty of three deviations there is no capacity
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
		t.Error("waits, though a certified endpoint outside the subset has capacity")
	}
	outside[1].models = []snapshot.Model{{Name: "m"}}
	for _, e := range c.pool("s").endpoints {
		if e != outside[1] {
			e.models = []snapshot.Model{{Name: "other"}}
		}
	}
	if granted := ask(c, &Request{Model: "m"}); granted == nil {
		t.Error("waits, though the endpoint with its model has capacity")
	}
	c, _ = busy()
	for _, e := range c.pool("s").endpoints {
		if e.inSubset {
			c.eject(e, 0)
		}
	}
	if granted := ask(c, &Request{}); granted == nil || granted.endpoint.inSubset {
		t.Error("waits, though all endpoints of the subset are ejected and others have capacity")
	}
}
