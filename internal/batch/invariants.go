package batch

import (
	"fmt"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant"
)

var (
	// commitsAreOnEnoughDisks: an operation that counts as committed is durable on enough replicas
	// that one remains after the maximum number of losses.
	commitsAreOnEnoughDisks = invariant.New("commits_are_on_enough_disks")
	// epochsNeverGoBack: no partition has an older epoch in a newer table.
	epochsNeverGoBack = invariant.New("part_epochs_never_go_back")
	// readersSeeDecidedPositions: a result may be read only once its position in the list is
	// decided.
	readersSeeDecidedPositions = invariant.New("readable_results_have_positions")
)

// checkCommit checks what a primary considers committed against what each replica of a group has
// acknowledged. It counts the replicas independently of replicatedUpTo, by which the primary
// decides.
func (c *core) checkCommit(p *partition, group []uint64) {
	primary, durable := p.primary, 0
	for _, id := range group {
		switch replica := primary.progress[id]; {
		case id == c.self && primary.selfSynced >= primary.committed:
			durable++
		case id != c.self && replica != nil && replica.acknowledged >= primary.committed:
			durable++
		}
	}
	commitsAreOnEnoughDisks.Check(durable > c.maxLostReplicas, func() string {
		return fmt.Sprintf("partition %d, epoch %d: operation %d is durable on %d replicas of %v, %d may be lost",
			p.index, p.epoch, primary.committed, durable, group, c.maxLostReplicas)
	})
}

// checkEpochs checks a table against its predecessor.
func checkEpochs(before, after *snapshot.PartitionTable) {
	if before == nil {
		return
	}
	older := -1
	for index := range min(len(before.Partitions), len(after.Partitions)) {
		if after.Partitions[index].Epoch < before.Partitions[index].Epoch {
			older = index
		}
	}
	epochsNeverGoBack.Check(older < 0, func() string {
		return fmt.Sprintf("table %d has partition %d in epoch %d, table %d had %d",
			after.Version, older, after.Partitions[older].Epoch, before.Version, before.Partitions[older].Epoch)
	})
}

// checkReadable is called after each increase of a job's readable results.
func checkReadable(j *job) {
	readersSeeDecidedPositions.Check(j.readableResults <= len(j.results), func() string {
		return fmt.Sprintf("job %s: %d results are readable, but only %d have positions",
			j.id, j.readableResults, len(j.results))
	})
}
