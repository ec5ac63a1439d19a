package batch

import (
	"fmt"
	"testing"
)

// readAllJobs reads all jobs that were taken, as far as the primary of their part is there, and
// tells how many could be read.
func (w *simulation) readAllJobs() (read, led int) {
	for _, id := range w.jobIDs {
		j := w.jobs[id]
		row := &w.table.Partitions[w.table.PartitionOf(id)]
		s := w.storeNamed(w.table.Stores[row.Primary].Name)
		if !j.accepted || s.core == nil || s.core.self != row.Primary {
			continue
		}
		led++
		w.workers[0].readResults(j, 0, 0, func(ok bool) {
			if ok {
				read++
			}
		})
	}
	w.run(1500)
	return read, led
}

// TestJobsStayReadableWhileTheTableCannotChange: the keepers have no majority for twenty seconds,
// in which stores fail one after the other and one loses its disk. What was taken can be read at
// each primary that is there, jobs are taken (while the quota has its owner), and when the table
// changes again, also in the worst moment for it, nothing is lost.
func TestJobsStayReadableWhileTheTableCannotChange(t *testing.T) {
	counted := 0
	for seed := range uint64(16) {
		w := newSimulation(seed, 3+int(seed%3), 1, 6)
		w.start()
		for i := range 2 {
			w.addWorker(fmt.Sprint("p", i))
		}
		w.run(600)
		w.maxQueuedTokens = 10_000
		w.submitSteadily(20_000)
		w.run(1000)
		w.tableFrozen = true
		wiped := w.stores[w.rng.IntN(len(w.stores))]
		wipeIn := w.rng.IntN(5)
		// Without the owner of the quota, of which only a new table could make another one, no job is taken.
		ownerLost := w.table.Partitions[w.table.PartitionOf(quotaKey("b"))].Primary == wiped.core.self
		for round := range 5 {
			s := w.stores[w.rng.IntN(len(w.stores))]
			switch {
			case round == wipeIn:
				wiped.loseDisk()
				w.after(400, wiped.start)
			case round > wipeIn:
				s.kill() // one disk is lost already: no other one may be
				w.after(500, s.start)
			default:
				disturbances[w.rng.IntN(3)].do(w, s)
			}
			w.run(3600)
			if read, led := w.readAllJobs(); read < led {
				w.violation("round %d: %d of %d jobs can be read", round, read, led)
			}
		}
		taken := 0
		for _, id := range w.jobIDs {
			if j := w.jobs[id]; j.accepted && j.acceptedAt > 6000 {
				taken++
			}
		}
		if taken < 20 && !ownerLost {
			w.violation("only %d jobs were taken while the table could not change", taken)
		}
		if !ownerLost {
			counted++
		}
		w.tableFrozen = false
		if s := w.nextStore(wiped); seed%2 == 0 { // the first change finds one more store down for a moment
			s.kill()
			w.after(300+w.rng.Float64()*300, s.start)
		}
		w.run(9000)
		if bad := w.findUnhealthy(); bad != "" {
			w.violation("after the table could change again: %s", bad)
		}
		w.healAndCheck(4000)
		if !reportViolations(t, w, fmt.Sprint("seed ", seed)) {
			return
		}
	}
	if counted < 8 {
		t.Errorf("only %d of the seeds keep the owner of the quota", counted)
	}
}
