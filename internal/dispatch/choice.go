package dispatch

import (
	"math"
	"slices"
	"time"

	"dunetide/internal/view"
)

// choose picks the endpoint for a request, nil when none has room.
func (c *core) choose(p *pool, w *waiter) (*endpoint, *run) {
	var room []*endpoint
	var probe *endpoint
	total, n := 0.0, 0
	for _, e := range p.eps {
		if !e.may(w) {
			continue
		}
		total += e.load(c)
		n++
		switch {
		case e.outTill == 0:
			room = append(room, e)
		case e.probe(c, w) && c.hasRoom(e, w):
			probe = e
		}
	}
	if n == 0 {
		return nil, nil
	}
	base, slope := p.first.fit()
	if probe != nil {
		r := run{e: probe, read: float64(w.r.TokensIn)}
		r.expected = c.toFirst(probe, w, base, slope, &r.read)
		return probe, &r
	}
	if len(room) == 0 { // all are out: the least bad one is better than none
		var least *endpoint
		for _, e := range p.eps {
			if e.may(w) && (least == nil || e.outTill < least.outTill) {
				least = e
			}
		}
		if least == nil {
			return nil, nil
		}
		room = append(room, least)
	}
	room = slices.DeleteFunc(room, func(e *endpoint) bool { return !c.hasRoom(e, w) })
	if len(room) == 0 {
		return nil, nil
	}
	var ranks map[*endpoint]int
	shared := 0.0
	if len(w.chains) > 0 {
		if w.listing != c.listing {
			w.ranks, w.listing = c.ranks(p, w), c.listing
		}
		ranks = w.ranks
		for _, part := range w.r.Prefix[:sharedParts(w)] {
			shared += float64(part.Tokens)
		}
	}
	bound := c.set.LoadFactor*total/float64(n) + c.set.LoadSlack
	var best *endpoint
	var bestRun run
	bestCost, similar := math.Inf(1), 0
	for _, e := range room {
		r := run{e: e, read: float64(w.r.TokensIn)}
		r.read -= c.kept(e, w, ranks, shared)
		r.expected = c.toFirst(e, w, base, slope, &r.read)
		cost := r.expected + c.preference(e, w)
		if shared > 0 {
			cost += c.set.Reread * slope * min(shared, r.read)
			// A home takes no more than its part, unless all are as full.
			if l := e.load(c); l > bound && l > c.set.FreeShare*float64(e.slots()) {
				cost += float64(c.set.LoadCost) / float64(time.Millisecond) * (l - bound)
			}
		}
		if !c.inTime(e, w, r.expected) {
			continue
		}
		const near = 0.25 // ms
		switch {
		case cost < bestCost-near:
			best, bestRun, bestCost, similar = e, r, cost, 1
		case cost <= bestCost+near: // one of those that are alike
			similar++
			if c.rng()*float64(similar) < 1 {
				best, bestRun = e, r
			}
			bestCost = min(bestCost, cost)
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, &bestRun
}

// may tells whether a request may go to an endpoint at all.
func (e *endpoint) may(w *waiter) bool {
	if e.unlisted || e.state != view.Ready || slices.Contains(w.r.Avoid, e.target.ID) || !w.r.may(e.target.ID) {
		return false
	}
	return w.r.Model == "" || len(e.models) == 0 ||
		slices.ContainsFunc(e.models, func(m view.Model) bool { return m.Name == w.r.Model })
}

// probe tells whether a request should find out whether an endpoint that was out is well again. One at a
// time does: first one that may run twice, then a small one, then any.
func (e *endpoint) probe(c *core, w *waiter) bool {
	from := e.outTill
	if !w.r.Bulk && (w.r.Route == nil || !w.r.Route.Idempotent()) {
		if from += e.outFor; float64(w.r.TokensIn) > e.pool.size.v {
			from += e.outFor
		}
	}
	return e.outTill != 0 && c.now >= from && !e.probing
}

const slotsUnknown = 8

func (e *endpoint) slots() int {
	switch {
	case e.capacity > 0:
		return e.capacity
	case e.pool.capacity > 0:
		return e.pool.capacity
	}
	return slotsUnknown
}

// rest guesses how many requests of others an endpoint has: what it told last, which fades to the mean.
func (e *endpoint) rest(c *core) float64 {
	if !e.told {
		return e.pool.rest.v
	}
	keep := math.Exp(-float64(c.now-e.toldAt) / float64(c.set.TrustLoad))
	return e.pool.rest.v + keep*(e.others-e.pool.rest.v)
}

func (e *endpoint) load(c *core) float64 { return float64(len(e.running)) + e.rest(c) }

// limit is the slice with what it has grown since it was cut.
func (e *endpoint) limit(c *core) float64 {
	if math.IsInf(e.slice, 1) {
		return e.slice
	}
	return e.slice * (1 + float64(c.now-e.refusedAt)/(float64(c.set.Recover)*e.spread))
}

func (e *endpoint) ratio() float64 { return float64(e.wide.Window) / float64(e.narrow.Window) }

// open checks both counts.
func (e *endpoint) open(c *core) bool {
	limit := e.limit(c)
	narrow, wide := float64(e.narrow.Count(c.now)), float64(e.wide.Count(c.now))
	if !math.IsInf(limit, 1) && limit > 4*(narrow+4) && c.now-e.refusedAt > c.set.Narrow {
		e.slice = math.Inf(1) // it has not bound for a window
		return true
	}
	return narrow < limit && wide < limit*e.ratio()
}

// roomAt is when both logs have room, at the latest: a slice that grows has it sooner.
func (e *endpoint) roomAt(c *core) Time {
	if e.open(c) {
		return c.now
	}
	limit := e.limit(c)
	at := max(e.narrow.RoomAt(c.now, int(limit)), e.wide.RoomAt(c.now, int(limit*e.ratio())))
	n := max(float64(e.narrow.Count(c.now)), float64(e.wide.Count(c.now))/e.ratio()) + 1e-3
	grown := time.Duration((n/e.slice - 1) * float64(c.set.Recover) * e.spread)
	return max(c.now, min(at, e.refusedAt+grown))
}

// hasRoom tells whether a request may go to an endpoint now.
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
		most := max(slots*(1-c.set.BulkHeadroom), 1)
		if c.pressing(w) {
			if most = slots; c.underFloor(e.pool, w) {
				most = slots * (1 + c.set.QueueInAim)
			}
		}
		return e.load(c)+1 <= most+1e-9
	}
	return e.load(c) < slots*(1+c.set.QueueInAim)
}

// pressing tells whether a bulk item falls due soon, so that it may have the headroom too.
func (c *core) pressing(w *waiter) bool {
	return c.now+c.set.Pressing > w.due
}

// underFloor tells whether less bulk runs than always may, of this sender.
func (c *core) underFloor(p *pool, w *waiter) bool {
	slots := 0
	for _, e := range p.eps {
		if !e.unlisted && e.state == view.Ready && w.r.may(e.target.ID) {
			slots += e.slots()
		}
	}
	return float64(p.bulk) < max(1, c.set.BulkFloor*float64(slots)/float64(c.senders))
}

// kept guesses how many tokens of a prompt are kept at an endpoint: what this sender has sent there within the
// lifetime of parts in that memory, or, of the shared parts, what others have by the order that all have in common.
func (c *core) kept(e *endpoint, w *waiter, ranks map[*endpoint]int, shared float64) float64 {
	if len(w.chains) == 0 {
		return 0
	}
	known := 0.0
	lifetime := e.cache.lifetime(c.now, c.senders, e.pool.cache)
	for _, part := range w.r.Prefix[:e.cache.fresh(w.chains, c.now, lifetime)] {
		known += float64(part.Tokens)
	}
	if rank, there := ranks[e]; there {
		known = max(known, belief(rank)*shared)
	}
	return known
}

// toFirst guesses the ms until the first word: a slot, what is read before it, its own prompt.
func (c *core) toFirst(e *endpoint, w *waiter, base, slope float64, read *float64) float64 {
	*read = max(*read, 0)
	t := base + slope*(*read+e.unread())
	t *= min(max(e.slowness.v, 0.5), 3)
	if over := e.load(c) + 1 - float64(e.slots()); over > 0 {
		t += over * e.pool.work.v / float64(e.slots())
	}
	return t
}

// unread is how many tokens of this sender's prompts are still to be read there.
func (e *endpoint) unread() float64 {
	n := 0.0
	for _, r := range e.running {
		if !r.told {
			n += r.read
		}
	}
	return n
}

// preference is what an endpoint costs beside its time, in ms.
func (c *core) preference(e *endpoint, w *waiter) float64 {
	ms := float64(time.Millisecond)
	taken := e.load(c) / float64(e.slots())
	cost := float64(c.set.LoadCost) / ms * taken * taken
	if e.target.Zone != c.zone {
		cost += float64(c.set.OtherZone) / ms
	}
	if e.coldTill > c.now {
		cost += c.set.ColdCost * float64(e.coldTill-c.now) / ms
	}
	if len(e.running) > 0 { // its oldest call has no word for longer than it should
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

// inTime tells whether an answer that takes so long is worth asking for: in the aim a long queue may be joined,
// late only a short one, and a shorter one the less urgent the route is.
func (c *core) inTime(e *endpoint, w *waiter, ms float64) bool {
	if w.r.Bulk {
		return true
	}
	late := e.pool.late.v * math.Exp(-float64(c.now-e.pool.word)/float64(c.set.LagFades))
	at := c.now + time.Duration((ms+max(0, late))*float64(time.Millisecond))
	if at >= w.deadline {
		return false
	}
	if w.due == 0 || at <= w.due {
		return true
	}
	return e.load(c) < float64(e.slots())*c.set.QueueLate*math.Pow(0.8, float64(priority(w.r)))
}

// sharedParts is how many parts of a prompt others may bring too: all but the last, if there are more.
func sharedParts(w *waiter) int { return max(len(w.r.Prefix)-1, min(len(w.r.Prefix), 1)) }

// ranks orders the endpoints that a request may go to by the hash of its shared parts, the same for all senders. Those
// that are not certified for its regime are no homes.
func (c *core) ranks(p *pool, w *waiter) map[*endpoint]int {
	key := uint64(w.chains[sharedParts(w)-1])
	type scored struct {
		e *endpoint
		h uint64
	}
	list := make([]scored, 0, len(p.eps))
	for _, e := range p.eps {
		if !e.unlisted && e.state == view.Ready && w.r.may(e.target.ID) {
			list = append(list, scored{e, mix(key, e.hash)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.h > b.h {
			return -1
		} else if a.h < b.h {
			return 1
		}
		return 0
	})
	out := make(map[*endpoint]int, len(list))
	for i, s := range list {
		out[s.e] = i
	}
	return out
}

// belief is how surely shared parts that this sender has not sent to an endpoint are kept there, by its place in
// their order: others send them there too.
func belief(rank int) float64 {
	switch rank {
	case 0:
		return 0.9
	case 1:
		return 0.5
	case 2:
		return 0.2
	}
	return 0
}
