package membership

import (
	"math"
	"slices"
	"time"
)

const (
	staleAge              = 60 // rounds after which a keeper's entry is dropped if it was not refreshed
	liveAge               = 30 // rounds up to which an entry counts as live
	minKeepers            = 3  // keepers that are retained at any age
	sufficientLiveKeepers = 2  // live keepers that suffice for a process not to contact the seeds
)

// maxPeers returns the maximum number of neighbours. Slots that are reserved for keepers but unused are available to
// neighbours.
func (c *Core) maxPeers() int { return c.options.ViewSize - len(c.keepers) }

// liveKeepers returns the number of keepers with live entries.
func (c *Core) liveKeepers() (n int) {
	for i := range c.keepers {
		if c.keepers[i].Age <= liveAge {
			n++
		}
	}
	return n
}

// isolated reports whether the view has no neighbour and no live keeper.
func (c *Core) isolated() bool { return len(c.peers) == 0 && c.liveKeepers() == 0 }

// shuffle runs a round: it ages all entries and requests an exchange from the neighbour with the oldest entry. That
// entry is removed from this view, and the neighbour gets the entry of this process, so all processes appear in about
// as many views.
func (c *Core) shuffle(now time.Duration) {
	c.expirePending(now)
	c.ageEntries()
	c.dropStaleKeepers(now)
	switch {
	case len(c.peers) > 0:
		i := c.oldest(c.peers)
		neighbour := c.peers[i]
		c.peers = slices.Delete(c.peers, i, i+1)
		c.sendRequest(now, neighbour)
	case len(c.keepers) > 0:
		c.sendRequest(now, c.keepers[c.options.Rand.IntN(len(c.keepers))])
	}
}

func (c *Core) ageEntries() {
	for _, entries := range [][]Peer{c.peers, c.keepers} {
		for i := range entries {
			if entries[i].Age < maxAge {
				entries[i].Age++
			}
		}
	}
}

// dropStaleKeepers drops keepers whose entries were not refreshed for staleAge rounds, except the last minKeepers.
func (c *Core) dropStaleKeepers(now time.Duration) {
	for len(c.keepers) > minKeepers {
		i := c.oldest(c.keepers)
		if c.keepers[i].Age <= staleAge {
			return
		}
		c.addLostKeeper(now, c.keepers[i].Addr)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	}
}

// dropUnresponsive drops the entry of a process that did not respond. The last minKeepers keepers stay, but their age
// is raised so that they no longer count as live.
func (c *Core) dropUnresponsive(now time.Duration, process *Peer) {
	i := indexOf(c.peers, process)
	if i >= 0 && c.peers[i].Incarnation == process.Incarnation && c.peers[i].Age > process.Age {
		c.peers = slices.Delete(c.peers, i, i+1)
	}
	i = indexOf(c.keepers, process)
	if i < 0 || c.keepers[i].Incarnation != process.Incarnation {
		return
	}
	if len(c.keepers) > minKeepers {
		c.addLostKeeper(now, process.Addr)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	} else {
		c.keepers[i].Age = max(c.keepers[i].Age, liveAge+1)
	}
}

// exchangeSize returns the number of entries to send in a shuffle, the own one included: at most half of the
// neighbours, because exchanging all entries would swap two views instead of mixing them.
func (c *Core) exchangeSize() int { return min(c.options.ShuffleSize, len(c.peers)/2+1) }

// randomPeers returns up to n random neighbours, excluding one peer.
func (c *Core) randomPeers(n int, except *Peer) []Peer {
	return c.sample(c.peers, n, func(peer *Peer) bool {
		return !peer.sameProcess(except) && peer.Addr != except.Addr
	})
}

// randomKeepers returns random keepers that are not stale, excluding one peer: up to half of the reserved share, or up
// to all of it if all is set.
func (c *Core) randomKeepers(except *Peer, all bool) []Peer {
	n := c.options.KeeperSlots
	if !all {
		n = (n + 1) / 2
	}
	return c.sample(c.keepers, n, func(keeper *Peer) bool {
		return !keeper.sameProcess(except) && keeper.Addr != except.Addr && keeper.Age <= staleAge
	})
}

// sample returns up to n random entries that are eligible.
func (c *Core) sample(entries []Peer, n int, eligible func(*Peer) bool) (chosen []Peer) {
	for _, i := range c.options.Rand.Perm(len(entries)) {
		if len(chosen) >= n {
			break
		}
		if eligible(&entries[i]) {
			chosen = append(chosen, entries[i])
		}
	}
	return chosen
}

// merge adds received entries to the view: to free slots first, then in place of the entries that were sent.
func (c *Core) merge(peers, keepers, sent []Peer) {
	for _, keeper := range keepers {
		if c.admit(&keeper) {
			c.addKeeper(keeper)
		}
	}
	for _, peer := range peers {
		if !c.admit(&peer) {
			continue
		}
		c.addKeeper(peer)
		if i := indexOf(c.peers, &peer); i >= 0 {
			c.peers[i].Age = min(c.peers[i].Age, peer.Age)
			continue
		}
		for len(c.peers) >= c.maxPeers() && len(sent) > 0 {
			if i := indexOf(c.peers, &sent[0]); i >= 0 {
				c.peers = slices.Delete(c.peers, i, i+1)
			}
			sent = sent[1:]
		}
		if len(c.peers) < c.maxPeers() {
			c.peers = append(c.peers, peer)
		}
	}
	for len(c.peers) > c.maxPeers() {
		i := c.oldest(c.peers)
		c.peers = slices.Delete(c.peers, i, i+1)
	}
}

// addKeeper adds an admitted keeper to the reserved share, which retains the youngest entries. It ignores other roles.
func (c *Core) addKeeper(keeper Peer) {
	if keeper.Role != RoleKeeper {
		return
	}
	if i := indexOf(c.keepers, &keeper); i >= 0 {
		c.keepers[i].Age = min(c.keepers[i].Age, keeper.Age)
		return
	}
	if keeper.Age > staleAge && len(c.keepers) >= minKeepers {
		return
	}
	c.keepers = append(c.keepers, keeper)
	if len(c.keepers) > c.options.KeeperSlots {
		i := c.oldest(c.keepers)
		c.keepers = slices.Delete(c.keepers, i, i+1)
	}
}

// admit reports whether an entry may be added to the view. The process's own entry may not, nor one that is older than
// a known incarnation of the same process or of another process at the same address. A newer incarnation removes the
// older ones from the view.
func (c *Core) admit(peer *Peer) bool {
	if peer.Addr == c.self.Addr || peer.sameProcess(&c.self) {
		c.raiseOwnIncarnation(peer)
		return false
	}
	if !c.incarnations.admit(peer) {
		return false
	}
	older := func(known Peer) bool {
		return (known.sameProcess(peer) || known.Addr == peer.Addr) && known.Incarnation < peer.Incarnation
	}
	c.peers = slices.DeleteFunc(c.peers, older)
	c.keepers = slices.DeleteFunc(c.keepers, older)
	// Two entries of equal incarnation conflict if one process has two addresses or one address has two processes. The
	// entry in the view stays.
	clash := func(known Peer) bool { return known.sameProcess(peer) != (known.Addr == peer.Addr) }
	return !slices.ContainsFunc(c.peers, clash) && !slices.ContainsFunc(c.keepers, clash)
}

// raiseOwnIncarnation raises the own incarnation above that of a received entry of this process. Incarnations are
// numbered by the clock, so a received one is higher if the clock was set back between two starts.
func (c *Core) raiseOwnIncarnation(received *Peer) {
	own := received.sameProcess(&c.self) && received.Addr == c.self.Addr
	if own && received.Incarnation > c.self.Incarnation && received.Incarnation < math.MaxUint64 {
		c.self.Incarnation = received.Incarnation + 1
	}
}

// oldest returns the index of the entry with the highest age, a random one if several have it.
func (c *Core) oldest(entries []Peer) int {
	best, equal := 0, 0
	for i := range entries {
		switch {
		case entries[i].Age > entries[best].Age || equal == 0:
			best, equal = i, 1
		case entries[i].Age == entries[best].Age:
			equal++
			if c.options.Rand.IntN(equal) == 0 { // reservoir sampling
				best = i
			}
		}
	}
	return best
}
