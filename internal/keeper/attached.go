package keeper

import (
	"time"

	"wingmount/internal/control"
	"wingmount/internal/link"
	"wingmount/internal/registry"
	"wingmount/internal/view"
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
	keepers      string
	marks        []mark // pushes that are not acknowledged, oldest first
}

// mark is what is in force once a push is acknowledged.
type mark struct{ number, version, change, table, certificates uint64 }

// inForce is what a process has acknowledged.
func (p *attachedProcess) inForce() mark {
	m := mark{number: p.acked}
	for _, x := range p.marks {
		if x.number <= p.acked {
			m = x
		}
	}
	return m
}

func (p *attachedProcess) prune() {
	for len(p.marks) > 1 && p.marks[1].number <= p.acked {
		p.marks = p.marks[1:]
	}
}

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
	if node.Role == control.RoleKeeper {
		if node.Name == k.self.Name {
			m.Fail("that is this keeper itself")
			return
		}
		m.Reply(w.B)
		k.meeting(m.Conn, node)
		return
	}
	if len(k.attached) >= attachedMost {
		m.Fail("%d processes are attached: go to another keeper", len(k.attached))
		return
	}
	m.Reply(w.B)
	k.attached[m.Conn] = &attachedProcess{node: node, conn: m.Conn, endpoints: endpoints}
	k.log.Info("attached", "node", node.Name, "role", node.Role, "zone", node.Zone)
	k.recount()
	k.tellAttached()
	k.dirty = true
}

// behind tells whether a process lacks something that it could be pushed.
func (p *attachedProcess) behind(k *Keeper) bool {
	if !k.fresh {
		return false
	}
	return !p.whole || p.version < k.config.version || p.certificates < k.certificates.version || k.parts != nil && p.table < k.parts.Number || p.senders != k.senders ||
		p.endpoints && (p.change < k.table.Newest() || p.listed != k.table.Listening(k.since(time.Now()))) || p.keepers != k.keepersKey()
}

// pushAll tells every attached process what it lacks.
func (k *Keeper) pushAll() {
	k.dirty = false
	if !k.fresh {
		return
	}
	now := time.Now()
	for _, p := range k.attached {
		if !p.behind(k) {
			continue
		}
		u := control.Update{Listed: k.table.Listening(k.since(now)), Senders: k.senders}
		if p.version < k.config.version {
			u.Config, u.Version = k.config.raw, k.config.version
		}
		u.CertificatesVersion = k.certificates.version
		if p.certificates < k.certificates.version {
			u.Certificates = k.certificates.raw
		}
		if k.parts != nil && p.table < k.parts.Number {
			u.Table = k.parts
		}
		if key := k.keepersKey(); p.keepers != key {
			u.Keepers, p.keepers = k.keeperNodes(), key
		}
		if p.endpoints {
			entries, to, whole := k.table.Changes(k.since(now), p.change)
			u.Entries, u.Whole, p.change = entries, whole, to
		} else if !p.whole {
			u.Whole = true
		}
		p.pushed++
		u.Number = p.pushed
		p.whole, p.listed, p.senders = true, u.Listed, k.senders
		p.version, p.certificates = k.config.version, k.certificates.version
		if k.parts != nil {
			p.table = k.parts.Number
		}
		p.marks = append(p.marks, mark{u.Number, p.version, p.change, p.table, p.certificates})
		p.prune()
		_ = p.conn.Send(control.Push, u.Encode()) // a broken link is found by its own probes
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

// wait calls back once all attached processes have acknowledged a state of the list or of the
// configuration, or the time is over.
func (k *Keeper) wait(w *waiter) {
	w.until = time.Now().Add(pushWait)
	k.waiting = append(k.waiting, w)
	if k.dirty {
		k.pushAll()
	}
	k.wakeWaiters(time.Now())
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
	if len(k.table.Merge(k.since(now), list)) == 0 {
		m.Reply(nil)
		return
	}
	k.dirty = true
	w := &waiter{change: k.table.Newest(), done: make(chan struct{})}
	k.wait(w)
	if m.Wants() {
		go func() { <-w.done; m.Reply(nil) }()
	}
}
