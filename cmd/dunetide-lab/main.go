// Command dunetide-lab is the project's lab: it runs days of an emulated deployment, in simulated time or against real delivery
// nodes, and reports what was served and which rules were violated.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"dunetide/internal/lab/insim"
	"dunetide/internal/lab/live"
	"dunetide/internal/lab/record"
	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/tier"
	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

type commands struct {
	Demo    demoCommand          `cmd:"" help:"Build the node, play a short quiet day against it, and account for each message."`
	Run     runCommand           `cmd:"" help:"Play a scenario against real delivery nodes on loopback sockets."`
	Fleet   fleetCommand         `cmd:"" help:"Play a fleet of real nodes, with relays that break what is between them."`
	Tier    tierCommand          `cmd:"" help:"Play a small serving tier of real dunetide processes, with endpoints and clients around it."`
	Soak    soakCommand          `cmd:"" help:"Play a serving tier of real dunetide processes under drawn troubles that overlap, and check what it promises."`
	Night   certificationCommand `cmd:"" help:"Play a busy night with certified nodes: real dunetide processes, twice the traffic, nodes lost, a certificate withdrawn."`
	Hollow  hollowCommand        `cmd:"" help:"Measure what control costs by size: real keepers and stores, hollow proxies and endpoints."`
	Sim     simCommand           `cmd:"" help:"Play a scenario in simulated time: one module for each node, no sockets."`
	Compare compareCommand       `cmd:"" help:"A against B, in pairs by seed: two builds, revisions, sets of flags or settings."`
	Sweep   sweepCommand         `cmd:"" help:"One setting, or two, over some values, in step."`
	Report  reportCommand        `cmd:"" help:"One page with plots of a run, or of two."`
	Check   checkCommand         `cmd:"" help:"Read the trace of a run again: its rules and its figures."`
	Ledger  ledgerCommand        `cmd:"" help:"Account for what days of the bench lost: by kind of request, reason and second."`
	Ablate  ablateCommand        `cmd:"" help:"Play days of the bench with one mechanism of placement switched off at a time."`
}

type simCommand struct {
	Scenario string `arg:"" help:"The scenario's file."`
	Seed     uint64 `default:"1" help:"Draws the day."`
	Out      string `help:"A folder for the trace and the summary."`
	Nodes    int    `help:"So many nodes, whatever the scenario says."`
}

type runCommand struct {
	Scenario string   `arg:"" help:"The scenario's file."`
	Seed     uint64   `default:"1" help:"Draws the day."`
	Out      string   `help:"A folder for the trace, the summary, and the nodes' folders and logs."`
	Nodes    int      `help:"So many nodes, whatever the scenario says."`
	Node     string   `help:"The node's program; without it, that of this checkout is built." type:"existingfile"`
	Flag     []string `help:"A flag of the node, such as --flag=-sync; may be given more than once." sep:"none"`
}

type checkCommand struct {
	Dir string `arg:"" help:"The folder of a run." type:"existingdir"`
}

// Run checks a stored trace against the scenario stored with it.
func (c *checkCommand) Run() error {
	text, err := os.ReadFile(filepath.Join(c.Dir, "scenario.json"))
	if err != nil {
		return err
	}
	var s scenario.Scenario
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("decoding the run's scenario: %w", err)
	}
	var was record.Summary
	if text, err = os.ReadFile(filepath.Join(c.Dir, "summary.json")); err != nil {
		return err
	}
	if err := json.Unmarshal(text, &was); err != nil {
		return fmt.Errorf("decoding the run's summary: %w", err)
	}
	sum, err := reread(filepath.Join(c.Dir, "trace.jsonl"), world.Draw(s, was.Seed))
	if err != nil {
		return err
	}
	sum.Way, sum.Revision, sum.Variant, sum.Invalid, sum.Usage = was.Way, was.Revision, was.Variant, was.Invalid, was.Usage
	return printSummary(sum)
}

// reread checks a trace and computes its statistics record by record, so that memory stays bounded.
func reread(path string, d world.Day) (record.Summary, error) {
	f, err := os.Open(path)
	if err != nil {
		return record.Summary{}, err
	}
	defer func() { _ = f.Close() }() // it was only read
	r, err := record.New(d, "", "", blur)
	if err != nil {
		return record.Summary{}, err
	}
	if err := trace.Read(f, r.Note); err != nil {
		return record.Summary{}, fmt.Errorf("%s: %w", path, err)
	}
	return r.Finish(nil)
}

type demoCommand struct{}

// blur is how late a run on sockets may observe that a call or a message has ended.
const blur = 100 * time.Millisecond

// errBroken makes the program exit with status 2: the run itself succeeded, but rules were violated.
var errBroken = errors.New("rules were broken")

// Run runs the simulation; kong calls it.
func (c *simCommand) Run(ctx context.Context) error {
	s, err := scenario.Read(c.Scenario)
	if err != nil {
		return err
	}
	if c.Nodes > 0 {
		s.Nodes.Count = c.Nodes
	}
	sum, err := playSimulated(ctx, world.Draw(s, c.Seed), c.Out)
	if err != nil {
		return err
	}
	return printSummary(sum)
}

func playSimulated(ctx context.Context, d world.Day, dir string) (record.Summary, error) {
	r, err := record.New(d, "sim", dir, time.Millisecond)
	if err != nil {
		return record.Summary{}, err
	}
	seen := time.Duration(-1)
	err = insim.Run(d, r.Note, func(now time.Duration) bool {
		if now-seen < 100*time.Millisecond {
			return false
		}
		seen = now
		return ctx.Err() != nil
	})
	sum, wrote := r.Finish(func(s *record.Summary) {
		if err != nil {
			s.Invalid = err.Error()
		}
	})
	return sum, errors.Join(err, wrote)
}

// Run runs real nodes; kong calls it.
func (c *runCommand) Run(ctx context.Context) error {
	s, err := scenario.Read(c.Scenario)
	if err != nil {
		return err
	}
	if c.Nodes > 0 {
		s.Nodes.Count = c.Nodes
	}
	return c.play(ctx, s)
}

func (c *runCommand) play(ctx context.Context, s scenario.Scenario) error {
	program, clean, err := nodeProgram(ctx, c.Node)
	if err != nil {
		return err
	}
	defer clean()
	sum, err := playLive(ctx, world.Draw(s, c.Seed), c.Out, program, c.Flag)
	if sum.Scenario != "" {
		return errors.Join(err, printSummary(sum))
	}
	return err
}

// Run runs the demo; kong calls it.
func (demoCommand) Run(ctx context.Context) error {
	s := scenario.Default()
	s.Name, s.LengthS = "demo", scenario.Range{8, 8}
	fmt.Println("two delivery nodes, 8 s of client traffic, ten or more destinations; then the run waits for the remaining messages to end")
	return (&runCommand{Seed: 1}).play(ctx, s)
}

// nodeProgram returns the path of the node's program: the named one, or the one of this checkout, which it builds.
func nodeProgram(ctx context.Context, named string) (program string, clean func(), err error) {
	if named != "" {
		program, err = filepath.Abs(named)
		return program, func() {}, err
	}
	dir, err := os.MkdirTemp("", "dunetide-lab-node-")
	if err != nil {
		return "", nil, fmt.Errorf("building the node: %w", err)
	}
	clean = func() { _ = os.RemoveAll(dir) }
	program = filepath.Join(dir, "deliverynode")
	if out, err := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", program, "dunetide/cmd/deliverynode").CombinedOutput(); err != nil {
		clean()
		return "", nil, fmt.Errorf("building the node (run this inside the checkout, or give --node): %w\n%s", err, out)
	}
	return program, clean, nil
}

// maxLateShare is the share of tries that the lab may submit late before a run is invalid.
const maxLateShare = 0.01

func playLive(ctx context.Context, d world.Day, dir, program string, flags []string) (record.Summary, error) {
	work := dir
	if work == "" {
		tmp, err := os.MkdirTemp("", "dunetide-lab-run-")
		if err != nil {
			return record.Summary{}, err
		}
		defer func() { _ = os.RemoveAll(tmp) }() // a temporary directory
		work = tmp
	}
	r, err := record.New(d, "run", dir, blur)
	if err != nil {
		return record.Summary{}, err
	}
	o := live.Options{Node: program, Flags: flags, Dir: filepath.Join(work, "nodes"), Day: d, Note: r.Note}
	if isTerminal(os.Stderr) {
		o.Progress = func(now, end time.Duration) {
			fmt.Fprintf(os.Stderr, "\r%s seed %d: %3.0f of %3.0f s, %3.0f s more at most ", d.Scenario.Name, d.Seed, now.Seconds(), d.Length.Seconds(), (end - now).Seconds())
		}
		defer fmt.Fprintln(os.Stderr)
	}
	uses, err := live.Run(ctx, o)
	sum, wrote := r.Finish(func(s *record.Summary) {
		s.Variant = strings.Join(flags, " ")
		if late := s.Figures.LateSends; float64(late) > maxLateShare*float64(s.Figures.Tries) {
			s.Invalid = fmt.Sprintf("the lab submitted %d of %d tries late: the load generator fell behind", late, s.Figures.Tries)
		}
		if err != nil {
			s.Invalid = err.Error()
		}
		for i, u := range uses {
			s.Usage = append(s.Usage, record.Usage{Node: i, CPU: u.CPU.Seconds(), RSS: float64(u.RSS) / 1e6, Files: u.Files,
				Disk: float64(u.Disk) / 1e6, Starts: u.Starts, ReadyMax: u.SlowestStart.Seconds()})
		}
	})
	return sum, errors.Join(err, wrote)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printSummary(s record.Summary) error {
	if err := s.Print(os.Stdout); err != nil {
		return err
	}
	if len(s.Broken) > 0 {
		return errBroken
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c commands
	k := kong.Parse(&c, kong.Name("dunetide-lab"), kong.Description("The lab: days of an emulated deployment, and what delivery nodes make of them."),
		kong.UsageOnError(), kong.Vars{"tierFaults": strings.Join(tier.Faults(), ", ")}, kong.BindTo(ctx, (*context.Context)(nil)))
	if err := k.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "dunetide-lab: %v\n", err)
		if errors.Is(err, errBroken) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
