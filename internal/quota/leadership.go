package quota

import "time"

// Lead is a store's lead of a partition.
type Lead struct {
	// Partition is the index of the partition.
	Partition int
	// Incarnation identifies the lead. It is greater than those of all earlier leads of the partition.
	Incarnation uint64
	// ServingSince is when the store completed the takeover of the partition.
	ServingSince time.Time
	// ConfirmedAt is a time at which certainly no other store led the partition; zero if there was none yet.
	ConfirmedAt time.Time
	// PredecessorSince is since when this process knows that no store but the predecessor led the partition. The lead
	// before it may have begun at any time before.
	PredecessorSince time.Time
	// First is true if no store led the partition before.
	First bool
	// EarlierUntil is a time after which certainly no earlier lead was confirmed; at the latest ServingSince.
	EarlierUntil time.Time
	// Inherited is the newest state that an earlier lead has shared, as far as it could be collected at the takeover; nil
	// if there is none. It is not modified.
	Inherited []byte
	// SharedSequence is the number of the newest state of this lead that so many replicas hold that each successor finds
	// it or a newer one; 0 if there was none yet.
	SharedSequence uint64
	// StatesIgnored is true while so many replicas are of a version that ignores states that none can be acknowledged.
	StatesIgnored bool
}

// Leadership tells a store which partitions it leads. It is safe for concurrent use.
type Leadership interface {
	// LeadOf returns the store's lead of the partition of a key; false if it does not lead it.
	LeadOf(key string) (Lead, bool)
	// Confirm has the lead of a key's partition confirmed anew, without waiting for it.
	Confirm(key string)
	// Share sends a state of a lead to the replicas of its partition, without waiting for them. Sequence numbers begin at 1
	// under each lead and rise by 1. A state replaces all earlier ones of that lead. It is not modified afterwards.
	Share(partition int, incarnation, sequence uint64, state []byte)
}
