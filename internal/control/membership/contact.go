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
	fastAttempts = 33                     // requests at that interval, before it doubles each time
	maxInterval  = 32 * time.Second       // the longest interval between requests to one contact
	lostAttempts = 45                     // further requests after which a lost keeper is abandoned; a seed never is
)

// contact is an address that gets requests while the view does not show a live process there: a seed, or a keeper that
// left the view because it did not respond.
type contact struct {
	addr     string
	seed     bool
	attempts int           // requests sent since it was added or last heard
	interval time.Duration // before the next attempt, which doubles after fastAttempts
	dueAt    time.Duration // when the next attempt is due
	heardAt  time.Duration // the last datagram from it, if heard
	heard    bool
}

// abandoned reports whether no further request is sent to a contact.
func (k *contact) abandoned() bool { return !k.seed && k.attempts >= fastAttempts+lostAttempts }

// AddSeeds adds addresses of keepers that may be alive. They get requests at the next Tick, and again with growing
// intervals while the view does not show enough keepers. Addresses that are not ip:port, and the process's own, are
// ignored.
func (c *Core) AddSeeds(now time.Duration, addrs []string) {
	for _, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err == nil && addr != c.self.Addr {
			c.addSeed(now, addr)
		}
	}
}

// SetSeeds replaces the seeds. One that is no longer named is treated as a lost keeper, which is abandoned in the end.
func (c *Core) SetSeeds(now time.Duration, addrs []string) {
	for i := range c.contacts {
		known := &c.contacts[i]
		if known.seed && !slices.Contains(addrs, known.addr) {
			known.seed, known.attempts = false, max(known.attempts, fastAttempts)
		}
	}
	c.AddSeeds(now, addrs)
}

// addSeed adds a seed, in place of the first lost keeper if there are too many contacts. With seeds only it is ignored.
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

// addLostKeeper adds a keeper that left the view, in place of the first one if there are maxLost of them.
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

// dropFirstLost drops the keeper that was lost first, if there is one.
func (c *Core) dropFirstLost() {
	if i := slices.IndexFunc(c.contacts, func(known contact) bool { return !known.seed }); i >= 0 {
		c.contacts = slices.Delete(c.contacts, i, i+1)
	}
}

// requestContacts sends requests to the contacts that are due, drops those that are abandoned, and returns when the
// next one is due.
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

// contactDue reports whether it is time for the next request to a contact. An interval of a round or longer ends with
// a round, so that it needs no wake-up of its own.
func (c *Core) contactDue(now time.Duration, known *contact, startsRound bool) bool {
	round := c.options.RoundInterval
	return known.dueAt <= now || startsRound && known.interval >= round && known.dueAt <= now+round/2
}

// wantsContact reports whether a contact should get requests: the view has no live entry at its address, and the
// process knows too few keepers, or is a keeper itself and has not heard the contact for maxInterval.
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
	if c.self.Role == RoleKeeper { // keepers look for keepers, so that the sides of a healed network partition meet again
		return !known.heard || now-known.heardAt >= maxInterval
	}
	return c.liveKeepers() < enoughLiveKeepers
}

// requestContact sends a request to a contact and sets the time of the next one. The interval doubles after
// fastAttempts, up to maxInterval, or to a round while the process knows no live one.
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

// contactHeard restarts the intervals of the contact at an address that a datagram came from.
func (c *Core) contactHeard(now time.Duration, addr string) {
	i := c.contactIndex(addr)
	if i < 0 {
		return
	}
	known := &c.contacts[i]
	known.heardAt, known.heard = now, true
	known.attempts, known.interval = fastAttempts, c.options.RoundInterval/2
	known.dueAt = now + c.options.RoundInterval
}
