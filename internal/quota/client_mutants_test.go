package quota

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// clientMutants are source changes with which requests would run without a token, or wait without need.
var clientMutants = []mutation.Mutant{
	{
		Name: "an answer counts twice",
		File: "client_core.go",
		Old:  "	delete(c.calls, number)\n",
		New:  "",
	},
	{
		Name: "a call without an answer counts as granted",
		File: "client_core.go",
		Old:  "		var answer Answer\n",
		New:  "		answer := Answer{Outcome: Granted, Granted: 1}\n",
	},
	{
		Name: "a token is given twice",
		File: "client_core.go",
		Old:  "		case tokens > 0:\n			tokens--\n",
		New:  "		case tokens > 0:\n",
	},
	{
		Name: "tokens of requests that left go nowhere",
		File: "client_core.go",
		Old:  "	if tokens > 0 {\n",
		New:  "	if tokens > demand.request.Wanted {\n",
	},
	{
		Name: "a token of a late answer is used and refunded",
		File: "client_core.go",
		Old:  "				tokens--\n",
		New:  "",
	},
	{
		Name: "an old token of a late answer is given",
		File: "client_core.go",
		Old:  "	if now-call.sentAt <= maxGrantAge {\n",
		New:  "	if now-call.sentAt <= 4*maxGrantAge {\n",
	},
	{
		Name: "a late answer is for nobody",
		File: "client_core.go",
		Old:  "	if now-call.sentAt <= maxGrantAge {\n",
		New:  "	if now < call.sentAt {\n",
	},
	{
		Name: "tokens of a late answer are lost",
		File: "client_core.go",
		Old:  "			c.distributeLate(call, demand, answer, now)\n",
		New:  "",
	},
	{
		Name: "a late answer refuses requests",
		File: "client_core.go",
		Old:  "			c.distributeLate(call, demand, answer, now)\n",
		New:  "			c.distribute(call, demand, answer, now)\n",
	},
	{
		Name: "a request with a late token is asked for",
		File: "client_core.go",
		Old:  "	if w.queued {\n",
		New:  "	if w.queued && state != waiterGranted {\n",
	},
	{
		Name: "an overdue call keeps its requests",
		File: "client_core.go",
		Old:  "			c.askAnew(call, &call.demands[i], 0, now)\n",
		New:  "			call.demands[i].tenant.demandsInFlight--\n",
	},
	{
		Name: "an overdue call keeps its place",
		File: "client_core.go",
		Old:  "		call.overdue = true\n		c.releasePlace(call)\n",
		New:  "		call.overdue = true\n",
	},
	{
		Name: "an overdue call frees a place twice",
		File: "client_core.go",
		Old:  "	if !call.overdue {\n		c.releasePlace(call)\n",
		New:  "	if true {\n		c.releasePlace(call)\n",
	},
	{
		Name: "the timer does not ring for overdue calls",
		File: "client_core.go",
		Old:  "		if !call.overdue && due > now && (!any || due < at) {\n",
		New:  "		if call.overdue && due > now && (!any || due < at) {\n",
	},
	{
		Name: "a stale token is lost",
		File: "client_core.go",
		Old:  "	c.refund(w.tenant.name, w.tenant.limit, token, 1, now)\n",
		New:  "	_ = token\n",
	},
	{
		Name: "a stale token stays with its request",
		File: "client_core.go",
		Old:  "	w.state, w.token = waiterPending, grantedToken{}\n",
		New:  "	if w.token = token; now > 0 {\n		c.refund(w.tenant.name, w.tenant.limit, token, 1, now)\n		return w.state, true\n	}\n",
	},
	{
		Name: "a request is in its queue twice",
		File: "client_core.go",
		Old:  "w.state == waiterPending && !w.queued {",
		New:  "w.state == waiterPending {",
	},
	{
		Name: "late answers are not awaited",
		File: "client.go",
		Old:  "context.WithTimeout(c.ctx, answerTimeout)",
		New:  "context.WithTimeout(c.ctx, overdueAfter)",
	},
	{
		Name: "an old token is used",
		File: "client_core.go",
		Old:  "now-w.token.askedAt <= maxGrantAge {",
		New:  "now-w.token.askedAt <= 4*maxGrantAge {",
	},
	{
		Name: "the age of a token is taken from nothing",
		File: "client_core.go",
		Old:  "		case tokens > 0:\n			tokens--\n			w.token = token\n",
		New:  "		case tokens > 0:\n			tokens--\n			w.token = token\n			w.token.askedAt = now\n",
	},
	{
		Name: "a request that left is asked for",
		File: "client_core.go",
		Old:  "		c.waiting--\n		w.tenant.remove(w)\n",
		New:  "		c.waiting--\n",
	},
	{
		Name: "refunds go to a store that did not grant",
		File: "client_core.go",
		Old:  "		dropped := pending.store != store\n",
		New:  "		dropped := false\n",
	},
	{
		Name: "refunds of a call are sent again",
		File: "client_core.go",
		Old:  "	t.refunds = nil\n	t.demandsInFlight++\n",
		New:  "	t.demandsInFlight++\n",
	},
	{
		Name: "calls in flight are not bounded",
		File: "client_core.go",
		Old:  "c.callsTo[store] >= maxCallsPerStore {",
		New:  "c.callsTo[store] >= 3*maxCallsPerStore {",
	},
	{
		Name: "requests come back in another order",
		File: "client_core.go",
		Old:  "cmp.Compare(a.arrival, b.arrival)",
		New:  "cmp.Compare(b.arrival, a.arrival)",
	},
	{
		Name: "a store that does not count is asked again at once",
		File: "client_core.go",
		Old:  "	return b.pause\n}\n",
		New:  "	return 0\n}\n",
	},
	{
		Name: "a pause is as long as a store says",
		File: "client_core.go",
		Old:  "pause: min(pause, maxAskAgainDelay), since",
		New:  "pause: pause, since",
	},
	{
		Name: "pauses stay short",
		File: "client_core.go",
		Old:  "		pause = max(pause, 2*b.pause)\n",
		New:  "",
	},
	{
		Name: "pauses double for each call of a round",
		File: "client_core.go",
		Old:  "		if call.sentAt <= b.since { // both calls were in flight\n",
		New:  "		if call.sentAt < 0 {\n",
	},
	{
		Name: "calls in flight keep pauses short",
		File: "client_core.go",
		Old:  "		if call.sentAt <= b.since { // both calls were in flight\n			return b.pause\n",
		New:  "		if call.sentAt <= b.since {\n			b.since = now\n			return b.pause\n",
	},
	{
		Name: "pauses double for another store",
		File: "client_core.go",
		Old:  "	if call.store == b.store && retryAfter >= b.retryAfter {\n",
		New:  "	if retryAfter >= b.retryAfter {\n",
	},
	{
		Name: "pauses double while a wait comes to its end",
		File: "client_core.go",
		Old:  "	if call.store == b.store && retryAfter >= b.retryAfter {\n",
		New:  "	if call.store == b.store {\n",
	},
	{
		Name: "a grant leaves pauses long",
		File: "client_core.go",
		Old:  "{ t.pausedUntil, t.backoff = 0, backoff{} }",
		New:  "{ t.pausedUntil = 0 }",
	},
	{
		Name: "a grant does not end a pause",
		File: "client_core.go",
		Old:  "{ t.pausedUntil, t.backoff = 0, backoff{} }",
		New:  "{ t.backoff = backoff{} }",
	},
	{
		Name: "tenants that wait for a store don't share calls",
		File: "client_core.go",
		Old:  "		return t.pausedUntil-now <= t.backoff.pause/2\n",
		New:  "		return false\n",
	},
	{
		Name: "companions don't pause",
		File: "client_core.go",
		Old:  "		return t.pausedUntil-now <= t.backoff.pause/2\n",
		New:  "		return true\n",
	},
	{
		Name: "an older limit replaces a newer one",
		File: "client_core.go",
		Old:  "	if limit.ConfigVersion >= t.limit.ConfigVersion {\n",
		New:  "	if t.limit != limit {\n",
	},
	{
		Name: "a queue of a tenant stays for ever",
		File: "client_core.go",
		Old:  "			delete(c.tenants, t.name)\n",
		New:  "",
	},
	{
		Name: "tenants go first that were asked for last",
		File: "client_core.go",
		Old:  "append(kept, asked...)",
		New:  "append(asked, kept...)",
	},
	{
		Name: "one tenant takes all places",
		File: "client_core.go",
		Old:  "t.waiting >= maxWaitersPerTenant {",
		New:  "t.waiting >= maxWaiters {",
	},
	{
		Name: "the timer does not ring earlier",
		File: "client.go",
		Old:  "	if !any || at >= c.ringAt {\n",
		New:  "	if !any || at >= c.ringAt || c.ringAt < idleInterval {\n",
	},
	{
		Name: "a permit is refunded twice",
		File: "client.go",
		Old:  "	if p.refunded.Swap(true) {\n",
		New:  "	if p.refunded.Load() {\n",
	},
	{
		Name: "a cancelled request keeps its token",
		File: "client.go",
		Old:  "		if unanswered || cancelled {\n",
		New:  "		if _ = cancelled; unanswered {\n",
	},
	{
		Name: "a client that closes leaves its requests waiting",
		File: "client_core.go",
		Old:  "					c.answer(w, waiterClosed)\n",
		New:  "					w.state = waiterClosed\n",
	},
}

// TestClientMutantsStand fails if the source text that a mutant replaces does not occur exactly once in its file.
func TestClientMutantsStand(t *testing.T) { mutation.CheckPresent(t, clientMutants) }

// TestClientMutantsAreFound runs the tests against each mutant, which takes minutes: it runs if QUOTA_CLIENT_MUTANTS is 1
// or part of a mutant's name.
func TestClientMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "QUOTA_CLIENT_MUTANTS")
	mutation.Find(t, clientMutants, mutation.Options{
		Only:   only,
		Args:   []string{"-timeout", "30s"},
		Env:    []string{"QUOTA_CLIENT_MUTANTS="},
		Within: time.Minute,
	})
}
