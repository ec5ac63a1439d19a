package keeper

import (
	"sync"
	"time"

	"dunetide/internal/consensus/paxos"
)

// diskStallSlack is how much longer than its own timeout an operation on a register may take before its caller gets an
// error: the registers' goroutine may be blocked in a write to a stalled disk.
const diskStallSlack = 50 * time.Millisecond

// resultFunc receives the result of an operation on a register: the resulting decided state, or the error.
type resultFunc func(paxos.State, error)

// boundedOperation answers the caller of an operation on a register exactly once: with its result, or with an error
// when it times out.
type boundedOperation struct {
	mu      sync.Mutex
	started bool
	done    resultFunc // nil once called
	timer   *time.Timer
}

func newBoundedOperation(register string, timeout time.Duration, done resultFunc) *boundedOperation {
	op := &boundedOperation{done: done}
	op.mu.Lock()
	defer op.mu.Unlock()
	op.timer = time.AfterFunc(timeout+diskStallSlack, func() { op.expire(register) })
	return op
}

// start marks the operation as started, and reports whether it still has to run. It is called right before the
// operation begins.
func (op *boundedOperation) start() bool {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.started = op.done != nil
	return op.started
}

// finish answers with the operation's result.
func (op *boundedOperation) finish(state paxos.State, err error) {
	if done, _ := op.claimDone(); done != nil {
		op.timer.Stop()
		done(state, err)
	}
}

// expire answers with a timeout error. An operation that wasn't started never will be, so nothing was written.
func (op *boundedOperation) expire(register string) {
	done, started := op.claimDone()
	if done == nil {
		return
	}
	err := paxos.ErrNoQuorum.New("register %s, this keeper's disk does not answer", register)
	if started {
		err = paxos.ErrOutcomeUnknown.New("register %s, this keeper's disk does not answer", register)
	}
	done(paxos.State{}, err)
}

// claimDone returns the callback on its first call, and nil afterwards.
func (op *boundedOperation) claimDone() (done resultFunc, started bool) {
	op.mu.Lock()
	defer op.mu.Unlock()
	done, op.done = op.done, nil
	return done, op.started
}
