package batch

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/control/snapshot"
)

// Other parts of a store's process may rely on its lead of a partition, as on a lease: the lead is exclusive for a fixed
// time after its newest confirmation, if each new primary waits for that time after its takeover before it acts. This
// file tells them what they need for that.
//
// Why it is enough: a confirmation comes from f replicas that knew no newer term when they answered, which was after the
// request with its stamp was sent. A new primary serves once R-f replicas have promised to follow no older term. The
// primary with its f confirmations, and the R-f promises, are together more than R replicas, so one of them is among
// both. If that is the old primary itself, it has stepped down with its promise. If it is another, it confirmed before
// it promised. So when a new primary begins to serve, the stamps of all confirmations of earlier leads lie in the past.
// While a group of replicas changes, the new primary's promises may come from the next group, so a confirmation needs
// f replicas of both groups.

const (
	// leadStampMs is the resolution of the published confirmations. Older stamps are safe.
	leadStampMs = 20
	// leadConfirmInterval is the least time between two requests for confirmations of a partition's lead.
	leadConfirmInterval = 50 * time.Millisecond
	// stampAheadMs is how far the clock of the core may be ahead of the time, see Store.setClock.
	stampAheadMs = 1
)

// PartitionLead is a store's lead of a partition.
type PartitionLead struct {
	// Partition is the index of the partition.
	Partition int
	// Incarnation identifies the lead. It is greater than those of all earlier leads of the partition, and stays when the
	// group of replicas changes.
	Incarnation uint64
	// ServingSince is when the takeover was completed.
	ServingSince time.Time
	// ConfirmedAt is a time at which certainly no other store led the partition; zero if there was none yet.
	ConfirmedAt time.Time
	// PredecessorSince is when this process saw the primary before this one become the primary, and ServingSince or later
	// if it can't tell whether there were others in between.
	PredecessorSince time.Time
	// First is true if the partition had no lead before.
	First bool
	// EarlierUntil is a time after which certainly no earlier lead was confirmed; at the latest ServingSince.
	EarlierUntil time.Time
	// Inherited is the newest state that the lead before has shared, if it is certain that no newer one was held by enough
	// replicas, and that no lead after it was confirmed (see successor.go); else nil. It must not be modified.
	Inherited []byte
	// SharedSequence is the number of the newest state of this lead (Store.ShareLeadState) that so many replicas hold that
	// each successor finds it or a newer one; 0 if there was none yet.
	SharedSequence uint64
	// StatesIgnored is true while so many replicas are of a version that ignores states that none can be acknowledged.
	StatesIgnored bool
}

// lead is a PartitionLead on the clock of the core. The zero value means that the store does not lead the partition.
type lead struct {
	incarnation      uint64
	servingSince     int64
	confirmedAt      int64
	predecessorSince int64
	earlierUntil     int64
	inherited        *leadState // not modified
	sharedSequence   uint64
	statesIgnored    bool
}

// primaryWitness is what a store has seen of the primaries that the table named for a partition.
type primaryWitness struct {
	primary          uint64 // in the newest table
	primarySince     int64  // when a table first named it
	predecessorSince int64  // when a table first named the one before it, unless there may have been others since
}

// see handles a row of a newer table. Rows with epochs between it and the one before were not seen if the epochs do not
// follow each other.
func (w *primaryWitness) see(row *snapshot.Partition, previousEpoch uint64, nowMs int64) {
	follows := previousEpoch > 0 && row.Epoch == previousEpoch+1
	if follows && row.Primary == w.primary {
		return
	}
	w.predecessorSince = nowMs
	if follows {
		w.predecessorSince = w.primarySince
	}
	w.primary, w.primarySince = row.Primary, nowMs
}

// leadOf returns this store's lead of a partition.
func (c *core) leadOf(p *partition) lead {
	primary := p.primary
	if primary == nil || !primary.serving || primary.superseded {
		return lead{}
	}
	return lead{
		incarnation:      primary.incarnation,
		servingSince:     primary.servingSince,
		confirmedAt:      primary.leadConfirmedAt,
		predecessorSince: primary.predecessorSince,
		earlierUntil:     primary.earlierUntil,
		inherited:        primary.inherited,
		sharedSequence:   primary.sharedSequence,
		statesIgnored:    c.statesIgnored(primary),
	}
}

// confirmLead computes when the lead of a primary was last confirmed.
func (c *core) confirmLead(primary *primaryState) {
	confirmedAt := c.confirmedBy(primary, primary.replicas)
	if primary.nextReplicas != nil {
		confirmedAt = min(confirmedAt, c.confirmedBy(primary, primary.nextReplicas))
	}
	primary.leadConfirmedAt = max(primary.leadConfirmedAt, confirmedAt)
}

// confirmedBy returns the newest time after which f+1 replicas of a group have confirmed a primary; never if they have
// not yet.
func (c *core) confirmedBy(primary *primaryState, group []uint64) int64 {
	var stamps []int64
	for _, id := range group {
		if id == c.self {
			stamps = append(stamps, c.nowMs)
		} else if replica := primary.progress[id]; replica != nil {
			stamps = append(stamps, replica.confirmedAt)
		}
	}
	if len(stamps) < c.maxLostReplicas+1 {
		return never
	}
	slices.SortFunc(stamps, func(a, b int64) int { return cmp.Compare(b, a) })
	return stamps[c.maxLostReplicas]
}

// requestLeadConfirmation requests confirmations of the lead of a partition, if this store has it.
func (c *core) requestLeadConfirmation(index int) {
	if p := c.partition(index); p != nil && p.primary != nil && p.primary.serving {
		c.requestConfirmations(p)
	}
}

// isFirstTerm reports whether no store can have led a partition before a term. The first table gives each partition the
// epoch 1, and its primary there has promised no term before.
func isFirstTerm(term uint64) bool { return term == firstTerm(1)+1 }

// leadBoard makes the leads of a store known to other goroutines.
type leadBoard struct {
	published atomic.Pointer[publishedLeads]

	mu          sync.Mutex
	requestedAt map[int]time.Time // when the lead of each partition was last to be confirmed
}

// publishedLeads is not modified after it was published.
type publishedLeads struct {
	table *snapshot.PartitionTable
	leads []lead // by partition
}

// publishLeads publishes the leads if they have changed. Only run calls it.
func (s *Store) publishLeads() {
	c := s.core
	old := s.leads.published.Load()
	if old != nil && old.table == c.table && len(old.leads) == len(c.partitions) && !c.leadsChanged(old.leads) {
		return
	}
	next := &publishedLeads{table: c.table, leads: make([]lead, len(c.partitions))}
	for i, p := range c.partitions {
		next.leads[i] = c.leadOf(p)
	}
	s.leads.published.Store(next)
}

// leadsChanged reports whether the leads differ from those that were published, apart from slightly newer confirmations.
func (c *core) leadsChanged(published []lead) bool {
	for i, p := range c.partitions {
		current, old := c.leadOf(p), published[i]
		if current.confirmedAt-old.confirmedAt < leadStampMs {
			current.confirmedAt = old.confirmedAt
		}
		if current != old {
			return true
		}
	}
	return false
}

// LeadOf returns the store's lead of the partition of a key; false if it does not lead it. It may be called by any
// goroutine. A lead that has just ended may still be returned; its ConfirmedAt says for how long that does no harm.
func (s *Store) LeadOf(key string) (PartitionLead, bool) {
	published := s.leads.published.Load()
	if published == nil {
		return PartitionLead{}, false
	}
	index := published.table.PartitionOf(key)
	if index < 0 || index >= len(published.leads) || published.leads[index].incarnation == 0 {
		return PartitionLead{}, false
	}
	l := &published.leads[index]
	result := PartitionLead{
		Partition:        index,
		Incarnation:      l.incarnation,
		ServingSince:     s.timeOf(l.servingSince),
		PredecessorSince: s.timeOf(l.predecessorSince),
		First:            isFirstTerm(l.incarnation),
		EarlierUntil:     s.timeOf(l.earlierUntil),
		SharedSequence:   l.sharedSequence,
		StatesIgnored:    l.statesIgnored,
	}
	if l.inherited != nil {
		result.Inherited = l.inherited.state
	}
	if l.confirmedAt != never {
		result.ConfirmedAt = s.timeOf(l.confirmedAt - stampAheadMs)
	}
	return result, true
}

// timeOf converts a time of the core.
func (s *Store) timeOf(ms int64) time.Time { return s.start.Add(time.Duration(ms) * time.Millisecond) }

// ConfirmLead requests confirmations of the store's lead of the partition of a key, without waiting for them. It may be
// called by any goroutine, as often as it likes.
func (s *Store) ConfirmLead(key string) {
	published := s.leads.published.Load()
	if published == nil {
		return
	}
	index := published.table.PartitionOf(key)
	if index < 0 || !s.leads.startRequest(index, time.Now()) {
		return
	}
	s.enqueue(func() { s.core.requestLeadConfirmation(index) })
}

// startRequest reports whether confirmations may be requested now, and notes that they are.
func (b *leadBoard) startRequest(index int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requestedAt == nil {
		b.requestedAt = map[int]time.Time{}
	}
	if now.Sub(b.requestedAt[index]) < leadConfirmInterval {
		return false
	}
	b.requestedAt[index] = now
	return true
}

// ShareLeadState sends a state of a lead to the replicas of its partition, without waiting for them. Sequence numbers
// begin at 1 under each lead and rise by 1; a state replaces all earlier ones of that lead. A state of more than 64 KiB
// is refused, which is logged. It may be called by any goroutine. The state must not be modified afterwards.
func (s *Store) ShareLeadState(partition int, incarnation, sequence uint64, state []byte) {
	s.enqueue(func() { s.core.shareLeadState(partition, incarnation, sequence, state) })
}
