package rules

import (
	"maps"
	"slices"
	"time"

	"dunetide/internal/lab/trace"
)

// The rules of a fleet.
const (
	FalseRemoval     = "silent is never gone"
	IncarnationOrder = "an incarnation never falls"
	Healed           = "all see all when faults have ended"
	RelayBypass      = "no byte between nodes but through the relays"
)

// HealTime is the time after the last fault within which all running nodes must see each other as alive: several periods of the
// fleet protocol (a reconnection attempt at least every 5 s, then gossip), with a margin for a busy machine.
const HealTime = 30 * time.Second

// Known summarizes how long nodes took to learn of an event.
type Known struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_s"`
	P99    float64 `json:"p99_s"`
	Most   float64 `json:"most_s"`
}

// FleetAccount summarizes a run of a fleet.
type FleetAccount struct {
	Nodes           int              `json:"nodes"`
	Known           map[string]Known `json:"known"`            // by event: death, leaving, start
	FalseSuspicions int              `json:"false_suspicions"` // of a running node, without a fault between nodes
	Calm            float64          `json:"calm_s"`           // seconds observed without any fault
}

type view struct {
	state       string
	incarnation uint64
	line        int
}

// event is a change of one node that the others have to detect.
type event struct {
	what    string
	at      time.Duration
	learned map[int]bool
}

// fleet tracks each node's view of the others. Nodes are identified by index, as in the whole trace.
type fleet struct {
	checker  *Checker
	views    map[[2]int]view // by observer and observed node
	up       map[int]bool
	left     map[int]int // trace line of its graceful shutdown
	removed  map[int]int // trace line of its removal by an operator
	stopped  map[int]time.Duration
	nets     int // number of active faults between nodes
	last     time.Duration
	calm     time.Duration
	events   map[int]*event
	took     map[string][]float64
	suspects int
	any      bool
}

func newFleet(c *Checker) *fleet {
	return &fleet{checker: c, views: map[[2]int]view{}, up: map[int]bool{}, left: map[int]int{}, removed: map[int]int{},
		stopped: map[int]time.Duration{}, events: map[int]*event{}, took: map[string][]float64{}}
}

func (f *fleet) record(r trace.Record) {
	switch r.What {
	case trace.Ready:
		f.checkCalm(r.At)
		if !f.up[r.Node] {
			f.events[r.Node] = &event{"start", r.At, map[int]bool{}}
		}
		f.up[r.Node] = true
	case trace.Start:
		f.checkCalm(r.At)
		for pair := range f.views { // a restarted node has no views
			if pair[0] == r.Node {
				delete(f.views, pair)
			}
		}
	case trace.Stop:
		f.checkCalm(r.At)
		f.up[r.Node] = false
		what := "death"
		if r.Result == "SIGTERM" {
			f.left[r.Node], what = f.checker.line, "leaving"
		}
		f.events[r.Node] = &event{what, r.At, map[int]bool{}}
	case trace.Fault:
		if r.Result == "stop" {
			f.checkCalm(r.At)
			f.stopped[r.Node] = r.Until
		}
	case trace.Net:
		f.checkCalm(r.At)
		f.any = true
		f.nets += r.Lines
	case trace.Removal:
		f.checkCalm(r.At)
		f.removed[r.EP] = f.checker.line
	case trace.Member:
		f.any = true
		f.member(r)
	case trace.RunEnded:
		f.checkCalm(r.At)
	}
}

// calmSince returns the time since when there has been no fault, as far as is known at now.
func (f *fleet) calmSince(now time.Duration) time.Duration {
	since := f.last
	for _, until := range f.stopped {
		since = max(since, min(until, now))
	}
	return since
}

// checkCalm is called before a change of state. If there was no fault for HealTime, it checks that all nodes see each other as
// alive.
func (f *fleet) checkCalm(now time.Duration) {
	since := f.calmSince(now)
	if f.nets == 0 && now-since >= HealTime && f.any {
		f.calm += now - since - HealTime
		f.checkViews(now, since)
	}
	f.last = now
	maps.DeleteFunc(f.stopped, func(_ int, until time.Duration) bool { return until <= now })
}

func (f *fleet) checkViews(now, since time.Duration) {
	for _, from := range slices.Sorted(maps.Keys(f.up)) {
		for _, to := range slices.Sorted(maps.Keys(f.up)) {
			if v := f.views[[2]int{from, to}]; from != to && f.up[from] && f.up[to] && v.state != "alive" {
				f.checker.report(now, Healed, []int{v.line, f.checker.line}, "node %d sees node %d as %q, %.0f s after the last fault", from, to, v.state, (now - since).Seconds())
			}
		}
	}
}

func (f *fleet) member(r trace.Record) {
	pair := [2]int{r.Node, r.EP}
	was := f.views[pair]
	v := view{r.Result, r.Call, f.checker.line}
	f.views[pair] = v
	if v.incarnation < was.incarnation {
		f.checker.report(r.At, IncarnationOrder, []int{was.line, v.line}, "node %d sees node %d under incarnation %d after %d", r.Node, r.EP, v.incarnation, was.incarnation)
	}
	switch {
	case v.state == "left" && f.left[r.EP] == 0:
		f.checker.report(r.At, FalseRemoval, []int{v.line}, "node %d sees node %d as left, which was not shut down", r.Node, r.EP)
	case v.state == "removed" && f.removed[r.EP] == 0:
		f.checker.report(r.At, FalseRemoval, []int{v.line}, "node %d sees node %d as removed, which no operator requested", r.Node, r.EP)
	case v.state == "suspect" && was.state == "alive" && f.up[r.EP] && f.up[r.Node] && f.nets == 0 && r.At-f.calmSince(r.At) >= HealTime:
		f.suspects++
	}
	if e := f.events[r.EP]; e != nil && !e.learned[r.Node] {
		if want := map[string]string{"death": "suspect", "leaving": "left", "start": "alive"}[e.what]; v.state == want {
			e.learned[r.Node] = true
			f.took[e.what] = append(f.took[e.what], (r.At - e.at).Seconds())
		}
	}
}

func (f *fleet) finish() *FleetAccount {
	if !f.any {
		return nil
	}
	a := &FleetAccount{Nodes: len(f.up), Known: map[string]Known{}, FalseSuspicions: f.suspects, Calm: f.calm.Seconds()}
	for what, all := range f.took {
		slices.Sort(all)
		a.Known[what] = Known{len(all), all[len(all)/2], all[len(all)*99/100], all[len(all)-1]}
	}
	return a
}
