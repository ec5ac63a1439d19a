// Package registry holds a keeper's table of endpoints: the last heartbeat of each incarnation, which
// incarnations are gone, and a numbered log of changes for subscribers. The table is soft state without a
// leader: each incarnation is the only writer of its entry, and entries of several keepers merge in any order
// to the same result.
package registry

import (
	"container/list"
	"time"

	"dunetide/internal/control/snapshot"
)

// Options configures a Table. A zero field takes its default.
type Options struct {
	HeartbeatInterval time.Duration // interval between heartbeats of an endpoint; default 1.2 s
	TombstoneLifetime time.Duration // how long an endpoint that is gone is remembered; default 60 s
	MaxTombstones     int           // most endpoints that are gone and remembered, the oldest are dropped first; default 4,096
	MaxEndpoints      int           // most live endpoints, further ones are refused; default 8,192
}

// Defaults of Options.
const (
	defaultBeatEvery    = 1200 * time.Millisecond
	defaultTombstoneFor = time.Minute
	defaultTombstones   = 4096
	defaultEndpoints    = 8192
)

// minSilence is the least silence after which an endpoint counts as gone.
const minSilence = 3 * time.Second

// coldSlack is the difference between the reported cold_left_ms and the value expected from the last report
// up to which a heartbeat does not count as a change.
const coldSlack = 500 * time.Millisecond

// Stats counts the messages that a Table did not accept.
type Stats struct {
	Stale        uint64 // heartbeats with a call count that is not newer than the known one
	AfterRemoval uint64 // heartbeats of incarnations that had said they were gone
	Rejected     uint64 // entries that exceed a bound
}

// record is an entry with the times and list positions that the table keeps of it.
type record struct {
	entry       Entry
	heardAt     time.Duration // the last heartbeat at any keeper
	heardHereAt time.Duration // the last heartbeat at this keeper, if heardHere
	heardHere   bool
	coldAt      time.Duration // the time at which entry.ColdLeftMs held
	goneAt      time.Duration // when it went, if entry.Gone()
	number      uint64        // of its newest change
	change      *list.Element // its element in Table.changes
	tombstone   *list.Element // its element in Table.tombstones, nil while it is live
}

// Table is the table of endpoints. It has no clock and no goroutine: now is the reading of a monotonic clock.
// It is not safe for concurrent use.
type Table struct {
	options     Options
	limit       time.Duration
	listensFrom time.Duration // start of the current period without a break in Expire
	expiredAt   time.Duration // the last Expire
	receivedAt  time.Duration // the last message from an endpoint or another keeper
	byID        map[string]*record
	byAddress   map[string]string // address to the ID of the incarnation that has it
	changes     *list.List        // of *record, in the order of their numbers
	tombstones  *list.List        // of *record, the longest gone first
	number      uint64            // of the newest change
	forgotten   uint64            // the highest number of a tombstone that was dropped
	stats       Stats
}

// New returns an empty table that listens from now.
func New(now time.Duration, options Options) *Table {
	if options.HeartbeatInterval <= 0 {
		options.HeartbeatInterval = defaultBeatEvery
	}
	if options.TombstoneLifetime <= 0 {
		options.TombstoneLifetime = defaultTombstoneFor
	}
	if options.MaxTombstones <= 0 {
		options.MaxTombstones = defaultTombstones
	}
	if options.MaxEndpoints <= 0 {
		options.MaxEndpoints = defaultEndpoints
	}
	return &Table{options: options, limit: max(options.HeartbeatInterval*7/2, minSilence), listensFrom: now, expiredAt: now, receivedAt: now,
		byID: map[string]*record{}, byAddress: map[string]string{}, changes: list.New(), tombstones: list.New()}
}

// Limit returns the silence after which an incarnation counts as gone: 3.5 heartbeats, at least 3 s.
func (t *Table) HeartbeatTimeout() time.Duration { return t.limit }

// Listening reports whether the table has listened without a break for two heartbeat intervals: one heartbeat,
// and the time an endpoint takes to find this keeper. Until then, an endpoint that the table lacks may exist.
func (t *Table) Listening(now time.Duration) bool {
	return now-t.listensFrom >= 2*t.options.HeartbeatInterval
}

// Stats returns the counts since New.
func (t *Table) Stats() Stats { return t.stats }

// Live returns the number of endpoints that are not gone.
func (t *Table) Live() int { return len(t.byID) - t.tombstones.Len() }

// Beat applies a heartbeat and reports whether the other keepers and subscribers must be told of a change.
// A heartbeat that is out of bounds, late, or of an incarnation that is gone changes nothing and is counted in Stats.
func (t *Table) Heartbeat(now time.Duration, endpoint snapshot.Endpoint) (changed bool) {
	if Validate(&endpoint) != nil {
		t.stats.Rejected++
		return false
	}
	if endpoint.State == snapshot.Removed {
		return t.Remove(now, endpoint.ID)
	}
	t.receivedAt = now
	stored := t.byID[endpoint.ID]
	switch {
	case stored == nil:
		if t.Live() >= t.options.MaxEndpoints {
			t.stats.Rejected++
			return false
		}
	case stored.entry.State == snapshot.Removed:
		t.stats.AfterRemoval++
		return false
	case endpoint.CallCount <= stored.entry.CallCount || endpoint.CallCount <= stored.entry.HeartbeatCount:
		t.stats.Stale++
		return false
	}
	fresh := stored == nil
	changed = t.join(now, Entry{Endpoint: endpoint, HeartbeatCount: endpoint.CallCount})
	stored = t.byID[endpoint.ID]
	stored.heardHereAt, stored.heardHere = now, true
	if id := t.byAddress[endpoint.Address]; id != endpoint.ID {
		if old := t.byID[id]; old != nil && fresh { // a new incarnation replaces the one at its address
			gone := t.ageless(now, old)
			gone.State = snapshot.Removed
			t.join(now, gone)
		}
		t.claimAddress(now, stored)
	}
	return changed
}

// Leave marks an incarnation as gone for good, as said by itself or by its successor at its address, and reports
// whether that is a change.
func (t *Table) Remove(now time.Duration, id string) (changed bool) {
	gone := Entry{Endpoint: snapshot.Endpoint{ID: id, State: snapshot.Removed}}
	if Validate(&gone.Endpoint) != nil {
		t.stats.Rejected++
		return false
	}
	t.receivedAt = now
	return t.join(now, gone)
}

// Merge joins entries of another keeper into the table and returns those that changed here. Entries that are out of
// bounds, and new ones over Options.Endpoints, are counted as refused.
func (t *Table) Merge(now time.Duration, entries []Entry) (changed []Entry) {
	from := t.number
	t.receivedAt = now
	for _, entry := range entries {
		if Validate(&entry.Endpoint) != nil {
			t.stats.Rejected++
			continue
		}
		if t.byID[entry.ID] == nil {
			if entry.Dead() && entry.Age >= t.options.TombstoneLifetime || !entry.Dead() && entry.Age >= t.limit {
				continue // it was dropped here, or would be at once
			}
			if !entry.Dead() && t.Live() >= t.options.MaxEndpoints {
				t.stats.Rejected++
				continue
			}
		}
		t.join(now, entry)
		if stored := t.byID[entry.ID]; stored != nil && !stored.entry.Dead() {
			t.claimAddress(now, stored)
		}
	}
	return t.changesAfter(now, from)
}

// join merges an entry into its record and reports whether that is a change. All changes of entries are made here.
func (t *Table) join(now time.Duration, received Entry) (changed bool) {
	stored := t.byID[received.ID]
	fresh := stored == nil
	if fresh {
		stored = &record{entry: received, heardAt: now - received.Age, coldAt: now}
		t.byID[received.ID] = stored
	}
	old := stored.entry
	wasGone := !fresh && old.Dead()
	old.RemainingWarmupMs = t.coldLeftMs(now, stored)
	before := old.EffectiveEndpoint()
	stored.entry = Join(old, received)
	stored.coldAt = now
	if !received.Dead() {
		stored.heardAt = max(stored.heardAt, now-received.Age)
	}
	if address := old.Address; address != stored.entry.Address && t.byAddress[address] == received.ID {
		delete(t.byAddress, address)
	}
	after := stored.entry.EffectiveEndpoint()
	drift := time.Duration(max(before.RemainingWarmupMs-after.RemainingWarmupMs, after.RemainingWarmupMs-before.RemainingWarmupMs)) * time.Millisecond
	changed = fresh || before.State != after.State || compareSaid(&before, &after) != 0 || drift > coldSlack || old.State != stored.entry.State

	switch gone := stored.entry.Dead(); {
	case gone && !wasGone:
		stored.goneAt = now - received.Age
		if !received.Dead() {
			stored.goneAt = now
		}
		t.addTombstone(stored)
		if t.byAddress[stored.entry.Address] == received.ID {
			delete(t.byAddress, stored.entry.Address)
		}
	case !gone && wasGone:
		t.tombstones.Remove(stored.tombstone)
		stored.tombstone = nil
	}
	if changed {
		t.number++
		stored.number = t.number
		if stored.change != nil {
			t.changes.MoveToBack(stored.change)
		} else {
			stored.change = t.changes.PushBack(stored)
		}
	}
	t.dropTombstones(now)
	return changed
}

// addTombstone inserts a record into the tombstones, which are ordered by the time at which the endpoints went.
func (t *Table) addTombstone(stored *record) {
	at := t.tombstones.Back()
	for at != nil && at.Value.(*record).goneAt > stored.goneAt {
		at = at.Prev()
	}
	if at == nil {
		stored.tombstone = t.tombstones.PushFront(stored)
	} else {
		stored.tombstone = t.tombstones.InsertAfter(stored, at)
	}
}

// dropTombstones drops the records of endpoints that have been gone for Options.TombstoneFor, and the oldest of those
// over Options.Tombstones.
func (t *Table) dropTombstones(now time.Duration) {
	for t.tombstones.Len() > 0 {
		stored := t.tombstones.Front().Value.(*record)
		if t.tombstones.Len() <= t.options.MaxTombstones && now-stored.goneAt < t.options.TombstoneLifetime {
			return
		}
		t.tombstones.Remove(stored.tombstone)
		t.changes.Remove(stored.change)
		delete(t.byID, stored.entry.ID)
		t.forgotten = max(t.forgotten, stored.number)
	}
}

// claimAddress assigns the address of a record to one incarnation. Of two live ones the one heard last gets it and the
// other is marked silent, which its next heartbeat undoes.
func (t *Table) claimAddress(now time.Duration, stored *record) {
	if stored.entry.Address == "" {
		return
	}
	id, taken := t.byAddress[stored.entry.Address]
	if other := t.byID[id]; taken && other != nil && other != stored && !other.entry.Dead() {
		loser := other
		if other.heardAt > stored.heardAt || other.heardAt == stored.heardAt && other.entry.ID > stored.entry.ID {
			loser = stored
		}
		silenced := t.ageless(now, loser)
		silenced.TimedOut = true
		t.join(now, silenced)
		if loser == stored {
			return
		}
	}
	t.byAddress[stored.entry.Address] = stored.entry.ID
}

// Expire marks endpoints as silent that were not heard for Limit, drops old tombstones, and returns the entries that
// changed. It must be called several times per heartbeat interval: after a longer break the table starts to listen
// anew, because the silence may have been its own. For the same reason no endpoint expires while the table receives
// nothing at all, neither from endpoints nor from keepers.
func (t *Table) Expire(now time.Duration) (changed []Entry) {
	if now-t.expiredAt > max(t.options.HeartbeatInterval, time.Second) {
		t.listensFrom = now
	}
	t.expiredAt = now
	t.dropTombstones(now)
	if !t.Listening(now) || now-t.receivedAt > t.limit {
		return nil
	}
	from := t.number
	for _, stored := range t.byID {
		if !stored.entry.Dead() && now-max(stored.heardAt, t.listensFrom) > t.limit {
			silenced := t.ageless(now, stored)
			silenced.TimedOut = true
			t.join(now, silenced)
		}
	}
	return t.changesAfter(now, from)
}
