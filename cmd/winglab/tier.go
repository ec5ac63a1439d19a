package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"wingmount/internal/lab/tier"
)

type tierCommand struct {
	Seed    uint64        `default:"1" help:"Draws the clients' requests."`
	Length  time.Duration `default:"8s" help:"How long clients ask."`
	Faults  bool          `help:"Kill a store and a keeper, and crash an engine, in the middle: --fault=store,keeper,engine."`
	Fault   []string      `help:"These faults, one after another: ${tierFaults}."`
	Spoil   bool          `help:"Endpoints spoil an answer now and then: no answer, a surplus one, one that is lost or broken off."`
	Load    float64       `default:"1" help:"The rates of requests, over the usual ones."`
	Out     string        `help:"A folder for the account, the settings, disks and logs."`
	Program string        `help:"The tier's program; without it, dunetide of this checkout is built." type:"existingfile"`
}

// tierMost bounds a play beyond the time in which clients ask: starting, finishing jobs, reading back.
const tierMost = 60 * time.Second

// Run plays a small tier of real processes.
func (c *tierCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Length+tierMost)
	defer cancel()
	work, err := os.MkdirTemp("", "winglab-tier-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(work)
	program, err := tierProgram(ctx, c.Program, work)
	if err != nil {
		return err
	}
	dir := filepath.Join(work, "run")
	if c.Out != "" {
		if dir, err = filepath.Abs(c.Out); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	faults := c.Fault
	if c.Faults {
		faults = append([]string{"store", "keeper", "engine"}, faults...)
	}
	a, err := tier.Play(ctx, tier.Options{Program: program, Dir: dir, Seed: c.Seed, Length: c.Length, Faults: faults, Spoil: c.Spoil, Load: c.Load,
		Say: func(form string, args ...any) { fmt.Fprintf(os.Stderr, form+"\n", args...) }})
	if err != nil && a.Kinds == nil {
		return err
	}
	if err := errors.Join(err, a.Print(os.Stdout), a.Save(dir)); err != nil {
		return err
	}
	switch {
	case len(a.Broken) > 0:
		return errBroken
	case a.Bad():
		return fmt.Errorf("%w: processes ended by themselves, or the configuration did not come back", errBroken)
	}
	return nil
}

// tierProgram gives the tier's program: the one that is named, or that of this checkout, built into a folder.
func tierProgram(ctx context.Context, named, dir string) (string, error) {
	if named != "" {
		return filepath.Abs(named)
	}
	program := filepath.Join(dir, "dunetide")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "wingmount/cmd/dunetide").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building dunetide (run this inside the checkout, or give --program): %w\n%s", err, out)
	}
	return program, nil
}
