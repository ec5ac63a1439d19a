package registry

import (
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
)

// Heard returns the live incarnations that were heard within Limit, ordered by ID, for the other keepers: those heard
// by this keeper or, with relay, by any keeper.
func (t *Table) Liveness(now time.Duration, relay bool) (heard []Liveness) {
	for _, stored := range t.byID {
		at, ok := stored.heardHereAt, stored.heardHere
		if relay {
			at, ok = stored.heardAt, true
		}
		if ok && !stored.entry.Dead() && now-at <= t.limit {
			heard = append(heard, Liveness{stored.entry.ID, stored.entry.HeartbeatCount, now - at})
		}
	}
	slices.SortFunc(heard, func(a, b Liveness) int { return strings.Compare(a.ID, b.ID) })
	return heard
}

// MergeHeard applies the Heard of another keeper. It returns the entries that changed, and the IDs that are unknown
// here: the caller should ask that keeper for its Entries.
func (t *Table) MergeLiveness(now time.Duration, heard []Liveness) (changed []Entry, missing []string) {
	from := t.number
	t.receivedAt = now
	for _, other := range heard {
		stored := t.byID[other.ID]
		if stored == nil {
			missing = append(missing, other.ID)
			continue
		}
		if stored.entry.State == snapshot.Removed || other.HeartbeatCount < stored.entry.HeartbeatCount || other.HeartbeatCount == stored.entry.HeartbeatCount && stored.entry.TimedOut {
			continue
		}
		entry := t.ageless(now, stored)
		entry.HeartbeatCount, entry.TimedOut, entry.Age = other.HeartbeatCount, false, other.Age
		t.join(now, entry)
		t.claimAddress(now, stored)
	}
	return t.changesAfter(now, from), missing
}
