package journal

import (
	"slices"
	"time"

	"dunetide/policy"
)

// Memory is what the records say of an endpoint's calls and failures, for the next process of the node.
type Memory struct {
	Sent []time.Time // when calls were made; the messages of a bundle share one
	Runs []Run       // runs of failures, the oldest first
}

// Run is a series of failures without a success in between.
type Run struct {
	Outcomes []policy.Outcome // the first maxOutcomes failures
	FailedAt time.Time        // the last failure
	BackAt   time.Time        // the first success after it, zero if there was none
}

// Bounds of a Memory. Of too many runs, the oldest that is one failed answer is dropped first, because it says least of
// the endpoint.
const (
	maxOutcomes = 8 // of one run
	maxRuns     = 8
)

// fail adds a failure to the current run, or to a new one if the endpoint has succeeded since.
func (m *Memory) fail(outcome policy.Outcome, at time.Time) {
	if n := len(m.Runs); n > 0 && m.Runs[n-1].BackAt.IsZero() {
		run := &m.Runs[n-1]
		run.FailedAt = at
		if len(run.Outcomes) < maxOutcomes {
			run.Outcomes = append(run.Outcomes, outcome)
		}
		return
	}
	if len(m.Runs) >= maxRuns {
		single := func(run Run) bool { return len(run.Outcomes) == 1 && run.Outcomes[0] == policy.Failed }
		i := max(0, slices.IndexFunc(m.Runs, single))
		m.Runs = slices.Delete(m.Runs, i, i+1)
	}
	m.Runs = append(m.Runs, Run{Outcomes: []policy.Outcome{outcome}, FailedAt: at})
}

// back ends the current run of failures, if there is one.
func (m *Memory) back(at time.Time) {
	if n := len(m.Runs); n > 0 && m.Runs[n-1].BackAt.IsZero() {
		m.Runs[n-1].BackAt = at
	}
}

// restarted replaces the runs by one of an outage that has ended, for an endpoint that the staff let serve again.
func (m *Memory) restarted(at time.Time) {
	m.Runs = append(m.Runs[:0:0], Run{Outcomes: []policy.Outcome{policy.Unreachable}, FailedAt: at, BackAt: at})
}

// remember returns the memory of an endpoint, a new one if there is none.
func (j *Journal) remember(endpoint string) *Memory {
	if j.Memories[endpoint] == nil {
		j.Memories[endpoint] = &Memory{}
	}
	return j.Memories[endpoint]
}
