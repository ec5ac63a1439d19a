package batch

import (
	"fmt"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant"
)

var (
	// commitsAreOnEnoughDisks: what is said to be kept is on the disks of so many copies that one is left after the losses to be borne.
	commitsAreOnEnoughDisks = invariant.New("commits_are_on_enough_disks")
	// epochsNeverGoBack: a newer table has no part in an older epoch.
	epochsNeverGoBack = invariant.New("part_epochs_never_go_back")
	// readersSeeDecidedPositions: no result may be read whose position is not decided.
	readersSeeDecidedPositions = invariant.New("readable_results_have_positions")
)

// checkCommit holds what a primary takes for committed against what each copy of the group has acknowledged. It counts them one by
// one, apart from reached, by which the primary decides.
func (c *core) checkCommit(p *part, group []uint64) {
	l, disks := p.lead, 0
	for _, id := range group {
		switch q := l.peers[id]; {
		case id == c.self && l.selfS >= l.commit:
			disks++
		case id != c.self && q != nil && q.acked >= l.commit:
			disks++
		}
	}
	commitsAreOnEnoughDisks.Check(disks > c.maxLost, func() string {
		return fmt.Sprintf("part %d, epoch %d: operation %d is on %d disks of %v, %d may be lost", p.no, p.epoch, l.commit, disks, group, c.maxLost)
	})
}

// checkEpochs holds a table against the one that it replaces.
func checkEpochs(before, after *snapshot.PartitionTable) {
	if before == nil {
		return
	}
	back := -1
	for no := range min(len(before.Partitions), len(after.Partitions)) {
		if after.Partitions[no].Epoch < before.Partitions[no].Epoch {
			back = no
		}
	}
	epochsNeverGoBack.Check(back < 0, func() string {
		return fmt.Sprintf("table %d has part %d in epoch %d, table %d had %d", after.Version, back, after.Partitions[back].Epoch, before.Version, before.Partitions[back].Epoch)
	})
}

// checkVisible is called when one more result may be read.
func checkVisible(j *job) {
	readersSeeDecidedPositions.Check(j.visible <= len(j.results), func() string {
		return fmt.Sprintf("job %s: %d results may be read and %d have positions", j.id, j.visible, len(j.results))
	})
}
