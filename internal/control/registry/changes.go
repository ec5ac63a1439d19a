package registry

import (
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
)

// Changes returns the entries that changed after number since, oldest first, and the number for the next call. If the
// table cannot tell (since is 0, older than a dropped tombstone, or newer than the table), whole is true and the
// entries are all live ones. Numbers are valid for one Table only.
func (t *Table) Changes(now time.Duration, since uint64) (entries []Entry, to uint64, whole bool) {
	if since == 0 || since < t.forgotten || since > t.number {
		for at := t.changes.Front(); at != nil; at = at.Next() {
			if stored := at.Value.(*record); !stored.entry.Dead() {
				entries = append(entries, t.entry(now, stored))
			}
		}
		return entries, t.number, true
	}
	return t.changesAfter(now, since), t.number, false
}

// changesAfter returns the entries with a change after number since, oldest first.
func (t *Table) changesAfter(now time.Duration, since uint64) (entries []Entry) {
	for at := t.changes.Back(); at != nil && at.Value.(*record).number > since; at = at.Prev() {
		entries = append(entries, t.entry(now, at.Value.(*record)))
	}
	slices.Reverse(entries)
	return entries
}

// Newest returns the number of the newest change, 0 if there was none.
func (t *Table) LastChange() uint64 { return t.number }

// Get returns the entry of an incarnation, and false if it is unknown.
func (t *Table) Get(now time.Duration, id string) (Entry, bool) {
	stored := t.byID[id]
	if stored == nil {
		return Entry{}, false
	}
	return t.entry(now, stored), true
}

// Entries returns all entries of a part, also of endpoints that are gone, for another keeper. Part -1 means all parts.
func (t *Table) Entries(now time.Duration, part int) (entries []Entry) {
	for at := t.changes.Front(); at != nil; at = at.Next() {
		if stored := at.Value.(*record); part < 0 || BucketOf(stored.entry.Service) == part {
			entries = append(entries, t.entry(now, stored))
		}
	}
	return entries
}

// Digests returns a checksum of the live entries of each part. Two keepers whose checksums of a part differ for longer
// than a change takes to arrive should exchange their Entries of that part.
func (t *Table) Digests() (sums [DigestBuckets]uint64) {
	for _, stored := range t.byID {
		if entry := &stored.entry; !entry.Dead() {
			sums[BucketOf(entry.Service)] ^= snapshot.Hash(strings.Join([]string{entry.ID, entry.Address, entry.Version, entry.Zone, entry.Service}, "\n")) + uint64(entry.State)
		}
	}
	return sums
}

// entry returns a copy of a record's entry with its remaining cold time and its age at now.
func (t *Table) entry(now time.Duration, stored *record) Entry {
	entry := stored.entry
	entry.RemainingWarmupMs = t.coldLeftMs(now, stored)
	entry.Models = slices.Clone(entry.Models)
	entry.Age = now - stored.heardAt
	if entry.Dead() {
		entry.Age = now - stored.goneAt
	}
	entry.Age = max(entry.Age, 0)
	return entry
}

// ageless returns a record's entry with its remaining cold time at now and age 0.
func (t *Table) ageless(now time.Duration, stored *record) Entry {
	entry := stored.entry
	entry.RemainingWarmupMs, entry.Age = t.coldLeftMs(now, stored), 0
	return entry
}

// coldLeftMs returns the milliseconds that are left of the cold time at now.
func (t *Table) coldLeftMs(now time.Duration, stored *record) int {
	return max(0, stored.entry.RemainingWarmupMs-int((now-stored.coldAt).Milliseconds()))
}
