package dispatch

import "slices"

// Requests whose prompts share a prefix should go to endpoints that have it in their prefix cache.
// All senders rank the endpoints for a prefix by rendezvous hashing, and so prefer the same few
// endpoints for it without coordination.

// preferredCacheProbability is the probability that an endpoint has cached shared parts that this
// sender has not sent there, by its rank among the preferred endpoints. It is above zero because
// other senders prefer the same endpoints.
var preferredCacheProbability = [...]float64{0.9, 0.5, 0.2}

// sharedParts returns the number of parts of a prompt that other requests may share: all but the
// last, or the only one.
func sharedParts(w *waiter) int { return max(len(w.request.Prefix)-1, min(len(w.request.Prefix), 1)) }

// sharedTokens returns the number of tokens in the shared parts of a prompt.
func sharedTokens(w *waiter) float64 {
	shared := 0.0
	for _, part := range w.request.Prefix[:sharedParts(w)] {
		shared += float64(part.Tokens)
	}
	return shared
}

// preferredEndpoints returns the preferred endpoints for a request. They are computed once per
// snapshot.
func (c *core) preferredEndpoints(p *pool, w *waiter) []*endpoint {
	if w.preferredAsOf != c.snapshots {
		w.preferred, w.preferredAsOf = rankPreferred(p, w), c.snapshots
	}
	return w.preferred
}

// rankPreferred returns the highest-ranked of the endpoints that are ready and certified for a
// request's regime. The rank is by rendezvous hashing of the shared parts, with the same result at
// all senders.
func rankPreferred(p *pool, w *waiter) []*endpoint {
	key := uint64(w.prefixHashes[sharedParts(w)-1])
	var first [len(preferredCacheProbability)]*endpoint
	var scores [len(preferredCacheProbability)]uint64
	found := 0
	for _, e := range p.endpoints {
		if !e.ready() || !w.request.mayUse(e.target.ID) {
			continue
		}
		score := mixHash(key, e.hash)
		at := found
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at == len(first) {
			continue
		}
		found = min(found+1, len(first))
		copy(first[at+1:], first[at:])
		copy(scores[at+1:], scores[at:])
		first[at], scores[at] = e, score
	}
	return slices.Clone(first[:found])
}

// cachedTokens estimates how many tokens of a prompt an endpoint has cached: the prefix that this
// sender has sent there within the lifetime of cache entries, or the shared part that others have
// probably sent there, by its rank.
func (c *core) cachedTokens(e *endpoint, w *waiter, common *placement) float64 {
	if len(w.prefixHashes) == 0 {
		return 0
	}
	cached := 0.0
	lifetime := e.cache.lifetime(c.now, c.senders, e.pool.cacheTokens)
	for _, part := range w.request.Prefix[:e.cache.cachedParts(w.prefixHashes, c.now, lifetime)] {
		cached += float64(part.Tokens)
	}
	if rank := slices.Index(common.preferred, e); rank >= 0 {
		cached = max(cached, preferredCacheProbability[rank]*common.sharedTokens)
	}
	return cached
}
