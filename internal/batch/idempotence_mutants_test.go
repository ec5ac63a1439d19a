//go:build !race

package batch

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// repetitionMutants treat a repeated message, or one of an older incarnation, as a new one.
var repetitionMutants = []mutation.Mutant{
	{
		Name: "a result is stored twice",
		File: "workers.go",
		Old:  "	if j.items[key.index].state == itemDone {\n		primary.afterCommit",
		New:  "	if j.items[key.index].state == itemDone && key.partition < 0 {\n		primary.afterCommit",
	},
	{
		Name: "a grant is counted twice",
		File: "quotaowner.go",
		Old:  "if grant.number == request.number {",
		New:  "if grant.number == request.number && request.partition < 0 {",
	},
	{
		Name: "a grant to any incarnation counts",
		File: "quota.go",
		Old:  "p.primary != nil && p.primary.incarnation == incarnation {",
		New:  "p.primary != nil && incarnation > 0 {",
	},
	{
		Name: "a reservation that is resolved is answered",
		File: "quotaowner.go",
		Old:  "request.incarnation == usage.incarnation && request.number <= usage.resolvedReservations {",
		New:  "request.incarnation == usage.incarnation && request.number < 0 {",
	},
	{
		Name: "an older report counts",
		File: "quotaowner.go",
		Old:  "report.incarnation == known.incarnation && report.version <= known.version {",
		New:  "report.incarnation == known.incarnation && report.version < 1 {",
	},
	{
		Name: "acknowledgements of any term count",
		File: "replication.go",
		Old:  "if p.primary != nil && p.primary.term == term {",
		New:  "if p.primary != nil && term > 0 {",
	},
	{
		Name: "any session is followed",
		File: "replication.go",
		Old:  "if term != p.promisedTerm || session != p.session || pipe != p.followedPrimary {",
		New:  "if term != p.promisedTerm || session == 0 {",
	},
	{
		Name: "any link is followed",
		File: "replication.go",
		Old:  "if term != p.promisedTerm || session != p.session || pipe != p.followedPrimary {",
		New:  "if term != p.promisedTerm || session != p.session {",
	},
	{
		Name: "operations may come again",
		File: "replication.go",
		Old:  "if sequence > 0 && (p.position.term != term || p.position.sequence+1 != sequence) {",
		New:  "if sequence > 1<<50 {",
	},
	{
		Name: "an older acknowledgement lowers a newer one",
		File: "replication.go",
		Old:  "max(replica.acknowledged, sequence), logFull",
		New:  "sequence, logFull",
	},
	{
		Name: "a submission in flight is accepted twice",
		File: "calls.go",
		Old:  "if incoming := primary.incomingJobs[jobID]; incoming != nil {",
		New:  "if incoming := primary.incomingJobs[jobID]; incoming != nil && incoming.maxTokens < 0 {",
	},
	{
		Name: "an end counts twice",
		File: "ends.go",
		Old:  "	if j.endCommitted {\n		c.cancelOnWorkers(end)\n		return\n	}\n",
		New:  "",
	},
}

// TestRepetitionMutantsStand fails unless the text of each mutant occurs exactly once in its file.
func TestRepetitionMutantsStand(t *testing.T) { mutation.CheckPresent(t, repetitionMutants) }

// TestRepetitionMutantsAreFound applies each mutant to the sources and expects the tests of
// idempotence_test.go to fail. It takes a minute or two, so it runs only on request:
// REPEATS_WRONG=1, or a substring of a name.
func TestRepetitionMutantsAreFound(t *testing.T) {
	mutation.Find(t, repetitionMutants, mutation.Options{
		Only:   mutation.Requested(t, "REPEATS_WRONG"),
		Args:   []string{"-run", "SentAgain|OlderIncarnation|OlderTerm"},
		Env:    []string{"REPEATS_WRONG="},
		Within: 2 * time.Minute,
	})
}
