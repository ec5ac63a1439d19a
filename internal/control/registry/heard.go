package registry

import (
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
)

// Heard returns the live incarnations that were heard within Limit, ordered by ID, for the other keepers: those heard
// by this keeper or, with relay, by any keeper.
func (t *Table) Heard(now time.Duration, relay bool) (heard []Heard) {
	for _, stored := range t.byID {
		at, ok := stored.heardHereAt, stored.heardHere
		if relay {
			at, ok = stored.heardAt, true
		}
		if ok && !stored.entry.Gone() && now-at <= t.limit {
			heard = append(heard, Heard{stored.entry.ID, stored.entry.Alive, now - at})
		}
	}
	slices.SortFunc(heard, func(a, b Heard) int { return strings.Compare(a.ID, b.ID) })
	return heard
}

// MergeHeard applies the Heard of another keeper. It returns the entries that changed, and the IDs that are unknown
// here: the caller should ask that keeper for its Entries.
func (t *Table) MergeHeard(now time.Duration, heard []Heard) (changed []Entry, missing []string) {
	from := t.number
	t.receivedAt = now
	for _, other := range heard {
		stored := t.byID[other.ID]
		if stored == nil {
			missing = append(missing, other.ID)
			continue
		}
		if stored.entry.State == snapshot.Gone || other.Alive < stored.entry.Alive || other.Alive == stored.entry.Alive && stored.entry.Silent {
			continue
		}
		entry := t.ageless(now, stored)
		entry.Alive, entry.Silent, entry.Age = other.Alive, false, other.Age
		t.join(now, entry)
		t.claimAddress(now, stored)
	}
	return t.changesAfter(now, from), missing
}
