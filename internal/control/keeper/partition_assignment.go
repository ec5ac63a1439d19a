package keeper

import (
	"errors"
	"math/rand/v2"
	"sort"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/singleton"
	"dunetide/internal/control/snapshot"
)

const (
	// assignRole is the singleton role that assigns the partitions of batch jobs to stores. The name is on the wire.
	assignRole = "assign"
	// partitionCount is the number of partitions of a new table.
	partitionCount = 16
	// storeLostAfter is how long a store may be unattached before its partitions are assigned to other stores.
	storeLostAfter = 300 * time.Millisecond
	// attachmentDelay is how long a keeper that has just gained contact collects the attachments of all stores, which the
	// other keepers report, before it proposes tables or decides on retirements.
	attachmentDelay = time.Second
	// assignInterval is the minimum time between two proposals of a table.
	assignInterval = 100 * time.Millisecond
	// minLeadDuration is how long a store leads a partition at least before the lead moves for balance alone. A move
	// interrupts the count of tenants' requests. One that follows another within a window of the quotas (5 s), the wait of
	// a new lead (0.6 s) and the takeovers begins with nothing.
	minLeadDuration = 8 * time.Second
)

// partitionAssigner is the singleton role that assigns the partitions to stores.
type partitionAssigner struct {
	lease      *singleton.Candidate
	hasLease   bool // as of the last step
	proposing  bool
	proposedAt time.Time
	lastSeen   map[uint64]time.Time // when a store was last attached to any keeper
}

func newPartitionAssigner() partitionAssigner {
	return partitionAssigner{lease: singleton.NewCandidate(rand.Float64), lastSeen: map[uint64]time.Time{}}
}

// stepAssigner maintains the lease and, while this keeper holds it, proposes tables that fit the attached stores.
func (k *Keeper) stepAssigner(now time.Time) {
	a := &k.assigner
	stores := k.attachedStores()
	for id := range stores {
		a.lastSeen[id] = now
	}
	a.hasLease = k.maintainLease(now, assignRole, a.lease, a.hasLease)
	if k.mayAssign(now) {
		k.proposeAssignment(now, stores)
	}
}

// mayAssign reports whether this keeper may propose a table now.
func (k *Keeper) mayAssign(now time.Time) bool {
	a := &k.assigner
	return a.hasLease && k.knowsAttachments(now) && !a.proposing && now.Sub(a.proposedAt) >= assignInterval
}

// knowsAttachments reports whether this keeper has been in contact for long enough to know all attached stores.
func (k *Keeper) knowsAttachments(now time.Time) bool {
	return k.contact.ContactDuration(k.sinceStart(now)) >= attachmentDelay
}

// proposeAssignment proposes the table that fits the attached stores, if it differs from the current one. A proposal
// after the loss of the lease is harmless: the table is changed by compare-and-swap.
func (k *Keeper) proposeAssignment(now time.Time, stores map[uint64]snapshot.Store) {
	a := &k.assigner
	alive, isLost := k.storeLiveness(now, stores)
	var assign tableStep = batch.Assignment{
		Alive:      alive,
		Lost:       isLost,
		Partitions: partitionCount,
		MaxLost:    k.options.Settings.SurviveMachines,
		MayBalance: longLed(k.partitionOwners, now),
	}.Next
	if _, changed := assign(k.partitions); !changed {
		return
	}
	a.proposing, a.proposedAt = true, now
	k.changeTable(assign.asChange, func(err error) {
		k.post(func() { a.proposing = false })
		k.log.Info("partition table proposed", "err", err)
		if err != nil && !errors.Is(err, paxos.ErrUnchanged) {
			k.log.Warn("partition table not changed", "err", err)
		}
	})
}

// storeLiveness returns the attached stores, sorted by identity, and a function that reports whether a store of the
// current table has been unattached for longer than storeLostAfter.
func (k *Keeper) storeLiveness(
	now time.Time, stores map[uint64]snapshot.Store,
) (alive []snapshot.Store, isLost func(uint64) bool) {
	lost := map[uint64]bool{}
	if k.partitions != nil {
		for id := range k.partitions.Stores {
			lost[id] = now.Sub(k.assigner.lastSeen[id]) > storeLostAfter
		}
	}
	for _, store := range stores {
		alive = append(alive, store)
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].ID < alive[j].ID })
	return alive, func(id uint64) bool { return lost[id] }
}

// queryStores is storeLiveness for other goroutines; !ok: this keeper is shutting down, or hasn't been in contact for
// long enough to know all attached stores.
func (k *Keeper) queryStores() (alive []snapshot.Store, isLost func(uint64) bool, ok bool) {
	type result struct {
		alive  []snapshot.Store
		isLost func(uint64) bool
	}
	r, ok := query(k, func() result {
		now := time.Now()
		if !k.knowsAttachments(now) {
			return result{}
		}
		alive, isLost := k.storeLiveness(now, k.attachedStores())
		return result{alive, isLost}
	})
	return r.alive, r.isLost, ok && r.isLost != nil
}
