package membership

import (
	"net/netip"
	"slices"
	"time"
)

// contact is an address that is asked while the view does not show a live process there: a seed, or a keeper that
// left the view because it did not answer.
type contact struct {
	addr    string
	seed    bool
	tries   int           // datagrams sent since it was added or last heard
	wait    time.Duration // before the next try, which doubles after joinTries
	next    time.Duration // when the next try is due
	heardAt time.Duration // the last datagram from it, if heard
	heard   bool
}

// Seed adds addresses of keepers that may be alive. They are asked at the next Tick, and again with growing intervals
// while the view does not show enough keepers. Addresses that are not ip:port, and the process's own, are ignored.
func (c *Core) AddSeeds(now time.Duration, addrs []string) {
	for _, addr := range addrs {
		if _, err := netip.ParseAddrPort(addr); err == nil && addr != c.self.Addr {
			c.addSeed(now, addr)
		}
	}
}

// SetSeeds replaces the seeds. One that is no longer named is treated as a lost keeper, which is given up in the end.
func (c *Core) SetSeeds(now time.Duration, addrs []string) {
	for i := range c.contacts {
		known := &c.contacts[i]
		if known.seed && !slices.Contains(addrs, known.addr) {
			known.seed, known.tries = false, max(known.tries, joinTries)
		}
	}
	c.AddSeeds(now, addrs)
}

// addSeed adds a seed, in place of the first lost keeper if there are too many contacts. With seeds only it is ignored.
func (c *Core) addSeed(now time.Duration, addr string) {
	if i := c.findContact(addr); i >= 0 {
		c.contacts[i].seed = true
		return
	}
	if len(c.contacts) >= maxContacts {
		c.dropFirstLost()
	}
	if len(c.contacts) < maxContacts {
		c.contacts = append(c.contacts, contact{addr: addr, seed: true, next: now, wait: joinEvery})
	}
}

// addLost adds a keeper that left the view, in place of the first one if there are maxLost of them.
func (c *Core) addLost(now time.Duration, addr string) {
	if c.findContact(addr) >= 0 {
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
		every := c.options.RoundInterval
		c.contacts = append(c.contacts, contact{addr: addr, tries: joinTries, wait: every, next: now + every})
	}
}

// findContact returns the index of the contact with an address, or -1.
func (c *Core) findContact(addr string) int {
	return slices.IndexFunc(c.contacts, func(known contact) bool { return known.addr == addr })
}

// dropFirstLost drops the keeper that was lost first, if there is one.
func (c *Core) dropFirstLost() {
	if i := slices.IndexFunc(c.contacts, func(known contact) bool { return !known.seed }); i >= 0 {
		c.contacts = slices.Delete(c.contacts, i, i+1)
	}
}

// try asks a contact and sets the time of the next try. The interval doubles after joinTries, up to maxWait, or to a
// round while the process knows no live one.
func (c *Core) try(now time.Duration, known *contact, alone bool) {
	known.tries++
	if known.tries > joinTries {
		most := maxWait
		if alone {
			most = max(c.options.RoundInterval, joinEvery)
		}
		known.wait = min(2*known.wait, most)
	}
	known.next = now + known.wait*2/3 + c.jitter(known.wait*2/3, 1)
	c.ask(now, Peer{Addr: known.addr})
}

// needs reports whether a contact should be asked: the view has no young entry at its address, and the process knows
// too few keepers, or is a keeper itself and has not heard the contact for maxWait.
func (c *Core) needs(now time.Duration, known *contact, alone bool) bool {
	if !c.joined || alone {
		return true
	}
	for _, list := range [][]Peer{c.peers, c.keepers} {
		for i := range list {
			if list[i].Addr == known.addr && list[i].Age <= youngAge {
				return false
			}
		}
	}
	if c.self.Role == RoleKeeper { // keepers look for keepers, so that partitions of the system find each other again
		return !known.heard || now-known.heardAt >= maxWait
	}
	return c.young() < enoughYoung
}

// heard restarts the waits for the contact at an address that a datagram came from.
func (c *Core) heard(now time.Duration, addr string) {
	for i := range c.contacts {
		if known := &c.contacts[i]; known.addr == addr {
			known.heardAt, known.heard = now, true
			known.tries, known.wait, known.next = joinTries, c.options.RoundInterval/2, now+c.options.RoundInterval
		}
	}
}
