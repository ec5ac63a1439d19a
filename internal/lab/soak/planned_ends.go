package soak

import (
	"time"

	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
)

// lostSlack is how long after the last byte of a request its connection may end without an answer, where the request was not
// passed on: the request and the close have crossed.
const lostSlack = 200 * time.Millisecond

// deadlineSlack is how long before its client's deadline a proxy may take it for reached: the time left is sent in whole
// milliseconds.
const deadlineSlack = 2 * time.Millisecond

// judgePlannedEnds checks, in a play of planned work alone, that SIGTERM of a proxy loses no request that the proxy has read,
// and that it ends every process within the grace.
func (a *Account) judgePlannedEnds(p *play) {
	if !p.plan.onlyPlanned() {
		return
	}
	runs := map[string]engine.Run{} // of the newest of each request
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
			a.violated(ruleLost, try.ID, "%s; SIGTERM %v before the end of the connection, kept %v",
				reason, try.Ended.Sub(termAt).Round(time.Millisecond), try.Persistent)
		}
	}
	for _, process := range p.cluster.Processes() {
		for _, overdue := range process.Overdue() {
			a.violated(ruleEnded, "", "%s", overdue)
		}
	}
}

// lostAtPlannedEnd returns why a try that ended without a complete answer counts as lost; empty: it does not. Not counted is
// what an endpoint was still at work on, or had in its queue, in the second half of the grace, which begins at halfway, and
// what an endpoint that leaves has broken off, nor what reached its deadline. What no endpoint ran counts on persistent
// connections alone: of a new one, which a relay of the lab has accepted, the proxy may not have read anything.
func lostAtPlannedEnd(try load.Try, run engine.Run, ran bool, halfway time.Time, endpointLeaves bool) string {
	if run.Expired || !try.Ended.Before(try.Deadline.Add(-deadlineSlack)) {
		return ""
	}
	if !ran {
		queued := try.Ended.After(halfway)
		if try.Persistent && !queued && !try.Written.IsZero() && try.Ended.Sub(try.Written) > lostSlack {
			return "no endpoint ran it, and its connection ended later than the slack"
		}
		return ""
	}
	atWork := run.Ended.IsZero() || run.Ended.After(halfway)
	if atWork || !run.Whole && endpointLeaves {
		return ""
	}
	return "it was passed on, and its connection ended without a complete answer"
}
