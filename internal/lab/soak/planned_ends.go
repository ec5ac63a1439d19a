package soak

import (
	"time"

	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
)

// lostSlack is how long after the last byte of a request its connection may close without an answer if the request was not
// forwarded: the request and the close crossed on the wire.
const lostSlack = 200 * time.Millisecond

// deadlineSlack is how long before the client's deadline a proxy may end an exchange: 10 ms by docs/calls.md ("Deadline"), and 2 ms
// as the remaining time is sent in whole milliseconds.
const deadlineSlack = (10 + 2) * time.Millisecond

// checkPlannedEnds checks, in a soak run without unplanned faults, that a proxy that gets SIGTERM loses no request that it
// has read, and that every process exits within the grace period after SIGTERM.
func (a *Account) checkPlannedEnds(p *soakRun) {
	if !p.plan.onlyPlanned() {
		return
	}
	runs := map[string]engine.Run{} // the newest run of each request
	for _, run := range p.runs.All() {
		runs[run.Request] = run
	}
	for _, try := range a.Tries {
		termAt, terminated := p.timeline.terminatedBefore(try.Front, try.Ended, p.plan.grace()+time.Second)
		if !terminated || !try.EndedUnanswered() {
			continue
		}
		run, ran := runs[try.ID]
		_, leaves := p.drains.of(run.Instance)
		if reason := lostAtPlannedEnd(try, run, ran, termAt.Add(p.plan.grace()/2), leaves); reason != "" {
			a.violated(ruleLost, try.ID, "%s; SIGTERM %v before the end of the connection, persistent %v",
				reason, try.Ended.Sub(termAt).Round(time.Millisecond), try.Persistent)
		}
	}
	for _, process := range p.cluster.Processes() {
		for _, overdue := range process.Overdue() {
			a.violated(ruleEnded, "", "%s", overdue)
		}
	}
}

// lostAtPlannedEnd returns why an attempt that ended without a complete answer counts as lost, or "" if it does not. It does
// not count if
//   - it reached its deadline,
//   - an endpoint was still executing it, or may have queued it, in the second half of the grace period, which begins at
//     halfway, or
//   - a draining endpoint aborted it.
//
// A request that no endpoint executed counts only on a persistent connection: a new connection is accepted by a relay of the
// lab, so the proxy may not have read anything from it.
func lostAtPlannedEnd(try load.Try, run engine.Run, ran bool, halfway time.Time, endpointLeaves bool) string {
	if run.Expired || !try.Ended.Before(try.Deadline.Add(-deadlineSlack)) {
		return ""
	}
	if !ran {
		queued := try.Ended.After(halfway)
		if try.Persistent && !queued && !try.Written.IsZero() && try.Ended.Sub(try.Written) > lostSlack {
			return "no endpoint executed it, and its connection closed later than the slack allows"
		}
		return ""
	}
	atWork := run.Ended.IsZero() || run.Ended.After(halfway)
	if atWork || !run.Whole && endpointLeaves {
		return ""
	}
	return "it was forwarded, and its connection closed without a complete answer"
}
