// Package soak plays a serving tier of real processes over real sockets under random faults that overlap in time: processes
// that are killed, frozen, stopped and restarted, machines that are cut off or lose their disks, reloads, clients and endpoints that
// misbehave, operators that race. Clients, operators, readers of the configuration and the processes' own invariants are watched all
// along. A seed gives the same plan again; docs/soak.md describes it.
package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dunetide/internal/lab/world"
)

// Kind of a trouble.
type Kind string

// The kinds. Those of a machine concern its keeper or its store, or with All each of its processes.
const (
	Kill           Kind = "kill"           // a process is killed, and starts again
	Freeze         Kind = "freeze"         // processes stand still for a while
	Term           Kind = "term"           // a process gets SIGTERM, and starts again; How "twice": a second one soon after
	RollProxies    Kind = "roll-proxies"   // all proxies get SIGTERM, one after the other
	TermStores     Kind = "term-stores"    // all stores get SIGTERM at once
	Hangup         Kind = "hangup"         // processes get SIGHUP with another order of seeds; How "stopping": right before SIGTERM
	CutOff         Kind = "cut-off"        // a machine is cut off from all others in silence; clients and operators reach it
	CutOneWay      Kind = "cut-one-way"    // its words are lost
	Halves         Kind = "halves"         // the machines with disks are cut into two halves
	LoseAnswers    Kind = "lose-answers"   // nothing that a machine says reaches clients, operators and endpoints, which it hears
	WipeDisk       Kind = "wipe"           // a process is killed and loses its disk
	KillKeepers    Kind = "kill-keepers"   // all keepers are killed at once
	Leave          Kind = "leave"          // an endpoint leaves; How "silent": without saying that it drains; "lured": to the machine that is cut off
	CrashServer    Kind = "crash-endpoint" // an endpoint ends without a word, and another one comes at its address
	DarkServer     Kind = "dark-endpoint"  // an endpoint falls silent for a while
	CorruptAnswers Kind = "spoil"          // endpoints spoil answers for a while
	Misbehave      Kind = "misbehave"      // clients stall in headers and bodies, and close in the middle
	Race           Kind = "race"           // two operators put different orders on the same version, again and again
	Twin           Kind = "twin"           // a second process of the same machine and role is started
)

// Final is what happens at the end of a play, right after an order was acknowledged.
type Final string

// The finals.
const (
	FinalNone    Final = "none"
	FinalKillAll Final = "kill-all"      // all processes are killed
	FinalWipe    Final = "wipe-and-dark" // as many machines as may be lost lose their disks, and all others are killed at that moment
	FinalRestart Final = "restart-all"   // all processes get SIGTERM at once
)

const (
	firstEpisode  = 2 * time.Second
	episodeLength = 6 * time.Second // from the first trouble of an episode to the last one's end, at most
	episodeCalm   = 4 * time.Second
	longestFault  = 5 * time.Second
	shortestFault = 400 * time.Millisecond
	maxOverlap    = 3
	wipesUntil    = 0.5 // part of a play after which no disk is lost, so that the end may lose some
)

// Fault is one entry of a plan.
type Fault struct {
	Number int           `json:"number"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Kind   Kind          `json:"kind"`
	How    string        `json:"how,omitempty"`
	// Targets choose machines, processes or endpoints; each is taken modulo how many there are.
	Targets []int `json:"targets,omitempty"`
}

// String returns the fault in one line.
func (t Fault) String() string {
	return strings.Join(strings.Fields(fmt.Sprintf("%d: %s %s %v at %.1f s for %.1f s", t.Number, t.Kind, t.How, t.Targets, t.At.Seconds(), t.For.Seconds())), " ")
}

// Shape is what there is of a tier.
type Shape struct {
	Zones   int `json:"zones"`
	Edges   int `json:"edges"`   // a zone
	Keepers int `json:"keepers"` // a zone
	Stores  int `json:"stores"`  // over all zones
	Survive int `json:"survive"` // machines with disks that may be lost at once
}

// shapes are what is drawn from: 3, 4 and 6 voters, losses of 1 and 2.
var shapes = []Shape{
	{Zones: 3, Edges: 1, Keepers: 1, Stores: 3, Survive: 1},
	{Zones: 3, Edges: 2, Keepers: 1, Stores: 3, Survive: 1},
	{Zones: 2, Edges: 2, Keepers: 2, Stores: 3, Survive: 1},
	{Zones: 4, Edges: 1, Keepers: 1, Stores: 4, Survive: 1},
	{Zones: 3, Edges: 2, Keepers: 2, Stores: 5, Survive: 2},
}

// Plan is a play that is drawn.
type Plan struct {
	Seed       uint64        `json:"seed"`
	Shape      Shape         `json:"shape"`
	Length     time.Duration `json:"length"`
	Faults     []Fault       `json:"troubles"`
	Final      Final         `json:"final"`
	LeaveShare float64       `json:"give_up"` // the share of clients that leave
	Load       float64       `json:"load"`
}

// weights say how often a kind is drawn.
var weights = []struct {
	kind   Kind
	weight int
	how    []string
}{
	{Kill, 5, []string{"keeper", "store", "proxy"}},
	{Freeze, 5, []string{"keeper", "store", "proxy"}},
	{Term, 4, []string{"keeper", "store", "proxy", "proxy twice", "keeper twice"}},
	{RollProxies, 2, []string{""}},
	{TermStores, 1, []string{""}},
	{Hangup, 2, []string{"", "stopping"}},
	{CutOff, 5, []string{"keeper", "store"}},
	{CutOneWay, 3, []string{"keeper", "store"}},
	{Halves, 4, []string{""}},
	{WipeDisk, 2, []string{"keeper", "store"}},
	{KillKeepers, 1, []string{""}},
	{Leave, 5, []string{"", "silent", "lured", "silent lured"}},
	{CrashServer, 2, []string{""}},
	{DarkServer, 2, []string{""}},
	{CorruptAnswers, 3, []string{""}},
	{Misbehave, 3, []string{""}},
	{Race, 3, []string{""}},
	{LoseAnswers, 4, []string{"keeper", "proxy"}},
	{Twin, 1, []string{"keeper", "store", "proxy"}},
}

// RandomPlan makes the plan of a seed: episodes of two or three troubles that overlap, with calm in between.
func RandomPlan(seed uint64, length time.Duration) Plan {
	rng := world.Random(seed, "soak plan")
	p := Plan{Seed: seed, Shape: shapes[rng.IntN(len(shapes))], Length: length, Load: 0.5 + rng.Float64()}
	if rng.IntN(2) == 0 {
		p.LeaveShare = 0.05 + 0.2*rng.Float64()
	}
	p.Final = []Final{FinalNone, FinalKillAll, FinalWipe, FinalWipe, FinalRestart}[rng.IntN(5)]
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	wipes := 0
	for begin := firstEpisode; begin+episodeLength <= length; begin += episodeLength + episodeCalm {
		for range 2 + rng.IntN(maxOverlap-1) {
			t := Fault{Number: len(p.Faults) + 1, At: begin + time.Duration(rng.Int64N(int64(episodeLength-longestFault)+1)),
				For: shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))}
			at := rng.IntN(total)
			for _, w := range weights {
				if at -= w.weight; at < 0 {
					t.Kind, t.How = w.kind, w.how[rng.IntN(len(w.how))]
					break
				}
			}
			for range 1 + rng.IntN(2) {
				t.Targets = append(t.Targets, rng.IntN(1<<10))
			}
			if t.Kind == WipeDisk {
				if wipes > 0 || begin > time.Duration(wipesUntil*float64(length)) {
					t.Kind = Kill
				}
				wipes++
			}
			p.Faults = append(p.Faults, t)
		}
	}
	return p
}

// latestEnd is by when the troubles of the plan have ended, counted from its beginning. Processes that are stopped take up to the grace.
func (p Plan) latestEnd() time.Duration {
	last := p.Length
	for _, t := range p.Faults {
		ends := t.At + t.For + grace + backAfter
		switch t.Kind {
		case RollProxies:
			ends = t.At + time.Duration(p.Shape.Zones*p.Shape.Edges)*(grace+2*rollPause+backAfter)
		case Leave:
			ends += drainedFor
		}
		last = max(last, ends)
	}
	return last
}

// Only keeps the troubles with these numbers; none named: all.
func (p Plan) Only(numbers []int) Plan {
	if len(numbers) > 0 {
		p.Faults = slices.DeleteFunc(slices.Clone(p.Faults), func(t Fault) bool { return !slices.Contains(numbers, t.Number) })
	}
	return p
}
