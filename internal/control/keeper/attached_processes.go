package keeper

import (
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// maxAttached bounds the processes attached to one keeper.
const maxAttached = 1024

// attachedProcess is a proxy or a store that is attached to this keeper, and what it was pushed.
type attachedProcess struct {
	node           controlclient.Node
	conn           *link.Conn
	wantsEndpoints bool // it is pushed the endpoint list

	pushedNumber uint64     // of the last push
	ackedNumber  uint64     // of the last push that it has acknowledged
	pushMarks    []pushMark // what is in force there, and then each unacknowledged push, oldest first

	// What it has once it has received the last push.

	fullListSent        bool
	listComplete        bool
	listRevision        uint64
	configVersion       uint64
	certificatesVersion uint64
	tableNumber         uint64
	proxyCount          int
	keepersRevision     uint64
	inContact           bool
}

// handleHello attaches a process, or adopts the link of another keeper.
func (k *Keeper) handleHello(m *link.Message) {
	r := link.Reader{Buf: m.Body}
	node, wantsEndpoints := controlclient.ReadNode(&r), r.Bool()
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	if node.Role != controlclient.RoleKeeper {
		k.attach(m, node, wantsEndpoints)
		return
	}
	if node.Name == k.self.Name {
		m.Fail("that is this keeper itself")
		return
	}
	m.Reply(k.encodeHelloReply())
	k.adoptLink(m.Conn, node, false)
}

// encodeHelloReply encodes this keeper, whether it has a disk, and whether it is in contact with a majority.
func (k *Keeper) encodeHelloReply() []byte {
	w := link.Writer{}
	k.self.Append(&w)
	w.Bool(k.registers.id != 0)
	w.Bool(k.contact.InContact(k.sinceStart(time.Now())))
	return w.Buf
}

// attach attaches a process in place of its older attachment, if there is one.
func (k *Keeper) attach(m *link.Message, node controlclient.Node, wantsEndpoints bool) {
	reply := k.encodeHelloReply()
	if k.shuttingDown {
		m.Fail("this keeper ends: go to another keeper")
		return
	}
	k.closeOlderAttachments(node, m.Conn)
	if len(k.attached) >= maxAttached {
		m.Fail("%d processes are attached: go to another keeper", len(k.attached))
		return
	}
	m.Reply(reply)
	k.attached[m.Conn] = &attachedProcess{node: node, conn: m.Conn, wantsEndpoints: wantsEndpoints}
	k.contact.Attach(m.Conn)
	k.log.Info("attached", "node", node.Name, "role", node.Role, "zone", node.Zone)
	k.attachmentsChanged()
	k.pushNeeded = true
}

// closeOlderAttachments ends the other attachments of a process: their links broke unnoticed by this side, or the
// process has started again.
func (k *Keeper) closeOlderAttachments(node controlclient.Node, newest *link.Conn) {
	for conn, process := range k.attached {
		if process.node.Name == node.Name && process.node.Role == node.Role && conn != newest {
			k.detach(conn)
			conn.Close()
		}
	}
}

// dropAttached forgets the process at the other end of a link that has ended.
func (k *Keeper) dropAttached(conn *link.Conn) {
	process := k.attached[conn]
	if process == nil {
		return
	}
	k.detach(conn)
	k.log.Info("detached", "node", process.node.Name, "role", process.node.Role)
	k.attachmentsChanged()
}

func (k *Keeper) detach(conn *link.Conn) {
	delete(k.attached, conn)
	k.contact.Detach(conn)
}

// attachmentsChanged is called after each change of the attached processes.
func (k *Keeper) attachmentsChanged() {
	k.countProxies()
	k.broadcastAttached()
	k.completeWaiters(time.Now())
}

// broadcastAttached sends the attached processes to all other keepers.
func (k *Keeper) broadcastAttached() {
	body := k.encodeAttached()
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.KindAttached, body) // a link that has ended is sent them when it is replaced
		}
	}
}

func (k *Keeper) encodeAttached() []byte {
	nodes := make([]controlclient.Node, 0, len(k.attached))
	for _, process := range k.attached {
		nodes = append(nodes, process.node)
	}
	w := link.Writer{}
	controlclient.AppendNodes(&w, nodes)
	return w.Buf
}

// handleAttached takes the processes that are attached to another keeper.
func (k *Keeper) handleAttached(m *link.Message) {
	r := link.Reader{Buf: m.Body}
	nodes := controlclient.ReadNodes(&r)
	if r.Err != nil {
		return
	}
	l := k.peerLinks[m.Conn]
	if l == nil {
		m.Conn.Tag.Store(nodes) // until the keeper at the other end is known, see adoptLink
		return
	}
	l.peer.attached = nodes
	k.countProxies()
}

// eachAttached calls visit with each process that is attached to this keeper or to one that is connected. A process
// that is attached to two keepers is visited twice.
func (k *Keeper) eachAttached(visit func(controlclient.Node)) {
	for _, process := range k.attached {
		visit(process.node)
	}
	for _, p := range k.peers {
		if p.conn == nil {
			continue
		}
		for _, node := range p.attached {
			visit(node)
		}
	}
}

// countProxies counts the proxies that are attached to any keeper: they share quotas and endpoints' capacities.
func (k *Keeper) countProxies() {
	names := map[string]bool{}
	k.eachAttached(func(node controlclient.Node) {
		if node.Role == controlclient.RoleProxy {
			names[node.Name] = true
		}
	})
	if count := max(len(names), 1); count != k.proxyCount {
		k.proxyCount = count
		k.pushNeeded = true
	}
}

// attachedStores returns the stores that are attached to any keeper, by the identities of their disks.
func (k *Keeper) attachedStores() map[uint64]snapshot.Store {
	stores := map[uint64]snapshot.Store{}
	k.eachAttached(func(node controlclient.Node) {
		if node.Role == controlclient.RoleStore && node.ID != 0 {
			stores[node.ID] = snapshot.Store{ID: node.ID, Name: node.Name, Addr: node.Addr, Zone: node.Zone}
		}
	})
	return stores
}
