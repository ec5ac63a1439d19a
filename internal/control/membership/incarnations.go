package membership

// maxIncarnations is the maximum number of processes and addresses whose newest incarnation is remembered.
const maxIncarnations = 512

// incarnations records the newest incarnation of recently admitted processes and addresses, so that a delayed entry
// does not re-add an older incarnation after the newer one was removed from the view. It has at most maxIncarnations
// keys. The zero value is empty.
type incarnations struct {
	newest map[string]uint64
	ring   []string // the keys of newest, in insertion order
	next   int      // index in ring of the key to replace next, once the ring is full
}

// admit records the incarnation of an entry and returns true, unless a newer one of its process or address is known.
func (n *incarnations) admit(p *Peer) bool {
	process := p.Role + "/" + p.Name
	if n.newest[process] > p.Incarnation || n.newest[p.Addr] > p.Incarnation {
		return false
	}
	n.set(process, p.Incarnation)
	n.set(p.Addr, p.Incarnation)
	return true
}

// set records the newest incarnation of a process or address. It replaces the oldest key if there are maxIncarnations.
func (n *incarnations) set(key string, incarnation uint64) {
	if n.newest == nil {
		n.newest = map[string]uint64{}
	}
	if _, known := n.newest[key]; !known {
		n.addKey(key)
	}
	n.newest[key] = incarnation
}

func (n *incarnations) addKey(key string) {
	if len(n.ring) < maxIncarnations {
		n.ring = append(n.ring, key)
		return
	}
	delete(n.newest, n.ring[n.next])
	n.ring[n.next] = key
	n.next = (n.next + 1) % maxIncarnations
}
