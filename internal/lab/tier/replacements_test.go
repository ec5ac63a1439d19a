package tier

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/tier/cluster"
)

// maxCalmAck is how long a configuration may remain unacknowledged in a calm period (the setting ack_ms).
const maxCalmAck = 4 * time.Second

// shortScenario has the events of the default scenario in the same order, within a few seconds.
var shortScenario = ReplacementScenario{Machines: 3, TransferAfter: 2 * time.Second, CutFrom: 2500 * time.Millisecond, SecondStarts: 5 * time.Second, CutTo: 8 * time.Second,
	Length: 9 * time.Second}

func runReplacements(t *testing.T, program string, seed uint64, scenario ReplacementScenario) ReplacementAccount {
	t.Helper()
	a, err := Replacements(t.Context(), Options{Program: program, Dir: t.TempDir(), Seed: seed, Logf: t.Logf}, scenario)
	if err != nil {
		t.Fatal(err)
	}
	var printed strings.Builder
	if err := a.Print(&printed); err != nil {
		t.Fatal(err)
	}
	t.Log(printed.String())
	if a.Failed() {
		t.Errorf("unread %v, violations %v, unexpected exits %v, configuration read back %q, cut logged: %v", a.Unread, a.Violations, a.Ends, a.ReadBack, a.CutFelt)
	}
	if a.Accepted != len(a.Jobs) || len(a.Jobs) == 0 {
		t.Errorf("%d of %d jobs were accepted", a.Accepted, len(a.Jobs))
	}
	return a
}

func buildRelayed(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "dunetide")
	if err := cluster.BuildRelayed(t.Context(), program); err != nil {
		t.Fatal(err)
	}
	return program
}

// TestReplacementsAroundACut runs a planned replacement of a voter, cuts another voter off without resetting its connections, and
// replaces a third during that cut, with real processes. Every configuration must be acknowledged, and everything acknowledged or
// accepted must be readable. The time to acknowledge in calm periods is checked only in the full scenario, which runs
// TIER_REPLACEMENTS times with three and with four machines.
func TestReplacementsAroundACut(t *testing.T) {
	program := buildRelayed(t)
	count, err := strconv.Atoi(os.Getenv("TIER_REPLACEMENTS"))
	if err != nil {
		runReplacements(t, program, 0, shortScenario)
		return
	}
	for _, machines := range []int{3, 4} {
		for seed := range count {
			t.Run(fmt.Sprintf("%d machines, seed %d", machines, seed), func(t *testing.T) {
				scenario := DefaultReplacementScenario
				scenario.Machines = machines
				a := runReplacements(t, program, uint64(seed), scenario)
				if late := a.LongestCalm(); late.Calm > maxCalmAck {
					t.Errorf("version %d, sent at %v, was unacknowledged for %v of a calm period", late.Version, late.SentAt, late.Calm)
				}
			})
		}
	}
}

func TestLongestCalm(t *testing.T) {
	const s = time.Second
	events := []ScenarioEvent{{At: 10 * s}, {At: 12 * s}, {At: 30 * s}}
	for _, c := range []struct{ sent, took, want time.Duration }{
		{1 * s, 2 * s, 2 * s},
		{8 * s, 3 * s, 2 * s},
		{9 * s, 4 * s, 1 * s},
		{11 * s, 3 * s, 0},
		{13 * s, 4 * s, 2 * s},
		{13 * s, 30 * s, 15 * s},
		{16 * s, 1 * s, 1 * s},
	} {
		if got := max(0, longestCalm(Order{SentAt: c.sent, Took: c.took}, events)); got != c.want {
			t.Errorf("sent at %v, acknowledged after %v: longest calm period is %v, want %v", c.sent, c.took, got, c.want)
		}
	}
}
