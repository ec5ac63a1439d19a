package batch

import (
	"cmp"
	"maps"
	"slices"

	"dunetide/internal/control/snapshot"
)

// Assignment places the replicas and primaries of partitions.
type Assignment struct {
	// Alive are the stores that currently send heartbeats.
	Alive []snapshot.Store
	// Lost reports that a store has been silent for so long that it should be replaced.
	Lost func(id uint64) bool
	// Partitions is the number of partitions of a first table.
	Partitions int
	// MaxLost is how many replicas of a partition may be lost at once. A partition has two more
	// replicas, or as many as there are stores.
	MaxLost int
	// MayBalance reports whether the lead of a partition may move although its primary is well, so
	// that stores lead equally many; nil: all may. Each move interrupts what relies on the lead.
	MayBalance func(partition int) bool
}

// AssignPartitions is Assignment.Next with all leads free to move.
func AssignPartitions(
	current *snapshot.PartitionTable, alive []snapshot.Store, lost func(id uint64) bool, partitions, f int,
) (*snapshot.PartitionTable, bool) {
	return Assignment{Alive: alive, Lost: lost, Partitions: partitions, MaxLost: f}.Next(current)
}

// Next returns the next table, or false if the current one needs no change. Each change of a
// partition increases its epoch.
//
// The first table needs one store more than may be lost and should include all, so the caller
// should wait until all stores that start together are alive.
func (assignment Assignment) Next(current *snapshot.PartitionTable) (*snapshot.PartitionTable, bool) {
	if current == nil {
		current = &snapshot.PartitionTable{}
	}
	a := newAssigner(current, assignment.Alive, assignment.Lost, assignment.MaxLost)
	changed := a.addStores(current, assignment.Alive)
	if len(a.next.Partitions) == 0 {
		if a.usableStores() < assignment.MaxLost+1 {
			return current, false
		}
		a.placeAll(assignment.Partitions)
		return a.next, true
	}
	a.countReplicas()
	for i := range a.next.Partitions {
		changed = a.reassign(&a.next.Partitions[i]) || changed
	}
	if !changed {
		changed = a.balancePrimaries(assignment.MayBalance)
	}
	changed = a.removeUnusedStores() || changed
	if !changed {
		return current, false
	}
	return a.next, true
}

// assigner computes the next table.
type assigner struct {
	maxLost       int // f
	alive         map[uint64]snapshot.Store
	lost          func(uint64) bool
	next          *snapshot.PartitionTable
	replicaCounts map[uint64]int // number of partitions for which a store is, or will be, a replica
	primaryCounts map[uint64]int
}

func newAssigner(current *snapshot.PartitionTable, alive []snapshot.Store, lost func(id uint64) bool, f int) *assigner {
	a := &assigner{
		maxLost:       f,
		alive:         map[uint64]snapshot.Store{},
		next:          cloneTable(current),
		replicaCounts: map[uint64]int{},
		primaryCounts: map[uint64]int{},
	}
	byName := map[string]uint64{}
	for _, store := range alive {
		a.alive[store.ID] = store
		byName[store.Name] = store.ID
	}
	a.lost = func(id uint64) bool {
		if currentID, ok := byName[current.Stores[id].Name]; ok && currentID != id && a.alive[id].ID != id {
			return true // its disk was replaced or emptied
		}
		return lost(id)
	}
	return a
}

// addStores adds the stores that are alive to the table.
func (a *assigner) addStores(current *snapshot.PartitionTable, alive []snapshot.Store) (changed bool) {
	for _, store := range alive {
		if current.Stores[store.ID] == store {
			continue
		}
		if _, known := current.Stores[store.ID]; !known && machineRetiring(current, store) {
			a.next.Retiring[store.ID] = true
		}
		a.next.Stores[store.ID] = store
		changed = true
	}
	return changed
}

// removeUnusedStores removes the stores that are lost and have no replica from the table.
func (a *assigner) removeUnusedStores() (changed bool) {
	used := map[uint64]bool{}
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		for _, id := range row.Replicas {
			used[id] = true
		}
		for _, id := range row.Joining {
			used[id] = true
		}
	}
	for id := range a.next.Stores {
		if _, ok := a.alive[id]; !ok && !used[id] && a.lost(id) && !a.next.Retiring[id] {
			delete(a.next.Stores, id)
			delete(a.next.Stopping, id)
			changed = true
		}
	}
	return changed
}

// usable reports whether a store may get new replicas.
func (a *assigner) usable(id uint64) bool {
	_, ok := a.alive[id]
	return ok && !a.lost(id) && !a.next.Retiring[id]
}

// usableStores returns how many stores may get new replicas.
func (a *assigner) usableStores() (count int) {
	for id := range a.alive {
		if a.usable(id) {
			count++
		}
	}
	return count
}

// available reports whether a replica is alive.
func (a *assigner) available(id uint64) bool {
	_, ok := a.alive[id]
	return ok && !a.lost(id)
}

// availableReplicas returns how many replicas of a partition are alive.
func (a *assigner) availableReplicas(row *snapshot.Partition) (count int) {
	for _, id := range row.Replicas {
		if a.available(id) {
			count++
		}
	}
	return count
}

// mustLeave reports whether a replica should leave its groups. A replica that is only briefly
// silent should not.
func (a *assigner) mustLeave(id uint64) bool { return a.lost(id) || a.next.Retiring[id] }

// placeAll places all partitions for the first time.
func (a *assigner) placeAll(partitions int) {
	a.next.Partitions = make([]snapshot.Partition, partitions)
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		row.Epoch = 1
		for len(row.Replicas) < a.maxLost+2 {
			id := a.pickStore(row.Replicas)
			if id == 0 {
				break
			}
			row.Replicas = append(row.Replicas, id)
			a.replicaCounts[id]++
		}
		row.Primary = a.pickPrimary(row)
		a.primaryCounts[row.Primary]++
	}
}

// countReplicas counts for how many partitions each store is the primary, and for how many it is or
// will be a replica.
func (a *assigner) countReplicas() {
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		a.primaryCounts[row.Primary]++
		for _, id := range nextReplicas(row) {
			a.replicaCounts[id]++
		}
	}
}

// reassign moves the primary of a partition, and decides which replicas are to join and to leave.
func (a *assigner) reassign(row *snapshot.Partition) (changed bool) {
	old := *row
	a.movePrimary(row)
	var mustLeave []uint64
	for _, id := range row.Replicas {
		if id != row.Primary && a.mustLeave(id) {
			mustLeave = append(mustLeave, id)
		}
	}
	row.Joining = a.chooseJoining(row, len(row.Replicas)-len(mustLeave))
	row.Leaving = a.chooseLeaving(row, mustLeave)
	if old.Primary == row.Primary && slices.Equal(old.Joining, row.Joining) && slices.Equal(old.Leaving, row.Leaving) {
		*row = old
		return false
	}
	row.Epoch++
	return true
}

// movePrimary moves the lead of a partition to a more suitable replica, if enough replicas are
// alive for a takeover.
func (a *assigner) movePrimary(row *snapshot.Partition) {
	if a.reluctance(row.Primary) == reluctanceNone || a.availableReplicas(row) < max(len(row.Replicas)-a.maxLost, 1) {
		return
	}
	if id := a.pickPrimary(row); id != 0 && a.reluctance(id) < a.reluctance(row.Primary) {
		a.primaryCounts[row.Primary]--
		a.primaryCounts[id]++
		row.Primary = id
	}
}

// chooseJoining returns the stores that are to join a group in which the given number of replicas
// stay.
func (a *assigner) chooseJoining(row *snapshot.Partition, staying int) []uint64 {
	joining := slices.DeleteFunc(slices.Clone(row.Joining), func(id uint64) bool {
		return !a.usable(id) && a.mustLeave(id)
	})
	need := max(min(a.maxLost+2, a.usableStores())-staying, 0)
	if len(joining) > need {
		joining = joining[:need]
	}
	for len(joining) < need {
		id := a.pickStore(append(slices.Clone(row.Replicas), joining...))
		if id == 0 {
			break
		}
		joining = append(joining, id)
		a.replicaCounts[id]++
	}
	if len(joining) == 0 {
		return nil
	}
	return joining
}

// chooseLeaving returns which of the replicas that must leave may do so, given the ones that join.
// Retiring replicas leave first, and without a replacement as long as f+1 are left. Lost replicas
// leave only if they are replaced, as they may come back.
func (a *assigner) chooseLeaving(row *snapshot.Partition, mustLeave []uint64) (leaving []uint64) {
	retiringFirst := func(id uint64) int {
		if a.next.Retiring[id] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(mustLeave, func(x, y uint64) int { return cmp.Compare(retiringFirst(x), retiringFirst(y)) })
	replacements := len(row.Joining)
	for _, id := range mustLeave {
		left := len(row.Replicas) - len(leaving) - 1 + len(row.Joining)
		switch {
		case replacements > 0:
			replacements--
		case a.next.Retiring[id] && left >= a.maxLost+1:
		default:
			continue
		}
		leaving = append(leaving, id)
	}
	return leaving
}

// pickStore returns the usable store with the fewest replicas, preferring zones that have none of
// the others; 0 if there is none.
func (a *assigner) pickStore(others []uint64) (best uint64) {
	inZone := map[string]int{}
	for _, id := range others {
		inZone[a.next.Stores[id].Zone]++
	}
	better := func(x, y uint64) bool {
		return cmp.Or(
			cmp.Compare(inZone[a.alive[x].Zone], inZone[a.alive[y].Zone]),
			cmp.Compare(a.replicaCounts[x], a.replicaCounts[y]),
		) < 0
	}
	for _, id := range slices.Sorted(maps.Keys(a.alive)) {
		if a.usable(id) && !a.next.Stopping[id] && !slices.Contains(others, id) && (best == 0 || better(id, best)) {
			best = id
		}
	}
	return best
}

// Reluctance to make a replica the primary. A lost one never becomes the primary.
const (
	reluctanceNone = iota
	reluctanceRetiring
	reluctanceStopping
	reluctanceLost
)

func (a *assigner) reluctance(id uint64) int {
	switch {
	case a.lost(id):
		return reluctanceLost
	case a.next.Stopping[id]:
		return reluctanceStopping
	case a.next.Retiring[id]:
		return reluctanceRetiring
	}
	return reluctanceNone
}

// pickPrimary returns the most suitable replica for the primary, and among equals the one that
// leads the fewest partitions; 0 if none is alive.
func (a *assigner) pickPrimary(row *snapshot.Partition) (best uint64) {
	for reluctance := range reluctanceLost {
		for _, id := range row.Replicas {
			if !a.available(id) || a.reluctance(id) != reluctance {
				continue
			}
			if best == 0 || a.primaryCounts[id] < a.primaryCounts[best] {
				best = id
			}
		}
		if best != 0 {
			return best
		}
	}
	return 0
}

// balancePrimaries moves the lead of one partition that may move to a store that leads at least two
// fewer, while all replicas are alive and no group changes.
func (a *assigner) balancePrimaries(mayMove func(partition int) bool) (changed bool) {
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		if len(row.Joining)+len(row.Leaving) > 0 || a.availableReplicas(row) < len(row.Replicas) {
			return false
		}
	}
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		if mayMove != nil && !mayMove(i) {
			continue
		}
		id := a.pickPrimary(row)
		if id != 0 && a.primaryCounts[row.Primary] > a.primaryCounts[id]+1 {
			row.Primary = id
			row.Epoch++
			return true
		}
	}
	return false
}
