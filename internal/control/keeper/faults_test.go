package keeper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs/vfstest"
)

// newIdleKeeper makes a keeper that doesn't run: the test calls its methods.
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

// confirmContact puts an idle keeper in contact, and confirms the registers for all attached processes.
func confirmContact(t *testing.T, k *Keeper) {
	t.Helper()
	now := k.sinceStart(time.Now()) + time.Hour // it lasts for the test
	k.contact.Confirmed(now, now)
	if k.contact.BeginRead(now) {
		k.contact.EndRead(true)
	}
	if !k.contact.InContact(k.sinceStart(time.Now())) {
		t.Fatal("no contact")
	}
}

// messageSink takes what comes over links, at the far end.
type messageSink struct{ messages chan *link.Message }

func (s *messageSink) Message(m *link.Message) { s.messages <- m }
func (s *messageSink) Closed(*link.Conn)       {}

// dialSink makes links that lead to a messageSink.
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

// TestQueuesDoNotBlockEachOther: the owner goroutine and the registers' each have a queue, and neither waits for the
// other's.
func TestQueuesDoNotBlockEachOther(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	for range maxQueuedCommands {
		k.commands <- func() {}
		k.registers.commands <- func() {}
	}
	done := make(chan struct{})
	go func() { // the registers' goroutine
		defer close(done)
		k.registers.publishDecided(configRegister, paxos.State{Slot: 1, Voters: []paxos.Voter{{ID: 9, Name: "k2"}}})
		k.registers.send(configRegister, paxos.Voter{ID: 9, Name: "k2"}, nil)
		k.registers.queryIfUnknown(configRegister)
		k.broadcastDecided(configRegister, paxos.State{})
	}()
	receive(t, done, "the end of what the registers' goroutine does")
	failed := make(chan error, 1)
	go k.changeTable(nil, func(err error) { failed <- err }) // the owner
	if err := receive(t, failed, "the refusal"); !errors.Is(err, errBusy) {
		t.Fatal(err)
	}
}

// TestBusyQueue: a queue that is never empty delays neither pushes nor ticks.
func TestBusyQueue(t *testing.T) {
	r := newRig(t, 1)
	r.startAll()
	r.untilConnected(0)
	k := r.running[0].keeper
	var again func()
	again = func() {
		select {
		case k.commands <- again:
		default:
		}
	}
	k.submit(again)
	receive(t, r.attachManually(0, "p").pushes, "a push")
}

// TestUnacknowledgedPushesAreBounded: a process that acknowledges nothing is pushed a bounded number of updates, and
// gets the rest in one once it acknowledges.
func TestUnacknowledgedPushesAreBounded(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 1)
	k.handleHello(&link.Message{Conn: conns[0], Body: encodeHello("p", controlclient.RoleProxy)})
	confirmContact(t, k)
	p := k.attached[conns[0]]
	beat := func(i int) {
		k.endpoints.Heartbeat(0, snapshot.Endpoint{
			ID:        fmt.Sprint("i", i),
			Service:   "s",
			Address:   fmt.Sprint("a:", i),
			CallCount: 1,
		})
		k.pushAll()
	}
	for i := range 1000 {
		beat(i)
	}
	if p.pushedNumber > maxUnackedPushes || len(p.pushMarks) > maxUnackedPushes || p.acknowledged() != (pushMark{}) {
		t.Fatalf("%d pushes, %d marks, in force %+v", p.pushedNumber, len(p.pushMarks), p.acknowledged())
	}
	if p.acknowledge(p.pushedNumber / 2); p.acknowledged().number != p.pushedNumber/2 || p.acknowledged().listRevision >= k.endpoints.LastChange() {
		t.Fatalf("%+v", p.acknowledged())
	}
	k.pushAll()
	if p.acknowledge(1 << 60); p.acknowledged().listRevision != k.endpoints.LastChange() || len(p.pushMarks) != 1 {
		t.Fatalf("%+v, %d marks", p.acknowledged(), len(p.pushMarks))
	}
	beat(2000)
	if p.acknowledged().listRevision == k.endpoints.LastChange() {
		t.Fatal("in force before it was acknowledged")
	}
}

// TestNewAttachmentReplacesOlder: a process whose link broke attaches anew before this side knows that the old link has
// ended.
func TestNewAttachmentReplacesOlder(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 2)
	for _, c := range conns {
		k.handleHello(&link.Message{Conn: c, Body: encodeHello("p", controlclient.RoleProxy)})
	}
	if len(k.attached) != 1 || k.attached[conns[1]] == nil || !linkEnded(conns[0]) || linkEnded(conns[1]) {
		t.Fatalf("%d are attached", len(k.attached))
	}
}

// TestChoiceAmongLinksToOnePeer is the table of chooseLink, and what happens to the links that aren't used.
func TestChoiceAmongLinksToOnePeer(t *testing.T) {
	node := func(name string, life uint64) controlclient.Node {
		return controlclient.Node{Name: name, Role: controlclient.RoleKeeper, ID: 7, Incarnation: life}
	}
	for _, c := range []struct {
		what       string
		peer       string
		dialled    [2]bool
		used       int
		firstEnds  bool
		secondEnds bool
	}{
		{"the other dialled, then this one, whose name is smaller", "k2", [2]bool{false, true}, 1, false, false},
		{"this one dialled, then the other, whose name is larger", "k2", [2]bool{true, false}, 0, false, false},
		{"this one dialled, then the other, whose name is smaller", "k0", [2]bool{true, false}, 1, true, false},
		{"the other dialled, then this one, whose name is larger", "k0", [2]bool{false, true}, 0, false, true},
		{"this one dialled twice", "k2", [2]bool{true, true}, 1, true, false},
	} {
		k := newIdleKeeper(t, "k1")
		conns, _ := dialSink(t, 2)
		for i, dialled := range c.dialled {
			k.adoptLink(conns[i], node(c.peer, 1), dialled)
		}
		p := k.peers[c.peer]
		if p.conn != conns[c.used] || linkEnded(conns[0]) != c.firstEnds || linkEnded(conns[1]) != c.secondEnds {
			t.Fatalf("%s: the first is used: %v, ended %v, %v", c.what, p.conn == conns[0], linkEnded(conns[0]), linkEnded(conns[1]))
		}
		if got := k.knownPeers().connTo(paxos.Voter{ID: 7}); got != p.conn {
			t.Fatalf("%s: the registers use another link", c.what)
		}
		// The link in use ends, and the other takes its place if it is there.
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

	// A clock that was set back, and an incarnation that has ended.
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
		t.Fatal("a keeper whose clock was set back is shut out")
	}
}

// TestDifferingListsAreRequestedOnce: a keeper whose digests differ twice in a row is asked for its list, and not
// again for a while.
func TestDifferingListsAreRequestedOnce(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, far := dialSink(t, 1)
	k.adoptLink(conns[0], controlclient.Node{Name: "k2", Role: controlclient.RoleKeeper, Incarnation: 1}, true)
	receiveLiveness := func(sums [registry.DigestBuckets]uint64, at time.Duration) {
		w := link.Writer{}
		w.U32(0)
		for _, sum := range sums {
			w.U64(sum)
		}
		k.handleLiveness(k.startedAt.Add(at), &link.Message{Conn: conns[0], Body: w.Buf})
	}
	other := [registry.DigestBuckets]uint64{3: 1}
	receiveLiveness(other, 0)
	receiveLiveness(k.endpointDigests(), 0) // it was a change under way
	receiveLiveness(other, 0)
	receiveLiveness(other, 0) // asks
	for range 9 {
		receiveLiveness(other, time.Second) // is asked a moment ago
	}
	_ = conns[0].Send(controlclient.KindAck, nil)
	asked := 0
	for m := receive(t, far.messages, "a message"); m.Kind != controlclient.KindAck; m = receive(t, far.messages, "a message") {
		if m.Kind == controlclient.KindEndpointsRequest {
			asked++
		}
	}
	if asked != 1 {
		t.Fatalf("asked %d times", asked)
	}
}

// TestLostEntriesAreRecovered: a change that only one keeper knows reaches the others by the digests of the lists.
func TestLostEntriesAreRecovered(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	c := r.attachAcknowledging(2, "p1")
	if a := r.heartbeat(0, "1", "ready", 1); a.status != 200 {
		t.Fatal(a)
	}
	eventually(t, "the client has it", func() bool { return c.state("1") == snapshot.Ready })
	r.drainWithoutBroadcast(0, "1", 2)
	eventually(t, "the client knows that it drains", func() bool { return c.state("1") == snapshot.Draining })
}

// drainWithoutBroadcast has one keeper merge a drain without sending it to the others.
func (r *rig) drainWithoutBroadcast(i int, id string, count uint64) {
	k := r.running[i].keeper
	if changed, ok := query(k, func() bool {
		e, _ := k.endpoints.Get(k.sinceStart(time.Now()), id)
		e.State, e.CallCount = snapshot.Draining, count
		return k.endpoints.Heartbeat(k.sinceStart(time.Now()), e.Endpoint)
	}); !changed || !ok {
		r.t.Fatal("the drain is not taken")
	}
}

// TestRepeatedDrainIsBroadcastAgain: a repeated drain is acknowledged only once the other keepers know it, too.
func TestRepeatedDrainIsBroadcastAgain(t *testing.T) {
	r := newRig(t, 3)
	r.pushWait = testTimeout
	r.startAll()
	r.untilConnected(0, 1, 2)
	c := r.attachAcknowledging(2, "p1")
	for i := range 10 {
		id := fmt.Sprint(i)
		if a := r.heartbeat(0, id, "ready", 1); a.status != 200 {
			t.Fatal(a)
		}
		r.drainWithoutBroadcast(0, id, 2)
		if a := r.heartbeat(0, id, "draining", 2); a.status != 200 || c.state(id) != snapshot.Draining {
			t.Fatalf("%v, and the client sees %v", a, c.state(id))
		}
	}
}

// TestFirstChangeIsARemoval: the very first change of a keeper's list may be the end of an endpoint.
func TestFirstChangeIsARemoval(t *testing.T) {
	r := newRig(t, 3)
	r.pushWait = testTimeout
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.call(0, "DELETE", "/instances/1", "", nil); a.status != 200 {
		t.Fatal(a)
	}
	for i := range 3 {
		k := r.running[i].keeper
		if there, _ := query(k, func() bool { _, there := k.endpoints.Get(k.sinceStart(time.Now()), "1"); return there }); !there {
			t.Fatalf("keeper %d does not know of it", i+1)
		}
	}
}

// TestKnownEntriesAwaitAcknowledgements: entries that a keeper knows already aren't acknowledged to another one
// before the attached processes have them.
func TestKnownEntriesAwaitAcknowledgements(t *testing.T) {
	r := newRig(t, 1)
	r.pushWait = testTimeout
	r.startAll()
	r.untilConnected(0)
	p := r.attachManually(0, "p")
	p.ack(receive(t, p.pushes, "the first push").Sequence)
	k := r.running[0].keeper
	conn, err := link.Dial(context.Background(), k.self.Addr, &messageSink{make(chan *link.Message, 16)}, link.DefaultOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	w := link.Writer{}
	w.U32(1)
	registry.AppendEntry(&w, &registry.Entry{
		Endpoint:       snapshot.Endpoint{ID: "1", Service: "s", CallCount: 2, State: snapshot.Draining},
		HeartbeatCount: 2,
	})
	first, second := conn.Go(controlclient.KindEndpoints, w.Buf), conn.Go(controlclient.KindEndpoints, w.Buf)
	var u *controlclient.Update
	for u = receive(t, p.pushes, "the push"); len(u.Entries) == 0; u = receive(t, p.pushes, "the push") {
		p.ack(u.Sequence)
	}
	// The keeper has merged both once it has answered a call that came after them.
	if _, err := conn.Call(context.Background(), controlclient.KindStatus, nil); err != nil {
		t.Fatal(err)
	}
	for i, ch := range []<-chan link.Reply{first, second} {
		select {
		case <-ch:
			t.Fatalf("call %d is acknowledged before the attached process has the entries", i+1)
		default:
		}
	}
	p.ack(u.Sequence)
	for _, ch := range []<-chan link.Reply{first, second} {
		if reply := receive(t, ch, "the acknowledgement"); reply.Err != nil {
			t.Fatal(reply.Err)
		}
	}
}

// TestEndedKeeperAcknowledgesNothing: calls at a keeper that has ended get 503.
func TestEndedKeeperAcknowledgesNothing(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	close(k.ended)
	for range maxQueuedCommands { // nobody takes commands any more
		k.commands <- func() {}
	}
	beat := `{"service":"s","address":"a:1","state":"ready","call_count":1}`
	for _, c := range [][3]string{{"PUT", "/instances/1", beat}, {"DELETE", "/instances/1", ""}, {"GET", "/status", ""}, {"GET", "/config", ""},
		{"POST", "/retire/x", ""}, {"GET", "/retire/x", ""}} {
		w := httptest.NewRecorder()
		k.httpHandler().ServeHTTP(w, httptest.NewRequest(c[0], c[1], strings.NewReader(c[2])))
		if w.Code != 503 {
			t.Fatalf("%s %s: %d", c[0], c[1], w.Code)
		}
	}
}

// TestEndWithCallsInFlight: calls that wait don't delay the end of a keeper.
func TestEndWithCallsInFlight(t *testing.T) {
	r := newRig(t, 1)
	r.pushWait = 2 * testTimeout
	r.startAll()
	r.untilConnected(0)
	r.attachManually(0, "p")
	answers := make(chan response, 1)
	go func() { answers <- r.heartbeat(0, "1", "draining", 1) }()
	eventually(t, "the call waits", func() bool {
		waits, _ := query(r.running[0].keeper, func() bool { return len(r.running[0].keeper.waiters) > 0 })
		return waits
	})
	r.kill(0)
	if a := receive(t, answers, "the answer"); a.status != 503 {
		t.Fatal(a)
	}
}

// TestFailedDisk: a keeper whose disk failed ends, and is a voter again when it starts on the disk as it was.
func TestFailedDisk(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(0, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	run, disk := r.running[0], r.disks[0]
	run.keeper.registers.submit(func() { disk.FailAt, disk.Fails = disk.Ops+1, 1<<30 })
	r.untilCode(200, func() response { return r.putConfig(1, 5, 3, "b") })
	if err := receive(t, run.done, "the end of the keeper"); !recordlog.ErrUnusable.Has(err) {
		t.Fatal(err)
	}
	r.running[0] = nil
	disk.FailAt = 0
	r.start(0)
	r.untilConnected(0, 1, 2)
	r.kill(1)
	r.untilCode(200, func() response { return r.putConfig(2, 8, 5, "c") })
}

// TestUnknownRegistersAreQueried: a keeper that connected to the others before they knew anything asks them for the
// registers.
func TestUnknownRegistersAreQueried(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, far := dialSink(t, 1)
	k.adoptLink(conns[0], controlclient.Node{Name: "k2", Role: controlclient.RoleKeeper, ID: 7, Incarnation: 1}, true)
	k.registers.queryIfUnknown(partitionsRegister)
	for m := receive(t, far.messages, "the question"); m.Kind != controlclient.KindConsensus; m = receive(t, far.messages, "the question") {
	}
}

// TestAttachedListBeforeHello: a keeper's list of attached processes may come before it is known which keeper dialed.
// It counts from then on.
func TestAttachedListBeforeHello(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 1)
	w := link.Writer{}
	controlclient.AppendNodes(&w, []controlclient.Node{{
		Name: "s",
		Role: controlclient.RoleStore,
		ID:   9,
		Addr: "127.0.0.1:3",
		Zone: "z",
	}})
	k.handleMessage(&link.Message{Conn: conns[0], Kind: controlclient.KindAttached, Body: w.Buf})
	if n := len(k.attachedStores()); n != 0 {
		t.Fatalf("%d stores by the word of one who is not known", n)
	}
	k.adoptLink(conns[0], controlclient.Node{Name: "k2", Role: controlclient.RoleKeeper, ID: 7, Incarnation: 1}, true)
	if _, there := k.attachedStores()[9]; !there {
		t.Error("the store that was told of before is not known")
	}
}
