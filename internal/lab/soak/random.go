package soak

import (
	"math/rand/v2"
	"time"

	"dunetide/internal/lab/world"
)

const (
	firstEpisode  = 2 * time.Second
	episodeLength = 6 * time.Second // at most, from the start of the first fault to the end of the last one
	episodeCalm   = 4 * time.Second
	longestFault  = 5 * time.Second
	shortestFault = 400 * time.Millisecond
	maxOverlap    = 3
	wipesUntil    = 0.5 // fraction of a soak run after which no disk is wiped, because the final event may wipe some
)

// shapes are the tier sizes that a plan chooses from: 3, 4 and 6 voters that survive the loss of 1 or 2 machines.
var shapes = []Shape{
	{Zones: 3, Edges: 1, Keepers: 1, Stores: 3, Survive: 1},
	{Zones: 3, Edges: 2, Keepers: 1, Stores: 3, Survive: 1},
	{Zones: 2, Edges: 2, Keepers: 2, Stores: 3, Survive: 1},
	{Zones: 4, Edges: 1, Keepers: 1, Stores: 4, Survive: 1},
	{Zones: 3, Edges: 2, Keepers: 2, Stores: 5, Survive: 2},
}

// weightedKind is a fault kind with its weight in random selection and its variants.
type weightedKind struct {
	kind   Kind
	weight int
	how    []string
}

// weights are the fault kinds that RandomPlan draws from.
var weights = []weightedKind{
	{Kill, 5, []string{"keeper", "store", "proxy"}},
	{Freeze, 5, []string{"keeper", "store", "proxy"}},
	{Term, 4, []string{"keeper", "store", "proxy", "proxy twice", "keeper twice"}},
	{RollProxies, 2, []string{""}},
	{TermStores, 1, []string{""}},
	{Hangup, 2, []string{"", "stopping"}},
	{CutOff, 5, []string{"keeper", "store"}},
	{CutOneWay, 3, []string{"keeper", "store"}},
	{Halves, 4, []string{""}},
	{WipeDisk, 2, []string{"keeper", "store"}},
	{KillKeepers, 1, []string{""}},
	{Leave, 5, []string{"", "silent", "lured", "silent lured"}},
	{CrashEndpoint, 2, []string{""}},
	{StallEndpoint, 2, []string{""}},
	{CorruptAnswers, 3, []string{""}},
	{Misbehave, 3, []string{""}},
	{Race, 3, []string{""}},
	{LoseAnswers, 4, []string{"keeper", "proxy"}},
	{Twin, 1, []string{"keeper", "store", "proxy"}},
}

// RandomPlan returns a plan of episodes of two or three overlapping faults, with fault-free periods in between. The same
// seed and length give the same plan. The order of the random draws must not change, because accounts identify plans by
// their seeds.
func RandomPlan(seed uint64, length time.Duration) Plan {
	rng := world.Random(seed, "soak plan")
	p := Plan{Seed: seed, Shape: shapes[rng.IntN(len(shapes))], Length: length, Load: 0.5 + rng.Float64(), Tenants: hasTenants(seed)}
	if rng.IntN(2) == 0 {
		p.LeaveShare = 0.05 + 0.2*rng.Float64()
	}
	p.Final = []Final{FinalNone, FinalKillAll, FinalWipe, FinalWipe, FinalRestart}[rng.IntN(5)]
	wipes := 0
	for begin := firstEpisode; begin+episodeLength <= length; begin += episodeLength + episodeCalm {
		for range 2 + rng.IntN(maxOverlap-1) {
			fault := randomFault(rng, begin)
			fault.Number = len(p.Faults) + 1
			if fault.Kind == WipeDisk {
				if wipes > 0 || begin > time.Duration(wipesUntil*float64(length)) {
					fault.Kind = Kill
				}
				wipes++
			}
			p.Faults = append(p.Faults, fault)
		}
	}
	return p
}

// randomFault returns a random fault of the episode that begins at the given time.
func randomFault(rng *rand.Rand, begin time.Duration) Fault {
	fault := Fault{
		At:  begin + time.Duration(rng.Int64N(int64(episodeLength-longestFault)+1)),
		For: shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault))),
	}
	fault.Kind, fault.How = randomKindOf(rng, weights)
	for range 1 + rng.IntN(2) {
		fault.Targets = append(fault.Targets, rng.IntN(1<<10))
	}
	return fault
}

// randomKindOf returns a kind, drawn by weight, and one of its variants.
func randomKindOf(rng *rand.Rand, kinds []weightedKind) (kind Kind, how string) {
	total := 0
	for _, w := range kinds {
		total += w.weight
	}
	left := rng.IntN(total)
	for _, w := range kinds {
		if left -= w.weight; left < 0 {
			return w.kind, w.how[rng.IntN(len(w.how))]
		}
	}
	panic("weights add up to less than their total")
}
