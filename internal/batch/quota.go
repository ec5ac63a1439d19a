package batch

import (
	"slices"

	"dunetide/internal/platform/link"
)

// usage is what the primary of a part knows of the tokens that wait on a route in its part.
type usage struct {
	tokens  int64
	changed bool
	sentAt  int64
}

// reserve is a request for tokens that has no answer yet.
type reserve struct {
	route    string
	number   uint64
	in       *incoming
	deadline int64
	sent     bool
	sentTo   uint64
	again    int64
}

// incoming is a job that waits for its tokens.
type incoming struct {
	enc    []byte
	id     string
	route  string
	tokens int64
	most   int64
	from   []Caller
}

func (in *incoming) answer(code uint8) {
	for _, f := range in.from {
		f.Reply([]byte{code})
	}
	in.from = nil
}

// account is what the owner of a route's quota knows: for each part an upper bound of what waits there.
type account struct {
	route  string
	life   uint64 // of this owner
	shares map[int]*share
	held   []heldReserve
	asked  int64
	busy   bool
}

// share is the word of a part's primary, and what it was granted since.
type share struct {
	life, epoch, version uint64
	tokens               int64
	settled              uint64
	grants               []grantedTokens
}

type grantedTokens struct {
	number uint64
	tokens int64
}

type heldReserve struct {
	pipe     Pipe
	part     int
	life     uint64
	number   uint64
	tokens   int64
	most     int64
	deadline int64
}

func quotaKey(route string) string { return "quota:" + route }

// quotaOwner is the part and the store that own a route's quota.
func (c *core) quotaOwner(route string) (part int, store uint64) {
	part = c.table.PartitionOf(quotaKey(route))
	if part < 0 {
		return -1, 0
	}
	return part, c.table.Partitions[part].Primary
}

func (l *lead) use(route string) *usage {
	u := l.usage[route]
	if u == nil {
		u = &usage{sentAt: -1 << 60}
		l.usage[route] = u
	}
	return u
}

// settled is the number up to which this primary's reservations are decided.
func (l *lead) settled() uint64 {
	n := l.reserveN
	for k := range l.reserves {
		n = min(n, k-1)
	}
	return n
}

func (c *core) usageChange(p *part, route string, tokens int64) {
	if l := p.lead; l != nil && tokens != 0 {
		u := l.use(route)
		u.tokens += tokens
		u.changed = true
	}
}

// sendUsage tells the owner of a route's quota what waits here.
func (c *core) sendUsage(p *part, route string, pipe Pipe) {
	l := p.lead
	u := l.use(route)
	l.usageV++
	var w link.Writer
	w.String(route)
	w.U32(uint32(p.no))
	w.U64(l.life)
	w.U64(p.epoch)
	w.U64(l.usageV)
	w.Int(int(u.tokens))
	w.U64(l.settled())
	u.changed, u.sentAt = false, c.now
	c.quotaSend(pipe, kUsage, w.B)
}

func (c *core) sendAllUsage(p *part, to uint64) {
	for _, route := range sortedKeys(p.lead.usage) {
		if _, store := c.quotaOwner(route); store == to {
			c.sendUsage(p, route, c.peers[to])
		}
	}
}

// quotaSend sends to another store, or to this one where pipe is nil.
func (c *core) quotaSend(pipe Pipe, kind link.Kind, body []byte) {
	if pipe == nil {
		r := link.Reader{B: body}
		c.quotaMessage(nil, kind, &r)
		return
	}
	_ = pipe.Send(kind, body)
}

// flushUsage tells the owners what has changed, not too often.
func (c *core) flushUsage() {
	for _, p := range c.parts {
		if p.lead == nil || !p.lead.active {
			continue
		}
		for _, route := range sortedKeys(p.lead.usage) {
			u := p.lead.usage[route]
			if !u.changed || c.now-u.sentAt < usageEveryMs {
				continue
			}
			_, store := c.quotaOwner(route)
			if pipe := c.peers[store]; pipe != nil || store == c.self {
				c.sendUsage(p, route, pipe)
			}
		}
	}
}

// askTokens asks the owner for a job's tokens.
func (c *core) askTokens(p *part, in *incoming) {
	l := p.lead
	l.reserveN++
	r := &reserve{route: in.route, number: l.reserveN, in: in, deadline: c.now + reserveWaitMs}
	l.reserves[r.number] = r
	c.sendReserve(p, r)
}

func (c *core) sendReserve(p *part, r *reserve) {
	_, store := c.quotaOwner(r.route)
	pipe := c.peers[store]
	if pipe == nil && store != c.self {
		return // tried again by tick
	}
	r.sent, r.sentTo = true, store
	var w link.Writer
	w.String(r.route)
	w.U32(uint32(p.no))
	w.U64(p.lead.life)
	w.U64(r.number)
	w.Int(int(r.in.tokens))
	w.Int(int(r.in.most))
	c.quotaSend(pipe, kReserve, w.B)
}

// account is this store's, if it owns the quota of the route and has begun to lead its part.
func (c *core) account(route string) *account {
	no, store := c.quotaOwner(route)
	if no < 0 || store != c.self {
		return nil
	}
	l := c.part(no).lead
	if l == nil || !l.active {
		return nil
	}
	a := l.accts[route]
	if a == nil {
		a = &account{route: route, life: l.life, shares: map[int]*share{}, asked: -1 << 60}
		l.accts[route] = a
	}
	return a
}

func (c *core) quotaMessage(pipe Pipe, kind link.Kind, r *link.Reader) {
	route, no, life := r.String(), int(r.U32()), r.U64()
	if r.Err != nil || c.table == nil || no < 0 || no >= len(c.table.Partitions) {
		return
	}
	switch kind {
	case kReserve:
		h := heldReserve{pipe, no, life, r.U64(), int64(r.Int()), int64(r.Int()), c.now + reserveWaitMs}
		if r.Err != nil {
			return
		}
		a := c.account(route)
		if a == nil {
			c.grant(route, 0, h, codeUnavailable)
			return
		}
		a.held = append(a.held, h)
		c.serveHeld(a)
	case kUsage:
		n := share{life: life, epoch: r.U64(), version: r.U64(), tokens: int64(r.Int()), settled: r.U64()}
		a := c.account(route)
		if a == nil || r.Err != nil {
			return
		}
		s := a.shares[no]
		if s == nil {
			s = &share{}
			a.shares[no] = s
		}
		if n.life < s.life || n.life == s.life && n.version <= s.version {
			return
		}
		for _, g := range s.grants {
			if s.life == n.life && g.number > n.settled {
				n.grants = append(n.grants, g)
			}
		}
		*s = n
		c.serveHeld(a)
	case kGrant:
		number, code, owner := r.U64(), r.U8(), r.U64()
		if p := c.part(no); r.Err == nil && p.lead != nil && p.lead.life == life {
			c.granted(p, number, code, owner)
		}
	case kUsageAsk:
		p := c.part(no)
		if p.lead == nil || !p.lead.active || life < p.ownerB[route] {
			return
		}
		p.ownerB[route] = life // grants of owners before it do not count from now on
		c.sendUsage(p, route, pipe)
	}
}

// missing are the parts whose usage an account does not know.
func (a *account) missing(parts int) (all []int) {
	for no := range parts {
		if a.shares[no] == nil {
			all = append(all, no)
		}
	}
	return all
}

// askUsage asks the primaries of parts for their usage.
func (c *core) askUsage(a *account, parts []int) {
	a.asked = c.now
	for _, no := range parts {
		store := c.table.Partitions[no].Primary
		pipe := c.peers[store]
		if pipe == nil && store != c.self {
			continue
		}
		var w link.Writer
		w.String(a.route)
		w.U32(uint32(no))
		w.U64(a.life)
		c.quotaSend(pipe, kUsageAsk, w.B)
	}
}

// serveHeld answers those who asked for tokens, once all parts have told theirs.
func (c *core) serveHeld(a *account) {
	if len(a.held) == 0 || a.busy {
		return
	}
	if missing := a.missing(len(c.table.Partitions)); len(missing) > 0 {
		if c.now-a.asked >= 100 {
			a.busy = true
			c.askUsage(a, missing)
			a.busy = false
			missing = a.missing(len(c.table.Partitions))
		}
		if len(missing) > 0 {
			return
		}
	}
	held := a.held
	a.held = nil
	for _, h := range held {
		c.grantOne(a, h)
	}
}

func (c *core) grantOne(a *account, h heldReserve) {
	s := a.shares[h.part]
	if s == nil {
		s = &share{}
		a.shares[h.part] = s
	}
	if h.life < s.life || h.life == s.life && h.number <= s.settled {
		return // of one who has been replaced, or decided
	}
	if h.life > s.life {
		// A new life of the primary, whose usage is not known: it tells it when it begins, so it comes.
		c.grant(a.route, a.life, h, codeUnavailable)
		return
	}
	var sum int64
	for _, t := range a.shares {
		sum += t.tokens
		for _, g := range t.grants {
			sum += g.tokens
		}
	}
	for _, g := range s.grants {
		if g.number == h.number {
			c.grant(a.route, a.life, h, codeOK)
			return
		}
	}
	if sum+h.tokens > h.most {
		c.grant(a.route, a.life, h, codeFull)
		return
	}
	s.grants = append(s.grants, grantedTokens{h.number, h.tokens})
	c.grant(a.route, a.life, h, codeOK)
}

func (c *core) grant(route string, owner uint64, h heldReserve, code uint8) {
	var w link.Writer
	w.String(route)
	w.U32(uint32(h.part))
	w.U64(h.life)
	w.U64(h.number)
	w.U8(code)
	w.U64(owner)
	c.quotaSend(h.pipe, kGrant, w.B)
}

func (a *account) refuseHeld(c *core) {
	held := a.held
	a.held = nil
	for _, h := range held {
		c.grant(a.route, a.life, h, codeUnavailable)
	}
}

// granted is the owner's answer to a reservation.
func (c *core) granted(p *part, number uint64, code uint8, owner uint64) {
	l := p.lead
	q := l.reserves[number]
	if q == nil {
		return
	}
	if code == codeUnavailable || owner < p.ownerB[q.route] {
		q.sent, q.again = false, c.now+100
		return
	}
	p.ownerB[q.route] = owner
	delete(l.reserves, number)
	in := q.in
	delete(l.incoming, in.id)
	l.use(q.route).changed = true
	if code != codeOK {
		in.answer(code)
		return
	}
	c.take(p, in)
}

// quotaTick sends again what was not answered, and gives up what waited too long.
func (c *core) quotaTick() {
	for _, p := range c.parts {
		l := p.lead
		if l == nil {
			continue
		}
		for _, n := range sortedNumbers(l.reserves) {
			q := l.reserves[n]
			if q == nil {
				continue
			}
			if c.now >= q.deadline {
				delete(l.reserves, n)
				delete(l.incoming, q.in.id)
				l.use(q.route).changed = true
				q.in.answer(codeUnavailable)
			} else if !q.sent && c.now >= q.again {
				c.sendReserve(p, q)
			}
		}
		for _, route := range sortedKeys(l.accts) {
			a := l.accts[route]
			a.held = slices.DeleteFunc(a.held, func(h heldReserve) bool { return c.now >= h.deadline })
			c.serveHeld(a)
			if c.now-a.asked < 1000 {
				continue
			}
			var old []int
			for no := range c.table.Partitions {
				if s := a.shares[no]; s != nil && s.tokens+int64(len(s.grants)) > 0 && s.epoch < c.table.Partitions[no].Epoch {
					old = append(old, no)
				}
			}
			if len(old) > 0 {
				c.askUsage(a, old)
			}
		}
	}
	c.flushUsage()
}

func sortedNumbers[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
