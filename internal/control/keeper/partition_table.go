package keeper

import (
	"errors"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// tableChangeTimeout bounds a change of the partition table.
const tableChangeTimeout = 2 * time.Second

// changeTable changes the decided partition table by compare-and-swap. done is called from any goroutine.
func (k *Keeper) changeTable(
	change func(current *snapshot.PartitionTable) (*snapshot.PartitionTable, error), done func(error),
) {
	k.registers.propose(partitionsRegister, tableChangeTimeout, func(current paxos.State) (paxos.State, error) {
		table, err := decodeTable(current)
		if err != nil {
			return current, err
		}
		next, err := change(table)
		if err != nil {
			return current, err
		}
		w := link.Writer{}
		controlclient.AppendTable(&w, next)
		current.Value = w.Buf
		return current, nil
	}, func(_ paxos.State, err error) { done(err) })
}

// readTable returns the newest partition table, as a majority confirms it; nil before the first one.
func (k *Keeper) readTable() (*snapshot.PartitionTable, error) {
	state, err := k.readRegister(partitionsRegister)
	if err != nil {
		return nil, err
	}
	return decodeTable(state)
}

// decodeTable reads the register's value; nil before the first table.
func decodeTable(state paxos.State) (*snapshot.PartitionTable, error) {
	if len(state.Value) == 0 {
		return nil, nil
	}
	r := link.Reader{Buf: state.Value}
	table := controlclient.ReadTable(&r)
	return table, r.Err
}

// tableStep computes the next table; !changed: it would be equal to the current one.
type tableStep func(current *snapshot.PartitionTable) (next *snapshot.PartitionTable, changed bool)

// asChange adapts the step to a change that fails with paxos.ErrUnchanged if it changes nothing.
func (step tableStep) asChange(current *snapshot.PartitionTable) (*snapshot.PartitionTable, error) {
	next, changed := step(current)
	if !changed {
		return nil, paxos.ErrUnchanged
	}
	return next, nil
}

// answerTableStep applies a step to the table, and answers a store's call once it is decided or changes nothing.
func (k *Keeper) answerTableStep(m *link.Message, step tableStep) {
	k.changeTable(step.asChange, func(err error) {
		if err != nil && !errors.Is(err, paxos.ErrUnchanged) {
			m.Fail("%v", err)
			return
		}
		m.Reply(nil)
	})
}

// handlePartitionJoined handles a store's message that the joining replicas of a partition have all of its data.
func (k *Keeper) handlePartitionJoined(m *link.Message) {
	joined, err := controlclient.ReadPartitionJoined(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.answerTableStep(m, func(current *snapshot.PartitionTable) (*snapshot.PartitionTable, bool) {
		return batch.SwitchReplicas(current, joined.Partition, joined.Epoch)
	})
}

// handleStoreStopping handles a store's message that it is about to stop, or that it runs again.
func (k *Keeper) handleStoreStopping(m *link.Message) {
	report, err := controlclient.ReadStoreStopping(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.answerTableStep(m, func(current *snapshot.PartitionTable) (*snapshot.PartitionTable, bool) {
		return batch.SetStopping(current, report.Store, report.Stopping)
	})
}
