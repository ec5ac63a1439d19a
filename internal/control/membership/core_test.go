package membership

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// newTestCore returns a Core whose sent datagrams are discarded.
func newTestCore(t testing.TB) *Core {
	t.Helper()
	c, err := New(Options{
		Self: Peer{Name: "self", Role: "proxy", Addr: "10.0.0.1:7660", Incarnation: 3},
		Rand: rand.New(rand.NewPCG(1, 1)),
		Send: func(string, []byte) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// receiveFrom delivers a request from a process to a Core.
func receiveFrom(c *Core, sender Peer) {
	m := message{kind: kindRequest, from: sender}
	datagram, _ := m.encode(nil, nil, nil)
	c.Receive(0, sender.Addr, datagram)
}

func TestNewerProcessReplacesOlderAtItsAddress(t *testing.T) {
	c := newTestCore(t)
	older := Peer{Name: "older", Role: RoleKeeper, Addr: "10.0.0.2:7660", Incarnation: 5}
	newer := Peer{Name: "newer", Role: RoleKeeper, Addr: "10.0.0.2:7660", Incarnation: 9}
	receiveFrom(c, older)
	receiveFrom(c, newer)
	receiveFrom(c, older)
	if keepers := c.Keepers(); len(keepers) != 1 || keepers[0].Name != "newer" {
		t.Errorf("keepers %v", keepers)
	}
	if view := c.View(); len(view) != 1 || view[0].Name != "newer" {
		t.Errorf("view %v", view)
	}
}

func TestOwnIncarnationIsRaisedAboveReceivedOne(t *testing.T) {
	c := newTestCore(t)
	receiveFrom(c, Peer{Name: "self", Role: "proxy", Addr: "10.0.0.1:7660", Incarnation: 700})
	if c.Self().Incarnation != 701 || len(c.View()) != 0 {
		t.Errorf("self %v, view %v", c.Self(), c.View())
	}
}

func TestMalformedDatagramsAreCounted(t *testing.T) {
	c := newTestCore(t)
	from := Peer{Name: "a", Role: "proxy", Addr: "10.0.0.2:7660", Incarnation: 1}
	m := message{kind: kindRequest, from: from}
	good, _ := m.encode(nil, []Peer{{Name: "b", Addr: "10.0.0.3:1", Incarnation: 2}}, nil)
	malformed := [][]byte{nil, []byte("x"), append(slices.Clone(good), 0), make([]byte, 5000)}
	for i := range good {
		malformed = append(malformed, good[:i])
	}
	for _, invalid := range []Peer{
		{Name: "", Addr: "10.0.0.3:1"},
		{Name: "b", Addr: "nowhere"},
		{Name: string(make([]byte, 65)), Addr: "10.0.0.3:1"},
	} {
		datagram, _ := m.encode(nil, []Peer{invalid}, nil)
		malformed = append(malformed, datagram)
	}
	for _, datagram := range malformed {
		c.Receive(0, from.Addr, datagram)
	}
	if stats := c.Stats(); int(stats.Malformed) != len(malformed) || stats.Sent != 0 || len(c.View()) != 0 {
		t.Errorf("%d malformed datagrams: %+v, view %v", len(malformed), stats, c.View())
	}
	c.Receive(0, from.Addr, good)
	if len(c.View()) != 2 {
		t.Errorf("view %v", c.View())
	}
}

func FuzzReceive(f *testing.F) {
	m := message{kind: kindResponse, from: Peer{Name: "a", Addr: "10.0.0.2:7660", Incarnation: 1}}
	datagram, _ := m.encode(nil, []Peer{{Name: "b", Addr: "10.0.0.3:1", Incarnation: 2}}, nil)
	f.Add(datagram)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		c := newTestCore(t)
		c.Receive(0, "10.0.0.2:7660", datagram)
		if len(c.View()) > c.options.ViewSize {
			t.Errorf("%d entries exceed the view size", len(c.View()))
		}
	})
}
