package batch

import "dunetide/internal/control/operatorconfig"

// Items of jobs past their maximum wait are abandoned, and jobs are dropped some time after they
// finish. The age of a job is measured on the monotonic clock from the moment at which this process
// learned about the job: the job is at least that old, whatever the wall clock says. When a job is
// transferred to another store, its age is sent along. After a restart a job counts as younger than
// it is, so it is abandoned and dropped later, which is allowed.

// expireJobs abandons items and drops jobs that are past their age limits.
func (c *core) expireJobs() {
	for _, p := range c.partitions {
		primary := p.primary
		if primary != nil && primary.nextGroupReady {
			c.reportReady(p.index, p.epoch) // repeated until the table has changed
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

// abandonOpenItems marks each item without a result as abandoned.
func (c *core) abandonOpenItems(p *partition, j *job) {
	for index := range j.items {
		if j.items[index].state == itemDone {
			continue
		}
		key := itemKey{p.index, j.id, index}
		w := j.items[index].worker
		c.addResult(p, j, index, true, nil, func(bool) { c.endOtherRun(w, key) })
	}
}

// routeRemoved reports whether the configuration no longer has a bulk route for a job.
func (c *core) routeRemoved(j *job) bool {
	if c.config == nil || c.config.Version < j.configVersion {
		return false
	}
	return c.routeOf(j) == nil
}

// routeOf returns the route of a job in the configuration of this store; nil if it has none. Workers
// ask the same of theirs (Item.RouteIn).
func (c *core) routeOf(j *job) *operatorconfig.Route { return c.config.MatchBulk(j.host, j.pathPrefix) }
