// Package ablation runs the bench's days (its scenarios) with one mechanism of placement and admission disabled at a time, to measure
// the contribution of each. A mechanism is disabled by replacing lines in a clone of the repository; the repository itself is not
// changed.
package ablation

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"dunetide/internal/lab/overlay"
)

// Mechanism is a mechanism that can be disabled, with the edits that disable it.
type Mechanism struct {
	Name  string
	Edits []overlay.Replacement // with paths relative to the root of the repository
}

// Files that the mechanisms edit.
const (
	settingsFile = "internal/proxy/dispatch/settings.go"
	capacityFile = "internal/proxy/dispatch/capacity.go"
	affinityFile = "internal/proxy/dispatch/affinity.go"
	estimateFile = "internal/proxy/dispatch/estimate.go"
	runFile      = "internal/proxy/dispatch/run.go"
	intakeFile   = "internal/proxy/forward/intake.go"
	attachFile   = "internal/control/controlclient/attach.go"
)

// Mechanisms returns the mechanisms that docs/placement.md names.
func Mechanisms() []Mechanism { //nolint:funlen // a table
	return []Mechanism{
		{
			Name: "subsets of endpoints",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.SendersPerEndpoint, 4)",
				New:  "setDefault(&s.SendersPerEndpoint, 1e6)",
			}},
		},
		{
			Name: "doubt outside the subset",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.UncertaintyDeviations, 3)",
				New:  "setDefault(&s.UncertaintyDeviations, 1e-9)",
			}},
		},
		{
			Name: "cost outside the subset",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.OutsideSubsetCost, 10*time.Millisecond)",
				New:  "setDefault(&s.OutsideSubsetCost, 1)",
			}},
		},
		{
			Name: "one bulk request at an endpoint that has not answered",
			Edits: []overlay.Replacement{{
				File: capacityFile,
				Old:  "	if c.awaitsFirstAnswer(e) {\n",
				New:  "	if false {\n",
			}},
		},
		{
			Name: "bounded outliers of the fit",
			Edits: []overlay.Replacement{{
				File: estimateFile,
				Old:  "	maxOutlier = 3\n",
				New:  "	maxOutlier = 1e9\n",
			}},
		},
		{
			Name: "estimates that end",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.MaxEstimateAge, time.Second)",
				New:  "setDefault(&s.MaxEstimateAge, time.Hour)",
			}},
		},
		{
			Name: "waiting for a configuration",
			Edits: []overlay.Replacement{{
				File: intakeFile,
				Old:  "p.awaitConfig(w, r)",
				New:  "http.StatusServiceUnavailable",
			}},
		},
		{
			Name: "quick attachment",
			Edits: []overlay.Replacement{{
				File: attachFile,
				Old:  "	quickAttaches = 5\n",
				New:  "	quickAttaches = 1\n",
			}},
		},
		{
			Name: "headroom that bulk leaves",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.BulkHeadroom, 0.15)",
				New:  "setDefault(&s.BulkHeadroom, 1e-9)",
			}},
		},
		{
			Name: "pressing bulk uses the headroom",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.BulkUrgency, 3*time.Second)",
				New:  "setDefault(&s.BulkUrgency, 1)",
			}},
		},
		{
			Name: "common order of homes",
			Edits: []overlay.Replacement{{
				File: affinityFile,
				Old:  "{0.9, 0.5, 0.2}",
				New:  "{1e-9, 1e-9, 1e-9}",
			}},
		},
		{
			Name: "bound on the load of homes",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.PreferredLoadFactor, 1.25)",
				New:  "setDefault(&s.PreferredLoadFactor, 1e6)",
			}},
		},
		{
			Name: "price of reading again",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.RereadCost, 1)",
				New:  "setDefault(&s.RereadCost, 1e-9)",
			}},
		},
		{
			Name: "cost of load",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.LoadCost, 20*time.Millisecond)",
				New:  "setDefault(&s.LoadCost, 1)",
			}},
		},
		{
			Name: "cost of another zone",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.OtherZoneCost, 4*time.Millisecond)",
				New:  "setDefault(&s.OtherZoneCost, 1)",
			}},
		},
		{
			Name: "late requests only where a slot is free",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.QueueLate, 1)",
				New:  "setDefault(&s.QueueLate, 4)",
			}},
		},
		{
			Name: "ejection",
			Edits: []overlay.Replacement{{
				File: settingsFile,
				Old:  "setDefault(&s.EjectionScore, 2)",
				New:  "setDefault(&s.EjectionScore, 1e9)",
			}},
		},
		{
			Name: "lateness of recent first words",
			Edits: []overlay.Replacement{{
				File: runFile,
				Old:  "	lateMs := min(max(tookMs-r.expectedMs, -maxLatenessMs), maxLatenessMs)\n",
				New:  "	lateMs := 0.0\n",
			}},
		},
	}
}

// apply makes the edits of a mechanism in a directory that holds a clone of the repository.
func (m Mechanism) apply(dir string) error {
	for _, edit := range m.Edits {
		path := filepath.Join(dir, edit.File)
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		changed, err := edit.Apply(string(text))
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Options configures Play.
type Options struct {
	Repository string // path; its committed state is measured
	Bench      string // path of the bench's program
	Site       string // path of the deployment's site file
	Jobs       int    // number of days that run in parallel
	Quick      bool   // run the light days only
	Only       string // substring of the names of the mechanisms to disable; empty: all
	Journal    string // directory to which the bench's journal entries are copied; empty: none
}

// Result is the scores without a mechanism, or with all of them if the name is empty.
type Result struct {
	Mechanism string
	Score     float64
	Days      []DayScore
}

// DayScore is the score of one day.
type DayScore struct {
	Name  string
	Score float64
}

// Play runs the bench with all mechanisms and then without each of them, one run after the other, and calls each with every result.
func Play(ctx context.Context, o Options, each func(Result)) error {
	all := append([]Mechanism{{}}, Mechanisms()...)
	for _, m := range all {
		if m.Name != "" && !strings.Contains(m.Name, o.Only) {
			continue
		}
		result, err := measureWithout(ctx, o, m)
		if err != nil {
			return fmt.Errorf("without %q: %w", m.Name, err)
		}
		each(result)
	}
	return nil
}

// measureWithout runs the bench in a clone in which a mechanism is disabled.
func measureWithout(ctx context.Context, o Options, m Mechanism) (Result, error) {
	dir, err := os.MkdirTemp("", "ablation-")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary directory
	clone := exec.CommandContext(ctx, "git", "clone", "--quiet", o.Repository, dir)
	if out, err := clone.CombinedOutput(); err != nil {
		return Result{}, fmt.Errorf("clone the repository: %w\n%s", err, out)
	}
	if err := m.apply(dir); err != nil {
		return Result{}, err
	}
	before, err := journalEntries(dir)
	if err != nil {
		return Result{}, err
	}
	out, err := bench(ctx, o, m, dir)
	if err != nil {
		return Result{}, err
	}
	if err := copyNewEntries(dir, o.Journal, before); err != nil {
		return Result{}, err
	}
	result, err := parseScores(out)
	result.Mechanism = m.Name
	return result, err
}

// bench runs the bench in a clone and returns its output.
func bench(ctx context.Context, o Options, m Mechanism, dir string) ([]byte, error) {
	why := "ablation: nothing is switched off"
	if m.Name != "" {
		why = "ablation: without " + m.Name
	}
	args := []string{"score", o.Site, "--jobs", strconv.Itoa(max(o.Jobs, 1)), "--why", why}
	if o.Quick {
		args = append(args, "--quick")
	}
	command := exec.CommandContext(ctx, o.Bench, args...)
	command.Dir = dir
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	// The bench exits with a non-zero status if its gate is not passed; its output is a valid result all the same.
	if exit := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exit) {
		return nil, err
	}
	return out.Bytes(), nil
}

// journalDir is the directory of a repository in which the bench writes its journal entries.
const journalDir = "journal"

// journalEntries returns the names of the files in a clone's journal.
func journalEntries(dir string) (map[string]bool, error) {
	files, err := os.ReadDir(filepath.Join(dir, journalDir))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	names := map[string]bool{}
	for _, f := range files {
		names[f.Name()] = true
	}
	return names, nil
}

// copyNewEntries copies the journal entries of a clone that are not in before to a directory.
func copyNewEntries(dir, to string, before map[string]bool) error {
	if to == "" {
		return nil
	}
	now, err := journalEntries(dir)
	if err != nil {
		return err
	}
	for name := range now {
		if before[name] || filepath.Ext(name) != ".json" {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, journalDir, name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// Lines of the bench's output that have a score.
var (
	scoreLine = regexp.MustCompile(`^score on the standard days of \S+ \(.*\): ([0-9.]+)`)
	dayLine   = regexp.MustCompile(`^([a-z]+-[0-9a-z]+)\s+[0-9]+/[0-9]+\s+([0-9.]+)\s`)
)

// parseScores reads the scores from the bench's output.
func parseScores(out []byte) (Result, error) {
	var result Result
	found := false
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		if match := scoreLine.FindStringSubmatch(lines.Text()); match != nil {
			score, err := strconv.ParseFloat(match[1], 64)
			if err != nil {
				return result, err
			}
			result.Score, found = score, true
		}
		if match := dayLine.FindStringSubmatch(lines.Text()); match != nil {
			score, err := strconv.ParseFloat(match[2], 64)
			if err != nil {
				return result, err
			}
			result.Days = append(result.Days, DayScore{match[1], score})
		}
	}
	if !found {
		return result, fmt.Errorf("the bench printed no score:\n%s", out)
	}
	return result, lines.Err()
}
