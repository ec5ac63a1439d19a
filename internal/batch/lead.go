package batch

import (
	"slices"

	"dunetide/internal/control/snapshot"
)

// The lead of a part: how it begins and ends, and who the copies are.

// ballotOf is the first ballot of an epoch. Each leading life in an epoch takes a higher one.
func ballotOf(epoch uint64) uint64 { return epoch << 16 }

func epochOf(ballot uint64) uint64 { return ballot >> 16 }

// lead is what the primary of a part has besides.
type lead struct {
	ballot    uint64
	life      uint64 // its first ballot; it goes on through epochs that leave the primary in place
	stage     stage
	active    bool
	seq       uint64
	start     int64 // the seq of the mark
	selfS     int64 // on its own disk under this ballot; -1: not the mark yet
	commit    int64
	nextReady bool
	told      bool
	copies    []uint64
	next      []uint64
	peers     map[uint64]*peer
	pend      []pending
	best      uint64
	fetch     map[string]bool // still to come from the best one
	barred    bool
	unsure    bool     // workers are held back
	confirmed int64    // when nobody had replaced this one, for sure
	asked     int64    // the stamp of the newest confirmation asked for
	readers   []reader // wait for a confirmation
	handAt    int64    // items go out from then on
	usage     map[string]*usage
	reserves  map[uint64]*reserve
	reserveN  uint64
	usageV    uint64
	accts     map[string]*account
	incoming  map[string]*incoming // jobs that wait for their tokens
}

type stage uint8

const (
	promising stage = iota
	collecting
	fetching
	ordering
)

type peer struct {
	pipe    Pipe
	session uint64
	have    map[string]uint64 // digests; nil: not told
	claimB  uint64
	claimS  uint64
	dirty   map[string]bool // to be sent whole
	flight  int
	live    bool
	acked   int64
	stamp   int64 // the newest confirmation
	full    bool  // it has no room for more jobs
}

type pending struct {
	seq  int64
	done func(ok bool)
}

// setTable is the event of a newer table.
func (c *core) setTable(t *snapshot.PartitionTable) {
	if t == nil || c.table != nil && t.Version <= c.table.Version {
		return
	}
	checkEpochs(c.table, t)
	c.table = t
	c.checkStopping()
	for no := range t.Partitions {
		row, p := &t.Partitions[no], c.part(no)
		if row.Epoch <= p.epoch {
			continue
		}
		was := p.epoch
		p.epoch = row.Epoch
		if row.Primary != c.self {
			c.stopLead(p)
			continue
		}
		goesOn := p.lead != nil && p.lead.active && was+1 == row.Epoch
		c.startLead(p, row, goesOn)
		if goesOn {
			for _, w := range c.attached {
				c.claim(p, w)
			}
		}
	}
}

// startLead begins to lead a part. One that led it in the epoch before, in the same life, goes on.
func (c *core) startLead(p *part, row *snapshot.Partition, goesOn bool) {
	if !goesOn {
		c.stopLead(p)
	}
	ballot := max(p.promised, ballotOf(row.Epoch)) + 1
	if epochOf(ballot) != row.Epoch {
		return // something newer is known already
	}
	l := p.lead
	if l == nil {
		leadsBegun.Inc()
		l = &lead{life: ballot, commit: -1, usage: map[string]*usage{}, reserves: map[uint64]*reserve{}, accts: map[string]*account{}, incoming: map[string]*incoming{}}
		p.lead = l
	}
	p.from, p.session = nil, 0
	l.ballot, l.stage, l.selfS, l.nextReady, l.told, l.start = ballot, promising, -1, false, false, 0
	l.copies = row.Replicas
	l.next = nil
	if len(row.Joining)+len(row.Leaving) > 0 {
		l.next = nextCopies(row)
	}
	l.peers = map[uint64]*peer{}
	l.confirmed, l.asked, l.barred = -1<<60, 0, false
	if goesOn {
		l.confirmed = c.now - confirmMs - 1 // the grace that a worker has
	}
	c.append(encodeRec(recPromise, p.no, ballot))
	if goesOn {
		c.mark(p)
	}
	c.afterSync(func() {
		if p.lead != l || l.ballot != ballot {
			return
		}
		if l.stage == promising {
			l.stage = collecting
		}
		for _, id := range l.all() {
			c.ask(p, id)
		}
		c.collected(p)
	})
}

// all are those who hold the part or are to hold it, itself apart.
func (l *lead) all() []uint64 {
	ids := slices.Clone(l.copies)
	for _, id := range l.next {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// stopLead ends a lead: what was not committed is open.
func (c *core) stopLead(p *part) {
	l := p.lead
	if l == nil {
		return
	}
	p.lead = nil
	for _, w := range l.pend {
		w.done(false)
	}
	for _, r := range l.readers {
		r.from.Reply([]byte{codeUnavailable})
	}
	for _, id := range sortedKeys(l.incoming) {
		l.incoming[id].answer(codeUnavailable)
	}
	for _, a := range l.accts {
		a.refuseHeld(c)
	}
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		for _, r := range j.readers {
			r.from.Reply([]byte{codeUnavailable})
		}
		j.readers, j.committed, j.visible, j.endSeen, j.queued, j.dropping = nil, false, 0, false, false, false
		j.next = 0
		for i := range j.items {
			j.items[i].by = nil
			if j.items[i].state == itemHanded {
				j.items[i].state = itemWaiting
			}
		}
	}
	for _, w := range c.attached {
		for k := range w.held {
			if k.part == p.no {
				delete(w.held, k)
			}
		}
	}
	c.open = slices.DeleteFunc(c.open, func(j *job) bool { return !j.queued })
	c.ends = slices.DeleteFunc(c.ends, func(e *ending) bool {
		if e.part != p {
			return false
		}
		for _, f := range e.from {
			f.Reply([]byte{codeUnavailable})
		}
		return true
	})
}

// peerUp is the event of a new connection to another store.
func (c *core) peerUp(id uint64, pipe Pipe) {
	c.peers[id] = pipe
	for _, p := range c.parts {
		if l := p.lead; l != nil && l.stage != promising && slices.Contains(l.all(), id) {
			c.ask(p, id)
		}
		if l := p.lead; l != nil && l.active {
			for _, q := range l.reserves {
				if q.sentTo == id {
					q.sent = false
				}
			}
			c.sendAllUsage(p, id)
		}
	}
}

// peerDown is the event of its end.
func (c *core) peerDown(id uint64, pipe Pipe) {
	if c.peers[id] != pipe {
		return
	}
	delete(c.peers, id)
	for _, p := range c.parts {
		if l := p.lead; l != nil && l.peers[id] != nil {
			delete(l.peers, id)
			if l.stage == fetching && l.best == id {
				l.stage = collecting
				c.collected(p)
			}
		}
	}
}

func (l *lead) bySession(session uint64) *peer {
	for _, q := range l.peers {
		if q.session == session {
			return q
		}
	}
	return nil
}

// activate begins to answer: all that there is has been committed under this ballot.
func (c *core) activate(p *part) {
	l := p.lead
	c.log("part %d: leads under %x with %d jobs", p.no, l.ballot, len(p.jobs))
	l.handAt = c.now + handAfterMs
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		j.committed, j.visible, j.endSeen = true, len(j.results), j.ended
		if !j.ended {
			l.use(j.route).tokens += j.tokens()
		}
		c.enqueue(j)
	}
	for _, u := range l.usage {
		u.changed = true
	}
	for _, w := range c.attached {
		c.claim(p, w)
	}
}
