package lease

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunetide/internal/deliverynode/fleet"
)

// Flush carries out the effects of the events since the last Flush and returns the messages to send. The clock reading now
// must have been taken after these events.
func (v *Voter) Flush(now time.Duration) []Outbound {
	for v.node != nil && v.unsaved == nil && v.node.HasReady() {
		rd := v.node.Ready()
		if err := v.save(rd); errors.Is(err, errDamaged) {
			v.leave(err.Error(), now)
			break
		} else if err != nil {
			v.options.Log.Error("leases: writing the log failed, voter suspended until a write succeeds", "err", err)
			v.unsaved, v.why = &rd, err.Error()
			break
		}
		v.applyReady(rd, now)
	}
	v.notifyFreed()
	out := v.out
	v.out = nil
	return out
}

// save writes what must be durable before the messages of rd may be sent.
func (v *Voter) save(rd raft.Ready) (err error) {
	var rec record
	snapshot, hard := !raft.IsEmptySnap(rd.Snapshot), rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState)
	if snapshot {
		err = v.store.ApplySnapshot(rd.Snapshot)
	}
	if err == nil {
		err = v.append(rd.Entries)
	}
	if err == nil && hard {
		err = v.store.SetHardState(rd.HardState)
	}
	if err != nil { // not a disk error: a retry would fail too
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	if snapshot {
		rec.Snapshot, err = proto.Marshal(rd.Snapshot)
	}
	if err == nil {
		rec.Entries, err = marshalled(rd.Entries)
	}
	if err != nil {
		return err
	}
	if rec.Snapshot == nil && rec.Entries == nil && !(hard && rd.MustSync) {
		return nil // a commit index alone need not be durable
	}
	// The HardState is written with every record, for its commit index: a voter that has the second of two changes of the
	// voters must see after a restart that the first one is committed. Otherwise it could count a majority of the voters
	// before both changes, which need not intersect a majority of the present ones.
	if rec.Hard, err = v.hard(); err != nil {
		return err
	}
	v.stats.Syncs++
	return v.disk.append(rec)
}

// retryWrite rewrites the file after a failed write and resumes. A failed append is never followed by another append, because
// the content of the file is unknown.
func (v *Voter) retryWrite(now time.Duration) {
	if err := v.renew(); err != nil {
		v.why = err.Error()
		return
	}
	rd := *v.unsaved
	v.unsaved, v.why = nil, ""
	v.options.Log.Info("leases: writing the log succeeded again, voter resumed")
	if rd.Messages != nil || rd.CommittedEntries != nil || rd.Entries != nil || rd.HardState != nil || rd.Snapshot != nil {
		v.applyReady(rd, now)
	}
}

// applyReady applies a Ready of raft whose content is durable.
func (v *Voter) applyReady(rd raft.Ready, now time.Duration) {
	if rd.SoftState != nil {
		v.stats.Elections++
		v.options.Log.Info("leases: leader", "is", v.machine.state.Voters[rd.SoftState.Lead], "this one", rd.SoftState.RaftState)
		if rd.SoftState.RaftState != raft.StateLeader {
			clear(v.freed)
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.applySnapshot(rd.Snapshot, now); err != nil {
			v.leave(err.Error(), now)
			return
		}
	}
	for _, m := range rd.Messages {
		v.send(m)
	}
	for _, e := range rd.CommittedEntries {
		if err := v.apply(e, now); err != nil {
			v.leave(err.Error(), now)
			return
		}
	}
	v.node.Advance(rd)
	v.compact()
}

// compact makes a snapshot and truncates the log if the file is full.
func (v *Voter) compact() {
	first, err := v.store.FirstIndex()
	if err != nil || v.applied < first || !v.disk.full() {
		return
	}
	data, err := v.machine.snapshot()
	if err == nil {
		_, err = v.store.CreateSnapshot(v.applied, v.conf, data)
	}
	keep := v.applied
	for size := 0; err == nil && keep >= first; keep-- {
		var last []*raftpb.Entry
		if last, err = v.store.Entries(keep, keep+1, retainedLog); err == nil {
			size += proto.Size(last[0])
		}
		if size > retainedLog {
			break
		}
	}
	if err == nil && keep >= first {
		err = v.store.Compact(keep)
	}
	if err == nil {
		err = v.renew()
	}
	if err != nil {
		v.options.Log.Error("leases: compacting the log failed", "err", err)
		v.why = err.Error()
	}
}

// apply applies a committed entry.
func (v *Voter) apply(e *raftpb.Entry, now time.Duration) error {
	v.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("%w: a change of the voters: %w", errDamaged, err)
		}
		v.conf = v.node.ApplyConfChange(cc)
		if cc.GetType() == raftpb.ConfChangeRemoveNode {
			delete(v.machine.state.Voters, cc.GetNodeId())
			delete(v.seen, cc.GetNodeId())
		} else {
			v.machine.state.Voters[cc.GetNodeId()] = string(cc.GetContext())
		}
		// A learner accepts only a snapshot whose configuration includes it.
		data, err := v.machine.snapshot()
		if err == nil {
			_, err = v.store.CreateSnapshot(v.applied, v.conf, data)
		}
		if err != nil {
			return fmt.Errorf("%w: a snapshot: %w", errDamaged, err)
		}
		v.options.Log.Info("leases: voters", "change", cc.GetType(), "voter", string(cc.GetContext()), "number", cc.GetNodeId())
		return nil
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return nil
		}
	default:
		return nil
	}
	var c command
	if err := decoding.Unmarshal(e.GetData(), &c); err != nil {
		return fmt.Errorf("%w: an entry: %w", errDamaged, err)
	}
	switch {
	case c.Ask != nil:
		v.applyRequest(c.Ask, now)
	case c.Lapsed != nil:
		was := len(v.machine.state.Leases)
		v.machine.applyLapses(c.Lapsed)
		v.stats.Lapsed += was - len(v.machine.state.Leases)
	case c.Wanted != nil:
		v.machine.want(c.Wanted)
		if w, there := v.wanted[c.Request]; there {
			delete(v.wanted, c.Request)
			w.reply(answer{Log: v.self.Log})
		}
	}
	return nil
}

// applyRequest applies a request and answers it if this voter received it.
func (v *Voter) applyRequest(a *request, now time.Duration) {
	all, changed, err := v.machine.applyRequest(a)
	for _, name := range changed {
		if v.machine.state.Leases[name].Renewed > 0 {
			v.stats.Renewed++
		} else {
			v.stats.Granted++
		}
		v.counts.count(v.machine, name, now)
	}
	key := requestKey{a.Node, a.Incarnation, a.Number}
	w, there := v.pending[key]
	if !there {
		return
	}
	delete(v.pending, key)
	out := answer{Log: v.self.Log, Outcomes: all, Voters: v.Voters()}
	if err != nil {
		out = v.refusal(err)
	}
	for i, o := range all {
		if a.Ops[i].Do == opTake && !o.Mine {
			v.stats.Refused++
			v.watch(a.Ops[i].Name, a.Node)
		}
	}
	w.reply(out)
}

// watch records that a node must be notified when a name becomes free.
func (v *Voter) watch(name, node string) {
	if len(v.freed) >= MaxLeases && v.freed[name] == nil {
		return
	}
	if v.freed[name] == nil {
		v.freed[name] = map[string]bool{}
	}
	if len(v.freed[name]) < fleet.MaxMembers {
		v.freed[name][node] = true
	}
}

// notifyFreed removes the timers of leases that have ended, and on the leader notifies the nodes that wait for them. A node
// that misses the message still polls.
func (v *Voter) notifyFreed() {
	if v.machine == nil {
		return
	}
	for _, name := range v.machine.freed {
		v.counts.forget(v.machine, name)
		if !v.leads() {
			continue
		}
		for _, node := range slices.Sorted(maps.Keys(v.freed[name])) {
			v.out = append(v.out, Outbound{To: node, Key: freeKey + name})
		}
		delete(v.freed, name)
	}
	v.machine.freed = nil
}
