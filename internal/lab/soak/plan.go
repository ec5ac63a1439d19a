// Package soak runs a serving tier of real processes over real sockets under random faults that overlap in time:
// processes that are killed, frozen, stopped and restarted, machines that are cut off or lose their disks, reloads,
// clients and endpoints that misbehave, operators that race. Meanwhile it checks what clients, operators and readers of the
// configuration observe, and the invariants that the processes check themselves. Plans are reproducible from a seed;
// docs/soak.md describes the soak test.
package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a fault. Accounts and the output of dunetide-lab contain its value.
type Kind string

// The kinds of faults. Fault.How names the role of the process, or the variant if a kind has several.
const (
	Kill        Kind = "kill"         // a process is killed and started again
	Freeze      Kind = "freeze"       // processes are stopped with SIGSTOP, then continued
	Term        Kind = "term"         // a process gets SIGTERM and is started again; How "twice": a second SIGTERM soon after
	RollProxies Kind = "roll-proxies" // all proxies get SIGTERM, one after the other
	TermStores  Kind = "term-stores"  // all stores get SIGTERM at once
	// Hangup makes processes reload settings with another order of seeds. How "stopping": one gets SIGTERM right after.
	Hangup      Kind = "hangup"
	CutOff      Kind = "cut-off"      // no packet passes between a machine and the others; clients and operators reach it
	CutOneWay   Kind = "cut-one-way"  // packets from a machine to the others are lost, packets to it arrive
	Halves      Kind = "halves"       // a network partition splits the machines with disks into two halves
	LoseAnswers Kind = "lose-answers" // clients, operators and endpoints reach a machine, but its answers are lost
	WipeDisk    Kind = "wipe"         // a process is killed and its disk is emptied
	KillKeepers Kind = "kill-keepers" // all keepers are killed at once
	// Leave shuts an endpoint down as planned. How "silent": it deregisters without reporting that it drains; "lured": it
	// reports to a machine that is cut off.
	Leave          Kind = "leave"
	CrashEndpoint  Kind = "crash-endpoint" // an endpoint stops abruptly, and another one starts at its address
	StallEndpoint  Kind = "dark-endpoint"  // all reads and writes on an endpoint's connections stall
	CorruptAnswers Kind = "spoil"          // endpoints send corrupt answers
	Misbehave      Kind = "misbehave"      // clients stall or close their connections within headers and bodies
	Race           Kind = "race"           // two operators repeatedly send different configurations with the same base version
	Twin           Kind = "twin"           // a second process of the same machine and role is started
	// SignalSeries sends processes SIGHUP repeatedly, then SIGTERM mixed with further signals, and starts them again.
	SignalSeries Kind = "signal-series"
	// RestartSeries starts and ends processes repeatedly. How: the role, and "term" or "kill".
	RestartSeries Kind = "restart-series"
	HangupSeries  Kind = "hangup-series" // all processes get SIGHUP repeatedly, with changed settings
)

// Final is the final event of a soak run, right after a configuration was acknowledged.
type Final string

// The final events.
const (
	FinalNone    Final = "none"
	FinalKillAll Final = "kill-all" // all processes are killed
	// FinalWipe kills all processes at once and empties the disks of as many machines as the tier must survive losing.
	FinalWipe    Final = "wipe-and-dark"
	FinalRestart Final = "restart-all" // all processes get SIGTERM at once
)

// Fault is one entry of a plan. Its times are relative to the start of the soak run.
type Fault struct {
	Number int           `json:"number"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Kind   Kind          `json:"kind"`
	How    string        `json:"how,omitempty"`
	// Targets select machines, processes or endpoints; each is taken modulo their number.
	Targets []int `json:"targets,omitempty"`
}

// String describes the fault in one line.
func (f Fault) String() string {
	line := fmt.Sprintf("%d: %s %s %v at %.1f s for %.1f s",
		f.Number, f.Kind, f.How, f.Targets, f.At.Seconds(), f.For.Seconds())
	return strings.Join(strings.Fields(line), " ") // How may be empty
}

// Shape is the size of a tier. dunetide-lab prints its field names.
type Shape struct {
	Zones   int `json:"zones"`
	Edges   int `json:"edges"`   // per zone
	Keepers int `json:"keepers"` // per zone
	Stores  int `json:"stores"`  // in all zones together
	Survive int `json:"survive"` // machines with disks that may be lost at once
}

// rolledAtOnce returns how many proxies rollProxies restarts at a time.
func (s Shape) rolledAtOnce() int { return (s.Zones*s.Edges + rollSteps - 1) / rollSteps }

// Plan describes a soak run: the size of the tier, its load, the faults and the final event. RandomPlan creates it from a
// seed.
type Plan struct {
	Seed       uint64        `json:"seed"`
	Shape      Shape         `json:"shape"`
	Length     time.Duration `json:"length"`
	Faults     []Fault       `json:"troubles"`
	Final      Final         `json:"final"`
	LeaveShare float64       `json:"give_up"` // the share of clients that disconnect early
	Load       float64       `json:"load"`
	// Steady is the number of clients that use their connections until the processes behind them close them.
	Steady int `json:"steady,omitempty"`
	// Tenants makes configurations have tenants, with keys and limits that change.
	Tenants bool `json:"tenants,omitempty"`
}

// grace returns the grace period of the processes. With steady clients it is long enough for most of their requests.
func (p Plan) grace() time.Duration {
	if p.Steady > 0 {
		return seriesGrace
	}
	return grace
}

// latestEnd returns by when the faults of the plan have ended, relative to its start. A process that is stopped takes up to
// the grace period.
func (p Plan) latestEnd() time.Duration {
	last := p.Length
	for _, fault := range p.Faults {
		end := fault.At + fault.For + p.grace() + backAfter
		switch fault.Kind {
		case SignalSeries:
			end += handledWait
		case RestartSeries:
			end += maxUptime + p.grace()
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

// MaxDuration returns how long a soak run of the plan may take, from its faults to the last read.
func (p Plan) MaxDuration() time.Duration { return p.loadLength() + finishBy + maxStartAndFinal }

// hasTenants reports whether the plan of a seed has tenants: three of four have.
func hasTenants(seed uint64) bool { return seed%4 != 0 }

// Only returns the plan reduced to the faults with these numbers, or unchanged if no number is given.
func (p Plan) Only(numbers []int) Plan {
	if len(numbers) > 0 {
		others := func(fault Fault) bool { return !slices.Contains(numbers, fault.Number) }
		p.Faults = slices.DeleteFunc(slices.Clone(p.Faults), others)
	}
	return p
}
