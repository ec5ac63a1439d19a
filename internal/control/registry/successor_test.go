package registry

import (
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// TestLateHeartbeatDoesNotRemoveSuccessor guards against a sound endpoint that is removed for good: a table that has
// forgotten the former endpoint of an address takes its late heartbeat for that of a new one.
func TestLateHeartbeatDoesNotRemoveSuccessor(t *testing.T) {
	for name, forget := range map[string]func(now time.Duration) *Table{
		"the keeper restarted": func(now time.Duration) *Table {
			table := New(now, Options{})
			table.MarkIncomplete(now)
			return table
		},
		"the tombstone was dropped for a newer one": func(now time.Duration) *Table {
			table := New(0, Options{MaxTombstones: 1})
			heartbeatAt(table, now, "former", 1)
			table.Remove(now, "former")
			table.Remove(now, "other")
			return table
		},
	} {
		t.Run(name, func(t *testing.T) {
			const now = 2 * time.Minute
			table := forget(now)
			heartbeatAt(table, now, "successor", 5)
			heartbeatAt(table, now+time.Second, "former", 2)
			heartbeatAt(table, now+2*time.Second, "successor", 6)
			if e, _ := table.Get(now+2*time.Second, "successor"); e.Dead() {
				t.Errorf("the successor is listed as %+v", e)
			}
			if e, _ := table.Get(now+2*time.Second, "former"); !e.Dead() {
				t.Errorf("the former endpoint is listed as %+v", e)
			}
			// The table has remembered all ends for long enough: a new incarnation is surely new.
			later := now + 2*time.Second + defaultTombstoneLifetime
			heartbeatAt(table, later, "third", 1)
			if e, _ := table.Get(later, "successor"); e.State != snapshot.Removed {
				t.Errorf("the replaced endpoint is listed as %+v", e)
			}
		})
	}
}

// heartbeatAt sends a heartbeat of an endpoint at the address that all endpoints of the test share.
func heartbeatAt(table *Table, now time.Duration, id string, count uint64) {
	table.Heartbeat(now, snapshot.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", CallCount: count})
}
