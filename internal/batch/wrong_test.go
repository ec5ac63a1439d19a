package batch

import (
	"flag"
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// The wrong lines would break what docs/batch.md promises, one at a time. The tests have to find each of them.

// wrongReplication are those that the lives of TestEachStep have to find, and TestUnsureIsNoPromise.
var wrongReplication = []mutation.Mutant{
	{
		Name: "a copy follows a primary that has been replaced",
		File: "confirmation.go",
		Old:  "	if term >= known {\n",
		New:  "	if term >= known || true {\n",
	},
	{
		Name: "a copy acknowledges before its disk has it",
		File: "replication.go",
		Old:  "	c.afterSync(acknowledge)\n",
		New:  "	acknowledge()\n",
	},
	{
		Name: "a new primary goes on with what it has itself",
		File: "takeover.go",
		Old:  "if replica.position.after(bestPosition) {",
		New:  "if replica.position.after(bestPosition) && false {",
	},
	{
		Name: "a new primary asks nobody",
		File: "takeover.go",
		Old:  "	need := len(primary.replicas) - c.maxLostReplicas\n",
		New:  "	need := 1\n",
	},
	{
		Name: "one disk is enough",
		File: "replication.go",
		Old:  "	need := c.maxLostReplicas + 1\n",
		New:  "	need := 1\n",
	},
	{
		Name: "a primary answers that may have been replaced",
		File: "confirmation.go",
		Old:  "return c.nowMs-primary.confirmedAt <= confirmationMs",
		New:  "return true",
	},
	{
		Name: "the owner of a quota forgets what it granted",
		File: "quotaowner.go",
		Old:  "	usage.grants = append(usage.grants, tokenGrant{request.number, request.tokens})\n",
		New:  "",
	},
	{
		Name: "a new owner of a quota does not count anew",
		File: "quotaowner.go",
		Old:  "len(missing) > 0 {\n		if c.nowMs-account.usageRequestedAt",
		New:  "len(missing) > 1<<20 {\n		if c.nowMs-account.usageRequestedAt",
	},
	{
		Name: "a position may be read before it is on enough disks",
		File: "reads.go",
		Old:  "	return j.readableResults\n",
		New:  "	return len(j.results)\n",
	},
	{
		Name: "what may have been kept is answered as if it had not",
		File: "calls.go",
		Old:  "		replyCode(caller, codeUnknown)\n",
		New:  "		replyCode(caller, codeUnavailable)\n",
	},
	{
		Name: "a segment goes with the jobs in it",
		File: "space.go",
		Old:  "if j := p.jobs[id]; j.hasBytesIn(oldest) && !c.rewriteJob(p, j) {",
		New:  "if j := p.jobs[id]; false && !c.rewriteJob(p, j) {",
	},
}

// wrongMembers are those about stores that stop, retire, run full or start again, for which there are tests of their own.
var wrongMembers = []mutation.Mutant{
	{
		Name: "a store that stops tells nobody",
		File: "draining.go",
		Old:  "known && c.table.Stopping[c.self] != c.stopping {",
		New:  "known && c.table.Stopping[c.self] {",
	},
	{
		Name: "a store that stops takes jobs",
		File: "calls.go",
		Old:  "	if c.stopping || err != nil {\n",
		New:  "	if err != nil {\n",
	},
	{
		Name: "a store ends before others lead",
		File: "draining.go",
		Old:  "	if !c.stopping || c.primaryCount() > 0 {\n",
		New:  "	if !c.stopping {\n",
	},
	{
		Name: "a store that stops may lead",
		File: "placement.go",
		Old:  "	case a.next.Stopping[id]:\n		return reluctanceStopping\n",
		New:  "",
	},
	{
		Name: "a store that is back stays marked",
		File: "draining.go",
		Old:  "c.table.Stopping[c.self] != c.stopping {",
		New:  "!c.table.Stopping[c.self] && c.stopping {",
	},
	{
		Name: "a retiring store still holds parts",
		File: "retirement.go",
		Old:  "if slices.Contains(row.Replicas, id) || slices.Contains(row.Joining, id) || len(row.Replicas) < f+1 {",
		New:  "if len(row.Replicas) < f+1 {",
	},
	{
		Name: "a group is switched before it has all",
		File: "replication.go",
		Old:  "if !primary.nextGroupReady && c.joinersUpToDate(primary) && next >= max(primary.committed, primary.startSequence) {",
		New:  "if !primary.nextGroupReady {",
	},
	{
		Name: "a wiped store of a retiring machine stays",
		File: "placement.go",
		Old:  "!known && machineRetiring(current, store) {",
		New:  "!known && false {",
	},
	{
		Name: "a segment goes with the claims in it",
		File: "space.go",
		Old:  "		if p.position.term > 0 {\n",
		New:  "		if p.position.term > 1<<62 {\n",
	},
	{
		Name: "a segment that was cut is used",
		File: "segments.go",
		Old:  "last.Size() < want {",
		New:  "last.Size() < 0*want {",
	},
	{
		Name: "a segment is begun before the last one is synced",
		File: "segments.go",
		Old:  "	if err := last.Sync(); err != nil {\n		return err\n	}\n",
		New:  "",
	},
	{
		Name: "a full copy is not asked",
		File: "calls.go",
		Old:  "	if !c.hasCapacity(len(encoded)) || primary.anyReplicaFull() {\n",
		New:  "	if !c.hasCapacity(len(encoded)) {\n",
	},
	{
		Name: "jobs are taken until the disk is full",
		File: "space.go",
		Old:  "	return needed <= c.logCapacity*maxLivePercent/100\n",
		New:  "	return needed >= 0\n",
	},
}

var onlyWrong = flag.String("wrong", "1", "which wrong lines: a part of a name; 1 for all, nothing for none")

// TestWrongLinesStand fails when a line of the lists no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) {
	mutation.CheckPresent(t, wrongReplication)
	mutation.CheckPresent(t, wrongMembers)
}

// TestWrongLines: each mistake that is put in on purpose is found.
func TestWrongLines(t *testing.T) {
	if testing.Short() || *onlyWrong == "" {
		t.Skip("not asked for")
	}
	find := func(lines []mutation.Mutant, tests string) {
		mutation.Find(t, lines, mutation.Options{Only: *onlyWrong, Args: []string{"-run", tests, "-steps.every=37", "-wrong="},
			Within: 4 * time.Minute, Parallel: true})
	}
	find(wrongReplication, "TestEachStep|TestUnsure")
	find(wrongMembers, "TestHandOver|TestStopping|TestRetire|TestSegments|TestDamaged|TestFull|TestClaims")
}
