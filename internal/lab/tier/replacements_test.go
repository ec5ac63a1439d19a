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

// ackMost is ack_ms of the settings: what an order may lack its acknowledgement for in calm.
const ackMost = 4 * time.Second

// shortDay has the events of the whole one in their order, within a few seconds.
var shortDay = ReplacementScenario{Machines: 3, TransferAfter: 2 * time.Second, CutFrom: 2500 * time.Millisecond, SecondStarts: 5 * time.Second, CutTo: 8 * time.Second,
	Length: 9 * time.Second}

func playReplacements(t *testing.T, program string, seed uint64, day ReplacementScenario) ReplacementAccount {
	t.Helper()
	a, err := Replacements(t.Context(), Options{Program: program, Dir: t.TempDir(), Seed: seed, Logf: t.Logf}, day)
	if err != nil {
		t.Fatal(err)
	}
	var told strings.Builder
	if err := a.Print(&told); err != nil {
		t.Fatal(err)
	}
	t.Log(told.String())
	if a.Failed() {
		t.Errorf("unread %v, broken %v, ended %v, read back %q, the cut was felt: %v", a.Unread, a.Violations, a.Ends, a.ReadBack, a.CutFelt)
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

// TestReplacementsAroundACut plays a planned replacement, a voter that is cut off in silence and another replacement during that cut, with real
// processes: every order is taken, and what was acknowledged or accepted can be read. How soon, in calm, is judged on the whole day, which
// TIER_REPLACEMENTS plays so many times with three machines and with four.
func TestReplacementsAroundACut(t *testing.T) {
	program := buildRelayed(t)
	plays, err := strconv.Atoi(os.Getenv("TIER_REPLACEMENTS"))
	if err != nil {
		playReplacements(t, program, 0, shortDay)
		return
	}
	for _, machines := range []int{3, 4} {
		for seed := range plays {
			t.Run(fmt.Sprintf("%d machines, seed %d", machines, seed), func(t *testing.T) {
				day := DefaultReplacementScenario
				day.Machines = machines
				a := playReplacements(t, program, uint64(seed), day)
				if late := a.LongestCalm(); late.Calm > ackMost {
					t.Errorf("version %d, sent at %v, had no acknowledgement for %v of calm", late.Version, late.SentAt, late.Calm)
				}
			})
		}
	}
}

func TestLongestCalm(t *testing.T) {
	const s = time.Second
	events := []ScenarioEvent{{At: 10 * s}, {At: 12 * s}, {At: 30 * s}}
	for _, c := range []struct{ asked, took, want time.Duration }{
		{1 * s, 2 * s, 2 * s},
		{8 * s, 3 * s, 2 * s},
		{9 * s, 4 * s, 1 * s},
		{11 * s, 3 * s, 0},
		{13 * s, 4 * s, 2 * s},
		{13 * s, 30 * s, 15 * s},
		{16 * s, 1 * s, 1 * s},
	} {
		if got := max(0, longestCalm(Order{SentAt: c.asked, Took: c.took}, events)); got != c.want {
			t.Errorf("asked at %v for %v: %v, not %v", c.asked, c.took, got, c.want)
		}
	}
}
