package paxos

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants are changes that each break a guarantee in docs/agreement.md. The tests have to detect all of them.
var mutants = []mutation.Mutant{
	{
		Name: "a promise is not saved",
		File: "acceptor.go",
		Old:  "if !r.save(encodePromise(m.slot, m.number)) {",
		New:  "if false {",
	},
	{
		Name: "an accepted proposal is not saved",
		File: "acceptor.go",
		Old:  "if !r.save(encodeAccepted(m.number, m.state)) {",
		New:  "if false {",
	},
	{
		Name: "a decided state is not saved",
		File: "storage.go",
		Old:  "	if r.save(r.pendingRecord) {",
		New:  "	if true {",
	},
	{
		Name: "a vote after a Save that failed",
		File: "storage.go",
		Old:  "	r.saveError, r.fatalError = nil, err\n	return err == nil",
		New:  "	r.saveError = nil\n	return true",
	},
	{
		Name: "a promise is broken by an accept",
		File: "acceptor.go",
		Old:  "case m.number.Less(r.promised):",
		New:  "case m.kind == messagePrepare && m.number.Less(r.promised):",
	},
	{
		Name: "a promise is broken by a prepare",
		File: "acceptor.go",
		Old:  "case m.number.Less(r.promised):",
		New:  "case m.kind == messageAccept && m.number.Less(r.promised):",
	},
	{
		Name: "a promise does not report the accepted proposal",
		File: "acceptor.go",
		Old:  "answer.kind, answer.reported, answer.state = messagePromise, r.acceptedNumber, r.acceptedState",
		New:  "answer.kind = messagePromise",
	},
	{
		Name: "the accepted proposal is lost at a restart",
		File: "storage.go",
		Old:  "		r.acceptedNumber, r.acceptedState = record.number, record.state\n",
		New:  "		_ = record.state\n",
	},
	{
		Name: "promises are lost at a restart",
		File: "storage.go",
		Old:  "	r.promised = record.number\n	if record",
		New:  "	if record",
	},
	{
		Name: "a promise for one slot is kept for the next",
		File: "learner.go",
		Old:  "	r.known, r.state = true, s\n	r.acceptor = acceptor{}\n",
		New:  "	r.known, r.state = true, s\n",
	},
	{
		Name: "a node that is not a voter votes",
		File: "acceptor.go",
		Old:  "case !r.stateStored, !r.state.HasVoter(r.options.ID):",
		New:  "case !r.stateStored:",
	},
	{
		Name: "a voter votes on a slot whose voters it does not know",
		File: "acceptor.go",
		Old:  "case !r.known || r.state.Slot+1 < m.slot:",
		New:  "case !r.known:",
	},
	{
		Name: "a proposer counts answers of non-voters",
		File: "proposer.go",
		Old:  " || !r.state.HasVoter(m.sender) {",
		New:  " {",
	},
	{
		Name: "half is a majority",
		File: "quorum.go",
		Old:  "return voters/2 + 1",
		New:  "return (voters + 1) / 2",
	},
	{
		Name: "the lowest accepted proposal is proposed",
		File: "proposer.go",
		Old:  "		if r.highestAccepted.Less(m.reported) {\n			r.highestAccepted, r.proposedState",
		New:  "		if !m.reported.IsZero() && (r.highestAccepted.IsZero() || m.reported.Less(r.highestAccepted)) {\n			r.highestAccepted, r.proposedState",
	},
	{
		Name: "an accepted proposal is not completed first",
		File: "proposer.go",
		Old:  "		if nothingAccepted && !r.makeProposal() {",
		New:  "		if (nothingAccepted || !r.current.read) && !r.makeProposal() {",
	},
	{
		Name: "a proposal number is used twice",
		File: "proposer.go",
		Old:  "	r.highestRound++\n	r.slot",
		New:  "	r.slot",
	},
	{
		Name: "late answers count",
		File: "proposer.go",
		Old:  "m.slot != r.slot || m.number != r.number ||",
		New:  "m.slot != r.slot ||",
	},
	{
		Name: "answers to prepare count for accept",
		File: "proposer.go",
		Old:  "case m.kind == messageAccepted && r.phase == phaseAccept:",
		New:  "case (m.kind == messageAccepted || m.kind == messagePromise) && r.phase == phaseAccept:",
	},
	{
		Name: "a read returns the locally known state",
		File: "proposer.go",
		Old:  "case r.current.read && r.current.attempts == 0:",
		New:  "case r.current.read && r.current.attempts == 0 && r.known && r.options.ID != 0:\n\t\tr.finishOperation(r.state, nil)\n\tcase r.current.read && r.current.attempts == 0:",
	},
	{
		Name: "a read ignores accepted proposals",
		File: "proposer.go",
		Old:  "		if nothingAccepted {\n			r.finish",
		New:  "		if nothingAccepted || r.current.read {\n			r.finish",
	},
	{
		Name: "an operation is applied again",
		File: "proposer.go",
		Old:  "	case decided != operationID{r.options.ProposerID, op.id}:",
		New:  "	case decided != operationID{}:",
	},
	{
		Name: "another value for the same slot",
		File: "proposer.go",
		Old:  "	if !op.proposed {\n		attempt",
		New:  "	if true {\n		attempt",
	},
	{
		Name: "an operation that may be decided ends as not written",
		File: "operation.go",
		Old:  "	case op.proposed:\n		return ErrOutcomeUnknown",
		New:  "	case false:\n		return ErrOutcomeUnknown",
	},
	{
		Name: "a proposal that lost its slot ends as decided",
		File: "proposer.go",
		Old:  "		op.proposed, op.proposal = false, State{}\n		r.startOperation()\n",
		New:  "		r.finishOperation(op.proposal, nil)\n",
	},
	{
		Name: "a change of voters ends before the new voters have stored it",
		File: "proposer.go",
		Old:  "case r.state.Slot > op.proposal.Slot || !op.changesVoters:",
		New:  "case true:",
	},
	{
		Name: "nodes do not announce the newest known slot",
		File: "learner.go",
		Old:  "	for _, voter := range others {\n		r.sendProgress(voter)\n	}\n",
		New:  "	_ = others\n",
	},
	{
		Name: "a snapshot without the promise",
		File: "storage.go",
		Old:  "	if r.promised != r.acceptedNumber {\n",
		New:  "	if false {\n",
	},
	{
		Name: "a snapshot without the accepted proposal",
		File: "storage.go",
		Old:  "	if !r.acceptedNumber.IsZero() {\n		records",
		New:  "	if false {\n		records",
	},
	{
		Name: "a full disk counts as saved",
		File: "storage.go",
		Old:  "r.saveError, r.saveNotBefore = err, r.now+saveRetryDelay\n		return false",
		New:  "r.saveError, r.saveNotBefore = err, r.now+saveRetryDelay\n		return true",
	},
	{
		Name: "a vote for a slot before the one before it is stored",
		File: "acceptor.go",
		Old:  "case !r.stateStored, !r.state.HasVoter(r.options.ID):",
		New:  "case !r.state.HasVoter(r.options.ID):",
	},
	{
		Name: "a state is reported as stored before it is",
		File: "learner.go",
		Old:  "	if !r.stateStored {\n		sender = 0\n	}\n",
		New:  "	_ = sender\n",
	},
	{
		Name: "a voter counts itself before it has stored the State",
		File: "storage.go",
		Old:  "	r.stateStored = false\n	if r.save(r.pendingRecord) {",
		New:  "	r.stateStored = false\n	r.storedBy[r.options.ID] = true\n	if r.save(r.pendingRecord) {",
	},
	{
		Name: "a short record for another state than the accepted one",
		File: "storage.go",
		Old:  " && r.acceptedState.equal(s) {",
		New:  " {",
	},
	{
		Name: "a short record where nothing is accepted",
		File: "storage.go",
		Old:  "!r.acceptedNumber.IsZero() && r.acceptedState.equal(s) {",
		New:  "r.state.HasVoter(r.options.ID) {",
	},
	{
		Name: "a short record is ignored at load",
		File: "storage.go",
		Old:  "		r.installState(r.acceptedState)\n		return nil\n",
		New:  "		return nil\n",
	},
	{
		Name: "a state that was not saved on a full disk is never stored",
		File: "register.go",
		Old:  "		if r.storeDue() && r.now >= r.saveNotBefore {\n			r.retryStore()\n		}\n",
		New:  "",
	},
	{
		Name: "nothing is saved any more after a full disk",
		File: "storage.go",
		Old:  "	if r.fatalError != nil || r.now < r.saveNotBefore {",
		New:  "	if r.fatalError != nil || r.saveError != nil {",
	},
	{
		Name: "a learner that was notified counts as having stored it",
		File: "proposer.go",
		Old:  "		if r.storedBy[voter.ID] {\n			stored++",
		New:  "		if r.storedBy[voter.ID] || voter.ID != 0 {\n			stored++",
	},
}

// TestMutantsStand fails if the old text of a mutant does not occur exactly once in its file.
func TestMutantsStand(t *testing.T) { mutation.CheckPresent(t, mutants) }

// TestMutantsAreFound runs the tests over each mutant. That takes minutes and all cores, so it has to be requested:
// PAXOS_MUTANTS=1 runs all mutants, another value those whose name contains it.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "PAXOS_MUTANTS")
	tests := "TestChaos|TestLastFault|TestKilled|TestEveryOrder|TestAnswersOfNonVoters|TestNonVoters|TestSnapshot"
	mutation.Find(t, mutants, mutation.Options{
		Only:   only,
		Args:   []string{"-run", tests},
		Env:    []string{"PAXOS_MUTANTS=", "PAXOS_SEEDS=5000"},
		Within: 5 * time.Minute,
	})
}
