package keeper

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// documentMutants would confirm two operators under one version, or reject a repeat. The models have to find each of
// them.
var documentMutants = []mutation.Mutant{
	{
		Name: "a repeat is judged by its number alone",
		File: "document.go",
		Old:  "slices.Contains(d.accepted, acceptedVersion{version, digest})",
		New:  "slices.ContainsFunc(d.accepted, func(a acceptedVersion) bool { return a.version == version })",
	},
	{
		Name: "a repeat is known only while it is the newest",
		File: "document.go",
		Old:  "accepted = accepted[max(0, len(accepted)-kind.maxRemembered):]",
		New:  "accepted = accepted[len(accepted)-1:]",
	},
	{
		Name: "the digest of an order is not kept",
		File: "document.go",
		Old:  "append(slices.Clone(d.accepted), acceptedVersion{request.version, digest})",
		New:  "append(slices.Clone(d.accepted), acceptedVersion{version: request.version})",
	},
	{
		Name: "digests are not read back",
		File: "document.go",
		Old:  "		d.accepted = append(d.accepted, a)\n",
		New:  "",
	},
	{
		Name: "the number is not compared",
		File: "document.go",
		Old:  "if request.version <= d.version {",
		New:  "if false {",
	},
	{
		Name: "a number may be taken twice",
		File: "document.go",
		Old:  "if request.version <= d.version {",
		New:  "if request.version < d.version {",
	},
	{
		Name: "the base is not compared",
		File: "document.go",
		Old:  "if request.base != d.version {",
		New:  "if false {",
	},
	{
		Name: "an older base will do",
		File: "document.go",
		Old:  "if request.base != d.version {",
		New:  "if request.base > d.version {",
	},
	{
		Name: "a forgotten version is refused",
		File: "document.go",
		Old:  "if d.mayHaveForgotten(request.version, kind.maxRemembered) {",
		New:  "if false {",
	},
	{
		Name: "a repeat of what is in force is refused",
		File: "document.go",
		Old:  "		if next == nil {\n			return current, paxos.ErrUnchanged",
		New:  "		if next == nil {\n			return current, ErrVersion.New(\"taken\")",
	},
	{
		Name: "an order in doubt is refused",
		File: "document.go",
		Old:  "case ErrVersion.Has(err):",
		New:  "case ErrVersion.Has(err), paxos.ErrOutcomeUnknown.Has(err):",
	},
	{
		Name: "an order that no majority heard of is refused",
		File: "document.go",
		Old:  "case ErrVersion.Has(err):",
		New:  "case ErrVersion.Has(err), paxos.ErrNoQuorum.Has(err):",
	},
	{
		Name: "an order in doubt is confirmed",
		File: "document.go",
		Old:  "case err == nil:",
		New:  "case err == nil, paxos.ErrOutcomeUnknown.Has(err):",
	},
	{
		Name: "an order that no majority heard of is confirmed",
		File: "document.go",
		Old:  "case err == nil:",
		New:  "case err == nil, paxos.ErrNoQuorum.Has(err):",
	},
	{
		Name: "200 from a minority",
		File: "../../consensus/paxos/quorum.go",
		Old:  "return voters/2 + 1",
		New:  "return (voters + 1) / 2",
	},
	{
		Name: "200 from one voter",
		File: "../../consensus/paxos/quorum.go",
		Old:  "return voters/2 + 1",
		New:  "return 1",
	},
	{
		Name: "an order is judged by an older state",
		File: "../../consensus/paxos/acceptor.go",
		Old:  "	case r.known && r.state.Slot >= m.slot:\n		r.sendState(from)\n		return\n	case !r.known",
		New:  "	case !r.known",
	},
	{
		Name: "an order is judged while another may be taken",
		File: "../../consensus/paxos/proposer.go",
		Old:  "if nothingAccepted && !r.makeProposal() {",
		New:  "if (nothingAccepted || !r.current.read) && !r.makeProposal() {",
	},
	{
		Name: "an order that lost its slot is confirmed",
		File: "../../consensus/paxos/proposer.go",
		Old:  "		op.proposed, op.proposal = false, State{}\n		r.startOperation()\n",
		New:  "		r.finishOperation(op.proposal, nil)\n",
	},
	{
		Name: "a read of what is known here",
		File: "../../consensus/paxos/proposer.go",
		Old:  "case r.current.read && r.current.attempts == 0:",
		New:  "case r.current.read && r.current.attempts == 0 && r.known && r.options.ID != 0:\n		r.finishOperation(r.state, nil)\n	case r.current.read && r.current.attempts == 0:",
	},
	{
		Name: "the value is not kept over a change of voters",
		File: "../../consensus/paxos/voters.go",
		Old:  "	next.Voters[i] = joiner\n",
		New:  "	next.Voters[i], next.Value = joiner, nil\n",
	},
	{
		Name: "what a voter accepted is not on its disk",
		File: "../../consensus/paxos/acceptor.go",
		Old:  "if !r.save(encodeAccepted(m.number, m.state)) {",
		New:  "if false {",
	},
}

// TestDocumentMutantsAreFound runs the models over each mutant, which takes minutes: ORDERS_MUTANTS is 1 or a part of a
// name.
func TestDocumentMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "ORDERS_MUTANTS")
	mutation.Find(t, documentMutants, mutation.Options{Only: only,
		Args: []string{"-run", "TestOperatorHistoriesAreLinearizable|TestEveryInterleavingOfSmallCases"},
		Env:  []string{"ORDERS_MUTANTS=", "ORDERS_SEEDS=10000"}, Within: 5 * time.Minute})
}
