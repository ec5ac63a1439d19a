// Package membership keeps a partial view of the system's processes at each of them. Views are
// shuffled between neighbours, one datagram out and one back a round, so what a process sends does
// not depend on how many there are. A part of the view is kept for keepers, which everyone must find.
package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// RoleKeeper is the role that the reserved share of a view is for.
const RoleKeeper = "keeper"

const (
	maxField    = 64  // bytes of a name, role, zone or address
	maxLives    = 512 // processes and addresses whose newest life is remembered
	maxPending  = 64
	maxContacts = 16 // seeds and keepers that were lost
	maxLost     = 8  // of these, keepers that were lost

	staleAge    = 60 // rounds; a keeper that nobody has heard of for so long is forgotten
	youngAge    = 30 // rounds; younger entries count as alive
	fewKeepers  = 3  // so many are never forgotten, however old
	enoughYoung = 2  // young keepers that spare a process the seeds

	joinEvery = 300 * time.Millisecond
	joinTries = 33 // at that pace, before waits double
	maxWait   = 32 * time.Second
	lostTries = 45 // then a lost keeper is given up; a seed never is
)

// Peer is one life of a process. Name and Role together identify the process.
type Peer struct {
	Name, Role, Zone string
	Addr             string // ip:port of its internal port, UDP and TCP
	Life             uint64 // grows with each start
	Age              uint16 // rounds since it said so itself
}

func (p *Peer) same(q *Peer) bool { return p.Name == q.Name && p.Role == q.Role }

func (p *Peer) check() error {
	if p.Name == "" || len(p.Name) > maxField || len(p.Role) > maxField || len(p.Zone) > maxField || len(p.Addr) > maxField {
		return fmt.Errorf("peer %.80q: a name is needed, and no field may be longer than %d bytes", p.Name, maxField)
	}
	if _, err := netip.ParseAddrPort(p.Addr); err != nil {
		return fmt.Errorf("peer %q: address %q is not ip:port", p.Name, p.Addr)
	}
	return nil
}

// Options of a Core. Zero values stand for the defaults.
type Options struct {
	Self        Peer
	ViewSize    int           // 12
	ShuffleSize int           // 6; entries of a shuffle, the sender's own among them
	Every       time.Duration // 2 s
	Keepers     int           // 6; the share of the view that is kept for keepers
	Rand        *rand.Rand
	// Send must not keep msg. It is called from Tick and Receive.
	Send func(addr string, msg []byte)
}

// Stats counts what a Core has done since it was made.
type Stats struct {
	Sent, SentBytes, Received, Malformed uint64
	Unasked                              uint64 // answers to nothing that was asked, or that came late
	Unanswered                           uint64 // neighbours dropped for it
}

// contact is an address that is tried when the view doesn't show that it lives: a seed or a keeper
// that was lost.
type contact struct {
	addr  string
	seed  bool
	tries int
	wait  time.Duration
	next  time.Duration
	heard time.Duration
	known bool // heard is set
}

type pending struct {
	seq  uint32
	at   time.Duration
	peer Peer // the neighbour asked; a contact has only Addr
	sent []Peer
}

// Core is the pure part: it has no clock, no socket and no goroutine. now is a steady clock's.
type Core struct {
	o        Options
	self     Peer
	peers    []Peer // the neighbours, any role: shuffled
	keepers  []Peer // the reserved share: copied, youngest kept
	lives    lives
	contacts []contact
	pending  []pending
	seq      uint32
	round    time.Duration
	started  bool
	joined   bool // somebody has answered
	buf      []byte
	stats    Stats
}

// New makes a Core that knows nobody.
func New(o Options) (*Core, error) {
	if err := o.Self.check(); err != nil {
		return nil, err
	}
	if o.Send == nil {
		return nil, errors.New("membership: Send is missing")
	}
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&o.ViewSize, 12)
	def(&o.ShuffleSize, 6)
	def(&o.Keepers, 6)
	o.Keepers = min(o.Keepers, o.ViewSize-1)
	if o.Every <= 0 {
		o.Every = 2 * time.Second
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c := &Core{o: o, self: o.Self, seq: o.Rand.Uint32()}
	c.self.Age = 0
	return c, nil
}

// Seed adds addresses of keepers that may be alive. They are tried at the next Tick, and again, with
// growing waits, whenever the view does not show enough keepers.
func (c *Core) Seed(now time.Duration, addrs []string) {
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a); err == nil && a != c.self.Addr {
			c.contact(now, a, true)
		}
	}
}

// SetSeeds replaces the seeds. One that is no longer named counts as a keeper that was lost: it is given up in the end.
func (c *Core) SetSeeds(now time.Duration, addrs []string) {
	for i := range c.contacts {
		k := &c.contacts[i]
		if k.seed && !slices.Contains(addrs, k.addr) {
			k.seed, k.tries = false, max(k.tries, joinTries)
		}
	}
	c.Seed(now, addrs)
}

// makeRoom drops the contact that was lost first where there are too many.
func (c *Core) makeRoom() {
	if len(c.contacts) < maxContacts {
		return
	}
	if i := slices.IndexFunc(c.contacts, func(k contact) bool { return !k.seed }); i >= 0 {
		c.contacts = slices.Delete(c.contacts, i, i+1)
	}
}

func (c *Core) contact(now time.Duration, addr string, seed bool) {
	i := slices.IndexFunc(c.contacts, func(k contact) bool { return k.addr == addr })
	if i >= 0 {
		c.contacts[i].seed = c.contacts[i].seed || seed
		return
	}
	if !seed {
		lost := 0
		for _, k := range c.contacts {
			if !k.seed {
				lost++
			}
		}
		if lost >= maxLost {
			i := slices.IndexFunc(c.contacts, func(k contact) bool { return !k.seed })
			c.contacts = slices.Delete(c.contacts, i, i+1)
		}
	}
	if seed {
		c.makeRoom()
	}
	if len(c.contacts) >= maxContacts {
		return
	}
	k := contact{addr: addr, seed: seed, next: now, wait: joinEvery}
	if !seed {
		k.tries, k.wait, k.next = joinTries, c.o.Every, now+c.o.Every
	}
	c.contacts = append(c.contacts, k)
}

// View returns all that are known, each once.
func (c *Core) View() []Peer {
	v := slices.Clone(c.peers)
	for i := range c.keepers {
		if find(v, &c.keepers[i]) < 0 {
			v = append(v, c.keepers[i])
		}
	}
	return v
}

// Keepers returns the keepers that are known, the youngest entries first.
func (c *Core) Keepers() []Peer {
	v := slices.Clone(c.keepers)
	slices.SortStableFunc(v, func(a, b Peer) int { return int(a.Age) - int(b.Age) })
	return v
}

// Self returns this process's own entry. Its Life grows when others know a later one of it.
func (c *Core) Self() Peer { return c.self }

// Stats returns the counts so far.
func (c *Core) Stats() Stats { return c.stats }

// Joined says whether anybody has ever answered.
func (c *Core) Joined() bool { return c.joined }

// Tick does what is due and returns when it wants to be called next.
func (c *Core) Tick(now time.Duration) (next time.Duration) {
	if !c.started {
		c.started = true
		c.round = now + c.jitter(c.o.Every, 2) // processes that start together don't stay in step
	}
	inRound := now >= c.round
	if inRound {
		c.shuffle(now)
		c.round = now + c.o.Every - c.o.Every/10 + c.jitter(c.o.Every/5, 1)
	}
	next = c.round
	alone := c.alone()
	for i := 0; i < len(c.contacts); i++ {
		k := &c.contacts[i]
		if !c.needs(now, k, alone) {
			continue
		}
		// Long waits end with a round: no wake-up of their own.
		if k.next <= now || inRound && k.wait >= c.o.Every && k.next <= now+c.o.Every/2 {
			if !k.seed && k.tries >= joinTries+lostTries {
				c.contacts = slices.Delete(c.contacts, i, i+1)
				i--
				continue
			}
			c.try(now, k, alone)
		}
		if k.wait < c.o.Every {
			next = min(next, k.next)
		}
	}
	return next
}

func (c *Core) try(now time.Duration, k *contact, alone bool) {
	k.tries++
	if k.tries > joinTries {
		most := maxWait
		if alone {
			most = max(c.o.Every, joinEvery)
		}
		k.wait = min(2*k.wait, most)
	}
	k.next = now + k.wait*2/3 + c.jitter(k.wait*2/3, 1)
	c.ask(now, Peer{Addr: k.addr})
}

func (c *Core) needs(now time.Duration, k *contact, alone bool) bool {
	if !c.joined || alone {
		return true
	}
	for _, list := range [][]Peer{c.peers, c.keepers} {
		for i := range list {
			if list[i].Addr == k.addr && list[i].Age <= youngAge {
				return false
			}
		}
	}
	if c.self.Role == RoleKeeper { // keepers look for keepers, so that parts that were cut off meet again
		return !k.known || now-k.heard >= maxWait
	}
	return c.young() < enoughYoung
}

func (c *Core) young() (n int) {
	for i := range c.keepers {
		if c.keepers[i].Age <= youngAge {
			n++
		}
	}
	return n
}

func (c *Core) alone() bool { return len(c.peers) == 0 && c.young() == 0 }

func (c *Core) jitter(d time.Duration, least time.Duration) time.Duration {
	return time.Duration(c.o.Rand.Int64N(int64(max(d, least, 1))))
}

// shuffle is a round: the neighbour heard of longest ago is asked to exchange entries. Its own entry
// goes with the question, and it gets this process's in return; so in-degrees stay alike.
func (c *Core) shuffle(now time.Duration) {
	c.expire(now)
	for _, list := range [][]Peer{c.peers, c.keepers} {
		for i := range list {
			if list[i].Age < 1<<16-1 {
				list[i].Age++
			}
		}
	}
	for len(c.keepers) > fewKeepers {
		i := c.oldest(c.keepers)
		if c.keepers[i].Age <= staleAge {
			break
		}
		c.contact(now, c.keepers[i].Addr, false)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	}
	switch {
	case len(c.peers) > 0:
		i := c.oldest(c.peers)
		p := c.peers[i]
		c.peers = slices.Delete(c.peers, i, i+1)
		c.ask(now, p)
	case len(c.keepers) > 0:
		c.ask(now, c.keepers[c.o.Rand.IntN(len(c.keepers))])
	}
}

// expire drops who has not answered since the round before.
func (c *Core) expire(now time.Duration) {
	c.pending = slices.DeleteFunc(c.pending, func(p pending) bool {
		if now-p.at < c.o.Every/2 {
			return false
		}
		if p.peer.Name != "" {
			c.stats.Unanswered++
			c.unanswered(now, &p.peer)
		}
		return true
	})
}

func (c *Core) unanswered(now time.Duration, p *Peer) {
	if i := find(c.peers, p); i >= 0 && c.peers[i].Life == p.Life && c.peers[i].Age > p.Age {
		c.peers = slices.Delete(c.peers, i, i+1)
	}
	i := find(c.keepers, p)
	if i < 0 || c.keepers[i].Life != p.Life {
		return
	}
	if len(c.keepers) > fewKeepers {
		c.contact(now, p.Addr, false)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	} else {
		c.keepers[i].Age = max(c.keepers[i].Age, youngAge+1)
	}
}

func (c *Core) ask(now time.Duration, p Peer) {
	if len(c.pending) >= maxPending {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.seq++
	sent := c.send(p.Addr, message{kind: kindAsk, seq: c.seq, hungry: c.young() < fewKeepers}, c.some(c.portion()-1, &p), c.someKeepers(&p, false))
	c.pending = append(c.pending, pending{seq: c.seq, at: now, peer: p, sent: sent})
}

// portion is the entries of a shuffle, the own one too. To send all would move views, not mix them.
func (c *Core) portion() int { return min(c.o.ShuffleSize, len(c.peers)/2+1) }

func (c *Core) some(n int, but *Peer) []Peer {
	var v []Peer
	for _, i := range c.o.Rand.Perm(len(c.peers)) {
		if len(v) >= n {
			break
		}
		if p := &c.peers[i]; !p.same(but) && p.Addr != but.Addr {
			v = append(v, *p)
		}
	}
	return v
}

func (c *Core) someKeepers(but *Peer, all bool) []Peer {
	n := c.o.Keepers
	if !all {
		n = (n + 1) / 2
	}
	var v []Peer
	for _, i := range c.o.Rand.Perm(len(c.keepers)) {
		if len(v) >= n {
			break
		}
		if p := &c.keepers[i]; !p.same(but) && p.Addr != but.Addr && p.Age <= staleAge {
			v = append(v, *p)
		}
	}
	return v
}

func (c *Core) send(addr string, m message, peers, keepers []Peer) (sent []Peer) {
	m.from = c.self
	c.buf, sent = m.encode(c.buf[:0], peers, keepers)
	c.stats.Sent++
	c.stats.SentBytes += uint64(len(c.buf))
	c.o.Send(addr, c.buf)
	return sent
}

// Receive takes a datagram in.
func (c *Core) Receive(now time.Duration, from string, msg []byte) {
	c.stats.Received++
	m, err := decode(msg)
	if err != nil {
		c.stats.Malformed++
		return
	}
	switch m.kind {
	case kindAsk:
		if m.from.same(&c.self) {
			c.admit(&m.from)
			return
		}
		sent := c.send(from, message{kind: kindAnswer, seq: m.seq}, c.some(max(c.portion(), min(c.o.ShuffleSize, len(c.peers))/2), &m.from),
			c.someKeepers(&m.from, m.hungry))
		c.heard(now, from)
		c.take(append([]Peer{m.from}, m.peers...), m.keepers, sent)
	case kindAnswer:
		i := slices.IndexFunc(c.pending, func(p pending) bool { return p.seq == m.seq })
		if i < 0 {
			c.stats.Unasked++
			return
		}
		sent := c.pending[i].sent
		c.pending = slices.Delete(c.pending, i, i+1)
		c.joined = true
		c.heard(now, from)
		c.take(m.peers, m.keepers, sent)
		// Who answers gave its place in the view up for what it sent; there may be room for both.
		if c.admit(&m.from) {
			c.keep(m.from)
			if len(c.peers) < c.room() && find(c.peers, &m.from) < 0 {
				c.peers = append(c.peers, m.from)
			}
		}
	}
}

func (c *Core) heard(now time.Duration, addr string) {
	for i := range c.contacts {
		if k := &c.contacts[i]; k.addr == addr {
			k.heard, k.known = now, true
			k.tries, k.wait, k.next = joinTries, c.o.Every/2, now+c.o.Every
		}
	}
}

// room is how many neighbours there may be: what keepers leave of their share is used.
func (c *Core) room() int { return c.o.ViewSize - len(c.keepers) }

// take puts received entries in free places first, then in those of the entries that were sent away.
func (c *Core) take(peers, keepers, sent []Peer) {
	for _, p := range keepers {
		if c.admit(&p) {
			c.keep(p)
		}
	}
	for _, p := range peers {
		if !c.admit(&p) {
			continue
		}
		c.keep(p)
		if i := find(c.peers, &p); i >= 0 {
			c.peers[i].Age = min(c.peers[i].Age, p.Age)
			continue
		}
		for len(c.peers) >= c.room() && len(sent) > 0 {
			if i := find(c.peers, &sent[0]); i >= 0 {
				c.peers = slices.Delete(c.peers, i, i+1)
			}
			sent = sent[1:]
		}
		if len(c.peers) < c.room() {
			c.peers = append(c.peers, p)
		}
	}
	for len(c.peers) > c.room() {
		i := c.oldest(c.peers)
		c.peers = slices.Delete(c.peers, i, i+1)
	}
}

// keep puts an admitted keeper in the reserved share, where the youngest entries stay.
func (c *Core) keep(p Peer) {
	if p.Role != RoleKeeper {
		return
	}
	if i := find(c.keepers, &p); i >= 0 {
		c.keepers[i].Age = min(c.keepers[i].Age, p.Age)
		return
	}
	if p.Age > staleAge && len(c.keepers) >= fewKeepers {
		return
	}
	c.keepers = append(c.keepers, p)
	if len(c.keepers) > c.o.Keepers {
		i := c.oldest(c.keepers)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	}
}

// admit says whether an entry may enter the view: not the own one, and none of an older life of the
// process or at its address. A newer life drives the older ones out.
func (c *Core) admit(p *Peer) bool {
	if p.Addr == c.self.Addr || p.same(&c.self) {
		if p.same(&c.self) && p.Addr == c.self.Addr && p.Life > c.self.Life && p.Life < 1<<64-1 {
			c.self.Life = p.Life + 1 // the clock went back between two starts
		}
		return false
	}
	if !c.lives.admit(p) {
		return false
	}
	older := func(q Peer) bool { return (q.same(p) || q.Addr == p.Addr) && q.Life < p.Life }
	c.peers = slices.DeleteFunc(c.peers, older)
	c.keepers = slices.DeleteFunc(c.keepers, older)
	// The same life at another address, or two of one life at one address: the entry that is here stays.
	clash := func(q Peer) bool { return q.same(p) != (q.Addr == p.Addr) }
	return !slices.ContainsFunc(c.peers, clash) && !slices.ContainsFunc(c.keepers, clash)
}

func (c *Core) oldest(v []Peer) int {
	best, n := 0, 0
	for i := range v {
		switch {
		case v[i].Age > v[best].Age || n == 0:
			best, n = i, 1
		case v[i].Age == v[best].Age: // one of the oldest, at random
			n++
			if c.o.Rand.IntN(n) == 0 {
				best = i
			}
		}
	}
	return best
}

func find(v []Peer, p *Peer) int {
	return slices.IndexFunc(v, func(q Peer) bool { return q.same(p) })
}

// lives remembers the newest life of the processes and of the addresses met last, also of those
// that are not in the view, so that a late entry does not bring an older one back.
type lives struct {
	newest map[string]uint64
	ring   []string
	at     int
}

func (l *lives) admit(p *Peer) bool {
	process := p.Role + "/" + p.Name
	if l.newest[process] > p.Life || l.newest[p.Addr] > p.Life {
		return false
	}
	l.set(process, p.Life)
	l.set(p.Addr, p.Life)
	return true
}

func (l *lives) set(key string, life uint64) {
	if l.newest == nil {
		l.newest = map[string]uint64{}
	}
	if _, ok := l.newest[key]; !ok {
		if len(l.ring) < maxLives {
			l.ring = append(l.ring, key)
		} else {
			delete(l.newest, l.ring[l.at])
			l.ring[l.at] = key
			l.at = (l.at + 1) % maxLives
		}
	}
	l.newest[key] = life
}
