package certification

import (
	"slices"
	"strings"
)

// Counts of the regulated work of one regime, since the process started.
type Counts struct {
	Runs      uint64 // sent to an endpoint
	Refused   uint64 // interactive requests for which no certified endpoint was free in time
	Waited    uint64 // turns of batch items that waited for a certified endpoint
	Abandoned uint64 // such turns that ended without one: the item was abandoned, or taken back
	Stopped   uint64 // grants that weren't used, as the certificate had ended before the request was sent
}

// RegimeCounts are a regime and its counts.
type RegimeCounts struct {
	Regime string
	Counts
}

// Count changes the counts of a regime.
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

// CountsByRegime lists all counts, in order of the regimes' names.
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
