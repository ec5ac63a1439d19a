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

// transferMutants concern jobs that are moved in parts. transferTests must detect them.
var transferMutants = []mutation.Mutant{
	{
		Name: "large jobs are sent as a whole",
		File: "catchup.go",
		Old:  "	case replica.acceptsParts && !c.fitsWhole(j):\n",
		New:  "	case replica.acceptsParts && !c.fitsWhole(j) && false:\n",
	},
	{
		Name: "large jobs are fetched as a whole",
		File: "fetch.go",
		Old:  "	if j == nil || !at.started && c.fitsWhole(j) {\n",
		New:  "	if j == nil || !at.started {\n",
	},
	{
		Name: "a job is replaced by its first part",
		File: "jobpart.go",
		Old:  "	if !part.last {\n		return nil\n	}\n	if staged.digest() != part.digest {\n",
		New:  "	if part.last && staged.digest() != part.digest {\n",
	},
	{
		Name: "a job counts as transferred after its first part",
		File: "catchup.go",
		Old:  "	if last {\n",
		New:  "	if last || t.sent.started {\n",
	},
	{
		Name: "a segment is removed with the parts of a staged job in it",
		File: "space.go",
		Old:  "if j := p.staged[id]; j.hasBytesIn(oldest) && !c.rewriteInParts(p, j, false) {",
		New:  "if j := p.staged[id]; false && !c.rewriteInParts(p, j, false) {",
	},
	{
		Name: "what is staged of a job is not rewritten with it",
		File: "space.go",
		Old:  "		return staged == nil || c.rewriteInParts(p, staged, false)\n",
		New:  "		return staged == nil || staged != nil\n",
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

// tenantMutants concern the jobs of tenants. tenantTests must detect them.
var tenantMutants = []mutation.Mutant{
	{
		Name: "the tenants of caller and job are not compared",
		File: "principal.go",
		Old:  "	return !p.HasTenants || tenant == \"\" || tenant == p.Tenant\n",
		New:  "	return !p.HasTenants || tenant == \"\" || tenant != \"\"\n",
	},
	{
		Name: "the tokens of all tenants count together",
		File: "quota.go",
		Old:  "	if tenant == \"\" {\n		return route\n",
		New:  "	if tenant != accountSeparator {\n		return route\n",
	},
	{
		Name: "a job without a tenant is nobody's",
		File: "principal.go",
		Old:  "	return !p.HasTenants || tenant == \"\" || tenant == p.Tenant\n",
		New:  "	return !p.HasTenants || tenant == p.Tenant\n",
	},
	{
		Name: "a stranger's end of a job is carried out",
		File: "ends.go",
		Old:  "!j.committed || !by.mayUse(j.submitter.Tenant) {",
		New:  "!j.committed {",
	},
	{
		Name: "a stranger's submission of a known ID is accepted",
		File: "calls.go",
		Old:  "	case known.committed && by.mayUse(known.submitter.Tenant):\n",
		New:  "	case known.committed:\n",
	},
	{
		Name: "the tenant of a job is not stored",
		File: "job.go",
		Old:  "	j.Submitter.appendTo(w)\n",
		New:  "",
	},
	{
		Name: "an item keeps the key of its client",
		File: "principal.go",
		Old:  "		return p.HasTenants\n",
		New:  "		return false\n",
	},
	{
		Name: "an item keeps a tenant's name that its client wrote before there were tenants",
		File: "principal.go",
		Old:  "	case headerTenant:\n		return true\n",
		New:  "	case headerTenant:\n		return p.HasTenants\n",
	},
	{
		Name: "the quota of a proxy that is behind counts",
		File: "quota.go",
		Old:  "	if c.config == nil || c.config.Version <= j.configVersion {\n",
		New:  "	if c.config == nil || c.config.Version > 0 {\n",
	},
	{
		Name: "the quota of a store that is behind counts",
		File: "quota.go",
		Old:  "	if c.config == nil || c.config.Version <= j.configVersion {\n",
		New:  "	if c.config == nil {\n",
	},
	{
		Name: "a job of a dropped route has no quota",
		File: "quota.go",
		Old:  "		return route.MaxQueuedTokens\n	}\n	return j.maxQueuedTokens\n",
		New:  "		return route.MaxQueuedTokens\n	}\n	return 0\n",
	},
	{
		Name: "the quota of a route that took over the path counts",
		File: "quota.go",
		Old:  "		if route.Kind == operatorconfig.Bulk && route.Name == j.route {\n",
		New:  "		if route.Kind == operatorconfig.Bulk && route.PathPrefix == j.pathPrefix {\n",
	},
	{
		Name: "no quota stands for none that was introduced",
		File: "calls.go",
		Old:  "	if quota <= 0 {\n",
		New:  "	if quota <= 0 || j.maxQueuedTokens <= 0 {\n",
	},
	{
		Name: "an item does not name its tenant",
		File: "principal.go",
		Old:  "		identified = append(identified, [2]string{headerTenant, p.Tenant})\n",
		New:  "",
	},
}

// rerunMutants make items run more often than they must. rerunTests must detect them.
var rerunMutants = []mutation.Mutant{
	{
		Name: "the other run of an item goes on after the first result",
		File: "workers.go",
		Old:  "		if running != w {\n			c.endOtherRun(running, key)\n		}\n",
		New:  "		_ = running\n",
	},
	{
		Name: "an item that is reported late runs at two workers",
		File: "workers.go",
		Old:  "	if it.state == itemAssigned && it.worker != w {\n",
		New:  "	if it.state == itemAssigned && it.worker != w && c.disconnectedWorkers[it.worker] != 0 {\n",
	},
	{
		Name: "a worker's own item is ended over its previous connection",
		File: "workers.go",
		Old:  "	if from.name != reporting.name {",
		New:  "	if from != reporting {",
	},
	{
		Name: "an item that its worker was told to drop is adopted",
		File: "workers.go",
		Old:  "	if it.state != itemDone && w.dropped[key] {\n",
		New:  "	if false {\n",
	},
	{
		Name: "an item that its worker was told to drop is adopted while it waits",
		File: "workers.go",
		Old:  "	if it.state != itemDone && w.dropped[key] {\n",
		New:  "	if it.state == itemAssigned && w.dropped[key] {\n",
	},
	{
		Name: "a dropped item that is assigned again counts as dropped",
		File: "dispatch.go",
		Old:  "	delete(w.dropped, key)\n",
		New:  "",
	},
	{
		Name: "dropped items are remembered for ever",
		File: "workers.go",
		Old:  "		c.forgetDroppedItems(w)\n",
		New:  "",
	},
	{
		Name: "a worker is told to drop an item that can't be remembered",
		File: "workers.go",
		Old:  "		return // it runs the item to the end:",
		New:  "		// it runs the item to the end:",
	},
	{
		Name: "a report to an earlier lead is adopted",
		File: "workers.go",
		Old:  "	if report.epoch < epochOfTerm(p.primary.incarnation) {\n",
		New:  "	if report.epoch < 0*epochOfTerm(p.primary.incarnation) {\n",
	},
	{
		Name: "a replaced primary ends an item",
		File: "itemrunner.go",
		Old:  "	if item == nil || r.fromReplacedPrimary(conn, key.partition) {\n",
		New:  "	if item == nil {\n",
	},
	{
		Name: "a lost answer is awaited for ever",
		File: "itemsilence.go",
		Old:  "		s.timer = time.AfterFunc(s.bound, s.end)\n",
		New:  "		s.timer = time.NewTimer(s.bound)\n",
	},
	{
		Name: "the wait for an endpoint counts as silence",
		File: "itemsilence.go",
		Old:  "	defer silence.stop()\n",
		New:  "	defer silence.stop()\n	silence.restart()\n",
	},
	{
		Name: "the wait after a rejection counts as silence",
		File: "itemsilence.go",
		Old:  "	item.Rejected = silence.stop\n",
		New:  "	item.Rejected = func() {}\n",
	},
	{
		Name: "an item that was sent again is awaited for ever",
		File: "itemsilence.go",
		Old:  "		s.timer.Stop()\n		s.timer = nil\n",
		New:  "		s.end = func() {}\n		s.timer.Stop()\n		s.timer = nil\n",
	},
	{
		Name: "an event does not end a silence",
		File: "itemsilence.go",
		Old:  "	s.timer.Reset(s.bound)\n",
		New:  "",
	},
	{
		Name: "the bound of silence stays when all endpoints are slow",
		File: "itemrun.go",
		Old:  "			silence = min(silence*2, maxRunSilence)\n",
		New:  "			silence = min(silence, maxRunSilence)\n",
	},
}

// leadMutants concern what other parts of a store may rely on. leadTests must detect them.
var leadMutants = []mutation.Mutant{
	{
		Name: "a lead needs no confirmation of replicas",
		File: "leadership.go",
		Old:  "	return stamps[c.maxLostReplicas]\n",
		New:  "	return stamps[0]\n",
	},
	{
		Name: "a lead is confirmed by the old group alone",
		File: "leadership.go",
		Old:  "	if primary.nextReplicas != nil {\n",
		New:  "	if false {\n",
	},
	{
		Name: "a lead does not tell when it began",
		File: "primary.go",
		Old:  "	primary.servingSince = c.nowMs\n",
		New:  "",
	},
	{
		Name: "a lead that was replaced is published",
		File: "leadership.go",
		Old:  " || primary.superseded {",
		New:  " {",
	},
	{
		Name: "epochs that were not seen had no other primary",
		File: "leadership.go",
		Old:  "	if follows {\n",
		New:  "	if previousEpoch > 0 {\n",
	},
}

// successorMutants concern what a new primary learns of earlier leads. successorTests must detect them.
var successorMutants = []mutation.Mutant{
	{
		Name: "slow replicas count as ones that ignore states",
		File: "successor.go",
		Old:  "		case replica == nil || replica.digests == nil:\n",
		New:  "		case replica == nil:\n",
	},
	{
		Name: "replicas that ignore states stop a lead",
		File: "successor.go",
		Old:  "	return ignoring > 0 && known < c.maxLostReplicas+1\n",
		New:  "	return ignoring > 0 && known < 1\n",
	},
	{
		Name: "a replica does not remember its confirmations",
		File: "confirmation.go",
		Old:  "	p.confirmations.note(term, c.nowMs)\n",
		New:  "",
	},
	{
		Name: "an old primary does not remember its confirmations",
		File: "primary.go",
		Old:  "	if primary.serving && primary.leadConfirmedAt != never {\n",
		New:  "	if false {\n",
	},
	{
		Name: "confirmations of the own term count as earlier ones",
		File: "successor.go",
		Old:  "	if m.newest.term >= term {\n",
		New:  "	if false {\n",
	},
	{
		Name: "a confirmation of a later term hides the one before",
		File: "successor.go",
		Old:  "		m.earlier = leadConfirmation{m.newest.term, max(m.newest.at, m.earlier.at)}\n",
		New:  "",
	},
	{
		Name: "a process knows of the time before its start",
		File: "successor.go",
		Old:  "max(newest.at, c.startedMs),",
		New:  "newest.at,",
	},
	{
		Name: "ages are used as they are",
		File: "successor.go",
		Old:  "	return max(0, ms-(ms+clockRateDivisor-1)/clockRateDivisor-stampAheadMs)\n",
		New:  "	return max(0, ms, clockRateDivisor-clockRateDivisor)\n",
	},
	{
		Name: "the group of earlier leads is the present one",
		File: "successor.go",
		Old:  "max(own.earlierUntil, p.group.since)",
		New:  "own.earlierUntil",
	},
	{
		Name: "this store's own knowledge does not count",
		File: "successor.go",
		Old:  "max(own.earlierUntil, p.group.since)",
		New:  "p.group.since",
	},
	{
		Name: "a version without reports knows of no lead",
		File: "successor.go",
		Old:  "leadReport{earlierUntil: c.nowMs} //",
		New:  "leadReport{} //",
	},
	{
		Name: "an epoch that was not seen had the same group",
		File: "successor.go",
		Old:  "	case follows && slices.Equal(row.Replicas, w.replicas):\n",
		New:  "	case slices.Equal(row.Replicas, w.replicas):\n",
	},
	{
		Name: "a state is inherited although its holders have restarted",
		File: "successor.go",
		Old:  "		if report.process == 0 || !listed || report.confirmedTerm > newest.term {\n",
		New:  "		if _ = listed; report.process == 0 || report.confirmedTerm > newest.term {\n",
	},
	{
		Name: "an unknown process counts as the same one",
		File: "successor.go",
		Old:  "		if report.process == 0 || !listed || report.confirmedTerm > newest.term {\n",
		New:  "		if !listed || report.confirmedTerm > newest.term {\n",
	},
	{
		Name: "a state is inherited although a later lead was confirmed",
		File: "successor.go",
		Old:  "		if report.process == 0 || !listed || report.confirmedTerm > newest.term {\n",
		New:  "		if report.process == 0 || !listed {\n",
	},
	{
		Name: "a state of another group is inherited",
		File: "successor.go",
		Old:  "	if epochOfTerm(newest.term) < p.group.epoch {\n",
		New:  "	if false {\n",
	},
	{
		Name: "an older state replaces the newest one that is doubtful",
		File: "successor.go",
		Old:  "compareLeadStates(held, newest) == 0 && p.isNewest(held, reports) {",
		New:  "held != nil && p.isNewest(held, reports) {",
	},
	{
		Name: "a new primary keeps to its own state",
		File: "successor.go",
		Old:  "		if compareLeadStates(report.held, newest) > 0 {\n",
		New:  "		if report.process == c.process && compareLeadStates(report.held, newest) > 0 {\n",
	},
	{
		Name: "a replica keeps a late state",
		File: "successor.go",
		Old:  "	if compareLeadStates(s, p.heldState) >= 0 {\n",
		New:  "	if true {\n",
	},
	{
		Name: "a replica takes states of any primary",
		File: "replication.go",
		Old:  "	case kindInstallJob, kindStartTerm, kindOperation, kindLeadState, kindInstallJobPart:\n",
		New:  "	case kindLeadState:\n		r.U64()\n		c.holdLeadState(p, term, &r, pipe)\n	case kindInstallJob, kindStartTerm, kindOperation, kindInstallJobPart:\n",
	},
	{
		Name: "one replica is enough for a state",
		File: "successor.go",
		Old:  "	return held[c.maxLostReplicas]\n",
		New:  "	return held[0]\n",
	},
	{
		Name: "the old group alone is enough for a state",
		File: "successor.go",
		Old:  "		shared = min(shared, c.heldBy(p, primary.nextReplicas))\n",
		New:  "",
	},
	{
		Name: "a replica that was out of touch misses the state",
		File: "takeover.go",
		Old:  "	c.resendLeadState(p, replica)\n",
		New:  "",
	},
	{
		Name: "a state that is sent again lists the processes of the first time",
		File: "successor.go",
		Old:  "		c.refreshLeadState(p)\n		c.sendLeadState",
		New:  "		c.sendLeadState",
	},
	{
		Name: "a takeover tells nothing of earlier leads",
		File: "takeover.go",
		Old:  "	c.learnOfEarlierLeads(p)\n",
		New:  "	primary.earlierUntil = c.nowMs\n",
	},
	{
		Name: "the report comes after the promise",
		File: "takeover.go",
		Old:  "			c.send(pipe, kindLeadReport, c.encodeLeadReport(p))\n			c.send(pipe, kindPromise, p.encodePromise())\n",
		New:  "			c.send(pipe, kindPromise, p.encodePromise())\n			c.send(pipe, kindLeadReport, c.encodeLeadReport(p))\n",
	},
	{
		Name: "a state may have any size",
		File: "successor.go",
		Old:  "	if len(state) > maxLeadStateBytes {\n",
		New:  "	if len(state) > maxLeadStateBytes<<10 {\n",
	},
}

var onlyMutants = flag.String("wrong", "1", "mutants to test: a substring of the name; 1: all; empty: none")

// The tests that must detect the mutants of each list.
const (
	replicationTests = "TestPromisesHoldWithAFaultAtEachStep|TestUncommittedJob"
	membershipTests  = "TestDrain|TestStopping|TestRetirement|TestTwoStoresRetire|TestStoreThatLosesItsDisk|TestSegments|" +
		"TestDamagedSegments|TestStoreDoesNotStart|TestFull|TestJobIsRefusedWhile|TestClientsOfFull|TestPositionsAndPromises"
	transferTests = "LargeJob|Parts|TestJobsCompleteWithoutFaults|TestPromisesHoldWithAFaultAtEachStep"
	tenantTests   = "TestJobsBelongToTheirTenant|TestWaitingTokensAreCountedForEachTenant|TestItemsCarryTheTenantAndNoKey|" +
		"TestWhoMayUseAJob|TestIdentityOfItems|TestJobsCompleteWithoutFaults|TestNewestQuota|TestQuotaInForce|TestRouteOfAnAccount|TestRouteOfAJob"
	rerunTests = "TestItemReportedByTwo|TestDroppedItem|TestReportToAnEarlierLead|TestFirstResultEndsTheOtherRun|TestWorkerThatReportsLateKeepsItsItem|TestReplacedPrimaryTakesNoItem|" +
		"TestWaitAfterARejection|TestLostAnswerIsTakenUp|TestSlowEndpointIsNotTaken|TestSilenceIsBounded"
	leadTests = "TestLead|TestWitnessOfPrimaries|TestStorePublishesItsLeads"

	successorTests = "TestLeadsAreExclusive|TestSuccessors|TestAgesAreReduced|TestConfirmationsThatAreRemembered|" +
		"TestWitnessOfGroups|TestEndOfEarlierLeads|TestInheritedStates|TestStateIsShared|TestReplicaHoldsTheNewestState|" +
		"TestStoreSharesStates|TestReconnectedReplicaGetsTheState|TestSlowReplicas|TestStatesIgnored"
)

// TestMutantsStand fails unless the text of each mutant occurs exactly once in its file.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, replicationMutants)
	mutation.CheckPresent(t, transferMutants)
	mutation.CheckPresent(t, membershipMutants)
	mutation.CheckPresent(t, tenantMutants)
	mutation.CheckPresent(t, rerunMutants)
	mutation.CheckPresent(t, leadMutants)
	mutation.CheckPresent(t, successorMutants)
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
	find(transferMutants, transferTests)
	find(membershipMutants, membershipTests)
	find(tenantMutants, tenantTests)
	find(rerunMutants, rerunTests)
	find(leadMutants, leadTests)
	find(successorMutants, successorTests)
}
