package reconfigure

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what the package promises, one at a time. The tests have to find each of them.
var wrong = []mutation.Line{
	{"nobody is removed", "rules.go", "	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {", "	if true {"},
	{"a leaver below the least removes itself", "rules.go", "	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {", "	if !s.quorumReachableWithout(voter.ID, 0) {"},
	{"a removal after which no majority is reachable", "rules.go", "	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {", "	if len(s.Voters)-1 < s.minVoters() {"},
	{"a candidate counts before it has caught up", "situation.go", "&& keeper.CaughtUp && !keeper.Leaving {", "&& !keeper.Leaving {"},
	{"a candidate that leaves", "situation.go", "&& keeper.CaughtUp && !keeper.Leaving {", "&& keeper.CaughtUp {"},
	{"a candidate without a disk", "situation.go", "if keeper.ID != 0 && !s.isVoter(keeper.ID)", "if !s.isVoter(keeper.ID)"},
	{"one is added while another is unreachable", "rules.go", "	unreachable := slices.ContainsFunc(s.Voters, func(v Voter) bool { return !v.Reachable })\n", "	unreachable := false\n"},
	{"more voters than the maximum", "rules.go", " || len(s.Voters) >= s.MaxVoters {", " {"},
	{"nobody is added", "rules.go", "{moved, diskLost, leaving, unresponsive, expansion}", "{moved, diskLost, leaving, unresponsive}"},
	{"no unresponsive voter is replaced", "rules.go", "{moved, diskLost, leaving, unresponsive, expansion}", "{moved, diskLost, leaving, expansion}"},
	{"unresponsive at once", "rules.go", "voter.Reachable || voter.UnreachableFor < s.UnresponsiveTimeout {", "voter.Reachable {"},
	{"a reachable voter is replaced", "rules.go", "voter.Reachable || voter.UnreachableFor < s.UnresponsiveTimeout {", "voter.UnreachableFor < s.UnresponsiveTimeout && !voter.Reachable {"},
	{"a seat is taken from a reachable voter", "rules.go", "		if voter.Reachable {\n			continue\n		}\n", ""},
	{"a leaver relies on one that has just started", "rules.go", "{s.remove, s.substitute}", "{s.substitute, s.remove}"},
	{"half is a majority", "../paxos/quorum.go", "return voters/2 + 1", "return (voters + 1) / 2"},
	{"the newest voters are not compared", "change.go", "	if !slices.Equal(current.Voters, decidedFor) {", "	if false {"},
	{"the report of one voter is enough", "observer.go", "unreachable: disconnected >= quorum}", "unreachable: disconnected > 0}"},
	{"reports of keepers that do not vote count", "observer.go", "func(v paxos.Voter) bool { return v.ID == report.Keeper.ID }) {", "func(v paxos.Voter) bool { return true }) {"},
	{"the time unreachable never starts anew", "observer.go", "	o.unreachableSince = unreachableSince\n", "	if o.unreachableSince == nil {\n		o.unreachableSince = unreachableSince\n	}\n"},
	{"the state before counts as caught up", "observer.go", "caughtUp := report.NextSlot > o.requiredSlot(state.Slot)\n", "caughtUp := report.NextSlot >= o.requiredSlot(state.Slot)\n"},
	{"only who has the very newest state counts as caught up", "observer.go", "	return o.knownSlots[0].slot\n", "	return newest\n"},
	{"a keeper that is far behind counts as caught up", "observer.go", ">= CatchUpLag {", ">= 10*CatchUpLag {"},
	{"a report from before a removal makes a candidate", "observer.go", "caughtUp = caughtUp && o.storedAsNonVoter(state, report)", "_ = o.storedAsNonVoter"},
	{"a removal between two observations is not noticed", "observer.go", "	if !observed {\n		since = state.Slot\n	}\n", "	_ = observed\n"},
	{"a keeper that was a voter meanwhile counts as a non-voter all the while", "observer.go", "		if state.HasVoter(id) {\n			continue\n		}\n", ""},
	{"two changes at once", "../paxos/voters.go", "	next := s.Clone()\n	next.Voters[i] = joiner\n", "	next := s.Clone()\n	next.Voters[i] = joiner\n	next.Voters = next.Voters[:max(1, len(next.Voters)-1)]\n"},
	{"a leaver ends before its removal is stored", "leave.go", "		return LeaveStepConfirm, Change{}", "		return LeaveStepEnd, Change{}"},
	{"a leaver does not wait for a candidate", "leave.go", "	if s.candidateExpected() {", "	if false {"},
	{"a leaver waits for one that leaves, too", "leave.go", "!keeper.CaughtUp && !keeper.Leaving {", "!keeper.CaughtUp {"},
}

// TestWrongLinesStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) { mutation.Check(t, wrong) }

// Each wrong line is found by the tests. This takes minutes, so it is asked for: RECONFIGURE_WRONG=1, or a part of a
// name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "RECONFIGURE_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-cpu", "2", "-run", "TestNext|TestApply|TestEvery|TestReachability|TestUnreachable|TestCaughtUp|TestRemoved|TestHistories|TestFenced"},
		Env: []string{"RECONFIGURE_WRONG=", "RECONFIGURE_HISTORIES=15"}, Within: 5 * time.Minute})
}
