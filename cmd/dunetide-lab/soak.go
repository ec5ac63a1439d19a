package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/lab/soak"
	"dunetide/internal/lab/tier/cluster"
)

type soakCommand struct {
	Seed    uint64        `default:"1" help:"The first seed. Each draws a plan: what there is, the troubles, the end."`
	Seeds   int           `default:"1" help:"How many seeds are played, one after another."`
	Length  time.Duration `default:"24s" help:"How long troubles come; the end and the time to recover come on top."`
	Series  bool          `help:"Draw signals, restarts and changes in series that overlap, with clients that keep connections in use until their processes are gone."`
	Only    []int         `help:"Only the troubles of these numbers, of the plan of one seed."`
	Final   string        `help:"Another end than the drawn one: none, kill-all, wipe-and-dark or restart-all." default:""`
	Shrink  bool          `help:"Play a seed that broke a promise again, each time without one of its troubles, and keep those that it takes."`
	Show    bool          `help:"Print the plans and play nothing."`
	Out     string        `help:"A folder for the accounts, settings, disks and logs of the plays that broke a promise; without it they are removed."`
	Program string        `help:"A program that dials through the lab's hub; without it, dunetide of this checkout is built so." type:"existingfile"`
}

// Run runs plans of overlapping faults.
func (c *soakCommand) Run(ctx context.Context) error {
	work, err := os.MkdirTemp("", "dunetide-lab-soak-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(work) }() // a temporary directory
	program := c.Program
	if program == "" && !c.Show {
		program = filepath.Join(work, "dunetide")
		if err := cluster.BuildRelayed(ctx, program); err != nil {
			return err
		}
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		plan := c.plan(seed).Only(c.Only)
		if c.Final != "" {
			plan.Final = soak.Final(c.Final)
		}
		if c.Show {
			showPlan(plan)
			continue
		}
		bad, err := c.play(ctx, program, work, plan, true)
		if err != nil {
			return err
		}
		if !bad {
			continue
		}
		broken++
		if c.Shrink {
			if err := c.shrink(ctx, program, work, plan); err != nil {
				return err
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d of %d seeds", errBroken, broken, c.Seeds)
	}
	return nil
}

// plan draws the plan of a seed.
func (c *soakCommand) plan(seed uint64) soak.Plan {
	if c.Series {
		return soak.RandomSeriesPlan(seed, c.Length)
	}
	return soak.RandomPlan(seed, c.Length)
}

func showPlan(plan soak.Plan) {
	fmt.Printf("seed %d: %+v, final %s, load %.2f, clients that leave %.2f\n", plan.Seed, plan.Shape, plan.Final, plan.Load, plan.LeaveShare)
	for _, t := range plan.Faults {
		fmt.Printf("  %v\n", t)
	}
}

// play runs one plan and reports whether a rule was violated.
func (c *soakCommand) play(ctx context.Context, program, work string, plan soak.Plan, verbose bool) (bad bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, plan.MaxDuration())
	defer cancel()
	dir := filepath.Join(work, "run")
	if err := os.RemoveAll(dir); err != nil {
		return false, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	account, err := soak.Play(ctx, soak.Options{Program: program, Dir: dir, Plan: plan, Logf: logf})
	if err != nil {
		return true, errors.Join(fmt.Errorf("seed %d: %w", plan.Seed, err), c.keep(dir, plan.Seed))
	}
	if verbose {
		err = account.Print(os.Stdout)
	}
	if account.Failed() {
		err = errors.Join(err, account.Save(dir), c.keep(dir, plan.Seed))
	}
	return account.Failed(), err
}

// keep copies the directory of a run to the output directory.
func (c *soakCommand) keep(dir string, seed uint64) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	kept := filepath.Join(c.Out, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(kept); err != nil {
		return err
	}
	return os.CopyFS(kept, os.DirFS(dir))
}

// shrink removes faults from a plan as long as a rule is still violated without them.
func (c *soakCommand) shrink(ctx context.Context, program, work string, plan soak.Plan) error {
	for i := 0; i < len(plan.Faults); {
		reduced := plan
		reduced.Faults = slices.Delete(slices.Clone(plan.Faults), i, i+1)
		bad, err := c.play(ctx, program, work, reduced, false)
		if err != nil {
			return err
		}
		if bad {
			plan = reduced
		} else {
			i++
		}
	}
	var numbers []string
	for _, t := range plan.Faults {
		numbers = append(numbers, strconv.Itoa(t.Number))
	}
	fmt.Printf("seed %d takes --only=%s\n", plan.Seed, strings.Join(numbers, ","))
	showPlan(plan)
	return nil
}
