package keeper

import (
	"context"
	"sort"
	"strings"
	"time"

	"wingmount/internal/control"
	"wingmount/internal/link"
	"wingmount/internal/registry"
)

const (
	peersMost = 64
	// redial is how long a keeper that can't be reached is left alone.
	redial = 300 * time.Millisecond
	// forgetPeer is how long a keeper that is not met is remembered.
	forgetPeer = 10 * time.Minute
)

// peer is another keeper.
type peer struct {
	node     control.Node
	conn     *link.Conn // nil: not met at present
	since    time.Time
	lost     time.Time
	attached []control.Node
}

// meet dials the keepers that are known and not met. Of two, the one with the smaller name dials,
// the other only if it has not been dialled for a while.
func (k *Keeper) meet(now time.Time) {
	addrs := map[string]bool{}
	for _, s := range control.SeedLinks(k.o.Settings.Seeds, k.o.Settings.InternalFirst) {
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
	k.do(func() { k.meeting(conn, node) })
}

// meeting adopts a link to another keeper. Of two between the same lives both serve; the newest is used.
func (k *Keeper) meeting(c *link.Conn, node control.Node) {
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
	if node.Life < p.node.Life {
		c.Close()
		return
	}
	if p.conn == nil || p.node.Life != node.Life {
		p.since = time.Now()
		k.log.Info("keeper met", "keeper", node.Name, "zone", node.Zone)
	}
	if p.node.Life < node.Life {
		p.attached = nil
		for other, q := range k.conns {
			if q == p && other != c {
				other.Close()
			}
		}
	}
	p.node, p.conn = node, c
	k.conns[c] = p
	if nodes, ok := c.Tag.Load().([]control.Node); ok {
		p.attached = nodes
	}
	// What it may lack.
	if list := k.table.Entries(k.since(time.Now()), -1); len(list) > 0 {
		k.sendEntries(c, list, nil)
	}
	for _, body := range k.agree.newest() {
		_ = c.Send(control.Learn, body)
	}
	_ = c.Send(control.Attached, k.attachedBody())
	k.agree.met()
	k.recount()
	k.dirty = true
}

// sendEntries tells a keeper of entries; then is called by the owner once it has them, or never will.
func (k *Keeper) sendEntries(c *link.Conn, list []registry.Entry, then func()) {
	w := link.Writer{}
	w.U32(uint32(len(list)))
	for i := range list {
		registry.AppendEntry(&w, &list[i])
	}
	ch := c.Go(control.Entries, w.B)
	if then != nil {
		go func() { <-ch; k.do(then) }()
	}
}

// tellEntries tells all other keepers of changes. The waiter counts those that have yet to answer.
func (k *Keeper) tellEntries(list []registry.Entry, wait *waiter) {
	for _, p := range k.peers {
		if p.conn == nil {
			continue
		}
		wait.peers++
		k.sendEntries(p.conn, list, func() {
			wait.peers--
			if wait.peers == 0 {
				k.wakeWaiters(time.Now())
			}
		})
	}
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
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(control.Heard, w.B)
		}
	}
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
	if r.Err != nil {
		return
	}
	changed, missing := k.table.MergeHeard(k.since(now), list)
	if len(changed) > 0 {
		k.dirty = true
	}
	if len(missing) > 0 {
		_ = m.Conn.Send(control.Missing, nil)
	}
}

// keeperNodes are this keeper and those that are met, by name.
func (k *Keeper) keeperNodes() []control.Node {
	nodes := []control.Node{k.self}
	for _, p := range k.peers {
		if p.conn != nil {
			nodes = append(nodes, p.node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

func (k *Keeper) keepersKey() string {
	var b strings.Builder
	for _, n := range k.keeperNodes() {
		b.WriteString(n.Name)
		b.WriteByte(0)
	}
	return b.String()
}
