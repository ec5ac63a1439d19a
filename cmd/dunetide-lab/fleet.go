package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/world"
)

type fleetCommand struct {
	Scenario string        `arg:"" help:"The scenario's file, with a table [fleet]."`
	Seed     uint64        `default:"1" help:"Draws the day; the first one with --for."`
	Out      string        `help:"A folder for the trace, the summary, and the nodes' folders and logs."`
	Nodes    int           `help:"So many nodes, whatever the scenario says."`
	Node     string        `help:"The node's program; without it, that of this checkout is built." type:"existingfile"`
	Flag     []string      `help:"A further flag of the node; may be given more than once." sep:"none"`
	For      time.Duration `help:"Play one seed after another for so long, until a rule is broken."`
}

// Run runs a fleet of real processes with faults between them.
func (c *fleetCommand) Run(ctx context.Context) error {
	s, err := scenario.Read(c.Scenario)
	if err != nil {
		return err
	}
	if c.Nodes > 0 {
		s.Nodes.Count = c.Nodes
	}
	if s.Fleet.Seeds == 0 {
		return fmt.Errorf("%s: fleet.seeds is 0, so the nodes do not form a fleet", c.Scenario)
	}
	program, clean, err := nodeProgram(ctx, c.Node)
	if err != nil {
		return err
	}
	defer clean()
	for began, seed := time.Now(), c.Seed; ; seed++ {
		dir := c.Out
		if dir != "" && c.For > 0 {
			dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		}
		sum, err := playLive(ctx, world.Draw(s, seed), dir, program, c.Flag)
		if sum.Scenario != "" {
			err = errors.Join(err, printSummary(sum))
		}
		if err != nil || time.Since(began) >= c.For {
			return err
		}
	}
}
