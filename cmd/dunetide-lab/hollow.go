package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"dunetide/internal/lab/tier/hollow"
)

type hollowCommand struct {
	Proxies   []int         `default:"50,100,200" help:"Hollow proxies, one size after another."`
	Endpoints []int         `default:"600" help:"Hollow endpoints: of all sizes, or of each."`
	Zones     int           `default:"3" help:"Zones."`
	Keepers   int           `default:"2" help:"Keepers in each zone, with a real proxy beside each."`
	Stores    int           `default:"3" help:"Stores."`
	BeatEvery time.Duration `default:"1.2s" help:"Between heartbeats."`
	Length    time.Duration `default:"10s" help:"How long a size is measured without changes."`
	Changes   int           `default:"4" help:"Changes of the configuration at each size."`
	Every     time.Duration `default:"2s" help:"Between them."`
	Tenants   int           `default:"230" help:"Routes of a configuration."`
	Models    int           `default:"22" help:"Its services, over which each route has shares."`
	Out       string        `help:"A folder for the figures as CSV, the settings, disks and logs."`
	Program   string        `help:"The tier's program; without it, dunetide of this checkout is built." type:"existingfile"`
}

// maxHollow limits the duration of a size beyond the time in which it is measured.
const maxHollow = 3 * time.Minute

func (c *hollowCommand) sizes() (sizes []hollow.Size, err error) {
	for i, n := range c.Proxies {
		s := hollow.Size{Proxies: n, Endpoints: c.Endpoints[0]}
		if len(c.Endpoints) > 1 {
			if len(c.Endpoints) != len(c.Proxies) {
				return nil, errors.New("--endpoints: give one for all sizes, or as many as --proxies has")
			}
			s.Endpoints = c.Endpoints[i]
		}
		if s.Proxies < 1 || s.Proxies > 1000 || s.Endpoints < 1 || s.Endpoints > 2000 {
			return nil, errors.New("--proxies must be between 1 and 1000, --endpoints between 1 and 2000")
		}
		sizes = append(sizes, s)
	}
	if c.Zones < 1 || c.Keepers < 1 || c.Zones*c.Keepers+c.Stores > 60 {
		return nil, errors.New("--zones, --keepers, --stores: at least one keeper, and at most 60 keeper and store processes")
	}
	if c.Changes < 1 || c.Tenants < 1 || c.Models < 1 {
		return nil, errors.New("--changes, --tenants, --models: must be at least 1")
	}
	return sizes, nil
}

// Run measures the cost of the control plane by size.
func (c *hollowCommand) Run(ctx context.Context) error {
	sizes, err := c.sizes()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(len(sizes))*(c.Length+time.Duration(c.Changes)*c.Every+maxHollow))
	defer cancel()
	work, err := os.MkdirTemp("", "dunetide-lab-hollow-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(work) }() // a temporary directory
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
	report, err := hollow.Run(ctx, hollow.Options{Program: program, Dir: dir, Sizes: sizes, Zones: c.Zones, Keepers: c.Keepers, Stores: c.Stores,
		HeartbeatInterval: c.BeatEvery, Quiet: c.Length, Changes: c.Changes, ChangeEvery: c.Every, Tenants: c.Tenants, Models: c.Models,
		Logf: func(form string, args ...any) { fmt.Fprintf(os.Stderr, form+"\n", args...) }})
	if len(report.Sizes) == 0 {
		return err
	}
	f, failed := os.Create(filepath.Join(dir, "hollow.csv"))
	if failed != nil {
		return errors.Join(err, failed)
	}
	return errors.Join(err, report.Print(os.Stdout), report.CSV(f), f.Close())
}
