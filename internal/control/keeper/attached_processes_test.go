package keeper

import (
	"fmt"
	"testing"

	"dunetide/internal/consensus/quorum"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// TestUnacknowledgedPushesAreBounded: a process that acknowledges nothing is pushed a bounded number of updates. Once
// it acknowledges, it is pushed the remaining changes in one update.
func TestUnacknowledgedPushesAreBounded(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 1)
	k.handleHello(&link.Message{Conn: conns[0], Body: encodeHello("p", controlclient.RoleProxy)})
	confirmContact(t, k)
	p := k.attached[conns[0]]
	heartbeat := func(i int) {
		k.endpoints.Heartbeat(0, snapshot.Endpoint{
			ID:        fmt.Sprint("i", i),
			Service:   "s",
			Address:   fmt.Sprint("a:", i),
			CallCount: 1,
		})
		k.pushAll()
	}
	for i := range 1000 {
		heartbeat(i)
	}
	if p.pushedNumber > maxUnackedPushes || len(p.pushMarks) > maxUnackedPushes || p.acknowledged() != (pushMark{}) {
		t.Fatalf("%d pushes, %d marks, in force %+v", p.pushedNumber, len(p.pushMarks), p.acknowledged())
	}
	if p.acknowledge(p.pushedNumber / 2); p.acknowledged().number != p.pushedNumber/2 || p.acknowledged().listRevision >= k.endpoints.LastChange() {
		t.Fatalf("%+v", p.acknowledged())
	}
	k.pushAll()
	if p.acknowledge(1 << 60); p.acknowledged().listRevision != k.endpoints.LastChange() || len(p.pushMarks) != 1 {
		t.Fatalf("%+v, %d marks", p.acknowledged(), len(p.pushMarks))
	}
	heartbeat(2000)
	if p.acknowledged().listRevision == k.endpoints.LastChange() {
		t.Fatal("in force before it was acknowledged")
	}
}

// TestChangeOfContactIsPushed: the loss and the return of a keeper's contact with a majority are pushed to attached
// processes, even if nothing else has changed.
func TestChangeOfContactIsPushed(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, far := dialSink(t, 1)
	k.handleHello(&link.Message{Conn: conns[0], Body: encodeHello("p", controlclient.RoleProxy)})
	check := func(inContact bool) {
		t.Helper()
		k.pushAll()
		u, err := controlclient.ReadUpdate(receive(t, far.messages, "a push").Body)
		if err != nil || u.InContact != inContact {
			t.Errorf("pushed %+v, %v, want contact %v", u, err, inContact)
		}
	}
	confirmContact(t, k)
	check(true)
	k.contact = quorum.NewGate[*link.Conn]()
	k.contact.Attach(conns[0])
	check(false)
	confirmContact(t, k)
	check(true)
}

// TestNewAttachmentReplacesOlder: a process whose link broke attaches again before this side has noticed the end of the
// old link.
func TestNewAttachmentReplacesOlder(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 2)
	for _, c := range conns {
		k.handleHello(&link.Message{Conn: c, Body: encodeHello("p", controlclient.RoleProxy)})
	}
	if len(k.attached) != 1 || k.attached[conns[1]] == nil || !linkEnded(conns[0]) || linkEnded(conns[1]) {
		t.Fatalf("%d are attached", len(k.attached))
	}
}

// TestAttachedListBeforeHello: a keeper's list of attached processes may arrive before the Hello that identifies the
// keeper. It takes effect with the Hello.
func TestAttachedListBeforeHello(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 1)
	w := link.Writer{}
	controlclient.AppendNodes(&w, []controlclient.Node{{
		Name: "s",
		Role: controlclient.RoleStore,
		ID:   9,
		Addr: "127.0.0.1:3",
		Zone: "z",
	}})
	k.handleMessage(&link.Message{Conn: conns[0], Kind: controlclient.KindAttached, Body: w.Buf})
	if n := len(k.attachedStores()); n != 0 {
		t.Fatalf("%d stores from an unidentified keeper", n)
	}
	k.adoptLink(conns[0], controlclient.Node{Name: "k2", Role: controlclient.RoleKeeper, ID: 7, Incarnation: 1}, true)
	if _, known := k.attachedStores()[9]; !known {
		t.Error("the store that was listed before the Hello is unknown")
	}
}
