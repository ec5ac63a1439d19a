package batch

import (
	"flag"
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// Each mutant violates a guarantee of docs/batch.md. The tests must detect it.

// replicationMutants must be detected by replicationTests, which simulate complete systems.
var replicationMutants = []mutation.Mutant{
	{
		Name: "a replica follows a primary that has been replaced",
		File: "confirmation.go",
		Old:  "	if term >= known {\n",
		New:  "	if term >= known || true {\n",
	},
	{
		Name: "a replica acknowledges before the operation is durable",
		File: "replication.go",
		Old:  "	c.afterSync(acknowledge)\n",
		New:  "	acknowledge()\n",
	},
	{
		Name: "a new primary continues with its own state",
		File: "takeover.go",
		Old:  "if replica.position.after(bestPosition) {",
		New:  "if replica.position.after(bestPosition) && false {",
	},
	{
		Name: "a new primary collects no promises",
		File: "takeover.go",
		Old:  "	need := len(primary.replicas) - c.maxLostReplicas\n",
		New:  "	need := 1\n",
	},
	{
		Name: "one durable replica is enough",
		File: "replication.go",
		Old:  "	need := c.maxLostReplicas + 1\n",
		New:  "	need := 1\n",
	},
	{
		Name: "a primary answers without a confirmation",
		File: "confirmation.go",
		Old:  "return c.nowMs-primary.confirmedAt <= confirmationMs",
		New:  "return true",
	},
	{
		Name: "the owner of a quota forgets its grants",
		File: "quotaowner.go",
		Old:  "	usage.grants = append(usage.grants, tokenGrant{request.number, request.tokens})\n",
		New:  "",
	},
	{
		Name: "a new owner of a quota does not collect the usage",
		File: "quotaowner.go",
		Old:  "len(missing) > 0 {\n		if c.nowMs-account.usageRequestedAt",
		New:  "len(missing) > 1<<20 {\n		if c.nowMs-account.usageRequestedAt",
	},
	{
		Name: "a result may be read before it is committed",
		File: "reads.go",
		Old:  "	return j.readableResults\n",
		New:  "	return len(j.results)\n",
	},
	{
		Name: "a job that may be stored is answered as refused",
		File: "calls.go",
		Old:  "		replyCode(caller, codeUnknown)\n",
		New:  "		replyCode(caller, codeUnavailable)\n",
	},
	{
		Name: "a segment is removed with the live jobs in it",
		File: "space.go",
		Old:  "if j := p.jobs[id]; j.hasBytesIn(oldest) && !c.rewriteJob(p, j) {",
		New:  "if j := p.jobs[id]; false && !c.rewriteJob(p, j) {",
	},
}

// membershipMutants concern stores that stop, retire, become full or restart. membershipTests must
// detect them.
var membershipMutants = []mutation.Mutant{
	{
		Name: "a store that stops does not announce it",
		File: "draining.go",
		Old:  "known && c.table.Stopping[c.self] != c.stopping {",
		New:  "known && c.table.Stopping[c.self] {",
	},
	{
		Name: "a store that stops accepts jobs",
		File: "calls.go",
		Old:  "	if c.stopping {\n",
		New:  "	if c.stopping && err != nil {\n",
	},
	{
		Name: "a store ends before others are primaries",
		File: "draining.go",
		Old:  "	if !c.stopping || c.primaryCount() > 0 {\n",
		New:  "	if !c.stopping {\n",
	},
	{
		Name: "a store that stops may become a primary",
		File: "placement.go",
		Old:  "	case a.next.Stopping[id]:\n		return reluctanceStopping\n",
		New:  "",
	},
	{
		Name: "a store that is back stays marked as stopping",
		File: "draining.go",
		Old:  "c.table.Stopping[c.self] != c.stopping {",
		New:  "!c.table.Stopping[c.self] && c.stopping {",
	},
	{
		Name: "a retirement is finished while the store has replicas",
		File: "retirement.go",
		Old:  "if slices.Contains(row.Replicas, id) || slices.Contains(row.Joining, id) || len(row.Replicas) < f+1 {",
		New:  "if slices.Contains([]uint64(nil), id) || len(row.Replicas) < f+1 {",
	},
	{
		Name: "a group is switched before it is up to date",
		File: "replication.go",
		Old:  "if !primary.nextGroupReady && c.joinersUpToDate(primary) && next >= max(primary.committed, primary.startSequence) {",
		New:  "if !primary.nextGroupReady {",
	},
	{
		Name: "a store of a retiring machine with a new disk stays",
		File: "placement.go",
		Old:  "!known && machineRetiring(current, store) {",
		New:  "!known && false {",
	},
	{
		Name: "a segment is removed with the positions in it",
		File: "space.go",
		Old:  "		if p.position.term > 0 {\n",
		New:  "		if p.position.term > 1<<62 {\n",
	},
	{
		Name: "a segment that was cut short is used",
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
		Name: "full replicas are ignored",
		File: "calls.go",
		Old:  "	if !c.hasCapacity(len(encoded)) || primary.anyReplicaFull() {\n",
		New:  "	if !c.hasCapacity(len(encoded)) {\n",
	},
	{
		Name: "jobs are accepted until the disk is full",
		File: "space.go",
		Old:  "	return needed <= c.logCapacity*maxLivePercent/100\n",
		New:  "	return needed >= 0\n",
	},
}

var onlyMutants = flag.String("wrong", "1", "mutants to test: a substring of the name; 1: all; empty: none")

// The tests that must detect the mutants of the two lists.
const (
	replicationTests = "TestPromisesHoldWithAFaultAtEachStep|TestUncommittedJob"
	membershipTests  = "TestDrain|TestStopping|TestRetirement|TestTwoStoresRetire|TestStoreThatLosesItsDisk|TestSegments|" +
		"TestDamagedSegments|TestStoreDoesNotStart|TestFull|TestJobIsRefusedWhile|TestClientsOfFull|TestPositionsAndPromises"
)

// TestMutantsStand fails unless the text of each mutant occurs exactly once in its file.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, replicationMutants)
	mutation.CheckPresent(t, membershipMutants)
}

// TestMutantsAreFound applies each mutant to the sources and expects its tests to fail.
func TestMutantsAreFound(t *testing.T) {
	if testing.Short() || *onlyMutants == "" {
		t.Skip("skipped in short mode and without -wrong")
	}
	find := func(mutants []mutation.Mutant, tests string) {
		mutation.Find(t, mutants, mutation.Options{
			Only:     *onlyMutants,
			Args:     []string{"-run", tests, "-steps.every=37", "-wrong="},
			Within:   4 * time.Minute,
			Parallel: true,
		})
	}
	find(replicationMutants, replicationTests)
	find(membershipMutants, membershipTests)
}
