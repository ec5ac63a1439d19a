package batch

import "slices"

// stop is the event that the process was told to end. From here on no job is taken; the table moves the lead of the
// parts to other copies, which have all that is committed. Until then reads, ends and results are served as before.
func (c *core) stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	for _, p := range c.parts {
		if p.lead != nil {
			c.handingOver = append(c.handingOver, p)
		}
	}
	c.log("stops: leads %d parts, which others are to lead", c.led())
	c.checkStopping()
}

// checkStopping announces whether this store is about to stop as long as the table says otherwise. So a mark that a
// life before this one left, or that was set late, is taken away.
func (c *core) checkStopping() {
	if c.table == nil {
		return
	}
	if _, known := c.table.Stores[c.self]; known && c.table.Stopping[c.self] != c.stopping {
		c.announceStopping(c.stopping)
	}
}

// led is how many parts this store leads.
func (c *core) led() (n int) {
	for _, p := range c.parts {
		if p.lead != nil {
			n++
		}
	}
	return n
}

// handedOver tells whether nothing depends on this process any more: it stops, and the new primaries of what it led have
// collected what there is and brought its copy to that.
func (c *core) handedOver() bool {
	if !c.stopping || c.led() > 0 {
		return false
	}
	for _, p := range c.handingOver {
		if slices.Contains(c.table.Partitions[p.no].Replicas, c.self) && epochOf(p.claimB) != p.epoch {
			return false
		}
	}
	return true
}
