package paxos

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what the page promises, one at a time. The tests have to find each of them.
var wrong = []mutation.Line{
	{"a promise is not saved", "agree.go", "if !r.save(promisePayload(m.slot, m.ballot)) {", "if false {"},
	{"what is accepted is not saved", "agree.go", "if !r.save(acceptedPayload(m.ballot, m.state)) {", "if false {"},
	{"what is decided is not saved", "agree.go", "	if r.save(r.toStore) {", "	if true {"},
	{"a vote after a Save that failed", "agree.go", "	r.unsaved, r.failed = nil, err\n	return err == nil", "	r.unsaved = nil\n	return true"},
	{"a promise is broken by an accept", "agree.go", "case m.ballot.less(r.promised):", "case m.kind == prepare && m.ballot.less(r.promised):"},
	{"a promise is broken by a prepare", "agree.go", "case m.ballot.less(r.promised):", "case m.kind == accept && m.ballot.less(r.promised):"},
	{"a promise does not tell what was accepted", "agree.go", "out.kind, out.other, out.state = promise, r.accepted, r.proposal", "out.kind = promise"},
	{"what was accepted is forgotten at a restart", "agree.go", "			r.accepted, r.proposal = b2, s\n", "			_ = s\n"},
	{"promises are forgotten at a restart", "agree.go", "		r.promised = b2\n		if kind", "		if kind"},
	{"a promise for one slot stands for the next", "agree.go", "	r.known, r.state = true, s\n	r.promised, r.accepted, r.proposal = ballot{}, ballot{}, State{}\n", "	r.known, r.state = true, s\n"},
	{"a voter that is not one votes", "agree.go", "case !r.stored, !r.state.Has(r.o.ID):", "case !r.stored:"},
	{"a voter votes on a slot whose voters it does not know", "agree.go", "case !r.known || r.state.Slot+1 < m.slot:", "case !r.known:"},
	{"a proposer counts who is no voter", "proposer.go", "|| !r.state.Has(m.id) ||", "||"},
	{"half is a majority", "proposer.go", "return len(r.state.Voters)/2 + 1", "return (len(r.state.Voters) + 1) / 2"},
	{"the oldest of what was accepted", "proposer.go", "		if r.best.less(m.other) {\n			r.best, r.value", "		if m.other != (ballot{}) && (r.best == ballot{} || m.other.less(r.best)) {\n			r.best, r.value"},
	{"what was accepted is not finished first", "proposer.go", "		if r.best == (ballot{}) && !r.choose() {", "		if (r.best == ballot{} || !r.op.read) && !r.choose() {"},
	{"a ballot is used twice", "proposer.go", "	r.round++\n	r.slot", "	r.slot"},
	{"late answers count", "proposer.go", "m.slot != r.slot || m.ballot != r.ballot ||", "m.slot != r.slot ||"},
	{"answers to prepare count for accept", "proposer.go", "case m.kind == accepted && r.phase == accepting:", "case (m.kind == accepted || m.kind == promise) && r.phase == accepting:"},
	{"a read of what is known here", "proposer.go", "case r.op.read && r.op.tries == 0:", "case r.op.read && r.op.tries == 0 && r.known && r.o.ID != 0:\n\t\tr.finish(r.state, nil)\n\tcase r.op.read && r.op.tries == 0:"},
	{"a read does not look at what is accepted", "proposer.go", "case r.phase == querying && r.best == ballot{}, ", "case r.phase == querying, "},
	{"an operation is applied again", "proposer.go", "		case by != mark{r.o.Proposer, op.number}:", "		case by != mark{}:"},
	{"another value for the same slot", "proposer.go", "	if !op.proposed {\n		asked", "	if true {\n		asked"},
	{"refused though it may be in force", "proposer.go", "	case op.proposed:\n		return ErrTimeout", "	case false:\n		return ErrTimeout"},
	{"what lost its slot is answered for", "proposer.go", "			op.proposed, op.next = false, State{}\n", "			r.finish(op.next, nil)\n			return\n"},
	{"done before the new voters have it", "proposer.go", "case r.state.Slot > op.next.Slot || !op.moved:", "case true:"},
	{"nobody says what he knows", "agree.go", "	for _, v := range others {\n		r.sendHave(v)\n	}\n", "	_ = others\n"},
	{"a snapshot without the promise", "agree.go", "	if r.promised != r.accepted {\n", "	if false {\n"},
	{"a snapshot without what is accepted", "agree.go", "	if r.accepted != (ballot{}) {\n		out", "	if false {\n		out"},
	{"a full disk counts as saved", "agree.go", "r.unsaved, r.saveAt = err, r.now+saveRetry\n		return false", "r.unsaved, r.saveAt = err, r.now+saveRetry\n		return true"},
	{"a vote for a slot before the one before it is stored", "agree.go", "case !r.stored, !r.state.Has(r.o.ID):", "case !r.state.Has(r.o.ID):"},
	{"told to be held and not stored", "agree.go", "	if !r.stored {\n		id = 0\n	}\n", "	_ = id\n"},
	{"its own holder before it is stored", "agree.go", "	r.stored = false\n	if r.save(r.toStore) {", "	r.stored = false\n	r.holders[r.o.ID] = true\n	if r.save(r.toStore) {"},
	{"a short record for another state than was accepted", "agree.go", " && r.proposal.equal(s) {", " {"},
	{"a short record where nothing is accepted", "agree.go", "r.accepted != (ballot{}) && r.proposal.equal(s) {", "r.state.Has(r.o.ID) {"},
	{"a short record is not read", "agree.go", "		r.setState(r.proposal)\n		return nil\n", "		return nil\n"},
	{"a state that found no room is never stored", "agree.go", "		if r.storeDue() && r.now >= r.saveAt {\n			r.storeAgain()\n		}\n", ""},
	{"nothing is saved any more after a full disk", "agree.go", "	if r.failed != nil || r.now < r.saveAt {", "	if r.failed != nil || r.unsaved != nil {"},
	{"who is told has stored it", "proposer.go", "		if r.holders[v.ID] {\n			n++", "		if r.holders[v.ID] || v.ID != 0 {\n			n++"},
}

// TestWrongLinesStand has the list follow the code.
func TestWrongLinesStand(t *testing.T) { mutation.Check(t, wrong) }

// Each wrong line is found by the tests. This takes minutes and all cores, so it is asked for: AGREE_WRONG=1, or
// a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "AGREE_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-run", "TestChaos|TestLastFault|TestKilled|TestEveryOrder|TestStrangers|TestNoVoter|TestSnapshot"},
		Env: []string{"AGREE_WRONG=", "AGREE_SEEDS=5000"}, Within: 5 * time.Minute})
}
