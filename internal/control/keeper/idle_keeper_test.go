package keeper

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs/vfstest"
)

// newIdleKeeper returns a keeper that isn't running: the test calls its methods.
func newIdleKeeper(t *testing.T, name string) *Keeper {
	t.Helper()
	k, err := New(Options{Settings: &settings.Settings{
		NodeName:          name,
		IP:                "127.0.0.1",
		FirstInternalPort: 1,
		HeartbeatInterval: 1200 * time.Millisecond,
		ControlAddr:       "127.0.0.1:2",
	},
		Folder: vfstest.New(), Log: hclog.NewNullLogger()})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// confirmContact gives an idle keeper contact, and confirms the registers for all attached processes.
func confirmContact(t *testing.T, k *Keeper) {
	t.Helper()
	now := k.sinceStart(time.Now()) + time.Hour // longer than the test
	k.contact.Confirmed(now, now)
	if k.contact.BeginRead(now) {
		k.contact.EndRead(true)
	}
	if !k.contact.InContact(k.sinceStart(time.Now())) {
		t.Fatal("no contact")
	}
}

// messageSink collects the messages received at the far end of links.
type messageSink struct{ messages chan *link.Message }

func (s *messageSink) Message(m *link.Message) { s.messages <- m }

func (s *messageSink) Closed(*link.Conn) {}

// dialSink dials n links to a messageSink.
func dialSink(t *testing.T, n int) (conns []*link.Conn, far *messageSink) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	far = &messageSink{make(chan *link.Message, 1<<14)}
	go func() { _ = link.Serve(l, far, link.DefaultOptions) }()
	t.Cleanup(func() { _ = l.Close() })
	for range n {
		c, err := link.Dial(context.Background(), l.Addr().String(), &messageSink{make(chan *link.Message, 1<<14)}, link.DefaultOptions)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		conns = append(conns, c)
	}
	return conns, far
}

func linkEnded(c *link.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

func encodeHello(name, role string) []byte {
	w := link.Writer{}
	controlclient.Node{Name: name, Role: role}.Append(&w)
	w.Bool(true)
	return w.Buf
}
