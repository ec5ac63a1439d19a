package controlclient

import "dunetide/internal/platform/link"

// Kinds of messages on links to keepers. The numbers are part of the wire format: they never change, and no number is
// reused. The kinds for batch jobs, from 64 on, are declared by package batch.
//
// Between keepers and the processes attached to them:
const (
	// KindHello is a call by the dialling side with its Node and whether it wants the list of endpoints. The reply has the
	// keeper's Node, whether the keeper has a disk, and whether it is in contact with a majority.
	KindHello link.Kind = 1
	// KindUpdate is a one-way message to an attached process with a numbered change (Update).
	KindUpdate link.Kind = 2
	// KindAck is a one-way message to a keeper with the sequence number of the newest update in force at the sender.
	KindAck link.Kind = 3
	// KindPartitionJoined is a call by a store: the next replicas of a partition have copied it (PartitionJoined).
	KindPartitionJoined link.Kind = 9
	// KindStatus is a call without a body. The reply is the keeper's status as JSON.
	KindStatus link.Kind = 11
	// KindConfirm is a call without a body. The keeper replies once a majority has confirmed, after the call arrived, that
	// the certificates that it has pushed are the newest.
	KindConfirm link.Kind = 13
	// KindStoreStopping is a call by a store that reports whether it is about to stop and must not be a primary
	// (StoreStopping).
	KindStoreStopping link.Kind = 20
	// KindInContact is a call without a body by a process that searches for a keeper. The reply is whether the keeper is
	// in contact with a majority.
	KindInContact link.Kind = 21
	// KindCondition is a call by a process that cannot operate, and a one-way message between keepers (Condition).
	KindCondition link.Kind = 22
)

// Between keepers:
const (
	// KindConsensus is a one-way message with the name of a register, the sender as a voter, and a Paxos message.
	KindConsensus link.Kind = 4
	// KindEndpoints is a call with changed entries of the list of endpoints. The reply is empty.
	KindEndpoints link.Kind = 5
	// KindLiveness is a one-way message with the incarnations of endpoints from which heartbeats arrived, and when.
	KindLiveness link.Kind = 6
	// KindAttached is a one-way message with all processes that are attached to the sender.
	KindAttached link.Kind = 7
	// KindDecided is a one-way message with the name of a register and a decided state of it.
	KindDecided link.Kind = 8
	// KindLease is a call with the name of a singleton role, the process that requests its lease, and the lease duration.
	// The reply is whether the lease is granted.
	KindLease link.Kind = 10
	// KindEndpointsRequest is a one-way message that requests all entries of the list of endpoints, because the sender
	// lacks some.
	KindEndpointsRequest link.Kind = 12
	// KindCertificatesInForce is a call with a version of the certificates. The reply is whether that version is in force at all
	// processes that are attached to the keeper.
	KindCertificatesInForce link.Kind = 14
	// KindKeeperReport is a one-way message with the state of the sender (KeeperReport).
	KindKeeperReport link.Kind = 15
)
