package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// tenantFlood is a tenant that floods a fleet of others of the same priority.
type tenantFlood struct {
	load     float64       // requests of all others, as a multiple of what the fleet serves with ease
	factor   float64       // the flooding tenant's requests, as a multiple of its usual
	deadline time.Duration // of its requests; those of others have 5 s
}

// play returns the share of served requests of the others, and of all.
func (f tenantFlood) play() (others, all float64) {
	kinds := mixture(200*f.load, 45*f.load, 0)
	flood := *kinds[0]
	flood.name, flood.deadline = "flood", f.deadline
	flood.perSecond = 0.3 * kinds[0].perSecond * f.factor
	kinds[2] = &flood
	fleet := newFleetSimulation(wideLayout(), kinds...)
	fleet.play(3 * time.Second)
	fleet.resetCounts()
	fleet.play(5 * time.Second)
	for _, k := range kinds {
		k.perSecond = 0
	}
	fleet.play(6 * time.Second) // so that all requests end
	served := func(kinds ...*requestKind) float64 {
		done, submitted := 0, 0
		for _, k := range kinds {
			done += k.onTime + k.late
			submitted += k.submitted
		}
		return float64(done) / float64(submitted)
	}
	return served(kinds[0]), served(kinds[0], kinds[2])
}

// Without this, a tenant could take others' places in the queue: by sending much, within its limit or while nobody counts, or by stating
// little time, as requests of one priority go by their deadlines.
func TestATenantThatFloodsTakesNoPlacesOfOthers(t *testing.T) {
	const leastOfAll = 0.7 // a tenant counts as starved below 0.25
	for _, f := range []tenantFlood{
		{load: 3, factor: 1.6, deadline: 5 * time.Second},
		{load: 3, factor: 1.6, deadline: 400 * time.Millisecond},
		{load: 3, factor: 8, deadline: 400 * time.Millisecond},
		{load: 2, factor: 20, deadline: time.Second},
	} {
		t.Run(fmt.Sprintf("load %.0f, flood %.1f, deadline %v", f.load, f.factor, f.deadline), func(t *testing.T) {
			t.Parallel()
			others, all := f.play()
			t.Logf("served: %.3f of the others', %.3f of all requests", others, all)
			if others < leastOfAll*all {
				t.Errorf("%.3f of the others' requests are served, %.3f of all", others, all)
			}
		})
	}
}
