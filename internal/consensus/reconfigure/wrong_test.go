package reconfigure

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what the package promises, one at a time. The tests have to find each of them.
var wrong = []mutation.Line{
	{"nobody is removed", "reconfigure.go", "	if len(s.Voters)-1 < s.leastVoters() || !s.decidesWithout(voter.ID, 0) {", "	if true {"},
	{"a leaver below the least removes itself", "reconfigure.go", "	if len(s.Voters)-1 < s.leastVoters() || !s.decidesWithout(voter.ID, 0) {", "	if !s.decidesWithout(voter.ID, 0) {"},
	{"a removal after which no majority is heard", "reconfigure.go", "	if len(s.Voters)-1 < s.leastVoters() || !s.decidesWithout(voter.ID, 0) {", "	if len(s.Voters)-1 < s.leastVoters() {"},
	{"a candidate counts before it has caught up", "reconfigure.go", "&& keeper.CaughtUp && !keeper.Leaving {", "&& !keeper.Leaving {"},
	{"a candidate that leaves", "reconfigure.go", "&& keeper.CaughtUp && !keeper.Leaving {", "&& keeper.CaughtUp {"},
	{"a candidate without a disk", "reconfigure.go", "if keeper.ID != 0 && !s.isVoter(keeper.ID)", "if !s.isVoter(keeper.ID)"},
	{"one is added while another is not heard", "reconfigure.go", "	unheard := slices.ContainsFunc(s.Voters, func(v Voter) bool { return !v.Heard })\n", "	unheard := false\n"},
	{"more than the most", "reconfigure.go", " || len(s.Voters) >= s.MostVoters {", " {"},
	{"nobody is added", "reconfigure.go", "{moved, diskLost, leaving, givenUp, expansion}", "{moved, diskLost, leaving, givenUp}"},
	{"nobody is given up", "reconfigure.go", "{moved, diskLost, leaving, givenUp, expansion}", "{moved, diskLost, leaving, expansion}"},
	{"given up at once", "reconfigure.go", "voter.Heard || voter.UnheardFor < s.GiveUpAfter {", "voter.Heard {"},
	{"a voter that is heard is given up", "reconfigure.go", "voter.Heard || voter.UnheardFor < s.GiveUpAfter {", "voter.UnheardFor < s.GiveUpAfter && !voter.Heard {"},
	{"a seat is taken from one that is heard", "reconfigure.go", "		if voter.Heard {\n			continue\n		}\n", ""},
	{"a leaver relies on one that has just started", "reconfigure.go", "{s.remove, s.substitute}", "{s.substitute, s.remove}"},
	{"half is a majority", "reconfigure.go", "return voters/2 + 1", "return (voters + 1) / 2"},
	{"the newest voters are not compared", "reconfigure.go", "	if !slices.Equal(current.Voters, decidedFor) {", "	if false {"},
	{"one voter's word is enough", "observer.go", "unheard: notHearing >= Majority(voters)}", "unheard: notHearing > 0}"},
	{"the word of keepers that do not vote", "observer.go", "func(v paxos.Voter) bool { return v.ID == report.Keeper.ID }) {", "func(v paxos.Voter) bool { return true }) {"},
	{"the time unheard never starts anew", "observer.go", "	o.unheardSince = unheardSince\n", "	if o.unheardSince == nil {\n		o.unheardSince = unheardSince\n	}\n"},
	{"the state before counts as caught up", "observer.go", "caughtUp := report.Stored > o.mustHave(state.Slot)\n", "caughtUp := report.Stored >= o.mustHave(state.Slot)\n"},
	{"only who has the very newest state counts as caught up", "observer.go", "	return o.slots[0].slot\n", "	return newest\n"},
	{"a keeper that is far behind counts as caught up", "observer.go", ">= CatchUpLag {", ">= 10*CatchUpLag {"},
	{"a report from before a removal makes a candidate", "observer.go", "caughtUp = caughtUp && o.knowsOfAbsence(state, report)", "_ = o.knowsOfAbsence"},
	{"a removal between two observations is not noticed", "observer.go", "	if !observed {\n		since = state.Slot\n	}\n", "	_ = observed\n"},
	{"a keeper that was a voter meanwhile counts as absent all the while", "observer.go", "		if state.Has(id) {\n			continue\n		}\n", ""},
	{"two changes at once", "../paxos/members.go", "	next := s.Clone()\n	next.Voters[i] = joiner\n", "	next := s.Clone()\n	next.Voters[i] = joiner\n	next.Voters = next.Voters[:max(1, len(next.Voters)-1)]\n"},
	{"a leaver ends before its removal is stored", "handover.go", "		return StepConfirm, Change{}", "		return StepEnd, Change{}"},
	{"a leaver does not wait for a candidate", "handover.go", "	if s.candidateExpected() {", "	if false {"},
	{"a leaver waits for one that leaves, too", "handover.go", "!keeper.CaughtUp && !keeper.Leaving {", "!keeper.CaughtUp {"},
}

// TestWrongLinesStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) { mutation.Check(t, wrong) }

// Each wrong line is found by the tests. This takes minutes, so it is asked for: RECONFIGURE_WRONG=1, or a part of a
// name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "RECONFIGURE_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-cpu", "2", "-run", "TestNext|TestHandOver|TestApply|TestEvery|TestContacts|TestUnheard|TestCaughtUp|TestRemoved|TestHistories|TestFenced"},
		Env: []string{"RECONFIGURE_WRONG=", "RECONFIGURE_HISTORIES=15"}, Within: 5 * time.Minute})
}
