package membership

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	maxContacts = 16 // seeds and lost keepers
	maxLost     = 8  // lost keepers among the contacts

	fastInterval = 300 * time.Millisecond // between the first requests to a seed
	fastAttempts = 33                     // requests at that interval, before it doubles with each request
	maxInterval  = 32 * time.Second       // the maximum interval between requests to one contact
	lostAttempts = 45                     // further requests after which a lost keeper is abandoned; a seed never is
)

// contact is an address that gets requests while the view has no live entry for it: a seed, or a keeper that was
// removed from the view because it did not respond.
type contact struct {
	addr       string
	seed       bool
	attempts   int           // requests sent since it was added, or since the last datagram from it
	interval   time.Duration // before the next attempt; doubles after fastAttempts
	dueAt      time.Duration // when the next attempt is due
	receivedAt time.Duration // time of the last datagram from it, if received
	received   bool
}

// abandoned reports whether no further requests are to be sent to a contact.
func (k *contact) abandoned() bool { return !k.seed && k.attempts >= fastAttempts+lostAttempts }

// AddSeeds adds addresses of possible keepers. They get requests at the next Tick, and again at growing intervals while
// the view has too few live keepers. Addresses that are not ip:port, and the process's own, are ignored.
func (c *Core) AddSeeds(now time.Duration, addrs []string) {
	for _, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err == nil && addr != c.self.Addr {
			c.addSeed(now, addr)
		}
	}
}

// SetSeeds replaces the seeds. A former seed is treated as a lost keeper, which is abandoned after lostAttempts
// requests.
func (c *Core) SetSeeds(now time.Duration, addrs []string) {
	for i := range c.contacts {
		known := &c.contacts[i]
		if known.seed && !slices.Contains(addrs, known.addr) {
			known.seed, known.attempts = false, max(known.attempts, fastAttempts)
		}
	}
	c.AddSeeds(now, addrs)
}

// addSeed adds a seed. With maxContacts contacts, it replaces the first lost keeper; if all contacts are seeds, the new
// seed is ignored.
func (c *Core) addSeed(now time.Duration, addr string) {
	if i := c.contactIndex(addr); i >= 0 {
		c.contacts[i].seed = true
		return
	}
	if len(c.contacts) >= maxContacts {
		c.dropFirstLost()
	}
	if len(c.contacts) < maxContacts {
		c.contacts = append(c.contacts, contact{addr: addr, seed: true, dueAt: now, interval: fastInterval})
	}
}

// addLostKeeper adds a keeper that was removed from the view. With maxLost lost keepers, it replaces the first one.
func (c *Core) addLostKeeper(now time.Duration, addr string) {
	if c.contactIndex(addr) >= 0 {
		return
	}
	lost := 0
	for i := range c.contacts {
		if !c.contacts[i].seed {
			lost++
		}
	}
	if lost >= maxLost {
		c.dropFirstLost()
	}
	if len(c.contacts) < maxContacts {
		interval := c.options.RoundInterval
		lostKeeper := contact{addr: addr, attempts: fastAttempts, interval: interval, dueAt: now + interval}
		c.contacts = append(c.contacts, lostKeeper)
	}
}

// contactIndex returns the index of the contact with an address, or -1.
func (c *Core) contactIndex(addr string) int {
	return slices.IndexFunc(c.contacts, func(known contact) bool { return known.addr == addr })
}

// dropFirstLost drops the lost keeper that was added first, if there is one.
func (c *Core) dropFirstLost() {
	if i := slices.IndexFunc(c.contacts, func(known contact) bool { return !known.seed }); i >= 0 {
		c.contacts = slices.Delete(c.contacts, i, i+1)
	}
}

// requestContacts sends requests to the contacts that are due, drops abandoned contacts, and returns when the next
// request is due.
func (c *Core) requestContacts(now time.Duration, startsRound bool) (next time.Duration) {
	next = math.MaxInt64
	isolated := c.isolated()
	for i := 0; i < len(c.contacts); i++ {
		known := &c.contacts[i]
		if !c.wantsContact(now, known, isolated) {
			continue
		}
		if c.contactDue(now, known, startsRound) {
			if known.abandoned() {
				c.contacts = slices.Delete(c.contacts, i, i+1)
				i--
				continue
			}
			c.requestContact(now, known, isolated)
		}
		if known.interval < c.options.RoundInterval {
			next = min(next, known.dueAt)
		}
	}
	return next
}

// contactDue reports whether the next request to a contact is due. An interval of at least a round ends at the start of
// a round, so that it needs no separate wake-up.
func (c *Core) contactDue(now time.Duration, known *contact, startsRound bool) bool {
	round := c.options.RoundInterval
	return known.dueAt <= now || startsRound && known.interval >= round && known.dueAt <= now+round/2
}

// wantsContact reports whether a contact should get requests. It should before the process has joined and while it is
// isolated. Otherwise it should if the view has no live entry for its address, and the process either knows too few
// live keepers, or is a keeper itself and has received nothing from the contact for maxInterval.
func (c *Core) wantsContact(now time.Duration, known *contact, isolated bool) bool {
	if !c.joined || isolated {
		return true
	}
	for _, entries := range [][]Peer{c.peers, c.keepers} {
		for i := range entries {
			if entries[i].Addr == known.addr && entries[i].Age <= liveAge {
				return false
			}
		}
	}
	if c.self.Role == RoleKeeper { // keepers contact each other anyway, so that views reconnect after a network partition
		return !known.received || now-known.receivedAt >= maxInterval
	}
	return c.liveKeepers() < sufficientLiveKeepers
}

// requestContact sends a request to a contact and schedules the next one. The interval doubles after fastAttempts, up
// to maxInterval, or up to a round interval while the process is isolated.
func (c *Core) requestContact(now time.Duration, known *contact, isolated bool) {
	known.attempts++
	if known.attempts > fastAttempts {
		limit := maxInterval
		if isolated {
			limit = max(c.options.RoundInterval, fastInterval)
		}
		known.interval = min(2*known.interval, limit)
	}
	known.dueAt = now + known.interval*2/3 + c.jitter(known.interval*2/3, 1)
	c.sendRequest(now, Peer{Addr: known.addr})
}

// resetContact resets the request interval of the contact from whose address a datagram was received.
func (c *Core) resetContact(now time.Duration, addr string) {
	i := c.contactIndex(addr)
	if i < 0 {
		return
	}
	known := &c.contacts[i]
	known.receivedAt, known.received = now, true
	known.attempts, known.interval = fastAttempts, c.options.RoundInterval/2
	known.dueAt = now + c.options.RoundInterval
}
