package simulation

import (
	"fmt"
	"strings"
	"time"
)

// Violation is what a check of a simulation found.
type Violation string

// Failf ends the simulation with a Violation. It panics with it, as checks are made deep inside of callbacks; Play
// recovers it.
func Failf(format string, args ...any) { panic(Violation(fmt.Sprintf(format, args...))) }

// Play runs a simulation, and returns the Violation that ended it; "": none did.
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

// Trace has what happened in a simulation, if it is enabled.
type Trace struct {
	Enabled bool
	lines   []string
}

// Addf adds a line, with the simulated time.
func (t *Trace) Addf(now time.Duration, format string, args ...any) {
	if t.Enabled {
		t.lines = append(t.lines, fmt.Sprintf("%8.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// String has all lines.
func (t *Trace) String() string { return strings.Join(t.lines, "\n") }
