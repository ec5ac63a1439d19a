package keeper

import (
	"time"

	"dunetide/internal/control/snapshot"
)

const (
	// ownerChangePeriod is the period for which changes of owners are counted.
	ownerChangePeriod = 10 * time.Minute
	// maxOwnerChanges bounds the changes that are remembered for each partition.
	maxOwnerChanges = 16
)

// ownerHistory is what a keeper has seen of the primaries of a partition.
type ownerHistory struct {
	primary uint64
	since   time.Time                  // when a table first named it
	changes [maxOwnerChanges]time.Time // a ring of the newest changes
	changed int                        // number of changes, also of those that the ring no longer has
}

// update records a primary that a newer table names. The first one is no change.
func (h *ownerHistory) update(primary uint64, now time.Time) {
	if primary == h.primary {
		return
	}
	if !h.since.IsZero() {
		h.changes[h.changed%maxOwnerChanges] = now
		h.changed++
	}
	h.primary, h.since = primary, now
}

// changesSince returns the number of changes since a time, maxOwnerChanges at the most.
func (h *ownerHistory) changesSince(since time.Time) (count int) {
	for _, at := range h.changes[:min(h.changed, maxOwnerChanges)] {
		if at.After(since) {
			count++
		}
	}
	return count
}

// updateOwners records the primaries of a newer partition table.
func updateOwners(owners []ownerHistory, table *snapshot.PartitionTable, now time.Time) []ownerHistory {
	for len(owners) < len(table.Partitions) {
		owners = append(owners, ownerHistory{})
	}
	for i := range table.Partitions {
		owners[i].update(table.Partitions[i].Primary, now)
	}
	return owners
}
