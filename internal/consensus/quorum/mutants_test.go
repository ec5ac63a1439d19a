package quorum

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants are changes that each break a guarantee of the package. The model alone has to detect all of them.
var mutants = []mutation.Mutant{
	{
		Name: "contact counted from the answer",
		File: "tracker.go",
		Old:  "	until := startedAt + ContactTimeout\n",
		New:  "	until := now + ContactTimeout\n",
	},
	{
		Name: "contact not checked again after a freeze",
		File: "tracker.go",
		Old:  "return t.advance(now) < t.until }",
		New:  "return t.until != 0 && (t.latest < t.until || t.checking) }",
	},
	{
		Name: "contact that never ends",
		File: "tracker.go",
		Old:  "return t.advance(now) < t.until }",
		New:  "return t.until != 0 }",
	},
	{
		Name: "serving without a majority after 3 s",
		File: "tracker.go",
		Old:  "return t.advance(now) < t.until }",
		New:  "return t.advance(now) < t.until || now > 3*time.Second }",
	},
	{
		Name: "a check that failed counts",
		File: "tracker.go",
		Old:  "	if !ok {\n		t.nextCheck",
		New:  "	if !ok && t.until < 0 {\n		t.nextCheck",
	},
	{
		Name: "the first push without a new read",
		File: "gate.go",
		Old:  "	return g.InContact(now) && g.confirmed[key]\n",
		New:  "	return g.InContact(now)\n",
	},
	{
		Name: "a failed read counts for attached processes",
		File: "gate.go",
		Old:  "		case ok:\n",
		New:  "		case ok || confirmed == ok:\n",
	},
	{
		Name: "a read that began before the process attached counts",
		File: "barrier.go",
		Old:  "	keys := b.reading\n	b.reading, b.inProgress = nil, false\n",
		New:  "	keys := append(b.reading, b.pending...)\n	b.reading, b.pending, b.inProgress = nil, nil, false\n",
	},
	{
		Name: "acknowledged without contact",
		File: "tracker.go",
		Old:  "return t.advance(now) < t.until }",
		New:  "return t.advance(now) >= 0 }",
	},
	{
		Name: "time since the start by the wall clock",
		File: "model_test.go",
		Old:  "return a.monotonic - b.monotonic }",
		New:  "return a.wall - b.wall }",
	},
	{
		Name: "a wiped disk keeps its voter ID",
		File: "model_faults_test.go",
		Old:  "	k.id = k.model.nextIdentity()\n",
		New:  "",
	},
	{
		Name: "a change of voters drops the value",
		File: "../paxos/voters.go",
		Old:  "	next.Voters[i] = joiner\n",
		New:  "	next.Voters[i], next.Value = joiner, nil\n",
	},
	{
		Name: "a majority of the first voters",
		File: "../paxos/quorum.go",
		Old:  "return voters/2 + 1",
		New:  "return 2",
	},
	{
		Name: "half of the voters",
		File: "../paxos/quorum.go",
		Old:  "return voters/2 + 1",
		New:  "return (voters + 1) / 2",
	},
	{
		Name: "requests for a decided slot are not answered with its state",
		File: "../paxos/acceptor.go",
		Old:  "	case r.known && r.state.Slot >= m.slot:\n		r.sendState(from)\n		return\n",
		New:  "",
	},
	{
		Name: "pushed without contact",
		File: "gate.go",
		Old:  "	return g.InContact(now) && g.confirmed[key]\n",
		New:  "	return g.confirmed[key]\n",
	},
}

// TestMutantsStand fails if the old text of a mutant does not occur exactly once in its file.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, mutants)
}

// TestMutantsAreFound runs the model over each mutant. That takes a while, so it has to be requested: QUORUM_MUTANTS=1
// runs all mutants, another value those whose name contains it.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "QUORUM_MUTANTS")
	mutation.Find(t, mutants, mutation.Options{
		Only:   only,
		Args:   []string{"-run", "^TestNothingIsServedWithoutAMajority$"},
		Env:    []string{"QUORUM_MUTANTS=", "QUORUM_SEEDS=100"},
		Within: 2 * time.Minute,
	})
}
