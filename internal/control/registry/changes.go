package registry

import (
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/snapshot"
)

// DigestBuckets is the number of buckets into which the table is divided for comparison between keepers.
const DigestBuckets = 16

// AllBuckets has Entries return the entries of all buckets.
const AllBuckets = -1

// BucketOf returns the bucket of the table that a service belongs to, from 0 to DigestBuckets-1.
func BucketOf(service string) int { return int(snapshot.Hash(service) % DigestBuckets) }

// Changes returns the entries that changed after the change number since, oldest first, and the number for the next
// call. If the table cannot determine the changes (since is 0, older than a dropped tombstone, or newer than the
// table), complete is true and the entries are all live ones. Numbers are valid for one Table only.
func (t *Table) Changes(now time.Duration, since uint64) (entries []Entry, to uint64, complete bool) {
	if since == 0 || since < t.droppedChange || since > t.lastChange {
		for element := t.changes.Front(); element != nil; element = element.Next() {
			if stored := element.Value.(*record); !stored.entry.Dead() {
				entries = append(entries, stored.exportEntry(now))
			}
		}
		return entries, t.lastChange, true
	}
	return t.changesAfter(now, since), t.lastChange, false
}

// changesAfter returns the entries whose newest change number is above since, oldest first.
func (t *Table) changesAfter(now time.Duration, since uint64) (entries []Entry) {
	for element := t.changes.Back(); element != nil; element = element.Prev() {
		stored := element.Value.(*record)
		if stored.changeNumber <= since {
			break
		}
		entries = append(entries, stored.exportEntry(now))
	}
	slices.Reverse(entries)
	return entries
}

// LastChange returns the number of the newest change, 0 if there was none.
func (t *Table) LastChange() uint64 { return t.lastChange }

// Get returns the entry of an incarnation, and false if it is unknown.
func (t *Table) Get(now time.Duration, id string) (Entry, bool) {
	stored := t.byID[id]
	if stored == nil {
		return Entry{}, false
	}
	return stored.exportEntry(now), true
}

// Entries returns all entries of a bucket, dead ones included, for another keeper. With AllBuckets it returns those of
// all buckets.
func (t *Table) Entries(now time.Duration, bucket int) (entries []Entry) {
	for element := t.changes.Front(); element != nil; element = element.Next() {
		if stored := element.Value.(*record); bucket < 0 || BucketOf(stored.entry.Service) == bucket {
			entries = append(entries, stored.exportEntry(now))
		}
	}
	return entries
}

// EachEnd calls visit with the ID and the state of each incarnation that is draining or removed, in no order.
func (t *Table) EachEnd(visit func(id string, state snapshot.State)) {
	for id, stored := range t.byID {
		if stored.entry.State != snapshot.Ready {
			visit(id, stored.entry.State)
		}
	}
}

// Digests returns a checksum of the live entries of each bucket. Two keepers whose checksums of a bucket differ for
// longer than a change takes to arrive should exchange their Entries of that bucket.
func (t *Table) Digests() (sums [DigestBuckets]uint64) {
	for _, stored := range t.byID {
		entry := &stored.entry
		if entry.Dead() {
			continue
		}
		content := strings.Join([]string{entry.ID, entry.Address, entry.Version, entry.Zone, entry.Service}, "\n")
		sums[BucketOf(entry.Service)] ^= snapshot.Hash(content) + uint64(entry.State)
	}
	return sums
}
