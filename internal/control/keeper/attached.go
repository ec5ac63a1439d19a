package keeper

import (
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// attachedMost bounds the processes attached to one keeper.
const attachedMost = 1024

// attachedProcess is a proxy or a store, and what it was pushed.
type attachedProcess struct {
	node      controlclient.Node
	conn      *link.Conn
	endpoints bool // it wants the list

	pushed  uint64 // number of the last push
	acked   uint64
	whole   bool
	listed  bool
	change  uint64 // of the list of endpoints
	version uint64
	table   uint64
	// certificates is the version that was pushed.
	certificates uint64
	senders      int
	keepers      uint64 // Keeper.keepersChange
	inContact    bool   // as it was told last
	marks        []mark // what is in force, and pushes that are not acknowledged, oldest first
}

func (k *Keeper) hello(m *link.Message) {
	r := link.Reader{B: m.Body}
	node := controlclient.ReadNode(&r)
	endpoints := r.Bool()
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	w := link.Writer{}
	k.self.Append(&w)
	w.Bool(k.agree.id != 0)
	w.Bool(k.contact.Holds(k.since(time.Now())))
	if node.Role == controlclient.RoleKeeper {
		if node.Name == k.self.Name {
			m.Fail("that is this keeper itself")
			return
		}
		m.Reply(w.B)
		k.adoptLink(m.Conn, node, false)
		return
	}
	if k.leaving {
		m.Fail("this keeper ends: go to another keeper")
		return
	}
	// Its link broke and this side has not seen it yet, or it has started again.
	for c, p := range k.attached {
		if p.node.Name == node.Name && p.node.Role == node.Role && c != m.Conn {
			k.detach(c)
			c.Close()
		}
	}
	if len(k.attached) >= attachedMost {
		m.Fail("%d processes are attached: go to another keeper", len(k.attached))
		return
	}
	m.Reply(w.B)
	k.attached[m.Conn] = &attachedProcess{node: node, conn: m.Conn, endpoints: endpoints}
	k.contact.Attach(m.Conn)
	k.log.Info("attached", "node", node.Name, "role", node.Role, "zone", node.Zone)
	k.recount()
	k.tellAttached()
	k.wakeWaiters(time.Now())
	k.dirty = true
}

// detach forgets an attached process.
func (k *Keeper) detach(c *link.Conn) {
	delete(k.attached, c)
	k.contact.Detach(c)
}

// recount counts the proxies over all keepers.
func (k *Keeper) recount() {
	names := map[string]bool{}
	count := func(n controlclient.Node) {
		if n.Role == controlclient.RoleProxy {
			names[n.Name] = true
		}
	}
	for _, p := range k.attached {
		count(p.node)
	}
	for _, p := range k.peers {
		if p.conn != nil {
			for _, n := range p.attached {
				count(n)
			}
		}
	}
	if n := max(len(names), 1); n != k.senders {
		k.senders = n
		k.dirty = true
	}
}

// stores are those attached to any keeper that is connected.
func (k *Keeper) stores() map[uint64]snapshot.Store {
	all := map[uint64]snapshot.Store{}
	add := func(n controlclient.Node) {
		if n.Role == controlclient.RoleStore && n.ID != 0 {
			all[n.ID] = snapshot.Store{ID: n.ID, Name: n.Name, Addr: n.Addr, Zone: n.Zone}
		}
	}
	for _, p := range k.attached {
		add(p.node)
	}
	for _, p := range k.peers {
		if p.conn != nil {
			for _, n := range p.attached {
				add(n)
			}
		}
	}
	return all
}
