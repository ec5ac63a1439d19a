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

// waitTimeout is how long a test waits for a condition or message.
const waitTimeout = 20 * time.Second

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("%s: condition not met within %v", what, waitTimeout)
		}
	}
}

// fakeKeeper is a keeper whose updates and replies are controlled by a test. It accepts one link, because a client must
// use another keeper for its second slot.
type fakeKeeper struct {
	address string
	links   chan *link.Conn // receives the accepted link

	mu                   sync.Mutex
	accepted             *link.Conn
	ended                bool // whether the accepted link has ended
	refusesConfirmations bool
	confirmations        int // number of requested confirmations
}

// startFakeKeeper starts a keeper that listens until the test ends.
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
			m.Fail("the fake keeper accepts one link only")
			return
		}
		k.accepted = m.Conn
		var reply link.Writer
		Node{Name: "k", Role: RoleKeeper}.Append(&reply)
		reply.Bool(true) // has a disk
		reply.Bool(true) // in contact with a majority
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

// refuseConfirmations sets whether requests to confirm the certificates are refused.
func (k *fakeKeeper) refuseConfirmations(refuse bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refusesConfirmations = refuse
}

// awaitConfirmations waits for a number of further requests to confirm the certificates.
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

// awaitEnd waits until the client has closed the link.
func (k *fakeKeeper) awaitEnd(t *testing.T) {
	t.Helper()
	await(t, "link closed by the client", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.ended
	})
}

// runClient runs a client until the test ends, with the keeper as its only seed. It sets the options that are missing.
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
