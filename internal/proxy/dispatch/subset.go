package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// chooseSubset marks the endpoints of a pool that this sender prefers. With many senders and many
// endpoints, a sender gets a load report of each endpoint only every few seconds, while a request
// lasts a second, so it would choose by stale loads. With few endpoints it gets frequent reports.
// It chooses them by rendezvous hashing with its own name, those of its zone first, so many that
// about Settings.SendersPerEndpoint senders share each endpoint. Subsets need no coordination, and
// an endpoint that joins or leaves changes few of them.
func (c *core) chooseSubset(p *pool) {
	type candidate struct {
		endpoint  *endpoint
		otherZone int // 1: in another zone
		score     uint64
	}
	var all []candidate
	for _, e := range p.endpoints {
		e.inSubset = false
		if !e.ready() {
			continue
		}
		otherZone := 0
		if e.target.Zone != c.zone {
			otherZone = 1
		}
		all = append(all, candidate{e, otherZone, mixHash(c.senderHash, e.hash)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.otherZone, b.otherZone), cmp.Compare(b.score, a.score))
	})
	for _, chosen := range all[:min(len(all), c.subsetSize(len(all)))] {
		chosen.endpoint.inSubset = true
	}
}

// subsetSize returns the size of this sender's subset of a number of endpoints.
func (c *core) subsetSize(endpoints int) int {
	size := c.settings.SendersPerEndpoint * float64(endpoints) / float64(c.senders)
	return max(c.settings.MinSubsetSize, int(math.Ceil(size)))
}
