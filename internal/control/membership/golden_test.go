package membership

import (
	"reflect"
	"testing"

	"dunetide/internal/lab/golden"
)

// goldenPeer returns a peer with a distinct non-zero value in each field.
func goldenPeer(name string, incarnation uint64, age uint16) Peer {
	return Peer{Name: name, Role: "role-of-" + name, Zone: "zone-of-" + name, Addr: "10.0.0.1:" + name[len(name)-4:], Incarnation: incarnation, Age: age}
}

// TestMessageBytes pins the encoding of each kind of datagram.
func TestMessageBytes(t *testing.T) {
	for file, want := range map[string]message{
		"ask": {
			kind:         kindRequest,
			seq:          4_000_000_001,
			needsKeepers: true,
			from:         goldenPeer("sender-7001", 1_800_000_000_000_000_001, 3),
			peers: []Peer{
				goldenPeer("peer-7002", 1_800_000_000_000_000_002, 4),
				goldenPeer("peer-7003", 1_800_000_000_000_000_003, 65_535),
			},
			keepers: []Peer{
				goldenPeer("keeper-7004", 1_800_000_000_000_000_004, 60),
			},
		},
		"answer": {
			kind:    kindResponse,
			seq:     4_000_000_005,
			from:    goldenPeer("sender-7006", 1_800_000_000_000_000_006, 7),
			keepers: []Peer{goldenPeer("keeper-7008", 1_800_000_000_000_000_008, 9)},
		},
	} {
		t.Run(file, func(t *testing.T) {
			encode := func(m *message) []byte {
				out, _ := m.encode(nil, m.peers, m.keepers)
				return out
			}
			golden.Compare(t, file, encode(&want))
			got, err := decode(golden.Read(t, file))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded %+v, want %+v", got, want)
			}
			golden.Compare(t, file, encode(&got))
		})
	}
}

// TestLargestMessage pins the maximum size of a datagram, which all versions of the program accept and none exceeds.
func TestLargestMessage(t *testing.T) {
	m := message{kind: kindRequest, seq: 1, from: goldenPeer("sender-7001", 1, 0)}
	var peers []Peer
	for range 40 {
		peers = append(peers, goldenPeer("peer-7002", 2, 3))
	}
	out, sent := m.encode(nil, peers, peers)
	if len(out) > 1180 || len(sent) == 0 || len(out)+peerBytes(&peers[0]) <= 1180 {
		t.Errorf("%d bytes with %d peers, want as many as fit into 1180", len(out), len(sent))
	}
	if _, err := decode(make([]byte, 1181)); err == nil {
		t.Error("a datagram of 1181 bytes is accepted")
	}
}
