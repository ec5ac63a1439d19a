package keeper

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// documentMutants are lines that would have two operators confirmed under one number, or a repeat refused, one at a time. The
// model has to find each of them.
var documentMutants = []mutation.Line{
	{"a repeat is judged by its number alone", "document.go", "slices.Contains(d.accepted, acceptedVersion{version, digest})",
		"slices.ContainsFunc(d.accepted, func(a acceptedVersion) bool { return a.version == version })"},
	{"a repeat is known only while it is the newest", "document.go", "accepted = accepted[max(0, len(accepted)-kind.maxRemembered):]", "accepted = accepted[len(accepted)-1:]"},
	{"the digest of an order is not kept", "document.go", "append(slices.Clone(d.accepted), acceptedVersion{request.version, digest})", "append(slices.Clone(d.accepted), acceptedVersion{version: request.version})"},
	{"digests are not read back", "document.go", "		d.accepted = append(d.accepted, a)\n", ""},
	{"the number is not compared", "document.go", "if request.version <= d.version {", "if false {"},
	{"a number may be taken twice", "document.go", "if request.version <= d.version {", "if request.version < d.version {"},
	{"the base is not compared", "document.go", "if request.base != d.version {", "if false {"},
	{"an older base will do", "document.go", "if request.base != d.version {", "if request.base > d.version {"},
	{"a forgotten version is refused", "document.go", "if d.mayHaveForgotten(request.version, kind.maxRemembered) {", "if false {"},
	{"a repeat of what is in force is refused", "document.go", "		if next == nil {\n			return current, paxos.ErrUnchanged", "		if next == nil {\n			return current, ErrVersion.New(\"taken\")"},
	{"an order in doubt is refused", "document.go", "case ErrVersion.Has(err):", "case ErrVersion.Has(err), paxos.ErrOutcomeUnknown.Has(err):"},
	{"an order that no majority heard of is refused", "document.go", "case ErrVersion.Has(err):", "case ErrVersion.Has(err), paxos.ErrNoQuorum.Has(err):"},
	{"an order in doubt is confirmed", "document.go", "case err == nil:", "case err == nil, paxos.ErrOutcomeUnknown.Has(err):"},
	{"an order that no majority heard of is confirmed", "document.go", "case err == nil:", "case err == nil, paxos.ErrNoQuorum.Has(err):"},
	{"200 from a minority", "../../consensus/paxos/quorum.go", "return voters/2 + 1", "return (voters + 1) / 2"},
	{"200 from one voter", "../../consensus/paxos/quorum.go", "return voters/2 + 1", "return 1"},
	{"an order is judged by an older state", "../../consensus/paxos/acceptor.go", "	case r.known && r.state.Slot >= m.slot:\n		r.sendState(from)\n		return\n	case !r.known", "	case !r.known"},
	{"an order is judged while another may be taken", "../../consensus/paxos/proposer.go", "if nothingAccepted && !r.makeProposal() {", "if (nothingAccepted || !r.current.read) && !r.makeProposal() {"},
	{"an order that lost its slot is confirmed", "../../consensus/paxos/proposer.go", "		op.proposed, op.proposal = false, State{}\n		r.startOperation()\n", "		r.finishOperation(op.proposal, nil)\n"},
	{"a read of what is known here", "../../consensus/paxos/proposer.go", "case r.current.read && r.current.attempts == 0:", "case r.current.read && r.current.attempts == 0 && r.known && r.options.ID != 0:\n		r.finishOperation(r.state, nil)\n	case r.current.read && r.current.attempts == 0:"},
	{"the value is not kept over a change of voters", "../../consensus/paxos/voters.go", "	next.Voters[i] = joiner\n", "	next.Voters[i], next.Value = joiner, nil\n"},
	{"what a voter accepted is not on its disk", "../../consensus/paxos/acceptor.go", "if !r.save(encodeAccepted(m.number, m.state)) {", "if false {"},
}

// TestDocumentMutantsAreFound runs the models over each mutant, which takes minutes: ORDERS_WRONG is 1 or a part of a
// name.
func TestDocumentMutantsAreFound(t *testing.T) {
	only := mutation.Asked(t, "ORDERS_WRONG")
	mutation.Find(t, documentMutants, mutation.Options{Only: only,
		Args: []string{"-run", "TestOperatorHistoriesAreLinearizable|TestEveryInterleavingOfSmallCases"},
		Env:  []string{"ORDERS_WRONG=", "ORDERS_SEEDS=10000"}, Within: 5 * time.Minute})
}
