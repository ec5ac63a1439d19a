package simulation

import (
	"fmt"
	"strings"
	"time"
)

// Violation describes a failed check of a simulation.
type Violation string

// Failf ends the simulation with a Violation. It panics, as checks run deep inside callbacks; Play recovers the panic.
func Failf(format string, args ...any) { panic(Violation(fmt.Sprintf(format, args...))) }

// Play runs a simulation and returns the Violation that ended it, or "" if there was none.
func Play(simulate func()) (found Violation) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case Violation:
			found = x
		default:
			panic(x)
		}
	}()
	simulate()
	return ""
}

// Trace records the events of a simulation if it is enabled.
type Trace struct {
	Enabled bool
	lines   []string
}

// Addf appends a line, prefixed with the simulated time.
func (t *Trace) Addf(now time.Duration, format string, args ...any) {
	if t.Enabled {
		t.lines = append(t.lines, fmt.Sprintf("%8.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// String returns all lines.
func (t *Trace) String() string { return strings.Join(t.lines, "\n") }
