package batch

import "dunetide/internal/control/operatorconfig"

// Items of jobs that are too old are abandoned, and jobs are dropped some time after their end. The
// age of a job is counted on the steady clock from the moment at which this process first knew of
// the job: the job is at least that old, whatever the time of day is said to be. A job that is sent
// whole to another store takes its age along. After a restart it counts as younger than it is, and
// is abandoned and dropped later, which is allowed.

// expireJobs abandons and drops what is too old.
func (c *core) expireJobs() {
	for _, p := range c.partitions {
		primary := p.primary
		if primary != nil && primary.nextGroupReady {
			c.reportReady(p.index, p.epoch) // again, until the table has changed
		}
		if primary == nil || !primary.serving {
			continue
		}
		c.superviseWorkers(p)
		for _, id := range sortedKeys(p.jobs) {
			if j := p.jobs[id]; j != nil && j.committed {
				c.expireJob(p, j)
			}
		}
	}
}

func (c *core) expireJob(p *partition, j *job) {
	ageMs := c.nowMs - j.knownSinceMs
	if j.isOpen() {
		if j.maxWaitMs > 0 && ageMs > j.maxWaitMs+abandonMarginMs || c.routeRemoved(j) {
			c.abandonOpenItems(p, j)
		}
		return
	}
	finished := j.ended && j.endCommitted || j.readableResults == len(j.items)
	if ageMs > c.retentionMs+dropMarginMs && finished && !j.dropped {
		j.dropped = true
		c.replicate(p, encodeJobOperation(opDropJob, j.id), func(bool) {})
	}
}

// abandonOpenItems gives each item that has no result the result that it was abandoned.
func (c *core) abandonOpenItems(p *partition, j *job) {
	for index := range j.items {
		if j.items[index].state == itemDone {
			continue
		}
		key := itemKey{p.index, j.id, index}
		w := j.items[index].worker
		c.addResult(p, j, index, true, nil, func(ok bool) {
			if w != nil && c.workers[w.pipe] == w {
				sendResultStored(w, key)
			}
		})
	}
}

// routeRemoved reports whether the configuration has the route no more by which a job came.
func (c *core) routeRemoved(j *job) bool {
	if c.config == nil || c.config.Version < j.configVersion {
		return false
	}
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		samePlace := route.Host == j.host && route.PathPrefix == j.pathPrefix
		if route.Kind == operatorconfig.Bulk && (route.Name == j.route || samePlace) {
			return false
		}
	}
	return true
}
