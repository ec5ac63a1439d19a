package lease

import (
	"errors"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunetide/internal/deliverynode/fleet"
)

// Receive handles a message of another node that is a voter or may become one.
func (v *Voter) Receive(now time.Duration, from fleet.Peer, body []byte) {
	var m message
	if err := decoding.Unmarshal(body, &m); err != nil {
		v.stats.Strangers++
		return
	}
	if v.node != nil && m.Log.ID == v.self.Log.ID && m.Log.Epoch > v.self.Log.Epoch && m.What != messageStale {
		v.leave("a later epoch of the log has begun: "+m.Log.String(), now)
	}
	if v.node != nil && m.Log.ID == v.self.Log.ID && m.Log.Epoch < v.self.Log.Epoch && m.What == messageRaft {
		v.enqueueFrom(from.Name, "here", message{What: messageIdentity, From: v.self.Voter}) // makes the sender leave the old epoch
		return
	}
	same := v.node != nil && m.Log == v.self.Log
	switch m.What {
	case messageQuery:
		begins := m.Log == logID{}
		if v.node != nil && !begins && !same && m.Log.ID != v.self.Log.ID && v.hasNoEntries() {
			v.leave("this voter has no entries of its log and is invited to another log", now)
		}
		if v.node == nil && !begins {
			v.join(m.Log, now)
		}
		if begins && v.hasNoEntries() {
			v.enqueue(from.Name, "here", message{What: messageIdentity, Start: v.options.Start})
			return
		}
		v.enqueueFrom(from.Name, "here", message{What: messageIdentity, From: v.self.Voter})
	case messageIdentity:
		v.here[from.Name] = sighting{identity{m.Log, m.From}, now}
	case messageStale:
		// A delayed message of an earlier process of this node is answered by messageStale too. Then the later process that the
		// sender has seen is this one, or one before it, and this voter stays.
		if same && m.To == v.self.Voter && m.Seen.Incarnation >= v.options.Incarnation() && m.Seen.Start != v.options.Start {
			v.leave("another voter has seen a later incarnation of this node", now)
		}
	case messageRaft:
		if !same || m.To != v.self.Voter || v.unsaved != nil {
			return
		}
		// A process may send under an earlier incarnation than before, if its link was established then.
		if last := v.seen[m.From]; m.Start != last.Start && from.Incarnation <= last.Incarnation {
			v.enqueueFrom(from.Name, "old", message{What: messageStale, To: m.From, Seen: last})
			return
		}
		v.stepRaft(from, m)
	default:
		v.stats.Strangers++
	}
}

// stepRaft passes a message to raft, after recording a new incarnation of its sender.
func (v *Voter) stepRaft(from fleet.Peer, m message) {
	in := &raftpb.Message{}
	if err := proto.Unmarshal(m.Raft, in); err != nil || in.GetFrom() != m.From || in.GetTo() != m.To || raft.IsLocalMsg(in.GetType()) {
		v.stats.Strangers++
		return
	}
	if now := (incarnation{from.Incarnation, m.Start}); now.Incarnation > v.seen[m.From].Incarnation {
		if len(v.seen) >= fleet.MaxMembers { // mostly voters that were replaced
			clear(v.seen)
		}
		v.seen[m.From] = now
		if err := v.disk.append(record{Seen: map[uint64]incarnation{m.From: now}}); err != nil {
			v.options.Log.Error("leases: writing the log failed, voter suspended until a write succeeds", "err", err)
			v.unsaved, v.why = &raft.Ready{}, err.Error()
			return
		}
	}
	v.names[m.From] = from.Name
	if err := v.node.Step(in); err != nil {
		v.options.Log.Debug("leases: raft rejected a message", "from", from.Name, "err", err)
	}
}

// hasNoEntries reports whether this node has no entries of a log. A node that was invited to a log that has been lost since
// must not prevent a new one.
func (v *Voter) hasNoEntries() bool {
	if v.node == nil {
		return true
	}
	last, err := v.store.LastIndex()
	return err == nil && last == 0
}

// queryIdentities queries the identities of other nodes. The leader queries the nodes that should be voters. Before there is
// a log, the first configured voter queries the others, and begins a log if none of them has one.
func (v *Voter) queryIdentities(now time.Duration) {
	begins := v.hasNoEntries() && len(v.options.Voters) > 0 && v.options.Voters[0] == v.options.Name
	if !begins && !v.leads() || now-v.queried < queryEvery {
		return
	}
	v.queried = now
	ask := v.options.Voters
	if !begins {
		ask = v.machine.state.Wanted
	}
	none := true // all have answered recently, and none has a log
	for _, name := range ask {
		if name == v.options.Name {
			continue
		}
		s, there := v.here[name]
		none = none && there && now-s.at < seenFor && s.id.Log == (logID{})
		who := message{What: messageQuery, Start: v.options.Start}
		if !begins {
			who.Log = v.self.Log
		}
		v.enqueue(name, "who", who)
	}
	if begins && none && v.notAside == nil {
		id := identity{logID{v.options.Random() | 1, 1}, v.options.Random() | 1}
		if err := v.create(id, newStateMachine(v.options.Above(), v.options.Longest, v.options.Most, v.options.Voters), now); err != nil {
			v.options.Log.Error("leases: creating a log failed", "err", err)
			v.reset()
			return
		}
		v.options.Log.Info("leases: log created", "log", id.Log, "voters", v.options.Voters)
	}
}

// changeVoters changes the voters, one at a time, to those that should be voters: a missing one is first added as a learner,
// then replaces the raft id that its node had before, and then the others are removed.
func (v *Voter) changeVoters(now time.Duration) {
	if now-v.changed < changeEvery {
		return
	}
	c := v.nextChange(now)
	if c == nil {
		return
	}
	v.changed = now
	if c.GetType() == raftpb.ConfChangeRemoveNode && c.GetNodeId() == v.self.Voter {
		for _, id := range v.conf.GetVoters() {
			if id != v.self.Voter && slices.Contains(v.machine.state.Wanted, v.machine.state.Voters[id]) {
				v.node.TransferLeader(id) // the next leader removes this voter
				return
			}
		}
		return
	}
	if err := v.node.ProposeConfChange(c); err != nil {
		v.options.Log.Debug("leases: raft rejected a change of the voters", "err", err)
	}
}

// nextChange returns the next change of the voters, or nil if there is none now.
func (v *Voter) nextChange(now time.Duration) *raftpb.ConfChange {
	change := func(t raftpb.ConfChangeType, id uint64, name string) *raftpb.ConfChange {
		return &raftpb.ConfChange{Type: &t, NodeId: &id, Context: []byte(name)}
	}
	idsOf := func(name string, among []uint64) (all []uint64) {
		for _, id := range among {
			if v.machine.state.Voters[id] == name {
				all = append(all, id)
			}
		}
		return all
	}
	complete := true // all wanted nodes are voters
	for _, name := range slices.Sorted(slices.Values(v.machine.state.Wanted)) {
		s, there := v.here[name]
		id := s.id.Voter
		if name == v.options.Name {
			id = v.self.Voter
		} else if !there || now-s.at >= seenFor || s.id.Log != v.self.Log {
			complete = complete && len(idsOf(name, v.conf.GetVoters())) > 0
			continue
		}
		voting, learning := idsOf(name, v.conf.GetVoters()), idsOf(name, v.conf.GetLearners())
		switch {
		case slices.Contains(voting, id):
		case !slices.Contains(learning, id):
			return change(raftpb.ConfChangeAddLearnerNode, id, name)
		case !v.caughtUp(id):
			complete = false
			continue
		case len(voting) > 0:
			return change(raftpb.ConfChangeRemoveNode, voting[0], name)
		default:
			return change(raftpb.ConfChangeAddNode, id, name)
		}
		for _, old := range append(voting, learning...) {
			if old != id {
				return change(raftpb.ConfChangeRemoveNode, old, name)
			}
		}
	}
	if !complete {
		return nil
	}
	for _, id := range append(slices.Clone(v.conf.GetVoters()), v.conf.GetLearners()...) {
		if name := v.machine.state.Voters[id]; !slices.Contains(v.machine.state.Wanted, name) {
			return change(raftpb.ConfChangeRemoveNode, id, name)
		}
	}
	return nil
}

// caughtUp reports whether a learner has all committed entries.
func (v *Voter) caughtUp(id uint64) bool {
	s := v.node.Status()
	p, there := s.Progress[id]
	return there && p.RecentActive && p.Match >= s.HardState.GetCommit()
}

// Recover begins a new epoch of the log with this node's state and this node as the only voter. It is for the permanent loss
// of a majority. Entries that only the lost voters had are void.
func (v *Voter) Recover(now time.Duration) error {
	if v.node == nil {
		return errors.New("this node has nothing of the log")
	}
	data, err := v.machine.snapshot()
	if err != nil {
		return err
	}
	book, err := readStateMachine(data)
	if err != nil {
		return err
	}
	book.state.Token = max(book.state.Token+newEpoch, v.options.Above())
	// Present leases are not renewed but left to expire, because the lost voters may have granted them to others.
	book.state.Leases = map[string]grant{blocked: {Token: book.state.Token, Length: book.state.Longest}}
	book.state.Notes = nil // the lost voters may have committed others
	for i := range book.state.Nodes {
		book.state.Nodes[i].Holds = 0
	}
	book.state.Nodes[0].Holds = 1
	book.state.Wanted = []string{v.options.Name}
	old := v.self
	id := identity{logID{old.Log.ID, old.Log.Epoch + 1}, v.options.Random() | 1}
	if err := v.create(id, book, now); err != nil {
		return err
	}
	v.options.Log.Warn("leases: new epoch of the log begun by an operator", "log", id.Log)
	return nil
}
