package quorum

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what the package promises, one at a time. The model alone has to find each of them.
var wrong = []mutation.Line{
	{"contact counted from the answer", "tracker.go", "	until := startedAt + ContactTimeout\n", "	until := now + ContactTimeout\n"},
	{"contact not looked at again after a freeze", "tracker.go", "return t.advance(now) < t.until }", "return t.until != 0 && (t.latest < t.until || t.checking) }"},
	{"contact that never ends", "tracker.go", "return t.advance(now) < t.until }", "return t.until != 0 }"},
	{"serving without a majority after 3 s", "tracker.go", "return t.advance(now) < t.until }", "return t.advance(now) < t.until || now > 3*time.Second }"},
	{"a check that failed counts", "tracker.go", "	if !ok {\n		t.nextCheck", "	if !ok && t.until < 0 {\n		t.nextCheck"},
	{"the first push without a new read", "gate.go", "	return g.InContact(now) && g.confirmed[key]\n", "	return g.InContact(now)\n"},
	{"a read that failed counts for who has attached", "gate.go", "		case ok:\n", "		case ok || confirmed == ok:\n"},
	{"a read that had begun before counts", "barrier.go", "	keys := b.reading\n	b.reading, b.inProgress = nil, false\n", "	keys := append(b.reading, b.pending...)\n	b.reading, b.pending, b.inProgress = nil, nil, false\n"},
	{"acknowledged without contact", "tracker.go", "return t.advance(now) < t.until }", "return t.advance(now) >= 0 }"},
	{"time since the start by the time of day", "model_test.go", "return a.steady - b.steady }", "return a.wall - b.wall }"},
	{"a wiped disk is the voter that it was", "model_faults_test.go", "	k.id = k.model.nextIdentity()\n", ""},
	{"the value is not kept over a change of voters", "../paxos/voters.go", "	next.Voters[i] = joiner\n", "	next.Voters[i], next.Value = joiner, nil\n"},
	{"a majority of the first voters", "../paxos/quorum.go", "return voters/2 + 1", "return 2"},
	{"half of the voters", "../paxos/quorum.go", "return voters/2 + 1", "return (voters + 1) / 2"},
	{"asked for a state that has been followed", "../paxos/acceptor.go", "	case r.known && r.state.Slot >= m.slot:\n		r.sendState(from)\n		return\n", ""},
	{"pushed without contact", "gate.go", "	return g.InContact(now) && g.confirmed[key]\n", "	return g.confirmed[key]\n"},
}

// Each wrong line can still be put where it belongs.
func TestWrongLinesStand(t *testing.T) {
	mutation.Check(t, wrong)
}

// Each wrong line is found by the model. This takes a while, so it is asked for: CONTACT_WRONG=1, or a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "CONTACT_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-run", "^TestNothingIsServedWithoutAMajority$"},
		Env: []string{"CONTACT_WRONG=", "CONTACT_SEEDS=100"}, Within: 2 * time.Minute})
}
