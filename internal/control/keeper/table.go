package keeper

import (
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// tableChangeWait bounds a change of the agreed table.
const tableChangeWait = 2 * time.Second

// changeTable changes the agreed table; done is called from the registers' goroutine.
func (k *Keeper) changeTable(change func(cur *snapshot.Table) (*snapshot.Table, error), done func(error)) {
	k.agree.propose(tableRegister, tableChangeWait, func(cur paxos.State) (paxos.State, error) {
		t, err := tableOf(cur)
		if err != nil {
			return cur, err
		}
		next, err := change(t)
		if err != nil {
			return cur, err
		}
		w := link.Writer{}
		controlclient.AppendTable(&w, next)
		cur.Value = w.B
		return cur, nil
	}, func(_ paxos.State, err error) { done(err) })
}

// tableStep computes the next table; changed is false where it would be as it is.
type tableStep func(cur *snapshot.Table) (next *snapshot.Table, changed bool)

// orUnchanged is a step as a change, which ends with agree.ErrUnchanged where nothing is to be done.
func (step tableStep) orUnchanged(cur *snapshot.Table) (*snapshot.Table, error) {
	next, changed := step(cur)
	if !changed {
		return nil, paxos.ErrUnchanged
	}
	return next, nil
}

// answerStep answers a call that asks for a step of the table, once the table is as it asks.
func (k *Keeper) answerStep(m *link.Message, step tableStep) {
	k.changeTable(step.orUnchanged, func(err error) {
		if err != nil && err != paxos.ErrUnchanged {
			m.Fail("%v", err)
			return
		}
		m.Reply(nil)
	})
}

// joined takes in that the next group of a part has all of it.
func (k *Keeper) joined(m *link.Message) {
	joined, err := controlclient.ReadPartJoined(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.answerStep(m, func(cur *snapshot.Table) (*snapshot.Table, bool) { return batch.Switch(cur, joined.Part, joined.Epoch) })
}

// stopping takes in that a store is about to stop, or that it runs again.
func (k *Keeper) stopping(m *link.Message) {
	report, err := controlclient.ReadStoreStopping(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.answerStep(m, func(cur *snapshot.Table) (*snapshot.Table, bool) {
		return batch.SetStopping(cur, report.Store, report.Stopping)
	})
}

// tableOf reads the register's value; nil before the first table.
func tableOf(s paxos.State) (*snapshot.Table, error) {
	if len(s.Value) == 0 {
		return nil, nil
	}
	r := link.Reader{B: s.Value}
	t := controlclient.ReadTable(&r)
	return t, r.Err
}
