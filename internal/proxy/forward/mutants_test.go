//go:build !race

package forward

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// certificateMutants break what certificates promise, for TestRandomizedRegulatedScenarios to find.
var certificateMutants = []mutation.Mutant{
	{
		Name: "nothing is asked right before a send",
		File: "certified.go",
		Old:  "	if !ok {\n		gate.Count(regime",
		New:  "	if !ok && regime == \"?\" {\n		gate.Count(regime",
	},
	{
		Name: "nobody need confirm",
		File: "../../control/certification/gate.go",
		Old:  "g.Confirmed() && s.Certified",
		New:  "s.Certified",
	},
	{
		Name: "versions go back",
		File: "../../control/certification/gate.go",
		Old:  "old != nil && old.Version >= s.Version ||",
		New:  "old == s ||",
	},
	{
		Name: "a certificate counts at any time",
		File: "../../control/certification/set.go",
		Old:  "if c.Valid(now) {",
		New:  "if c.Valid(now) || !now.IsZero() {",
	},
	{
		Name: "a run that can't be recorded is sent",
		File: "certified.go",
		Old:  "	if !x.beginRecord(regime, endpoint, by) {\n",
		New:  "	if !x.beginRecord(regime, endpoint, by) && regime == \"?\" {\n",
	},
	{
		Name: "runs of clients that leave have no end",
		File: "finish.go",
		Old:  "	if x.recordNumber != 0 {",
		New:  "	if x.recordNumber != 0 && o != dispatch.Canceled {",
	},
	{
		Name: "any endpoint is chosen",
		File: "../dispatch/capacity.go",
		Old:  "slices.Contains(w.request.Avoid, e.target.ID) || !w.mayChoose(e.target.ID) {",
		New:  "slices.Contains(w.request.Avoid, e.target.ID) {",
	},
	{
		Name: "a broken run counts as not written",
		File: "certified.go",
		Old:  "	if x.notWritten {",
		New:  "	if x.notWritten || outcome == audit.Broken {",
	},
	{
		Name: "a try that broke off is repeated",
		File: "../attempt/attempt.go",
		Old:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {",
		New:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {",
	},
	{
		Name: "entries are dropped with too few stores",
		File: "../../batch/audit/deliver.go",
		Old:  "	r.acknowledge(len(batch.entries))\n	return nil",
		New:  "	r.acknowledge(len(batch.entries) + min(1, r.Pending()-len(batch.entries)))\n	return nil",
	},
	{
		Name: "the chain is not gone on with",
		File: "../../batch/audit/files.go",
		Old:  "	f.lastHash = next\n	return nil\n}\n\n// begin appends",
		New:  "	_ = next\n	return nil\n}\n\n// begin appends",
	},
}

// TestMutantsStand fails when a line of the lists no longer stands once in the file that it names.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, certificateMutants)
	mutation.CheckPresent(t, callMutants)
}

// Each mutant is found by randomized scenarios. This takes minutes, so it is requested by CERTIFIED_WRONG=1, or a part of a name.
func TestCertificateMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "CERTIFIED_WRONG")
	mutation.Find(t, certificateMutants, mutation.Options{Only: only, Args: []string{"-run", "TestRandomizedRegulatedScenarios", "-timeout", "150s"},
		Env: []string{"CERTIFIED_WRONG=", "CERTIFIED_NIGHTS_S=25"}, Within: 3 * time.Minute})
}

// callMutants would send an answer to the wrong client, or a request twice.
var callMutants = []mutation.Mutant{
	{
		Name: "a broken try is repeated",
		File: "../attempt/attempt.go",
		Old:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {",
		New:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {",
	},
	{
		Name: "a failed run is repeated",
		File: "../attempt/attempt.go",
		Old:  "	case Failed:\n		if c.Idempotent && c.AttemptsLeft {",
		New:  "	case Failed:\n		if c.AttemptsLeft {",
	},
	{
		Name: "it goes on after it may have run",
		File: "../attempt/attempt.go",
		Old:  "if c.ReroutesLeft && (s == NotSent || c.Idempotent) {",
		New:  "if c.ReroutesLeft {",
	},
	{
		Name: "what may have run is refused",
		File: "../attempt/attempt.go",
		Old:  "	case s == NotSent:\n		return ServiceUnavailable",
		New:  "	case s <= Sent:\n		return ServiceUnavailable",
	},
	{
		Name: "an answer that can't be continued is continued",
		File: "../attempt/attempt.go",
		Old:  "retry = c.Resumable && c.AttemptsLeft",
		New:  "retry = c.AttemptsLeft",
	},
	{
		Name: "tries are not counted",
		File: "retry.go",
		Old:  "		x.attempts++\n",
		New:  "",
	},
	{
		Name: "any id matches",
		File: "answer.go",
		Old:  "return len(ids) == 1 && ids[0] == x.request.ID",
		New:  "return len(ids) == 1",
	},
	{
		Name: "one of two ids matches",
		File: "answer.go",
		Old:  "return len(ids) == 1 && ids[0] == x.request.ID",
		New:  "return slices.Contains(ids, x.request.ID)",
	},
	{
		Name: "a spliced head matches",
		File: "send.go",
		Old:  "if matches && !spliced {",
		New:  "if matches {",
	},
	{
		Name: "bodies of others are read as answers to HEAD",
		File: "answer.go",
		Old:  "return x.method != http.MethodHead && ",
		New:  "return ",
	},
	{
		Name: "a success needs no seal",
		File: "answer.go",
		Old:  "status < 300 && (notRun || h.Get(headerSeal) == \"\")",
		New:  "status < 300 && notRun",
	},
	{
		Name: "an answer needs no end",
		File: "answer.go",
		Old:  "	case !unencoded(h.Get(\"Content-Encoding\")), !x.delimited():",
		New:  "	case !unencoded(h.Get(\"Content-Encoding\")):",
	},
	{
		Name: "not run counts beside any status",
		File: "answer.go",
		Old:  "	case notRun && promisesNotRun(status):",
		New:  "	case notRun:",
	},
	{
		Name: "a refusal needs no proof",
		File: "answer.go",
		Old:  "	case promisesNotRun(status):\n		return attempt.UnprovenRejection, dispatch.Failed",
		New:  "	case promisesNotRun(status):\n		return attempt.Rejected, dispatch.NotRun",
	},
	{
		Name: "a reset proves that it was not read",
		File: "finish.go",
		Old:  "	sent := !errors.As(err, &call) || call.Sent",
		New:  "	sent := !errors.As(err, &call) || call.Sent && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded))",
	},
	{
		Name: "silence proves that it was not read",
		File: "finish.go",
		Old:  "			x.state = max(x.state, attempt.Sent)",
		New:  "			x.state = max(x.state, attempt.NotSent)",
	},
	{
		Name: "ids of items are not remembered",
		File: "finish.go",
		Old:  "			x.connection.Remember(x.request.ID)",
		New:  "			_ = x.request.ID",
	},
	{
		Name: "any end of a body is its end",
		File: "respond.go",
		Old:  "		if errors.Is(err, io.EOF) {\n			return x.forwardEnd",
		New:  "		if errors.Is(err, io.EOF) || err != nil {\n			return x.forwardEnd",
	},
	{
		Name: "any end of a stream is its end",
		File: "stream.go",
		Old:  "if errors.Is(err, io.EOF) && invalid == nil {",
		New:  "if (errors.Is(err, io.EOF) || err != nil) && invalid == nil {",
	},
	{
		Name: "a cut answer looks complete",
		File: "retry.go",
		Old:  "		panic(http.ErrAbortHandler)",
		New:  "		return",
	},
	{
		Name: "a request's length may be read in two ways",
		File: "listener.go",
		Old:  "&& c.lengthHeaders.Load() > c.handledLengths",
		New:  "&& c.handledLengths < 0",
	},
	{
		Name: "a request may have two ids",
		File: "intake.go",
		Old:  "len(r.Header[headerID]) != 1 ||",
		New:  "len(r.Header[headerID]) < 1 ||",
	},
	{
		Name: "a protocol whose answers can't be told from cut ones",
		File: "intake.go",
		Old:  "!r.ProtoAtLeast(1, 1)",
		New:  "!r.ProtoAtLeast(1, 0)",
	},
	{
		Name: "a body is waited for beyond the deadline",
		File: "../../platform/clientbody/clientbody.go",
		Old:  "	if limits.Deadline.Before(d.last) {\n",
		New:  "	if false {\n",
	},
	{
		Name: "a connection is waited for beyond the deadline",
		File: "../../platform/upstream/acquire.go",
		Old:  "!deadline.IsZero() && left < dialTimeout {",
		New:  "!deadline.IsZero() && left < 0 {",
	},
	{
		Name: "bytes behind an answer are kept",
		File: "../../platform/upstream/conn.go",
		Old:  " || c.reader.Buffered() != 0 {",
		New:  " {",
	},
	{
		Name: "nobody looks before a connection is used",
		File: "../../platform/upstream/acquire.go",
		Old:  "if c.idleBefore = now.Sub(c.idleSince); c.idleBefore < c.maxIdle(limit) && c.quiet() {",
		New:  "if c.idleBefore = now.Sub(c.idleSince); c.idleBefore < c.maxIdle(limit) {",
	},
	{
		Name: "a part that was written is the whole",
		File: "../../platform/upstream/call.go",
		Old:  "		c.sent = n == size\n",
		New:  "		c.sent = n >= 0\n",
	},
	{
		Name: "interim answers count",
		File: "../../platform/upstream/call.go",
		Old:  "case resp.StatusCode >= 200:",
		New:  "case resp.StatusCode >= 100:",
	},
	{
		Name: "a close before the end is not looked at",
		File: "../../platform/upstream/call.go",
		Old:  "	return end, c.probe(ctx)",
		New:  "	_ = c.probe(ctx)\n	return end, nil",
	},
	{
		Name: "a forgotten connection counts against its endpoint",
		File: "finish.go",
		Old:  "	case !sent && call.Stale:",
		New:  "	case !sent && call.Stale && false:",
	},
	{
		Name: "the last try is lost on a forgotten connection",
		File: "send.go",
		Old:  " || x.attempts+1 >= max(1, x.request.Route.MaxAttempts)",
		New:  "",
	},
	{
		Name: "a surplus does not end a connection",
		File: "../../platform/upstream/call.go",
		Old:  "c.complete = !resp.Close && !c.readSurplus",
		New:  "c.complete = !resp.Close",
	},
}

// Each mutant is found by the tests of calls. This takes minutes, so it is requested by CALLS_WRONG=1, or a part of a name.
func TestCallMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "CALLS_WRONG")
	mutation.Find(t, callMutants, mutation.Options{Only: only, Args: []string{"-p", "2", "-skip", "TestRandomizedRegulatedScenarios|TestFleet|TestCapGrows", "-timeout", "150s", "../attempt", "../../platform/upstream"},
		Env: []string{"CALLS_WRONG="}, Within: 3 * time.Minute})
}
