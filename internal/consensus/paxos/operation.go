package paxos

import (
	"fmt"
	"time"
)

// maxQueuedOperations is the maximum number of operations that wait for the current one.
const maxQueuedOperations = 256

// operation is one call of Propose or Read.
type operation struct {
	read     bool
	change   func(State) (State, error)
	done     func(State, error)
	deadline time.Duration
	id       uint64 // unique in this process
	attempts int    // number of attempts that ended in a conflict

	// The proposal of this operation, which any proposer that finds it accepted may complete. An operation proposes only
	// one State for a slot.
	proposed      bool
	proposal      State
	changesVoters bool // the proposal has other voters than the slot before
}

// Propose is a linearizable change: it finds the newest State, calls change with it, and proposes the State that change
// returns for the next slot. The change function is called once for a slot, and again if another proposal was chosen
// for that slot. An error from it ends the proposal; ErrUnchanged ends it successfully with the State that change was
// called with. Propose sets the Slot of the new State.
//
// The done function is called exactly once, at the latest by the first Tick after the timeout, with the decided State
// or an error: that of change, or one of ErrOutcomeUnknown, ErrNoQuorum, ErrNoState, ErrQueueFull and ErrInvalidVoters.
func (r *Register) Propose(
	now, timeout time.Duration, change func(current State) (next State, err error), done func(State, error),
) {
	r.step(now, func() { r.enqueue(&operation{change: change, done: done, deadline: r.now + timeout}) })
}

// Read is a linearizable read: a majority confirms that there is no newer State. The done function is called as in
// Propose; its error is one of ErrNoQuorum, ErrNoState and ErrQueueFull.
func (r *Register) Read(now, timeout time.Duration, done func(State, error)) {
	r.step(now, func() { r.enqueue(&operation{read: true, done: done, deadline: r.now + timeout}) })
}

func (r *Register) enqueue(op *operation) {
	if len(r.queue) >= maxQueuedOperations {
		op.done(State{}, ErrQueueFull.New("register %s has %d", r.options.Name, len(r.queue)))
		return
	}
	r.lastOperation++
	op.id = r.lastOperation
	r.queue = append(r.queue, op)
	r.startNextOperation()
}

func (r *Register) startNextOperation() {
	if r.current == nil && len(r.queue) > 0 {
		r.current, r.queue = r.queue[0], r.queue[1:]
		r.startOperation()
	}
}

// finishOperation ends the current operation and starts the next one.
func (r *Register) finishOperation(s State, err error) {
	op := r.current
	r.current, r.phase = nil, phaseIdle
	if err == nil {
		s = s.Clone()
	}
	op.done(s, err)
	r.startNextOperation()
}

// expireQueued ends the queued operations whose deadline has passed.
func (r *Register) expireQueued() {
	for i := 0; i < len(r.queue); i++ {
		if op := r.queue[i]; r.now >= op.deadline {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			i--
			op.done(State{}, r.timeoutError(op))
		}
	}
}

// timeoutError returns the error of an operation whose deadline has passed.
func (r *Register) timeoutError(op *operation) error {
	switch {
	case op.proposed:
		return ErrOutcomeUnknown.New("register %s, slot %d was proposed", r.options.Name, op.proposal.Slot)
	case !r.known:
		return ErrNoState.New("register %s", r.options.Name)
	}
	return ErrNoQuorum.New("register %s, %s", r.options.Name, r.answersReceived())
}

func (r *Register) answersReceived() string {
	return fmt.Sprintf("slot %d, %d of %d voters answered", r.state.Slot, len(r.acknowledged), len(r.state.Voters))
}
