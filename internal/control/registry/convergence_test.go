package registry

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dunetide/internal/control/snapshot"
)

// TestTablesConverge checks that tables reach the same entries after they have exchanged them, whatever messages each
// has received from endpoints and other tables, in any order and any number of times.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New(0, Options{}), New(0, Options{}), New(0, Options{})}
		now := runRandomSteps(t, tables)
		for range 2 {
			for _, a := range tables {
				for _, b := range tables {
					a.Merge(now, b.Entries(now, AllBuckets))
				}
			}
		}
		want := formatEntries(tables[0], now)
		for _, table := range tables[1:] {
			if got := formatEntries(table, now); got != want {
				t.Fatalf("tables differ:\n%s\n%s", want, got)
			}
			if table.Digests() != tables[0].Digests() {
				t.Fatal("digests differ")
			}
		}
	})
}

// runRandomSteps sends random messages to tables and returns the time after them.
func runRandomSteps(t *rapid.T, tables []*Table) (now time.Duration) {
	callCounts := map[string]uint64{}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
		id := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "id")
		table := tables[rapid.IntRange(0, 2).Draw(t, "table")]
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0:
			table.Remove(now, id)
		case 1, 2:
			table.Merge(now, tables[rapid.IntRange(0, 2).Draw(t, "from")].Entries(now, AllBuckets))
		case 3:
			table.MergeLiveness(now, tables[rapid.IntRange(0, 2).Draw(t, "from")].Liveness(now, true))
		default:
			callCounts[id]++
			table.Heartbeat(now, snapshot.Endpoint{
				ID:        id,
				Service:   "s",
				Address:   id + ":1",
				CallCount: callCounts[id],
				State:     snapshot.State(rapid.IntRange(0, 1).Draw(t, "state")),
				Capacity:  rapid.IntRange(0, 1).Draw(t, "capacity"),
			})
		}
	}
	return now
}

// formatEntries returns the entries of a table without their ages, ordered by ID.
func formatEntries(t *Table, now time.Duration) string {
	entries := t.Entries(now, AllBuckets)
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	for i := range entries {
		entries[i].Age = 0
	}
	return fmt.Sprintf("%+v", entries)
}

// TestSubscribersConvergeWithTable checks that a subscriber that applies the changes has the table's live endpoints,
// however many changes happened since its last update.
func TestSubscribersConvergeWithTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(0, Options{MaxTombstones: 2, TombstoneLifetime: 10 * time.Second})
		now := time.Duration(0)
		callCount := uint64(0)
		subscriber := subscriber{states: map[string]snapshot.State{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint("i", rapid.IntRange(0, 7).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				table.Remove(now, id)
			case 1:
				table.Expire(now)
			case 2:
				subscriber.update(t, table, now)
			default:
				callCount++
				table.Heartbeat(now, snapshot.Endpoint{
					ID:        id,
					Service:   "s",
					Address:   fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "address")),
					CallCount: callCount,
					State:     snapshot.State(rapid.IntRange(0, 1).Draw(t, "state")),
				})
			}
			if table.tombstones.Len() > 2 || len(table.byID) != table.changes.Len() {
				t.Fatalf("%d tombstones, %d entries, %d changes", table.tombstones.Len(), len(table.byID), table.changes.Len())
			}
		}
	})
}

// subscriber holds the states of the live endpoints by ID, as of a change number.
type subscriber struct {
	states map[string]snapshot.State
	number uint64
}

// update applies the changes of a table, and checks that the subscriber then has the table's live endpoints.
func (s *subscriber) update(t *rapid.T, table *Table, now time.Duration) {
	entries, to, complete := table.Changes(now, s.number)
	if to < s.number {
		t.Fatalf("number %d after %d", to, s.number)
	}
	if complete {
		clear(s.states)
	}
	for _, entry := range entries {
		if entry.Dead() {
			delete(s.states, entry.ID)
		} else {
			s.states[entry.ID] = entry.State
		}
	}
	s.number = to
	want := map[string]snapshot.State{}
	for _, entry := range table.Entries(now, AllBuckets) {
		if !entry.Dead() {
			want[entry.ID] = entry.State
		}
	}
	if !reflect.DeepEqual(s.states, want) {
		t.Fatalf("subscriber has %v, table has %v", s.states, want)
	}
}
