package registry

import "time"

// Expire marks endpoints without a heartbeat for HeartbeatTimeout as timed out, drops old tombstones, and returns the
// entries that changed. It must be called several times per heartbeat interval: after a longer pause the table restarts
// its listening period, because this keeper itself may have been unresponsive. For the same reason no endpoint expires
// while the table receives no messages at all, neither from endpoints nor from other keepers.
func (t *Table) Expire(now time.Duration) (changed []Entry) {
	if now-t.expiredAt > max(t.options.HeartbeatInterval, time.Second) {
		t.listeningSince = now
	}
	t.expiredAt = now
	t.dropTombstones(now)
	if !t.Listening(now) || now-t.receivedAt > t.heartbeatTimeout {
		return nil
	}
	before := t.lastChange
	for _, stored := range t.byID {
		if !stored.entry.Dead() && now-max(stored.heartbeatAt, t.listeningSince) > t.heartbeatTimeout {
			t.timeOut(now, stored)
		}
	}
	return t.changesAfter(now, before)
}

// timeOut marks a live incarnation as timed out.
func (t *Table) timeOut(now time.Duration, stored *record) {
	entry := stored.currentEntry(now)
	entry.TimedOut = true
	t.join(now, entry)
}

// updateTombstone adds a tombstone if the received entry made the record dead, and removes it if the entry made the
// record live again.
func (t *Table) updateTombstone(now time.Duration, stored *record, wasDead bool, received *Entry) {
	switch dead := stored.entry.Dead(); {
	case dead && !wasDead:
		stored.deadSince = now
		if received.Dead() {
			stored.deadSince = now - received.Age
		}
		t.addTombstone(stored)
		t.releaseAddress(stored.entry.Address, stored.entry.ID)
	case !dead && wasDead:
		t.tombstones.Remove(stored.tombstone)
		stored.tombstone = nil
	}
}

// addTombstone inserts a record into the tombstones, which are ordered by deadSince.
func (t *Table) addTombstone(stored *record) {
	earlier := t.tombstones.Back()
	for earlier != nil && earlier.Value.(*record).deadSince > stored.deadSince {
		earlier = earlier.Prev()
	}
	if earlier == nil {
		stored.tombstone = t.tombstones.PushFront(stored)
	} else {
		stored.tombstone = t.tombstones.InsertAfter(stored, earlier)
	}
}

// dropTombstones drops the records of endpoints that have been dead for Options.TombstoneLifetime, and the oldest ones
// in excess of Options.MaxTombstones.
func (t *Table) dropTombstones(now time.Duration) {
	for t.tombstones.Len() > 0 {
		stored := t.tombstones.Front().Value.(*record)
		expired := now-stored.deadSince >= t.options.TombstoneLifetime
		if t.tombstones.Len() <= t.options.MaxTombstones && !expired {
			return
		}
		if !expired {
			t.MarkIncomplete(now)
		}
		t.tombstones.Remove(stored.tombstone)
		t.changes.Remove(stored.change)
		delete(t.byID, stored.entry.ID)
		t.droppedChange = max(t.droppedChange, stored.changeNumber)
	}
}
