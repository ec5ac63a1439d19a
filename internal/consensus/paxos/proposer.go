package paxos

import (
	"errors"
	"slices"
	"time"
)

const (
	// Requests are resent to voters that have not answered, at intervals that double between these bounds.
	minResendInterval = 150 * time.Millisecond
	maxResendInterval = 600 * time.Millisecond

	// The pause after a conflict is minBackoff plus a random part of a window. The window is twice slowestPhase (the time
	// that two phases take on the present disks), but at least initialBackoffWindow; it doubles with each attempt, up to
	// maxBackoff.
	minBackoff           = 10 * time.Millisecond
	initialBackoffWindow = 50 * time.Millisecond
	maxBackoffDoubling   = 5
	// maxBackoff is well below the timeout that callers give an operation (0.9 s), so that an operation that starts with
	// a conflict is retried within it, even if a partition has inflated slowestPhase.
	maxBackoff = 400 * time.Millisecond
)

// phase is the state of the proposer for the current operation.
type phase uint8

const (
	phaseIdle      phase = iota // there is no operation
	phaseNoState                // no State is known yet
	phaseBackoff                // pause until retryAt, after a conflict
	phaseQuery                  // a read queries the voters for a newer proposal or State
	phasePrepare                // phase 1 of Paxos
	phaseAccept                 // phase 2 of Paxos
	phaseNewVoters              // the proposal is decided; a majority of the voters in it has yet to store it
)

// proposer is the proposer role of a Register. It sends requests to the voters, for one operation at a time.
type proposer struct {
	queue         []*operation
	current       *operation
	lastOperation uint64 // id of the newest operation

	phase      phase
	phaseStart time.Duration
	// slowestPhase is the longest recent duration of a phase; it decays by an eighth with each phase.
	slowestPhase time.Duration

	// The current attempt: its slot and its unique proposal number.
	slot         uint64
	number       ProposalNumber
	highestRound uint64 // highest round used here or received from others
	// The voters that have answered the requests of this phase.
	acknowledged map[uint64]bool
	rejected     map[uint64]bool
	// highestAccepted is the highest number of an accepted proposal that a voter has reported.
	highestAccepted ProposalNumber
	// proposedState is the State of that proposal, or this operation's own proposal if no voter reported one.
	proposedState State

	// decidedLearners are the nodes that have to learn the State that this proposer has just decided.
	decidedLearners []Voter

	retryAt        time.Duration
	resendAt       time.Duration
	resendInterval time.Duration
}

// startOperation starts the first phase of the current operation, with the voters of the newest known State.
func (r *Register) startOperation() {
	switch {
	case !r.known:
		r.phase = phaseNoState
	case r.current.read && r.current.attempts == 0:
		r.startAttempt(phaseQuery)
	default:
		r.startAttempt(phasePrepare)
	}
}

// startAttempt begins an attempt with an unused proposal number.
func (r *Register) startAttempt(first phase) {
	r.highestRound++
	r.slot, r.number = r.state.Slot+1, ProposalNumber{r.highestRound, r.options.ProposerID}
	r.highestAccepted, r.proposedState = ProposalNumber{}, State{}
	r.enterPhase(first)
}

func (r *Register) enterPhase(next phase) {
	r.phase, r.phaseStart = next, r.now
	r.acknowledged, r.rejected = map[uint64]bool{}, map[uint64]bool{}
	r.resendInterval = minResendInterval
	r.sendRequests()
}

// sendRequests sends the request of this phase to all voters that have not answered it.
func (r *Register) sendRequests() {
	r.resendAt = r.now + r.resendInterval
	r.resendInterval = min(2*r.resendInterval, maxResendInterval)
	for _, voter := range r.state.Voters {
		r.sendRequest(voter.ID)
	}
}

// sendRequest sends the request of this phase to a voter that has not answered it.
func (r *Register) sendRequest(id uint64) {
	if r.acknowledged[id] || r.rejected[id] {
		return
	}
	m := message{slot: r.slot, number: r.number}
	switch r.phase {
	case phaseQuery:
		m.kind = messageQuery
	case phasePrepare:
		m.kind = messagePrepare
	case phaseAccept:
		m.kind, m.state = messageAccept, r.proposedState
	default:
		return
	}
	for _, voter := range r.state.Voters {
		if voter.ID == id {
			r.send(voter, m)
		}
	}
}

func (r *Register) quorum() int { return QuorumSize(len(r.state.Voters)) }

// receiveAnswer counts a voter's answer to the current request, and ignores all other answers.
func (r *Register) receiveAnswer(m message) {
	r.highestRound = max(r.highestRound, m.reported.Round)
	if r.current == nil || r.slot != r.state.Slot+1 {
		return
	}
	if m.slot != r.slot || m.number != r.number || !r.state.HasVoter(m.sender) {
		return
	}
	switch {
	case m.kind == messageReject && (r.phase == phasePrepare || r.phase == phaseAccept):
		r.rejected[m.sender] = true
		if len(r.rejected) > len(r.state.Voters)-r.quorum() {
			r.backOff()
		}
		return
	case m.kind == messageQueryReply && r.phase == phaseQuery:
		if r.highestAccepted.Less(m.reported) {
			r.highestAccepted = m.reported
		}
	case m.kind == messagePromise && r.phase == phasePrepare:
		if r.highestAccepted.Less(m.reported) {
			r.highestAccepted, r.proposedState = m.reported, m.state
		}
	case m.kind == messageAccepted && r.phase == phaseAccept:
	default:
		return
	}
	r.acknowledged[m.sender] = true
	if len(r.acknowledged) >= r.quorum() {
		r.completePhase()
	}
}

// completePhase proceeds after a majority of the voters has answered the requests of this phase.
//
// After phase 1 the proposer must propose the highest-numbered proposal that a voter of its majority has accepted, and
// may propose its own State only if there is none. This maintains P2c of "Paxos Made Simple": if a proposal was chosen,
// any majority contains a voter that accepted it.
func (r *Register) completePhase() {
	r.slowestPhase = max(r.slowestPhase*7/8, r.now-r.phaseStart)
	nothingAccepted := r.highestAccepted.IsZero()
	switch r.phase {
	case phaseQuery:
		if nothingAccepted {
			r.finishOperation(r.state, nil)
			return
		}
		r.startAttempt(phasePrepare) // an accepted proposal may be decided: complete it first
	case phasePrepare:
		if nothingAccepted && r.current.read {
			r.finishOperation(r.state, nil)
			return
		}
		if nothingAccepted && !r.makeProposal() {
			return
		}
		r.enterPhase(phaseAccept)
	case phaseAccept:
		before, decided := r.state.Voters, r.proposedState
		r.decidedLearners = slices.Concat(before, decided.Voters)
		r.learn(decided)
	}
}

// makeProposal sets the State to propose for a slot for which no proposal can have been chosen. It returns false if the
// operation has ended, or if another operation or attempt has started meanwhile.
func (r *Register) makeProposal() bool {
	op := r.current
	if !op.proposed {
		attempt := r.number
		next, err := op.change(r.state.Clone())
		if r.current != op || r.number != attempt {
			return false // the change has called the Register, which has moved on
		}
		if errors.Is(err, ErrUnchanged) {
			r.finishOperation(r.state, nil)
			return false
		}
		if err == nil {
			err = validateVoters(next.Voters)
		}
		if err != nil {
			r.finishOperation(State{}, err)
			return false
		}
		next.Slot = r.slot
		next.recentOperations = r.state.operationsAnd(operationID{r.options.ProposerID, op.id})
		op.proposed, op.proposal = true, next.Clone()
		op.changesVoters = !slices.Equal(r.state.Voters, next.Voters)
	}
	r.proposedState = op.proposal
	return true
}

// backOff ends an attempt. The next one begins after a random pause, so that proposers don't preempt each other again.
func (r *Register) backOff() {
	r.current.attempts++
	window := max(initialBackoffWindow, 2*r.slowestPhase) << min(r.current.attempts-1, maxBackoffDoubling)
	r.phase = phaseBackoff
	r.retryAt = r.now + minBackoff + time.Duration(r.options.Rand()*float64(min(window, maxBackoff)))
}

// resumeAfterLearning continues the current operation after a newer State has been learned. A proposal of the operation
// for that State's slot or an earlier one has then either been decided or never will be.
func (r *Register) resumeAfterLearning() {
	op := r.current
	if op == nil {
		return
	}
	if !op.proposed || r.state.Slot < op.proposal.Slot {
		r.startOperation()
		return
	}
	decided, found := r.state.operationAt(op.proposal.Slot)
	switch {
	case !found:
		r.finishOperation(State{}, ErrOutcomeUnknown.New("register %s is at slot %d, and slot %d was proposed here",
			r.options.Name, r.state.Slot, op.proposal.Slot))
	case decided != operationID{r.options.ProposerID, op.id}:
		op.proposed, op.proposal = false, State{}
		r.startOperation()
	case r.state.Slot > op.proposal.Slot || !op.changesVoters:
		// If the voters have changed, a majority of the new voters stored the State before they decided the next slot.
		r.finishOperation(op.proposal, nil)
	default:
		r.phase = phaseNewVoters
		if len(r.learners) == 0 {
			r.notifyLearners(r.state.Voters...)
		}
		r.finishIfNewVotersStored()
	}
}

// finishIfNewVotersStored ends a proposal that changes the voters once a majority of the new voters has stored it.
func (r *Register) finishIfNewVotersStored() {
	if r.current == nil || r.phase != phaseNewVoters {
		return
	}
	stored := 0
	for _, voter := range r.state.Voters {
		if r.storedBy[voter.ID] {
			stored++
		}
	}
	if stored >= r.quorum() {
		r.finishOperation(r.state, nil)
	}
}

func (r *Register) tickProposer() {
	r.expireQueued()
	op := r.current
	if op == nil {
		return
	}
	if r.now >= op.deadline {
		r.finishOperation(State{}, r.timeoutError(op))
		return
	}
	switch r.phase {
	case phaseBackoff:
		if r.now >= r.retryAt {
			r.startOperation()
		}
	case phaseQuery, phasePrepare, phaseAccept:
		if r.now < r.resendAt {
			break
		}
		if len(r.rejected) > 0 {
			r.backOff()
		} else {
			r.sendRequests()
		}
	}
}

func (r *Register) nextProposerTick() time.Duration {
	next := Never
	for _, op := range r.queue {
		next = min(next, op.deadline)
	}
	if r.current == nil {
		return next
	}
	next = min(next, r.current.deadline)
	switch r.phase {
	case phaseBackoff:
		next = min(next, r.retryAt)
	case phaseQuery, phasePrepare, phaseAccept:
		next = min(next, r.resendAt)
	}
	return next
}
