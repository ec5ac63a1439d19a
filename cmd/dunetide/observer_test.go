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

// versions are numbers of documents of the two registers that operators change.
type versions struct{ config, certificates uint64 }

// observer is a process that is attached to one keeper alone, again whenever the link has ended, as on a machine that stands still
// for a second. It acknowledges all, and takes note of what breaks the page on control: a push that goes back, a first one that is
// older than what was confirmed before, one of registers without contact.
type observer struct {
	address string
	self    controlclient.Node
	floorOf func() versions // what is confirmed by now
	stopped atomic.Bool

	mu       sync.Mutex
	conn     *link.Conn
	attached int // how often
	// keeper is the other side, and helloInContact what it said of contact in its first reply to Hello.
	keeper         controlclient.Node
	helloInContact bool
	floor          versions // confirmed before it attached
	seen           versions
	table          uint64
	inContact      bool
	pushes         int
	keepers        int
	states         map[string]snapshot.State
	violation      string // the first
}

func (o *observer) Message(m *link.Message) {
	if m.Kind != controlclient.KindUpdate {
		return
	}
	update, err := controlclient.ReadUpdate(m.Body)
	if err != nil {
		o.mu.Lock()
		o.violates("a push can't be read: %v", err)
		o.mu.Unlock()
		return
	}
	o.take(update)
	w := link.Writer{}
	w.U64(update.Sequence)
	_ = m.Conn.Send(controlclient.KindAck, w.Buf)
}

// Closed attaches it again.
func (o *observer) Closed(*link.Conn) {
	go func() {
		for !o.stopped.Load() && o.attach() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// attach attaches it once. What it was pushed before counts no more, as the keeper begins anew.
func (o *observer) attach() error {
	floor := o.floorOf()
	o.mu.Lock()
	o.floor, o.seen, o.table = floor, versions{}, 0
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	// A link that ends before it is adopted below must not attach it twice.
	handler := &adopted{observer: o}
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

// adopted hands the end of a link on to its observer once the link is the observer's own.
type adopted struct {
	*observer
	mu     sync.Mutex
	own    bool
	closed bool
}

func (a *adopted) adopt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own = true
	if a.closed {
		a.observer.Closed(nil)
	}
}

// Closed is called at the end of the link.
func (a *adopted) Closed(c *link.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.own {
		a.observer.Closed(c)
	}
}

// stop ends it.
func (o *observer) stop() {
	o.stopped.Store(true)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil {
		o.conn.Close()
	}
}

// stayed tells whether it has been attached without a break.
func (o *observer) stayed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.attached == 1
}

func (o *observer) violates(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("%s, floor %+v, has %+v: ", o.self.Name, o.floor, o.seen) + fmt.Sprintf(format, args...)
	}
}

func (o *observer) take(u *controlclient.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pushes++
	if u.InContact {
		o.takeRegisters(u)
	} else if u.ConfigVersion != 0 || u.Config != nil || u.Table != nil || u.Certificates != nil || u.CertificatesVersion > o.seen.certificates {
		o.violates("registers are pushed without contact: version %d, certificates %d", u.ConfigVersion, u.CertificatesVersion)
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

func (o *observer) takeRegisters(u *controlclient.Update) {
	if u.Config != nil {
		if u.ConfigVersion <= o.seen.config {
			o.violates("configuration %d is pushed", u.ConfigVersion)
		}
		o.seen.config = u.ConfigVersion
	}
	if u.CertificatesVersion < o.seen.certificates {
		o.violates("certificates %d are pushed", u.CertificatesVersion)
	}
	o.seen.certificates = u.CertificatesVersion
	if u.Table != nil {
		if u.Table.Version <= o.table {
			o.violates("table %d is pushed, after %d", u.Table.Version, o.table)
		}
		o.table = u.Table.Version
	}
	if o.seen.config < o.floor.config || o.seen.certificates < o.floor.certificates {
		o.violates("something older is handed out")
	}
}

// now is what it has been pushed so far.
func (o *observer) now() (seen versions, inContact bool, keepers int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen, o.inContact, o.keepers
}

// state of an endpoint; Gone where none was told of.
func (o *observer) state(id string) snapshot.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, there := o.states[id]; there {
		return s
	}
	return snapshot.Removed
}

func (o *observer) failed() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violation
}

// call calls the keeper, again where the link has ended.
func (o *observer) call(kind link.Kind, body []byte) (reply []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
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

// attach attaches a process to a keeper, as a proxy or, with an identity, as a store.
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

// nodeOf is a keeper as it says itself who it is.
func (k *keeperProcesses) nodeOf(i int) controlclient.Node {
	k.t.Helper()
	o := k.attach(i, "asks", 0, func() versions { return versions{} })
	o.stop()
	return o.keeper
}

// askLeaseAs asks a keeper for a lease in the name of another one, over a link like that of a later life of it.
func (k *keeperProcesses) askLeaseAs(node controlclient.Node, i int) (granted []byte, err error) {
	k.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	conn, err := link.Dial(ctx, k.links(i), ignored{}, link.DefaultOptions)
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

// ignored takes no notice of what comes over a link.
type ignored struct{}

func (ignored) Message(*link.Message) {}
func (ignored) Closed(*link.Conn)     {}

// leaseRequest asks for the lease of a duty that nobody does, so that none but the keeper's own reasons refuse it.
func leaseRequest(holder string) []byte {
	w := link.Writer{}
	w.String("observed")
	w.String(holder)
	w.Bool(false)
	return w.Buf
}

// checkObservers fails for each observer that saw what must not be.
func checkObservers(t *testing.T, observers []*observer) {
	t.Helper()
	for _, o := range observers {
		if violation := o.failed(); violation != "" {
			t.Error(violation)
		}
	}
}
