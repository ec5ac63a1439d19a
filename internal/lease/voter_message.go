package lease

import (
	"cmp"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Outbound is what a voter wants told to another. Newer replaces older of its key.
type Outbound struct {
	To, Key string
	Body    []byte
}

// answer is what an asker gets.
type answer struct {
	Leader   string    `cbor:"1,keyasint,omitempty"` // who leads, where this one doesn't
	Log      logID     `cbor:"2,keyasint"`
	Outcomes []outcome `cbor:"3,keyasint,omitempty"`
	No       string    `cbor:"4,keyasint,omitempty"` // the ask had no effect
	Maybe    bool      `cbor:"5,keyasint,omitempty"` // it may have one yet
	Voters   []string  `cbor:"6,keyasint,omitempty"` // who may be asked
}

// What voters tell each other.
const (
	sayRaft = iota + 1
	sayWho  // who are you? With a log: be a voter of it
	sayHere // the answer
	sayOld  // another life of you, no earlier than what you say, was seen by this one
)

type message struct {
	What uint8  `cbor:"1,keyasint"`
	Log  logID  `cbor:"2,keyasint"` // the sender's; none: it has none
	From uint64 `cbor:"3,keyasint,omitempty"`
	To   uint64 `cbor:"4,keyasint,omitempty"`
	Raft []byte `cbor:"5,keyasint,omitempty"`
	// Start is drawn by the sender's process: two of one incarnation are of two folders.
	Start uint64 `cbor:"6,keyasint,omitempty"`
	// Seen is, where the receiver is told that it is old, the last life of it that was seen.
	Seen life `cbor:"7,keyasint,omitempty"`
}

type sighting struct {
	id identity
	at time.Duration
}

type waiting struct {
	reply func(answer)
	until time.Duration
}

type askKey struct {
	node                string
	incarnation, number uint64
}

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

// send hands a message of raft on. Each kind has so many places on its way to a voter, and a
// later one takes the place of an earlier: raft sends again what was lost.
func (v *Voter) send(m *raftpb.Message) {
	name := cmp.Or(v.book.state.Voters[m.GetTo()], v.names[m.GetTo()])
	b, err := proto.Marshal(m)
	if err != nil || name == "" || name == v.o.Name {
		v.node.ReportUnreachable(m.GetTo())
		return
	}
	key := fmt.Sprintf("%v %x", m.GetType(), m.GetTo()) // a name may have two numbers for a while
	if t := m.GetType(); t == raftpb.MsgApp || t == raftpb.MsgAppResp {
		v.keys++
		key = fmt.Sprint(key, " ", v.keys%windowOf)
	}
	v.say(name, key, message{What: sayRaft, From: v.self.Voter, To: m.GetTo(), Raft: b})
	if m.GetType() == raftpb.MsgSnap {
		v.snapshots[m.GetTo()] = v.ticked
	}
}

// reportSnapshots lets raft try again where a snapshot has had its time. One that came is seen by
// its answer.
func (v *Voter) reportSnapshots() {
	for id, sent := range v.snapshots {
		if v.ticked-sent >= snapshotTime {
			delete(v.snapshots, id)
			v.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

func (v *Voter) say(to, key string, m message) {
	m.Log, m.Start = v.self.Log, v.o.Start
	v.put(to, key, m)
}

func (v *Voter) put(to, key string, m message) {
	b, err := encoding.Marshal(m)
	if err != nil {
		v.o.Log.Error("leases: a message", "err", err)
		return
	}
	v.out = append(v.out, Outbound{to, key, b})
}

// Unreachable tells that what was for a voter found no room, or that it is not there.
func (v *Voter) Unreachable(name string) {
	if v.node == nil {
		return
	}
	for id, n := range v.book.state.Voters {
		if n == name && id != v.self.Voter {
			v.node.ReportUnreachable(id)
		}
	}
}
