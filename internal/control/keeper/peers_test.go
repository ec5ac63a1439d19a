package keeper

import (
	"testing"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
)

// TestChoiceAmongLinksToOnePeer checks which link chooseLink selects, and what happens to the other one.
func TestChoiceAmongLinksToOnePeer(t *testing.T) {
	node := func(name string, incarnation uint64) controlclient.Node {
		return controlclient.Node{Name: name, Role: controlclient.RoleKeeper, ID: 7, Incarnation: incarnation}
	}
	for _, c := range []struct {
		what       string
		peer       string
		dialed     [2]bool
		used       int
		firstEnds  bool
		secondEnds bool
	}{
		{"the other dialed, then this one, whose name is smaller", "k2", [2]bool{false, true}, 1, false, false},
		{"this one dialed, then the other, whose name is larger", "k2", [2]bool{true, false}, 0, false, false},
		{"this one dialed, then the other, whose name is smaller", "k0", [2]bool{true, false}, 1, true, false},
		{"the other dialed, then this one, whose name is larger", "k0", [2]bool{false, true}, 0, false, true},
		{"this one dialed twice", "k2", [2]bool{true, true}, 1, true, false},
	} {
		k := newIdleKeeper(t, "k1")
		conns, _ := dialSink(t, 2)
		for i, dialed := range c.dialed {
			k.adoptLink(conns[i], node(c.peer, 1), dialed)
		}
		p := k.peers[c.peer]
		if p.conn != conns[c.used] || linkEnded(conns[0]) != c.firstEnds || linkEnded(conns[1]) != c.secondEnds {
			t.Fatalf("%s: the first is used: %v, ended %v, %v", c.what, p.conn == conns[0], linkEnded(conns[0]), linkEnded(conns[1]))
		}
		if got := k.knownPeers().connTo(paxos.Voter{ID: 7}); got != p.conn {
			t.Fatalf("%s: the registers use another link", c.what)
		}
		// When the link in use ends, the other one replaces it.
		other := conns[1-c.used]
		k.dropLink(conns[c.used])
		if p.conn != other {
			t.Fatalf("%s: the other link is not used", c.what)
		}
		if !k.knownPeers().connectedIDs(1)[7] {
			t.Fatalf("%s: it does not count as connected", c.what)
		}
		k.dropLink(other)
		if p.conn != nil || len(k.peerLinks) != 0 || k.knownPeers().connTo(paxos.Voter{ID: 7}) != nil {
			t.Fatalf("%s: links are left", c.what)
		}
		if k.knownPeers().connectedIDs(1)[7] {
			t.Fatalf("%s: it counts as connected", c.what)
		}
	}

	// A lower incarnation is rejected while the newer one is connected, and accepted afterwards, as the clock may have
	// been set back.
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 3)
	k.adoptLink(conns[0], node("k2", 10), false)
	k.adoptLink(conns[1], node("k2", 5), false)
	if p := k.peers["k2"]; p.conn != conns[0] || !linkEnded(conns[1]) {
		t.Fatal("an older incarnation replaced a newer one")
	}
	k.dropLink(conns[0])
	k.adoptLink(conns[2], node("k2", 5), false)
	if k.peers["k2"].conn != conns[2] || linkEnded(conns[2]) {
		t.Fatal("a keeper whose clock was set back is rejected")
	}
}

// TestUnknownRegistersAreQueried: a keeper that connected to the others before they were bootstrapped asks them for the
// registers.
func TestUnknownRegistersAreQueried(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, far := dialSink(t, 1)
	k.adoptLink(conns[0], controlclient.Node{Name: "k2", Role: controlclient.RoleKeeper, ID: 7, Incarnation: 1}, true)
	k.registers.queryIfUnknown(partitionsRegister)
	for m := receive(t, far.messages, "the question"); m.Kind != controlclient.KindConsensus; m = receive(t, far.messages, "the question") {
	}
}
