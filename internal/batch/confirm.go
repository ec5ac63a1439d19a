package batch

import (
	"cmp"
	"slices"

	"dunetide/internal/platform/link"
)

// A primary confirms that it has not been replaced; what has been replaced is refused by its ballot.

// stale tells a primary that it has been replaced, if it has.
func (c *core) stale(p *part, ballot uint64, pipe Pipe) bool {
	known := max(p.promised, ballotOf(p.epoch))
	if ballot >= known {
		return false
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(known)
	_ = pipe.Send(kStale, w.B)
	return true
}

// confirmAsked says to a primary that it has not been replaced as far as this store knows, or that it has.
func (c *core) confirmAsked(p *part, ballot, stamp uint64, pipe Pipe) {
	if c.stale(p, ballot, pipe) {
		return
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(ballot)
	w.U64(stamp)
	w.Bool(c.full)
	_ = pipe.Send(kConfirmed, w.B)
}

// confirm asks the copies whether this one has been replaced.
func (c *core) confirm(p *part) {
	l := p.lead
	if l.asked == c.now && l.asked != 0 {
		return
	}
	l.asked = c.now
	if l.barred {
		return
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(l.ballot)
	w.U64(uint64(c.now))
	for _, id := range l.copies {
		if q := l.peers[id]; q != nil {
			_ = q.pipe.Send(kConfirm, w.B)
		}
	}
	c.countConfirmed(p)
}

func (c *core) countConfirmed(p *part) {
	l := p.lead
	s := []int64{c.now}
	for _, id := range l.copies {
		if q := l.peers[id]; q != nil {
			s = append(s, q.stamp)
		}
	}
	if len(s) < c.maxLost+1 {
		return
	}
	slices.SortFunc(s, func(a, b int64) int { return cmp.Compare(b, a) })
	l.confirmed = max(l.confirmed, s[c.maxLost])
	if c.sure(l) {
		readers := l.readers
		l.readers = nil
		for _, r := range readers {
			c.read(p, r)
		}
		if p.lead == l && l.active {
			for _, w := range c.attached {
				c.claim(p, w)
			}
		}
	}
}

// sure tells whether this one was not replaced a moment ago.
func (c *core) sure(l *lead) bool {
	return c.now-l.confirmed <= confirmMs
}

// keepSure confirms again and again that this store leads while workers run items of the part, and holds them back when that
// can't be said: an end that a successor acknowledged would not reach them.
func (c *core) keepSure(p *part) {
	l := p.lead
	var running []*worker
	for _, w := range c.attached {
		for k := range w.held {
			if k.part == p.no {
				running = append(running, w)
				break
			}
		}
	}
	if len(running) == 0 {
		return
	}
	c.confirm(p)
	sure := c.now-l.confirmed <= 1500
	if sure == !l.unsure {
		return
	}
	l.unsure = !sure
	for _, w := range running {
		var b link.Writer
		b.U32(uint32(p.no))
		if sure {
			b.U64(0)
			_ = w.pipe.Send(kHeld, b.B)
		} else {
			_ = w.pipe.Send(kUnsure, b.B)
		}
	}
}
