package controlclient

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// fakeKeeper is a keeper that pushes and answers what a test wants. It accepts one link, as a client wants another
// keeper for its second slot.
type fakeKeeper struct {
	address string
	links   chan *link.Conn // the accepted one

	mu                   sync.Mutex
	accepted             *link.Conn
	ended                bool // whether the accepted link has ended
	refusesConfirmations bool
	confirmations        int // that were requested
}

// startFakeKeeper returns a keeper that listens until the test ends.
func startFakeKeeper(t *testing.T) *fakeKeeper {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &fakeKeeper{address: listener.Addr().String(), links: make(chan *link.Conn, 1)}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = link.Serve(listener, k, link.DefaultOptions) // it returns when the listener is closed
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-served
	})
	return k
}

// Message implements link.Handler.
func (k *fakeKeeper) Message(m *link.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch m.Kind {
	case KindHello:
		if k.accepted != nil {
			m.Fail("one link is enough")
			return
		}
		k.accepted = m.Conn
		var reply link.Writer
		Node{Name: "k", Role: RoleKeeper}.Append(&reply)
		reply.Bool(true) // it has a disk
		reply.Bool(true) // it is in contact with a majority
		m.Reply(reply.Buf)
		k.links <- m.Conn
	case KindConfirm:
		k.confirmations++
		if k.refusesConfirmations {
			m.Fail("no majority")
			return
		}
		m.Reply(nil)
	}
}

// Closed implements link.Handler.
func (k *fakeKeeper) Closed(conn *link.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if conn == k.accepted {
		k.ended = true
	}
}

// refuseConfirmations has requests to confirm the certificates refused, or not any more.
func (k *fakeKeeper) refuseConfirmations(refuse bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refusesConfirmations = refuse
}

// awaitConfirmations waits until so many further requests to confirm the certificates have been answered.
func (k *fakeKeeper) awaitConfirmations(t *testing.T, further int) {
	t.Helper()
	requested := func() int {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.confirmations
	}
	before := requested()
	await(t, "confirmations", func() bool { return requested() >= before+further })
}

// awaitEnd waits until the client has ended the link.
func (k *fakeKeeper) awaitEnd(t *testing.T) {
	t.Helper()
	await(t, "the end of the link", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.ended
	})
}

// runClient runs a client that is attached to a keeper until the test ends. It fills in the options that a test leaves
// out.
func runClient(t *testing.T, k *fakeKeeper, o Options) *Client {
	t.Helper()
	o.Self = Node{Name: "p", Role: RoleProxy}
	o.Seeds = []string{k.address}
	o.Log = hclog.NewNullLogger()
	if o.Snapshots == nil {
		o.Snapshots = &snapshot.Latest{}
	}
	c := New(o)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return c
}
