// Package membership keeps, at each process of the system, a partial view of the other processes. In each round a
// process exchanges entries with one neighbour, one datagram each way, so the traffic of a process does not depend
// on the size of the system. A share of each view is reserved for keepers, which every process must be able to find.
package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// RoleKeeper is the role whose processes have a reserved share of each view.
const RoleKeeper = "keeper"

const (
	maxField    = 64  // bytes of a name, role, zone or address
	maxLives    = 512 // processes and addresses whose newest life is remembered
	maxPending  = 64  // questions without an answer
	maxContacts = 16  // seeds and lost keepers
	maxLost     = 8   // lost keepers among the contacts

	staleAge    = 60 // rounds after which a keeper's entry is dropped if it was not refreshed
	youngAge    = 30 // rounds up to which an entry counts as alive
	fewKeepers  = 3  // keepers that are retained at any age
	enoughYoung = 2  // young keepers with which a process does not ask the seeds

	joinEvery = 300 * time.Millisecond // between the first datagrams to a seed
	joinTries = 33                     // datagrams at that interval, before it doubles each time
	maxWait   = 32 * time.Second       // the longest interval between datagrams to one contact
	lostTries = 45                     // further datagrams after which a lost keeper is given up; a seed never is
)

// Defaults of Options.
const (
	defaultViewSize    = 12
	defaultShuffleSize = 6
	defaultKeepers     = 6
	defaultEvery       = 2 * time.Second
)

// Peer is one life of a process, from its start to its end. Name and Role together identify the process.
type Peer struct {
	Name, Role, Zone string
	Addr             string // ip:port of its internal port, UDP and TCP
	Incarnation      uint64 // number of the life, which grows with each start
	Age              uint16 // rounds since the process itself sent this entry
}

// same reports whether two entries are of one process, of any life.
func (p *Peer) same(other *Peer) bool { return p.Name == other.Name && p.Role == other.Role }

// check returns an error if a field is out of bounds or the address is not ip:port.
func (p *Peer) check() error {
	if p.Name == "" || len(p.Name) > maxField || len(p.Role) > maxField || len(p.Zone) > maxField || len(p.Addr) > maxField {
		return fmt.Errorf("peer %.80q: a name is needed, and no field may be longer than %d bytes", p.Name, maxField)
	}
	if _, err := netip.ParseAddrPort(p.Addr); err != nil {
		return fmt.Errorf("peer %q: address %q is not ip:port", p.Name, p.Addr)
	}
	return nil
}

// Options configures a Core. A zero field other than Self and Send takes its default.
type Options struct {
	Self          Peer
	ViewSize      int           // most entries of the view; default 12
	ShuffleSize   int           // most entries of one exchange, the sender's own included; default 6
	RoundInterval time.Duration // interval between rounds; default 2 s
	KeeperSlots   int           // entries of the view that are reserved for keepers; default 6
	Rand          *rand.Rand
	// Send sends a datagram. It is called from Tick and Receive and must not retain msg.
	Send func(addr string, msg []byte)
}

// Stats counts the datagrams of a Core since New.
type Stats struct {
	Sent, SentBytes, Received, Malformed uint64
	Unsolicited                          uint64 // answers to no pending question: unsolicited, or too late
	Unanswered                           uint64 // questions to neighbours that got no answer in time
}

// pending is a question that has no answer yet.
type pending struct {
	seq  uint32
	at   time.Duration // when it was sent
	peer Peer          // the process asked; of a contact only Addr is known
	sent []Peer        // the entries that were sent with it
}

// Core is the protocol without clock, socket and goroutine: now is the reading of a monotonic clock. It is not safe
// for concurrent use.
type Core struct {
	options  Options
	self     Peer
	peers    []Peer // neighbours of any role, whose entries are exchanged
	keepers  []Peer // the reserved share, whose entries are copied; the youngest are retained
	lives    lives
	contacts []contact
	pending  []pending
	seq      uint32        // of the last question
	round    time.Duration // when the next round is due
	started  bool
	joined   bool // a question was answered
	buf      []byte
	stats    Stats
}

// New returns a Core with an empty view. It fails if Self is out of bounds or Send is missing.
func New(options Options) (*Core, error) {
	if err := options.Self.check(); err != nil {
		return nil, err
	}
	if options.Send == nil {
		return nil, errors.New("membership: Send is missing")
	}
	options.setDefaults()
	c := &Core{options: options, self: options.Self, seq: options.Rand.Uint32()}
	c.self.Age = 0
	return c, nil
}

// setDefaults fills in the fields that are not set.
func (o *Options) setDefaults() {
	if o.ViewSize <= 0 {
		o.ViewSize = defaultViewSize
	}
	if o.ShuffleSize <= 0 {
		o.ShuffleSize = defaultShuffleSize
	}
	if o.KeeperSlots <= 0 {
		o.KeeperSlots = defaultKeepers
	}
	o.KeeperSlots = min(o.KeeperSlots, o.ViewSize-1)
	if o.RoundInterval <= 0 {
		o.RoundInterval = defaultEvery
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// View returns all entries that are known, each process once.
func (c *Core) View() []Peer {
	view := slices.Clone(c.peers)
	for i := range c.keepers {
		if find(view, &c.keepers[i]) < 0 {
			view = append(view, c.keepers[i])
		}
	}
	return view
}

// Keepers returns the entries of keepers that are known, the youngest first.
func (c *Core) Keepers() []Peer {
	keepers := slices.Clone(c.keepers)
	slices.SortStableFunc(keepers, func(a, b Peer) int { return int(a.Age) - int(b.Age) })
	return keepers
}

// Self returns this process's own entry. Its Life is raised when another process knows a later one of it.
func (c *Core) Self() Peer { return c.self }

// Stats returns the counts since New.
func (c *Core) Stats() Stats { return c.stats }

// Joined reports whether any question was ever answered.
func (c *Core) Joined() bool { return c.joined }

// Tick starts a round and tries contacts if they are due, and returns the time by which it must be called again.
func (c *Core) Tick(now time.Duration) (next time.Duration) {
	if !c.started {
		c.started = true
		c.round = now + c.jitter(c.options.RoundInterval, 2) // processes that start together must not run in step
	}
	inRound := now >= c.round
	if inRound {
		c.shuffle(now)
		c.round = now + c.options.RoundInterval - c.options.RoundInterval/10 + c.jitter(c.options.RoundInterval/5, 1)
	}
	next = c.round
	alone := c.alone()
	for i := 0; i < len(c.contacts); i++ {
		known := &c.contacts[i]
		if !c.needs(now, known, alone) {
			continue
		}
		// A wait of a round or longer ends with a round, so that it needs no wake-up of its own.
		if known.next <= now || inRound && known.wait >= c.options.RoundInterval && known.next <= now+c.options.RoundInterval/2 {
			if !known.seed && known.tries >= joinTries+lostTries {
				c.contacts = slices.Delete(c.contacts, i, i+1)
				i--
				continue
			}
			c.try(now, known, alone)
		}
		if known.wait < c.options.RoundInterval {
			next = min(next, known.next)
		}
	}
	return next
}

// young returns the number of keepers whose entries count as alive.
func (c *Core) young() (n int) {
	for i := range c.keepers {
		if c.keepers[i].Age <= youngAge {
			n++
		}
	}
	return n
}

// alone reports whether the view has no neighbour and no live keeper.
func (c *Core) alone() bool { return len(c.peers) == 0 && c.young() == 0 }

// jitter returns a random duration below most, or below least if that is longer.
func (c *Core) jitter(most, least time.Duration) time.Duration {
	return time.Duration(c.options.Rand.Int64N(int64(max(most, least, 1))))
}

// shuffle runs a round: it ages all entries and asks the neighbour with the oldest entry to exchange entries. That
// entry leaves this view, and the neighbour gets this process's own, so all processes appear in about as many views.
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
		c.addLost(now, c.keepers[i].Addr)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	}
	switch {
	case len(c.peers) > 0:
		i := c.oldest(c.peers)
		p := c.peers[i]
		c.peers = slices.Delete(c.peers, i, i+1)
		c.ask(now, p)
	case len(c.keepers) > 0:
		c.ask(now, c.keepers[c.options.Rand.IntN(len(c.keepers))])
	}
}

// expire drops the questions that have had no answer for half a round.
func (c *Core) expire(now time.Duration) {
	c.pending = slices.DeleteFunc(c.pending, func(p pending) bool {
		if now-p.at < c.options.RoundInterval/2 {
			return false
		}
		if p.peer.Name != "" {
			c.stats.Unanswered++
			c.unanswered(now, &p.peer)
		}
		return true
	})
}

// unanswered drops the entry of a process that did not answer. Of the last few keepers it only raises the age, so
// that they no longer count as alive.
func (c *Core) unanswered(now time.Duration, silent *Peer) {
	if i := find(c.peers, silent); i >= 0 && c.peers[i].Incarnation == silent.Incarnation && c.peers[i].Age > silent.Age {
		c.peers = slices.Delete(c.peers, i, i+1)
	}
	i := find(c.keepers, silent)
	if i < 0 || c.keepers[i].Incarnation != silent.Incarnation {
		return
	}
	if len(c.keepers) > fewKeepers {
		c.addLost(now, silent.Addr)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	} else {
		c.keepers[i].Age = max(c.keepers[i].Age, youngAge+1)
	}
}

// ask sends a question with entries of this view. The oldest pending question is dropped if there are too many.
func (c *Core) ask(now time.Duration, peer Peer) {
	if len(c.pending) >= maxPending {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.seq++
	sent := c.send(peer.Addr, message{kind: kindAsk, seq: c.seq, needsKeepers: c.young() < fewKeepers}, c.some(c.portion()-1, &peer), c.someKeepers(&peer, false))
	c.pending = append(c.pending, pending{seq: c.seq, at: now, peer: peer, sent: sent})
}

// portion returns the number of entries to send in a shuffle, the own one included: at most half of the neighbours,
// because exchanging all entries would swap two views in place of mixing them.
func (c *Core) portion() int { return min(c.options.ShuffleSize, len(c.peers)/2+1) }

// some returns up to n random neighbours other than one.
func (c *Core) some(n int, except *Peer) []Peer {
	var chosen []Peer
	for _, i := range c.options.Rand.Perm(len(c.peers)) {
		if len(chosen) >= n {
			break
		}
		if peer := &c.peers[i]; !peer.same(except) && peer.Addr != except.Addr {
			chosen = append(chosen, *peer)
		}
	}
	return chosen
}

// someKeepers returns random keepers other than one that are not stale: up to half of the reserved share, or up to
// the whole one with all.
func (c *Core) someKeepers(except *Peer, all bool) []Peer {
	n := c.options.KeeperSlots
	if !all {
		n = (n + 1) / 2
	}
	var chosen []Peer
	for _, i := range c.options.Rand.Perm(len(c.keepers)) {
		if len(chosen) >= n {
			break
		}
		if keeper := &c.keepers[i]; !keeper.same(except) && keeper.Addr != except.Addr && keeper.Age <= staleAge {
			chosen = append(chosen, *keeper)
		}
	}
	return chosen
}

// send sends a message with as many of the entries as fit, and returns which of peers did.
func (c *Core) send(addr string, m message, peers, keepers []Peer) (sent []Peer) {
	m.from = c.self
	c.buf, sent = m.encode(c.buf[:0], peers, keepers)
	c.stats.Sent++
	c.stats.SentBytes += uint64(len(c.buf))
	c.options.Send(addr, c.buf)
	return sent
}

// Receive handles a datagram that arrived from an address. A malformed one is counted and otherwise ignored.
func (c *Core) Receive(now time.Duration, from string, msg []byte) {
	c.stats.Received++
	received, err := decode(msg)
	if err != nil {
		c.stats.Malformed++
		return
	}
	switch received.kind {
	case kindAsk:
		if received.from.same(&c.self) {
			c.admit(&received.from)
			return
		}
		sent := c.send(from, message{kind: kindAnswer, seq: received.seq}, c.some(max(c.portion(), min(c.options.ShuffleSize, len(c.peers))/2), &received.from),
			c.someKeepers(&received.from, received.needsKeepers))
		c.heard(now, from)
		c.take(append([]Peer{received.from}, received.peers...), received.keepers, sent)
	case kindAnswer:
		i := slices.IndexFunc(c.pending, func(p pending) bool { return p.seq == received.seq })
		if i < 0 {
			c.stats.Unsolicited++
			return
		}
		sent := c.pending[i].sent
		c.pending = slices.Delete(c.pending, i, i+1)
		c.joined = true
		c.heard(now, from)
		c.take(received.peers, received.keepers, sent)
		// The entry of the answering process was removed from the view by shuffle; there may be room for it again.
		if c.admit(&received.from) {
			c.keep(received.from)
			if len(c.peers) < c.room() && find(c.peers, &received.from) < 0 {
				c.peers = append(c.peers, received.from)
			}
		}
	}
}

// room returns the most neighbours that the view may have. Places that are reserved but not taken by keepers count.
func (c *Core) room() int { return c.options.ViewSize - len(c.keepers) }

// take adds received entries to the view: in free places first, then in place of the entries that were sent.
func (c *Core) take(peers, keepers, sent []Peer) {
	for _, peer := range keepers {
		if c.admit(&peer) {
			c.keep(peer)
		}
	}
	for _, peer := range peers {
		if !c.admit(&peer) {
			continue
		}
		c.keep(peer)
		if i := find(c.peers, &peer); i >= 0 {
			c.peers[i].Age = min(c.peers[i].Age, peer.Age)
			continue
		}
		for len(c.peers) >= c.room() && len(sent) > 0 {
			if i := find(c.peers, &sent[0]); i >= 0 {
				c.peers = slices.Delete(c.peers, i, i+1)
			}
			sent = sent[1:]
		}
		if len(c.peers) < c.room() {
			c.peers = append(c.peers, peer)
		}
	}
	for len(c.peers) > c.room() {
		i := c.oldest(c.peers)
		c.peers = slices.Delete(c.peers, i, i+1)
	}
}

// keep adds an admitted keeper to the reserved share, which retains the youngest entries. It ignores other roles.
func (c *Core) keep(keeper Peer) {
	if keeper.Role != RoleKeeper {
		return
	}
	if i := find(c.keepers, &keeper); i >= 0 {
		c.keepers[i].Age = min(c.keepers[i].Age, keeper.Age)
		return
	}
	if keeper.Age > staleAge && len(c.keepers) >= fewKeepers {
		return
	}
	c.keepers = append(c.keepers, keeper)
	if len(c.keepers) > c.options.KeeperSlots {
		i := c.oldest(c.keepers)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	}
}

// admit reports whether an entry may enter the view. The process's own entry may not, nor one that is older than a
// known life of the same process or of another at the same address. A newer life removes the older ones from the view.
func (c *Core) admit(peer *Peer) bool {
	if peer.Addr == c.self.Addr || peer.same(&c.self) {
		if peer.same(&c.self) && peer.Addr == c.self.Addr && peer.Incarnation > c.self.Incarnation && peer.Incarnation < 1<<64-1 {
			c.self.Incarnation = peer.Incarnation + 1 // the clock went back between two starts
		}
		return false
	}
	if !c.lives.admit(peer) {
		return false
	}
	older := func(known Peer) bool {
		return (known.same(peer) || known.Addr == peer.Addr) && known.Incarnation < peer.Incarnation
	}
	c.peers = slices.DeleteFunc(c.peers, older)
	c.keepers = slices.DeleteFunc(c.keepers, older)
	// Of one life at two addresses, or two processes of one life at one address, the entry in the view stays.
	clash := func(known Peer) bool { return known.same(peer) != (known.Addr == peer.Addr) }
	return !slices.ContainsFunc(c.peers, clash) && !slices.ContainsFunc(c.keepers, clash)
}

// oldest returns the index of the entry with the highest age, a random one of several.
func (c *Core) oldest(entries []Peer) int {
	best, equal := 0, 0
	for i := range entries {
		switch {
		case entries[i].Age > entries[best].Age || equal == 0:
			best, equal = i, 1
		case entries[i].Age == entries[best].Age: // one of the oldest, at random
			equal++
			if c.options.Rand.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

// find returns the index of the entry of a process, or -1.
func find(entries []Peer, peer *Peer) int {
	return slices.IndexFunc(entries, func(entry Peer) bool { return entry.same(peer) })
}

// lives remembers the newest life of the processes and addresses that were admitted last, so that a delayed entry does
// not bring back an older life after the newer one has left the view. It has at most maxLives keys.
type lives struct {
	newest map[string]uint64
	ring   []string // the keys of newest, in the order in which they were added
	at     int      // index in ring of the key to replace next, once the ring is full
}

// admit records the life of an entry, unless a newer one of its process or address is known.
func (l *lives) admit(p *Peer) bool {
	process := p.Role + "/" + p.Name
	if l.newest[process] > p.Incarnation || l.newest[p.Addr] > p.Incarnation {
		return false
	}
	l.set(process, p.Incarnation)
	l.set(p.Addr, p.Incarnation)
	return true
}

// set records the newest life of a process or address, in place of the oldest key if there are too many.
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
