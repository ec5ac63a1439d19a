//go:build !race

package batch

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrongRepeats are lines that would count a repeat, or what is of an older life, as something new.
var wrongRepeats = []mutation.Line{
	{"a result is listed twice", "workers.go", "	if it.state == itemListed {\n		l.pend", "	if it.state == itemListed && k.part < 0 {\n		l.pend"},
	{"a grant is counted twice", "quota.go", "if g.number == h.number {", "if g.number == h.number && h.part < 0 {"},
	{"a grant to any life counts", "quota.go", "p.lead != nil && p.lead.life == life {", "p.lead != nil && life > 0 {"},
	{"a reservation that is decided is answered", "quota.go", "h.life == s.life && h.number <= s.settled {", "h.life == s.life && h.number < 0 {"},
	{"an older report counts", "quota.go", "n.life == s.life && n.version <= s.version {", "n.life == s.life && n.version < 1 {"},
	{"any ballot is acknowledged", "replication.go", "if p.lead != nil && p.lead.ballot == ballot {", "if p.lead != nil && ballot > 0 {"},
	{"any session is followed", "replication.go", " || session != p.session || pipe != p.from {", " || session == 0 {"},
	{"any link is followed", "replication.go", " || session != p.session || pipe != p.from {", " || session != p.session {"},
	{"operations may come again", "replication.go", "if seq > 0 && (p.claimB != ballot || p.claimS+1 != seq) {", "if seq > 1<<50 {"},
	{"an older acknowledgement takes back", "replication.go", "max(q.acked, seq), full", "seq, full"},
	{"a hand-in under way is taken twice", "calls.go", "if in := l.incoming[id]; in != nil {", "if in := l.incoming[id]; in != nil && in.most < 0 {"},
	{"an end counts twice", "calls.go", "	if j.endSeen {\n		c.endWorkers(e)\n		return\n	}\n", ""},
}

// TestWrongRepeatsStand fails when a line of the list no longer stands once in the file that it names.
func TestWrongRepeatsStand(t *testing.T) { mutation.Check(t, wrongRepeats) }

// Each wrong line is found by the tests of repeats. It takes a minute or two, so it is asked for: REPEATS_WRONG=1, or a part of a name.
func TestWrongRepeatsAreFound(t *testing.T) {
	only := mutation.Asked(t, "REPEATS_WRONG")
	mutation.Find(t, wrongRepeats, mutation.Options{Only: only, Args: []string{"-run", "SentAgain|DeliveredAgain|OlderLife|OlderBallot"},
		Env: []string{"REPEATS_WRONG="}, Within: 2 * time.Minute})
}
