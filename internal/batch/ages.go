package batch

import "dunetide/internal/control/operatorconfig"

// Jobs that are too old are given up and dropped. How old a job is, is counted on the steady clock from when this store first
// knew of it: no less than that has passed since it was sent, whatever the time of day is said to be. A job that is sent on
// whole takes its age along. After a restart it counts as younger than it is, and is given up and dropped later, which is
// allowed.

// ages gives up and drops what is too old, and tells again of groups that are ready.
func (c *core) ages() {
	for _, p := range c.parts {
		l := p.lead
		if l != nil && l.nextReady {
			c.ready(p.no, p.epoch)
		}
		if l == nil || !l.active {
			continue
		}
		c.keepSure(p)
		for _, id := range sortedKeys(p.jobs) {
			j := p.jobs[id]
			if j == nil || !j.committed {
				continue
			}
			age := c.now - j.knownSince
			if !j.open() {
				if age > c.keep+dropMarginMs && (j.ended && j.endSeen || j.visible == len(j.items)) && !j.dropping {
					j.dropping = true
					c.order(p, encodeNamed(opDrop, id), func(bool) {})
				}
				continue
			}
			if j.maxWaitMs > 0 && age > j.maxWaitMs+giveUpMargin || c.routeGone(j) {
				for i := range j.items {
					if j.items[i].state != itemListed {
						k := itemKey{p.no, id, i}
						w := j.items[i].by
						c.list(p, j, i, true, nil, func(ok bool) {
							if w != nil && c.workers[w.pipe] == w {
								c.listed(w, k)
							}
						})
					}
				}
			}
		}
	}
}

// routeGone tells whether the configuration has no route any more that a job came by.
func (c *core) routeGone(j *job) bool {
	if c.config == nil || c.config.Version < j.version {
		return false
	}
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		if r.Kind == operatorconfig.Bulk && (r.Name == j.route || r.Host == j.host && r.PathPrefix == j.pathStart) {
			return false
		}
	}
	return true
}
