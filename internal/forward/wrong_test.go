//go:build !race

package forward

import (
	"os"
	"testing"
	"time"

	"dunetide/internal/lab/wrongline"
)

// wrong are lines that are wrong, for TestBusyNights to find.
var wrong = []wrongline.Line{
	{"nothing is asked right before a send", "certified.go", "	if !ok {\n		gate.Count(regime", "	if !ok && regime == \"?\" {\n		gate.Count(regime"},
	{"nobody need confirm", "../certify/gate.go", "g.Fresh() && s.Certified", "s.Certified"},
	{"versions go back", "../certify/gate.go", "old != nil && old.Version >= s.Version ||", "old == s ||"},
	{"a certificate counts at any time", "../certify/document.go", "if c.Valid(now) {", "if c.Valid(now) || !now.IsZero() {"},
	{"a run that can't be recorded is sent", "certified.go", "		if !ok {\n			x.err = errRecordFull", "		if !ok && regime == \"?\" {\n			x.err = errRecordFull"},
	{"runs of clients that leave have no end", "exchange.go", "	if x.run != 0 {", "	if x.run != 0 && o != dispatch.Left {"},
	{"any endpoint is chosen", "../dispatch/choice.go", "slices.Contains(w.r.Avoid, e.target.ID) || !w.r.may(e.target.ID) {", "slices.Contains(w.r.Avoid, e.target.ID) {"},
	{"a broken run counts as not written", "certified.go", "	if x.unsent {", "	if x.unsent || out == audit.Broken {"},
	{"a try that broke off is repeated", "../attempt/attempt.go", "	case Broken, FalseRefusal, BodyCut:\n		if c.Idempotent && c.TriesLeft {", "	case Broken, FalseRefusal, BodyCut:\n		if c.TriesLeft {"},
	{"entries are dropped with too few stores", "../audit/recorder.go", "	r.kept(len(b.entries))\n	return nil", "	r.kept(len(b.entries) + min(1, r.Waiting()-len(b.entries)))\n	return nil"},
	{"the chain is not gone on with", "../audit/store.go", "	s.last = next\n	return nil\n}\n\n// open opens", "	_ = next\n	return nil\n}\n\n// open opens"},
}

// Each wrong line is found by drawn nights. This takes minutes, so it is asked for: CERTIFIED_WRONG=1, or a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := os.Getenv("CERTIFIED_WRONG")
	if only == "" {
		t.Skip("CERTIFIED_WRONG is not set")
	}
	wrongline.Find(t, wrong, wrongline.Options{Only: only, Args: []string{"-run", "TestBusyNights", "-timeout", "150s"},
		Env: []string{"CERTIFIED_WRONG=", "CERTIFIED_NIGHTS_S=25"}, Within: 3 * time.Minute})
}
