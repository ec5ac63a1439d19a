package dispatch

import (
	"slices"

	"dunetide/internal/control/snapshot"
)

// loadTolerance absorbs rounding where a load is compared with a whole number of slots.
const loadTolerance = 1e-9

// mayChoose reports whether the regime of the request allows an endpoint, and records an allowed one for choiceAllows.
func (w *waiter) mayChoose(id string) bool {
	if !w.request.mayUse(id) {
		return false
	}
	if w.request.Certified != nil {
		w.certified = append(w.certified, id)
	}
	return true
}

// choiceAllows reports whether the regime of the request allowed an endpoint at the newest choice.
func (w *waiter) choiceAllows(id string) bool {
	return w.request.Certified == nil || slices.Contains(w.certified, id)
}

// eligible reports whether a request may go to an endpoint, whatever its load.
func (e *endpoint) eligible(w *waiter) bool {
	if !e.ready() || w.avoids(e) || !w.mayChoose(e.target.ID) {
		return false
	}
	return e.serves(w)
}

// avoids reports whether a request must not be sent to an endpoint.
func (w *waiter) avoids(e *endpoint) bool { return slices.Contains(w.request.Avoid, e.target.ID) }

// serves reports whether an endpoint has the model of a request.
func (e *endpoint) serves(w *waiter) bool {
	return w.request.Model == "" || len(e.models) == 0 ||
		slices.ContainsFunc(e.models, func(m snapshot.Model) bool { return m.Name == w.request.Model })
}

// hasCapacity reports whether an endpoint can take a request now, by its connections, its rate
// limit and its load.
func (c *core) hasCapacity(e *endpoint, w *waiter) bool {
	// A tenth of the connections stays free, as senders may count different numbers of senders.
	if m := e.pool.maxConns; m > 0 && len(e.running) >= max(1, m*9/10/c.senders) {
		return false
	}
	if c.now < e.fullUntil || !e.withinRateLimit(c) {
		return false
	}
	if e.fullAtLoad > 0 && e.load(c) >= e.fullAtLoad {
		return false
	}
	if w.request.Bulk {
		return c.hasBulkCapacity(e, w)
	}
	return e.load(c) < float64(e.slots())*(1+c.settings.QueueOnTime)
}

// hasBulkCapacity reports whether the load of an endpoint allows a bulk request. Bulk leaves
// headroom for interactive requests until it is near its due time.
func (c *core) hasBulkCapacity(e *endpoint, w *waiter) bool {
	if c.awaitsFirstAnswer(e) {
		return false
	}
	slots := float64(e.slots())
	limit := max(slots*(1-c.settings.BulkHeadroom), 1)
	if c.nearDue(w) {
		if limit = slots; c.belowBulkFloor(e.pool, w) {
			limit = slots * (1 + c.settings.QueueOnTime)
		}
	}
	return e.load(c)+1+c.loadUncertainty(e, w) <= limit+loadTolerance
}

// nearDue reports whether a bulk request is due soon, so that it may also use the headroom.
func (c *core) nearDue(w *waiter) bool { return c.now+c.settings.BulkUrgency > w.due }

// belowBulkFloor reports whether this sender runs less bulk than its share of the slots that are guaranteed to bulk.
func (c *core) belowBulkFloor(p *pool, w *waiter) bool {
	slots := 0
	for _, e := range p.endpoints {
		if e.ready() && w.request.mayUse(e.target.ID) {
			slots += e.slots()
		}
	}
	return float64(p.bulkRunning) < max(1, c.settings.BulkFloor*float64(slots)/float64(c.senders))
}

// awaitsFirstAnswer reports whether this sender, one of several, runs bulk at an endpoint that has
// never answered it. When all senders start together, none of them knows any load, and all of them
// would send their bulk at once.
func (c *core) awaitsFirstAnswer(e *endpoint) bool {
	if e.answered || c.senders == 1 {
		return false
	}
	return slices.ContainsFunc(e.running, func(r *run) bool { return r.bulk })
}
