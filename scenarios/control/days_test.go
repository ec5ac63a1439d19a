// Package control holds days with faults for the control plane, which the script play runs on any deployment.
package control

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const longestDay = 120 // seconds

// dayEntry is one entry of a day's plan or faults. It has no fields that name a zone, service or class of a particular deployment, so
// that decoding rejects them.
type dayEntry struct {
	At    float64 `toml:"at"`
	Kind  string  `toml:"kind"`
	How   string  `toml:"how"`
	On    string  `toml:"on"`
	Share float64 `toml:"share"`
	Count int     `toml:"count"`
	X     float64 `toml:"x"`
	ForS  float64 `toml:"for_s"`
	GapS  float64 `toml:"gap_s"`
}

type closing struct {
	Kind  string  `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how"`
}

type day struct {
	Name    string     `toml:"name"`
	Slot    string     `toml:"slot"`
	Seed    int64      `toml:"seed"`
	LengthS float64    `toml:"length_s"`
	Plan    []dayEntry `toml:"plan"`
	Faults  []dayEntry `toml:"faults"`
	Closing *closing   `toml:"closing"`
}

type dayFile struct {
	Days []day `toml:"day"`
}

func readDays(t *testing.T) []day {
	t.Helper()
	paths, err := filepath.Glob("*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found no days: %v", err)
	}
	var days []day
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var file dayFile
		if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(&file); err != nil {
			t.Fatalf("%s is not valid, or names parts of one deployment: %v", path, err)
		}
		if len(file.Days) != 1 || file.Days[0].Name+".toml" != path {
			t.Fatalf("%s must hold one day, named like the file", path)
		}
		days = append(days, file.Days[0])
	}
	return days
}

func TestDaysAreValid(t *testing.T) {
	seeds := map[int64]string{}
	for _, d := range readDays(t) {
		if d.LengthS <= 0 || d.LengthS > longestDay {
			t.Errorf("%s: length_s is %v, want up to %d", d.Name, d.LengthS, longestDay)
		}
		if other, taken := seeds[d.Seed]; taken || d.Seed == 0 {
			t.Errorf("%s: seed %d is zero or also used by %q", d.Name, d.Seed, other)
		}
		seeds[d.Seed] = d.Name
		for _, entry := range slices.Concat(d.Plan, d.Faults) {
			if last := entry.At + max(0, float64(entry.Count-1))*entry.GapS; entry.At <= 0 || last >= d.LengthS {
				t.Errorf("%s: %s lasts from %v to %v s of a day of %v", d.Name, entry.Kind, entry.At, last, d.LengthS)
			}
		}
	}
}

// Each kind of fault that may occur without being listed for a deployment is in at least one day.
func TestDaysCoverEveryUnlistedKind(t *testing.T) {
	kinds := map[string]bool{}
	for _, d := range readDays(t) {
		for _, entry := range slices.Concat(d.Plan, d.Faults) {
			kinds[entry.Kind] = true
		}
	}
	for _, kind := range []string{"give_up", "srv_slow", "srv_grey", "srv_cut", "replace_with_reuse", "scale_out", "scale_in", "node_slow",
		"herd_kill", "seed_turnover", "disk_full", "disk_stall", "clock_step", "hup", "reset_conns", "node_cut", "ack_lost"} {
		if !kinds[kind] {
			t.Errorf("no day has %s", kind)
		}
	}
}

// At least one day has more than a hundred configuration changes.
func TestADayHasAHundredChanges(t *testing.T) {
	most := 0
	for _, d := range readDays(t) {
		changes := 0
		for _, entry := range slices.Concat(d.Plan, d.Faults) {
			switch entry.Kind {
			case "config_race":
				changes += 2 * entry.Count
			case "config_change":
				changes++
			}
		}
		most = max(most, changes)
	}
	if most <= 100 {
		t.Errorf("no day has more than %d changes, want more than 100", most)
	}
}
