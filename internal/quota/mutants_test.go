package quota

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// historyMutants let more requests run than the rule allows. The drawn histories must find them, without a look into the
// counters.
var historyMutants = []mutation.Mutant{
	{
		Name: "a bucket is full after a takeover",
		File: "counter.go",
		Old:  "	case lead.First:\n",
		New:  "	case lead.Incarnation > 0:\n",
	},
	{
		Name: "a new lead grants at once",
		File: "counter.go",
		Old:  "Sub(now); wait > 0 {",
		New:  "Sub(now); wait > time.Hour {",
	},
	{
		Name: "a lead grants without a confirmation",
		File: "counter.go",
		Old:  "	if now.Sub(lead.ConfirmedAt) > LeadValidity {\n",
		New:  "	if now.Sub(lead.ConfirmedAt) > time.Hour*1_000_000 {\n",
	},
	{
		Name: "grants resume when earlier leads may be confirmed",
		File: "counter.go",
		Old:  "	return earlierUntil.Add(takeoverWait)\n",
		New:  "	return earlierUntil\n",
	},
	{
		Name: "only the newest floor counts",
		File: "succession.go",
		Old:  "		highest = max(highest, state.floors[tenant])\n",
		New:  "		highest = state.floors[tenant]\n",
	},
	{
		Name: "a state counts as acknowledged once it is sent",
		File: "succession.go",
		Old:  "	sequence = min(sequence, s.sequence)\n",
		New:  "	sequence = s.sequence\n",
	},
	{
		Name: "no floor holds",
		File: "counter.go",
		Old:  "available > 0 && a.bucket.level-available < floor {",
		New:  "available > 0 && a.bucket.level < 0 {",
	},
	{
		Name: "a new lead adds its first level to the floor twice",
		File: "counter.go",
		Old:  "	first := max(c.firstLevel(l, lead), inherited)\n",
		New:  "	first := 2*c.firstLevel(l, lead) + 2*inherited\n",
	},
	{
		Name: "a refund raises the level by all its tokens",
		File: "bucket.go",
		Old:  "max(b.level, b.history.level(&b.pace, b.atMs))",
		New:  "min(b.capacity, b.level+microTokens(tokens)*token)",
	},
}

// stepMutants break what tests of single steps show.
var stepMutants = []mutation.Mutant{
	{
		Name: "a bucket gains during the wait of a lead",
		File: "counter.go",
		Old:  "c.ms(bucketsFrom(lead)), first)",
		New:  "c.ms(bucketsFrom(lead).Add(-takeoverWait)), first)",
	},
	{
		Name: "a raised limit fills the bucket",
		File: "bucket.go",
		Old:  "	b.level = min(b.level, p.capacity)\n",
		New:  "	b.level = p.capacity\n",
	},
	{
		Name: "an older version of the limit undoes a newer one",
		File: "counter.go",
		Old:  "	if d.Limit.ConfigVersion > a.configVersion {\n",
		New:  "	if d.Limit.ConfigVersion != a.configVersion {\n",
	},
	{
		Name: "a lead that follows others quickly has its part of the slack",
		File: "counter.go",
		Old:  "		return 0\n",
		New:  "		return c.slack.takeoverLevel(l)\n",
	},
	{
		Name: "refunds of another lead count",
		File: "counter.go",
		Old:  "		if refund.Grant.Lead == a.lead {\n",
		New:  "		if refund.Grant.Lead > 0 {\n",
	},
	{
		Name: "a lead is confirmed only once it has expired",
		File: "counter.go",
		Old:  "	confirmAfter = LeadValidity / 3\n",
		New:  "	confirmAfter = LeadValidity\n",
	},
	{
		Name: "accounts are not bounded",
		File: "counter.go",
		Old:  "	if a == nil && len(c.accounts) >= maxAccounts {\n",
		New:  "	if a == nil && len(c.accounts) < 0 {\n",
	},
	{
		Name: "tokens are taken at the beginning of a slot",
		File: "history.go",
		Old:  "	gained, _ := p.refill(level, endMs-atMs, 0)\n",
		New:  "	gained, _ := p.refill(level-microTokens(taken)*token, endMs-atMs, 0)\n",
	},
}

// successorMutants break what a lead tells its successors, and what it inherits.
var successorMutants = []mutation.Mutant{
	{
		Name: "a lead waits although earlier ones ended long ago",
		File: "counter.go",
		Old:  "	if earlierUntil.IsZero() || earlierUntil.After(lead.ServingSince) {\n",
		New:  "	if !earlierUntil.IsZero() {\n",
	},
	{
		Name: "a lead that knows nothing of earlier ones does not wait",
		File: "counter.go",
		Old:  "	if earlierUntil.IsZero() || earlierUntil",
		New:  "	if earlierUntil",
	},
	{
		Name: "nothing is inherited",
		File: "counter.go",
		Old:  "max(c.firstLevel(l, lead), inherited)",
		New:  "c.firstLevel(l, lead)",
	},
	{
		Name: "a demand below the floor is granted in part",
		File: "counter.go",
		Old:  "		return notOwner(sharingRetry)\n	}\n	granted",
		New:  "		d.Wanted = uint32(max(0, a.bucket.level-floor) / token)\n	}\n	granted",
	},
	{
		Name: "the last demand may fall below the floor",
		File: "counter.go",
		Old:  "a.bucket.level-available < floor",
		New:  "a.bucket.level < floor",
	},
	{
		Name: "a lead grants before its first state is found",
		File: "succession.go",
		Old:  "return lead.First || s.acknowledged > 0 || s.ignored",
		New:  "return lead.Incarnation > 0",
	},
	{
		Name: "a first lead waits for acknowledgements",
		File: "succession.go",
		Old:  "return lead.First || s.acknowledged",
		New:  "return s.acknowledged",
	},
	{
		Name: "replicas without states stop a lead for good",
		File: "succession.go",
		Old:  "s.acknowledged > 0 || s.ignored\n",
		New:  "s.acknowledged > 0\n",
	},
	{
		Name: "replicas that don't answer count as without states",
		File: "succession.go",
		Old:  "	s.ignored = lead.StatesIgnored\n",
		New:  "	s.ignored = lead.StatesIgnored || s.sequence > lead.SharedSequence+5\n",
	},
	{
		Name: "floors are shared with replicas that acknowledge nothing",
		File: "succession.go",
		Old:  "	if s.acknowledged > 0 && !s.ignored {\n		next",
		New:  "	if s.sequence > 0 {\n		next",
	},
	{
		Name: "the newest acknowledged state no longer counts",
		File: "succession.go",
		Old:  "return state.sequence < sequence })",
		New:  "return state.sequence <= sequence })",
	},
	{
		Name: "the older state counts when two become one",
		File: "succession.go",
		Old:  "			s.inPlay[1].floors[tenant] = max(s.inPlay[1].floors[tenant], floor)\n",
		New:  "			_, _ = tenant, floor\n",
	},
	{
		Name: "states in play are not bounded",
		File: "succession.go",
		Old:  "	if len(s.inPlay) > maxStatesInPlay {\n",
		New:  "	if len(s.inPlay) > 1000 {\n",
	},
	{
		Name: "states have no bound",
		File: "succession.go",
		Old:  "		if size+minFloorBytes+len(tenant) > maxStateBytes {\n",
		New:  "		if size < 0 {\n",
	},
	{
		Name: "states are not shared anew",
		File: "succession.go",
		Old:  "	if s.acknowledged == s.sequence || waited < reshareAfter ||",
		New:  "	if s.sequence > 0 || waited < reshareAfter ||",
	},
	{
		Name: "states are shared with each demand",
		File: "succession.go",
		Old:  "	isLow := newest > 0 &&",
		New:  "	isLow := newest >= 0 ||",
	},
	{
		Name: "a lower floor is shared only once the bucket is at it",
		File: "succession.go",
		Old:  "a.bucket.level-newest < max(a.reserve()/lowerReserveParts, a.heldUp(now))",
		New:  "a.bucket.level < newest",
	},
	{
		Name: "a large demand is held up for good",
		File: "succession.go",
		Old:  "max(reserve, a.heldUp(now)+reserve/lowerReserveParts)",
		New:  "reserve",
	},
	{
		Name: "floors never rise",
		File: "succession.go",
		Old:  "!now.Before(s.nextCheck) && c.mayRaise(s, lead, now) {",
		New:  "now.IsZero() {",
	},
	{
		Name: "a used tenant passes its inherited floor on",
		File: "succession.go",
		Old:  "		delete(next, tenant)\n		if",
		New:  "		if",
	},
	{
		Name: "inherited floors are not passed on",
		File: "succession.go",
		Old:  "		maps.Copy(next, s.inherited)\n",
		New:  "",
	},
	{
		Name: "inherited floors are passed on for good",
		File: "succession.go",
		Old:  "	if now.Sub(bucketsFrom(lead)) < 2*c.slack.Window {\n",
		New:  "	if next != nil {\n",
	},
	{
		Name: "a new lead keeps the succession of an earlier one",
		File: "succession.go",
		Old:  "	if s == nil || s.incarnation != lead.Incarnation {\n",
		New:  "	if s == nil {\n",
	},
	{
		Name: "states of another version are read",
		File: "succession.go",
		Old:  "len(state) > maxStateBytes || r.U8() != stateVersion",
		New:  "len(state) > maxStateBytes || r.U8() == 0",
	},
	{
		Name: "truncated states are read",
		File: "succession.go",
		Old:  "	if r.Err != nil || len(r.Buf) > 0 {\n",
		New:  "	if len(r.Buf) > 0 {\n",
	},
	{
		Name: "floors beyond all capacities are read",
		File: "succession.go",
		Old:  "		if floor > uint64(maxFloor) {\n",
		New:  "		if floor == 0 {\n",
	},
}

// TestMutantsStand fails unless the text of each mutant occurs exactly once in its file.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, historyMutants)
	mutation.CheckPresent(t, stepMutants)
	mutation.CheckPresent(t, successorMutants)
}

// TestMutantsAreFound applies each mutant and expects its tests to fail. QUOTA_MUTANTS selects them: 1 for all.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "QUOTA_MUTANTS")
	find := func(mutants []mutation.Mutant, tests string) {
		mutation.Find(t, mutants, mutation.Options{
			Only:   only,
			Args:   []string{"-run", tests},
			Env:    []string{"QUOTA_MUTANTS="},
			Within: 2 * time.Minute,
		})
	}
	find(historyMutants, "TestNoWindow")
	find(stepMutants, "Test")
	find(successorMutants, "Test")
}
