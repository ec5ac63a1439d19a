package registry

import (
	"container/list"
	"slices"
	"time"

	"dunetide/internal/control/snapshot"
)

// Options configures a Table. A zero field takes its default.
type Options struct {
	HeartbeatInterval time.Duration // between heartbeats of an endpoint; default 1.2 s
	TombstoneLifetime time.Duration // how long the tombstone of a dead endpoint is kept; default 60 s
	MaxTombstones     int           // maximum number of tombstones, the oldest are dropped first; default 16,384
	MaxEndpoints      int           // maximum number of live endpoints, further ones are rejected; default 8,192
}

// Defaults of Options.
const (
	defaultHeartbeatInterval = 1200 * time.Millisecond
	defaultTombstoneLifetime = time.Minute
	defaultMaxEndpoints      = 8192
	// defaultMaxTombstones holds the removals of all endpoints and of all their successors.
	defaultMaxTombstones = 2 * defaultMaxEndpoints
)

// minHeartbeatTimeout is the lower limit of the time without a heartbeat after which an endpoint counts as dead.
const minHeartbeatTimeout = 3 * time.Second

// warmupSlack is the tolerated difference between the reported remaining warm-up and the value expected from the last
// report. Up to it, a heartbeat does not count as a change.
const warmupSlack = 500 * time.Millisecond

// Stats counts the messages that a Table did not accept.
type Stats struct {
	Stale        uint64 // heartbeats whose call count is not higher than the known one
	AfterRemoval uint64 // heartbeats of incarnations that were removed
	Rejected     uint64 // entries that exceed a bound
}

// record is an entry with its times and its positions in the lists of the table.
type record struct {
	entry             Entry
	heartbeatAt       time.Duration // the last heartbeat received by any keeper
	localHeartbeatAt  time.Duration // the last heartbeat received by this keeper, if hasLocalHeartbeat
	hasLocalHeartbeat bool
	warmupAt          time.Duration // the time at which entry.RemainingWarmupMs was current
	deadSince         time.Duration // if entry.Dead()
	changeNumber      uint64        // of its newest change
	change            *list.Element // its element in Table.changes
	tombstone         *list.Element // its element in Table.tombstones, nil while it is live
}

// remainingWarmupMs returns the remaining milliseconds of the warm-up at now.
func (r *record) remainingWarmupMs(now time.Duration) int {
	return max(0, r.entry.RemainingWarmupMs-int((now-r.warmupAt).Milliseconds()))
}

// exportEntry returns a copy of the entry with its remaining warm-up and its age at now.
func (r *record) exportEntry(now time.Duration) Entry {
	entry := r.entry
	entry.RemainingWarmupMs = r.remainingWarmupMs(now)
	entry.Models = slices.Clone(entry.Models)
	entry.Age = now - r.heartbeatAt
	if entry.Dead() {
		entry.Age = now - r.deadSince
	}
	entry.Age = max(entry.Age, 0)
	return entry
}

// currentEntry returns the entry with its remaining warm-up at now and age 0, for the caller to modify and join.
func (r *record) currentEntry(now time.Duration) Entry {
	entry := r.entry
	entry.RemainingWarmupMs, entry.Age = r.remainingWarmupMs(now), 0
	return entry
}

// Table is the table of endpoints. It is not safe for concurrent use.
type Table struct {
	options          Options
	heartbeatTimeout time.Duration
	listeningSince   time.Duration // start of the current period of regular Expire calls
	expiredAt        time.Duration // time of the last Expire
	receivedAt       time.Duration // time of the last message from an endpoint or another keeper
	byID             map[string]*record
	byAddress        map[string]string // address to the ID of the incarnation that has it
	changes          *list.List        // of *record, ordered by change number
	tombstones       *list.List        // of *record, ordered by deadSince
	lastChange       uint64            // number of the newest change
	droppedChange    uint64            // the highest change number among dropped tombstones
	completeAt       time.Duration     // from then on the table remembers all recent ends, see MarkIncomplete
	stats            Stats
}

// New returns an empty table that starts to listen at now.
func New(now time.Duration, options Options) *Table {
	options.setDefaults()
	return &Table{
		options:          options,
		heartbeatTimeout: max(options.HeartbeatInterval*7/2, minHeartbeatTimeout),
		listeningSince:   now,
		expiredAt:        now,
		receivedAt:       now,
		byID:             map[string]*record{},
		byAddress:        map[string]string{},
		changes:          list.New(),
		tombstones:       list.New(),
	}
}

func (o *Options) setDefaults() {
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.TombstoneLifetime <= 0 {
		o.TombstoneLifetime = defaultTombstoneLifetime
	}
	if o.MaxTombstones <= 0 {
		o.MaxTombstones = defaultMaxTombstones
	}
	if o.MaxEndpoints <= 0 {
		o.MaxEndpoints = defaultMaxEndpoints
	}
}

// HeartbeatTimeout returns the time without a heartbeat after which an incarnation counts as dead: 3.5 heartbeat
// intervals, at least 3 s.
func (t *Table) HeartbeatTimeout() time.Duration { return t.heartbeatTimeout }

// Listening reports whether the table has listened without interruption for two heartbeat intervals: one for a
// heartbeat and one for an endpoint to find this keeper. Until then, live endpoints may be missing from the table.
func (t *Table) Listening(now time.Duration) bool {
	return now-t.listeningSince >= 2*t.options.HeartbeatInterval
}

// MarkIncomplete records that incarnations may have ended before now without the knowledge of this table: its keeper has
// restarted, or had no contact with the others. For TombstoneLifetime, the table can't distinguish a new incarnation from
// one that ended, whose heartbeat is late. During that time a new incarnation only times out the one at its address, and
// the next heartbeat of that one reverts it.
func (t *Table) MarkIncomplete(now time.Duration) {
	t.completeAt = max(t.completeAt, now+t.options.TombstoneLifetime)
}

// Stats returns the counts since New.
func (t *Table) Stats() Stats { return t.stats }

// Live returns the number of endpoints that are not dead.
func (t *Table) Live() int { return len(t.byID) - t.tombstones.Len() }

// Heartbeat applies a heartbeat and reports whether the other keepers and subscribers must be notified of a change. A
// heartbeat that is out of bounds, stale, or of a removed incarnation has no effect and is counted in Stats.
func (t *Table) Heartbeat(now time.Duration, endpoint snapshot.Endpoint) (changed bool) {
	if Validate(&endpoint) != nil {
		t.stats.Rejected++
		return false
	}
	if endpoint.State == snapshot.Removed {
		return t.Remove(now, endpoint.ID)
	}
	t.receivedAt = now
	known := t.byID[endpoint.ID]
	if !t.acceptsHeartbeat(known, endpoint.CallCount) {
		return false
	}
	changed = t.join(now, Entry{Endpoint: endpoint, HeartbeatCount: endpoint.CallCount})
	stored := t.byID[endpoint.ID]
	stored.localHeartbeatAt, stored.hasLocalHeartbeat = now, true
	if id := t.byAddress[endpoint.Address]; id != endpoint.ID {
		if predecessor := t.byID[id]; predecessor != nil && known == nil && now >= t.completeAt {
			// A new incarnation replaces the one at its address.
			removed := predecessor.currentEntry(now)
			removed.State = snapshot.Removed
			t.join(now, removed)
		}
		t.claimAddress(now, stored)
	}
	return changed
}

// acceptsHeartbeat reports whether a heartbeat with a call count is to be applied to a record, which is nil for a new
// incarnation. A rejected heartbeat is counted.
func (t *Table) acceptsHeartbeat(known *record, callCount uint64) bool {
	switch {
	case known == nil:
		if t.Live() >= t.options.MaxEndpoints {
			t.stats.Rejected++
			return false
		}
	case known.entry.State == snapshot.Removed:
		t.stats.AfterRemoval++
		return false
	case callCount <= known.entry.CallCount || callCount <= known.entry.HeartbeatCount:
		t.stats.Stale++
		return false
	}
	return true
}

// Remove marks an incarnation as permanently removed, as reported by itself or by its successor at its address, and
// reports whether that is a change.
func (t *Table) Remove(now time.Duration, id string) (changed bool) {
	removed := Entry{Endpoint: snapshot.Endpoint{ID: id, State: snapshot.Removed}}
	if Validate(&removed.Endpoint) != nil {
		t.stats.Rejected++
		return false
	}
	t.receivedAt = now
	return t.join(now, removed)
}

// Merge joins entries of another keeper into the table and returns those that changed here. Entries that are out of
// bounds, and new ones over Options.MaxEndpoints, are counted as rejected.
func (t *Table) Merge(now time.Duration, entries []Entry) (changed []Entry) {
	before := t.lastChange
	t.receivedAt = now
	for _, entry := range entries {
		if Validate(&entry.Endpoint) != nil {
			t.stats.Rejected++
			continue
		}
		if t.byID[entry.ID] == nil {
			if t.exceedsRetention(&entry) {
				continue // its tombstone was dropped here, or would be dropped immediately
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
	return t.changesAfter(now, before)
}

// exceedsRetention reports whether a received entry is older than the time for which the table keeps such entries.
func (t *Table) exceedsRetention(entry *Entry) bool {
	if entry.Dead() {
		return entry.Age >= t.options.TombstoneLifetime
	}
	return entry.Age >= t.heartbeatTimeout
}

// join merges an entry into its record and reports whether that is a change. It is the only function that modifies
// entries.
func (t *Table) join(now time.Duration, received Entry) (changed bool) {
	stored := t.byID[received.ID]
	added := stored == nil
	if added {
		stored = &record{entry: received, heartbeatAt: now - received.Age, warmupAt: now}
		t.byID[received.ID] = stored
	}
	old := stored.entry
	wasDead := !added && old.Dead()
	old.RemainingWarmupMs = stored.remainingWarmupMs(now)

	stored.entry = Join(old, received)
	stored.warmupAt = now
	if !received.Dead() {
		stored.heartbeatAt = max(stored.heartbeatAt, now-received.Age)
	}
	if old.Address != stored.entry.Address {
		t.releaseAddress(old.Address, received.ID)
	}
	t.updateTombstone(now, stored, wasDead, &received)
	changed = added || isChange(&old, &stored.entry)
	if changed {
		t.logChange(stored)
	}
	t.dropTombstones(now)
	return changed
}

// isChange reports whether subscribers must be notified of the difference between two entries of one incarnation.
func isChange(old, updated *Entry) bool {
	before, after := old.EffectiveEndpoint(), updated.EffectiveEndpoint()
	drift := time.Duration(before.RemainingWarmupMs-after.RemainingWarmupMs) * time.Millisecond
	return before.State != after.State ||
		old.State != updated.State ||
		drift.Abs() > warmupSlack ||
		compareDescription(&before, &after) != 0
}

// logChange assigns the next change number to a record.
func (t *Table) logChange(stored *record) {
	t.lastChange++
	stored.changeNumber = t.lastChange
	if stored.change != nil {
		t.changes.MoveToBack(stored.change)
	} else {
		stored.change = t.changes.PushBack(stored)
	}
}

// claimAddress assigns the address of a record to one incarnation. If two live incarnations claim it, the one with the
// later heartbeat gets it and the other is marked as timed out, which its next heartbeat reverts.
func (t *Table) claimAddress(now time.Duration, stored *record) {
	if stored.entry.Address == "" {
		return
	}
	id, claimed := t.byAddress[stored.entry.Address]
	if other := t.byID[id]; claimed && other != nil && other != stored && !other.entry.Dead() {
		loser := other
		if other.heartbeatAt > stored.heartbeatAt || other.heartbeatAt == stored.heartbeatAt && other.entry.ID > stored.entry.ID {
			loser = stored
		}
		t.timeOut(now, loser)
		if loser == stored {
			return
		}
	}
	t.byAddress[stored.entry.Address] = stored.entry.ID
}

// releaseAddress frees an address if it is assigned to an incarnation.
func (t *Table) releaseAddress(address, id string) {
	if t.byAddress[address] == id {
		delete(t.byAddress, address)
	}
}
