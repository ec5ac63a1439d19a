package batch

import "dunetide/internal/control/snapshot"

// partition is what a store has of a partition, whether it is a replica of it or not.
type partition struct {
	index int
	epoch uint64 // in the newest table
	jobs  map[string]*job

	// promisedTerm is the newest term that this store has promised to follow. It refuses all older ones.
	promisedTerm uint64
	// rejectedTerm is the newest stale term whose refusal was logged.
	rejectedTerm uint64
	// position is how much of the partition's log this store has.
	position logPosition
	// followedPrimary is the connection to the primary that this store follows, nil if none, and
	// session the primary's number for it.
	followedPrimary Pipe
	session         uint64
	// primary is the state of the primary, nil if this store is not the primary.
	primary *primaryState
	// quotaOwnerIncarnations has, by route, the newest owner of the quota whose word counted here.
	// Grants of older ones are refused.
	quotaOwnerIncarnations map[string]uint64
}

// logPosition is how much of a partition's log a replica has: all that was ordered in a term up to
// a sequence number, and all that had been committed before that term. Raft calls the same the term
// and index of the last entry, Viewstamped Replication a viewstamp.
type logPosition struct {
	term     uint64
	sequence uint64
}

// after reports whether a replica at this position has more than one at the other.
func (p logPosition) after(other logPosition) bool {
	return p.term > other.term || p.term == other.term && p.sequence > other.sequence
}

// A term is the time in which one incarnation of a store leads a partition. It is a fencing token:
// replicas refuse messages of a term that is older than the one that they promised to follow, or
// older than the epoch that the table gives the partition. Its upper 48 bits are that epoch. The
// lower 16 bits count the incarnations that led in the epoch, so a primary that has started again
// is told from the one before.
const termCounterBits = 16

// firstTerm is older than each term of an epoch, and newer than those of all epochs before.
func firstTerm(epoch uint64) uint64 { return epoch << termCounterBits }

func epochOfTerm(term uint64) uint64 { return term >> termCounterBits }

// partition is the state of a partition; nil if the index can't be one.
func (c *core) partition(index int) *partition {
	if index < 0 || index >= maxPartitions {
		return nil
	}
	for index >= len(c.partitions) {
		c.partitions = append(c.partitions, &partition{
			index:                  len(c.partitions),
			jobs:                   map[string]*job{},
			quotaOwnerIncarnations: map[string]uint64{},
		})
	}
	return c.partitions[index]
}

// setTable is the event of a newer table: it says who leads each partition, under which epoch and
// with which replicas.
func (c *core) setTable(t *snapshot.PartitionTable) {
	if t == nil || c.table != nil && t.Version <= c.table.Version {
		return
	}
	checkEpochs(c.table, t)
	c.table = t
	c.announceDraining()
	for index := range t.Partitions {
		row, p := &t.Partitions[index], c.partition(index)
		if row.Epoch <= p.epoch {
			continue
		}
		previousEpoch := p.epoch
		p.epoch = row.Epoch
		if row.Primary != c.self {
			c.stepDown(p)
			continue
		}
		continues := p.primary != nil && p.primary.serving && previousEpoch+1 == row.Epoch
		c.becomePrimary(p, row, continues)
		if continues {
			c.adoptAllRunning(p)
		}
	}
}
