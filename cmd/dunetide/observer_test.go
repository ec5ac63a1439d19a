package main

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control"
	"dunetide/internal/link"
	"dunetide/internal/view"
)

// versions are numbers of documents of the two registers that operators change.
type versions struct{ config, certificates uint64 }

// observer is a process that is attached to one keeper alone. It acknowledges all, and takes note of what breaks the page on
// control: a push that goes back, a first one that is older than what was confirmed before, one of registers without contact.
type observer struct {
	name   string
	floor  versions // confirmed before it attached
	conn   *link.Conn
	keeper control.Node
	// helloInContact is what the reply to Hello said of contact.
	helloInContact bool

	mu        sync.Mutex
	seen      versions
	table     uint64
	inContact bool
	pushes    int
	senders   int
	keepers   int
	states    map[string]view.State
	violation string // the first
}

func (o *observer) Message(m *link.Message) {
	if m.Kind != control.Push {
		return
	}
	update, err := control.ReadUpdate(m.Body)
	if err != nil {
		o.mu.Lock()
		o.violates("a push can't be read: %v", err)
		o.mu.Unlock()
		return
	}
	o.take(update)
	w := link.Writer{}
	w.U64(update.Number)
	_ = m.Conn.Send(control.Ack, w.B)
}

// Closed is called at the end of the link, which may come with that of the keeper.
func (o *observer) Closed(*link.Conn) {}

func (o *observer) violates(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf("%s, floor %+v, has %+v: ", o.name, o.floor, o.seen) + fmt.Sprintf(format, args...)
	}
}

func (o *observer) take(u *control.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pushes++
	if u.InContact {
		o.takeRegisters(u)
	} else if u.Version != 0 || u.Config != nil || u.Table != nil || u.Certificates != nil || u.CertificatesVersion > o.seen.certificates {
		o.violates("registers are pushed without contact: version %d, certificates %d", u.Version, u.CertificatesVersion)
	}
	o.inContact, o.senders = u.InContact, max(u.Senders, o.senders)
	if u.Keepers != nil {
		o.keepers = len(u.Keepers)
	}
	for i := range u.Entries {
		e := u.Entries[i].Shown()
		o.states[e.ID] = e.State
	}
}

func (o *observer) takeRegisters(u *control.Update) {
	if u.Config != nil {
		if u.Version <= o.seen.config {
			o.violates("configuration %d is pushed", u.Version)
		}
		o.seen.config = u.Version
	}
	if u.CertificatesVersion < o.seen.certificates {
		o.violates("certificates %d are pushed", u.CertificatesVersion)
	}
	o.seen.certificates = u.CertificatesVersion
	if u.Table != nil {
		if u.Table.Number <= o.table {
			o.violates("table %d is pushed, after %d", u.Table.Number, o.table)
		}
		o.table = u.Table.Number
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
func (o *observer) state(id string) view.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, there := o.states[id]; there {
		return s
	}
	return view.Gone
}

func (o *observer) failed() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violation
}

// call calls the keeper.
func (o *observer) call(kind link.Kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	return o.conn.Call(ctx, kind, body)
}

// attach attaches a process to a keeper, as a proxy or, with an identity, as a store.
func (k *keeperProcesses) attach(i int, name string, store uint64, floor versions) *observer {
	k.t.Helper()
	o := &observer{name: name, floor: floor, states: map[string]view.State{}}
	node := control.Node{Name: name, Role: control.RoleProxy, Zone: "z", Life: uint64(time.Now().UnixNano())}
	if store != 0 {
		node.Role, node.ID, node.Addr = control.RoleStore, store, fmt.Sprint("127.0.0.1:", store)
	}
	w := link.Writer{}
	node.Append(&w)
	w.Bool(true)
	k.until(name+" is attached", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callPatience)
		defer cancel()
		conn, err := link.Dial(ctx, k.links(i), o, link.DefaultOptions)
		if err != nil {
			return false
		}
		o.conn = conn
		b, err := conn.Call(ctx, control.Hello, w.B)
		if err != nil {
			conn.Close()
			return false
		}
		r := link.Reader{B: b}
		o.keeper = control.ReadNode(&r)
		r.Bool()
		o.helloInContact = r.Bool()
		return r.Err == nil
	})
	k.t.Cleanup(o.conn.Close)
	return o
}

// nodeOf is a keeper as it says itself who it is.
func (k *keeperProcesses) nodeOf(i int) control.Node {
	k.t.Helper()
	o := k.attach(i, "asks", 0, versions{})
	o.conn.Close()
	return o.keeper
}

// askLeaseAs asks a keeper for a lease in the name of another one, over a link like that of a later life of it.
func (k *keeperProcesses) askLeaseAs(node control.Node, i int) (granted []byte, err error) {
	k.t.Helper()
	o := &observer{states: map[string]view.State{}}
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	if o.conn, err = link.Dial(ctx, k.links(i), o, link.DefaultOptions); err != nil {
		return nil, err
	}
	defer o.conn.Close()
	node.Life++
	w := link.Writer{}
	node.Append(&w)
	w.Bool(false)
	if _, err := o.conn.Call(ctx, control.Hello, w.B); err != nil {
		return nil, err
	}
	return o.call(control.Lease, leaseRequest(node.Name))
}

// leaseRequest asks for the lease of a duty that nobody does, so that none but the keeper's own reasons refuse it.
func leaseRequest(holder string) []byte {
	w := link.Writer{}
	w.String("observed")
	w.String(holder)
	w.Bool(false)
	return w.B
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
