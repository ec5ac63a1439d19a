package dispatch

// A bulk request has no deadline, so nothing ends its wait but what it waits for. It may wait for an
// endpoint to come free, to appear, or to become certified. It must not wait for endpoints that it
// avoids: these are avoided until its sender gives up this attempt, and the next attempt may use
// them again. Nor may it wait at a service that its route has left: the next attempt goes where the
// route leads now. So it is refused in both cases.

// leadsElsewhere is the reason of a refusal because the route of a request leads elsewhere, or is gone.
const leadsElsewhere = "its route no longer leads here"

// onlyAvoidedLeft reports whether a request could be sent to some endpoint of a pool if it did not
// avoid it, and to no other one.
func (p *pool) onlyAvoidedLeft(w *waiter) bool {
	if len(w.request.Avoid) == 0 {
		return false
	}
	avoided := false
	for _, e := range p.endpoints {
		switch {
		case !e.ready() || !e.serves(w) || !w.request.mayUse(e.target.ID):
		case w.avoids(e):
			avoided = true
		default:
			return false
		}
	}
	return avoided
}

// routeMoved reports whether the route of a request no longer leads to its service.
func (c *core) routeMoved(r *Request) bool {
	return c.config != nil && r.LeadsTo != nil && !r.LeadsTo(c.config, r.Service)
}

// refuseMovedBulk refuses the pending requests whose route no longer leads to their service.
func (c *core) refuseMovedBulk() {
	for _, p := range c.poolOrder {
		for _, w := range p.queue {
			if c.routeMoved(w.request) {
				c.refuse(p, w, leadsElsewhere)
			}
		}
		c.removeDecided(p)
	}
}
