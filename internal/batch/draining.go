package batch

import "slices"

// beginDraining is the event that the process was told to end. From here on no job is accepted, and
// the table moves the lead of the partitions to other replicas, which have all that is committed.
// Until then reads, ends and results are served as before.
func (c *core) beginDraining() {
	if c.stopping {
		return
	}
	c.stopping = true
	for _, p := range c.partitions {
		if p.primary != nil {
			c.transferring = append(c.transferring, p)
		}
	}
	c.log("stops: leads %d parts, which others are to lead", c.primaryCount())
	c.announceDraining()
}

// announceDraining announces whether this store is about to stop as long as the table says
// otherwise. So a mark that an earlier process left, or that was set late, is removed.
func (c *core) announceDraining() {
	if c.table == nil {
		return
	}
	if _, known := c.table.Stores[c.self]; known && c.table.Stopping[c.self] != c.stopping {
		c.announceStopping(c.stopping)
	}
}

// primaryCount is how many partitions this store is the primary of.
func (c *core) primaryCount() (count int) {
	for _, p := range c.partitions {
		if p.primary != nil {
			count++
		}
	}
	return count
}

// drained reports whether nothing depends on this process any more: it is about to stop, and the
// new primaries of its partitions have taken over all that it had and brought its replica to their
// state.
func (c *core) drained() bool {
	if !c.stopping || c.primaryCount() > 0 {
		return false
	}
	for _, p := range c.transferring {
		if slices.Contains(c.table.Partitions[p.index].Replicas, c.self) && epochOfTerm(p.position.term) != p.epoch {
			return false
		}
	}
	return true
}
