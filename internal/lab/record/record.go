// Package record stores a run: its trace, its statistics and the rule violations, optionally in a directory.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"dunetide/internal/lab/figures"
	"dunetide/internal/lab/rules"
	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

// Summary summarizes a run.
type Summary struct {
	Scenario string              `json:"scenario"`
	Seed     uint64              `json:"seed"`
	Way      string              `json:"way"` // "sim" or "run"
	Revision string              `json:"revision"`
	Variant  string              `json:"variant,omitempty"`
	Length   float64             `json:"length_s"`
	Nodes    int                 `json:"nodes"`
	Took     float64             `json:"took_s"` // seconds of real time
	Invalid  string              `json:"invalid,omitempty"`
	Figures  figures.Figures     `json:"figures"`
	Broken   []rules.Broken      `json:"broken"`
	Account  rules.Account       `json:"account"`
	Fleet    *rules.FleetAccount `json:"fleet,omitempty"`
	Usage    []Usage             `json:"usage,omitempty"` // of real processes only
}

// Usage is the resource usage of a node's processes.
type Usage struct {
	Node     int     `json:"node"`
	CPU      float64 `json:"cpu_s"`
	RSS      float64 `json:"most_rss_mb"`
	Files    int     `json:"most_descriptors"`
	Disk     float64 `json:"most_disk_mb"`
	Starts   int     `json:"starts"`
	ReadyMax float64 `json:"slowest_start_s"`
}

// Goal holds the weights of the parts of the service in this deployment.
var Goal = figures.Goal{Whole: 0.45, Window: 0.25, Class: 0.2, Tenant: 0.1}

// Recorder processes the records of a run. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	check   *rules.Checker
	count   *figures.Counter
	out     *trace.Writer
	file    io.Closer
	dir     string
	last    time.Duration
	summary Summary
	began   time.Time
}

// Limits returns the limits of the rules for a day.
func Limits(d world.Day, blur time.Duration) rules.Limits {
	l := rules.Limits{DrainGrace: time.Duration(d.Scenario.Rules.DrainGraceMs * float64(time.Millisecond)), Slots: d.Slots, MaxOpen: d.MaxOpen,
		MaxAttempts: d.Scenario.Rules.MaxAttempts, Blur: blur}
	for _, c := range d.Scenario.Classes {
		l.Never = append(l.Never, c.Repeat == "never")
	}
	for _, e := range d.Endpoints {
		l.Dest = append(l.Dest, e.Dest)
	}
	return rules.Protocol(l)
}

// evenShares returns one node's even share of the limit of each destination.
func evenShares(d world.Day) (all []float64) {
	for _, dest := range d.Dests {
		all = append(all, dest.Limit/float64(len(d.Nodes)))
	}
	return all
}

// Classes returns the worths of the classes of a day.
func Classes(d world.Day) (all []figures.Class) {
	for _, c := range d.Scenario.Classes {
		all = append(all, figures.Class{Name: c.Name, Aim: time.Duration(c.AimMs * float64(time.Millisecond)),
			Deadline: time.Duration(c.DeadlineS * float64(time.Second)), Worth: c.Worth, Late: c.LateWorth})
	}
	return all
}

// Revision returns the VCS revision of this program.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	rev, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) > 12:
			rev = s.Value[:12]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " and changes"
		}
	}
	return rev + dirty
}

// New returns a Recorder. With an empty dir it writes no files.
func New(d world.Day, way, dir string, blur time.Duration) (*Recorder, error) {
	r := &Recorder{check: rules.New(Limits(d, blur)), dir: dir, began: time.Now(),
		count: figures.New(Classes(d), len(d.Scenario.Tenants), Goal, d.Length, evenShares(d)),
		summary: Summary{Scenario: d.Scenario.Name, Seed: d.Seed, Way: way, Revision: Revision(), Length: d.Length.Seconds(),
			Nodes: len(d.Nodes)}}
	if dir == "" {
		return r, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("creating the run directory: %w", err)
	}
	text, err := json.MarshalIndent(d.Scenario, "", " ")
	if err != nil {
		return nil, fmt.Errorf("encoding the scenario: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "scenario.json"), text, 0o644); err != nil {
		return nil, fmt.Errorf("writing the scenario to the run directory: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, "trace.jsonl"))
	if err != nil {
		return nil, fmt.Errorf("creating the trace in the run directory: %w", err)
	}
	r.out, r.file = trace.NewWriter(f), f
	return r, nil
}

// Note processes a record.
func (r *Recorder) Note(rec trace.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.At = max(rec.At, r.last) // records made concurrently get times in the order of the trace
	r.last = rec.At
	r.check.Observe(rec)
	r.count.Observe(rec)
	if r.out != nil {
		r.out.Add(rec)
	}
}

// Finish ends the run and returns its summary. If the directory cannot be written, it returns the summary and an error.
func (r *Recorder) Finish(fill func(*Summary)) (Summary, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.summary
	s.Broken, s.Account = r.check.Finish(r.last)
	s.Fleet = r.check.Fleet()
	s.Figures = r.count.Finish()
	s.Took = time.Since(r.began).Seconds()
	if fill != nil {
		fill(s)
	}
	if r.out == nil {
		return *s, nil
	}
	err := errors.Join(r.out.Close(), r.file.Close())
	text, failed := json.MarshalIndent(s, "", " ")
	if failed == nil {
		failed = os.WriteFile(filepath.Join(r.dir, "summary.json"), append(text, '\n'), 0o644)
	}
	return *s, errors.Join(err, failed)
}

// Print writes the summary as text.
func (s Summary) Print(w io.Writer) error {
	f := s.Figures
	p := printer{out: w}
	p.line("%s, seed %d, %s: %d nodes, %.0f s (took %.1f s), revision %s", s.Scenario, s.Seed, s.Way, s.Nodes, s.Length, s.Took, s.Revision)
	if s.Variant != "" {
		p.line("flags: %s", s.Variant)
	}
	p.line("served %.4f   whole %.4f   worst 10 s %.4f (from %.0f s)   worst class %.4f   worst tenant %.4f",
		f.Served, f.Whole, f.Worst10s, f.WorstFrom, f.Class, f.Tenant)
	p.line("messages %d, tries %d, delivered %d; ms: median %.0f, 99th percentile %.0f, longest %.0f", f.Messages, f.Tries, f.Delivered, f.P50, f.P99, f.Max)
	p.line("calls %d (%.2f a message), refused %.3f of them, ends %v; connections %d, failed %d; list lines %d",
		f.Calls, f.PerMsg, f.Refused, f.Ends, f.Conns, f.NoConns, f.Asked)
	a := s.Account
	p.line("most calls in 2 s from a node to a destination: %.2f of its even part of the limit", f.InWindow)
	p.line("accepted %d: delivered %d, handed back %d, given up %d, lost %d, orphaned with a lost data directory %d, open %d; turned away %d",
		a.Accepted, a.Delivered, a.Refused, a.GivenUp, a.Lost, a.Orphans, a.Open, a.TurnedAway)
	for _, u := range s.Usage {
		p.line("node %d: CPU %.2f s, memory %.1f MB, descriptors %d, disk %.2f MB, %d starts, the slowest %.2f s", u.Node, u.CPU, u.RSS, u.Files,
			u.Disk, u.Starts, u.ReadyMax)
	}
	for _, c := range f.Recovery {
		if c.Took < 0 {
			p.line("after the end of %s at %.1f s: service did not recover", c.Fault, c.At)
		} else {
			p.line("after the end of %s at %.1f s: service recovered within %.0f s", c.Fault, c.At, c.Took+1)
		}
	}
	if s.Fleet != nil {
		p.line("fleet of %d: false suspicions %d in %.0f s without a fault", s.Fleet.Nodes, s.Fleet.FalseSuspicions, s.Fleet.Calm)
		for _, what := range []string{"start", "leaving", "death"} {
			if k, seen := s.Fleet.Known[what]; seen {
				p.line("  %s known after: median %.2f s, 99th percentile %.2f s, at most %.2f s (%d)", what, k.Median, k.P99, k.Most, k.Count)
			}
		}
	}
	if s.Invalid != "" {
		p.line("INVALID: %s", s.Invalid)
	}
	if len(s.Broken) == 0 {
		p.line("all rules kept")
	}
	for _, b := range s.Broken {
		p.line("BROKEN %s", b)
	}
	return p.err
}

type printer struct {
	out io.Writer
	err error
}

func (p *printer) line(form string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, form+"\n", args...)
	}
}
