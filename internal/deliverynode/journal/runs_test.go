package journal

import (
	"slices"
	"testing"
	"time"

	"dunetide/policy"
)

// Runs of failures are bounded, and a replay restores them from the records of a checkpoint. When there are too many,
// runs of a single failed answer are evicted first.
func TestRunsOfFailures(t *testing.T) {
	at := func(n int) time.Time { return time.UnixMicro(int64(1e12) + int64(n)*1e6) }
	m := &Memory{}
	m.addFailure(policy.Unreachable, at(0))
	m.addFailure(policy.Failed, at(1))
	m.addSuccess(at(2))
	m.addSuccess(at(3)) // not the first success
	for i := range 3 * maxRuns {
		m.addFailure(policy.Failed, at(10+2*i))
		m.addSuccess(at(11 + 2*i))
	}
	for i := range 2 * maxOutcomes {
		m.addFailure(policy.TimedOut, at(100+i))
	}
	if len(m.Runs) != maxRuns || len(m.Runs[0].Outcomes) != 2 || !m.Runs[0].FailedAt.Equal(at(1)) || !m.Runs[0].BackAt.Equal(at(2)) {
		t.Fatalf("%+v", m.Runs)
	}
	if last := m.Runs[maxRuns-1]; len(last.Outcomes) != maxOutcomes || !last.BackAt.IsZero() || !last.FailedAt.Equal(at(99+2*maxOutcomes)) {
		t.Errorf("%+v", last)
	}
	dir := t.TempDir()
	j, _ := mustOpen(t, dir, 1<<20)
	for _, rec := range m.records("e") {
		must(t, j.append(rec, nil))
	}
	must(t, j.Close())
	reopened, _ := mustOpen(t, dir, 1<<20)
	got := reopened.Memories["e"]
	if got == nil || !slices.EqualFunc(got.Runs, m.Runs, func(a, b Run) bool {
		return slices.Equal(a.Outcomes, b.Outcomes) && a.FailedAt.Equal(b.FailedAt) && a.BackAt.Equal(b.BackAt)
	}) {
		t.Errorf("restored as %+v, want %+v", got, m)
	}
}
