package quota

import "time"

// Lead is a store's lead of a partition.
type Lead struct {
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
}

// Leadership tells a store which partitions it leads. It is safe for concurrent use.
type Leadership interface {
	// LeadOf returns the store's lead of the partition of a key; false if it does not lead it.
	LeadOf(key string) (Lead, bool)
	// Confirm has the lead of a key's partition confirmed anew, without waiting for it.
	Confirm(key string)
}
