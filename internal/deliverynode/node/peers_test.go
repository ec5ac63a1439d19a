package node

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"dunetide/policy"
)

// Notes reach the other nodes in simhost's format. Datagrams of unknown senders and invalid ones are ignored, and the next
// note is still received.
func TestNotesBetweenNodes(t *testing.T) {
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(t, err)
	defer func() { _ = other.Close() }() // the test is over
	unknownSender, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(t, err)
	defer func() { _ = unknownSender.Close() }() // the test is over
	addr := other.LocalAddr().(*net.UDPAddr).AddrPort()
	received := make(chan policy.Event, 8)
	p, err := openPeers(Config{PeerBind: "127.0.0.1:0", PeersAll: addr.String(), Me: 1,
		Peers: []netip.AddrPort{addr, netip.MustParseAddrPort("127.0.0.1:9")}}, quietLog(),
		func(e policy.Event) { received <- e })
	must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.run(ctx); close(done) }()

	p.send(policy.SendNote{Tag: 77, News: policy.BackCold})
	note := make([]byte, 300)
	must(t, other.SetReadDeadline(time.Now().Add(testTimeout)))
	n, _, err := other.ReadFromUDPAddrPort(note)
	must(t, err)

	to := p.conn.LocalAddr().(*net.UDPAddr)
	for _, c := range []struct {
		from *net.UDPConn
		data []byte
	}{{unknownSender, note[:n]}, {other, make([]byte, 290)}, {other, nil}, {other, note[:n]}} {
		_, err := c.from.WriteToUDP(c.data, to)
		must(t, err)
	}
	select {
	case e := <-received:
		if e != (policy.NoteReceived{Tag: 77, News: policy.BackCold}) {
			t.Errorf("received %+v", e)
		}
	case <-time.After(testTimeout):
		t.Fatal("no note received")
	}
	cancel()
	<-done
	if len(received) != 0 {
		t.Errorf("also received %+v", <-received)
	}
}
