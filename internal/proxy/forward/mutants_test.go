//go:build !race

package forward

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// certificateMutants break the guarantees of certificates; TestRandomizedRegulatedScenarios must find them.
var certificateMutants = []mutation.Mutant{
	{
		Name: "certificates are not rechecked before a send",
		File: "certified.go",
		Old:  "	if !ok {\n		gate.Count(regime",
		New:  "	if !ok && regime == \"?\" {\n		gate.Count(regime",
	},
	{
		Name: "the certificates need no confirmation",
		File: "../../control/certification/gate.go",
		Old:  "g.Confirmed() && s.Certified",
		New:  "s.Certified",
	},
	{
		Name: "an older version is accepted",
		File: "../../control/certification/gate.go",
		Old:  "old != nil && old.Version >= s.Version ||",
		New:  "old == s ||",
	},
	{
		Name: "a certificate is valid at any time",
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
		Name: "canceled runs have no end in the record",
		File: "finish.go",
		Old:  "	if x.recordNumber != 0 {",
		New:  "	if x.recordNumber != 0 && o != dispatch.Canceled {",
	},
	{
		Name: "uncertified endpoints are chosen",
		File: "../dispatch/capacity.go",
		Old:  "	if !e.ready() || w.avoids(e) || !w.mayChoose(e.target.ID) {",
		New:  "	if !e.ready() || w.avoids(e) {",
	},
	{
		Name: "a broken run counts as not written",
		File: "certified.go",
		Old:  "	if x.notWritten {",
		New:  "	if x.notWritten || outcome == audit.Broken {",
	},
	{
		Name: "a broken attempt is retried",
		File: "../attempt/attempt.go",
		Old:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {",
		New:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {",
	},
	{
		Name: "entries are dropped before enough stores have them",
		File: "../../batch/audit/deliver.go",
		Old:  "	r.acknowledge(len(batch.entries))\n	return nil",
		New:  "	r.acknowledge(len(batch.entries) + min(1, r.Pending()-len(batch.entries)))\n	return nil",
	},
	{
		Name: "the hash chain is not continued",
		File: "../../batch/audit/files.go",
		Old:  "	f.lastHash = next\n	return nil\n}\n\n// begin appends",
		New:  "	_ = next\n	return nil\n}\n\n// begin appends",
	},
}

// TestMutantsArePresent fails if the text of a mutant does not occur exactly once in its file.
func TestMutantsArePresent(t *testing.T) {
	mutation.CheckPresent(t, certificateMutants)
	mutation.CheckPresent(t, callMutants)
}

// Randomized scenarios find each mutant. This takes minutes, so it runs only with CERTIFIED_WRONG=1, or a part of a mutant's name.
func TestCertificateMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "CERTIFIED_WRONG")
	mutation.Find(t, certificateMutants, mutation.Options{Only: only, Args: []string{"-run", "TestRandomizedRegulatedScenarios", "-timeout", "150s"},
		Env: []string{"CERTIFIED_WRONG=", "CERTIFIED_NIGHTS_S=25"}, Within: 3 * time.Minute})
}

// callMutants send an answer to the wrong client, or a request twice.
var callMutants = []mutation.Mutant{
	{
		Name: "a broken attempt is retried",
		File: "../attempt/attempt.go",
		Old:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {",
		New:  "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {",
	},
	{
		Name: "a failed run is retried",
		File: "../attempt/attempt.go",
		Old:  "	case Failed:\n		if c.Idempotent && c.AttemptsLeft {",
		New:  "	case Failed:\n		if c.AttemptsLeft {",
	},
	{
		Name: "a request that may have run is rerouted",
		File: "../attempt/attempt.go",
		Old:  "if c.ReroutesLeft && (s == NotSent || c.Idempotent) {",
		New:  "if c.ReroutesLeft {",
	},
	{
		Name: "a request that may have run is refused",
		File: "../attempt/attempt.go",
		Old:  "	case s == NotSent:\n		return ServiceUnavailable",
		New:  "	case s <= Sent:\n		return ServiceUnavailable",
	},
	{
		Name: "a stream that is not resumable is resumed",
		File: "../attempt/attempt.go",
		Old:  "retry = c.Resumable && c.AttemptsLeft",
		New:  "retry = c.AttemptsLeft",
	},
	{
		Name: "attempts are not counted",
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
		Name: "bodies of other answers are read as answers to HEAD",
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
		Name: "an answer need not be delimited",
		File: "answer.go",
		Old:  "	case !unencoded(h.Get(\"Content-Encoding\")), !x.delimited():",
		New:  "	case !unencoded(h.Get(\"Content-Encoding\")):",
	},
	{
		Name: "X-Dunetide-Not-Run counts with any status",
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
		Name: "a reset proves that the request was not read",
		File: "finish.go",
		Old:  "	sent := !errors.As(err, &call) || call.Sent",
		New:  "	sent := !errors.As(err, &call) || call.Sent && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded))",
	},
	{
		Name: "a timeout proves that the request was not read",
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
		Name: "a truncated body counts as complete",
		File: "respond.go",
		Old:  "		if errors.Is(err, io.EOF) {\n			return x.forwardEnd",
		New:  "		if errors.Is(err, io.EOF) || err != nil {\n			return x.forwardEnd",
	},
	{
		Name: "a truncated stream counts as complete",
		File: "stream.go",
		Old:  "if errors.Is(err, io.EOF) && invalid == nil {",
		New:  "if (errors.Is(err, io.EOF) || err != nil) && invalid == nil {",
	},
	{
		Name: "a truncated answer looks complete",
		File: "retry.go",
		Old:  "		panic(http.ErrAbortHandler)",
		New:  "		return",
	},
	{
		Name: "a request's length may be ambiguous",
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
		Name: "HTTP/1.0, whose truncated answers look complete",
		File: "intake.go",
		Old:  "!r.ProtoAtLeast(1, 1)",
		New:  "!r.ProtoAtLeast(1, 0)",
	},
	{
		Name: "a body is awaited beyond the deadline",
		File: "../../platform/clientbody/clientbody.go",
		Old:  "	if limits.Deadline.Before(d.last) {\n",
		New:  "	if false {\n",
	},
	{
		Name: "a connection is awaited beyond the deadline",
		File: "../../platform/upstream/acquire.go",
		Old:  "!deadline.IsZero() && left < dialTimeout {",
		New:  "!deadline.IsZero() && left < 0 {",
	},
	{
		Name: "a connection with surplus bytes is kept",
		File: "../../platform/upstream/conn.go",
		Old:  " || c.reader.Buffered() != 0 {",
		New:  " {",
	},
	{
		Name: "a connection is not checked before use",
		File: "../../platform/upstream/acquire.go",
		Old:  "if c.idleBefore = now.Sub(c.idleSince); c.idleBefore < c.maxIdle(limit) && c.quiet() {",
		New:  "if c.idleBefore = now.Sub(c.idleSince); c.idleBefore < c.maxIdle(limit) {",
	},
	{
		Name: "a partial write counts as complete",
		File: "../../platform/upstream/call.go",
		Old:  "		c.sent = n == size\n",
		New:  "		c.sent = n >= 0\n",
	},
	{
		Name: "an interim answer counts as the answer",
		File: "../../platform/upstream/call.go",
		Old:  "case resp.StatusCode >= 200:",
		New:  "case resp.StatusCode >= 100:",
	},
	{
		Name: "a close before the end of the request is not checked",
		File: "../../platform/upstream/call.go",
		Old:  "	return end, c.probe(ctx)",
		New:  "	_ = c.probe(ctx)\n	return end, nil",
	},
	{
		Name: "a stale connection counts against its endpoint",
		File: "finish.go",
		Old:  "	case !sent && call.Stale:",
		New:  "	case !sent && call.Stale && false:",
	},
	{
		Name: "the last attempt is lost on a stale connection",
		File: "send.go",
		Old:  " || x.attempts+1 >= max(1, x.request.Route.MaxAttempts)",
		New:  "",
	},
	{
		Name: "a connection is kept after a surplus answer",
		File: "../../platform/upstream/call.go",
		Old:  "c.complete = !resp.Close && !c.readSurplus",
		New:  "c.complete = !resp.Close",
	},
}

// The tests of calls find each mutant. This takes minutes, so it runs only with CALLS_WRONG=1, or a part of a mutant's name.
func TestCallMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "CALLS_WRONG")
	mutation.Find(t, callMutants, mutation.Options{Only: only, Args: []string{"-p", "2", "-skip", "TestRandomizedRegulatedScenarios|TestFleet|TestCapGrows", "-timeout", "150s", "../attempt", "../../platform/upstream"},
		Env: []string{"CALLS_WRONG="}, Within: 3 * time.Minute})
}
