package dispatch

// A bulk request has no deadline, so nothing ends its wait but what it waits for. It may wait for an
// endpoint to come free, to appear, or to become certified. It must not wait for endpoints that it
// avoids: these are avoided until its sender gives up this attempt, and the next attempt may use
// them again. So it is refused when only such endpoints are left.

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
