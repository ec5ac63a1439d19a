package batch

import (
	"slices"

	"dunetide/internal/control/snapshot"
)

// RetireStore returns the table in which the store with the given name is retiring. Known reports
// whether there is such a store. TooFew reports that fewer than f+1 stores would be left, in which
// case the table does not change.
func RetireStore(
	current *snapshot.PartitionTable, name string, alive []snapshot.Store, lost func(id uint64) bool, f int,
) (next *snapshot.PartitionTable, known, tooFew bool) {
	if current == nil {
		return current, false, false
	}
	next = cloneTable(current)
	changed := false
	for id, store := range current.Stores {
		if store.Name == name {
			known = true
			changed = changed || !current.Retiring[id]
			next.Retiring[id] = true
		}
	}
	left := 0
	for _, store := range alive {
		if !lost(store.ID) && !next.Retiring[store.ID] {
			left++
		}
	}
	switch {
	case !known:
		return current, false, false
	case !changed: // it is retiring already
		return current, true, false
	case left < f+1:
		return current, true, true
	}
	return next, true, false
}

// RetirementState reports whether there is a store with the given name, and whether its retirement
// is finished: no partition depends on it any more.
func RetirementState(t *snapshot.PartitionTable, name string, f int) (known, finished bool) {
	if t == nil {
		return false, false
	}
	finished = true
	for id, store := range t.Stores {
		if store.Name != name {
			continue
		}
		known = true
		if !t.Retiring[id] {
			finished = false
		}
		for i := range t.Partitions {
			row := &t.Partitions[i]
			if slices.Contains(row.Replicas, id) || slices.Contains(row.Joining, id) || len(row.Replicas) < f+1 {
				finished = false
			}
		}
	}
	return known, known && finished
}

// machineRetiring reports whether the machine of a store is retiring. A store that has lost its
// disk since it was retired comes back with a new identity, and the same name and address.
func machineRetiring(t *snapshot.PartitionTable, store snapshot.Store) bool {
	for id, known := range t.Stores {
		if t.Retiring[id] && known.Name == store.Name && known.Addr == store.Addr {
			return true
		}
	}
	return false
}
