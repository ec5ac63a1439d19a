package keeper

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

const (
	peersMost = 64
	// redial is how long a keeper that can't be reached is left alone.
	redial = 300 * time.Millisecond
	// forgetPeer is how long a keeper that is not connected is remembered.
	forgetPeer = 10 * time.Minute
)

// peer is another keeper.
type peer struct {
	node     controlclient.Node
	conn     *link.Conn // nil: not connected at present
	lost     time.Time
	attached []controlclient.Node
	report   controlclient.KeeperReport // its newest one; zero before the first
	differs  int                        // digests in a row by which its list is not this one
	asked    time.Time                  // for its entries, because of that
}

// peerLink is a link to another keeper.
type peerLink struct {
	peer    *peer
	life    uint64
	dialled bool // from here
}

// links are the keepers that are connected, or were, for other goroutines. They are not changed any more.
type links []linked

type linked struct {
	node controlclient.Node
	conn *link.Conn
	lost time.Time
}

// links gives the newest.
func (k *Keeper) links() links { return *k.linked.Load() }

// to gives the link to a voter; nil: there is none. Its identity counts more than its name.
func (l links) to(v paxos.Voter) (conn *link.Conn) {
	for _, x := range l {
		if x.conn != nil && v.ID != 0 && x.node.ID == v.ID {
			return x.conn
		}
		if x.conn != nil && x.node.Name == v.Name {
			conn = x.conn
		}
	}
	return conn
}

// any gives a connected keeper, drawn at random.
func (l links) any() (node controlclient.Node, there bool) {
	for _, i := range rand.Perm(len(l)) {
		if l[i].conn != nil {
			return l[i].node, true
		}
	}
	return node, false
}

// connectedIDs are the identities of the keepers that are connected, and the own one; keepers without a disk have none.
func (l links) connectedIDs(self uint64) map[uint64]bool {
	connected := map[uint64]bool{self: true}
	for _, x := range l {
		if x.conn != nil {
			connected[x.node.ID] = true
		}
	}
	delete(connected, 0)
	return connected
}

// connectionsChanged is called after each change of which keepers are connected.
func (k *Keeper) connectionsChanged() {
	l := make(links, 0, len(k.peers))
	for _, p := range k.peers {
		l = append(l, linked{p.node, p.conn, p.lost})
	}
	k.linked.Store(&l)
	k.keepersChange++
	k.dirty = true
	k.recount()
}

// dialKeepers dials the keepers that are known and not connected.
func (k *Keeper) dialKeepers(now time.Time) {
	addrs := map[string]bool{}
	for _, s := range controlclient.SeedLinks(*k.seeds.Load(), k.o.Settings.InternalFirst) {
		addrs[s] = true
	}
	if k.o.Known != nil {
		for _, n := range k.o.Known() {
			addrs[n.Addr] = true
		}
	}
	for _, v := range k.agree.voters() {
		addrs[v.Addr] = true
	}
	for name, p := range k.peers {
		addrs[p.node.Addr] = true
		if p.conn == nil && now.Sub(p.lost) > forgetPeer {
			delete(k.peers, name)
			k.connectionsChanged()
		}
	}
	for _, p := range k.peers {
		if p.conn != nil {
			delete(addrs, p.node.Addr)
		}
	}
	delete(addrs, k.self.Addr)
	for addr := range addrs {
		if k.dialling[addr] || now.Before(k.wanted[addr]) || len(k.dialling) >= peersMost {
			continue
		}
		k.dialling[addr] = true
		k.wanted[addr] = now.Add(redial)
		go k.dial(addr)
	}
	for addr, at := range k.wanted {
		if now.Sub(at) > time.Minute {
			delete(k.wanted, addr)
		}
	}
}

func (k *Keeper) dial(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	defer k.do(func() { delete(k.dialling, addr) })
	conn, err := link.Dial(ctx, k.o.DialAddress(addr), k, link.DefaultOptions)
	if err != nil {
		return
	}
	w := link.Writer{}
	k.self.Append(&w)
	w.Bool(false)
	b, err := conn.Call(ctx, controlclient.Hello, w.B)
	r := link.Reader{B: b}
	node := controlclient.ReadNode(&r)
	r.Bool()
	if err != nil || r.Err != nil || node.Role != controlclient.RoleKeeper || node.Name == k.self.Name {
		conn.Close()
		return
	}
	k.do(func() { k.adoptLink(conn, node, true) })
}

// adoptLink adopts a link to another keeper. Where two have dialled each other, the link from the smaller name stays,
// and who dialled the other one closes it.
func (k *Keeper) adoptLink(c *link.Conn, node controlclient.Node, dialled bool) {
	select {
	case <-c.Done():
		return
	default:
	}
	p := k.peers[node.Name]
	if p == nil {
		if len(k.peers) >= peersMost {
			c.Close()
			return
		}
		p = &peer{}
		k.peers[node.Name] = p
	}
	// A life that is lower comes from a clock that was set back, unless the later life is there.
	if p.conn != nil && node.Life < p.node.Life {
		c.Close()
		return
	}
	if p.conn == nil || p.node.Life != node.Life {
		k.log.Info("keeper connected", "keeper", node.Name, "zone", node.Zone)
	}
	if p.node.Life != node.Life {
		p.attached, p.differs, p.report = nil, 0, controlclient.KeeperReport{}
		for other, l := range k.conns {
			if l.peer == p && other != c {
				other.Close()
			}
		}
	}
	p.node = node
	k.conns[c] = &peerLink{peer: p, life: node.Life, dialled: dialled}
	if nodes, ok := c.Tag.Load().([]controlclient.Node); ok {
		p.attached = nodes
	}
	k.choose(p, c)
	k.sendNewest(c)
	k.agree.bootstrapFromSeeds()
	k.connectionsChanged()
}

// choose takes a link into use unless there is a better one to the same life.
func (k *Keeper) choose(p *peer, c *link.Conn) {
	better := func(l *peerLink) bool { return l.dialled == (k.self.Name < p.node.Name) }
	old := p.conn
	if l := k.conns[old]; l == nil || l.life != p.node.Life {
		old = nil
	}
	p.conn = c
	if old == nil || old == c {
		return
	}
	worse := old
	if better(k.conns[old]) && !better(k.conns[c]) {
		p.conn, worse = old, c
	}
	if k.conns[worse].dialled {
		worse.Close()
	}
}

// sendNewest tells a keeper what it may lack.
func (k *Keeper) sendNewest(c *link.Conn) {
	if list := k.table.Entries(k.since(time.Now()), -1); len(list) > 0 {
		k.sendEntries(c, list, nil)
	}
	for _, body := range k.agree.newest() {
		_ = c.Send(controlclient.Learn, body)
	}
	_ = c.Send(controlclient.Attached, k.attachedBody())
	_ = c.Send(controlclient.Report, encodeReport(k.report()))
}

// dropLink forgets a link to a keeper. Another one to the same life takes its place.
func (k *Keeper) dropLink(c *link.Conn) {
	l := k.conns[c]
	if l == nil {
		return
	}
	delete(k.conns, c)
	p := l.peer
	if p.conn != c {
		return
	}
	p.conn = nil
	p.report = controlclient.KeeperReport{}
	for other, l := range k.conns {
		if l.peer == p && l.life == p.node.Life {
			p.conn = other
		}
	}
	if p.conn != nil {
		k.sendNewest(p.conn)
	} else {
		p.lost = time.Now()
		k.log.Info("keeper disconnected", "keeper", p.node.Name)
	}
	k.connectionsChanged()
}

// keeperNodes are this keeper and those that are connected and not leaving, by name.
func (k *Keeper) keeperNodes() []controlclient.Node {
	nodes := []controlclient.Node{k.self}
	for _, p := range k.peers {
		if p.conn != nil && !p.report.Leaving {
			nodes = append(nodes, p.node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}
