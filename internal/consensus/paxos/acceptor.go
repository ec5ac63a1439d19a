package paxos

// acceptor is the acceptor role of a Register: its promise and accepted proposal for the slot after the newest decided
// one. Both are on disk before any other node is answered.
type acceptor struct {
	// promised is the highest proposal number of a prepare or accept request that was answered positively.
	promised ProposalNumber
	// acceptedNumber and acceptedState are the proposal accepted last; zero if there is none.
	acceptedNumber ProposalNumber
	acceptedState  State
}

// receiveRequest processes a request to the acceptor. If the slot is already decided here, the answer is the decided
// State, from which the sender catches up; if it is beyond the next slot, the answer is this node's progress, to which
// the sender replies with a newer State.
func (r *Register) receiveRequest(from Voter, m message) {
	switch {
	case r.fatalError != nil || r.options.ID == 0 || m.slot == 0:
		return
	case r.known && r.state.Slot >= m.slot:
		r.sendState(from)
		return
	case !r.known || r.state.Slot+1 < m.slot:
		r.sendProgress(from)
		return
	case !r.stateStored, !r.state.HasVoter(r.options.ID):
		return
	}
	if answer, answered := r.answerRequest(m); answered {
		r.send(from, answer)
	}
}

// answerRequest returns the answer to a request for the next slot. It returns false if the promise or the proposal
// could not be stored, in which case no answer may be sent.
//
// A request with a number below the promised one is rejected: "An acceptor can accept a proposal numbered n iff it has
// not responded to a prepare request having a number greater than n" (P1a of "Paxos Made Simple").
func (r *Register) answerRequest(m message) (answer message, answered bool) {
	answer = message{slot: m.slot, number: m.number}
	switch {
	case m.kind == messageQuery:
		answer.kind, answer.reported = messageQueryReply, r.acceptedNumber
		return answer, true
	case m.number.Less(r.promised):
		answer.kind, answer.reported = messageReject, r.promised
		return answer, true
	case m.kind == messagePrepare:
		if !r.promise(m) {
			return message{}, false
		}
		answer.kind, answer.reported, answer.state = messagePromise, r.acceptedNumber, r.acceptedState
		return answer, true
	default:
		answer.kind = messageAccepted
		return answer, r.accept(m)
	}
}

// promise stores the promise for a prepare request and reports whether it is on disk.
func (r *Register) promise(m message) bool {
	if m.number == r.promised {
		return true
	}
	if !r.save(encodePromise(m.slot, m.number)) {
		return false
	}
	r.promised = m.number
	return true
}

// accept stores the proposal of an accept request and reports whether it is on disk.
func (r *Register) accept(m message) bool {
	if m.state.Slot != m.slot {
		return false
	}
	if m.number == r.acceptedNumber {
		return true
	}
	if !r.save(encodeAccepted(m.number, m.state)) {
		return false
	}
	r.promised, r.acceptedNumber, r.acceptedState = m.number, m.number, m.state
	return true
}
