package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"dunetide/internal/lab/figures"
	"dunetide/internal/lab/record"
	"dunetide/internal/lab/report"
	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

type compareCommand struct {
	Scenario string   `arg:"" help:"The scenario's file."`
	Seeds    int      `default:"6" help:"So many pairs, of seeds from --first on."`
	First    uint64   `default:"1"`
	Way      string   `enum:"sim,run" default:"run" help:"In step or on sockets."`
	WithA    []string `name:"a" sep:"none" help:"What A is: a flag of the node (-sync), rev=REVISION, node=PROGRAM, or a setting (load.level=[0.9,0.9]). May be given more than once."`
	WithB    []string `name:"b" sep:"none" help:"What B is, likewise."`
	Out      string   `help:"A folder for the runs, the table and the page."`
}

// variant is one side of a comparison.
type variant struct {
	name     string
	flags    []string
	program  string
	scenario scenario.Scenario
}

// variantOf parses one side of the comparison.
func variantOf(ctx context.Context, path, way string, words []string, dir string) (variant, error) {
	v := variant{name: strings.Join(words, " ")}
	if v.name == "" {
		v.name = "as it is"
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return v, fmt.Errorf("reading a scenario: %w", err)
	}
	rev := ""
	settings := map[string]string{}
	for _, w := range words {
		key, value, set := strings.Cut(w, "=")
		switch {
		case strings.HasPrefix(w, "-"):
			v.flags = append(v.flags, w)
		case key == "rev" && set:
			rev = value
		case key == "node" && set:
			v.program = value
		case set:
			settings[key] = value
		default:
			return v, fmt.Errorf("%q is not a flag, revision, program or setting", w)
		}
	}
	if way == "sim" && (rev != "" || v.program != "" || len(v.flags) > 0) {
		return v, errors.New("flags, programs and revisions of the node need --way run")
	}
	if v.scenario, err = scenario.Override(text, settings); err != nil {
		return v, fmt.Errorf("%s: %w", path, err)
	}
	if rev != "" {
		v.program, err = buildRevision(ctx, rev, dir)
	}
	return v, err
}

// buildRevision builds the node at a revision of this repository, in a temporary work tree.
func buildRevision(ctx context.Context, rev, dir string) (program string, err error) {
	hash, err := exec.CommandContext(ctx, "git", "rev-parse", "--verify", rev+"^{commit}").Output()
	if err != nil {
		return "", fmt.Errorf("%q is not a revision of this repository", rev)
	}
	tree := filepath.Join(dir, "tree-"+strings.TrimSpace(string(hash))[:12])
	program = tree + "-deliverynode"
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	if out, err := exec.CommandContext(ctx, "git", "worktree", "add", "--detach", tree, rev).CombinedOutput(); err != nil {
		return "", fmt.Errorf("revision %s: %w\n%s", rev, err, out)
	}
	defer func() {
		if out, e := exec.Command("git", "worktree", "remove", "--force", tree).CombinedOutput(); e != nil {
			err = errors.Join(err, fmt.Errorf("removing the work tree of %s: %w\n%s", rev, e, out))
		}
	}()
	build := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", program, nodePackage(tree))
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w\n%s", rev, err, out)
	}
	return program, nil
}

// nodePackage returns the delivery node's main package in a work tree. Revisions before the program was renamed have it as
// cmd/wingmount.
func nodePackage(tree string) string {
	if _, err := os.Stat(filepath.Join(tree, "cmd", "deliverynode")); err != nil {
		return "./cmd/wingmount"
	}
	return "./cmd/deliverynode"
}

// sideNames are the names of the two sides in output; in directory names they are in lower case.
var sideNames = [2]string{"A", "B"}

// Run runs the pairs and compares them.
func (c *compareCommand) Run(ctx context.Context) error {
	dir, clean, err := c.folder()
	if err != nil {
		return err
	}
	defer clean()
	sides, cleanProgram, err := c.variants(ctx, dir)
	if err != nil {
		return err
	}
	defer cleanProgram()
	runs, broken, err := c.playPairs(ctx, dir, sides)
	if err != nil {
		return err
	}
	effects := effectsOf(runs)
	fmt.Printf("A: %s\nB: %s\n", sides[0].name, sides[1].name)
	printEffects(effects)
	if c.Out != "" && len(runs[0]) > 0 {
		if err := c.page(dir, sides, runs, effects); err != nil {
			return err
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

// folder returns the directory of all runs, which it creates, and a function that removes it if it is temporary.
func (c *compareCommand) folder() (dir string, clean func(), err error) {
	clean = func() {}
	if dir = c.Out; dir == "" {
		if dir, err = os.MkdirTemp("", "dunetide-lab-compare-"); err != nil {
			return "", clean, err
		}
		temporary := dir
		clean = func() { _ = os.RemoveAll(temporary) } // a temporary directory
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return "", clean, err
	}
	return dir, clean, os.MkdirAll(dir, 0o755)
}

// variants returns the two sides. If a side runs real nodes without a named program, the program is built from the working tree;
// clean removes it.
func (c *compareCommand) variants(ctx context.Context, dir string) (sides [2]variant, clean func(), err error) {
	clean = func() {}
	for i, words := range [][]string{c.WithA, c.WithB} {
		if sides[i], err = variantOf(ctx, c.Scenario, c.Way, words, dir); err != nil {
			return sides, clean, err
		}
	}
	if c.Way != "run" {
		return sides, clean, nil
	}
	built, clean, err := nodeProgram(ctx, "")
	if err != nil {
		return sides, func() {}, err
	}
	for i := range sides {
		if sides[i].program == "" {
			sides[i].program = built
		}
	}
	return sides, clean, nil
}

// playPairs runs each seed on both sides, alternating which side runs first, so that drift affects both. It returns the valid pairs,
// and the total number of rule violations.
func (c *compareCommand) playPairs(
	ctx context.Context, dir string, sides [2]variant,
) (runs [2][]record.Summary, broken int, err error) {
	for n := range c.Seeds {
		seed := c.First + uint64(n)
		order := []int{0, 1}
		if n%2 == 1 {
			order = []int{1, 0}
		}
		var pair [2]record.Summary
		for _, side := range order {
			out := filepath.Join(dir, fmt.Sprintf("%s-%d", strings.ToLower(sideNames[side]), seed))
			if pair[side], err = c.playSide(ctx, sides[side], seed, out); err != nil {
				return runs, broken, fmt.Errorf("%s, seed %d: %w", sides[side].name, seed, err)
			}
			broken += len(pair[side].Broken)
			printSide(seed, side, pair[side])
		}
		if pair[0].Invalid == "" && pair[1].Invalid == "" { // an invalid run makes the pair meaningless
			runs[0], runs[1] = append(runs[0], pair[0]), append(runs[1], pair[1])
		}
	}
	return runs, broken, nil
}

// playSide runs a seed on one side.
func (c *compareCommand) playSide(ctx context.Context, v variant, seed uint64, out string) (record.Summary, error) {
	drawn := world.Draw(v.scenario, seed)
	if c.Way == "sim" {
		return playSimulated(ctx, drawn, out)
	}
	return playLive(ctx, drawn, out, v.program, v.flags)
}

func printSide(seed uint64, side int, s record.Summary) {
	fmt.Printf("seed %d %s: served %.4f, refused %.3f, broken %d%s\n",
		seed, sideNames[side], s.Figures.Served, s.Figures.Refused, len(s.Broken), invalid(s))
}

func invalid(s record.Summary) string {
	if s.Invalid == "" {
		return ""
	}
	return ", INVALID: " + s.Invalid
}

// effectsOf compares all statistics, and the resource usage of real processes.
func effectsOf(runs [2][]record.Summary) (all []figures.Effect) {
	if len(runs[0]) == 0 {
		return nil
	}
	add := func(name string, more bool, of func(record.Summary) float64) {
		var values [2][]float64
		for side := range runs {
			for _, s := range runs[side] {
				values[side] = append(values[side], of(s))
			}
		}
		all = append(all, figures.Paired(name, more, values[0], values[1]))
	}
	for _, f := range figures.Compared {
		add(f.Name, f.More, func(s record.Summary) float64 { return f.Of(s.Figures) })
	}
	if len(runs[0][0].Usage) == 0 {
		return all
	}
	sum := func(of func(record.Usage) float64) func(record.Summary) float64 {
		return func(s record.Summary) (total float64) {
			for _, u := range s.Usage {
				total += of(u)
			}
			return total
		}
	}
	add("CPU, s", false, sum(func(u record.Usage) float64 { return u.CPU }))
	add("memory, MB", false, sum(func(u record.Usage) float64 { return u.RSS }))
	add("descriptors", false, sum(func(u record.Usage) float64 { return float64(u.Files) }))
	add("disk, MB", false, sum(func(u record.Usage) float64 { return u.Disk }))
	return all
}

func printEffects(effects []figures.Effect) {
	fmt.Printf("%-22s %10s %10s %10s  %-24s %s\n", "", "A", "B", "B - A", "95% of the mean", "pairs")
	for _, e := range effects {
		interval := "one pair: none"
		if !math.IsInf(e.Low, 0) {
			interval = fmt.Sprintf("%+.4g to %+.4g", e.Low, e.High)
		}
		fmt.Printf("%-22s %10.4g %10.4g %+10.3g  %-24s %d  %s\n", e.Name, e.MeanA, e.MeanB, e.Diff, interval, e.Pairs, e.Seen)
	}
}

// page writes the page with the plots of the first pair and the table of all pairs.
func (c *compareCommand) page(dir string, sides [2]variant, runs [2][]record.Summary, effects []figures.Effect) error {
	var both []report.Run
	for side, s := range []string{"A", "B"} {
		sum := runs[side][0]
		bands, err := bandsOf(filepath.Join(dir, fmt.Sprintf("%s-%d", strings.ToLower(s), sum.Seed), "trace.jsonl"))
		if err != nil {
			return err
		}
		both = append(both, report.Run{Name: fmt.Sprintf("%s (%s), seed %d", s, sides[side].name, sum.Seed), Summary: sum, Bands: bands})
	}
	return writePage(filepath.Join(dir, "compare.html"), runs[0][0].Scenario, both, effects)
}

func writePage(path, title string, runs []report.Run, effects []figures.Effect) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = report.Page(f, title, runs, effects)
	fmt.Println("page:", path)
	return errors.Join(err, f.Close())
}

// bandsOf reads the faults of a run from its trace.
func bandsOf(path string) (all []report.Band, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened read-only
	seen := map[string]bool{}
	err = trace.Read(f, func(r trace.Record) {
		key := fmt.Sprint(r.Result, r.Until)
		if r.What != trace.Fault || r.Until == 0 || seen[key] {
			return
		}
		seen[key] = true
		all = append(all, report.Band{What: r.Result, From: r.At.Seconds(), Until: math.Max(r.Until.Seconds(), r.At.Seconds()+0.3)})
	})
	return all, err
}

type reportCommand struct {
	Dirs []string `arg:"" help:"The folder of a run, or of two." type:"existingdir"`
	PNG  string   `help:"Write this plot (worth, latency or calls) as picture instead, to --out."`
	Out  string   `help:"Where to; report.html in the first folder if not given."`
}

// Run writes a page, or one plot as PNG.
func (c *reportCommand) Run() error {
	if len(c.Dirs) > 2 {
		return errors.New("expected one or two run directories")
	}
	var runs []report.Run
	for _, dir := range c.Dirs {
		text, err := os.ReadFile(filepath.Join(dir, "summary.json"))
		if err != nil {
			return err
		}
		r := report.Run{Name: filepath.Base(dir)}
		if err := json.Unmarshal(text, &r.Summary); err != nil {
			return fmt.Errorf("%s: %w", dir, err)
		}
		if r.Bands, err = bandsOf(filepath.Join(dir, "trace.jsonl")); err != nil {
			return err
		}
		runs = append(runs, r)
	}
	out := c.Out
	if c.PNG != "" {
		if out == "" {
			return errors.New("--png needs --out")
		}
		f, err := os.Create(out)
		if err != nil {
			return err
		}
		return errors.Join(report.Plot(f, c.PNG, runs), f.Close())
	}
	if out == "" {
		out = filepath.Join(c.Dirs[0], "report.html")
	}
	return writePage(out, runs[0].Summary.Scenario, runs, nil)
}

type sweepCommand struct {
	Scenario string   `arg:"" help:"The scenario's file."`
	Set      []string `required:"" sep:"none" help:"A setting and its values: load.level=0.5,0.7,0.9. Twice for all pairs of two."`
	Seeds    int      `default:"5"`
	First    uint64   `default:"1"`
	Nodes    int      `help:"So many nodes, whatever the scenario says."`
}

// Run simulates each value over several seeds.
func (c *sweepCommand) Run(ctx context.Context) error {
	if len(c.Set) > 2 {
		return errors.New("expected one or two settings")
	}
	text, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	points, err := sweepPoints(c.Set)
	if err != nil {
		return err
	}
	fmt.Printf("%-40s %8s %8s %8s %8s %8s %6s\n", "", "served", "least", "most", "p99 ms", "refused", "broken")
	broken := 0
	for _, point := range points {
		s, err := scenario.Override(text, point)
		if err != nil {
			return err
		}
		if c.Nodes > 0 {
			s.Nodes.Count = c.Nodes
		}
		row, err := c.playPoint(ctx, s)
		if err != nil {
			return err
		}
		broken += row.broken
		row.print(c.pointName(point), float64(c.Seeds))
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

// sweepPoints returns all combinations of the settings' values, each as a map from setting to value.
func sweepPoints(settings []string) ([]map[string]string, error) {
	points := []map[string]string{{}}
	for _, setting := range settings {
		key, values, ok := strings.Cut(setting, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not a setting with values", setting)
		}
		var next []map[string]string
		for _, point := range points {
			for _, value := range strings.Split(values, ",") {
				combined := maps.Clone(point)
				combined[key] = value
				next = append(next, combined)
			}
		}
		points = next
	}
	return points, nil
}

// pointName returns the name of a point, with the settings in the order of the command line.
func (c *sweepCommand) pointName(point map[string]string) string {
	var names []string
	for _, setting := range c.Set {
		key, _, _ := strings.Cut(setting, "=")
		names = append(names, key+"="+point[key])
	}
	return strings.Join(names, " ")
}

// sweepRow accumulates the results of all seeds of a point.
type sweepRow struct {
	served, p99, refused float64 // sums over the seeds
	least, most          float64 // served
	broken               int
}

func (c *sweepCommand) playPoint(ctx context.Context, s scenario.Scenario) (sweepRow, error) {
	row := sweepRow{least: math.Inf(1), most: math.Inf(-1)}
	for n := range c.Seeds {
		sum, err := playSimulated(ctx, world.Draw(s, c.First+uint64(n)), "")
		if err != nil {
			return row, err
		}
		f := sum.Figures
		row.served, row.p99, row.refused = row.served+f.Served, row.p99+f.P99, row.refused+f.Refused
		row.least, row.most = min(row.least, f.Served), max(row.most, f.Served)
		row.broken += len(sum.Broken)
	}
	return row, nil
}

func (r *sweepRow) print(name string, seeds float64) {
	fmt.Printf("%-40s %8.4f %8.4f %8.4f %8.0f %8.3f %6d\n",
		name, r.served/seeds, r.least, r.most, r.p99/seeds, r.refused/seeds, r.broken)
}
