package membership

import (
	"fmt"
	"slices"
	"testing"
)

func TestLongFieldsFitIntoOneDatagram(t *testing.T) {
	longPeer := func(i int) Peer {
		field := fmt.Sprintf("%064d", i)
		return Peer{Name: field, Role: field, Zone: field, Addr: address(i), Incarnation: 1}
	}
	var peers []Peer
	for i := range 12 {
		peers = append(peers, longPeer(i))
	}
	m := message{kind: kindRequest, from: longPeer(99)}
	datagram, sent := m.encode(nil, peers, peers)
	got, err := decode(datagram)
	if err != nil || len(datagram) > maxMessageBytes || len(sent) == 0 || !slices.Equal(got.peers, sent) {
		t.Errorf("%d bytes, %d sent, %d received: %v", len(datagram), len(sent), len(got.peers), err)
	}
}
