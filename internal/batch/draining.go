package batch

import "slices"

// beginDraining handles the event that the process is shutting down. From here on no job is
// accepted, and the table moves the lead of the partitions to other replicas, which have everything
// that is committed. Until then reads, ends and results are served as before.
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
	c.log("draining: %d partitions to be moved to other primaries", c.primaryCount())
	c.announceDraining()
}

// announceDraining announces whether this store is stopping, as long as the table says otherwise.
// This also removes a mark that an earlier process left or that was set late.
func (c *core) announceDraining() {
	if c.table == nil {
		return
	}
	if _, known := c.table.Stores[c.self]; known && c.table.Stopping[c.self] != c.stopping {
		c.announceStopping(c.stopping)
	}
}

// primaryCount returns how many partitions this store is the primary of.
func (c *core) primaryCount() (count int) {
	for _, p := range c.partitions {
		if p.primary != nil {
			count++
		}
	}
	return count
}

// drained reports whether this process can end without loss: it is stopping, and the new primaries
// of its partitions have taken over its state and brought its replica up to date.
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
