package batch

import "slices"

// tick is called every 25 ms while needsFastTicks returns true, and otherwise every 250 ms.
func (c *core) tick() {
	if c.diskFailed || c.table == nil {
		return
	}
	c.unassignFromLostWorkers()
	c.finishOverdueEnds()
	c.retryConfirmations()
	c.tickQuota()
	if c.nowMs >= c.nextMaintenanceMs {
		c.nextMaintenanceMs = c.nowMs + maintenanceMs
		c.setMetrics()
		c.announceDraining()
		c.expireJobs()
		c.reclaimSpace()
	}
	c.resumeOverdueReads()
	c.dispatchItems()
}

// needsFastTicks reports whether a timeout or delay is pending.
func (c *core) needsFastTicks() bool {
	if len(c.pendingEnds)+len(c.disconnectedWorkers) > 0 {
		return true
	}
	for _, p := range c.partitions {
		if p.primary != nil && p.primary.needsFastTicks(c.nowMs) {
			return true
		}
	}
	return slices.ContainsFunc(c.dispatchQueue, func(j *job) bool { return len(j.pendingReads) > 0 })
}

func (s *primaryState) needsFastTicks(nowMs int64) bool {
	if len(s.pendingReads)+len(s.reservations) > 0 || s.serving && nowMs < s.dispatchFrom {
		return true
	}
	for _, account := range s.accounts {
		if len(account.pending) > 0 {
			return true
		}
	}
	for _, usage := range s.usage {
		if usage.changed {
			return true
		}
	}
	return false
}
