package keeper

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// documentMutants would confirm the puts of two operators under one version, or reject a repeat. The models must detect
// each of them.
var documentMutants = []mutation.Mutant{
	{
		Name: "a repeat is recognized by its version alone",
		File: "document.go",
		Old:  "slices.Contains(d.accepted, acceptedVersion{version, digest})",
		New:  "slices.ContainsFunc(d.accepted, func(a acceptedVersion) bool { return a.version == version })",
	},
	{
		Name: "a repeat is recognized only while it is the newest",
		File: "document.go",
		Old:  "accepted = accepted[max(0, len(accepted)-kind.maxRemembered):]",
		New:  "accepted = accepted[len(accepted)-1:]",
	},
	{
		Name: "the digest of a put is not stored",
		File: "document.go",
		Old:  "append(slices.Clone(d.accepted), acceptedVersion{request.version, digest})",
		New:  "append(slices.Clone(d.accepted), acceptedVersion{version: request.version})",
	},
	{
		Name: "digests are not decoded",
		File: "document.go",
		Old:  "		d.accepted = append(d.accepted, a)\n",
		New:  "",
	},
	{
		Name: "the version is not compared",
		File: "document.go",
		Old:  "if request.version <= d.version {",
		New:  "if false {",
	},
	{
		Name: "a version may be accepted twice",
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
		Name: "an older base is accepted",
		File: "document.go",
		Old:  "if request.base != d.version {",
		New:  "if request.base > d.version {",
	},
	{
		Name: "a forgotten version is rejected",
		File: "document.go",
		Old:  "if d.mayHaveForgotten(request.version, kind.maxRemembered) {",
		New:  "if false {",
	},
	{
		Name: "a repeat of the document in force is rejected",
		File: "document.go",
		Old:  "		if next == nil {\n			return current, paxos.ErrUnchanged",
		New:  "		if next == nil {\n			return current, ErrVersion.New(\"taken\")",
	},
	{
		Name: "a put with unknown outcome is rejected",
		File: "document.go",
		Old:  "case ErrVersion.Has(err):",
		New:  "case ErrVersion.Has(err), paxos.ErrOutcomeUnknown.Has(err):",
	},
	{
		Name: "a put without a quorum is rejected",
		File: "document.go",
		Old:  "case ErrVersion.Has(err):",
		New:  "case ErrVersion.Has(err), paxos.ErrNoQuorum.Has(err):",
	},
	{
		Name: "a put with unknown outcome is confirmed",
		File: "document.go",
		Old:  "case err == nil:",
		New:  "case err == nil, paxos.ErrOutcomeUnknown.Has(err):",
	},
	{
		Name: "a put without a quorum is confirmed",
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
		Name: "a put is decided against an older state",
		File: "../../consensus/paxos/acceptor.go",
		Old:  "	case r.known && r.state.Slot >= m.slot:\n		r.sendState(from)\n		return\n	case !r.known",
		New:  "	case !r.known",
	},
	{
		Name: "a put is proposed while another may be accepted",
		File: "../../consensus/paxos/proposer.go",
		Old:  "if nothingAccepted && !r.makeProposal() {",
		New:  "if (nothingAccepted || !r.current.read) && !r.makeProposal() {",
	},
	{
		Name: "a put that lost its slot is confirmed",
		File: "../../consensus/paxos/proposer.go",
		Old:  "		op.proposed, op.proposal = false, State{}\n		r.startOperation()\n",
		New:  "		r.finishOperation(op.proposal, nil)\n",
	},
	{
		Name: "a read of the local state",
		File: "../../consensus/paxos/proposer.go",
		Old:  "case r.current.read && r.current.attempts == 0:",
		New:  "case r.current.read && r.current.attempts == 0 && r.known && r.options.ID != 0:\n		r.finishOperation(r.state, nil)\n	case r.current.read && r.current.attempts == 0:",
	},
	{
		Name: "a change of voters loses the value",
		File: "../../consensus/paxos/voters.go",
		Old:  "	next.Voters[i] = joiner\n",
		New:  "	next.Voters[i], next.Value = joiner, nil\n",
	},
	{
		Name: "a voter does not save what it accepts",
		File: "../../consensus/paxos/acceptor.go",
		Old:  "if !r.save(encodeAccepted(m.number, m.state)) {",
		New:  "if false {",
	},
}

// TestDocumentMutantsAreFound runs the models against each mutant, which takes minutes. ORDERS_MUTANTS enables it: 1,
// or part of a mutant's name.
func TestDocumentMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "ORDERS_MUTANTS")
	mutation.Find(t, documentMutants, mutation.Options{Only: only,
		Args: []string{"-run", "TestOperatorHistoriesAreLinearizable|TestEveryInterleavingOfSmallCases"},
		Env:  []string{"ORDERS_MUTANTS=", "ORDERS_SEEDS=10000"}, Within: 5 * time.Minute})
}
