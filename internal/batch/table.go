package batch

import (
	"maps"
	"slices"

	"dunetide/internal/control/snapshot"
)

// The table of partitions is agreed by the keepers. The functions of this file, of placement.go and
// of retirement.go work out the next table from the present one; keepers write it by
// compare-and-swap. They have no state and do no I/O.

// nextReplicas is the group of a partition once those that join are up to date and those that leave
// are not counted any more.
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

// cloneTable is a table that may be changed, with the next number.
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

// SwitchReplicas is the table in which the next group of a partition's replicas is its group. The
// primary under that epoch has reported that the next group is up to date. False: the table has
// changed since, and stays.
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

// SetStopping is the table in which a store is marked as one that is about to stop, or as one that
// runs. A store that the table does not have can't be marked. False: the table stays.
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
