package lease

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// NewVoter returns a voter with the log in its folder. A damaged log is set aside, and the voter starts without one. It fails
// if the folder cannot be read.
func NewVoter(o VoterOptions, now time.Duration) (*Voter, error) {
	v := &Voter{options: o, disk: disk{folder: o.Folder}}
	v.reset()
	v.ticked, v.queried = now, now-queryEvery
	all, err := v.disk.load()
	if err == nil && len(all) > 0 {
		if bad := v.restore(all, now); bad != nil {
			err = fmt.Errorf("%w: %w", errDamaged, bad)
		}
	}
	if errors.Is(err, errDamaged) {
		v.leave(err.Error(), now)
		return v, v.notAside
	}
	return v, err
}

// reset discards the state of the log.
func (v *Voter) reset() {
	v.dropPending("this voter has left the log")
	v.self, v.node, v.store, v.conf, v.machine, v.applied, v.unsaved, v.why = identity{}, nil, nil, nil, nil, 0, nil, ""
	v.seen, v.names, v.counts, v.here = map[uint64]incarnation{}, map[uint64]string{}, timekeeper{}, map[string]sighting{}
	v.snapshots = map[uint64]time.Duration{}
	v.pending, v.wanted, v.freed = map[requestKey]waiting{}, map[uint64]waiting{}, map[string]map[string]bool{}
}

// dropPending answers all waiting callers.
func (v *Voter) dropPending(why string) {
	all, ans := time.Duration(1<<63-1), answer{No: why, Maybe: true}
	expireWaiting(v.pending, all, ans)
	expireWaiting(v.wanted, all, ans)
}

// expireWaiting answers the callers that have waited for too long and removes them.
func expireWaiting[K comparable](all map[K]waiting, now time.Duration, ans answer) {
	for key, w := range all {
		if now >= w.until {
			delete(all, key)
			w.reply(ans)
		}
	}
}

// leave abandons the log and sets its file aside permanently, so that this node can join as a new voter. If that fails it is
// retried; until it succeeds this node joins no log.
func (v *Voter) leave(why string, now time.Duration) {
	v.options.Log.Error("leases: log set aside, this node may rejoin as a new voter", "why", why, "log", v.self.Log)
	v.reset()
	v.setAside(now)
}

// setAside renames the file of a log that this voter has left, because a process that found it would vote with it again.
func (v *Voter) setAside(now time.Duration) {
	v.notAside, v.triedAside = v.disk.setAside(), now
	if v.notAside != nil {
		v.options.Log.Error("leases: setting the old log aside failed, this node joins no log until it succeeds", "err", v.notAside)
	}
}

// retryAside retries a failed setAside.
func (v *Voter) retryAside(now time.Duration) {
	if v.notAside != nil && now-v.triedAside >= queryEvery {
		v.setAside(now)
	}
}

// Old sets the log aside because other nodes have seen a later incarnation of this node than its folder records: the folder,
// and the log in it, are out of date.
func (v *Voter) Old(now time.Duration) error {
	if v.node == nil {
		v.setAside(now)
	} else {
		v.leave("other nodes have seen a later incarnation of this node than its folder records", now)
	}
	return v.notAside
}

// restore rebuilds the state from the records of the file.
func (v *Voter) restore(all []record, now time.Duration) error {
	v.store = raft.NewMemoryStorage()
	for _, rec := range all {
		if rec.Self != nil {
			v.self = *rec.Self
		}
		maps.Copy(v.seen, rec.Seen)
		if rec.Snapshot != nil {
			snap := &raftpb.Snapshot{}
			if err := proto.Unmarshal(rec.Snapshot, snap); err != nil {
				return fmt.Errorf("%w: a snapshot: %w", errDamaged, err)
			}
			if err := v.store.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return fmt.Errorf("%w: a snapshot: %w", errDamaged, err)
			}
		}
		var entries []*raftpb.Entry
		for _, text := range rec.Entries {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(text, e); err != nil {
				return fmt.Errorf("%w: an entry: %w", errDamaged, err)
			}
			entries = append(entries, e)
		}
		if err := v.append(entries); err != nil {
			return err
		}
		if rec.Hard != nil {
			hard := &raftpb.HardState{}
			if err := proto.Unmarshal(rec.Hard, hard); err != nil {
				return fmt.Errorf("%w: a state: %w", errDamaged, err)
			}
			if err := v.store.SetHardState(hard); err != nil {
				return err
			}
		}
	}
	return v.begin(now)
}

// append adds entries to the store. A gap before them means that the file is damaged.
func (v *Voter) append(entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	last, err := v.store.LastIndex()
	if err == nil && entries[0].GetIndex() > last+1 {
		err = fmt.Errorf("%w: entry %d follows entry %d", errDamaged, entries[0].GetIndex(), last)
	}
	if err == nil {
		err = v.store.Append(entries)
	}
	return err
}

// begin starts raft with the store, and rewrites the file, because the records that were read may not be durable yet.
func (v *Voter) begin(now time.Duration) error {
	snap, err := v.store.Snapshot()
	if err != nil {
		return err
	}
	if err := v.applySnapshot(snap, now); err != nil {
		return err
	}
	v.node, err = raft.NewRawNode(&raft.Config{ID: v.self.Voter, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: v.store,
		Applied: v.applied, MaxSizePerMsg: 128 << 10, MaxCommittedSizePerReady: 4 << 20, MaxUncommittedEntriesSize: maxProposed,
		MaxInflightMsgs: 16, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: raftLog{v.options.Log}})
	if err != nil {
		return err
	}
	if err := v.renew(); err != nil {
		v.options.Log.Error("leases: writing the log failed, voter suspended until a write succeeds", "err", err)
		v.unsaved, v.why = &raft.Ready{}, err.Error()
	}
	return nil
}

// applySnapshot replaces the state by a snapshot. The timers of all leases restart.
func (v *Voter) applySnapshot(snap *raftpb.Snapshot, now time.Duration) error {
	v.applied, v.conf, v.machine = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState(), nil
	v.counts = timekeeper{}
	if v.applied == 0 {
		v.machine, v.conf = newStateMachine(0, 0, 0, nil), &raftpb.ConfState{}
		delete(v.machine.state.Leases, blocked) // the state of the log has not been received yet
		return nil
	}
	book, err := readStateMachine(snap.GetData())
	if err != nil {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	v.machine = book
	for name := range book.state.Leases {
		v.counts.count(book, name, now)
	}
	return nil
}

// create creates a log with this node as the only voter.
func (v *Voter) create(id identity, book *StateMachine, now time.Duration) error {
	book.state.Voters = map[uint64]string{id.Voter: v.options.Name}
	data, err := book.snapshot()
	if err != nil {
		return err
	}
	index, term := uint64(1), uint64(1)
	snap := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term,
		ConfState: raftpb.EnsureConfState(&raftpb.ConfState{Voters: []uint64{id.Voter}})}}
	v.reset()
	v.self, v.store = id, raft.NewMemoryStorage()
	if err := v.store.ApplySnapshot(snap); err != nil {
		return err
	}
	return v.begin(now)
}

// join joins the log of a leader that has invited this node.
func (v *Voter) join(log logID, now time.Duration) {
	if v.notAside != nil {
		return // the leader repeats the invitation
	}
	v.reset()
	v.self, v.store = identity{log, v.options.Random() | 1}, raft.NewMemoryStorage()
	if err := v.begin(now); err != nil {
		v.options.Log.Error("leases: joining a log failed", "err", err)
		v.reset()
		return
	}
	v.options.Log.Info("leases: joined a log as a new voter", "log", log, "voter", v.self.Voter)
}

// hard returns the encoding of raft's HardState.
func (v *Voter) hard() ([]byte, error) {
	hard, _, err := v.store.InitialState()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(hard)
}

// renew rewrites the file with the whole present state.
func (v *Voter) renew() error {
	rec := record{Self: &v.self, Seen: v.seen}
	var err error
	if rec.Hard, err = v.hard(); err != nil {
		return err
	}
	snap, err := v.store.Snapshot()
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if rec.Snapshot, err = proto.Marshal(snap); err != nil {
			return err
		}
	}
	first, err := v.store.FirstIndex()
	if err != nil {
		return err
	}
	last, err := v.store.LastIndex()
	if err != nil {
		return err
	}
	if last >= first {
		entries, err := v.store.Entries(first, last+1, 1<<62)
		if err != nil {
			return err
		}
		if rec.Entries, err = marshalled(entries); err != nil {
			return err
		}
	}
	v.stats.Syncs++
	return v.disk.renew(rec)
}
