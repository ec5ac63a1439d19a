package batch

import "testing"

// TestANewPrimaryWithoutJobsGetsTokens: jobs were answered too late when a partition had a new primary and
// none of the account's items waited there. The owner of the quota grants nothing to a primary whose usage it
// doesn't know, and the new primary had none to report, so the first job waited until its reservation timed out.
func TestANewPrimaryWithoutJobsGetsTokens(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	table := cloneTable(g.cores[0].table)
	ownerIndex := table.PartitionOf(quotaKey("b"))
	const first, second = "job-a", "job-b"
	index := table.PartitionOf(second)
	row := &table.Partitions[index]
	if index == ownerIndex || index == table.PartitionOf(first) {
		t.Fatal("the second job needs a partition of its own")
	}
	g.accept(t, first, 2) // from here on the owner knows that nothing is in use in the other partitions
	for _, c := range g.cores {
		if c.self != row.Primary {
			row.Primary = c.self
			break
		}
	}
	row.Epoch++
	table.Version++
	for _, c := range g.cores {
		c.setTable(table)
	}
	g.step(1000)
	if primary := g.primaryOf(second).partition(index).primary; primary == nil || !primary.serving {
		t.Fatal("the new primary is not serving")
	}
	before := g.now
	if code := g.submit(second, 2); code != codeOK {
		t.Fatalf("code %d after %d ms", code, (g.now-before)/1000)
	}
	const longestWaitMs = 2 * reservationRetryMs
	if waitedMs := (g.now - before) / 1000; waitedMs > longestWaitMs {
		t.Errorf("the first job waited for %d ms", waitedMs)
	}
}
