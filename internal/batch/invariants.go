package batch

import (
	"fmt"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant"
)

var (
	// commitsAreOnEnoughDisks: what counts as committed is durable at so many replicas that one is
	// left after the losses to be survived.
	commitsAreOnEnoughDisks = invariant.New("commits_are_on_enough_disks")
	// epochsNeverGoBack: a newer table has no partition in an older epoch.
	epochsNeverGoBack = invariant.New("part_epochs_never_go_back")
	// readersSeeDecidedPositions: no result may be read whose place in the list is not decided.
	readersSeeDecidedPositions = invariant.New("readable_results_have_positions")
)

// checkCommit checks what a primary takes for committed against what each replica of a group has
// acknowledged. It counts them one by one, independently of replicatedUpTo, by which the primary
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
		return fmt.Sprintf("part %d, epoch %d: operation %d is on %d disks of %v, %d may be lost",
			p.index, p.epoch, primary.committed, durable, group, c.maxLostReplicas)
	})
}

// checkEpochs checks a table against the one that it replaces.
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
		return fmt.Sprintf("table %d has part %d in epoch %d, table %d had %d",
			after.Version, older, after.Partitions[older].Epoch, before.Version, before.Partitions[older].Epoch)
	})
}

// checkReadable is called when one more result may be read.
func checkReadable(j *job) {
	readersSeeDecidedPositions.Check(j.readableResults <= len(j.results), func() string {
		return fmt.Sprintf("job %s: %d results may be read and %d have positions",
			j.id, j.readableResults, len(j.results))
	})
}
