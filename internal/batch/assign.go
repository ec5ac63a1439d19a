package batch

import (
	"cmp"
	"maps"
	"slices"

	"dunetide/internal/control/snapshot"
)

// nextCopies is the group of a part once those that join have all and those that leave are gone.
func nextCopies(row *snapshot.Partition) []uint64 {
	next := slices.DeleteFunc(slices.Clone(row.Replicas), func(id uint64) bool { return slices.Contains(row.Leaving, id) })
	for _, id := range row.Joining {
		if !slices.Contains(next, id) {
			next = append(next, id)
		}
	}
	return next
}

func cloneTable(t *snapshot.PartitionTable) *snapshot.PartitionTable {
	n := &snapshot.PartitionTable{Version: t.Version + 1, Partitions: slices.Clone(t.Partitions), Stores: maps.Clone(t.Stores), Retiring: maps.Clone(t.Retiring), Stopping: maps.Clone(t.Stopping)}
	if n.Stores == nil {
		n.Stores = map[uint64]snapshot.Store{}
	}
	if n.Retiring == nil {
		n.Retiring = map[uint64]bool{}
	}
	if n.Stopping == nil {
		n.Stopping = map[uint64]bool{}
	}
	return n
}

// Switch is the table in which a part's next group is its group. Its primary, leading under that epoch, has said
// that the next group has all. False: the table has moved on.
func Switch(cur *snapshot.PartitionTable, part int, epoch uint64) (*snapshot.PartitionTable, bool) {
	if cur == nil || part < 0 || part >= len(cur.Partitions) || cur.Partitions[part].Epoch != epoch {
		return cur, false
	}
	if row := &cur.Partitions[part]; len(row.Joining)+len(row.Leaving) == 0 || slices.Contains(row.Leaving, row.Primary) {
		return cur, false
	}
	next := cloneTable(cur)
	row := &next.Partitions[part]
	row.Replicas, row.Joining, row.Leaving = nextCopies(row), nil, nil
	row.Epoch++
	return next, true
}

// SetStopping is the table in which a store is marked as one that is about to stop, or as one that runs. A store that the
// table does not have can't be marked. False: nothing changes.
func SetStopping(cur *snapshot.PartitionTable, store uint64, stopping bool) (*snapshot.PartitionTable, bool) {
	if cur == nil || cur.Stopping[store] == stopping {
		return cur, false
	}
	if _, known := cur.Stores[store]; !known {
		return cur, false
	}
	next := cloneTable(cur)
	if stopping {
		next.Stopping[store] = true
	} else {
		delete(next.Stopping, store)
	}
	return next, true
}

// assigner has what Assign looks at.
type assigner struct {
	f         int
	alive     map[uint64]snapshot.Store
	lost      func(uint64) bool
	next      *snapshot.PartitionTable
	copies    map[uint64]int // parts held or to be held
	primaries map[uint64]int
}

// usable tells whether a store may get something new to hold.
func (a *assigner) usable(id uint64) bool {
	_, ok := a.alive[id]
	return ok && !a.lost(id) && !a.next.Retiring[id]
}

// machineRetires tells whether the machine of a store is to be emptied. One that has lost its disk since that was asked for
// comes back as another store, by the same name and at the same address.
func machineRetires(t *snapshot.PartitionTable, store snapshot.Store) bool {
	for id, s := range t.Stores {
		if t.Retiring[id] && s.Name == store.Name && s.Addr == store.Addr {
			return true
		}
	}
	return false
}

// Assign says how the parts should be placed. Alive are the stores that are heard of; lost tells of a store that it has
// been away for so long that others should take its place. Every change of a part has a new epoch. The first table needs
// f+2 stores, or as many as there are, so the caller asks for it when all that start together have been heard of.
func Assign(cur *snapshot.PartitionTable, alive []snapshot.Store, lost func(id uint64) bool, parts, f int) (*snapshot.PartitionTable, bool) {
	if cur == nil {
		cur = &snapshot.PartitionTable{}
	}
	a := newAssigner(cur, alive, lost, f)
	changed := a.noteStores(cur, alive)
	if len(a.next.Partitions) == 0 {
		if a.usableStores() < f+1 {
			return cur, false
		}
		a.firstParts(parts)
		return a.next, true
	}
	a.countHeld()
	for i := range a.next.Partitions {
		changed = a.part(&a.next.Partitions[i]) || changed
	}
	if !changed {
		changed = a.balance()
	}
	changed = a.forgetStores() || changed
	if !changed {
		return cur, false
	}
	return a.next, true
}

// newAssigner begins with a table.
func newAssigner(cur *snapshot.PartitionTable, alive []snapshot.Store, lost func(id uint64) bool, f int) *assigner {
	a := &assigner{f: f, alive: map[uint64]snapshot.Store{}, next: cloneTable(cur), copies: map[uint64]int{}, primaries: map[uint64]int{}}
	names := map[string]uint64{}
	for _, s := range alive {
		a.alive[s.ID] = s
		names[s.Name] = s.ID
	}
	a.lost = func(id uint64) bool {
		if now, ok := names[cur.Stores[id].Name]; ok && now != id && a.alive[id].ID != id {
			return true // its disk was emptied
		}
		return lost(id)
	}
	return a
}

// noteStores takes in the stores that are heard of.
func (a *assigner) noteStores(cur *snapshot.PartitionTable, alive []snapshot.Store) (changed bool) {
	for _, s := range alive {
		if cur.Stores[s.ID] == s {
			continue
		}
		if _, known := cur.Stores[s.ID]; !known && machineRetires(cur, s) {
			a.next.Retiring[s.ID] = true
		}
		a.next.Stores[s.ID] = s
		changed = true
	}
	return changed
}

// usableStores is how many stores may get something new to hold.
func (a *assigner) usableStores() (n int) {
	for id := range a.alive {
		if a.usable(id) {
			n++
		}
	}
	return n
}

// firstParts places all parts for the first time.
func (a *assigner) firstParts(parts int) {
	a.next.Partitions = make([]snapshot.Partition, parts)
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		row.Epoch = 1
		for len(row.Replicas) < a.f+2 {
			id := a.pick(row.Replicas)
			if id == 0 {
				break
			}
			row.Replicas = append(row.Replicas, id)
			a.copies[id]++
		}
		row.Primary = a.leader(row)
		a.primaries[row.Primary]++
	}
}

// countHeld counts what each store leads and holds, or is to hold.
func (a *assigner) countHeld() {
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		a.primaries[row.Primary]++
		for _, id := range nextCopies(row) {
			a.copies[id]++
		}
	}
}

// forgetStores takes those out of the table that are lost and hold nothing.
func (a *assigner) forgetStores() (changed bool) {
	used := map[uint64]bool{}
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		for _, id := range append(slices.Clone(row.Replicas), row.Joining...) {
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

// full are the copies that are there.
func (a *assigner) full(row *snapshot.Partition) (n int) {
	for _, id := range row.Replicas {
		if _, ok := a.alive[id]; ok && !a.lost(id) {
			n++
		}
	}
	return n
}

// part brings one part on its way.
func (a *assigner) part(row *snapshot.Partition) bool {
	old := *row
	a.moveLead(row)
	var leaving []uint64
	for _, id := range row.Replicas {
		if id != row.Primary && a.gone(id) {
			leaving = append(leaving, id)
		}
	}
	row.Joining = a.joining(row, len(row.Replicas)-len(leaving))
	row.Leaving = a.leaving(row, leaving)
	if old.Primary == row.Primary && slices.Equal(old.Joining, row.Joining) && slices.Equal(old.Leaving, row.Leaving) {
		*row = old
		return false
	}
	row.Epoch++
	return true
}

// moveLead gives the lead of a part to a copy that may lead better, where enough copies are there for it to take over.
func (a *assigner) moveLead(row *snapshot.Partition) {
	if a.reluctance(row.Primary) == 0 || a.full(row) < max(len(row.Replicas)-a.f, 1) {
		return
	}
	if id := a.leader(row); id != 0 && a.reluctance(id) < a.reluctance(row.Primary) {
		a.primaries[row.Primary]--
		a.primaries[id]++
		row.Primary = id
	}
}

// joining are those that are to join a group of which so many stay.
func (a *assigner) joining(row *snapshot.Partition, stay int) []uint64 {
	joining := slices.DeleteFunc(slices.Clone(row.Joining), func(id uint64) bool { return !a.usable(id) && a.gone(id) })
	need := max(min(a.f+2, a.usableStores())-stay, 0)
	if len(joining) > need {
		joining = joining[:need]
	}
	for len(joining) < need {
		id := a.pick(append(slices.Clone(row.Replicas), joining...))
		if id == 0 {
			break
		}
		joining = append(joining, id)
		a.copies[id]++
	}
	if len(joining) == 0 {
		return nil
	}
	return joining
}

// leaving are those copies, of the ones that should go, that may go with the ones that join. Those that retire go first, and
// without one in their place as long as f+1 are left. Those that are lost go only when there is one for them: they may come back.
func (a *assigner) leaving(row *snapshot.Partition, gone []uint64) (leaving []uint64) {
	slices.SortStableFunc(gone, func(x, y uint64) int {
		return cmp.Compare(b2i(!a.next.Retiring[x]), b2i(!a.next.Retiring[y]))
	})
	spare := len(row.Joining)
	for _, id := range gone {
		switch {
		case spare > 0:
			spare--
		case a.next.Retiring[id] && len(row.Replicas)-len(leaving)-1+len(row.Joining) >= a.f+1:
		default:
			continue
		}
		leaving = append(leaving, id)
	}
	return leaving
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// gone: not only silent for a moment.
func (a *assigner) gone(id uint64) bool { return a.lost(id) || a.next.Retiring[id] }

// pick is the store with the least to hold, in a zone where none of the others is if there is one.
func (a *assigner) pick(others []uint64) (best uint64) {
	zones := map[string]int{}
	for _, id := range others {
		zones[a.next.Stores[id].Zone]++
	}
	ids := slices.Sorted(maps.Keys(a.alive))
	less := func(x, y uint64) bool {
		if d := cmp.Compare(zones[a.alive[x].Zone], zones[a.alive[y].Zone]); d != 0 {
			return d < 0
		}
		return a.copies[x] < a.copies[y]
	}
	for _, id := range ids {
		if a.usable(id) && !a.next.Stopping[id] && !slices.Contains(others, id) && (best == 0 || less(id, best)) {
			best = id
		}
	}
	return best
}

// reluctances is how many kinds of copies may lead; a lost one may not.
const reluctances = 3

// reluctance orders the copies by how well they may lead: those that stay before those that retire, and these before those
// that are about to stop.
func (a *assigner) reluctance(id uint64) int {
	switch {
	case a.lost(id):
		return reluctances
	case a.next.Stopping[id]:
		return 2
	case a.next.Retiring[id]:
		return 1
	}
	return 0
}

// leader is the copy that is there and leads the fewest parts; one that retires or is about to stop only if there is no
// other.
func (a *assigner) leader(row *snapshot.Partition) (best uint64) {
	for reluctance := range reluctances {
		for _, id := range row.Replicas {
			if _, ok := a.alive[id]; !ok || a.lost(id) || a.reluctance(id) != reluctance {
				continue
			}
			if best == 0 || a.primaries[id] < a.primaries[best] {
				best = id
			}
		}
		if best != 0 {
			return best
		}
	}
	return 0
}

// balance moves the lead of one part from the store that leads most to one that leads two fewer, in calm times.
func (a *assigner) balance() bool {
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		if len(row.Joining)+len(row.Leaving) > 0 || a.full(row) < len(row.Replicas) {
			return false
		}
	}
	for i := range a.next.Partitions {
		row := &a.next.Partitions[i]
		id := a.leader(row)
		if id != 0 && a.primaries[row.Primary] > a.primaries[id]+1 {
			row.Primary = id
			row.Epoch++
			return true
		}
	}
	return false
}

// Retired tells how far the retiring of a store by this name is: known tells whether there is such a store, finished
// whether nothing depends on it any more.
func Retired(t *snapshot.PartitionTable, name string, f int) (known, finished bool) {
	if t == nil {
		return false, false
	}
	finished = true
	for id, s := range t.Stores {
		if s.Name != name {
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

// Retire is the table in which a store is to be emptied. Few: too few would be left.
func Retire(cur *snapshot.PartitionTable, name string, alive []snapshot.Store, lost func(id uint64) bool, f int) (next *snapshot.PartitionTable, known, few bool) {
	if cur == nil {
		return cur, false, false
	}
	next = cloneTable(cur)
	left, retires := 0, false
	for id, s := range cur.Stores {
		if s.Name == name {
			known = true
			retires = retires || !cur.Retiring[id]
			next.Retiring[id] = true
		}
	}
	for _, s := range alive {
		if !lost(s.ID) && !next.Retiring[s.ID] {
			left++
		}
	}
	switch {
	case !known:
		return cur, false, false
	case !retires:
		return cur, true, false // under way
	case left < f+1:
		return cur, true, true
	}
	return next, true, false
}
