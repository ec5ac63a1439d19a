package keeper

import (
	"time"

	"dunetide/internal/agree"
	"dunetide/internal/batch"
	"dunetide/internal/control"
	"dunetide/internal/link"
	"dunetide/internal/view"
)

// tableChangeWait bounds a change of the agreed table.
const tableChangeWait = 2 * time.Second

// changeTable changes the agreed table; done is called from the registers' goroutine.
func (k *Keeper) changeTable(change func(cur *view.Table) (*view.Table, error), done func(error)) {
	k.agree.propose(tableRegister, tableChangeWait, func(cur agree.State) (agree.State, error) {
		t, err := tableOf(cur)
		if err != nil {
			return cur, err
		}
		next, err := change(t)
		if err != nil {
			return cur, err
		}
		w := link.Writer{}
		control.AppendTable(&w, next)
		cur.Value = w.B
		return cur, nil
	}, func(_ agree.State, err error) { done(err) })
}

// tableStep computes the next table; changed is false where it would be as it is.
type tableStep func(cur *view.Table) (next *view.Table, changed bool)

// orUnchanged is a step as a change, which ends with agree.ErrUnchanged where nothing is to be done.
func (step tableStep) orUnchanged(cur *view.Table) (*view.Table, error) {
	next, changed := step(cur)
	if !changed {
		return nil, agree.ErrUnchanged
	}
	return next, nil
}

// answerStep answers a call that asks for a step of the table, once the table is as it asks.
func (k *Keeper) answerStep(m *link.Message, step tableStep) {
	k.changeTable(step.orUnchanged, func(err error) {
		if err != nil && err != agree.ErrUnchanged {
			m.Fail("%v", err)
			return
		}
		m.Reply(nil)
	})
}

// joined takes in that the next group of a part has all of it.
func (k *Keeper) joined(m *link.Message) {
	joined, err := control.ReadPartJoined(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.answerStep(m, func(cur *view.Table) (*view.Table, bool) { return batch.Switch(cur, joined.Part, joined.Epoch) })
}

// stopping takes in that a store is about to stop, or that it runs again.
func (k *Keeper) stopping(m *link.Message) {
	report, err := control.ReadStoreStopping(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.answerStep(m, func(cur *view.Table) (*view.Table, bool) {
		return batch.SetStopping(cur, report.Store, report.Stopping)
	})
}

// tableOf reads the register's value; nil before the first table.
func tableOf(s agree.State) (*view.Table, error) {
	if len(s.Value) == 0 {
		return nil, nil
	}
	r := link.Reader{B: s.Value}
	t := control.ReadTable(&r)
	return t, r.Err
}
