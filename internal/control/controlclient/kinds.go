package controlclient

import "dunetide/internal/platform/link"

// Kinds of messages on links to keepers. The numbers are on the wire: they never change, and none is used again. Those
// of batch jobs, from 64 on, are declared by package batch.
//
// Between keepers and the processes attached to them:
const (
	// KindHello is a call by the side that dials: its Node, and whether it wants the list of endpoints. The reply: the
	// keeper's Node, whether it has a disk, and whether it is in contact with a majority.
	KindHello link.Kind = 1
	// KindUpdate is a one-way message to an attached process: a numbered change (Update).
	KindUpdate link.Kind = 2
	// KindAck is a one-way message to a keeper: the sequence number of the newest update that is in force at the sender.
	KindAck link.Kind = 3
	// KindPartitionJoined is a call by a store: the next replicas of a partition have all of it (PartitionJoined).
	KindPartitionJoined link.Kind = 9
	// KindStatus is a call without a body. The reply: the keeper's status as JSON.
	KindStatus link.Kind = 11
	// KindConfirm is a call without a body. It is answered once a majority has said, after the call arrived, that the
	// certificates that were pushed are the newest.
	KindConfirm link.Kind = 13
	// KindStoreStopping is a call by a store: whether it is about to stop and must not be a primary (StoreStopping).
	KindStoreStopping link.Kind = 20
	// KindInContact is a call without a body by a process that looks for a keeper. The reply: whether the keeper is in
	// contact with a majority.
	KindInContact link.Kind = 21
	// KindCondition is a call by a process that can't do its work, and a one-way message between keepers (Condition).
	KindCondition link.Kind = 22
)

// Between keepers:
const (
	// KindConsensus is a one-way message: the name of a register, the sender as a voter, and a message of Paxos.
	KindConsensus link.Kind = 4
	// KindEndpoints is a call: entries of the list of endpoints that have changed. The reply is empty.
	KindEndpoints link.Kind = 5
	// KindLiveness is a one-way message: the incarnations of endpoints from which heartbeats arrived, and when.
	KindLiveness link.Kind = 6
	// KindAttached is a one-way message: all processes that are attached to the sender.
	KindAttached link.Kind = 7
	// KindDecided is a one-way message: the name of a register and a state of it that was decided.
	KindDecided link.Kind = 8
	// KindLease is a call: the name of a singleton role, the process that wants the lease, and its duration. The reply:
	// whether it is granted.
	KindLease link.Kind = 10
	// KindEndpointsRequest is a one-way message: send all entries of the list of endpoints, as some are missing here.
	KindEndpointsRequest link.Kind = 12
	// KindInForce is a call: a version of the certificates. The reply: whether it is in force at all processes that are
	// attached to the keeper.
	KindInForce link.Kind = 14
	// KindKeeperReport is a one-way message: the state of the sender (KeeperReport).
	KindKeeperReport link.Kind = 15
)
