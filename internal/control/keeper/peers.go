package keeper

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/link"
)

const (
	// maxPeers bounds the other keepers that are remembered, and the concurrent dials.
	maxPeers = 64
	// dialTimeout bounds a dial and the Hello call on the new link.
	dialTimeout = 2 * time.Second
	// redialDelay is the minimum time between the starts of two dials to an address.
	redialDelay = 300 * time.Millisecond
	// forgetPeerAfter is how long a disconnected keeper is remembered; forgetAddressAfter is how long the dial time of
	// an address is remembered.
	forgetPeerAfter    = 10 * time.Minute
	forgetAddressAfter = time.Minute
)

// peer is another keeper.
type peer struct {
	node               controlclient.Node
	conn               *link.Conn // the link in use; nil: not connected
	disconnectedAt     time.Time
	attached           []controlclient.Node       // the processes attached to that keeper
	report             controlclient.KeeperReport // its newest report; zero before the first
	digestMismatches   int                        // consecutive liveness messages whose digests differ from this keeper's
	entriesRequestedAt time.Time                  // when its list was last requested because of them
}

// peerLink is a link to another keeper. There may be two to the same keeper, see chooseLink.
type peerLink struct {
	peer        *peer
	incarnation uint64 // of the keeper at the other end
	dialed      bool   // by this keeper
}

// peerSnapshot lists all remembered keepers, for goroutines other than the owner. It is immutable.
type peerSnapshot []peerInfo

type peerInfo struct {
	node           controlclient.Node
	conn           *link.Conn // nil: not connected
	disconnectedAt time.Time
}

// knownPeers returns the newest snapshot.
func (k *Keeper) knownPeers() peerSnapshot { return *k.peerSnapshot.Load() }

// connTo returns the link to a voter; nil: not connected. A match by identity takes precedence over one by name.
func (peers peerSnapshot) connTo(v paxos.Voter) (conn *link.Conn) {
	for _, p := range peers {
		if p.conn != nil && v.ID != 0 && p.node.ID == v.ID {
			return p.conn
		}
		if p.conn != nil && p.node.Name == v.Name {
			conn = p.conn
		}
	}
	return conn
}

// randomPeer returns a random connected keeper.
func (peers peerSnapshot) randomPeer() (node controlclient.Node, connected bool) {
	for _, i := range rand.Perm(len(peers)) {
		if peers[i].conn != nil {
			return peers[i].node, true
		}
	}
	return node, false
}

// connectedIDs returns the identities of the connected keepers and of this one. Keepers without a disk have no
// identity.
func (peers peerSnapshot) connectedIDs(self uint64) map[uint64]bool {
	connected := map[uint64]bool{self: true}
	for _, p := range peers {
		if p.conn != nil {
			connected[p.node.ID] = true
		}
	}
	delete(connected, 0)
	return connected
}

// connectionsChanged is called after each change of the connected keepers.
func (k *Keeper) connectionsChanged() {
	peers := make(peerSnapshot, 0, len(k.peers))
	for _, p := range k.peers {
		peers = append(peers, peerInfo{p.node, p.conn, p.disconnectedAt})
	}
	k.peerSnapshot.Store(&peers)
	k.keepersRevision++
	k.pushNeeded = true
	k.countProxies()
}

// dialKeepers dials the known keepers that aren't connected.
func (k *Keeper) dialKeepers(now time.Time) {
	addrs := k.addressesToDial()
	k.forgetOldPeers(now)
	for addr := range addrs {
		if k.dialing[addr] || now.Before(k.redialAt[addr]) || len(k.dialing) >= maxPeers {
			continue
		}
		k.dialing[addr] = true
		k.redialAt[addr] = now.Add(redialDelay)
		go k.dialKeeper(addr) // it ends within dialTimeout
	}
	for addr, at := range k.redialAt {
		if now.Sub(at) > forgetAddressAfter {
			delete(k.redialAt, addr)
		}
	}
}

// addressesToDial returns the link addresses of the keepers that aren't connected: the seeds, those known from gossip
// or the registers, and those that were connected before.
func (k *Keeper) addressesToDial() map[string]bool {
	addrs := map[string]bool{}
	for _, addr := range controlclient.SeedLinkAddrs(*k.seeds.Load(), k.options.Settings.FirstInternalPort) {
		addrs[addr] = true
	}
	if k.options.Known != nil {
		for _, node := range k.options.Known() {
			addrs[node.Addr] = true
		}
	}
	for _, voter := range k.registers.voters() {
		addrs[voter.Addr] = true
	}
	for _, p := range k.peers {
		addrs[p.node.Addr] = true
	}
	for _, p := range k.peers {
		if p.conn != nil {
			delete(addrs, p.node.Addr)
		}
	}
	delete(addrs, k.self.Addr)
	return addrs
}

// forgetOldPeers removes keepers that have been disconnected for longer than forgetPeerAfter.
func (k *Keeper) forgetOldPeers(now time.Time) {
	for name, p := range k.peers {
		if p.conn == nil && now.Sub(p.disconnectedAt) > forgetPeerAfter {
			delete(k.peers, name)
			k.connectionsChanged()
		}
	}
}

// dialKeeper connects to the keeper at an address, on a goroutine of its own.
func (k *Keeper) dialKeeper(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	defer k.submit(func() { delete(k.dialing, addr) })
	conn, err := link.Dial(ctx, k.options.DialAddress(addr), k, link.DefaultOptions)
	if err != nil {
		return // the next tick dials again
	}
	node, err := k.callHello(ctx, conn)
	if err != nil || node.Role != controlclient.RoleKeeper || node.Name == k.self.Name {
		conn.Close()
		return
	}
	k.submit(func() { k.adoptLink(conn, node, true) })
}

// callHello exchanges node descriptions with the process at the other end of a link, and returns that process's.
func (k *Keeper) callHello(ctx context.Context, conn *link.Conn) (controlclient.Node, error) {
	w := link.Writer{}
	k.self.Append(&w)
	w.Bool(false) // no endpoint list wanted
	reply, err := conn.Call(ctx, controlclient.KindHello, w.Buf)
	if err != nil {
		return controlclient.Node{}, err
	}
	r := link.Reader{Buf: reply}
	node := controlclient.ReadNode(&r)
	_ = r.Bool() // whether it has a disk
	return node, r.Err
}

// adoptLink adds a link to another keeper, and sends that keeper the full state.
func (k *Keeper) adoptLink(conn *link.Conn, node controlclient.Node, dialed bool) {
	select {
	case <-conn.Done():
		return
	default:
	}
	p := k.peers[node.Name]
	if p == nil {
		if len(k.peers) >= maxPeers {
			conn.Close()
			return
		}
		p = &peer{}
		k.peers[node.Name] = p
	}
	// Incarnations are start times. While a newer incarnation is connected, a lower one is an outdated process.
	// Otherwise it is accepted: the keeper's clock was set back.
	if p.conn != nil && node.Incarnation < p.node.Incarnation {
		conn.Close()
		return
	}
	if p.conn == nil || p.node.Incarnation != node.Incarnation {
		k.log.Info("keeper connected", "keeper", node.Name, "zone", node.Zone)
	}
	if p.node.Incarnation != node.Incarnation {
		k.replaceIncarnation(p, conn)
	}
	p.node = node
	k.peerLinks[conn] = &peerLink{peer: p, incarnation: node.Incarnation, dialed: dialed}
	if attached, ok := conn.Tag.Load().([]controlclient.Node); ok { // received before the Hello, see handleAttached
		p.attached = attached
	}
	k.chooseLink(p, conn)
	k.sendFullState(conn)
	k.registers.bootstrapFromSeeds()
	k.connectionsChanged()
}

// replaceIncarnation discards what a keeper's former incarnation has reported, and closes the links to it.
func (k *Keeper) replaceIncarnation(p *peer, newest *link.Conn) {
	p.attached, p.digestMismatches, p.report = nil, 0, controlclient.KeeperReport{}
	for conn, l := range k.peerLinks {
		if l.peer == p && conn != newest {
			conn.Close()
		}
	}
}

// chooseLink selects a new link to a keeper for use, unless there is a better one to the same incarnation. If two
// keepers have dialed each other, both use the link dialed by the keeper with the smaller name; the other link is
// closed by the keeper that dialed it.
func (k *Keeper) chooseLink(p *peer, conn *link.Conn) {
	better := func(conn *link.Conn) bool { return k.peerLinks[conn].dialed == (k.self.Name < p.node.Name) }
	old := p.conn
	if l := k.peerLinks[old]; l == nil || l.incarnation != p.node.Incarnation {
		old = nil
	}
	p.conn = conn
	if old == nil || old == conn {
		return
	}
	worse := old
	if better(old) && !better(conn) {
		p.conn, worse = old, conn
	}
	if k.peerLinks[worse].dialed {
		worse.Close()
	}
}

// sendFullState sends a keeper all state that it may lack. The endpoint list comes first, also if it is empty: see
// endsSynchronized.
func (k *Keeper) sendFullState(conn *link.Conn) {
	k.sendEntries(conn, k.endpoints.Entries(k.sinceStart(time.Now()), registry.AllBuckets), nil)
	// If a send fails, the link has ended, and the full state is sent again over the next one.
	for _, body := range k.registers.decidedMessages() {
		_ = conn.Send(controlclient.KindDecided, body)
	}
	_ = conn.Send(controlclient.KindAttached, k.encodeAttached())
	_ = conn.Send(controlclient.KindKeeperReport, encodeReport(k.currentReport()))
}

// dropLink removes a link to a keeper. Another link to the same incarnation replaces it, if there is one.
func (k *Keeper) dropLink(conn *link.Conn) {
	l := k.peerLinks[conn]
	if l == nil {
		return
	}
	delete(k.peerLinks, conn)
	p := l.peer
	if p.conn != conn {
		return
	}
	p.conn = nil
	p.report = controlclient.KeeperReport{}
	for other, l := range k.peerLinks {
		if l.peer == p && l.incarnation == p.node.Incarnation {
			p.conn = other
		}
	}
	if p.conn != nil {
		k.sendFullState(p.conn)
	} else {
		p.disconnectedAt = time.Now()
		k.log.Info("keeper disconnected", "keeper", p.node.Name)
	}
	k.connectionsChanged()
}

// reachableKeepers returns this keeper and the connected ones that aren't shutting down, by name.
func (k *Keeper) reachableKeepers() []controlclient.Node {
	nodes := []controlclient.Node{k.self}
	for _, p := range k.peers {
		if p.conn != nil && !p.report.Stopping {
			nodes = append(nodes, p.node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}
