package lease

import (
	"cmp"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Outbound is a message to another node. It replaces an earlier message of the same key that has not been sent yet.
type Outbound struct {
	To, Key string
	Body    []byte
}

// answer is the answer of a voter to a request.
type answer struct {
	Leader   string    `cbor:"1,keyasint,omitempty"` // the leader, if it is another voter
	Log      logID     `cbor:"2,keyasint"`
	Outcomes []outcome `cbor:"3,keyasint,omitempty"`
	No       string    `cbor:"4,keyasint,omitempty"` // why the request had no effect
	Maybe    bool      `cbor:"5,keyasint,omitempty"` // the request may take effect later
	Voters   []string  `cbor:"6,keyasint,omitempty"` // names of the voters
}

// Kinds of message.
const (
	messageRaft     = iota + 1 // a message of raft
	messageQuery               // queries the identity; with a log, it invites the receiver to be a voter of it
	messageIdentity            // the sender's identity
	messageStale               // answers a stale process: the sender has seen another process of the receiver that is not older
)

// message is a message between voters.
type message struct {
	What uint8  `cbor:"1,keyasint"`
	Log  logID  `cbor:"2,keyasint"` // the sender's; zero if it has none
	From uint64 `cbor:"3,keyasint,omitempty"`
	To   uint64 `cbor:"4,keyasint,omitempty"`
	Raft []byte `cbor:"5,keyasint,omitempty"`
	// Start is a random number that identifies the sender's process. Two processes of one incarnation have different folders.
	Start uint64 `cbor:"6,keyasint,omitempty"`
	// Seen is, in messageStale, the last process of the receiver that was seen.
	Seen incarnation `cbor:"7,keyasint,omitempty"`
}

// sighting is the identity of a node and when it was received.
type sighting struct {
	id identity
	at time.Duration
}

// waiting is a caller that waits for an entry to be committed.
type waiting struct {
	reply func(answer)
	until time.Duration
}

// requestKey identifies a request.
type requestKey struct {
	node                string
	incarnation, number uint64
}

// marshalled encodes entries.
func marshalled(entries []*raftpb.Entry) (all [][]byte, err error) {
	for _, e := range entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	return all, nil
}

// send queues a message of raft. A later message may replace an earlier one of its kind that has not been sent yet
// (maxQueued), because raft repeats lost messages.
func (v *Voter) send(m *raftpb.Message) {
	name := cmp.Or(v.machine.state.Voters[m.GetTo()], v.names[m.GetTo()])
	b, err := proto.Marshal(m)
	if err != nil || name == "" || name == v.options.Name {
		v.node.ReportUnreachable(m.GetTo())
		return
	}
	key := fmt.Sprintf("%v %x", m.GetType(), m.GetTo()) // a name may have two raft ids for a while
	if t := m.GetType(); t == raftpb.MsgApp || t == raftpb.MsgAppResp {
		v.keys++
		key = fmt.Sprint(key, " ", v.keys%maxQueued)
	}
	v.enqueueFrom(name, key, message{What: messageRaft, From: v.self.Voter, To: m.GetTo(), Raft: b})
	if m.GetType() == raftpb.MsgSnap {
		v.snapshots[m.GetTo()] = v.ticked
	}
}

// reportSnapshots reports snapshots that were not answered in time to raft as failed, so that it retries.
func (v *Voter) reportSnapshots() {
	for id, sent := range v.snapshots {
		if v.ticked-sent >= snapshotTime {
			delete(v.snapshots, id)
			v.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// enqueueFrom queues a message with this voter's log and process.
func (v *Voter) enqueueFrom(to, key string, m message) {
	m.Log, m.Start = v.self.Log, v.options.Start
	v.enqueue(to, key, m)
}

// enqueue queues a message.
func (v *Voter) enqueue(to, key string, m message) {
	b, err := encoding.Marshal(m)
	if err != nil {
		v.options.Log.Error("leases: encoding a message failed", "err", err)
		return
	}
	v.out = append(v.out, Outbound{to, key, b})
}

// Unreachable reports that a message to a node could not be sent.
func (v *Voter) Unreachable(name string) {
	if v.node == nil {
		return
	}
	for id, n := range v.machine.state.Voters {
		if n == name && id != v.self.Voter {
			v.node.ReportUnreachable(id)
		}
	}
}
