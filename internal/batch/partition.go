package batch

import "dunetide/internal/control/snapshot"

// partition is a store's state of a partition, whether or not the store is a replica of it.
type partition struct {
	index int
	epoch uint64 // in the newest table
	jobs  map[string]*job
	// staged has the jobs of which not all parts have arrived (see jobpart.go), by ID. They count for
	// nothing yet: jobs has what this store knew of them before.
	staged map[string]*job

	// promisedTerm is the newest term that this store has promised to follow. It rejects all older
	// ones.
	promisedTerm uint64
	// rejectedTerm is the newest stale term whose rejection was logged.
	rejectedTerm uint64
	// position is how much of the partition's log this store has.
	position logPosition
	// followedPrimary is the connection to the primary that this store follows, nil if none, and
	// session is the number that the primary gave this connection and term.
	followedPrimary Pipe
	session         uint64
	// primary is the state of the primary, nil if this store is not the primary.
	primary *primaryState
	// quotaOwnerIncarnations has, by account, the newest incarnation of the quota's owner that this
	// store has accepted. Grants of older ones are rejected.
	quotaOwnerIncarnations map[string]uint64
	// witness is what this store has seen of the partition's primaries, and group what it has seen of the replicas.
	witness primaryWitness
	group   groupWitness
	// confirmations is what this process remembers of confirmations of the partition's leads.
	confirmations confirmationMemory
	// heldState is the newest state of a lead that this process has; nil if none.
	heldState *leadState
}

// logPosition is how much of a partition's log a replica has: all operations of a term up to a
// sequence number, and everything committed before that term. It corresponds to the term and index
// of the last entry in Raft, and to a viewstamp in Viewstamped Replication.
type logPosition struct {
	term     uint64
	sequence uint64
}

// after reports whether a replica at position p has more of the log than one at other.
func (p logPosition) after(other logPosition) bool {
	return p.term > other.term || p.term == other.term && p.sequence > other.sequence
}

// A term is the period in which one incarnation of a store leads a partition. It is a fencing
// token: replicas reject messages of a term that is older than the one that they promised to
// follow, or older than the epoch that the table gives the partition. Its upper 48 bits are that
// epoch. The lower 16 bits count the incarnations that led in the epoch, so that a restarted
// primary is distinguished from its predecessor.
const termCounterBits = 16

// firstTerm is older than each term of an epoch, and newer than the terms of all earlier epochs.
func firstTerm(epoch uint64) uint64 { return epoch << termCounterBits }

func epochOfTerm(term uint64) uint64 { return term >> termCounterBits }

// partition returns the state of a partition; nil if the index is out of range.
func (c *core) partition(index int) *partition {
	if index < 0 || index >= maxPartitions {
		return nil
	}
	for index >= len(c.partitions) {
		c.partitions = append(c.partitions, &partition{
			index:                  len(c.partitions),
			jobs:                   map[string]*job{},
			staged:                 map[string]*job{},
			quotaOwnerIncarnations: map[string]uint64{},
		})
	}
	return c.partitions[index]
}

// setTable handles a newer table, which gives each partition's primary, epoch and replicas.
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
		p.witness.see(row, previousEpoch, c.nowMs)
		p.group.see(row, previousEpoch, c.nowMs)
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
