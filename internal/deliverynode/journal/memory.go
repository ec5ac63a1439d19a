package journal

import (
	"slices"
	"time"

	"dunetide/policy"
)

// Memory holds the recorded calls and failures of an endpoint, for the next process of the node.
type Memory struct {
	Sent []time.Time // when calls were made; the messages of a bundle share one
	Runs []Run       // runs of failures, oldest first
}

// Run is a series of failures without a success in between.
type Run struct {
	Outcomes []policy.Outcome // the first maxOutcomes failures
	FailedAt time.Time        // the last failure
	BackAt   time.Time        // the first success after it, zero if there was none
}

// Bounds of a Memory. When there are too many runs, the oldest run that is a single failed answer is evicted first, because
// it is the weakest evidence about the endpoint.
const (
	maxOutcomes = 8 // of one run
	maxRuns     = 8
)

// addFailure adds a failure to the current run, or to a new run if the endpoint has succeeded since.
func (m *Memory) addFailure(outcome policy.Outcome, at time.Time) {
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

// addSuccess ends the current run of failures, if there is one.
func (m *Memory) addSuccess(at time.Time) {
	if n := len(m.Runs); n > 0 && m.Runs[n-1].BackAt.IsZero() {
		m.Runs[n-1].BackAt = at
	}
}

// restarted replaces all runs by a single outage that has ended, for an endpoint that an operator has put back into service.
func (m *Memory) restarted(at time.Time) {
	m.Runs = append(m.Runs[:0:0], Run{Outcomes: []policy.Outcome{policy.Unreachable}, FailedAt: at, BackAt: at})
}

// memoryOf returns the memory of an endpoint, creating it if needed.
func (j *Journal) memoryOf(endpoint string) *Memory {
	if j.Memories[endpoint] == nil {
		j.Memories[endpoint] = &Memory{}
	}
	return j.Memories[endpoint]
}
