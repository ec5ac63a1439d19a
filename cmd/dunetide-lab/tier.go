package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"dunetide/internal/lab/tier"
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

// maxTier limits the duration of a run beyond the time in which clients send requests: start-up, finishing jobs, reading results
// back.
const maxTier = 60 * time.Second

// prepare builds the program, if none is given, and creates the directory of a run. stop removes the temporary files.
func prepare(ctx context.Context, program, out string) (built, dir string, stop func(), err error) {
	work, err := os.MkdirTemp("", "dunetide-lab-tier-")
	if err != nil {
		return "", "", nil, err
	}
	stop = func() { _ = os.RemoveAll(work) } // a temporary directory
	program, err = tierProgram(ctx, program, work)
	dir = filepath.Join(work, "run")
	if err == nil && out != "" {
		dir, err = filepath.Abs(out)
	}
	if err == nil {
		err = os.MkdirAll(dir, 0o755)
	}
	if err != nil {
		stop()
		return "", "", nil, err
	}
	return program, dir, stop, nil
}

func logf(form string, args ...any) { fmt.Fprintf(os.Stderr, form+"\n", args...) }

// exitError returns the error with which the program exits for an account.
func exitError(a tier.Account) error {
	switch {
	case len(a.Violations) > 0:
		return errBroken
	case a.Failed():
		return fmt.Errorf("%w: processes exited unexpectedly, or the configuration was not restored", errBroken)
	}
	return nil
}

// Run runs a small tier of real processes.
func (c *tierCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Length+maxTier)
	defer cancel()
	program, dir, stop, err := prepare(ctx, c.Program, c.Out)
	if err != nil {
		return err
	}
	defer stop()
	faults := c.Fault
	if c.Faults {
		faults = append([]string{"store", "keeper", "engine"}, faults...)
	}
	a, err := tier.Play(ctx, tier.Options{Program: program, Dir: dir, Seed: c.Seed, Length: c.Length, Faults: faults, CorruptAnswers: c.Spoil, Load: c.Load, Logf: logf})
	if err != nil && a.Kinds == nil {
		return err
	}
	if err := errors.Join(err, a.Print(os.Stdout), a.Save(dir)); err != nil {
		return err
	}
	return exitError(a)
}

type certificationCommand struct {
	Seed    uint64        `default:"1" help:"Draws the clients' requests and the order of the troubles."`
	Length  time.Duration `default:"12s" help:"How long clients ask."`
	Spoil   bool          `help:"Endpoints spoil an answer now and then."`
	Load    float64       `default:"1" help:"The rates of requests, over those of a busy night, which are twice the usual ones."`
	Out     string        `help:"A folder for the account, the settings, disks and logs."`
	Program string        `help:"The tier's program; without it, dunetide of this checkout is built." type:"existingfile"`
}

// Run runs a busy night.
func (c *certificationCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Length+maxTier)
	defer cancel()
	program, dir, stop, err := prepare(ctx, c.Program, c.Out)
	if err != nil {
		return err
	}
	defer stop()
	a, err := tier.PlayCertification(ctx, tier.Options{Program: program, Dir: dir, Seed: c.Seed, Length: c.Length, CorruptAnswers: c.Spoil, Load: c.Load, Logf: logf})
	if err != nil && a.Kinds == nil {
		return err
	}
	if err := errors.Join(err, a.Print(os.Stdout), a.Save(dir)); err != nil {
		return err
	}
	return exitError(a.Account)
}

// tierProgram returns the path of the tier's program: the named one, or the one of this checkout, which it builds into a directory.
func tierProgram(ctx context.Context, named, dir string) (string, error) {
	if named != "" {
		return filepath.Abs(named)
	}
	program := filepath.Join(dir, "dunetide")
	if out, err := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", program, "dunetide/cmd/dunetide").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building dunetide (run this inside the checkout, or give --program): %w\n%s", err, out)
	}
	return program, nil
}
