// Package invariant checks invariants of the tier at run time. A violation is counted, logged with details, and panics in
// tests; a process in production continues, as terminating it would violate more guarantees than it preserves.
//
// Each package declares the invariants of its own state as package variables. docs/promises.md maps each of them to a
// guarantee of the tier.
package invariant

import (
	"flag"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

// LogMessage is the message of the log line of each violation. Programs that search logs for violations match it.
const LogMessage = "invariant violated"

// maxLogged limits the log lines per invariant in the lifetime of a process. Its counter is not limited.
const maxLogged = 20

// Names of the metrics, each with the label invariant.
const (
	checksMetric     = "dunetide_invariant_checks_total"
	violationsMetric = "dunetide_invariant_violations_total"
)

// Invariant is a condition that is checked at run time.
type Invariant struct {
	name       string
	checks     *metrics.Counter
	violations *metrics.Counter
}

var logger atomic.Pointer[hclog.Logger]

// SetLogger sets the logger for violations; until then, they are only counted.
func SetLogger(log hclog.Logger) { logger.Store(&log) }

// New declares an invariant. The name is the value of the metrics' label, in lower case with underscores. It panics
// if the name is already declared in the process.
func New(name string) *Invariant {
	return &Invariant{
		name:       name,
		checks:     metrics.NewCounter(fmt.Sprintf("%s{invariant=%q}", checksMetric, name)),
		violations: metrics.NewCounter(fmt.Sprintf("%s{invariant=%q}", violationsMetric, name)),
	}
}

// Check counts a check, and a violation if the invariant doesn't hold. describe is called only in that case; it
// returns details, including the IDs by which the logs of other processes can be searched. In a test, a violation
// panics.
func (i *Invariant) Check(holds bool, describe func() string) {
	i.checks.Inc()
	if !holds {
		i.reportViolation(describe())
	}
}

func (i *Invariant) reportViolation(found string) {
	i.violations.Inc()
	if inTest() {
		panic(fmt.Sprintf("%s: %s: %s", LogMessage, i.name, found))
	}
	log := logger.Load()
	if log == nil || i.violations.Get() > maxLogged {
		return
	}
	(*log).Error(LogMessage, "invariant", i.name, "found", found)
}

// Violations returns how often the invariant has been violated in the lifetime of this process.
func (i *Invariant) Violations() uint64 { return i.violations.Get() }

// inTest reports whether this is a test binary, without linking package testing into the program.
func inTest() bool { return flag.Lookup("test.v") != nil }
