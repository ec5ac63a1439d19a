package reconfigure

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants each break a guarantee of the package. The tests have to find each of them.
var mutants = []mutation.Mutant{
	{
		Name: "nobody is removed",
		File: "rules.go",
		Old:  "	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {",
		New:  "	if true {",
	},
	{
		Name: "a leaver below the least removes itself",
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
		Name: "a candidate that leaves",
		File: "situation.go",
		Old:  "&& keeper.CaughtUp && !keeper.Leaving {",
		New:  "&& keeper.CaughtUp {",
	},
	{
		Name: "a candidate without a disk",
		File: "situation.go",
		Old:  "if keeper.ID != 0 && !s.isVoter(keeper.ID)",
		New:  "if !s.isVoter(keeper.ID)",
	},
	{
		Name: "one is added while another is unreachable",
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
		Name: "nobody is added",
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
		Name: "a seat is taken from a reachable voter",
		File: "rules.go",
		Old:  "		if voter.Reachable {\n			continue\n		}\n",
		New:  "",
	},
	{
		Name: "a leaver relies on one that has just started",
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
		Name: "the newest voters are not compared",
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
		Name: "the time unreachable never starts anew",
		File: "observer.go",
		Old:  "	o.unreachableSince = unreachableSince\n",
		New:  "	if o.unreachableSince == nil {\n		o.unreachableSince = unreachableSince\n	}\n",
	},
	{
		Name: "the state before counts as caught up",
		File: "observer.go",
		Old:  "caughtUp := report.NextSlot > o.requiredSlot(state.Slot)\n",
		New:  "caughtUp := report.NextSlot >= o.requiredSlot(state.Slot)\n",
	},
	{
		Name: "only who has the very newest state counts as caught up",
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
		Name: "a keeper that was a voter meanwhile counts as a non-voter all the while",
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
		Name: "a leaver waits for one that leaves, too",
		File: "leave.go",
		Old:  "!keeper.CaughtUp && !keeper.Leaving {",
		New:  "!keeper.CaughtUp {",
	},
}

// TestMutantsStand fails when the text of a mutant is not found once in the file that it names.
func TestMutantsStand(t *testing.T) { mutation.CheckPresent(t, mutants) }

// TestMutantsAreFound runs the tests over each mutant. That takes minutes, so it has to be requested:
// RECONFIGURE_MUTANTS=1, or a part of a name.
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
