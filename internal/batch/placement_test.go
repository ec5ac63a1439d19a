package batch

import (
	"fmt"
	"slices"
	"testing"

	"dunetide/internal/control/snapshot"
)

// someStores returns n stores in three zones.
func someStores(n int) (all []snapshot.Store) {
	for i := range n {
		all = append(all, snapshot.Store{
			ID:   uint64(i + 1),
			Name: fmt.Sprint("s", i),
			Addr: fmt.Sprint("a", i),
			Zone: fmt.Sprint("z", i%3),
		})
	}
	return all
}

func none(uint64) bool { return false }

func TestFirstTableSpreadsReplicasOverZones(t *testing.T) {
	for _, f := range []int{0, 1, 2} {
		for n := 1; n <= 8; n++ {
			next, ok := AssignPartitions(nil, someStores(n), none, 16, f)
			if n < f+1 {
				if ok {
					t.Fatalf("f %d, %d stores: a table was created", f, n)
				}
				continue
			}
			lead, held := map[uint64]int{}, map[uint64]int{}
			for no, row := range next.Partitions {
				if len(row.Replicas) != min(f+2, n) || !slices.Contains(row.Replicas, row.Primary) || row.Epoch != 1 {
					t.Fatalf("f %d, %d stores: partition %d: %v", f, n, no, row)
				}
				zones := map[string]bool{}
				for _, id := range row.Replicas {
					zones[next.Stores[id].Zone] = true
					held[id]++
				}
				if len(zones) != min(f+2, n, 3) {
					t.Fatalf("f %d, %d stores: partition %d is in %d zones", f, n, no, len(zones))
				}
				lead[row.Primary]++
			}
			for id := uint64(1); id <= uint64(n); id++ {
				if most := (16+n-1)/n + 2; lead[id] > most {
					t.Errorf("f %d, %d stores: %d leads %d partitions of 16", f, n, id, lead[id])
				}
			}
			if again, changed := AssignPartitions(next, someStores(n), none, 16, f); changed && again.Version > next.Version+1 {
				t.Errorf("f %d, %d stores: the table changes without a cause", f, n)
			}
		}
	}
}

// TestAssignmentsBecomeStable: whatever store is lost, the subsequent tables become stable, and no
// step removes more replicas from a group than is safe.
func TestAssignmentsBecomeStable(t *testing.T) {
	for _, f := range []int{1, 2} {
		for n := f + 2; n <= 7; n++ {
			for away := range n {
				all := someStores(n)
				cur, _ := AssignPartitions(nil, all, none, 8, f)
				cur = assignUntilStable(t, cur, all, none, f)
				lost := func(id uint64) bool { return id == uint64(away+1) }
				rest := slices.DeleteFunc(slices.Clone(all), func(s snapshot.Store) bool { return lost(s.ID) })
				end := assignUntilStable(t, cur, rest, lost, f)
				for no, row := range end.Partitions {
					if lost(row.Primary) {
						t.Fatalf("f %d, %d stores: partition %d is led by the lost store", f, n, no)
					}
					if n > f+2 && slices.ContainsFunc(row.Replicas, lost) {
						t.Fatalf("f %d, %d stores: partition %d still has the lost store as a replica: %v", f, n, no, row)
					}
				}
				// The same machine comes back with an empty disk.
				back := append(slices.Clone(rest), snapshot.Store{
					ID:   100,
					Name: all[away].Name,
					Addr: all[away].Addr,
					Zone: all[away].Zone,
				})
				end = assignUntilStable(t, end, back, lost, f)
				for no, row := range end.Partitions {
					if len(row.Replicas) != f+2 || slices.ContainsFunc(row.Replicas, lost) {
						t.Fatalf("f %d, %d stores: partition %d after the machine's return: %v", f, n, no, row)
					}
				}
				// Another store retires.
				name := all[(away+1)%n].Name
				next, known, few := RetireStore(end, name, back, lost, f)
				if !known || few != (n-1 < f+1) {
					t.Fatalf("f %d, %d stores: retire: known %v, few %v", f, n, known, few)
				}
				if few {
					continue
				}
				next = assignUntilStable(t, next, back, lost, f)
				if _, done := RetirementState(next, name, f); !done {
					t.Fatalf("f %d, %d stores: %s is not empty: %v", f, n, name, next.Partitions)
				}
			}
		}
	}
}

// assignUntilStable assigns partitions and switches replicas until nothing changes, and checks each
// step.
func assignUntilStable(
	t *testing.T, cur *snapshot.PartitionTable, alive []snapshot.Store, lost func(uint64) bool, f int,
) *snapshot.PartitionTable {
	t.Helper()
	for range 200 {
		next, changed := AssignPartitions(cur, alive, lost, 8, f)
		if !changed {
			done := true
			for no := range cur.Partitions {
				if s, ok := SwitchReplicas(cur, no, cur.Partitions[no].Epoch); ok {
					cur, done = s, false
				}
			}
			if done {
				return cur
			}
			continue
		}
		for no := range next.Partitions {
			a, b := &cur.Partitions[no], &next.Partitions[no]
			if !slices.Equal(a.Replicas, b.Replicas) {
				t.Fatalf("AssignPartitions removed a replica: %v, %v", a, b)
			}
			if slices.Contains(b.Leaving, b.Primary) {
				t.Fatalf("the primary leaves: %v", b)
			}
			if fmt.Sprint(*a) != fmt.Sprint(*b) && b.Epoch != a.Epoch+1 {
				t.Fatalf("changed without a new epoch: %v, %v", a, b)
			}
			if after := nextReplicas(b); len(after) < f+1 {
				t.Fatalf("too few would be left: %v", b)
			}
		}
		cur = next
	}
	t.Fatalf("the table does not become stable: %v", cur.Partitions)
	return nil
}

// TestBalanceLeavesYoungLeads guards against leads that move again and again while stores come back: each move interrupts
// the count of tenants' requests.
func TestBalanceLeavesYoungLeads(t *testing.T) {
	none := func(uint64) bool { return false }
	stores := someStores(4)
	current, ok := AssignPartitions(nil, stores, none, 8, 1)
	if !ok {
		t.Fatal("no first table")
	}
	unbalanced := cloneTable(current)
	for i := range unbalanced.Partitions { // all are led by one store as far as it has replicas
		if row := &unbalanced.Partitions[i]; slices.Contains(row.Replicas, stores[0].ID) {
			row.Primary = stores[0].ID
		}
	}
	next, changed := Assignment{
		Alive: stores, Lost: none, MaxLost: 1, MayBalance: func(int) bool { return false },
	}.Next(unbalanced)
	if changed {
		t.Errorf("young leads have moved: %v", next.Partitions)
	}
	old := -1 // the last partition with that primary
	for i := range unbalanced.Partitions {
		if unbalanced.Partitions[i].Primary == stores[0].ID {
			old = i
		}
	}
	next, changed = Assignment{
		Alive: stores, Lost: none, MaxLost: 1, MayBalance: func(partition int) bool { return partition == old },
	}.Next(unbalanced)
	if !changed || next.Partitions[old].Primary == stores[0].ID || next.Partitions[old].Epoch != unbalanced.Partitions[old].Epoch+1 {
		t.Errorf("the old lead has not moved: %v", next.Partitions)
	}
	// A primary that is lost is replaced at once.
	lost := func(id uint64) bool { return id == stores[0].ID }
	next, _ = Assignment{
		Alive: stores[1:], Lost: lost, MaxLost: 1, MayBalance: func(int) bool { return false },
	}.Next(unbalanced)
	for i := range next.Partitions {
		if next.Partitions[i].Primary == stores[0].ID {
			t.Errorf("partition %d is still led by a store that is lost", i)
		}
	}
}
