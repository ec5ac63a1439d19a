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
		Old:  "c.ms(lead.ServingSince.Add(takeoverWait)), c.firstLevel",
		New:  "c.ms(lead.ServingSince), c.firstLevel",
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
		New:  "		return min(p.capacity, c.slack.takeoverLevel(l))\n",
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

// TestMutantsStand fails unless the text of each mutant occurs exactly once in its file.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, historyMutants)
	mutation.CheckPresent(t, stepMutants)
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
}
