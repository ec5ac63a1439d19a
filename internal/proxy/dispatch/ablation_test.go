package dispatch

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// disabledMechanisms has settings that disable one mechanism each.
var disabledMechanisms = []struct {
	name     string
	settings Settings
}{
	{"(nothing)", Settings{}},
	{"subsets of endpoints", withoutSubsets},
	{"doubt outside the subset", Settings{UncertaintyDeviations: 1e-9}},
	{"cost outside the subset", Settings{OutsideSubsetCost: 1}},
	{"estimates that end", Settings{MaxEstimateAge: time.Hour}},
	{"headroom that bulk leaves", Settings{BulkHeadroom: 1e-9}},
	{"pressing bulk uses the headroom", Settings{BulkUrgency: 1}},
	{"floor of bulk", Settings{BulkFloor: 1e-9}},
	{"bound on the load of homes", Settings{PreferredLoadFactor: 1e6}},
	{"price of reading again", Settings{RereadCost: 1e-9}},
	{"cost of load", Settings{LoadCost: 1}},
	{"cost of another zone", Settings{OtherZoneCost: 1}},
	{"late requests only where a slot is free", Settings{QueueLate: 4}},
	{"memory of what was sent where", Settings{MaxCacheEntries: 1}},
}

// TestAblationTable prints the results of the scenarios of scenarios_test.go without each mechanism: ABLATION=1 go test -v -run AblationTable.
func TestAblationTable(t *testing.T) {
	if os.Getenv("ABLATION") == "" {
		t.Skip("ABLATION is not set")
	}
	const seeds = 3
	var names []string
	for name := range fleetScenarios {
		names = append(names, name)
	}
	slices.Sort(names)
	rows := make([]string, len(disabledMechanisms))
	t.Run("scenarios", func(t *testing.T) {
		for i, off := range disabledMechanisms {
			t.Run(off.name, func(t *testing.T) {
				t.Parallel()
				row := "| " + off.name
				for _, name := range names {
					sum, squares, over := 0.0, 0.0, 0.0
					for seed := range seeds {
						w := fleetScenarios[name]
						w.layout.seed = uint64(seed)
						worth, missed := playScenario(t, w, off.settings, false)
						sum, squares, over = sum+worth, squares+worth*worth, over+missed
					}
					mean := sum / seeds
					row += fmt.Sprintf(" | %.3f ± %.3f, %.1f %%", mean, math.Sqrt(max(0, squares/seeds-mean*mean)), 100*over/seeds)
				}
				rows[i] = row + " |"
			})
		}
	})
	fmt.Println("worth and its deviation over the seeds; interactive requests not served in time")
	fmt.Println("| without | " + strings.Join(names, " | ") + " |")
	for _, row := range rows {
		fmt.Println(row)
	}
}
