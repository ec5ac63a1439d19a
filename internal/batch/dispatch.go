package batch

import (
	"cmp"
	"slices"
)

// Items are handed out to workers.

// enqueue puts a job among those with items to hand out.
func (c *core) enqueue(j *job) {
	if j.ended || j.queued {
		return
	}
	j.waiting, j.next = 0, 0
	for i := range j.items {
		if j.items[i].state == itemWaiting {
			j.waiting++
		}
	}
	if len(j.results) == len(j.items) {
		return
	}
	j.queued = true
	at, _ := slices.BinarySearchFunc(c.open, j, compareDue)
	c.open = slices.Insert(c.open, at, j)
}

// dueAt is when the results of a job are due, on the steady clock of this store.
func (j *job) dueAt() int64 { return j.knownSince + j.dueMs }

// dueTimeOfDay is when the results of a job are due by the clock of the edge that took it.
func (j *job) dueTimeOfDay() int64 { return j.sentMs + j.dueMs }

// compareDue orders jobs by when they are due. The time of day only decides among jobs that became known here at once, as
// those that are read from the log at a start.
func compareDue(a, b *job) int {
	return cmp.Or(cmp.Compare(a.dueAt(), b.dueAt()), cmp.Compare(a.dueTimeOfDay(), b.dueTimeOfDay()), cmp.Compare(a.id, b.id))
}

// dispatch hands out items: earliest due first, to the workers with most room, those of the own zone first.
func (c *core) dispatch() {
	if len(c.open) == 0 || len(c.attached) == 0 {
		return
	}
	c.open = slices.DeleteFunc(c.open, func(j *job) bool {
		if j.dropping || j.ended || !j.queued || len(j.results) == len(j.items) {
			j.queued = false
			return true
		}
		return false
	})
	for _, j := range c.open {
		if j.waiting == 0 {
			continue
		}
		p := c.part(c.table.PartitionOf(j.id))
		if p.lead == nil || !p.lead.active || c.now < p.lead.handAt {
			continue
		}
		if !c.sure(p.lead) {
			if p.lead.asked+100 < c.now {
				c.confirm(p)
			}
			if !c.sure(p.lead) {
				continue
			}
		}
		for i := j.next; i < len(j.items); i++ {
			if j.items[i].state != itemWaiting {
				if i == j.next {
					j.next++
				}
				continue
			}
			w := c.pick()
			if w == nil {
				return
			}
			c.give(p, j, i, w)
		}
	}
}

func (c *core) pick() (best *worker) {
	for _, w := range c.attached {
		free := w.limit - len(w.held)
		if free <= 0 {
			continue
		}
		if best == nil || (w.zone == c.zone) != (best.zone == c.zone) {
			if best == nil || w.zone == c.zone {
				best = w
			}
			continue
		}
		if free > best.limit-len(best.held) {
			best = w
		}
	}
	return best
}

func (c *core) give(p *part, j *job, no int, w *worker) {
	it := &j.items[no]
	seg, err := c.segment(j, no)
	if err != nil {
		c.log("reading an item of job %s: %v", j.id, err)
		return
	}
	c.hand(p, j, no, w)
	message := giveMessage{key: itemKey{p.no, j.id, no}, epoch: p.epoch, dueMs: j.dueTimeOfDay(), tries: j.tries, route: j.route,
		host: j.host, itemID: it.id, tokens: it.tokens, segment: seg, leftMs: j.dueAt() - c.now}
	_ = w.pipe.Send(kGive, message.encode())
}

func (c *core) hand(p *part, j *job, no int, w *worker) {
	j.items[no].state, j.items[no].by = itemHanded, w
	j.waiting--
	w.held[itemKey{p.no, j.id, no}] = true
}

// takeBack makes an item that a worker had in hand wait again.
func (c *core) takeBack(w *worker, k itemKey) {
	delete(w.held, k)
	j := c.part(k.part).jobs[k.job]
	if j == nil || k.item < 0 || k.item >= len(j.items) {
		return
	}
	if it := &j.items[k.item]; it.state == itemHanded && it.by == w {
		it.state, it.by = itemWaiting, nil
		j.waiting++
		j.next = min(j.next, k.item)
	}
}
