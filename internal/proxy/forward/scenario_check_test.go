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

// onTime is how long a request may be on its way to its engine after the last check.
const onTime = 10 * time.Millisecond

// certifiedAt tells whether an engine was certified by a document that was the newest a moment ago.
func (n *scenario) certifiedAt(engine string, at time.Time) bool {
	for i, s := range n.puts {
		until := at.Add(time.Hour)
		if i+1 < len(n.puts) {
			until = n.putAt[i+1]
		}
		if !n.putAt[i].After(at) && !until.Add(scenarioConfirmationTTL+onTime).Before(at) &&
			slices.ContainsFunc(s.Certificates, func(c certification.Certificate) bool {
				return c.Endpoint == engine && c.Regime == "fin" && !at.Before(c.NotBefore) && at.Before(c.NotAfter)
			}) {
			return true
		}
	}
	return false
}

// place is where a request ran.
type place struct{ id, engine string }

func (n *scenario) breach(format string, args ...any) {
	n.t.Errorf("seed %d: %s", n.seed, fmt.Sprintf(format, args...))
}

// check holds what ran against the documents, the clients' answers and the record.
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

// checkEngines holds where each request ran against the certificates, and tells where regulated ones did.
func (n *scenario) checkEngines() (seen map[place]int) {
	seen = map[place]int{}
	openElsewhere := false
	for _, run := range n.runs {
		if strings.HasPrefix(run.id, "open-") {
			openElsewhere = openElsewhere || run.engine == "e5" || run.engine == "e6"
			continue
		}
		seen[place{run.id, run.engine}]++
		if !n.certifiedAt(run.engine, run.began) {
			n.breach("%s began at %s, %v after the start, and it was not certified", run.id, run.engine, run.began.Sub(n.putAt[0]))
		} else if !run.by.knewCertified(run.engine, run.began) {
			n.breach("%s was sent to %s, %v after the start, and its proxy knew that it was not certified", run.id, run.engine, run.began.Sub(n.putAt[0]))
		}
	}
	if !openElsewhere {
		n.breach("what demands nothing never ran elsewhere")
	}
	return seen
}

// checkRepeats finds second runs of what may run once, and runs of what was refused.
func (n *scenario) checkRepeats() {
	times := map[string]int{}
	for _, run := range n.runs {
		times[run.id]++
	}
	for id, count := range times {
		if (strings.HasPrefix(id, "save-") || strings.HasPrefix(id, "open-")) && count > 1 {
			n.breach("%s ran %d times", id, count)
		}
		if status, asked := n.answers[id]; asked && status == http.StatusServiceUnavailable && !strings.HasPrefix(id, "look-") && !strings.HasPrefix(id, "talk-") {
			n.breach("%s was refused and ran", id)
		}
	}
}

// checkItems finds items that were not listed once after one whole run, or given up and not listed.
func (n *scenario) checkItems() {
	whole := map[string]int{}
	for _, run := range n.runs {
		if run.whole {
			whole[run.id]++
		}
	}
	for i := range nightItems {
		id := fmt.Sprintf("bulk-%d", i)
		switch {
		case n.listed[id] == 1 && whole[id] == 1 && !n.givenUp[id]:
		case n.listed[id] == 0 && n.givenUp[id]:
		default:
			n.breach("%s was listed %d times, ran whole %d times, given up: %v", id, n.listed[id], whole[id], n.givenUp[id])
		}
	}
}

// checkStopped bounds the grants that the last look before a run stopped.
func (n *scenario) checkStopped() {
	for _, p := range n.proxies {
		for _, c := range p.gate.CountsByRegime() {
			if c.Stopped > 20+c.Runs/10 {
				n.breach("%d grants were for engines that were not certified, and %d runs began", c.Stopped, c.Runs)
			}
		}
	}
}

// checkAudit reads the record and finds what is wrong with it by itself.
func (n *scenario) checkAudit() *audit.Report {
	files, err := filepath.Glob(filepath.Join(n.dir, "s*", "audit*.log"))
	must(n.t, err)
	report, err := audit.CheckFiles(files, audit.CheckOptions{WithdrawalBound: scenarioConfirmationTTL})
	must(n.t, err)
	for _, p := range report.Problems {
		n.breach("the audit tells %v", p)
	}
	newest := map[string]uint64{} // of each proxy
	for _, run := range report.Runs {
		if run.CertificatesVersion < newest[run.Proxy] {
			n.breach("%s goes back from certificates %d to %d", run.Proxy, newest[run.Proxy], run.CertificatesVersion)
		}
		newest[run.Proxy] = run.CertificatesVersion
	}
	return report
}

// checkRecord holds the record against the runs that were seen.
func (n *scenario) checkRecord(report *audit.Report, seen map[place]int) {
	recorded := map[place]int{}
	for _, run := range report.Runs {
		if run.Outcome.MayHaveRun() {
			recorded[place{run.ID, run.Endpoint}]++
		}
		if run.Outcome == audit.Open {
			n.breach("the run of %s at %s has no end in the record", run.ID, run.Endpoint)
		}
		if run.Outcome == audit.Answered && seen[place{run.ID, run.Endpoint}] == 0 {
			n.breach("%s is recorded as answered by %s, where it never ran", run.ID, run.Endpoint)
		}
	}
	for k, count := range seen {
		if recorded[k] < count {
			n.breach("%s ran %d times at %s, and the record has %d", k.id, count, k.engine, recorded[k])
		}
	}
}
