package controlclient

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
)

// maxFormerKeepers is the maximum number of remembered keepers that are not in the newest update.
const maxFormerKeepers = 64

// reserve reserves a keeper's address for a slot. It returns false if the address is already reserved.
func (c *Client) reserve(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reserved[addr] {
		return false
	}
	c.reserved[addr] = true
	return true
}

func (c *Client) release(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reserved, addr)
}

// candidates returns the addresses of keepers to try, in random order: for the first slot those of the own zone first,
// for the second those of other zones first, so that one link survives the loss of a zone. Keepers that are only in
// earlier updates come last. They are still tried because the sender of the newest update may be partitioned from them.
func (c *Client) candidates(slot int) []string {
	c.mu.Lock()
	nodes := slices.Clone(c.keepers)
	former := slices.Clone(c.formerKeepers)
	excluded := maps.Clone(c.reserved)
	for _, s := range c.sources {
		excluded[s.node.Addr] = true
	}
	c.mu.Unlock()
	if c.options.KnownKeepers != nil {
		nodes = append(nodes, c.options.KnownKeepers()...)
	}
	for _, seed := range c.currentSeeds() {
		nodes = append(nodes, Node{Addr: seed})
	}
	return append(c.shuffled(nodes, slot, excluded), c.shuffled(former, slot, excluded)...)
}

// shuffled returns the addresses of nodes in random order with the preferred zones of a slot first. It skips excluded
// addresses, and adds the returned ones to excluded.
func (c *Client) shuffled(nodes []Node, slot int, excluded map[string]bool) []string {
	zones := map[string]string{}
	var addrs []string
	for _, n := range nodes {
		if !excluded[n.Addr] {
			excluded[n.Addr] = true
			zones[n.Addr] = n.Zone
			addrs = append(addrs, n.Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	ownZoneFirst := slot == 0
	sort.SliceStable(addrs, func(i, j int) bool {
		own, otherOwn := zones[addrs[i]] == c.options.Self.Zone, zones[addrs[j]] == c.options.Self.Zone
		return own != otherOwn && own == ownZoneFirst
	})
	return addrs
}

// setKeepers stores the keepers of an update, and remembers those that are no longer listed as former keepers.
func (c *Client) setKeepers(keepers []Node) {
	former := slices.Concat(c.formerKeepers, c.keepers)
	c.keepers = keepers
	listed := map[string]bool{}
	for _, n := range keepers {
		listed[n.Name] = true
	}
	c.formerKeepers = nil
	for _, n := range slices.Backward(former) {
		if !listed[n.Name] && len(c.formerKeepers) < maxFormerKeepers {
			listed[n.Name] = true
			c.formerKeepers = append(c.formerKeepers, n)
		}
	}
	slices.Reverse(c.formerKeepers)
}
