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

// The short form, as CI plays it: one episode and the end.
const (
	shortLength = 9 * time.Second
	shortSeeds  = 2
	firstShort  = 3
)

// The short form of series: processes are also killed and frozen with the first seed, all is planned work with the second one.
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
			t.Errorf("seed %d has %d troubles in a minute", seed, len(p.Faults))
		}
		wipes := 0
		for _, trouble := range p.Faults {
			kinds[trouble.Kind] = true
			if trouble.Kind == WipeDisk {
				wipes++
			}
			if trouble.For > longestFault || trouble.At+trouble.For > p.Length {
				t.Errorf("seed %d: %v", seed, trouble)
			}
		}
		if wipes > 1 {
			t.Errorf("seed %d loses %d disks in its troubles", seed, wipes)
		}
		if only := p.Only([]int{2}); len(only.Faults) != 1 || only.Faults[0].Number != 2 {
			t.Errorf("seed %d: only trouble 2 is %v", seed, only.Faults)
		}
	}
	for _, w := range weights {
		if !kinds[w.kind] {
			t.Errorf("no plan has %s", w.kind)
		}
	}
}

func TestMachineHasContactAfterItsFaults(t *testing.T) {
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
		{"b", 3.5, true},  // and goes on without it
		{"a", 3.5, false}, // which is cut off itself
		{"b", 9, false},   // it has just come back
		{"a", 11.5, true},
		{"p", 22, false},
		{"b", 22, true}, // p is no machine of the core
		{"p", 24.5, true},
		{"a", 50, false}, // most of the core is in trouble
	} {
		if got := line.inTouch(c.address, at(c.at)); got != c.inTouch {
			t.Errorf("%s at %v s: in touch is %v", c.address, c.at, got)
		}
	}
}

func TestScrapesAreRead(t *testing.T) {
	s := newScrapes()
	s.parse("keeper", strings.NewReader("# help\ndunetide_invariant_checks_total{invariant=\"a\"} 7\ndunetide_invariant_checks_total{invariant=\"b\"} 5\ndunetide_invariant_violations_total{invariant=\"a\"} 0\n"))
	s.parse("keeper", strings.NewReader("dunetide_invariant_checks_total{invariant=\"a\"} 9\ndunetide_invariant_violations_total{invariant=\"b\"} 2\n"))
	if s.checks() != 9 || len(s.violations) != 1 {
		t.Fatalf("%d checks, violations %v", s.checks(), s.violations)
	}
}

// Some seeds, as real processes. SOAK_SEEDS=N and SOAK_FIRST=M play others, SOAK_LENGTH their length.
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

// Guards against processes that end by themselves, do not end when they are told to, or lose requests, when signals, restarts
// and changes come in series that overlap and clients keep their connections in use. Variables as for TestSoak, with
// SOAK_SERIES_ before their names.
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
			t.Errorf("seed %d: %d faults overlap, %d clients keep connections in use", seed, overlaps, p.Steady)
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
		t.Errorf("%d of %d plans have planned work alone; the largest has %d processes", planned, seeds, largest)
	}
}

// checkSoak plays a plan; each violation fails the test, and so does a play in which nothing was seen.
func checkSoak(t *testing.T, program string, plan Plan) {
	t.Helper()
	account := soak(t, program, plan)
	for _, line := range account.Story {
		t.Log(line)
	}
	for _, b := range account.Violations {
		t.Error(b)
	}
	if account.Runs == 0 || account.Acked == 0 || account.Reads == 0 || account.Checks == 0 {
		t.Errorf("nothing was seen: %d runs, %d orders, %d reads, %d checks", account.Runs, account.Acked, account.Reads, account.Checks)
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
