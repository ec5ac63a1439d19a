package batch

import (
	"flag"
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// The wrong lines would break what docs/batch.md promises, one at a time. The tests have to find each of them.

// wrongReplication are those that the lives of TestEachStep have to find, and TestUnsureIsNoPromise.
var wrongReplication = []mutation.Line{
	{"a copy follows a primary that has been replaced", "confirmation.go", "	if term >= known {\n", "	if term >= known || true {\n"},
	{"a copy acknowledges before its disk has it", "replication.go", "	c.afterSync(acknowledge)\n", "	acknowledge()\n"},
	{"a new primary goes on with what it has itself", "takeover.go", "if replica.position.after(bestPosition) {", "if replica.position.after(bestPosition) && false {"},
	{"a new primary asks nobody", "takeover.go", "	need := len(primary.replicas) - c.maxLostReplicas\n", "	need := 1\n"},
	{"one disk is enough", "replication.go", "	need := c.maxLostReplicas + 1\n", "	need := 1\n"},
	{"a primary answers that may have been replaced", "confirmation.go", "return c.nowMs-primary.confirmedAt <= confirmationMs", "return true"},
	{"the owner of a quota forgets what it granted", "quotaowner.go", "	usage.grants = append(usage.grants, tokenGrant{request.number, request.tokens})\n", ""},
	{"a new owner of a quota does not count anew", "quotaowner.go", "len(missing) > 0 {\n		if c.nowMs-account.usageRequestedAt", "len(missing) > 1<<20 {\n		if c.nowMs-account.usageRequestedAt"},
	{"a position may be read before it is on enough disks", "reads.go", "	return j.readableResults\n", "	return len(j.results)\n"},
	{"what may have been kept is answered as if it had not", "calls.go", "		replyCode(caller, codeUnknown)\n", "		replyCode(caller, codeUnavailable)\n"},
	{"a segment goes with the jobs in it", "space.go", "if j := p.jobs[id]; j.hasBytesIn(oldest) && !c.rewriteJob(p, j) {", "if j := p.jobs[id]; false && !c.rewriteJob(p, j) {"},
}

// wrongMembers are those about stores that stop, retire, run full or start again, for which there are tests of their own.
var wrongMembers = []mutation.Line{
	{"a store that stops tells nobody", "draining.go", "known && c.table.Stopping[c.self] != c.stopping {", "known && c.table.Stopping[c.self] {"},
	{"a store that stops takes jobs", "calls.go", "	if c.stopping || err != nil {\n", "	if err != nil {\n"},
	{"a store ends before others lead", "draining.go", "	if !c.stopping || c.primaryCount() > 0 {\n", "	if !c.stopping {\n"},
	{"a store that stops may lead", "placement.go", "	case a.next.Stopping[id]:\n		return reluctanceStopping\n", ""},
	{"a store that is back stays marked", "draining.go", "c.table.Stopping[c.self] != c.stopping {", "!c.table.Stopping[c.self] && c.stopping {"},
	{"a retiring store still holds parts", "retirement.go", "if slices.Contains(row.Replicas, id) || slices.Contains(row.Joining, id) || len(row.Replicas) < f+1 {", "if len(row.Replicas) < f+1 {"},
	{"a group is switched before it has all", "replication.go", "if !primary.nextGroupReady && c.joinersUpToDate(primary) && next >= max(primary.committed, primary.startSequence) {", "if !primary.nextGroupReady {"},
	{"a wiped store of a retiring machine stays", "placement.go", "!known && machineRetiring(current, store) {", "!known && false {"},
	{"a segment goes with the claims in it", "space.go", "		if p.position.term > 0 {\n", "		if p.position.term > 1<<62 {\n"},
	{"a segment that was cut is used", "segments.go", "last.Size() < want {", "last.Size() < 0*want {"},
	{"a segment is begun before the last one is synced", "segments.go", "	if err := last.Sync(); err != nil {\n		return err\n	}\n", ""},
	{"a full copy is not asked", "calls.go", "	if !c.hasCapacity(len(encoded)) || primary.anyReplicaFull() {\n", "	if !c.hasCapacity(len(encoded)) {\n"},
	{"jobs are taken until the disk is full", "space.go", "	return needed <= c.logCapacity*maxLivePercent/100\n", "	return needed >= 0\n"},
}

var onlyWrong = flag.String("wrong", "1", "which wrong lines: a part of a name; 1 for all, nothing for none")

// TestWrongLinesStand fails when a line of the lists no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) {
	mutation.Check(t, wrongReplication)
	mutation.Check(t, wrongMembers)
}

// TestWrongLines: each mistake that is put in on purpose is found.
func TestWrongLines(t *testing.T) {
	if testing.Short() || *onlyWrong == "" {
		t.Skip("not asked for")
	}
	find := func(lines []mutation.Line, tests string) {
		mutation.Find(t, lines, mutation.Options{Only: *onlyWrong, Args: []string{"-run", tests, "-steps.every=37", "-wrong="},
			Within: 4 * time.Minute, Parallel: true})
	}
	find(wrongReplication, "TestEachStep|TestUnsure")
	find(wrongMembers, "TestHandOver|TestStopping|TestRetire|TestSegments|TestDamaged|TestFull|TestClaims")
}
