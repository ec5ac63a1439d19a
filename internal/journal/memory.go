package journal

import (
	"slices"
	"time"

	"dunetide/policy"
)

// Memory is what the records tell of an endpoint, for the next life of the node.
type Memory struct {
	Sent []time.Time // calls, one for a bundle
	Runs []Run       // of failures, the oldest first
}

// Run is failures in a row.
type Run struct {
	Outcomes []policy.Outcome // the first few
	FailedAt time.Time        // the last of them
	BackAt   time.Time        // the first success since, zero while there is none
}

const (
	// manyOutcomes and manyRuns bound what is kept of an endpoint. Of too many runs the oldest of
	// one failed answer goes first: it tells least.
	manyOutcomes = 8
	manyRuns     = 8
)

func (m *Memory) fail(o policy.Outcome, at time.Time) {
	if n := len(m.Runs); n > 0 && m.Runs[n-1].BackAt.IsZero() {
		run := &m.Runs[n-1]
		run.FailedAt = at
		if len(run.Outcomes) < manyOutcomes {
			run.Outcomes = append(run.Outcomes, o)
		}
		return
	}
	if len(m.Runs) >= manyRuns {
		lone := func(r Run) bool { return len(r.Outcomes) == 1 && r.Outcomes[0] == policy.Failed }
		i := max(0, slices.IndexFunc(m.Runs, lone))
		m.Runs = slices.Delete(m.Runs, i, i+1)
	}
	m.Runs = append(m.Runs, Run{Outcomes: []policy.Outcome{o}, FailedAt: at})
}

func (m *Memory) back(at time.Time) {
	if n := len(m.Runs); n > 0 && m.Runs[n-1].BackAt.IsZero() {
		m.Runs[n-1].BackAt = at
	}
}

// restarted tells of an endpoint that the staff let serve again: it is as after an outage.
func (m *Memory) restarted(at time.Time) {
	m.Runs = append(m.Runs[:0:0], Run{Outcomes: []policy.Outcome{policy.Unreachable}, FailedAt: at, BackAt: at})
}

func (j *Journal) remember(endpoint string) *Memory {
	if j.Memories[endpoint] == nil {
		j.Memories[endpoint] = &Memory{}
	}
	return j.Memories[endpoint]
}
