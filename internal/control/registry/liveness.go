package registry

import (
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
)

// Liveness is the last heartbeat of one incarnation. Keepers exchange it instead of a full Entry.
type Liveness struct {
	ID             string
	HeartbeatCount uint64        // the call count of the last heartbeat
	Age            time.Duration // time since that heartbeat
}

// Liveness returns the live incarnations whose last heartbeat is at most HeartbeatTimeout old, ordered by ID, for the
// other keepers. It considers only heartbeats that this keeper received itself or, with relay, those of all keepers.
func (t *Table) Liveness(now time.Duration, relay bool) (live []Liveness) {
	for _, stored := range t.byID {
		at, received := stored.localHeartbeatAt, stored.hasLocalHeartbeat
		if relay {
			at, received = stored.heartbeatAt, true
		}
		if received && !stored.entry.Dead() && now-at <= t.heartbeatTimeout {
			live = append(live, Liveness{stored.entry.ID, stored.entry.HeartbeatCount, now - at})
		}
	}
	slices.SortFunc(live, func(a, b Liveness) int { return strings.Compare(a.ID, b.ID) })
	return live
}

// MergeLiveness applies the Liveness of another keeper. It returns the entries that changed, and the IDs that this
// table does not have: if there are any, the caller should request that keeper's Entries.
func (t *Table) MergeLiveness(now time.Duration, live []Liveness) (changed []Entry, missing []string) {
	before := t.lastChange
	t.receivedAt = now
	for _, other := range live {
		stored := t.byID[other.ID]
		if stored == nil {
			missing = append(missing, other.ID)
			continue
		}
		known := &stored.entry
		if known.State == snapshot.Removed || other.HeartbeatCount < known.HeartbeatCount ||
			other.HeartbeatCount == known.HeartbeatCount && known.TimedOut {
			continue
		}
		entry := stored.currentEntry(now)
		entry.HeartbeatCount, entry.TimedOut, entry.Age = other.HeartbeatCount, false, other.Age
		t.join(now, entry)
		t.claimAddress(now, stored)
	}
	return t.changesAfter(now, before), missing
}
