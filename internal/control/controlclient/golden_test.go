package controlclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/link"
)

// checkGolden compares encoded bytes with a golden file, and returns the bytes of the file.
func checkGolden(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	golden.Compare(t, name+".bin", encoded)
	return golden.Read(t, name+".bin")
}

// goldenMessage is a message with non-zero fields, and its encoder and decoder.
type goldenMessage struct {
	name   string
	value  any
	encode func(value any) []byte
	decode func(body []byte) (any, error)
}

// message returns a goldenMessage of a typed value, encoder and decoder.
func message[T any](name string, value T, encode func(T) []byte, decode func([]byte) (T, error)) goldenMessage {
	return goldenMessage{
		name:   name,
		value:  value,
		encode: func(v any) []byte { return encode(v.(T)) },
		decode: func(body []byte) (any, error) { return decode(body) },
	}
}

// codec returns an encoder and a decoder of whole messages for a type that is appended to and read from messages. The
// decoder fails if bytes are left over.
func codec[T any](write func(T, *link.Writer), read func(*link.Reader) T) (func(T) []byte, func([]byte) (T, error)) {
	encode := func(v T) []byte {
		var w link.Writer
		write(v, &w)
		return w.Buf
	}
	decode := func(body []byte) (T, error) {
		r := link.Reader{Buf: body}
		v := read(&r)
		if r.Err == nil && len(r.Buf) > 0 {
			r.Err = io.ErrUnexpectedEOF
		}
		return v, r.Err
	}
	return encode, decode
}

func goldenNode(name string, offset uint64) Node {
	return Node{
		Name:        name,
		Role:        RoleStore,
		Zone:        "zone-of-" + name,
		Addr:        name + ":7001",
		ControlAddr: name + ":7002",
		ID:          0x0a00 + offset,
		Incarnation: 0x0b00 + offset,
	}
}

func goldenTable() *snapshot.PartitionTable {
	return &snapshot.PartitionTable{
		Version: 31,
		Partitions: []snapshot.Partition{
			{Epoch: 32, Primary: 41, Replicas: []uint64{41, 42}, Joining: []uint64{43}, Leaving: []uint64{42, 44}},
			{Epoch: 33, Primary: 42, Replicas: []uint64{42}},
		},
		Stores: map[uint64]snapshot.Store{
			41: {ID: 41, Name: "s1", Addr: "s1:1", Zone: "north"},
			42: {ID: 42, Name: "s2", Addr: "s2:2", Zone: "south"},
			43: {ID: 43, Name: "s3", Addr: "s3:3", Zone: "east"},
			44: {ID: 44, Name: "s4", Addr: "s4:4", Zone: "west"},
		},
		Retiring: map[uint64]bool{42: true, 44: true},
		Stopping: map[uint64]bool{43: true, 44: true},
	}
}

func goldenUpdate() *Update {
	return &Update{
		Sequence:          11,
		FullSync:          true,
		InContact:         true,
		EndpointsComplete: true,
		Proxies:           12,
		Config:            []byte(`{"version":13}`),
		ConfigVersion:     13,
		Table:             goldenTable(),
		Entries: []registry.Entry{
			{
				Endpoint: snapshot.Endpoint{
					ID: "i-1", Service: "quotes", Address: "10.0.0.1:80", Zone: "north", Version: "v2", Capacity: 14, State: snapshot.Draining,
					RemainingWarmupMs: 15, Models: []snapshot.Model{{Name: "m", Version: 16}, {Name: "n", Version: 17}}, CallCount: 18,
				},
				HeartbeatCount: 19, TimedOut: true, Age: 20 * time.Millisecond,
			},
		},
		Keepers:             []Node{goldenNode("k1", 1), goldenNode("k2", 2)},
		CertificatesVersion: 21,
		Certificates:        []byte(`{"version":21}`),
	}
}

func goldenMessages() []goldenMessage {
	encodeNode, decodeNode := codec(Node.Append, ReadNode)
	encodeNodes, decodeNodes := codec(func(nodes []Node, w *link.Writer) { AppendNodes(w, nodes) }, ReadNodes)
	encodeTable, decodeTable := codec(func(table *snapshot.PartitionTable, w *link.Writer) { AppendTable(w, table) }, ReadTable)
	encodeReport, decodeReport := codec(KeeperReport.Append, ReadKeeperReport)
	encodeCondition := func(c Condition) []byte { return c.Encode() }
	report := KeeperReport{InContact: true, DecidedSlots: []uint64{51, 52}, ConnectedVoters: []uint64{53, 54, 55}}
	stopping := KeeperReport{Stopping: true, DecidedSlots: []uint64{56}}
	condition := Condition{Node: goldenNode("p3", 3), Reason: "the disk is full", Relayed: true}
	return []goldenMessage{
		message("node", goldenNode("p1", 1), encodeNode, decodeNode),
		message("nodes", []Node{goldenNode("p1", 1), goldenNode("p2", 2)}, encodeNodes, decodeNodes),
		message("table", goldenTable(), encodeTable, decodeTable),
		message("update", goldenUpdate(), (*Update).Encode, ReadUpdate),
		message("update_number_only", &Update{Sequence: 22, InContact: true}, (*Update).Encode, ReadUpdate),
		message("keeper_report", report, encodeReport, decodeReport),
		message("keeper_report_leaving", stopping, encodeReport, decodeReport),
		message("part_joined", PartitionJoined{Partition: 61, Epoch: 62}, PartitionJoined.Encode, ReadPartitionJoined),
		message("store_stopping", StoreStopping{Store: 71, Stopping: true}, StoreStopping.Encode, ReadStoreStopping),
		message("trouble", condition, encodeCondition, ReadCondition),
	}
}

// TestGoldenMessages pins the encoding of each message: during a rollout, processes of two versions run in one tier.
func TestGoldenMessages(t *testing.T) {
	for _, m := range goldenMessages() {
		t.Run(m.name, func(t *testing.T) {
			body := checkGolden(t, m.name, m.encode(m.value))
			got, err := m.decode(body)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, m.value) {
				t.Errorf("decoded as\n%+v\nwant\n%+v", got, m.value)
			}
			if again := m.encode(got); !bytes.Equal(again, body) {
				t.Errorf("re-encoded as\n%x\nwant\n%x", again, body)
			}
			if _, err := m.decode(body[:len(body)-1]); err == nil {
				t.Error("a truncated message was decoded")
			}
		})
	}
}

func TestGoldenRenumberedUpdate(t *testing.T) {
	body := goldenUpdate().Encode()
	SetSequence(body, 0x0102030405060708)
	checkGolden(t, "update_renumbered", body)
}

// TestGoldenKinds pins the numbers of the kinds of messages and the names of the roles.
func TestGoldenKinds(t *testing.T) {
	kinds := map[link.Kind]link.Kind{
		KindHello: 1, KindUpdate: 2, KindAck: 3, KindConsensus: 4, KindEndpoints: 5, KindLiveness: 6, KindAttached: 7,
		KindDecided: 8, KindPartitionJoined: 9, KindLease: 10, KindStatus: 11, KindEndpointsRequest: 12,
		KindConfirm: 13, KindCertificatesInForce: 14, KindKeeperReport: 15, KindStoreStopping: 20, KindInContact: 21, KindCondition: 22,
	}
	if len(kinds) != 18 {
		t.Fatalf("%d kinds", len(kinds))
	}
	for got, want := range kinds {
		if got != want {
			t.Errorf("want kind %d, got %d", want, got)
		}
	}
	if RoleProxy != "proxy" || RoleKeeper != "keeper" || RoleStore != "store" {
		t.Error("the name of a role has changed")
	}
}

// readFrame reads one frame with a body of bodySize bytes from a raw connection, without package link.
func readFrame(t *testing.T, raw net.Conn, bodySize int) []byte {
	t.Helper()
	frame := make([]byte, 9+bodySize)
	if err := raw.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(raw, frame); err != nil {
		t.Fatal(err)
	}
	return frame
}

// TestGoldenConversation pins the frames on a new link: the InContact call and its reply, the Hello call and its reply,
// an update, its acknowledgement, and the call that confirms the certificates, with its reply.
func TestGoldenConversation(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	self := goldenNode("p1", 1)
	self.Role = RoleProxy
	c := New(Options{
		Self:            self,
		WantEndpoints:   true,
		Snapshots:       &snapshot.Latest{},
		ConfirmInterval: time.Hour,
		Log:             hclog.NewNullLogger(),
	})
	attached := make(chan *attachment, 1)
	go func() { attached <- c.attach(t.Context(), listener.Addr().String(), true) }()
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	write := func(name string, frame []byte) {
		t.Helper()
		if _, err := raw.Write(checkGolden(t, name, frame)); err != nil {
			t.Fatal(err)
		}
	}
	nodeSize := 5*4 + len(self.Name) + len(self.Role) + len(self.Zone) + len(self.Addr) + len(self.ControlAddr) + 2*8

	checkGolden(t, "frame_in_contact_call", readFrame(t, raw, 0))
	write("frame_in_contact_reply", []byte{0, 0, 0, 6, 250, 0, 0, 0, 1, 1})
	checkGolden(t, "frame_hello_call", readFrame(t, raw, nodeSize+1))
	keeper := goldenNode("k1", 2)
	keeper.Role = RoleKeeper
	var w link.Writer
	keeper.Append(&w)
	w.Bool(true)
	w.Bool(true)
	write("frame_hello_reply", append([]byte{0, 0, 0, byte(5 + len(w.Buf)), 250, 0, 0, 0, 2}, w.Buf...))
	var a *attachment
	select {
	case a = <-attached:
	case <-time.After(waitTimeout):
	}
	if a == nil || a.node != keeper {
		t.Fatalf("attached as %+v", a)
	}
	defer a.conn.Close()

	push := Update{
		Sequence:            0x0c01,
		InContact:           true,
		FullSync:            true,
		EndpointsComplete:   true,
		Proxies:             3,
		CertificatesVersion: 3,
		Certificates:        certificatesText(t, 3),
	}
	body := push.Encode()
	write("frame_push", append([]byte{0, 0, 0, byte(5 + len(body)), 2, 0, 0, 0, 0}, body...))
	checkGolden(t, "frame_ack", readFrame(t, raw, 8))

	ctx, cancel := context.WithCancel(t.Context())
	confirming := make(chan struct{})
	go func() { defer close(confirming); c.confirmLoop(ctx) }()
	defer func() { cancel(); <-confirming }()
	checkGolden(t, "frame_confirm_call", readFrame(t, raw, 0))
	write("frame_confirm_reply", []byte{0, 0, 0, 5, 250, 0, 0, 0, 3})
	await(t, "confirmed", func() bool { return !c.CertificatesConfirmedAt().IsZero() })
}

// TestGoldenConditionCall pins the frame in which a process reports a condition.
func TestGoldenConditionCall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	condition := Condition{Node: goldenNode("p3", 3), Reason: "the disk is full"}
	reported := make(chan error, 1)
	go func() { reported <- ReportCondition(t.Context(), listener.Addr().String(), condition) }()
	raw, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	checkGolden(t, "frame_trouble_call", readFrame(t, raw, len(condition.Encode())))
	if _, err := raw.Write([]byte{0, 0, 0, 5, 250, 0, 0, 0, 1}); err != nil {
		t.Fatal(err)
	}
	if err := <-reported; err != nil {
		t.Error(err)
	}
}
