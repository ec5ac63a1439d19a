//go:build !race

package batch

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrongRepeats are lines that would count a repeat, or what is of an older life, as something new.
var wrongRepeats = []mutation.Line{
	{"a result is listed twice", "workers.go", "	if j.items[key.index].state == itemDone {\n		primary.afterCommit", "	if j.items[key.index].state == itemDone && key.partition < 0 {\n		primary.afterCommit"},
	{"a grant is counted twice", "quotaowner.go", "if grant.number == request.number {", "if grant.number == request.number && request.partition < 0 {"},
	{"a grant to any life counts", "quota.go", "p.primary != nil && p.primary.incarnation == incarnation {", "p.primary != nil && incarnation > 0 {"},
	{"a reservation that is decided is answered", "quotaowner.go", "request.incarnation == usage.incarnation && request.number <= usage.resolvedReservations {", "request.incarnation == usage.incarnation && request.number < 0 {"},
	{"an older report counts", "quotaowner.go", "report.incarnation == known.incarnation && report.version <= known.version {", "report.incarnation == known.incarnation && report.version < 1 {"},
	{"any ballot is acknowledged", "replication.go", "if p.primary != nil && p.primary.term == term {", "if p.primary != nil && term > 0 {"},
	{"any session is followed", "replication.go", "if term != p.promisedTerm || session != p.session || pipe != p.followedPrimary {", "if term != p.promisedTerm || session == 0 {"},
	{"any link is followed", "replication.go", "if term != p.promisedTerm || session != p.session || pipe != p.followedPrimary {", "if term != p.promisedTerm || session != p.session {"},
	{"operations may come again", "replication.go", "if sequence > 0 && (p.position.term != term || p.position.sequence+1 != sequence) {", "if sequence > 1<<50 {"},
	{"an older acknowledgement takes back", "replication.go", "max(replica.acknowledged, sequence), logFull", "sequence, logFull"},
	{"a hand-in under way is taken twice", "calls.go", "if incoming := primary.incomingJobs[jobID]; incoming != nil {", "if incoming := primary.incomingJobs[jobID]; incoming != nil && incoming.maxTokens < 0 {"},
	{"an end counts twice", "ends.go", "	if j.endCommitted {\n		c.cancelOnWorkers(end)\n		return\n	}\n", ""},
}

// TestWrongRepeatsStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongRepeatsStand(t *testing.T) { mutation.Check(t, wrongRepeats) }

// Each wrong line is found by the tests of repeats. It takes a minute or two, so it is asked for: REPEATS_WRONG=1, or a part of a name.
func TestWrongRepeatsAreFound(t *testing.T) {
	only := mutation.Asked(t, "REPEATS_WRONG")
	mutation.Find(t, wrongRepeats, mutation.Options{Only: only, Args: []string{"-run", "SentAgain|DeliveredAgain|OlderLife|OlderBallot"},
		Env: []string{"REPEATS_WRONG="}, Within: 2 * time.Minute})
}
