package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
	"dunetide/internal/lab/tier/operator"
	"dunetide/internal/lab/wait"
	"dunetide/internal/platform/invariant"
)

// Rules that a soak run checks in addition to those of package load.
const (
	ruleDrain      = "DRAIN"
	ruleConfig     = "CONFIG"
	ruleClientLeft = "GONE" // a request is sent or executed after its client has disconnected
	ruleLost       = "LOST"
	ruleRecover    = "RECOVER"
	ruleInvariant  = "INVARIANT"
	ruleEnded      = "ENDED" // a process exited unexpectedly, or did not exit within its grace period
)

// Bounds of the rules and of the size of an account.
const (
	// cancelBound is how long after its client has disconnected a request may reach an endpoint or still execute there.
	cancelBound = 500 * time.Millisecond
	// longStream is a number of events. At 10 ms or more per event, such a stream lasts well beyond cancelBound.
	longStream          = 100
	minAbandonedRuns    = 12 // abandoned runs needed before the share that continued is checked
	maxLateArrivals     = 3  // requests that may reach an endpoint later than cancelBound
	maxLostOnPersistent = 3  // requests on persistent connections that may be lost in a soak run
	maxStory            = 40 // log lines reported for one violation
)

// check checks the observations against the rules and records the violations in the account.
func (a *Account) check(p *soakRun, scraped *scrapes, finalAt time.Time) {
	a.Plan = p.plan
	p.orders.mu.Lock()
	a.Acked, a.Reads, a.Refused = p.orders.acked, p.orders.reads, p.orders.refused
	for _, found := range p.orders.violations {
		a.violated(ruleConfig, "", "%s", found)
	}
	p.orders.mu.Unlock()
	a.Drains = len(p.drains.acked)
	a.checkRuns(p)
	a.checkServed(p, finalAt)
	a.checkProcesses(p, scraped)
	a.checkPlannedEnds(p)
	a.checkTenants(p, finalAt)
	for _, b := range a.Violations {
		a.Story = append(a.Story, p.describe(b)...)
	}
}

// checkRuns checks the requests that reached endpoints: none after the endpoint drained, few after their clients
// disconnected, and few without an answer on persistent connections.
func (a *Account) checkRuns(p *soakRun) {
	machines := map[string]string{} // by front address
	for _, process := range p.ofRole(cluster.Proxy) {
		machines[process.ReachedFront()] = process.Address()
	}
	var late, lost []engine.Run
	for _, run := range p.runs.All() {
		try, known := a.Tries[run.Request]
		if !known {
			continue
		}
		machine := machines[try.Front]
		a.checkDrain(p, run, machine)
		if arrivedLate(try, run) && p.timeline.inTouch(machine, run.Arrived) {
			late = append(late, run)
		}
		if abandonedMidway(try, run) && p.timeline.inTouch(machine, try.Left) {
			a.AbandonedRuns++
			if run.Ended.IsZero() || run.Ended.Sub(try.Left) > cancelBound {
				a.ContinuedRuns++
			}
		}
		if try.Persistent && try.End == "closed" && run.Whole && p.timeline.inTouch(machine, run.Ended) {
			lost = append(lost, run)
		}
	}
	for _, try := range a.Tries {
		if !try.Left.IsZero() {
			a.ClientsLeft++
		}
	}
	a.checkTotals(late, lost)
}

// checkDrain checks that a run did not reach an endpoint more than drainFor after its drain was acknowledged.
func (a *Account) checkDrain(p *soakRun, run engine.Run, machine string) {
	acked, ends := p.drains.of(run.Instance)
	if !ends {
		return
	}
	since := run.Arrived.Sub(acked)
	if since > drainFor && p.timeline.inTouch(machine, run.Arrived) {
		a.violated(ruleDrain, run.Request, "reached %s through %s %v after its drain was acknowledged",
			run.Instance, machine, since.Round(time.Millisecond))
	}
}

// checkTotals checks the rules that allow a few exceptions, because delays of the lab's own machine can cause single ones.
func (a *Account) checkTotals(late, lost []engine.Run) {
	if len(late) > maxLateArrivals {
		a.violated(ruleClientLeft, late[0].Request, "%d requests reached an endpoint over %v after their clients disconnected",
			len(late), cancelBound)
	}
	if a.AbandonedRuns >= minAbandonedRuns && a.ContinuedRuns > a.AbandonedRuns/4 {
		a.violated(ruleClientLeft, "", "endpoints still worked %v after the client disconnected on %d of %d requests",
			cancelBound, a.ContinuedRuns, a.AbandonedRuns)
	}
	if len(lost) > maxLostOnPersistent {
		a.violated(ruleLost, lost[0].Request,
			"%d requests on persistent connections were forwarded, and their connections closed without an answer", len(lost))
	}
}

// arrivedLate reports whether a run reached its endpoint more than cancelBound after its client disconnected.
func arrivedLate(try load.Try, run engine.Run) bool {
	return !try.Left.IsZero() && run.Arrived.Sub(try.Left) > cancelBound
}

// abandonedMidway reports whether the client of a long stream disconnected while the run was in progress.
func abandonedMidway(try load.Try, run engine.Run) bool {
	inProgress := run.Began.Before(try.Left) && (run.Ended.IsZero() || run.Ended.After(try.Left))
	return !try.Left.IsZero() && try.Events >= longStream && inProgress
}

// checkServed checks that requests are answered again after the final event, or after the last fault if there is none.
func (a *Account) checkServed(p *soakRun, finalAt time.Time) {
	after := finalAt.Add(recoverFor * 2 / 3)
	complete := 0
	for _, run := range p.runs.All() {
		if run.Whole && run.Began.After(after) {
			complete++
		}
	}
	if complete == 0 {
		a.violated(ruleRecover, "", "no request was answered completely later than %v after the last fault", after.Sub(finalAt))
	}
}

// checkProcesses checks that no process violated an invariant or exited unexpectedly.
func (a *Account) checkProcesses(p *soakRun, scraped *scrapes) {
	a.Checks, a.Scraped = scraped.checks(), len(scraped.newest)
	for process, violations := range scraped.violations {
		a.violated(ruleInvariant, process, "%s", violations)
	}
	for _, process := range p.cluster.Processes() {
		violates := func(line string) bool { return strings.Contains(line, invariant.LogMessage) }
		for _, line := range matching(process, violates) {
			a.violated(ruleInvariant, process.String(), "%s", line)
		}
	}
	for _, end := range p.cluster.Ends() {
		a.violated(ruleEnded, "", "%s", end)
	}
}

// readBack reads the newest configuration at the end and checks that it was sent by an operator and is not older than the
// newest known one.
func (p *soakRun) readBack(ctx context.Context, a *Account) error {
	var text []byte
	err := wait.Within(ctx, configWait, func(ctx context.Context) (err error) {
		text, err = operator.New(p.cluster.Controls).Config(ctx)
		return err
	})
	a.ReadBack = "same"
	switch newest := p.orders.newest(); {
	case err != nil:
		a.ReadBack = err.Error()
	default:
		d, err := p.orders.identify(text)
		if err != nil {
			a.ReadBack = err.Error()
		} else if d.version < newest.version {
			a.ReadBack = fmt.Sprintf("version %d, but %d was acknowledged or read before", d.version, newest.version)
		}
	}
	if a.ReadBack != "same" {
		a.violated(ruleConfig, "", "configuration read back at the end: %s", a.ReadBack)
	}
	return ctx.Err()
}

// describe describes a violation in human-readable lines: the faults before it and the log lines that name its request.
func (p *soakRun) describe(b load.Violation) (lines []string) {
	lines = append(lines, b.String())
	if b.ID == "" {
		return lines
	}
	for _, process := range p.cluster.Processes() {
		for _, line := range matching(process, func(line string) bool { return strings.Contains(line, b.ID) }) {
			if len(lines) < maxStory {
				lines = append(lines, fmt.Sprintf("  %v: %s", process, line))
			}
		}
	}
	if b.Rule == ruleQuota {
		lines = append(lines, p.takeovers()...)
	}
	for _, run := range p.runs.All() {
		if run.Request == b.ID {
			lines = append(lines, fmt.Sprintf("  run at %s: arrived %s, status %d, complete %v; faults: %v", run.Instance,
				run.Arrived.UTC().Format("15:04:05.000"), run.Status, run.Whole, p.timeline.before(run.Arrived, inTouch)))
		}
	}
	return lines
}

// takeovers returns the lines in which stores report that they took over a partition from another store.
func (p *soakRun) takeovers() (lines []string) {
	const began, firstTerm = ": primary in term ", ": primary in term 10001 "
	takesOver := func(line string) bool { return strings.Contains(line, began) && !strings.Contains(line, firstTerm) }
	for _, store := range p.ofRole(cluster.Store) {
		for _, line := range matching(store, takesOver) {
			lines = append(lines, fmt.Sprintf("  %v: %s", store, line))
		}
	}
	return lines
}

// matching returns at most maxStory matching lines of a process's log.
func matching(process *cluster.Process, matches func(line string) bool) (found []string) {
	text, err := process.Log()
	if err != nil {
		return []string{err.Error()}
	}
	for line := range strings.Lines(text) {
		if matches(line) && len(found) < maxStory {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
