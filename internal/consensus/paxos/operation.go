package paxos

import (
	"fmt"
	"time"
)

// maxQueuedOperations bounds the operations that wait for the one under way.
const maxQueuedOperations = 256

// operation is one Propose or Read.
type operation struct {
	read     bool
	change   func(State) (State, error)
	done     func(State, error)
	deadline time.Duration
	id       uint64 // unique in this process
	attempts int    // that ended in a conflict

	// What was proposed, and may be decided by whichever proposer finds it. For one slot an operation proposes one
	// State.
	proposed      bool
	proposal      State
	changesVoters bool // the proposal has other voters than the slot before
}

// Propose is a linearizable change: it finds the newest State, calls change with it, and has what change returns
// decided as the next one. Change is called once for a slot, and again when another proposal took the slot. Its error
// ends the proposal; ErrUnchanged ends it with the State it was called with. The new State's Slot is set here.
//
// Done is called once, at the latest by the Tick that follows the timeout: with the decided State, an error of change,
// or one of ErrOutcomeUnknown, ErrNoQuorum, ErrNoState, ErrQueueFull and ErrInvalidVoters.
func (r *Register) Propose(
	now, timeout time.Duration, change func(current State) (next State, err error), done func(State, error),
) {
	r.step(now, func() { r.enqueue(&operation{change: change, done: done, deadline: r.now + timeout}) })
}

// Read is a linearizable read: a majority confirms that there is nothing newer. Done is called as for Propose, with one
// of ErrNoQuorum, ErrNoState and ErrQueueFull where it fails.
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

// finishOperation ends the operation under way, and starts the next one.
func (r *Register) finishOperation(s State, err error) {
	op := r.current
	r.current, r.phase = nil, phaseIdle
	if err == nil {
		s = s.Clone()
	}
	op.done(s, err)
	r.startNextOperation()
}

// expireQueued ends the queued operations whose time is over.
func (r *Register) expireQueued() {
	for i := 0; i < len(r.queue); i++ {
		if op := r.queue[i]; r.now >= op.deadline {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			i--
			op.done(State{}, r.timeoutError(op))
		}
	}
}

// timeoutError says what is known of an operation whose time is over.
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
