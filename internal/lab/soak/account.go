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

// Account is the result of a soak run: observations and violations. Stored accounts use its JSON keys.
type Account struct {
	load.Account
	Plan          Plan          `json:"plan"`
	Acked         int           `json:"orders_acknowledged"`
	Reads         int           `json:"config_reads"`
	Refused       int           `json:"config_reads_refused"`
	Drains        int           `json:"drains_acknowledged"`
	ClientsLeft   int           `json:"clients_left"`
	AbandonedRuns int           `json:"runs_left"`        // runs in progress when their client disconnected
	ContinuedRuns int           `json:"runs_go_on"`       // those of them that continued for longer than cancelBound
	Checks        uint64        `json:"invariant_checks"` // as counted by the processes, at the last scrape of each
	Scraped       int           `json:"processes_scraped"`
	Tenants       TenantFigures `json:"tenants"`
	ReadBack      string        `json:"read_back"`
	Story         []string      `json:"story"` // for each violation: preceding faults, and the log lines with its ID
}

// Failed reports whether any rule was violated.
func (a Account) Failed() bool { return len(a.Violations) > 0 }

// violated records a violation.
func (a *Account) violated(rule, id, form string, args ...any) {
	a.Violations = append(a.Violations, load.Violation{Rule: rule, ID: id, Detail: fmt.Sprintf(form, args...)})
}

// Save writes the account as account.json into the directory of the soak run.
func (a Account) Save(dir string) error {
	text, err := json.MarshalIndent(a, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "account.json"), text, 0o644)
}

// Print writes a human-readable summary of the account.
func (a Account) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: %+v, %d faults, final %s: %d runs, %d configurations acknowledged, "+
		"%d reads of the configuration and %d refused, %d drains, %d clients disconnected (%d runs, %d continued), "+
		"%d invariant checks at %d processes\n",
		a.Plan.Seed, a.Plan.Shape, len(a.Plan.Faults), a.Plan.Final, a.Runs,
		a.Acked, a.Reads, a.Refused, a.Drains,
		a.ClientsLeft, a.AbandonedRuns, a.ContinuedRuns, a.Checks, a.Scraped)
	for _, k := range a.Kinds {
		fmt.Fprintf(&out, "  %-8s sent %d: %d within target, %d late, %d refused, %d failed\n",
			k.Kind, k.Requested, k.WithinTarget, k.Late, k.Refused, k.Failed)
	}
	if t := a.Tenants; a.Plan.Tenants {
		fmt.Fprintf(&out, "  tenants: %d changes, %d runs, %d requests denied, %d over a limit, "+
			"fullest window %.2f of the bound\n",
			t.Changes, t.Runs, t.Denied, t.OverLimit, t.FullestWindow)
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
