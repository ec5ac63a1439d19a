package membership

// maxIncarnations is the number of processes and addresses whose newest incarnation is remembered.
const maxIncarnations = 512

// incarnations remembers the newest incarnation of the processes and addresses that were admitted last, so that a
// delayed entry does not bring back an older one after the newer one has left the view. It has at most maxIncarnations
// keys. The zero value is empty.
type incarnations struct {
	newest map[string]uint64
	ring   []string // the keys of newest, in the order in which they were added
	next   int      // index in ring of the key to replace next, once the ring is full
}

// admit records the incarnation of an entry, unless a newer one of its process or address is known.
func (n *incarnations) admit(p *Peer) bool {
	process := p.Role + "/" + p.Name
	if n.newest[process] > p.Incarnation || n.newest[p.Addr] > p.Incarnation {
		return false
	}
	n.set(process, p.Incarnation)
	n.set(p.Addr, p.Incarnation)
	return true
}

// set records the newest incarnation of a process or address, in place of the oldest key if there are too many.
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
