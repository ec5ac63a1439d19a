package reconfigure

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants are changes that each break a guarantee of the package. The tests have to detect all of them.
var mutants = []mutation.Mutant{
	{
		Name: "no voter is removed",
		File: "rules.go",
		Old:  "	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {",
		New:  "	if true {",
	},
	{
		Name: "a leaver removes itself below the minimum number of voters",
		File: "rules.go",
		Old:  "	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {",
		New:  "	if !s.quorumReachableWithout(voter.ID, 0) {",
	},
	{
		Name: "a removal after which no majority is reachable",
		File: "rules.go",
		Old:  "	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {",
		New:  "	if len(s.Voters)-1 < s.minVoters() {",
	},
	{
		Name: "a candidate counts before it has caught up",
		File: "situation.go",
		Old:  "&& keeper.CaughtUp && !keeper.Leaving {",
		New:  "&& !keeper.Leaving {",
	},
	{
		Name: "a leaving keeper counts as a candidate",
		File: "situation.go",
		Old:  "&& keeper.CaughtUp && !keeper.Leaving {",
		New:  "&& keeper.CaughtUp {",
	},
	{
		Name: "a keeper without a disk counts as a candidate",
		File: "situation.go",
		Old:  "if keeper.ID != 0 && !s.isVoter(keeper.ID)",
		New:  "if !s.isVoter(keeper.ID)",
	},
	{
		Name: "a voter is added while another is unreachable",
		File: "rules.go",
		Old:  "	unreachable := slices.ContainsFunc(s.Voters, func(v Voter) bool { return !v.Reachable })\n",
		New:  "	unreachable := false\n",
	},
	{
		Name: "more voters than the maximum",
		File: "rules.go",
		Old:  " || len(s.Voters) >= s.MaxVoters {",
		New:  " {",
	},
	{
		Name: "no voter is added",
		File: "rules.go",
		Old:  "{moved, diskLost, leaving, unresponsive, expansion}",
		New:  "{moved, diskLost, leaving, unresponsive}",
	},
	{
		Name: "no unresponsive voter is replaced",
		File: "rules.go",
		Old:  "{moved, diskLost, leaving, unresponsive, expansion}",
		New:  "{moved, diskLost, leaving, expansion}",
	},
	{
		Name: "unresponsive at once",
		File: "rules.go",
		Old:  "voter.Reachable || voter.UnreachableFor < s.UnresponsiveTimeout {",
		New:  "voter.Reachable {",
	},
	{
		Name: "a reachable voter is replaced",
		File: "rules.go",
		Old:  "voter.Reachable || voter.UnreachableFor < s.UnresponsiveTimeout {",
		New:  "voter.UnreachableFor < s.UnresponsiveTimeout && !voter.Reachable {",
	},
	{
		Name: "a reachable voter is replaced as one with a lost disk",
		File: "rules.go",
		Old:  "		if voter.Reachable {\n			continue\n		}\n",
		New:  "",
	},
	{
		Name: "a leaver prefers a candidate that has just started to its removal",
		File: "rules.go",
		Old:  "s.remove, s.substitute)",
		New:  "s.substitute, s.remove)",
	},
	{
		Name: "half is a majority",
		File: "../paxos/quorum.go",
		Old:  "return voters/2 + 1",
		New:  "return (voters + 1) / 2",
	},
	{
		Name: "a change is applied to other voters than decided for",
		File: "change.go",
		Old:  "	if !slices.Equal(current.Voters, decidedFor) {",
		New:  "	if false && !slices.Equal(current.Voters, decidedFor) {",
	},
	{
		Name: "the report of one voter is enough",
		File: "observer.go",
		Old:  "unreachable: disconnected >= quorum}",
		New:  "unreachable: disconnected > 0}",
	},
	{
		Name: "reports of keepers that do not vote count",
		File: "observer.go",
		Old:  "func(v paxos.Voter) bool { return v.ID == report.Keeper.ID }) {",
		New:  "func(v paxos.Voter) bool { return true }) {",
	},
	{
		Name: "the unreachable time never restarts",
		File: "observer.go",
		Old:  "	o.unreachableSince = unreachableSince\n",
		New:  "	if o.unreachableSince == nil {\n		o.unreachableSince = unreachableSince\n	}\n",
	},
	{
		Name: "a keeper one slot behind the required one counts as caught up",
		File: "observer.go",
		Old:  "caughtUp := report.NextSlot > o.requiredSlot(state.Slot)\n",
		New:  "caughtUp := report.NextSlot >= o.requiredSlot(state.Slot)\n",
	},
	{
		Name: "only a keeper with the newest state counts as caught up",
		File: "observer.go",
		Old:  "	return o.knownSlots[0].slot\n",
		New:  "	return newest\n",
	},
	{
		Name: "a keeper that is far behind counts as caught up",
		File: "observer.go",
		Old:  ">= CatchUpLag {",
		New:  ">= 10*CatchUpLag {",
	},
	{
		Name: "a report from before a removal makes a candidate",
		File: "observer.go",
		Old:  "caughtUp = caughtUp && o.storedAsNonVoter(state, report)",
		New:  "_ = o.storedAsNonVoter",
	},
	{
		Name: "a removal between two observations is not noticed",
		File: "observer.go",
		Old:  "	if !observed {\n		since = state.Slot\n	}\n",
		New:  "	_ = observed\n",
	},
	{
		Name: "a keeper that was a voter in between counts as a continuous non-voter",
		File: "observer.go",
		Old:  "		if state.HasVoter(id) {\n			continue\n		}\n",
		New:  "",
	},
	{
		Name: "two changes at once",
		File: "../paxos/voters.go",
		Old:  "	next := s.Clone()\n	next.Voters[i] = joiner\n",
		New:  "	next := s.Clone()\n	next.Voters[i] = joiner\n	next.Voters = next.Voters[:max(1, len(next.Voters)-1)]\n",
	},
	{
		Name: "a leaver ends before its removal is stored",
		File: "leave.go",
		Old:  "		return LeaveStepConfirm, Change{}",
		New:  "		return LeaveStepEnd, Change{}",
	},
	{
		Name: "a leaver does not wait for a candidate",
		File: "leave.go",
		Old:  "	if s.candidateExpected() {",
		New:  "	if false {",
	},
	{
		Name: "a leaver waits for a keeper that is leaving, too",
		File: "leave.go",
		Old:  "!keeper.CaughtUp && !keeper.Leaving {",
		New:  "!keeper.CaughtUp {",
	},
}

// TestMutantsStand fails if the old text of a mutant does not occur exactly once in its file.
func TestMutantsStand(t *testing.T) { mutation.CheckPresent(t, mutants) }

// TestMutantsAreFound runs the tests over each mutant. That takes minutes, so it has to be requested:
// RECONFIGURE_MUTANTS=1 runs all mutants, another value those whose name contains it.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "RECONFIGURE_MUTANTS")
	tests := "TestNext|TestApply|TestEvery|TestReachability|TestUnreachable|TestCaughtUp|TestRemoved|TestHistories|TestFenced"
	mutation.Find(t, mutants, mutation.Options{
		Only:   only,
		Args:   []string{"-cpu", "2", "-run", tests},
		Env:    []string{"RECONFIGURE_MUTANTS=", "RECONFIGURE_HISTORIES=15"},
		Within: 5 * time.Minute,
	})
}
