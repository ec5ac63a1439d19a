package dispatch

import (
	"cmp"
	"math"
	"slices"

	"dunetide/internal/control/snapshot"
)

// chooseSubset marks the endpoints of a pool that this sender prefers. Many senders before many endpoints seldom meet: each hears of an
// endpoint's load every few seconds, while a request lasts a second, so that all of them choose blindly. A sender that keeps to a few
// endpoints knows their loads. It draws them by rendezvous hashing with its own name, those of its zone first, as many as let about
// Settings.Sharers senders share each endpoint. Nobody has to be told of a subset, and an endpoint that comes or goes changes few.
func (c *core) chooseSubset(p *pool) {
	type candidate struct {
		endpoint *endpoint
		away     int // 1: in another zone
		score    uint64
	}
	var all []candidate
	for _, e := range p.endpoints {
		e.preferred = false
		if e.unlisted || e.state != snapshot.Ready {
			continue
		}
		away := 0
		if e.target.Zone != c.zone {
			away = 1
		}
		all = append(all, candidate{e, away, mix(c.self, e.hash)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.away, b.away), cmp.Compare(b.score, a.score))
	})
	for _, chosen := range all[:min(len(all), c.subsetSize(len(all)))] {
		chosen.endpoint.preferred = true
	}
}

// subsetSize returns the number of endpoints that this sender prefers of so many.
func (c *core) subsetSize(endpoints int) int {
	shared := c.settings.Sharers * float64(endpoints) / float64(c.senders)
	return max(c.settings.LeastSubset, int(math.Ceil(shared)))
}

// doubt returns by how much an endpoint's load may exceed its estimate, in requests. Within the subset the estimate is trusted; outside
// it the doubt grows with the age of what the endpoint told last, up to DoubtDeviations of the spread of independent arrivals. A request
// that no sound endpoint of the subset may serve, by its model, its regime or what it must avoid, takes the estimates as they are.
func (c *core) doubt(e *endpoint, w *waiter) float64 {
	if e.preferred || !w.confined {
		return 0
	}
	known := 0.0
	if e.told {
		known = math.Exp(-float64(c.now-e.toldAt) / float64(c.settings.TrustLoad))
	}
	return c.settings.DoubtDeviations * math.Sqrt(e.pool.rest.v*(1-known*known))
}

// untried reports whether this sender, one of several, has bulk at an endpoint and has not had a first word from it yet. After a start
// of all senders nobody knows any load, and what all of them have in hand would go out at once.
func (c *core) untried(e *endpoint) bool {
	if e.answered || c.senders == 1 {
		return false
	}
	return slices.ContainsFunc(e.running, func(r *run) bool { return r.bulk })
}
