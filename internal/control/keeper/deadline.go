package keeper

import (
	"sync"
	"time"

	"dunetide/internal/consensus/paxos"
)

// stallSlack is how much longer than its own timeout an operation of a register may take before its caller is answered
// all the same: the registers' goroutine may be stuck in a write to a disk that has stalled.
const stallSlack = 50 * time.Millisecond

// boundedOperation answers the caller of an operation once: with its result, or when its time is over.
type boundedOperation struct {
	mu      sync.Mutex
	started bool
	done    func(paxos.State, error) // nil once it was called
	timer   *time.Timer
}

func boundOperation(name string, timeout time.Duration, done func(paxos.State, error)) *boundedOperation {
	op := &boundedOperation{done: done}
	op.mu.Lock()
	defer op.mu.Unlock()
	op.timer = time.AfterFunc(timeout+stallSlack, func() { op.giveUp(name) })
	return op
}

// giveUp answers that nothing was written if the operation was not started: then it never will be.
func (op *boundedOperation) giveUp(name string) {
	op.mu.Lock()
	done, started := op.done, op.started
	op.done = nil
	op.mu.Unlock()
	if done == nil {
		return
	}
	err := paxos.ErrNoMajority.New("register %s, this keeper's disk does not answer", name)
	if started {
		err = paxos.ErrTimeout.New("register %s, this keeper's disk does not answer", name)
	}
	done(paxos.State{}, err)
}

// start tells whether the operation is still wanted.
func (op *boundedOperation) start() bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.started = op.done != nil
	return op.started
}

func (op *boundedOperation) finish(s paxos.State, err error) {
	op.mu.Lock()
	done := op.done
	op.done = nil
	op.mu.Unlock()
	if done != nil {
		op.timer.Stop()
		done(s, err)
	}
}
