// Package invariant checks promises of the tier while it runs. A check that fails is counted, logged with what was found, and ends
// the test in which it happened; a process in service goes on, as ending it would break more promises than it keeps.
//
// docs/promises.md says which promise stands behind each invariant.
package invariant

import (
	"flag"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

// LogMessage begins the log line of each violation. Whoever reads logs for violations looks for it.
const LogMessage = "invariant violated"

// loggedMost bounds the log lines of one invariant in the life of a process. Its counter goes on.
const loggedMost = 20

// Names of the metrics, each with the label invariant.
const (
	checksMetric     = "dunetide_invariant_checks_total"
	violationsMetric = "dunetide_invariant_violations_total"
)

// Invariant is one promise that is checked.
type Invariant struct {
	name       string
	checks     *metrics.Counter
	violations *metrics.Counter
}

var logger atomic.Pointer[hclog.Logger]

// SetLogger has violations logged; before, they are only counted.
func SetLogger(log hclog.Logger) { logger.Store(&log) }

// New declares an invariant. Its name is that of its metrics' label, in lower case with underscores; it is declared once in a process.
func New(name string) *Invariant {
	return &Invariant{
		name:       name,
		checks:     metrics.NewCounter(fmt.Sprintf("%s{invariant=%q}", checksMetric, name)),
		violations: metrics.NewCounter(fmt.Sprintf("%s{invariant=%q}", violationsMetric, name)),
	}
}

// Check counts a check, and a violation where it does not hold. describe is called only then; it says what was found, with the ids
// by which the logs of other processes can be searched.
func (i *Invariant) Check(holds bool, describe func() string) {
	i.checks.Inc()
	if !holds {
		i.violated(describe())
	}
}

func (i *Invariant) violated(found string) {
	i.violations.Inc()
	if inTest() {
		panic(fmt.Sprintf("%s: %s: %s", LogMessage, i.name, found))
	}
	log := logger.Load()
	if log == nil || i.violations.Get() > loggedMost {
		return
	}
	(*log).Error(LogMessage, "invariant", i.name, "found", found)
}

// Violations is how often it was violated in the life of this process.
func (i *Invariant) Violations() uint64 { return i.violations.Get() }

// inTest reports whether this is a test binary, without linking package testing into the program.
func inTest() bool { return flag.Lookup("test.v") != nil }
