package batch

import (
	"testing"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant/invarianttest"
)

func TestInvariantsFindViolations(t *testing.T) {
	c := newCore(1, nil)
	p := &partition{
		index: 3,
		primary: &primaryState{
			committed:  7,
			selfSynced: 7,
			progress:   map[uint64]*replicaProgress{2: {acknowledged: 7}, 3: {acknowledged: 6}},
		},
	}
	c.checkCommit(p, []uint64{1, 2, 3})
	invarianttest.Violates(t, "commits_are_on_enough_disks", func() { c.checkCommit(p, []uint64{1, 3}) })
	p.primary.selfSynced = 6
	invarianttest.Violates(t, "commits_are_on_enough_disks", func() { c.checkCommit(p, []uint64{1, 2, 3}) })

	table := func(number uint64, epochs ...uint64) *snapshot.PartitionTable {
		out := &snapshot.PartitionTable{Version: number}
		for _, epoch := range epochs {
			out.Partitions = append(out.Partitions, snapshot.Partition{Epoch: epoch})
		}
		return out
	}
	checkEpochs(nil, table(1, 1, 1))
	checkEpochs(table(1, 1, 4), table(2, 2, 4))
	invarianttest.Violates(t, "part_epochs_never_go_back", func() { checkEpochs(table(1, 1, 4), table(2, 2, 3)) })

	checkReadable(&job{readableResults: 1, results: make([]result, 1)})
	invarianttest.Violates(t, "readable_results_have_positions", func() {
		checkReadable(&job{
			readableResults: 2,
			results:         make([]result, 1),
		})
	})
}
