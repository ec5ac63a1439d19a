package main

import (
	"context"
	"errors"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/record"
	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/world"
)

// builtNode builds the node's program and returns its path.
func builtNode(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "deliverynode")
	if out, err := exec.Command("go", "build", "-o", program, "dunetide/cmd/deliverynode").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

func short(seconds float64, faults ...scenario.Fault) scenario.Scenario {
	s := scenario.Default()
	s.Name, s.LengthS, s.Faults = "test", scenario.Range{seconds, seconds}, faults
	s.Dest.Count = scenario.Range{6, 6}
	return s
}

// TestBothWaysAgree runs a day with a kill, a silent endpoint and a drain in the simulation and on sockets, and compares the
// results. The bounds are those of docs/lab.md, wide enough for a busy machine.
func TestBothWaysAgree(t *testing.T) {
	s := short(9,
		scenario.Fault{What: "kill", AtS: scenario.Range{2, 2}, Part: scenario.Range{0.5, 0.5}},
		scenario.Fault{What: "silent", AtS: scenario.Range{3, 3}, ForS: scenario.Range{1, 1}, Part: scenario.Range{0.1, 0.1}},
		scenario.Fault{What: "drain", AtS: scenario.Range{1, 1}, Part: scenario.Range{0.1, 0.1}})
	s.Load.Level = scenario.Range{0.9, 0.9}
	d := world.Draw(s, 3)
	one, err := playSimulated(t.Context(), d, "")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	two, err := playLive(t.Context(), d, dir, builtNode(t), nil)
	if err != nil {
		t.Fatal(err)
	}
	if two.Invalid != "" {
		t.Skip("the machine was too busy: ", two.Invalid)
	}
	for _, sum := range []record.Summary{one, two} {
		if len(sum.Broken) > 0 {
			t.Errorf("%s: %v", sum.Way, sum.Broken)
		}
		a := sum.Account
		if a.Accepted == 0 || a.Accepted != a.Delivered+a.Refused+a.GivenUp {
			t.Errorf("%s: not every accepted message has ended: %+v", sum.Way, a)
		}
		if sum.Figures.Messages != len(d.Messages) {
			t.Errorf("%s: %d of %d messages", sum.Way, sum.Figures.Messages, len(d.Messages))
		}
	}
	if diff := math.Abs(one.Figures.Whole - two.Figures.Whole); diff > 0.08 {
		t.Errorf("served %.3f in the simulation and %.3f on sockets", one.Figures.Whole, two.Figures.Whole)
	}
	if diff := math.Abs(one.Figures.PerMsg - two.Figures.PerMsg); diff > 0.15 {
		t.Errorf("%.3f and %.3f calls a message", one.Figures.PerMsg, two.Figures.PerMsg)
	}
	if diff := math.Abs(one.Figures.Refused - two.Figures.Refused); diff > 0.08 {
		t.Errorf("%.3f and %.3f of the calls were refused", one.Figures.Refused, two.Figures.Refused)
	}
	if starts := two.Usage[0].Starts + two.Usage[1].Starts; starts != 3 {
		t.Errorf("%d process starts, want 3", starts)
	}
	// Checking the stored trace again gives the same result.
	again, err := reread(filepath.Join(dir, "trace.jsonl"), d)
	if err != nil || again.Account != two.Account || again.Figures.Served != two.Figures.Served {
		t.Errorf("read again: %+v, %v", again.Account, err)
	}
}

// TestStoppedByHand cancels a run: all nodes must end, and the results so far must be stored.
func TestStoppedByHand(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	dir := t.TempDir()
	program := builtNode(t)
	go func() { // once the run has started
		for ctx.Err() == nil {
			if info, err := os.Stat(filepath.Join(dir, "trace.jsonl")); err == nil && info.Size() > 0 {
				cancel()
			}
			time.Sleep(time.Millisecond)
		}
	}()
	s := short(600)
	s.Dest.Rate = scenario.Range{100, 100}
	sum, err := playLive(ctx, world.Draw(s, 1), dir, program, nil)
	if err == nil || !strings.Contains(sum.Invalid, "stopped before its end") {
		t.Errorf("%v %q", err, sum.Invalid)
	}
	if out, err := exec.Command("pgrep", "-f", program).CombinedOutput(); err == nil {
		t.Errorf("node processes are left: %s", out)
	}
	if _, err := os.Stat(filepath.Join(dir, "summary.json")); err != nil {
		t.Error(err)
	}
}

// TestAFullDisk checks that a full disk truncates the trace but does not end the run.
func TestAFullDisk(t *testing.T) {
	dir := t.TempDir()
	if err := os.Symlink("/dev/full", filepath.Join(dir, "trace.jsonl")); err != nil {
		t.Fatal(err)
	}
	sum, err := playSimulated(t.Context(), world.Draw(short(20), 1), dir)
	if err == nil || !strings.Contains(err.Error(), "the trace ends after") || !errors.Is(err, os.ErrInvalid) && !strings.Contains(err.Error(), "no space left") {
		t.Error(err)
	}
	if sum.Account.Accepted == 0 || sum.Account.Delivered+sum.Account.Refused+sum.Account.GivenUp != sum.Account.Accepted {
		t.Errorf("%+v", sum.Account)
	}
}

// TestNothingOfTheLabIsInTheNode checks that production programs do not depend on the lab or its libraries.
func TestNothingOfTheLabIsInTheNode(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "dunetide/cmd/deliverynode", "dunetide/cmd/simhost").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, dep := range strings.Fields(string(out)) {
		for _, not := range []string{"dunetide/internal/lab", "alecthomas", "pelletier", "HdrHistogram", "gonum"} {
			if strings.Contains(dep, not) {
				t.Errorf("the node or simhost depends on %s", dep)
			}
		}
	}
}
