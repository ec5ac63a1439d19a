package keeper

import (
	"time"

	"dunetide/internal/control"
	"dunetide/internal/link"
	"dunetide/internal/registry"
	"dunetide/internal/view"
)

// attachedMost bounds the processes attached to one keeper.
const attachedMost = 1024

// attachedProcess is a proxy or a store, and what it was pushed.
type attachedProcess struct {
	node      control.Node
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

// mark is what is in force once a push is acknowledged.
type mark struct{ number, version, change, table, certificates uint64 }

// unackedMost is how many pushes a process may have yet to acknowledge; what changes meanwhile goes out in one.
const unackedMost = 64

// inForce is what a process has acknowledged.
func (p *attachedProcess) inForce() mark {
	if len(p.marks) > 0 && p.marks[0].number <= p.acked {
		return p.marks[0]
	}
	return mark{}
}

// ack takes an acknowledgement in, and tells whether the process may be pushed to again.
func (p *attachedProcess) ack(number uint64) (again bool) {
	full := p.full()
	p.acked = min(max(p.acked, number), p.pushed)
	for len(p.marks) > 1 && p.marks[1].number <= p.acked {
		p.marks = p.marks[1:]
	}
	return full && !p.full()
}

func (p *attachedProcess) full() bool { return p.pushed-p.acked >= unackedMost }

func (k *Keeper) hello(m *link.Message) {
	r := link.Reader{B: m.Body}
	node := control.ReadNode(&r)
	endpoints := r.Bool()
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	w := link.Writer{}
	k.self.Append(&w)
	w.Bool(k.agree.id != 0)
	w.Bool(k.contact.MayServe(k.since(time.Now())))
	if node.Role == control.RoleKeeper {
		if node.Name == k.self.Name {
			m.Fail("that is this keeper itself")
			return
		}
		m.Reply(w.B)
		k.meeting(m.Conn, node, false)
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

// contactBody tells whether this keeper is in contact, for processes that look for one that is.
func (k *Keeper) contactBody() []byte {
	w := link.Writer{}
	w.Bool(k.contact.MayServe(k.since(time.Now())))
	return w.B
}

// state is what pushes carry on from.
type state struct {
	whole, listed, endpoints bool
	inContact                bool
	change, version, table   uint64
	certificates             uint64
	senders                  int
	keepers                  uint64
}

func (p *attachedProcess) state() state {
	return state{p.whole, p.listed, p.endpoints, p.inContact, p.change, p.version, p.table, p.certificates, p.senders, p.keepers}
}

// behind tells whether a process lacks something. Without contact, nothing that the registers hold counts.
func (p *attachedProcess) behind(k *Keeper, inContact bool) bool {
	if !p.whole || p.inContact != inContact || p.senders != k.senders || p.keepers != k.keepersChange {
		return true
	}
	if p.endpoints && (p.change < k.table.Newest() || p.listed != k.pushedListening) {
		return true
	}
	return inContact && p.behindRegisters(k)
}

func (p *attachedProcess) behindRegisters(k *Keeper) bool {
	return p.version < k.config.version || p.certificates < k.certificates.version || k.parts != nil && p.table < k.parts.Number
}

// pushAll tells every attached process what it lacks. With contact, one that has just attached is told nothing before
// a majority has confirmed the registers for it; without contact, all are told of endpoints alone.
func (k *Keeper) pushAll() {
	k.dirty = false
	now := time.Now()
	inContact := k.contact.MayServe(k.since(now))
	k.pushedListening, k.pushedChange = k.table.Listening(k.since(now)), k.table.Newest()
	made := map[state]pushMessage{} // most lack the same
	for c, p := range k.attached {
		if inContact && !k.contact.MayHandOut(k.since(now), c) {
			continue
		}
		if !p.behind(k, inContact) || p.full() {
			continue
		}
		m, there := made[p.state()]
		if !there {
			u, change := k.update(p, now, inContact)
			m = pushMessage{u.Encode(), change}
			made[p.state()] = m
		}
		k.push(p, m, inContact)
	}
}

// pushMessage is an update as it is sent, and the change of the list that a process then has.
type pushMessage struct {
	body   []byte
	change uint64
}

// push sends an update to a process, and takes note of what it then has.
func (k *Keeper) push(p *attachedProcess, m pushMessage, inContact bool) {
	p.pushed++
	control.Renumber(m.body, p.pushed)
	p.whole, p.inContact, p.listed, p.senders, p.keepers = true, inContact, k.pushedListening, k.senders, k.keepersChange
	p.change = m.change
	if inContact {
		p.version, p.certificates = k.config.version, k.certificates.version
		if k.parts != nil {
			p.table = k.parts.Number
		}
	}
	p.marks = append(p.marks, mark{p.pushed, p.version, p.change, p.table, p.certificates})
	if err := p.conn.Send(control.Push, m.body); err != nil {
		k.log.Warn("push not sent", "node", p.node.Name, "err", err)
		p.conn.Close() // it attaches anew, and is told all
	}
}

// update is what a process lacks, and the change of the list that it then has.
func (k *Keeper) update(p *attachedProcess, now time.Time, inContact bool) (u *control.Update, change uint64) {
	u = &control.Update{InContact: inContact, Listed: k.pushedListening, Senders: k.senders, CertificatesVersion: p.certificates}
	if inContact {
		k.addRegisters(u, p)
	}
	if p.keepers != k.keepersChange {
		u.Keepers = k.keeperNodes()
	}
	if p.endpoints {
		u.Entries, change, u.Whole = k.table.Changes(k.since(now), p.change)
	} else {
		u.Whole = !p.whole
	}
	return u, change
}

// addRegisters puts what a process lacks of the registers into an update.
func (k *Keeper) addRegisters(u *control.Update, p *attachedProcess) {
	u.CertificatesVersion = k.certificates.version
	if p.certificates < k.certificates.version {
		u.Certificates = k.certificates.raw
	}
	if p.version < k.config.version {
		u.Config, u.Version = k.config.raw, k.config.version
	}
	if k.parts != nil && p.table < k.parts.Number {
		u.Table = k.parts
	}
}

// waiter is an answer that waits until pushes are acknowledged.
type waiter struct {
	until  time.Time
	change uint64
	config uint64
	// certificates is their version.
	certificates uint64
	peers        int // keepers that have yet to say that they have it
	done         chan struct{}
}

// wait ends a waiter once all attached processes have acknowledged a state of the list or of the configuration, or
// the time is over. What they lack is pushed before the owner waits for its next command.
func (k *Keeper) wait(w *waiter) {
	w.until = time.Now().Add(k.o.PushWait)
	if w.peers == 0 && k.inForceAt(w) {
		close(w.done)
		return
	}
	k.waiting = append(k.waiting, w)
}

func (k *Keeper) wakeWaiters(now time.Time) {
	left := k.waiting[:0]
	for _, w := range k.waiting {
		if now.Before(w.until) && (w.peers > 0 || !k.inForceAt(w)) {
			left = append(left, w)
			continue
		}
		close(w.done)
	}
	clear(k.waiting[len(left):])
	k.waiting = left
}

func (k *Keeper) inForceAt(w *waiter) bool {
	for _, p := range k.attached {
		m := p.inForce()
		if m.version < w.config || m.certificates < w.certificates || p.endpoints && m.change < w.change {
			return false
		}
	}
	return true
}

// recount counts the proxies over all keepers.
func (k *Keeper) recount() {
	names := map[string]bool{}
	count := func(n control.Node) {
		if n.Role == control.RoleProxy {
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

// stores are those attached to any keeper that is met.
func (k *Keeper) stores() map[uint64]view.Store {
	all := map[uint64]view.Store{}
	add := func(n control.Node) {
		if n.Role == control.RoleStore && n.ID != 0 {
			all[n.ID] = view.Store{ID: n.ID, Name: n.Name, Addr: n.Addr, Zone: n.Zone}
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

func (k *Keeper) entries(now time.Time, m *link.Message) {
	r := link.Reader{B: m.Body}
	var list []registry.Entry
	for range r.Count(16) {
		e, err := registry.ReadEntry(&r)
		if err != nil {
			m.Fail("%v", err)
			return
		}
		list = append(list, e)
	}
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	if len(k.table.Merge(k.since(now), list)) > 0 {
		k.dirty = true
	}
	// What is known already may be on its way to the attached.
	w := &waiter{change: k.table.Newest(), done: make(chan struct{})}
	k.wait(w)
	select {
	case <-w.done:
		m.Reply(nil)
	default:
		go func() {
			select {
			case <-w.done:
				m.Reply(nil)
			case <-k.ended:
			}
		}()
	}
}
