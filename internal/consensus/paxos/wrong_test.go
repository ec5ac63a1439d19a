package paxos

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what the page promises, one at a time. The tests have to find each of them.
var wrong = []mutation.Line{
	{"a promise is not saved", "acceptor.go", "if !r.save(encodePromise(m.slot, m.number)) {", "if false {"},
	{"what is accepted is not saved", "acceptor.go", "if !r.save(encodeAccepted(m.number, m.state)) {", "if false {"},
	{"what is decided is not saved", "storage.go", "	if r.save(r.pendingRecord) {", "	if true {"},
	{"a vote after a Save that failed", "storage.go", "	r.saveError, r.fatalError = nil, err\n	return err == nil", "	r.saveError = nil\n	return true"},
	{"a promise is broken by an accept", "acceptor.go", "case m.number.Less(r.promised):", "case m.kind == messagePrepare && m.number.Less(r.promised):"},
	{"a promise is broken by a prepare", "acceptor.go", "case m.number.Less(r.promised):", "case m.kind == messageAccept && m.number.Less(r.promised):"},
	{"a promise does not report what was accepted", "acceptor.go", "answer.kind, answer.reported, answer.state = messagePromise, r.acceptedNumber, r.acceptedState", "answer.kind = messagePromise"},
	{"what was accepted is forgotten at a restart", "storage.go", "		r.acceptedNumber, r.acceptedState = record.number, record.state\n", "		_ = record.state\n"},
	{"promises are forgotten at a restart", "storage.go", "	r.promised = record.number\n	if record", "	if record"},
	{"a promise for one slot stands for the next", "learner.go", "	r.known, r.state = true, s\n	r.acceptor = acceptor{}\n", "	r.known, r.state = true, s\n"},
	{"a node that is no voter votes", "acceptor.go", "case !r.stateStored, !r.state.HasVoter(r.options.ID):", "case !r.stateStored:"},
	{"a voter votes on a slot whose voters it does not know", "acceptor.go", "case !r.known || r.state.Slot+1 < m.slot:", "case !r.known:"},
	{"a proposer counts who is no voter", "proposer.go", " || !r.state.HasVoter(m.sender) {", " {"},
	{"half is a majority", "quorum.go", "return voters/2 + 1", "return (voters + 1) / 2"},
	{"the lowest proposal that was accepted", "proposer.go", "		if r.highestAccepted.Less(m.reported) {\n			r.highestAccepted, r.proposedState", "		if !m.reported.IsZero() && (r.highestAccepted.IsZero() || m.reported.Less(r.highestAccepted)) {\n			r.highestAccepted, r.proposedState"},
	{"what was accepted is not finished first", "proposer.go", "		if nothingAccepted && !r.makeProposal() {", "		if (nothingAccepted || !r.current.read) && !r.makeProposal() {"},
	{"a proposal number is used twice", "proposer.go", "	r.highestRound++\n	r.slot", "	r.slot"},
	{"late answers count", "proposer.go", "m.slot != r.slot || m.number != r.number ||", "m.slot != r.slot ||"},
	{"answers to prepare count for accept", "proposer.go", "case m.kind == messageAccepted && r.phase == phaseAccept:", "case (m.kind == messageAccepted || m.kind == messagePromise) && r.phase == phaseAccept:"},
	{"a read of what is known here", "proposer.go", "case r.current.read && r.current.attempts == 0:", "case r.current.read && r.current.attempts == 0 && r.known && r.options.ID != 0:\n\t\tr.finishOperation(r.state, nil)\n\tcase r.current.read && r.current.attempts == 0:"},
	{"a read does not look at what is accepted", "proposer.go", "		if nothingAccepted {\n			r.finish", "		if nothingAccepted || r.current.read {\n			r.finish"},
	{"an operation is applied again", "proposer.go", "	case decided != operationID{r.options.ProposerID, op.id}:", "	case decided != operationID{}:"},
	{"another value for the same slot", "proposer.go", "	if !op.proposed {\n		attempt", "	if true {\n		attempt"},
	{"refused though it may be in force", "operation.go", "	case op.proposed:\n		return ErrOutcomeUnknown", "	case false:\n		return ErrOutcomeUnknown"},
	{"what lost its slot is answered for", "proposer.go", "		op.proposed, op.proposal = false, State{}\n		r.startOperation()\n", "		r.finishOperation(op.proposal, nil)\n"},
	{"done before the new voters have it", "proposer.go", "case r.state.Slot > op.proposal.Slot || !op.changesVoters:", "case true:"},
	{"nobody announces what it knows", "learner.go", "	for _, voter := range others {\n		r.sendProgress(voter)\n	}\n", "	_ = others\n"},
	{"a snapshot without the promise", "storage.go", "	if r.promised != r.acceptedNumber {\n", "	if false {\n"},
	{"a snapshot without what is accepted", "storage.go", "	if !r.acceptedNumber.IsZero() {\n		records", "	if false {\n		records"},
	{"a full disk counts as saved", "storage.go", "r.saveError, r.saveNotBefore = err, r.now+saveRetryDelay\n		return false", "r.saveError, r.saveNotBefore = err, r.now+saveRetryDelay\n		return true"},
	{"a vote for a slot before the one before it is stored", "acceptor.go", "case !r.stateStored, !r.state.HasVoter(r.options.ID):", "case !r.state.HasVoter(r.options.ID):"},
	{"reported as stored and not stored", "learner.go", "	if !r.stateStored {\n		sender = 0\n	}\n", "	_ = sender\n"},
	{"it counts itself before the State is stored", "storage.go", "	r.stateStored = false\n	if r.save(r.pendingRecord) {", "	r.stateStored = false\n	r.storedBy[r.options.ID] = true\n	if r.save(r.pendingRecord) {"},
	{"a short record for another state than was accepted", "storage.go", " && r.acceptedState.equal(s) {", " {"},
	{"a short record where nothing is accepted", "storage.go", "!r.acceptedNumber.IsZero() && r.acceptedState.equal(s) {", "r.state.HasVoter(r.options.ID) {"},
	{"a short record is not read", "storage.go", "		r.installState(r.acceptedState)\n		return nil\n", "		return nil\n"},
	{"a state that found no space is never stored", "register.go", "		if r.storeDue() && r.now >= r.saveNotBefore {\n			r.retryStore()\n		}\n", ""},
	{"nothing is saved any more after a full disk", "storage.go", "	if r.fatalError != nil || r.now < r.saveNotBefore {", "	if r.fatalError != nil || r.saveError != nil {"},
	{"a learner that was notified counts as having stored it", "proposer.go", "		if r.storedBy[voter.ID] {\n			stored++", "		if r.storedBy[voter.ID] || voter.ID != 0 {\n			stored++"},
}

// TestWrongLinesStand has the list follow the code.
func TestWrongLinesStand(t *testing.T) { mutation.Check(t, wrong) }

// Each wrong line is found by the tests. This takes minutes and all cores, so it is asked for: AGREE_WRONG=1, or
// a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "AGREE_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-run", "TestChaos|TestLastFault|TestKilled|TestEveryOrder|TestAnswersOfNonVoters|TestNonVoters|TestSnapshot"},
		Env: []string{"AGREE_WRONG=", "AGREE_SEEDS=5000"}, Within: 5 * time.Minute})
}
