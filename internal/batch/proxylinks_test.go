package batch

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// identifiedStore answers as the store with that identity, and returns the body of other calls.
type identifiedStore uint64

func (s identifiedStore) Closed(*link.Conn) {}
func (s identifiedStore) Message(m *link.Message) {
	if m.Kind == kindHello {
		m.Reply(binary.BigEndian.AppendUint64(nil, uint64(s)))
		return
	}
	m.Reply(m.Body)
}

// Guards against calls of other packages that go to a store which is not the primary, or that hang without a link.
func TestPrimariesAreCalledOverTheProxysLinks(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() { _ = link.Serve(l, identifiedStore(7), link.DefaultOptions) }()
	holder := &snapshot.Latest{}
	p := NewProxy(ProxyOptions{Snapshots: holder, Name: "p", Zone: "z"})
	defer p.Close()
	if store, connected := p.PrimaryOf("rate:a"); connected {
		t.Fatalf("store %d without a table", store)
	}
	setPrimary := func(version, primary uint64) {
		holder.Set(&snapshot.Snapshot{Table: &snapshot.PartitionTable{
			Version:    version,
			Partitions: []snapshot.Partition{{Epoch: version, Primary: primary}},
			Stores:     map[uint64]snapshot.Store{7: {ID: 7, Addr: l.Addr().String()}},
		}})
		p.Refresh()
	}
	setPrimary(1, 7)
	waitUntil := time.Now().Add(10 * time.Second)
	for connected := false; !connected; {
		var store uint64
		if store, connected = p.PrimaryOf("rate:a"); store != 7 {
			t.Fatalf("store %d", store)
		}
		if time.Now().After(waitUntil) {
			t.Fatal("no link within 10 s")
		}
		time.Sleep(time.Millisecond) // the link is opened by another goroutine
	}
	if reply, err := p.CallStore(context.Background(), 7, 190, []byte("body")); err != nil || string(reply) != "body" {
		t.Fatalf("%q, %v", reply, err)
	}
	if _, err := p.CallStore(context.Background(), 8, 190, nil); !errors.Is(err, link.ErrClosed) {
		t.Fatalf("call without a link: %v", err)
	}
	setPrimary(2, 0)
	if store, connected := p.PrimaryOf("rate:a"); connected {
		t.Fatalf("store %d although there is no primary", store)
	}
}
