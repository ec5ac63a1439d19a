package keeper

import (
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// maxAttached bounds the processes attached to one keeper.
const maxAttached = 1024

// attachedProcess is a proxy or a store that is attached to this keeper, with the state of its pushes.
type attachedProcess struct {
	node           controlclient.Node
	conn           *link.Conn
	wantsEndpoints bool // whether it is pushed the endpoint list

	pushedNumber uint64     // of the last push
	ackedNumber  uint64     // of the last acknowledged push
	pushMarks    []pushMark // the state in force at the process, followed by the unacknowledged pushes, oldest first

	// The state of the process after the last push.

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

// encodeHelloReply encodes this keeper's node, whether it has a disk, and whether it is in contact with a majority.
func (k *Keeper) encodeHelloReply() []byte {
	w := link.Writer{}
	k.self.Append(&w)
	w.Bool(k.registers.id != 0)
	w.Bool(k.contact.InContact(k.sinceStart(time.Now())))
	return w.Buf
}

// attach attaches a process and replaces its older attachment, if there is one.
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
	k.log.Info("process attached", "node", node.Name, "role", node.Role, "zone", node.Zone)
	k.attachmentsChanged()
	k.pushNeeded = true
}

// closeOlderAttachments ends the other attachments of a process: their links broke without this side noticing, or the
// process has restarted.
func (k *Keeper) closeOlderAttachments(node controlclient.Node, newest *link.Conn) {
	for conn, process := range k.attached {
		if process.node.Name == node.Name && process.node.Role == node.Role && conn != newest {
			k.detach(conn)
			conn.Close()
		}
	}
}

// dropAttached removes the process whose link has ended.
func (k *Keeper) dropAttached(conn *link.Conn) {
	process := k.attached[conn]
	if process == nil {
		return
	}
	k.detach(conn)
	k.log.Info("process detached", "node", process.node.Name, "role", process.node.Role)
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

// broadcastAttached sends the list of attached processes to all other keepers.
func (k *Keeper) broadcastAttached() {
	body := k.encodeAttached()
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.KindAttached, body) // if the link has ended, its replacement is sent the list
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

// handleAttached stores the list of processes that are attached to another keeper.
func (k *Keeper) handleAttached(m *link.Message) {
	r := link.Reader{Buf: m.Body}
	nodes := controlclient.ReadNodes(&r)
	if r.Err != nil {
		return
	}
	l := k.peerLinks[m.Conn]
	if l == nil {
		m.Conn.Tag.Store(nodes) // the keeper at the other end isn't known yet, see adoptLink
		return
	}
	l.peer.attached = nodes
	k.countProxies()
}

// eachAttached calls visit with each process that is attached to this keeper or to a connected one. A process that is
// attached to two keepers is visited twice.
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

// countProxies counts the proxies attached to any keeper. Quotas and endpoints' capacities are divided among them.
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

// attachedStores returns the stores that are attached to any keeper, keyed by the identity of their disk.
func (k *Keeper) attachedStores() map[uint64]snapshot.Store {
	stores := map[uint64]snapshot.Store{}
	k.eachAttached(func(node controlclient.Node) {
		if node.Role == controlclient.RoleStore && node.ID != 0 {
			stores[node.ID] = snapshot.Store{ID: node.ID, Name: node.Name, Addr: node.Addr, Zone: node.Zone}
		}
	})
	return stores
}
