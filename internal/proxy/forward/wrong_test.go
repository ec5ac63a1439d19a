//go:build !race

package forward

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that are wrong, for TestBusyNights to find.
var wrong = []mutation.Line{
	{"nothing is asked right before a send", "certified.go", "	if !ok {\n		gate.Count(regime", "	if !ok && regime == \"?\" {\n		gate.Count(regime"},
	{"nobody need confirm", "../../control/certification/gate.go", "g.Confirmed() && s.Certified", "s.Certified"},
	{"versions go back", "../../control/certification/gate.go", "old != nil && old.Version >= s.Version ||", "old == s ||"},
	{"a certificate counts at any time", "../../control/certification/set.go", "if c.Valid(now) {", "if c.Valid(now) || !now.IsZero() {"},
	{"a run that can't be recorded is sent", "certified.go", "		if !ok {\n			x.err = errRecordFull", "		if !ok && regime == \"?\" {\n			x.err = errRecordFull"},
	{"runs of clients that leave have no end", "exchange.go", "	if x.run != 0 {", "	if x.run != 0 && o != dispatch.Left {"},
	{"any endpoint is chosen", "../dispatch/choice.go", "slices.Contains(w.r.Avoid, e.target.ID) || !w.r.may(e.target.ID) {", "slices.Contains(w.r.Avoid, e.target.ID) {"},
	{"a broken run counts as not written", "certified.go", "	if x.unsent {", "	if x.unsent || out == audit.Broken {"},
	{"a try that broke off is repeated", "../attempt/attempt.go", "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {", "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {"},
	{"entries are dropped with too few stores", "../../batch/audit/deliver.go", "	r.acknowledge(len(batch.entries))\n	return nil", "	r.acknowledge(len(batch.entries) + min(1, r.Pending()-len(batch.entries)))\n	return nil"},
	{"the chain is not gone on with", "../../batch/audit/files.go", "	f.lastHash = next\n	return nil\n}\n\n// begin appends", "	_ = next\n	return nil\n}\n\n// begin appends"},
}

// TestWrongLinesStand fails when a line of the lists no longer stands once in the file that it names.
func TestWrongLinesStand(t *testing.T) {
	mutation.Check(t, wrong)
	mutation.Check(t, wrongCalls)
}

// Each wrong line is found by drawn nights. This takes minutes, so it is asked for: CERTIFIED_WRONG=1, or a part of a name.
func TestWrongLinesAreFound(t *testing.T) {
	only := mutation.Asked(t, "CERTIFIED_WRONG")
	mutation.Find(t, wrong, mutation.Options{Only: only, Args: []string{"-run", "TestBusyNights", "-timeout", "150s"},
		Env: []string{"CERTIFIED_WRONG=", "CERTIFIED_NIGHTS_S=25"}, Within: 3 * time.Minute})
}

// wrongCalls are lines that would send an answer to the wrong caller, or a request twice.
var wrongCalls = []mutation.Line{
	{"a broken try is repeated", "../attempt/attempt.go", "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {", "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {"},
	{"a failed run is repeated", "../attempt/attempt.go", "	case Failed:\n		if c.Idempotent && c.AttemptsLeft {", "	case Failed:\n		if c.AttemptsLeft {"},
	{"it goes on after it may have run", "../attempt/attempt.go", "if c.ReroutesLeft && (s == NotSent || c.Idempotent) {", "if c.ReroutesLeft {"},
	{"what may have run is refused", "../attempt/attempt.go", "	case s == NotSent:\n		return ServiceUnavailable", "	case s <= Sent:\n		return ServiceUnavailable"},
	{"an answer that can't be continued is continued", "../attempt/attempt.go", "retry = c.Resumable && c.AttemptsLeft", "retry = c.AttemptsLeft"},
	{"tries are not counted", "exchange.go", "		x.tries++\n", ""},
	{"any id matches", "answer.go", "return len(ids) == 1 && ids[0] == x.req.ID", "return len(ids) == 1"},
	{"one of two ids matches", "answer.go", "return len(ids) == 1 && ids[0] == x.req.ID", "return slices.Contains(ids, x.req.ID)"},
	{"a spliced head matches", "answer.go", "if matches && !spliced {", "if matches {"},
	{"bodies of others are read as answers to HEAD", "answer.go", "return x.method != http.MethodHead && ", "return "},
	{"a success needs no seal", "answer.go", "status < 300 && (notRun || h.Get(headerSeal) == \"\")", "status < 300 && notRun"},
	{"an answer needs no end", "answer.go", "	case !plain(h.Get(\"Content-Encoding\")), !x.delimited():", "	case !plain(h.Get(\"Content-Encoding\")):"},
	{"not run counts beside any status", "answer.go", "	case notRun && promisesNotRun(status):", "	case notRun:"},
	{"a refusal needs no proof", "answer.go", "	case promisesNotRun(status):\n		return attempt.UnprovenRejection, dispatch.Failed", "	case promisesNotRun(status):\n		return attempt.Rejected, dispatch.NotRun"},
	{"a reset proves that it was not read", "exchange.go", "	sent := !errors.As(err, &call) || call.Sent", "	sent := !errors.As(err, &call) || call.Sent && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded))"},
	{"silence proves that it was not read", "exchange.go", "			x.state = max(x.state, attempt.Sent)", "			x.state = max(x.state, attempt.NotSent)"},
	{"ids of items are not remembered", "exchange.go", "			x.conn.Remember(x.req.ID)", "			_ = x.req.ID"},
	{"any end of a body is its end", "serve.go", "		if errors.Is(err, io.EOF) {\n			return x.passEnd", "		if err != nil {\n			return x.passEnd"},
	{"any end of a stream is its end", "serve.go", "if errors.Is(err, io.EOF) && wrong == nil {", "if err != nil && wrong == nil {"},
	{"a cut answer looks complete", "serve.go", "			panic(http.ErrAbortHandler)", "			return"},
	{"a request's length may be read in two ways", "listener.go", "&& c.arrived.Load() > c.handled", "&& c.handled < 0"},
	{"a request may have two ids", "serve.go", "len(r.Header[headerID]) != 1 ||", "len(r.Header[headerID]) < 1 ||"},
	{"a protocol whose answers can't be told from cut ones", "serve.go", "!r.ProtoAtLeast(1, 1)", "!r.ProtoAtLeast(1, 0)"},
	{"a body is waited for beyond the deadline", "../clientbody/clientbody.go", "	if limits.Deadline.Before(deadline) {\n", "	if false {\n"},
	{"a connection is waited for beyond the deadline", "../../platform/upstream/acquire.go", "!deadline.IsZero() && left < dialTimeout {", "!deadline.IsZero() && left < 0 {"},
	{"bytes behind an answer are kept", "../../platform/upstream/conn.go", " || c.reader.Buffered() != 0 {", " {"},
	{"nobody looks before a connection is used", "../../platform/upstream/acquire.go", "if c.idleBefore = now.Sub(c.idleSince); c.idleBefore < c.maxIdle(limit) && c.quiet() {", "if c.idleBefore = now.Sub(c.idleSince); c.idleBefore < c.maxIdle(limit) {"},
	{"a part that was written is the whole", "../../platform/upstream/call.go", "		c.sent = n == size\n", "		c.sent = n >= 0\n"},
	{"interim answers count", "../../platform/upstream/call.go", "case resp.StatusCode >= 200:", "case resp.StatusCode >= 100:"},
	{"a close before the end is not looked at", "../../platform/upstream/call.go", "	return end, c.probe(ctx)", "	_ = c.probe(ctx)\n	return end, nil"},
	{"a forgotten connection counts against its endpoint", "exchange.go", "	case !sent && call.Stale:", "	case !sent && call.Stale && false:"},
	{"the last try is lost on a forgotten connection", "answer.go", " || x.tries+1 >= max(1, x.req.Route.MaxAttempts)", ""},
	{"a surplus does not end a connection", "../../platform/upstream/call.go", "c.complete = !resp.Close && !c.readSurplus", "c.complete = !resp.Close"},
}

// Each wrong line is found by the tests of calls. This takes minutes, so it is asked for: CALLS_WRONG=1, or a part of a name.
func TestWrongCallsAreFound(t *testing.T) {
	only := mutation.Asked(t, "CALLS_WRONG")
	mutation.Find(t, wrongCalls, mutation.Options{Only: only, Args: []string{"-p", "2", "-skip", "TestBusyNights|TestFleet|TestCapGrows", "-timeout", "150s", "../attempt", "../../platform/upstream"},
		Env: []string{"CALLS_WRONG="}, Within: 3 * time.Minute})
}
