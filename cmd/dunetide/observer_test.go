package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// versions are the document versions of the two registers that operators change.
type versions struct{ config, certificates uint64 }

// observer is a process that is attached to a single keeper and attaches again whenever the link has closed, as it does when the
// machine stalls for a second. It acknowledges all pushes and records violations of docs/control.md: a push of an older version, a
// first push that is older than what was confirmed before, a push of registers without contact.
type observer struct {
	address string
	self    controlclient.Node
	floorOf func() versions // the versions confirmed so far
	stopped atomic.Bool

	mu       sync.Mutex
	conn     *link.Conn
	attached int // number of times
	// keeper is the peer, and helloInContact the contact flag of its first reply to Hello.
	keeper         controlclient.Node
	helloInContact bool
	floor          versions // confirmed before the observer attached
	seen           versions
	table          uint64
	inContact      bool
	pushes         int
	keepers        int
	states         map[string]snapshot.State
	violation      string // the first one
}

func (o *observer) Message(m *link.Message) {
	if m.Kind != controlclient.KindUpdate {
		return
	}
	update, err := controlclient.ReadUpdate(m.Body)
	if err != nil {
		o.mu.Lock()
		o.recordViolation("can't decode a push: %v", err)
		o.mu.Unlock()
		return
	}
	o.handleUpdate(update)
	w := link.Writer{}
	w.U64(update.Sequence)
	_ = m.Conn.Send(controlclient.KindAck, w.Buf)
}

// Closed attaches the observer again.
func (o *observer) Closed(*link.Conn) {
	go func() {
		for !o.stopped.Load() && o.attach() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// attach attaches the observer once. It discards what was pushed before, as the keeper pushes everything again.
func (o *observer) attach() error {
	floor := o.floorOf()
	o.mu.Lock()
	o.floor, o.seen, o.table = floor, versions{}, 0
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// A link that closes before it is adopted below must not attach the observer twice.
	handler := &attachHandler{observer: o}
	conn, err := link.Dial(ctx, o.address, handler, link.DefaultOptions)
	if err != nil {
		return err
	}
	w := link.Writer{}
	o.self.Append(&w)
	w.Bool(true)
	b, err := conn.Call(ctx, controlclient.KindHello, w.Buf)
	r := link.Reader{Buf: b}
	keeper := controlclient.ReadNode(&r)
	r.Bool()
	inContact := r.Bool()
	if err = errors.Join(err, r.Err); err != nil {
		conn.Close()
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn, o.keeper = conn, keeper
	if o.attached++; o.attached == 1 {
		o.helloInContact = inContact
	}
	handler.adopt()
	return nil
}

// attachHandler passes the end of a link on to its observer once the observer has adopted the link.
type attachHandler struct {
	*observer
	mu     sync.Mutex
	own    bool
	closed bool
}

func (a *attachHandler) adopt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own = true
	if a.closed {
		a.observer.Closed(nil)
	}
}

// Closed is called at the end of the link.
func (a *attachHandler) Closed(c *link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.own {
		a.observer.Closed(c)
	}
}

// stop detaches the observer for good.
func (o *observer) stop() {
	o.stopped.Store(true)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil {
		o.conn.Close()
	}
}

// neverDetached reports whether the observer has been attached without interruption.
func (o *observer) neverDetached() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.attached == 1
}

func (o *observer) recordViolation(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("%s, floor %+v, has %+v: ", o.self.Name, o.floor, o.seen) + fmt.Sprintf(format, args...)
	}
}

func (o *observer) handleUpdate(u *controlclient.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pushes++
	if u.InContact {
		o.handleRegisters(u)
	} else if u.ConfigVersion != 0 || u.Config != nil || u.Table != nil || u.Certificates != nil || u.CertificatesVersion > o.seen.certificates {
		o.recordViolation("registers are pushed without contact: version %d, certificates %d", u.ConfigVersion, u.CertificatesVersion)
	}
	o.inContact = u.InContact
	if u.Keepers != nil {
		o.keepers = len(u.Keepers)
	}
	for i := range u.Entries {
		e := u.Entries[i].EffectiveEndpoint()
		o.states[e.ID] = e.State
	}
}

func (o *observer) handleRegisters(u *controlclient.Update) {
	if u.Config != nil {
		if u.ConfigVersion <= o.seen.config {
			o.recordViolation("configuration %d is pushed", u.ConfigVersion)
		}
		o.seen.config = u.ConfigVersion
	}
	if u.CertificatesVersion < o.seen.certificates {
		o.recordViolation("certificates %d are pushed", u.CertificatesVersion)
	}
	o.seen.certificates = u.CertificatesVersion
	if u.Table != nil {
		if u.Table.Version <= o.table {
			o.recordViolation("table %d is pushed, after %d", u.Table.Version, o.table)
		}
		o.table = u.Table.Version
	}
	if o.seen.config < o.floor.config || o.seen.certificates < o.floor.certificates {
		o.recordViolation("an older version than the floor is pushed")
	}
}

// received returns what has been pushed so far.
func (o *observer) received() (seen versions, inContact bool, keepers int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen, o.inContact, o.keepers
}

// state returns the state of an endpoint; snapshot.Removed if it was not pushed.
func (o *observer) state(id string) snapshot.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, there := o.states[id]; there {
		return s
	}
	return snapshot.Removed
}

func (o *observer) firstViolation() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violation
}

// call calls the keeper, again if the link has closed.
func (o *observer) call(kind link.Kind, body []byte) (reply []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for {
		o.mu.Lock()
		conn := o.conn
		o.mu.Unlock()
		if reply, err = conn.Call(ctx, kind, body); !errors.Is(err, link.ErrClosed) || ctx.Err() != nil || o.stopped.Load() {
			return reply, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// attach attaches a process to a keeper, as a proxy or, if store is not 0, as the store with that ID.
func (k *keeperProcesses) attach(i int, name string, store uint64, floorOf func() versions) *observer {
	k.t.Helper()
	o := &observer{address: k.links(i), floorOf: floorOf, states: map[string]snapshot.State{},
		self: controlclient.Node{Name: name, Role: controlclient.RoleProxy, Zone: "z", Incarnation: uint64(time.Now().UnixNano())}}
	if store != 0 {
		o.self.Role, o.self.ID, o.self.Addr = controlclient.RoleStore, store, fmt.Sprint("127.0.0.1:", store)
	}
	k.until(name+" is attached", func() bool { return o.attach() == nil })
	k.t.Cleanup(o.stop)
	return o
}

// keeperNode returns the node description that a keeper sends in its reply to Hello.
func (k *keeperProcesses) keeperNode(i int) controlclient.Node {
	k.t.Helper()
	o := k.attach(i, "asks", 0, func() versions { return versions{} })
	o.stop()
	return o.keeper
}

// requestLeaseAs requests a lease from a keeper in the name of another keeper, over a link like that of a later incarnation of it.
func (k *keeperProcesses) requestLeaseAs(node controlclient.Node, i int) (granted []byte, err error) {
	k.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, k.links(i), ignoringHandler{}, link.DefaultOptions)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	node.Incarnation++
	w := link.Writer{}
	node.Append(&w)
	w.Bool(false)
	if _, err := conn.Call(ctx, controlclient.KindHello, w.Buf); err != nil {
		return nil, err
	}
	return conn.Call(ctx, controlclient.KindLease, leaseRequest(node.Name))
}

// ignoringHandler ignores all messages of a link.
type ignoringHandler struct{}

func (ignoringHandler) Message(*link.Message) {}
func (ignoringHandler) Closed(*link.Conn)     {}

// leaseRequest requests the lease of a duty that no process holds, so that only the keeper's own state can refuse it.
func leaseRequest(holder string) []byte {
	w := link.Writer{}
	w.String("observed")
	w.String(holder)
	w.Bool(false)
	return w.Buf
}

// checkObservers fails for each observer that has recorded a violation.
func checkObservers(t *testing.T, observers []*observer) {
	t.Helper()
	for _, o := range observers {
		if violation := o.firstViolation(); violation != "" {
			t.Error(violation)
		}
	}
}
