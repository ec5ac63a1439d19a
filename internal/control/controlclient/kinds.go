// Package control has what goes between keepers and the processes attached to them: the messages,
// and the side of those attached.
package controlclient

import "dunetide/internal/platform/link"

// Kinds of messages on links to keepers. Those of batch jobs have their own, from 64 on.
const (
	KindHello            link.Kind = 1  // call: who dials (Node); the reply says who was dialled (Node), whether it has a disk, and whether it is in contact
	KindUpdate           link.Kind = 2  // one way, keeper to attached: a numbered change (Update)
	KindAck              link.Kind = 3  // one way, attached to keeper: the number of the newest change that is in force there
	KindConsensus        link.Kind = 4  // one way, between keepers: a register's name, the sender as a voter, a message of agreement
	KindEndpoints        link.Kind = 5  // call, between keepers: entries of the list of endpoints that changed; empty reply
	KindLiveness         link.Kind = 6  // one way, between keepers: which incarnations were heard of, and how long ago
	KindAttached         link.Kind = 7  // one way, between keepers: the processes attached to the sender, all of them
	KindDecided          link.Kind = 8  // one way, between keepers: a register's name and a decided state
	KindPartitionJoined  link.Kind = 9  // call, store to keeper: the next group of a part has all of it (part, epoch)
	KindLease            link.Kind = 10 // call, between keepers: a duty's name, the holder, the length; the reply says whether it is granted
	KindEndpointsRequest link.Kind = 12 // one way, between keepers: send all entries, as some are not known
	KindStatus           link.Kind = 11 // call: the status as JSON
	KindConfirm          link.Kind = 13 // call, attached to keeper: answered once a majority has said, after it came, that the certificates pushed are the newest
	KindKeeperReport     link.Kind = 15 // one way, between keepers: the state of the sender (KeeperReport)
	KindStoreStopping    link.Kind = 20 // call, store to keeper: whether the store (its identity) is about to stop and is to lead nothing
	// InContact is a call, to a keeper by a process that looks for one: the reply says whether the keeper is in contact with a majority.
	KindInContact link.Kind = 21
	// ProcessTrouble is a call, to a keeper by a process that can't do its work; between keepers it is one way (Trouble).
	KindCondition link.Kind = 22
	KindInForce   link.Kind = 14 // call, between keepers: a version of the certificates; the reply says whether all attached have it in force
)
