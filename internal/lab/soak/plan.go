// Package soak plays a serving tier of real processes over real sockets under random faults that overlap in time:
// processes that are killed, frozen, stopped and restarted, machines that are cut off or lose their disks, reloads,
// clients and endpoints that misbehave, operators that race. Clients, operators, readers of the configuration and the
// processes' own invariants are watched all along. A seed gives the same plan again; docs/soak.md describes it.
package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind of a fault. Its value stands in accounts and in what dunetide-lab prints.
type Kind string

// The kinds. Fault.How names the role of the process or the variant where a kind has several.
const (
	Kill        Kind = "kill"         // a process is killed, and starts again
	Freeze      Kind = "freeze"       // processes stand still for a while
	Term        Kind = "term"         // a process gets SIGTERM, and starts again; How "twice": a second one soon after
	RollProxies Kind = "roll-proxies" // all proxies get SIGTERM, one after the other
	TermStores  Kind = "term-stores"  // all stores get SIGTERM at once
	// Hangup has processes reload settings with another order of seeds. How "stopping": one is ended right after.
	Hangup      Kind = "hangup"
	CutOff      Kind = "cut-off"      // no packet passes between a machine and the others; clients and operators reach it
	CutOneWay   Kind = "cut-one-way"  // what a machine sends to the others is lost, what they send arrives
	Halves      Kind = "halves"       // the machines with disks are cut into two halves
	LoseAnswers Kind = "lose-answers" // clients, operators and endpoints reach a machine, and its answers are lost
	WipeDisk    Kind = "wipe"         // a process is killed and loses its disk
	KillKeepers Kind = "kill-keepers" // all keepers are killed at once
	// Leave has an endpoint end as planned. How "silent": without announcing that it drains; "lured": it reports to
	// the machine that is cut off.
	Leave          Kind = "leave"
	CrashServer    Kind = "crash-endpoint" // an endpoint ends without notice, and another one starts at its address
	DarkServer     Kind = "dark-endpoint"  // nothing moves on an endpoint's connections for a while
	CorruptAnswers Kind = "spoil"          // endpoints give corrupt answers for a while
	Misbehave      Kind = "misbehave"      // clients stall in headers and bodies, and close in the middle
	Race           Kind = "race"           // two operators put different configurations on one version, again and again
	Twin           Kind = "twin"           // a second process of the same machine and role is started
	// SignalSeries has processes get SIGHUP again and again, then SIGTERM among further signals, and start again.
	SignalSeries Kind = "signal-series"
	// RestartSeries starts and ends processes again and again. How: the role, and "term" or "kill".
	RestartSeries Kind = "restart-series"
	HangupSeries  Kind = "hangup-series" // all processes get SIGHUP again and again, with other settings
)

// Final is what happens at the end of a play, right after a configuration was acknowledged.
type Final string

// The finals.
const (
	FinalNone    Final = "none"
	FinalKillAll Final = "kill-all" // all processes are killed
	// FinalWipe has as many machines as may be lost lose their disks, and kills all others at that moment.
	FinalWipe    Final = "wipe-and-dark"
	FinalRestart Final = "restart-all" // all processes get SIGTERM at once
)

// Fault is one entry of a plan. Its times count from the beginning of the play.
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
func (f Fault) String() string {
	line := fmt.Sprintf("%d: %s %s %v at %.1f s for %.1f s",
		f.Number, f.Kind, f.How, f.Targets, f.At.Seconds(), f.For.Seconds())
	return strings.Join(strings.Fields(line), " ") // How may be empty
}

// Shape is the size of a tier. dunetide-lab prints its field names.
type Shape struct {
	Zones   int `json:"zones"`
	Edges   int `json:"edges"`   // a zone
	Keepers int `json:"keepers"` // a zone
	Stores  int `json:"stores"`  // over all zones
	Survive int `json:"survive"` // machines with disks that may be lost at once
}

// rolledAtOnce returns how many proxies a roll of all of them ends at a time.
func (s Shape) rolledAtOnce() int { return (s.Zones*s.Edges + rollSteps - 1) / rollSteps }

// Plan is a play: a tier, its load, the faults and the end. RandomPlan makes it from a seed.
type Plan struct {
	Seed       uint64        `json:"seed"`
	Shape      Shape         `json:"shape"`
	Length     time.Duration `json:"length"`
	Faults     []Fault       `json:"troubles"`
	Final      Final         `json:"final"`
	LeaveShare float64       `json:"give_up"` // the share of clients that leave
	Load       float64       `json:"load"`
	// Steady is the number of clients that keep connections in use until the processes behind them are gone.
	Steady int `json:"steady,omitempty"`
}

// grace returns how long processes of the plan have to end. Where clients keep connections in use it is long enough for most of
// their requests.
func (p Plan) grace() time.Duration {
	if p.Steady > 0 {
		return seriesGrace
	}
	return grace
}

// latestEnd returns by when the faults of the plan have ended, counted from its beginning. A process that is stopped
// takes up to the grace.
func (p Plan) latestEnd() time.Duration {
	last := p.Length
	for _, fault := range p.Faults {
		end := fault.At + fault.For + p.grace() + backAfter
		switch fault.Kind {
		case SignalSeries:
			end += handledWait
		case RestartSeries:
			end += longestLife + p.grace()
		case RollProxies:
			end = fault.At + time.Duration(min(rollSteps, p.Shape.Zones*p.Shape.Edges))*(p.grace()+2*rollPause+backAfter)
		case Leave:
			end += drainedFor
		}
		last = max(last, end)
	}
	return last
}

// loadLength returns for how long clients send requests.
func (p Plan) loadLength() time.Duration { return p.latestEnd() + ackedWait + recoverFor }

// LongestPlay returns how long the play of the plan may take, from its faults on to the last read.
func (p Plan) LongestPlay() time.Duration { return p.loadLength() + finishBy + maxStartAndFinal }

// Only returns the plan with the faults of these numbers; without any number, with all.
func (p Plan) Only(numbers []int) Plan {
	if len(numbers) > 0 {
		others := func(fault Fault) bool { return !slices.Contains(numbers, fault.Number) }
		p.Faults = slices.DeleteFunc(slices.Clone(p.Faults), others)
	}
	return p
}
