package dispatch

import (
	"math"
	"slices"
	"time"

	"dunetide/internal/control/snapshot"
)

// similarCost is the difference in cost, in ms, up to which endpoints count as equal.
const similarCost = 0.25

// candidates are the endpoints that may serve a request.
type candidates struct {
	sound []*endpoint // not ejected
	probe *endpoint   // an ejected one with room, which the request should try; nil if there is none
	load  float64     // the sum of the loads of all
	count int
}

// placement is what the costs of all endpoints for one request have in common.
type placement struct {
	base, slope float64     // ms to the first word, and more for each token to read
	bound       float64     // the load above which an endpoint is too full for further requests of a shared prefix
	homes       []*endpoint // the first endpoints in the common order of homes of the shared prefix
	shared      float64     // tokens of the prefix that other requests may share
}

// choose picks the endpoint for a request and returns the run that it would be, or nil if no endpoint has room.
func (c *core) choose(p *pool, w *waiter) *run {
	found := c.candidates(p, w)
	if found.count == 0 {
		return nil
	}
	base, slope := p.first.fit()
	if found.probe != nil {
		probe := run{endpoint: found.probe, read: float64(w.r.TokensIn)}
		probe.expected = c.toFirst(found.probe, w, base, slope, &probe.read)
		return &probe
	}
	sound := found.sound
	if len(sound) == 0 { // all are ejected: the one that is ejected for the shortest time is better than none
		least := leastEjected(p, w)
		if least == nil {
			return nil
		}
		sound = append(sound, least)
	}
	room := slices.DeleteFunc(sound, func(e *endpoint) bool { return !c.hasRoom(e, w) })
	if len(room) == 0 {
		return nil
	}
	common := placement{base: base, slope: slope, bound: c.settings.LoadFactor*found.load/float64(found.count) + c.settings.LoadSlack}
	if len(w.chains) > 0 {
		common.homes, common.shared = c.homesOf(p, w), sharedTokens(w)
	}
	return c.cheapest(room, w, &common)
}

// candidates returns the endpoints of a pool that may serve a request.
func (c *core) candidates(p *pool, w *waiter) candidates {
	found := candidates{sound: make([]*endpoint, 0, len(p.endpoints))}
	w.confined = false
	for _, e := range p.endpoints {
		if !e.may(w) {
			continue
		}
		if e.preferred && e.ejectedUntil == 0 {
			w.confined = true
		}
		found.load += e.load(c)
		found.count++
		switch {
		case e.ejectedUntil == 0:
			found.sound = append(found.sound, e)
		case e.probe(c, w) && c.hasRoom(e, w):
			found.probe = e
		}
	}
	return found
}

// leastEjected returns the endpoint that may serve a request and is ejected for the shortest time.
func leastEjected(p *pool, w *waiter) *endpoint {
	var least *endpoint
	for _, e := range p.endpoints {
		if e.may(w) && (least == nil || e.ejectedUntil < least.ejectedUntil) {
			least = e
		}
	}
	return least
}

// homesOf returns the homes for a request, which are computed once for each snapshot.
func (c *core) homesOf(p *pool, w *waiter) []*endpoint {
	if w.listing != c.listing {
		w.homes, w.listing = c.homes(p, w), c.listing
	}
	return w.homes
}

// sharedTokens returns the tokens of a prompt's prefix that other requests may share.
func sharedTokens(w *waiter) float64 {
	shared := 0.0
	for _, part := range w.r.Prefix[:sharedParts(w)] {
		shared += float64(part.Tokens)
	}
	return shared
}

// cheapest returns the run at the endpoint with the lowest cost, a random one of those with a similar cost, or nil if a
// run would be too late at each of them.
func (c *core) cheapest(room []*endpoint, w *waiter, common *placement) *run {
	var best run
	lowest, similar := math.Inf(1), 0
	for _, e := range room {
		candidate, cost := c.runAt(e, w, common)
		if !c.inTime(e, w, candidate.expected) {
			continue
		}
		switch {
		case cost < lowest-similarCost:
			best, lowest, similar = candidate, cost, 1
		case cost <= lowest+similarCost:
			similar++
			if c.rng()*float64(similar) < 1 {
				best = candidate
			}
			lowest = min(lowest, cost)
		}
	}
	if best.endpoint == nil {
		return nil
	}
	return &best
}

// runAt returns the run of a request at an endpoint and its cost in ms: the expected time to the first word, and what
// else speaks against the endpoint.
func (c *core) runAt(e *endpoint, w *waiter, common *placement) (run, float64) {
	r := run{endpoint: e, read: float64(w.r.TokensIn)}
	r.read -= c.kept(e, w, common.homes, common.shared)
	r.expected = c.toFirst(e, w, common.base, common.slope, &r.read)
	cost := r.expected + c.preference(e, w)
	if common.shared > 0 {
		cost += c.settings.Reread * common.slope * min(common.shared, r.read)
		// An endpoint with the prefix takes no more than its part, unless all are as full.
		if load := e.load(c); load > common.bound && load > c.settings.FreeShare*float64(e.slots()) {
			cost += float64(c.settings.LoadCost) / float64(time.Millisecond) * (load - common.bound)
		}
	}
	return r, cost
}

// may reports whether a request may go to an endpoint, whatever its load.
func (e *endpoint) may(w *waiter) bool {
	if e.unlisted || e.state != snapshot.Ready || slices.Contains(w.r.Avoid, e.target.ID) || !w.r.may(e.target.ID) {
		return false
	}
	return w.r.Model == "" || len(e.models) == 0 ||
		slices.ContainsFunc(e.models, func(m snapshot.Model) bool { return m.Name == w.r.Model })
}

// probe reports whether a request should try an ejected endpoint. One request at a time does: from the end of the ejection
// on a request that may run twice, later also a small one, and later still any.
func (e *endpoint) probe(c *core, w *waiter) bool {
	from := e.ejectedUntil
	if !w.r.Bulk && (w.r.Route == nil || !w.r.Route.Idempotent()) {
		if from += e.ejectedFor; float64(w.r.TokensIn) > e.pool.size.v {
			from += e.ejectedFor
		}
	}
	return e.ejectedUntil != 0 && c.now >= from && !e.probing
}

// slotsUnknown is the number of slots of an endpoint whose capacity is unknown.
const slotsUnknown = 8

// slots returns the number of requests that an endpoint runs at a time.
func (e *endpoint) slots() int {
	switch {
	case e.capacity > 0:
		return e.capacity
	case e.pool.capacity > 0:
		return e.pool.capacity
	}
	return slotsUnknown
}

// rest estimates the requests of other senders at an endpoint: by the load that it reported last, which fades to the mean
// of the pool.
func (e *endpoint) rest(c *core) float64 {
	if !e.told {
		return e.pool.rest.v
	}
	keep := math.Exp(-float64(c.now-e.toldAt) / float64(c.settings.TrustLoad))
	return e.pool.rest.v + keep*(e.others-e.pool.rest.v)
}

// load estimates the requests at an endpoint, of this sender and others.
func (e *endpoint) load(c *core) float64 { return float64(len(e.running)) + e.rest(c) }

// limit returns the slice with its growth since the last refusal: the most starts in a narrow window.
func (e *endpoint) limit(c *core) float64 {
	if math.IsInf(e.slice, 1) {
		return e.slice
	}
	return e.slice * (1 + float64(c.now-e.refusedAt)/(float64(c.settings.Recover)*e.spread))
}

// ratio returns how many narrow windows the wide one has.
func (e *endpoint) ratio() float64 { return float64(e.wide.Window) / float64(e.narrow.Window) }

// open reports whether both send logs have room for another start. It lifts a limit that was far from being reached for a
// narrow window.
func (e *endpoint) open(c *core) bool {
	limit := e.limit(c)
	narrow, wide := float64(e.narrow.Count(c.now)), float64(e.wide.Count(c.now))
	if !math.IsInf(limit, 1) && limit > 4*(narrow+4) && c.now-e.refusedAt > c.settings.Narrow {
		e.slice = math.Inf(1)
		return true
	}
	return narrow < limit && wide < limit*e.ratio()
}

// roomAt returns the time by which both send logs have room for another start: when enough old starts have left them, or
// the slice has grown, whichever is first.
func (e *endpoint) roomAt(c *core) Time {
	if e.open(c) {
		return c.now
	}
	limit := e.limit(c)
	at := max(e.narrow.AvailableAt(c.now, int(limit)), e.wide.AvailableAt(c.now, int(limit*e.ratio())))
	n := max(float64(e.narrow.Count(c.now)), float64(e.wide.Count(c.now))/e.ratio()) + 1e-3
	grown := time.Duration((n/e.slice - 1) * float64(c.settings.Recover) * e.spread)
	return max(c.now, min(at, e.refusedAt+grown))
}

// hasRoom reports whether an endpoint has room for a request now.
func (c *core) hasRoom(e *endpoint, w *waiter) bool {
	if m := e.pool.maxConns; m > 0 && len(e.running) >= max(1, m*9/10/c.senders) {
		return false
	}
	if c.now < e.fullTill || !e.open(c) {
		return false
	}
	slots := float64(e.slots())
	if e.fullAt > 0 && e.load(c) >= e.fullAt {
		return false
	}
	if w.r.Bulk {
		if c.untried(e) {
			return false
		}
		most := max(slots*(1-c.settings.BulkHeadroom), 1)
		if c.pressing(w) {
			if most = slots; c.underFloor(e.pool, w) {
				most = slots * (1 + c.settings.QueueInAim)
			}
		}
		return e.load(c)+1+c.doubt(e, w) <= most+1e-9
	}
	return e.load(c) < slots*(1+c.settings.QueueInAim)
}

// pressing reports whether a bulk request is due soon, so that it may also use the headroom.
func (c *core) pressing(w *waiter) bool {
	return c.now+c.settings.Pressing > w.due
}

// underFloor reports whether this sender runs less bulk than the share that is guaranteed to bulk.
func (c *core) underFloor(p *pool, w *waiter) bool {
	slots := 0
	for _, e := range p.endpoints {
		if !e.unlisted && e.state == snapshot.Ready && w.r.may(e.target.ID) {
			slots += e.slots()
		}
	}
	return float64(p.bulk) < max(1, c.settings.BulkFloor*float64(slots)/float64(c.senders))
}

// kept estimates how many tokens of a prompt an endpoint has cached: the prefix that this sender has sent there within the
// lifetime of cache entries, or the shared part that others have probably sent there, by its rank.
func (c *core) kept(e *endpoint, w *waiter, homes []*endpoint, shared float64) float64 {
	if len(w.chains) == 0 {
		return 0
	}
	known := 0.0
	lifetime := e.cache.lifetime(c.now, c.senders, e.pool.cache)
	for _, part := range w.r.Prefix[:e.cache.fresh(w.chains, c.now, lifetime)] {
		known += float64(part.Tokens)
	}
	if rank := slices.Index(homes, e); rank >= 0 {
		known = max(known, beliefs[rank]*shared)
	}
	return known
}

// toFirst estimates the ms until the first word: the wait for a slot, and the reading of the prompts before this one and of
// this one. It raises negative tokens to read to 0.
func (c *core) toFirst(e *endpoint, w *waiter, base, slope float64, read *float64) float64 {
	*read = max(*read, 0)
	t := base + slope*(*read+e.unread())
	t *= min(max(e.slowness.v, 0.5), 3)
	if over := e.load(c) + 1 - float64(e.slots()); over > 0 {
		t += over * e.pool.work.v / float64(e.slots())
	}
	return t
}

// unread returns the tokens of this sender's prompts that the endpoint has still to read.
func (e *endpoint) unread() float64 {
	n := 0.0
	for _, r := range e.running {
		if !r.told {
			n += r.read
		}
	}
	return n
}

// preference returns the cost of an endpoint in addition to the expected time, in ms: for its load, another zone, a cold
// start, an overdue first word, and recent failures.
func (c *core) preference(e *endpoint, w *waiter) float64 {
	ms := float64(time.Millisecond)
	taken := e.load(c) / float64(e.slots())
	cost := float64(c.settings.LoadCost) / ms * taken * taken
	if e.target.Zone != c.zone {
		cost += float64(c.settings.OtherZone) / ms
	}
	if !e.preferred {
		cost += float64(c.settings.OutsideSubset) / ms
	}
	if e.coldTill > c.now {
		cost += c.settings.ColdCost * float64(e.coldTill-c.now) / ms
	}
	if len(e.running) > 0 { // the oldest run without a first word may be overdue
		for _, r := range e.running {
			if !r.told {
				late := float64(c.now-r.sent)/ms - 3*max(r.expected, 20)
				cost += max(0, late)
				break
			}
		}
	}
	return cost + 10*e.score
}

// inTime reports whether a run is worth starting whose first word is expected after so many ms. It must come before the
// deadline. If it comes after the due time, the load must be low, the lower the less urgent the route is. An estimate that refuses all
// requests would never be corrected, so it counts only as long as first words come.
func (c *core) inTime(e *endpoint, w *waiter, ms float64) bool {
	if w.r.Bulk {
		return true
	}
	if c.now-e.pool.word > c.settings.EstimateAge {
		return true // nothing has tested the estimates for a while: a request does
	}
	late := e.pool.late.v * math.Exp(-float64(c.now-e.pool.word)/float64(c.settings.LagFades))
	at := c.now + time.Duration((ms+max(0, late))*float64(time.Millisecond))
	if at >= w.deadline {
		return false
	}
	if w.due == 0 || at <= w.due {
		return true
	}
	return e.load(c) < float64(e.slots())*c.settings.QueueLate*math.Pow(0.8, float64(priority(w.r)))
}

// sharedParts returns the number of parts of a prompt that other requests may share: all but the last, if there are more.
func sharedParts(w *waiter) int { return max(len(w.r.Prefix)-1, min(len(w.r.Prefix), 1)) }

// beliefs are the probabilities that an endpoint has cached shared parts that this sender has not sent there, by its place in the common
// order of homes: other senders prefer the same endpoints.
var beliefs = [...]float64{0.9, 0.5, 0.2}

// homes returns the first endpoints in the common order of those that are ready and certified for a request's regime: by rendezvous
// hashing of its shared parts, with the same result at all senders.
func (c *core) homes(p *pool, w *waiter) []*endpoint {
	key := uint64(w.chains[sharedParts(w)-1])
	var first [len(beliefs)]*endpoint
	var scores [len(beliefs)]uint64
	found := 0
	for _, e := range p.endpoints {
		if e.unlisted || e.state != snapshot.Ready || !w.r.may(e.target.ID) {
			continue
		}
		score := mix(key, e.hash)
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
