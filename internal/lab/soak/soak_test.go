package soak

import (
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
	"dunetide/internal/lab/tier/cluster"
)

// The short form that CI runs: one episode and the final event.
const (
	shortLength = 9 * time.Second
	shortSeeds  = 2
	firstShort  = 3
)

// The short form of series: with the first seed, processes are also killed and frozen; the second one has only planned operations.
const shortSeriesLength = 6 * time.Second

var shortSeriesSeeds = []uint64{4, 6}

func TestSameSeedGivesTheSamePlan(t *testing.T) {
	kinds := map[Kind]bool{}
	for seed := range uint64(200) {
		p := RandomPlan(seed, time.Minute)
		if !reflect.DeepEqual(p, RandomPlan(seed, time.Minute)) {
			t.Fatalf("seed %d draws two plans", seed)
		}
		if len(p.Faults) < 8 {
			t.Errorf("seed %d has %d faults in a minute", seed, len(p.Faults))
		}
		wipes := 0
		for _, fault := range p.Faults {
			kinds[fault.Kind] = true
			if fault.Kind == WipeDisk {
				wipes++
			}
			if fault.For > longestFault || fault.At+fault.For > p.Length {
				t.Errorf("seed %d: %v", seed, fault)
			}
		}
		if wipes > 1 {
			t.Errorf("seed %d wipes %d disks during its faults", seed, wipes)
		}
		if only := p.Only([]int{2}); len(only.Faults) != 1 || only.Faults[0].Number != 2 {
			t.Errorf("seed %d: the plan reduced to fault 2 has %v", seed, only.Faults)
		}
	}
	for _, w := range weights {
		if !kinds[w.kind] {
			t.Errorf("no plan has %s", w.kind)
		}
	}
}

func TestMachineIsInTouchAfterItsFaults(t *testing.T) {
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	line := &timeline{machines: map[string]machine{"a": {core: true}, "b": {core: true}, "c": {core: true}, "p": {}}}
	line.spans = []*span{
		{"cut-off", "a", at(0), at(8)},
		{"freeze", "p", at(20), at(21)},
		{"halves", "b", at(40), time.Time{}},
		{"halves", "c", at(40), time.Time{}},
	}
	for _, c := range []struct {
		address string
		at      float64
		inTouch bool
	}{
		{"b", -1, true},
		{"b", 1, false},   // the core has just lost a machine
		{"b", 3.5, true},  // the core is stable without it
		{"a", 3.5, false}, // the machine itself is cut off
		{"b", 9, false},   // the machine has just come back
		{"a", 11.5, true},
		{"p", 22, false},
		{"b", 22, true}, // p is not a core machine
		{"p", 24.5, true},
		{"a", 50, false}, // most core machines have faults
	} {
		if got := line.inTouch(c.address, at(c.at)); got != c.inTouch {
			t.Errorf("%s at %v s: in touch is %v", c.address, c.at, got)
		}
	}
}

func TestScrapesParseInvariantCounters(t *testing.T) {
	s := newScrapes()
	s.parse("keeper", strings.NewReader("# help\ndunetide_invariant_checks_total{invariant=\"a\"} 7\ndunetide_invariant_checks_total{invariant=\"b\"} 5\ndunetide_invariant_violations_total{invariant=\"a\"} 0\n"))
	s.parse("keeper", strings.NewReader("dunetide_invariant_checks_total{invariant=\"a\"} 9\ndunetide_invariant_violations_total{invariant=\"b\"} 2\n"))
	if s.checks() != 9 || len(s.violations) != 1 {
		t.Fatalf("%d checks, violations %v", s.checks(), s.violations)
	}
}

// TestSoak runs the plans of some seeds with real processes. SOAK_SEEDS sets the number of seeds, SOAK_FIRST the first seed and
// SOAK_LENGTH the length of the plans.
func TestSoak(t *testing.T) {
	seeds, first, length := numberFrom("SOAK_SEEDS", shortSeeds), uint64(numberFrom("SOAK_FIRST", firstShort)), shortLength
	if asked, err := time.ParseDuration(os.Getenv("SOAK_LENGTH")); err == nil {
		length = asked
	}
	program := build(t)
	for n := range seeds {
		checkSoak(t, program, RandomPlan(first+uint64(n), length))
	}
}

// TestSeriesSoak guards against processes that exit unexpectedly, do not exit after SIGTERM, or lose requests during overlapping
// series of signals, restarts and configuration changes while clients use their connections. SOAK_SERIES_SEEDS, SOAK_SERIES_FIRST
// and SOAK_SERIES_LENGTH work as for TestSoak.
func TestSeriesSoak(t *testing.T) {
	seeds, length := shortSeriesSeeds, shortSeriesLength
	if count := numberFrom("SOAK_SERIES_SEEDS", 0); count > 0 {
		seeds = nil
		for n := range count {
			seeds = append(seeds, uint64(numberFrom("SOAK_SERIES_FIRST", 1)+n))
		}
	}
	if asked, err := time.ParseDuration(os.Getenv("SOAK_SERIES_LENGTH")); err == nil {
		length = asked
	}
	program := build(t)
	for _, seed := range seeds {
		checkSoak(t, program, RandomSeriesPlan(seed, length))
	}
}

func TestSeriesOverlap(t *testing.T) {
	kinds, planned, largest := map[Kind]bool{}, 0, 0
	const seeds = 200
	for seed := range uint64(seeds) {
		p := RandomSeriesPlan(seed, 20*time.Second)
		if !reflect.DeepEqual(p, RandomSeriesPlan(seed, 20*time.Second)) {
			t.Fatalf("seed %d draws two plans", seed)
		}
		overlaps := 0
		for i, fault := range p.Faults {
			kinds[fault.Kind] = true
			if i > 0 && fault.At < p.Faults[i-1].At+p.Faults[i-1].For {
				overlaps++
			}
		}
		if overlaps < 3 || p.Steady == 0 {
			t.Errorf("seed %d: %d overlapping faults, %d steady clients", seed, overlaps, p.Steady)
		}
		if p.onlyPlanned() {
			planned++
		}
		largest = max(largest, p.Shape.Zones*(p.Shape.Edges+p.Shape.Keepers)+p.Shape.Stores)
	}
	for _, w := range mixedSeries {
		if !kinds[w.kind] {
			t.Errorf("no plan has %s", w.kind)
		}
	}
	if planned < seeds/4 || planned > seeds*3/4 || largest < 100 {
		t.Errorf("%d of %d plans have only planned operations; the largest has %d processes", planned, seeds, largest)
	}
}

// checkSoak runs a plan. The test fails on any violation, and if nothing was observed.
func checkSoak(t *testing.T, program string, plan Plan) {
	t.Helper()
	account := soak(t, program, plan)
	for _, line := range account.Story {
		t.Log(line)
	}
	for _, b := range account.Violations {
		t.Error(b)
	}
	if seen := account.Tenants; plan.Tenants && (seen.Runs == 0 || seen.Denied == 0 || seen.OverLimit == 0 || seen.Changes == 0) {
		t.Errorf("tenants were not observed: %+v", seen)
	}
	if account.Runs == 0 || account.Acked == 0 || account.Reads == 0 || account.Checks == 0 {
		t.Errorf("nothing was observed: %d runs, %d configurations acknowledged, %d reads, %d invariant checks", account.Runs, account.Acked, account.Reads, account.Checks)
	}
}

func numberFrom(variable string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return otherwise
}

func build(t *testing.T, mutants ...mutation.Mutant) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "dunetide")
	if err := cluster.BuildRelayed(t.Context(), program, mutants...); err != nil {
		t.Fatal(err)
	}
	return program
}

func soak(t *testing.T, program string, plan Plan) Account {
	t.Helper()
	account, err := Play(t.Context(), Options{Program: program, Dir: t.TempDir(), Plan: plan, Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	return account
}
