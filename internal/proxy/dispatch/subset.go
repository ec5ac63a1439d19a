package dispatch

import (
	"cmp"
	"math"
	"slices"
)

// chooseSubset marks the endpoints of a pool that this sender prefers. With many senders before
// many endpoints each sender hears of an endpoint's load every few seconds, while a request lasts a
// second, so that all of them choose blindly. A sender that keeps to a few endpoints knows their
// loads. It chooses them by rendezvous hashing with its own name, those of its zone first, as many
// as let about Settings.SendersPerEndpoint senders share each endpoint. Nobody has to be notified
// of a subset, and an endpoint that joins or leaves changes few.
func (c *core) chooseSubset(p *pool) {
	type candidate struct {
		endpoint *endpoint
		away     int // 1: in another zone
		score    uint64
	}
	var all []candidate
	for _, e := range p.endpoints {
		e.inSubset = false
		if !e.ready() {
			continue
		}
		away := 0
		if e.target.Zone != c.zone {
			away = 1
		}
		all = append(all, candidate{e, away, mixHash(c.senderHash, e.hash)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.away, b.away), cmp.Compare(b.score, a.score))
	})
	for _, chosen := range all[:min(len(all), c.subsetSize(len(all)))] {
		chosen.endpoint.inSubset = true
	}
}

// subsetSize returns the number of endpoints that this sender prefers of so many.
func (c *core) subsetSize(endpoints int) int {
	size := c.settings.SendersPerEndpoint * float64(endpoints) / float64(c.senders)
	return max(c.settings.MinSubsetSize, int(math.Ceil(size)))
}
