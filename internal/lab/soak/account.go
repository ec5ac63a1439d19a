package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"dunetide/internal/lab/tier/load"
)

// Account of a play: what was observed, and the violations. Its JSON keys stand in accounts that are kept.
type Account struct {
	load.Account
	Plan          Plan     `json:"plan"`
	Acked         int      `json:"orders_acknowledged"`
	Reads         int      `json:"config_reads"`
	Refused       int      `json:"config_reads_refused"`
	Drains        int      `json:"drains_acknowledged"`
	ClientsLeft   int      `json:"clients_left"`
	AbandonedRuns int      `json:"runs_left"`        // that were under way when their client left
	ContinuedRuns int      `json:"runs_go_on"`       // of these, those that went on for long
	Checks        uint64   `json:"invariant_checks"` // as the processes counted them at the last scrape of each
	Scraped       int      `json:"processes_scraped"`
	ReadBack      string   `json:"read_back"`
	Story         []string `json:"story"` // of each violation: what happened around it, and the log lines with its id
}

// Failed reports whether a rule was violated.
func (a Account) Failed() bool { return len(a.Violations) > 0 }

// violated notes a violation.
func (a *Account) violated(rule, id, form string, args ...any) {
	a.Violations = append(a.Violations, load.Violation{Rule: rule, ID: id, Detail: fmt.Sprintf(form, args...)})
}

// Save writes the account as account.json into the folder of the play.
func (a Account) Save(dir string) error {
	text, err := json.MarshalIndent(a, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "account.json"), text, 0o644)
}

// Print writes the account for people, in a few lines.
func (a Account) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: %+v, %d troubles, final %s: %d runs, %d orders acknowledged, "+
		"%d reads of the configuration and %d refused, %d drains, %d clients left (%d runs, %d go on), "+
		"%d checks of invariants at %d processes\n",
		a.Plan.Seed, a.Plan.Shape, len(a.Plan.Faults), a.Plan.Final, a.Runs,
		a.Acked, a.Reads, a.Refused, a.Drains,
		a.ClientsLeft, a.AbandonedRuns, a.ContinuedRuns, a.Checks, a.Scraped)
	for _, k := range a.Kinds {
		fmt.Fprintf(&out, "  %-8s sent %d: %d in time, %d late, %d refused, %d failed\n",
			k.Kind, k.Requested, k.WithinTarget, k.Late, k.Refused, k.Failed)
	}
	for _, b := range a.Violations {
		fmt.Fprintf(&out, "  BROKEN %v\n", b)
	}
	for _, line := range a.Story {
		fmt.Fprintln(&out, "   ", line)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
