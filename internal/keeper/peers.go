package keeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"time"

	"dunetide/internal/agree"
	"dunetide/internal/control"
	"dunetide/internal/link"
	"dunetide/internal/registry"
)

const (
	peersMost = 64
	// redial is how long a keeper that can't be reached is left alone.
	redial = 300 * time.Millisecond
	// forgetPeer is how long a keeper that is not met is remembered.
	forgetPeer = 10 * time.Minute
	// differsTwice is how many words in a row differ before a keeper is asked for its list, askAgain how long it is not asked again.
	differsTwice = 2
	askAgain     = 3 * time.Second
	// closedWait is how long it may take until the end of a link that has ended is known.
	closedWait = 5 * time.Millisecond
)

// peer is another keeper.
type peer struct {
	node     control.Node
	conn     *link.Conn // nil: not met at present
	lost     time.Time
	attached []control.Node
	report   control.KeeperReport // its newest one; zero before the first
	differs  int                  // words in a row by which its list is not this one
	asked    time.Time            // for its entries, because of that
}

// peerLink is a link to another keeper.
type peerLink struct {
	peer    *peer
	life    uint64
	dialled bool // from here
}

// links are the keepers that are met, for other goroutines. They are not changed any more.
type links []linked

type linked struct {
	node control.Node
	conn *link.Conn
	lost time.Time
}

// links gives the newest.
func (k *Keeper) links() links { return *k.linked.Load() }

// to gives the link to a voter; nil: there is none. Its identity counts more than its name.
func (l links) to(v agree.Voter) (conn *link.Conn) {
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

// any gives a keeper that is met, by chance.
func (l links) any() (node control.Node, there bool) {
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

// relinked is called after each change of who is met.
func (k *Keeper) relinked() {
	l := make(links, 0, len(k.peers))
	for _, p := range k.peers {
		l = append(l, linked{p.node, p.conn, p.lost})
	}
	k.linked.Store(&l)
	k.keepersChange++
	k.dirty = true
	k.recount()
}

// meet dials the keepers that are known and not met.
func (k *Keeper) meet(now time.Time) {
	addrs := map[string]bool{}
	for _, s := range control.SeedLinks(*k.seeds.Load(), k.o.Settings.InternalFirst) {
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
			k.relinked()
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
	conn, err := link.Dial(ctx, addr, k, link.DefaultOptions)
	if err != nil {
		return
	}
	w := link.Writer{}
	k.self.Append(&w)
	w.Bool(false)
	b, err := conn.Call(ctx, control.Hello, w.B)
	r := link.Reader{B: b}
	node := control.ReadNode(&r)
	r.Bool()
	if err != nil || r.Err != nil || node.Role != control.RoleKeeper || node.Name == k.self.Name {
		conn.Close()
		return
	}
	k.do(func() { k.meeting(conn, node, true) })
}

// meeting adopts a link to another keeper. Where two have dialled each other, the link from the smaller name stays,
// and who dialled the other one closes it.
func (k *Keeper) meeting(c *link.Conn, node control.Node, dialled bool) {
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
		k.log.Info("keeper met", "keeper", node.Name, "zone", node.Zone)
	}
	if p.node.Life != node.Life {
		p.attached, p.differs, p.report = nil, 0, control.KeeperReport{}
		for other, l := range k.conns {
			if l.peer == p && other != c {
				other.Close()
			}
		}
	}
	p.node = node
	k.conns[c] = &peerLink{peer: p, life: node.Life, dialled: dialled}
	if nodes, ok := c.Tag.Load().([]control.Node); ok {
		p.attached = nodes
	}
	k.choose(p, c)
	k.greet(c)
	k.agree.bootstrapFromSeeds()
	k.relinked()
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

// greet tells a keeper what it may lack.
func (k *Keeper) greet(c *link.Conn) {
	if list := k.table.Entries(k.since(time.Now()), -1); len(list) > 0 {
		k.sendEntries(c, list, nil)
	}
	for _, body := range k.agree.newest() {
		_ = c.Send(control.Learn, body)
	}
	_ = c.Send(control.Attached, k.attachedBody())
	_ = c.Send(control.Report, encodeReport(k.report()))
}

// parted forgets a link to a keeper. Another one to the same life takes its place.
func (k *Keeper) parted(c *link.Conn) {
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
	p.report = control.KeeperReport{}
	for other, l := range k.conns {
		if l.peer == p && l.life == p.node.Life {
			p.conn = other
		}
	}
	if p.conn != nil {
		k.greet(p.conn)
	} else {
		p.lost = time.Now()
		k.log.Info("keeper lost", "keeper", p.node.Name)
	}
	k.relinked()
}

// sendEntries tells a keeper of entries; then is called by the owner once it has them, or never will.
func (k *Keeper) sendEntries(c *link.Conn, list []registry.Entry, then func(error)) {
	w := link.Writer{}
	w.U32(uint32(len(list)))
	for i := range list {
		registry.AppendEntry(&w, &list[i])
	}
	ch := c.Go(control.Entries, w.B)
	if then != nil {
		go func() { r := <-ch; k.do(func() { then(r.Err) }) }()
	}
}

// tellEntries tells all other keepers of changes. The waiter counts those that have yet to answer.
func (k *Keeper) tellEntries(list []registry.Entry, wait *waiter) {
	for _, p := range k.peers {
		if p.conn != nil {
			wait.peers++
			k.tellPeer(p, list, wait)
		}
	}
}

// tellPeer tells one of them, again where its link broke and another one is there.
func (k *Keeper) tellPeer(p *peer, list []registry.Entry, wait *waiter) {
	conn := p.conn
	var told func(err error)
	told = func(err error) {
		if errors.Is(err, link.ErrClosed) && p.conn != nil && time.Now().Before(wait.until) {
			if p.conn != conn {
				k.tellPeer(p, list, wait)
			} else { // the end of the link is not known here yet
				time.AfterFunc(closedWait, func() { k.do(func() { told(err) }) })
			}
			return
		}
		if wait.peers--; wait.peers == 0 {
			k.wakeWaiters(time.Now())
		}
	}
	k.sendEntries(conn, list, told)
}

func (k *Keeper) attachedBody() []byte {
	w := link.Writer{}
	nodes := make([]control.Node, 0, len(k.attached))
	for _, p := range k.attached {
		nodes = append(nodes, p.node)
	}
	control.AppendNodes(&w, nodes)
	return w.B
}

func (k *Keeper) tellAttached() {
	body := k.attachedBody()
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(control.Attached, body)
		}
	}
}

func (k *Keeper) tellHeard(now time.Time) {
	heard := k.table.Heard(k.since(now), true)
	w := link.Writer{}
	w.U32(uint32(len(heard)))
	for i := range heard {
		registry.AppendHeard(&w, &heard[i])
	}
	for _, sum := range k.digests() {
		w.U64(sum)
	}
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(control.Heard, w.B)
		}
	}
	k.sendReports()
}

func (k *Keeper) heard(now time.Time, m *link.Message) {
	r := link.Reader{B: m.Body}
	var list []registry.Heard
	for range r.Count(9) {
		h, err := registry.ReadHeard(&r)
		if err != nil {
			return
		}
		list = append(list, h)
	}
	var sums [registry.Parts]uint64
	for i := range sums {
		sums[i] = r.U64()
	}
	if r.Err != nil {
		return
	}
	changed, missing := k.table.MergeHeard(k.since(now), list)
	if len(changed) > 0 {
		k.dirty = true
	}
	if len(missing) > 0 || k.differs(now, m.Conn, sums) {
		_ = m.Conn.Send(control.Missing, nil)
	}
}

// differs tells whether a keeper's list has differed for longer than a change is under way, so that it should be
// asked for its entries: words of it may have been lost, and who told it may be dead.
func (k *Keeper) differs(now time.Time, c *link.Conn, sums [registry.Parts]uint64) bool {
	l := k.conns[c]
	if l == nil {
		return false
	}
	if sums == k.digests() {
		l.peer.differs = 0
		return false
	}
	if l.peer.differs++; l.peer.differs < differsTwice || now.Sub(l.peer.asked) < askAgain {
		return false
	}
	l.peer.differs, l.peer.asked = 0, now
	return true
}

// digests are the list's, as of its change with that number.
type digests struct {
	number uint64
	sums   [registry.Parts]uint64
}

func (k *Keeper) digests() [registry.Parts]uint64 {
	if n := k.table.Newest(); n != k.sums.number {
		k.sums = digests{n, k.table.Digests()}
	}
	return k.sums.sums
}

// keeperNodes are this keeper and those that are connected and not leaving, by name.
func (k *Keeper) keeperNodes() []control.Node {
	nodes := []control.Node{k.self}
	for _, p := range k.peers {
		if p.conn != nil && !p.report.Leaving {
			nodes = append(nodes, p.node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}
