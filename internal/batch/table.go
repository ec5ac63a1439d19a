package batch

import (
	"maps"
	"slices"

	"dunetide/internal/control/snapshot"
)

// The keepers agree on the partition table. The functions of this file, of placement.go and of
// retirement.go compute the next table from the current one; keepers write it by compare-and-swap.
// The functions have no state and do no I/O.

// nextReplicas returns the group of a partition after the joining replicas are added and the
// leaving ones removed.
func nextReplicas(row *snapshot.Partition) []uint64 {
	next := slices.DeleteFunc(slices.Clone(row.Replicas), func(id uint64) bool {
		return slices.Contains(row.Leaving, id)
	})
	for _, id := range row.Joining {
		if !slices.Contains(next, id) {
			next = append(next, id)
		}
	}
	return next
}

// cloneTable returns a modifiable copy of a table, with the next version.
func cloneTable(t *snapshot.PartitionTable) *snapshot.PartitionTable {
	next := &snapshot.PartitionTable{
		Version:    t.Version + 1,
		Partitions: slices.Clone(t.Partitions),
		Stores:     maps.Clone(t.Stores),
		Retiring:   maps.Clone(t.Retiring),
		Stopping:   maps.Clone(t.Stopping),
	}
	if next.Stores == nil {
		next.Stores = map[uint64]snapshot.Store{}
	}
	if next.Retiring == nil {
		next.Retiring = map[uint64]bool{}
	}
	if next.Stopping == nil {
		next.Stopping = map[uint64]bool{}
	}
	return next
}

// SwitchReplicas returns the table in which a partition's next group has become its group, after
// the primary under the given epoch has reported that the next group is up to date. It returns
// false if the table has changed since then; the table stays as it is.
func SwitchReplicas(current *snapshot.PartitionTable, partition int, epoch uint64) (*snapshot.PartitionTable, bool) {
	if current == nil || partition < 0 || partition >= len(current.Partitions) {
		return current, false
	}
	row := &current.Partitions[partition]
	if row.Epoch != epoch || len(row.Joining)+len(row.Leaving) == 0 || slices.Contains(row.Leaving, row.Primary) {
		return current, false
	}
	next := cloneTable(current)
	row = &next.Partitions[partition]
	row.Replicas, row.Joining, row.Leaving = nextReplicas(row), nil, nil
	row.Epoch++
	return next, true
}

// SetStopping returns the table in which a store is marked as stopping, or the mark is removed. It
// returns false if nothing changes: the mark is as requested, or the table does not have the store.
func SetStopping(current *snapshot.PartitionTable, store uint64, stopping bool) (*snapshot.PartitionTable, bool) {
	if current == nil || current.Stopping[store] == stopping {
		return current, false
	}
	if _, known := current.Stores[store]; !known {
		return current, false
	}
	next := cloneTable(current)
	if stopping {
		next.Stopping[store] = true
	} else {
		delete(next.Stopping, store)
	}
	return next, true
}
