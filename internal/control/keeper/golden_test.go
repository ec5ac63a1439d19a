package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/singleton"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs/vfstest"
)

// updateGolden regenerates the golden files. Set it only with sources whose output the files should pin, never in CI.
var updateGolden = flag.Bool("update", false, "regenerate testdata/golden from the current sources")

// golden compares bytes with a golden file.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s:\ngot  %x\nwant %x\nas text, got\n%s\nwant\n%s", name, got, want, got, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Values of the golden files: each field has a distinct value.
var (
	goldenSelf = controlclient.Node{
		Name:        "k1",
		Role:        controlclient.RoleKeeper,
		Zone:        "za",
		Addr:        "127.0.0.1:11",
		ControlAddr: "127.0.0.1:12",
		ID:          0x1111111111111111,
		Incarnation: 0x1212121212121212,
	}
	goldenPeer = controlclient.Node{
		Name:        "k2",
		Role:        controlclient.RoleKeeper,
		Zone:        "zb",
		Addr:        "127.0.0.1:21",
		ControlAddr: "127.0.0.1:22",
		ID:          0x2121212121212121,
		Incarnation: 0x2222222222222222,
	}
	goldenProxy = controlclient.Node{
		Name:        "p3",
		Role:        controlclient.RoleProxy,
		Zone:        "zc",
		Addr:        "127.0.0.1:31",
		ControlAddr: "127.0.0.1:32",
		ID:          0x3131313131313131,
		Incarnation: 0x3232323232323232,
	}
	goldenStore = controlclient.Node{
		Name:        "s4",
		Role:        controlclient.RoleStore,
		Zone:        "zd",
		Addr:        "127.0.0.1:41",
		ID:          0x4141414141414141,
		Incarnation: 0x4242424242424242,
	}

	goldenVoters = []paxos.Voter{{
		ID:   0x1111111111111111,
		Name: "k1",
		Addr: "127.0.0.1:11",
	}, {ID: 0x2121212121212121, Name: "k2", Addr: "127.0.0.1:21"},
		{ID: 0x5151515151515151, Name: "k5", Addr: "127.0.0.1:51"}}

	goldenEntry = registry.Entry{Endpoint: snapshot.Endpoint{ID: "e-6", Service: "svc-7", Address: "10.0.0.8:9", Zone: "z-10", Version: "v-11", Capacity: 12,
		State: snapshot.Draining, RemainingWarmupMs: 13, Models: []snapshot.Model{{
			Name:    "m-14",
			Version: 15,
		}, {Name: "m-16", Version: 17}}, CallCount: 18},
		HeartbeatCount: 19, TimedOut: true, Age: 20 * time.Millisecond}

	goldenTable = &snapshot.PartitionTable{Version: 61, Partitions: []snapshot.Partition{{
		Epoch:    62,
		Primary:  63,
		Replicas: []uint64{63, 64},
		Joining:  []uint64{65},
		Leaving:  []uint64{66, 64},
	},
		{Epoch: 67, Primary: 64, Replicas: []uint64{64, 63}, Joining: []uint64{65}, Leaving: []uint64{66, 68}}},
		Stores: map[uint64]snapshot.Store{63: {ID: 63, Name: "s63", Addr: "a63", Zone: "z63"}, 64: {ID: 64, Name: "s64", Addr: "a64", Zone: "z64"}, 65: {ID: 65, Name: "s65", Addr: "a65", Zone: "z65"},
			66: {ID: 66, Name: "s66", Addr: "a66", Zone: "z66"}},
		Retiring: map[uint64]bool{64: true, 66: true}, Stopping: map[uint64]bool{65: true}}
)

func goldenDocument() *document {
	v := &document{version: 71, raw: []byte(`{"version":71}`)}
	for i := range 3 {
		var t acceptedVersion
		t.version = uint64(69 + i)
		for j := range t.digest {
			t.digest[j] = byte(0x70 + 0x20*i + j)
		}
		v.accepted = append(v.accepted, t)
	}
	return v
}

// goldenState returns a decided state that also sets the fields that only internal/consensus/paxos reads.
func goldenState(t *testing.T, slot uint64, value []byte) paxos.State {
	t.Helper()
	w := link.Writer{}
	paxos.State{Slot: slot, Voters: goldenVoters, Value: value}.Append(&w)
	w.Buf = w.Buf[:len(w.Buf)-4] // the count of marks
	w.U32(2)
	for _, n := range []uint64{81, 82, 83, 84} {
		w.U64(n)
	}
	r := link.Reader{Buf: w.Buf}
	s := paxos.ReadState(&r)
	if r.Err != nil || len(r.Buf) > 0 {
		t.Fatal(r.Err, len(r.Buf))
	}
	return s
}

// goldenKeeper returns a keeper that isn't running, with a peer that is connected over a link to the sink.
func goldenKeeper(t *testing.T) (k *Keeper, far *messageSink) {
	t.Helper()
	k = newIdleKeeper(t, goldenSelf.Name)
	k.self, k.registers.id = goldenSelf, goldenSelf.ID
	conns, far := dialSink(t, 1)
	p := &peer{node: goldenPeer, conn: conns[0]}
	k.peers[goldenPeer.Name] = p
	k.peerLinks[conns[0]] = &peerLink{peer: p, incarnation: goldenPeer.Incarnation, dialed: true}
	k.connectionsChanged()
	confirmContact(t, k)
	k.contactUntil.Store(int64(k.contact.ContactUntil()))
	return k, far
}

// received returns the next message at the far end of a golden keeper's link, and its encoding as kind and body.
func received(t *testing.T, far *messageSink) (*link.Message, []byte) {
	t.Helper()
	m := receive(t, far.messages, "message")
	return m, append([]byte{byte(m.Kind)}, m.Body...)
}

// decoded decodes a message, and fails if bytes are left.
func decoded[T any](t *testing.T, body []byte, read func(r *link.Reader) T) T {
	t.Helper()
	r := link.Reader{Buf: body}
	v := read(&r)
	if r.Err != nil || len(r.Buf) > 0 {
		t.Errorf("%v, %d bytes are left", r.Err, len(r.Buf))
	}
	return v
}

func same(t *testing.T, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// TestGoldenMessagesToPeers: the messages from a keeper to other keepers match the golden files, and decode to the same
// values.
func TestGoldenMessagesToPeers(t *testing.T) {
	k, far := goldenKeeper(t)
	next := func(name string) (*link.Message, []byte) {
		t.Helper()
		m, b := received(t, far)
		golden(t, name, b)
		return m, readGolden(t, name)[1:]
	}

	k.broadcastEntries([]registry.Entry{goldenEntry}, newAckWaiter())
	m, body := next("entries")
	entries := decoded(t, body, func(r *link.Reader) (list []registry.Entry) {
		for range r.Count(16) {
			e, err := registry.ReadEntry(r)
			if err != nil {
				t.Error(err)
			}
			list = append(list, e)
		}
		return list
	})
	same(t, entries, []registry.Entry{goldenEntry})
	m.Reply(nil)

	k.attached[nil] = &attachedProcess{node: goldenProxy}
	k.broadcastAttached()
	_, body = next("attached")
	same(t, decoded(t, body, controlclient.ReadNodes), []controlclient.Node{goldenProxy})
	delete(k.attached, nil)

	k.shuttingDown = true
	k.registers.mu.Lock()
	k.registers.allVoters = goldenVoters
	for i, name := range registerNames {
		k.registers.storedSlots[name] = uint64(91 + i)
	}
	k.registers.mu.Unlock()
	k.broadcastReport()
	_, body = next("report")
	report := controlclient.KeeperReport{
		InContact:       true,
		Stopping:        true,
		DecidedSlots:    []uint64{91, 92, 93},
		ConnectedVoters: []uint64{goldenSelf.ID, goldenPeer.ID},
	}
	same(t, decoded(t, body, controlclient.ReadKeeperReport), report)

	since := time.Hour
	endpoint := goldenEntry.Endpoint
	endpoint.State = snapshot.Ready
	k.endpoints.Heartbeat(since, endpoint)
	k.broadcastLiveness(k.startedAt.Add(since + 1234*time.Millisecond))
	_, body = next("heard")
	liveness := decoded(t, body, func(r *link.Reader) (list []registry.Liveness) {
		for range r.Count(9) {
			h, err := registry.ReadLiveness(r)
			if err != nil {
				t.Error(err)
			}
			list = append(list, h)
		}
		sums := k.endpoints.Digests()
		for i := range sums {
			if sum := r.U64(); sum != sums[i] {
				t.Errorf("digest %d is %x, not %x", i, sum, sums[i])
			}
		}
		return list
	})
	same(t, liveness, []registry.Liveness{{ID: endpoint.ID, HeartbeatCount: endpoint.CallCount, Age: 1234 * time.Millisecond}})
	_, _ = received(t, far) // each is followed by a report

	k.broadcastDecided(configRegister, goldenState(t, 85, []byte("value-86")))
	_, body = next("learn")
	state := decoded(t, body, func(r *link.Reader) paxos.State {
		if name := r.String(); name != configRegister {
			t.Errorf("register %q", name)
		}
		return paxos.ReadState(r)
	})
	same(t, state, goldenState(t, 85, []byte("value-86")))

	k.registers.send(partitionsRegister, paxos.Voter{
		ID:   goldenPeer.ID,
		Name: goldenPeer.Name,
		Addr: goldenPeer.Addr,
	}, []byte("message-87"))
	_, body = next("agree")
	decoded(t, body, func(r *link.Reader) any {
		same(t, []any{r.String(), r.U64(), r.String(), r.String(), string(r.Bytes())}, []any{partitionsRegister, goldenSelf.ID, goldenSelf.Name, goldenSelf.Addr, "message-87"})
		return nil
	})

	k.requestGrants(time.Now(), assignRole, k.assigner.lease, 1, map[uint64]bool{goldenPeer.ID: true})
	m, body = next("lease-request")
	lease := func(r *link.Reader) []any { return []any{r.String(), r.String(), r.Bool()} }
	same(t, decoded(t, body, lease), []any{"assign", goldenSelf.Name, false})
	m.Reply([]byte{0})
	k.releaseGrants(votersRole)
	m, body = next("lease-release")
	same(t, decoded(t, body, lease), []any{"voters", goldenSelf.Name, true})
	m.Reply([]byte{0})

	sums := k.endpoints.Digests()
	sums[3]++
	other := link.Writer{}
	other.U32(0)
	for _, sum := range sums {
		other.U64(sum)
	}
	conn := k.peers[goldenPeer.Name].conn
	for range mismatchesBeforeRequest {
		k.handleLiveness(time.Now(), &link.Message{Conn: conn, Kind: controlclient.KindLiveness, Body: other.Buf})
	}
	next("missing")

	condition := controlclient.Condition{Node: goldenStore, Reason: "reason-88"}
	k.handleCondition(time.Now(), &link.Message{Conn: conn, Kind: controlclient.KindCondition, Body: condition.Encode()})
	_, body = next("process-trouble")
	condition.Relayed = true
	read, err := controlclient.ReadCondition(body)
	same(t, []any{read, err}, []any{condition, error(nil)})
}

// TestGoldenPush: a push to an attached process matches the golden file, and decodes to the same values.
func TestGoldenPush(t *testing.T) {
	k, _ := goldenKeeper(t)
	conns, far := dialSink(t, 1)
	k.config = &document{version: 101, raw: []byte(`{"version":101}`)}
	k.certificates = &document{version: 102, raw: []byte(`{"version":102}`)}
	k.partitions, k.proxyCount, k.keepersRevision, k.pushedListComplete = goldenTable, 103, 104, true
	entry := goldenEntry
	entry.TimedOut, entry.RemainingWarmupMs = false, 0
	k.endpoints.Merge(0, []registry.Entry{entry})
	p := &attachedProcess{node: goldenProxy, conn: conns[0], wantsEndpoints: true, pushedNumber: 104}
	u, change := k.buildUpdate(p, k.startedAt, true)
	k.push(p, encodedUpdate{u.Encode(), change}, true)
	_, b := received(t, far)
	golden(t, "push", b)
	got, err := controlclient.ReadUpdate(readGolden(t, "push")[1:])
	if err != nil {
		t.Fatal(err)
	}
	same(t, got, &controlclient.Update{Sequence: 105, FullSync: true, InContact: true, EndpointsComplete: true, Proxies: 103, Config: k.config.raw, ConfigVersion: 101, Table: goldenTable,
		Entries: []registry.Entry{entry}, Keepers: []controlclient.Node{goldenSelf, goldenPeer}, CertificatesVersion: 102, Certificates: k.certificates.raw})
	same(t, got.Encode(), readGolden(t, "push")[1:])
}

// calledKeeper answers calls over links as a running keeper does.
type calledKeeper struct{ k *Keeper }

func (c calledKeeper) Message(m *link.Message) { c.k.handleMessage(m) }
func (c calledKeeper) Closed(*link.Conn)       {}

// TestGoldenCallsOverLinks: the call that a keeper makes when it dials, and its replies to calls, match the golden
// files.
func TestGoldenCallsOverLinks(t *testing.T) {
	k, _ := goldenKeeper(t)
	far := &messageSink{make(chan *link.Message, 10)}
	addr, served := serveLinks(t, far), serveLinks(t, calledKeeper{k})

	dialed := make(chan struct{})
	go func() { k.dialKeeper(addr); close(dialed) }()
	m := receive(t, far.messages, "hello")
	golden(t, "hello", append([]byte{byte(m.Kind)}, m.Body...))
	decoded(t, readGolden(t, "hello")[1:], func(r *link.Reader) any {
		same(t, []any{controlclient.ReadNode(r), r.Bool()}, []any{goldenSelf, false})
		return nil
	})
	m.Fail("enough")
	<-dialed
	for len(k.commands) > 0 {
		(<-k.commands)()
	}

	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, served, far, link.DefaultOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	call := func(name string, kind link.Kind, body []byte) []byte {
		t.Helper()
		b, err := conn.Call(ctx, kind, body)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		golden(t, name, b)
		return readGolden(t, name)
	}
	w := link.Writer{}
	goldenProxy.Append(&w)
	w.Bool(true)
	decoded(t, call("hello-reply", controlclient.KindHello, w.Buf), func(r *link.Reader) any {
		same(t, []any{controlclient.ReadNode(r), r.Bool(), r.Bool()}, []any{goldenSelf, true, true})
		return nil
	})
	same(t, call("in-contact-reply", controlclient.KindInContact, nil), []byte{1})
	same(t, call("lease-reply", controlclient.KindLease, leaseMessage{assignRole, "nobody", false}.encode()), []byte{0})
	same(t, call("lease-release-reply", controlclient.KindLease, leaseMessage{assignRole, "nobody", true}.encode()), []byte{})
	same(t, call("process-trouble-reply", controlclient.KindCondition, (&controlclient.Condition{
		Node:    goldenStore,
		Reason:  "r",
		Relayed: true,
	}).Encode()), []byte{})
	same(t, call("entries-reply", controlclient.KindEndpoints, []byte{0, 0, 0, 0}), []byte{})
}

// serveLinks serves links on a loopback address until the test ends, and returns the address.
func serveLinks(t *testing.T, h link.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = link.Serve(l, h, link.DefaultOptions) }() // returns when the listener is closed
	return l.Addr().String()
}

// TestGoldenRecords: the records of keeper.log and the values of the registers match the golden files.
func TestGoldenRecords(t *testing.T) {
	k := newIdleKeeper(t, goldenSelf.Name)
	a := k.registers
	a.id = goldenSelf.ID
	golden(t, "record-identity", a.identityRecord())
	golden(t, "record-register", encodeRegisterRecord(certificatesRegister, []byte("payload-111")))
	golden(t, "record-first-voters", encodeFirstVotersRecord(goldenVoters))
	replayed := &registerSet{replayed: map[string][][]byte{}}
	for _, name := range []string{"record-identity", "record-register", "record-first-voters"} {
		if err := replayed.replayRecord(readGolden(t, name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	same(t, replayed, &registerSet{
		id:          goldenSelf.ID,
		replayed:    map[string][][]byte{certificatesRegister: {[]byte("payload-111")}},
		firstVoters: goldenVoters,
	})

	golden(t, "value-document", goldenDocument().encode())
	v, err := decodeDocument(readGolden(t, "value-document"))
	same(t, []any{v, err}, []any{goldenDocument(), error(nil)})
	same(t, v.encode(), readGolden(t, "value-document"))

	w := link.Writer{}
	controlclient.AppendTable(&w, goldenTable)
	golden(t, "value-table", w.Buf)
	table, err := decodeTable(paxos.State{Value: readGolden(t, "value-table")})
	same(t, []any{table, err}, []any{goldenTable, error(nil)})
}

// TestGoldenEndsRecord: the record of draining and removed endpoints matches the golden file, and programs that don't know
// a kind of record skip it, as versions before this record do.
func TestGoldenEndsRecord(t *testing.T) {
	golden(t, "record-ends", encodeEndsRecord([]registry.Entry{goldenEntry}))
	replayed := &registerSet{ends: map[string]registry.Entry{}}
	if err := replayed.replayRecord(readGolden(t, "record-ends")); err != nil {
		t.Fatal(err)
	}
	same(t, replayed.ends, map[string]registry.Entry{goldenEntry.ID: goldenEntry})
	const unknownKind = 200
	if err := replayed.replayRecord([]byte{unknownKind, 1, 2}); err != nil {
		t.Error(err)
	}
}

// TestGoldenLog: a keeper restores its identity, the voters and the contents of the registers from the golden log.
func TestGoldenLog(t *testing.T) {
	const file = "keeper.log"
	if *updateGolden {
		r := newRig(t, 1)
		r.startAll()
		r.untilCode(200, func() response { return r.putConfig(0, 7, 0, "golden") })
		r.untilCode(200, func() response { return r.putConfig(0, 9, 7, "golden") })
		r.untilCode(200, func() response { return r.putCertificates(0, "0", goldenCertificates(t, 5)) })
		r.terminate(0)
		golden(t, file, r.disks[0].File(logName))
	}
	disk := vfstest.New()
	disk.Put(logName, readGolden(t, file))
	if err := disk.Sync(); err != nil {
		t.Fatal(err)
	}
	k, err := New(Options{Settings: &settings.Settings{
		NodeName:          "k1",
		IP:                "127.0.0.1",
		FirstInternalPort: 1,
		HeartbeatInterval: 1200 * time.Millisecond,
		ControlAddr:       "127.0.0.1:2",
	},
		Folder: disk, Log: hclog.NewNullLogger()})
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "identity %x\n", k.registers.id)
	for _, name := range registerNames {
		state, known := k.registers.state(name)
		fmt.Fprintf(&text, "register %s: known %v, slot %d\n", name, known, state.Slot)
		for _, voter := range state.Voters {
			fmt.Fprintf(&text, "  voter %x %s %s\n", voter.ID, voter.Name, voter.Addr)
		}
		if name != partitionsRegister {
			v, err := decodeDocument(state.Value)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "  version %d %s\n", v.version, v.raw)
			for _, past := range v.accepted {
				fmt.Fprintf(&text, "  taken %d %x\n", past.version, past.digest)
			}
		}
	}
	golden(t, "keeper.log.txt", []byte(text.String()))
	if !bytes.HasPrefix(disk.File(logName), readGolden(t, file)) {
		t.Error("reading the log changed it")
	}
}

func goldenCertificates(t *testing.T, version uint64) []byte {
	t.Helper()
	at := func(hour int) time.Time { return time.Date(2026, 12, 1, hour, 2, 3, 0, time.UTC) }
	b, err := json.Marshal(certification.Document{Version: version, Routes: []certification.Route{{
		Name:   "route-1",
		Regime: "regime-2",
	}},
		Certificates: []certification.Certificate{{
			Endpoint:  "e-3",
			Regime:    "regime-2",
			NotBefore: at(4),
			NotAfter:  at(5),
			Issuer:    "by-6",
		}}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenStatus: the status for operators matches the golden file.
func TestGoldenStatus(t *testing.T) {
	k, _ := goldenKeeper(t)
	k.config, k.certificates, k.partitions, k.proxyCount = &document{version: 121}, &document{version: 122}, &snapshot.PartitionTable{Version: 123}, 124
	k.registers.mu.Lock()
	k.registers.allVoters = goldenVoters
	k.registers.saveErr = fmt.Errorf("disk trouble 125")
	for _, name := range registerNames {
		k.registers.states[name] = paxos.State{Voters: goldenVoters}
	}
	k.registers.mu.Unlock()
	now := k.sinceStart(time.Now())
	if action, round := k.assigner.lease.Step(now, 1); action == singleton.ActionRequest {
		k.assigner.lease.RecordGrant(now, round, "x")
	}
	k.attached[nil] = &attachedProcess{
		node:         goldenProxy,
		pushedNumber: 130,
		ackedNumber:  3,
		pushMarks:    []pushMark{{number: 2, configVersion: 126, certificatesVersion: 128}},
	}
	k.endpoints.Merge(now, []registry.Entry{{Endpoint: goldenEntry.Endpoint, HeartbeatCount: 19}})
	k.conditions.update(time.Now(), controlclient.Condition{Node: goldenStore, Reason: "reason-129"})
	for _, known := range k.conditions {
		known.firstReportedAt = known.firstReportedAt.Add(-131 * time.Second)
	}
	golden(t, "status.json", k.statusJSON())
	var read status
	if err := json.Unmarshal(readGolden(t, "status.json"), &read); err != nil {
		t.Fatal(err)
	}
	same(t, read, status{Node: "k1", Voter: true, InContact: true, ConfigVersion: 121, CertificatesVersion: 122, TableNumber: 123, Proxies: 124, AssignsPartitions: true,
		Voters: []string{"k1", "k2", "k5"}, Keepers: []string{"k1", "k2"}, Attached: []attachedStatus{{"p3", "proxy", "zc", 126, 128, 127}},
		EndpointsByService: map[string]int{"svc-7": 1}, DiskCondition: "disk trouble 125", Conditions: []conditionStatus{{"s4", "store", "zd", "reason-129", 131}}})
	again, err := json.MarshalIndent(read, "", "  ")
	same(t, []any{string(again) + "\n", err}, []any{string(readGolden(t, "status.json")), error(nil)})
}

// TestGoldenHTTP: the answers to HTTP calls match the golden file: status, the headers that clients evaluate, and body.
func TestGoldenHTTP(t *testing.T) {
	r := newRig(t, 1)
	r.startAll()
	k := r.running[0].keeper
	query(k, func() bool { k.shuttingDown = true; k.assigner.lease.Stop(); return true }) // the keeper itself must not change the table
	r.untilCode(200, func() response { return r.putConfig(0, 7, 0, "golden") })
	r.untilCode(404, func() response { return r.call(0, "POST", "/retire/nobody", "", []byte(`{"over_s":10}`)) })
	table := make(chan error, 1)
	k.changeTable(func(*snapshot.PartitionTable) (*snapshot.PartitionTable, error) { return goldenTable, nil }, func(err error) { table <- err })
	if err := receive(t, table, "table"); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	handler := k.httpHandler()
	call := func(method, path, match, body string) {
		t.Helper()
		var out *httptest.ResponseRecorder
		eventually(t, path, func() bool { // on a slow machine a majority may time out; every call is idempotent
			request := httptest.NewRequest(method, path, strings.NewReader(body))
			request.Header.Set("If-Match", match)
			out = httptest.NewRecorder()
			handler.ServeHTTP(out, request)
			return out.Code != http.StatusServiceUnavailable
		})
		got := strings.ReplaceAll(strings.TrimSpace(out.Body.String()), r.ip(0), "IP")
		got = strings.ReplaceAll(got, fmt.Sprint(":", r.controlPort), ":CONTROL")
		fmt.Fprintf(&text, "%s %s If-Match %q %s\n%d %q Retry-After %q\n%s\n\n", method, path, match, body, out.Code,
			out.Header().Get("Content-Type"), out.Header().Get("Retry-After"), got)
	}
	config := string(configBody(9, "golden"))
	call("PUT", "/config", "", config)
	call("PUT", "/config", "7", "{")
	call("PUT", "/config", "6", config)
	call("PUT", "/config", "7", config)
	call("PUT", "/config", "7", config) // a repeat
	call("PUT", "/config", "9", string(configBody(8, "golden")))
	call("GET", "/config", "", "")
	call("GET", "/certificates", "", "")
	call("PUT", "/certificates", "0", string(goldenCertificates(t, 5)))
	call("GET", "/certificates", "", "")
	call("PUT", "/certificates", "5", "{}")
	heartbeatBody := func(state, zone string) string {
		return fmt.Sprintf(`{"service":"svc-1","address":"10.0.0.2:3","zone":%q,"version":"v-4","capacity":5,"state":%q,"cold_left_ms":6,"call_count":7,"models":[{"name":"m-8","version":9}]}`, zone, state)
	}
	call("PUT", "/instances/e-1", "", heartbeatBody("ready", "z"))
	call("PUT", "/instances/e-1", "", heartbeatBody("draining", "other"))
	call("PUT", "/instances/e-1", "", heartbeatBody("unknown", "z"))
	call("PUT", "/instances/e-1", "", "[]")
	call("PUT", "/instances/e-1", "", "{\"state\":\"ready\"}")
	call("DELETE", "/instances/e-1", "", "")
	call("POST", "/retire/nobody", "", `{"over_s":10}`)
	call("GET", "/retire/nobody", "", "")
	call("GET", "/retire/s64", "", "")
	call("GET", "/retire/s66", "", "")
	call("PATCH", "/config", "", "")
	call("GET", "/nothing", "", "")
	call("GET", "/retire/s64/x", "", "")
	golden(t, "http.txt", []byte(text.String()))

	out := httptest.NewRecorder()
	refuse(out, http.StatusServiceUnavailable, "why-1")
	acknowledgeHeartbeat(out, "10.0.0.2:3")
	golden(t, "http-503.txt", fmt.Appendf(nil, "%d %v\n%s\n", out.Code, out.Header(), out.Body))
	b, err := json.Marshal(putCertificatesAnswer{Version: 1, InForce: true, WithinMs: 2})
	same(t, []any{string(b), err}, []any{`{"version":1,"in_force":true,"within_ms":2}`, error(nil)})
}

// TestGoldenMetrics: the names of a keeper's metrics match the golden file.
func TestGoldenMetrics(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	w := &statusWriter{httptest.NewRecorder(), http.StatusTeapot}
	k.recordAnswer(route{method: http.MethodGet, path: "/golden/"}, "name", w.status, time.Now())
	var all bytes.Buffer
	metrics.WritePrometheus(&all, false)
	var names []string
	for line := range strings.Lines(all.String()) {
		name, _, _ := strings.Cut(line, " ")
		ours := strings.HasPrefix(name, "dunetide_keeper_") && !strings.Contains(name, "{")
		for _, invariant := range []string{"document_versions_rise_with_slots", "reads_are_not_older_than_known", "acknowledged_ends_are_known_to_a_majority", "acknowledgements_are_given_in_contact"} {
			ours = ours || strings.Contains(name, fmt.Sprintf("%q", invariant))
		}
		if line == "" || !ours && !strings.Contains(line, "golden") {
			continue
		}
		if strings.Contains(line, "golden") {
			name, _, _ = strings.Cut(line, "} ")
			name += "}"
		}
		names = append(names, name)
	}
	slices.Sort(names)
	golden(t, "metrics.txt", []byte(strings.Join(slices.Compact(names), "\n")+"\n"))
}
