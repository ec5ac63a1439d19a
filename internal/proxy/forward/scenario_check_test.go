//go:build !race

package forward

import (
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
)

// certificateSlack is the longest time from a proxy's last check of a certificate to the start of the run at its engine.
const certificateSlack = 10 * time.Millisecond

// certifiedAt reports whether an engine was certified by a document that was the newest one within the confirmation TTL before at.
func (n *scenario) certifiedAt(engine string, at time.Time) bool {
	for i, s := range n.puts {
		until := at.Add(time.Hour)
		if i+1 < len(n.puts) {
			until = n.putAt[i+1]
		}
		if !n.putAt[i].After(at) && !until.Add(scenarioConfirmationTTL+certificateSlack).Before(at) &&
			slices.ContainsFunc(s.Certificates, func(c certification.Certificate) bool {
				return c.Endpoint == engine && c.Regime == "fin" && !at.Before(c.NotBefore) && at.Before(c.NotAfter)
			}) {
			return true
		}
	}
	return false
}

// requestAtEngine identifies the runs of a request at one engine.
type requestAtEngine struct{ id, engine string }

func (n *scenario) violation(format string, args ...any) {
	n.t.Errorf("seed %d: %s", n.seed, fmt.Sprintf(format, args...))
}

// check compares the runs with the documents, the clients' answers and the audit record. It returns the number of regulated runs.
func (n *scenario) check() (regulated int) {
	seen := n.checkEngines()
	n.checkRepeats()
	n.checkItems()
	n.checkStopped()
	report := n.checkAudit()
	n.checkRecord(report, seen)
	for _, count := range seen {
		regulated += count
	}
	return regulated
}

// checkEngines checks that each run was at a certified engine, and returns the number of regulated runs by request and engine.
func (n *scenario) checkEngines() (seen map[requestAtEngine]int) {
	seen = map[requestAtEngine]int{}
	openElsewhere := false
	for _, run := range n.runs {
		if strings.HasPrefix(run.id, "open-") {
			openElsewhere = openElsewhere || run.engine == "e5" || run.engine == "e6"
			continue
		}
		seen[requestAtEngine{run.id, run.engine}]++
		if !n.certifiedAt(run.engine, run.began) {
			n.violation("%s began at %s, %v after the start, which was not certified", run.id, run.engine, run.began.Sub(n.putAt[0]))
		} else if !run.by.knewCertified(run.engine, run.began) {
			n.violation("%s was sent to %s, %v after the start, although its proxy knew that it was not certified", run.id, run.engine, run.began.Sub(n.putAt[0]))
		}
	}
	if !openElsewhere {
		n.violation("no unregulated request ran at an uncertified engine")
	}
	return seen
}

// checkRepeats finds second runs of requests that may run only once, and runs of refused requests.
func (n *scenario) checkRepeats() {
	times := map[string]int{}
	for _, run := range n.runs {
		times[run.id]++
	}
	for id, count := range times {
		if (strings.HasPrefix(id, "save-") || strings.HasPrefix(id, "open-")) && count > 1 {
			n.violation("%s ran %d times", id, count)
		}
		if status, asked := n.answers[id]; asked && status == http.StatusServiceUnavailable && !strings.HasPrefix(id, "look-") && !strings.HasPrefix(id, "talk-") {
			n.violation("%s was refused but ran", id)
		}
	}
}

// checkItems finds items that were neither listed once after one complete run, nor given up without being listed.
func (n *scenario) checkItems() {
	complete := map[string]int{}
	for _, run := range n.runs {
		if run.complete {
			complete[run.id]++
		}
	}
	for i := range scenarioItemCount {
		id := fmt.Sprintf("bulk-%d", i)
		switch {
		case n.listed[id] == 1 && complete[id] == 1 && !n.givenUp[id]:
		case n.listed[id] == 0 && n.givenUp[id]:
		default:
			n.violation("%s was listed %d times, ran completely %d times, given up: %v", id, n.listed[id], complete[id], n.givenUp[id])
		}
	}
}

// checkStopped limits the grants that were stopped by the recheck of the certificate before a run.
func (n *scenario) checkStopped() {
	for _, p := range n.proxies {
		for _, c := range p.gate.CountsByRegime() {
			if c.Invalidated > 20+c.Runs/10 {
				n.violation("%d grants were for uncertified engines, with %d runs begun", c.Invalidated, c.Runs)
			}
		}
	}
}

// checkAudit reads the audit record and checks its consistency.
func (n *scenario) checkAudit() *audit.Report {
	files, err := filepath.Glob(filepath.Join(n.dir, "s*", "audit*.log"))
	must(n.t, err)
	report, err := audit.CheckFiles(files, audit.CheckOptions{WithdrawalBound: scenarioConfirmationTTL})
	must(n.t, err)
	for _, p := range report.Problems {
		n.violation("the audit reports %v", p)
	}
	newest := map[string]uint64{} // by proxy
	for _, run := range report.Runs {
		if run.CertificatesVersion < newest[run.Proxy] {
			n.violation("%s goes back from certificates %d to %d", run.Proxy, newest[run.Proxy], run.CertificatesVersion)
		}
		newest[run.Proxy] = run.CertificatesVersion
	}
	return report
}

// checkRecord compares the audit record with the runs that engines saw.
func (n *scenario) checkRecord(report *audit.Report, seen map[requestAtEngine]int) {
	recorded := map[requestAtEngine]int{}
	for _, run := range report.Runs {
		if run.Outcome.MayHaveRun() {
			recorded[requestAtEngine{run.ID, run.Endpoint}]++
		}
		if run.Outcome == audit.Open {
			n.violation("the run of %s at %s has no end in the record", run.ID, run.Endpoint)
		}
		if run.Outcome == audit.Answered && seen[requestAtEngine{run.ID, run.Endpoint}] == 0 {
			n.violation("%s is recorded as answered by %s, but never ran there", run.ID, run.Endpoint)
		}
	}
	for k, count := range seen {
		if recorded[k] < count {
			n.violation("%s ran %d times at %s, but the record has %d runs", k.id, count, k.engine, recorded[k])
		}
	}
}
