package certification

import (
	"slices"
	"strings"
)

// Counts are counters of the regulated requests of one regime since the process started.
type Counts struct {
	Runs        uint64 // requests and batch items sent to an endpoint
	Refused     uint64 // interactive requests refused because no certified endpoint was free in time
	Waited      uint64 // dispatch attempts of batch items that waited for a certified endpoint
	Abandoned   uint64 // such attempts that ended without an endpoint: the item was abandoned or withdrawn
	Invalidated uint64 // grants not used because the certificate was no longer valid when the request was to be sent
}

// RegimeCounts are the counts of a regime.
type RegimeCounts struct {
	Regime string
	Counts
}

// Count updates the counts of a regime by a function.
func (g *Gate) Count(regime string, change func(*Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts[regime]
	if c == nil {
		c = &Counts{}
		g.counts[regime] = c
	}
	change(c)
}

// CountsByRegime returns the counts of all regimes, sorted by regime.
func (g *Gate) CountsByRegime() []RegimeCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []RegimeCounts
	for regime, c := range g.counts {
		all = append(all, RegimeCounts{regime, *c})
	}
	slices.SortFunc(all, func(a, b RegimeCounts) int { return strings.Compare(a.Regime, b.Regime) })
	return all
}
