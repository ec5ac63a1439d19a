package keeper

import (
	"errors"
	"time"

	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
)

const (
	// endStoreTimeout bounds the wait for a write of ends. It is the time for which an acknowledgement of an end waits
	// for a majority, so nobody waits longer.
	endStoreTimeout = defaultPushWait + majorityWait
	// endReconcileInterval is the interval at which the ends on disk are compared with those in the endpoint list.
	endReconcileInterval = time.Second
)

// errEndsNotStored refuses to confirm ends that aren't known to be on this keeper's disk.
var errEndsNotStored = errors.New("the disk of this keeper has not stored in time that the endpoint ends")

// endpointEnds stores the ends of the endpoint list, that is, its draining and removed endpoints, in keeper.log, whether
// an endpoint or another keeper reported them. An end counts as confirmed by this keeper only once it is on its disk:
// after a restart of all keepers, a late heartbeat would otherwise list the endpoint as ready again.
//
// At most one write is in flight. Ends that arrive meanwhile go into the next one, so that many of them share a sync.
// It belongs to the owner goroutine.
type endpointEnds struct {
	keeper       *Keeper
	stored       map[string]snapshot.State // by ID: the ends on disk
	queued       map[string]registry.Entry // by ID: for the next write; bounded by the size of the list
	waiting      []*endWaiter              // for the next write
	inFlight     []*endWaiter              // for the current write
	writing      bool
	reconciledAt time.Time
	// completeRevision is the revision of the endpoint list at which all ends were last seen to be on disk.
	completeRevision uint64
}

// endWaiter is a caller that waits until ends are on disk.
type endWaiter struct {
	deadline time.Time
	done     func(error) // nil once called
}

// finish calls back, once.
func (w *endWaiter) finish(err error) {
	if done := w.done; done != nil {
		w.done = nil
		done(err)
	}
}

// newEndpointEnds returns the ends with those that were read from the disk, which it adds to the endpoint list. Their
// retention begins anew.
func newEndpointEnds(k *Keeper, replayed map[string]registry.Entry) *endpointEnds {
	ends := &endpointEnds{keeper: k, stored: map[string]snapshot.State{}, queued: map[string]registry.Entry{}}
	entries := make([]registry.Entry, 0, len(replayed))
	for id, entry := range replayed {
		entry.Age = 0
		entries = append(entries, entry)
		ends.stored[id] = entry.State
	}
	k.endpoints.Merge(0, entries)
	return ends
}

// store writes those of the entries that are ends, unless they are on disk already. done runs on the owner goroutine,
// with nil once all of them are on disk.
func (ends *endpointEnds) store(now time.Time, entries []registry.Entry, done func(error)) {
	if !ends.hasDisk() {
		done(errNoDisk)
		return
	}
	missing := false
	for i := range entries {
		if entry := &entries[i]; ends.stored[entry.ID] < entry.State {
			joinEntry(ends.queued, *entry)
			missing = true
		}
	}
	if !missing {
		done(nil)
		return
	}
	ends.waiting = append(ends.waiting, &endWaiter{deadline: now.Add(endStoreTimeout), done: done})
	ends.writeQueued()
}

func (ends *endpointEnds) hasDisk() bool { return ends.keeper.registers.id != 0 }

// joinEntry joins an entry into those of a map, by ID.
func joinEntry(entries map[string]registry.Entry, entry registry.Entry) {
	if known, found := entries[entry.ID]; found {
		entry = registry.Join(known, entry)
	}
	entries[entry.ID] = entry
}

// writeQueued starts a write of the queued ends, unless one is in flight.
func (ends *endpointEnds) writeQueued() {
	if ends.writing || len(ends.queued) == 0 {
		return
	}
	batch := make([]registry.Entry, 0, len(ends.queued))
	for _, entry := range ends.queued {
		batch = append(batch, entry)
	}
	clear(ends.queued)
	ends.inFlight, ends.waiting = ends.waiting, nil
	ends.writing = true
	rs := ends.keeper.registers
	queued := rs.trySubmit(func() {
		err := rs.storeEnds(batch)
		ends.keeper.post(func() { ends.written(batch, err) })
	})
	if !queued {
		ends.written(batch, errBusy)
	}
}

// written ends a write. Ends that aren't on disk are written again when they are reported again, and by reconcile.
func (ends *endpointEnds) written(batch []registry.Entry, err error) {
	ends.writing = false
	if err == nil {
		for i := range batch {
			ends.stored[batch[i].ID] = max(ends.stored[batch[i].ID], batch[i].State)
		}
	}
	waiters := ends.inFlight
	ends.inFlight = nil
	for _, w := range waiters {
		w.finish(err)
	}
	ends.writeQueued()
}

// tick ends the waits that have timed out, and compares the ends on disk with the endpoint list.
func (ends *endpointEnds) tick(now time.Time) {
	for _, waiters := range [][]*endWaiter{ends.waiting, ends.inFlight} {
		for _, w := range waiters {
			if !now.Before(w.deadline) {
				w.finish(errEndsNotStored)
			}
		}
	}
	ends.waiting = withoutFinished(ends.waiting)
	if ends.hasDisk() && now.Sub(ends.reconciledAt) >= endReconcileInterval {
		ends.reconciledAt = now
		ends.reconcile(now)
	}
}

func withoutFinished(waiters []*endWaiter) (pending []*endWaiter) {
	for _, w := range waiters {
		if w.done != nil {
			pending = append(pending, w)
		}
	}
	return pending
}

// reconcile writes the ends of the list that aren't on disk, as a write may have failed, and drops those from the disk
// that the list no longer has.
func (ends *endpointEnds) reconcile(now time.Time) {
	k := ends.keeper
	listed := map[string]bool{}
	k.endpoints.EachEnd(func(id string, state snapshot.State) {
		listed[id] = true
		if ends.stored[id] >= state {
			return
		}
		if entry, found := k.endpoints.Get(k.sinceStart(now), id); found {
			joinEntry(ends.queued, entry)
		}
	})
	ends.writeQueued()
	var dropped []string
	for id := range ends.stored {
		if !listed[id] {
			dropped = append(dropped, id)
		}
	}
	if len(dropped) == 0 || !k.registers.trySubmit(func() { k.registers.dropEnds(dropped) }) {
		return
	}
	for _, id := range dropped {
		delete(ends.stored, id)
	}
}

// complete reports whether all ends of the endpoint list are on disk.
func (ends *endpointEnds) complete() bool {
	revision := ends.keeper.endpoints.LastChange()
	if revision == ends.completeRevision {
		return true
	}
	complete := true
	ends.keeper.endpoints.EachEnd(func(id string, state snapshot.State) {
		complete = complete && ends.stored[id] >= state
	})
	if complete {
		ends.completeRevision = revision
	}
	return complete
}

// endsSynchronized reports whether this keeper may become a voter: it has received the endpoint lists of a majority of
// the voters over the links that it has, and all ends are on its disk. A voter that lacked an acknowledged end could
// form a majority with others that lack it. Voters have met this when they became voters.
func (k *Keeper) endsSynchronized() bool {
	state, known := k.registers.state(configRegister)
	if !known || state.HasVoter(k.registers.id) {
		return true
	}
	acks := newVoterAcks(state.Voters)
	for conn, l := range k.peerLinks {
		if k.fullLists[conn] {
			acks.confirm(l.peer.node.ID)
		}
	}
	return acks.enough() && k.ends.complete()
}
