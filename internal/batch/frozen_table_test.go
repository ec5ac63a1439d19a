package batch

import (
	"fmt"
	"testing"
)

// readAllJobs reads all accepted jobs whose primary is running, and returns how many could be read
// and how many were tried.
func (sim *simulation) readAllJobs() (read, led int) {
	for _, id := range sim.jobIDs {
		j := sim.jobs[id]
		row := &sim.table.Partitions[sim.table.PartitionOf(id)]
		s := sim.storeNamed(sim.table.Stores[row.Primary].Name)
		if !j.accepted || s.core == nil || s.core.self != row.Primary {
			continue
		}
		led++
		sim.workers[0].readResults(j, 0, 0, func(ok bool) {
			if ok {
				read++
			}
		})
	}
	sim.run(1500)
	return read, led
}

// TestJobsStayReadableWhileTheTableCannotChange: the keepers have no majority for twenty seconds,
// during which stores fail one after the other and one loses its disk. Accepted jobs can be read
// from each running primary, and jobs are accepted while the quota has its owner. Once the table
// can change again, even at the worst moment, nothing is lost.
func TestJobsStayReadableWhileTheTableCannotChange(t *testing.T) {
	counted := 0
	for seed := range uint64(32) {
		sim := newSimulation(seed, 3+int(seed%3), 1, 6)
		sim.start()
		for i := range 2 {
			sim.addWorker(fmt.Sprint("p", i))
		}
		sim.run(600)
		sim.maxQueuedTokens = 10_000
		sim.submitSteadily(20_000)
		sim.run(1000)
		sim.tableFrozen = true
		wiped := sim.stores[sim.rng.IntN(len(sim.stores))]
		wipeIn := sim.rng.IntN(5)
		// If the owner of a tenant's quota is lost, no job of that tenant is accepted, as only a new table
		// could appoint another one. Nor is one once its process ended after the wipe: it counts the tenant's
		// tokens anew, for which it needs each partition's primary, and those of the wiped store have none.
		ownerLost := map[string]bool{}
		noteLost := func(s *simStore) {
			for _, tenant := range simTenants {
				owner := sim.table.PartitionOf(quotaKey(accountKey("b", tenant)))
				if s.core != nil && sim.table.Partitions[owner].Primary == s.core.self {
					ownerLost[tenant] = true
				}
			}
		}
		noteLost(wiped)
		for round := range 5 {
			s := sim.stores[sim.rng.IntN(len(sim.stores))]
			switch {
			case round == wipeIn:
				wiped.loseDisk()
				sim.after(400, wiped.start)
			case round > wipeIn:
				noteLost(s)
				s.kill() // one disk is lost already, so no other one may be
				sim.after(500, s.start)
			default:
				faults[sim.rng.IntN(3)].do(sim, s)
			}
			sim.run(3600)
			if read, led := sim.readAllJobs(); read < led {
				sim.violation("round %d: %d of %d jobs can be read", round, read, led)
			}
		}
		taken := map[string]int{}
		for _, id := range sim.jobIDs {
			if j := sim.jobs[id]; j.accepted && j.acceptedAt > 6000 {
				taken[j.tenant]++
			}
		}
		for _, tenant := range simTenants {
			if ownerLost[tenant] {
				continue
			}
			counted++
			if taken[tenant] < 10 {
				sim.violation("only %d jobs of %s were accepted while the table could not change", taken[tenant], tenant)
			}
		}
		sim.tableFrozen = false
		if s := sim.nextStore(wiped); seed%2 == 0 { // at the first change of the table, another store is down for a moment
			s.kill()
			sim.after(300+sim.rng.Float64()*300, s.start)
		}
		sim.run(9000)
		if bad := sim.findUnhealthy(); bad != "" {
			sim.violation("after the table could change again: %s", bad)
		}
		sim.healAndCheck(4000)
		if !reportViolations(t, sim, fmt.Sprint("seed ", seed)) {
			return
		}
	}
	if counted < 16 {
		t.Errorf("the owners of quotas survived only %d times", counted)
	}
}
