package keeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

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
	receiveLiveness(k.endpointDigests(), 0) // the mismatch was a change in flight
	receiveLiveness(other, 0)
	receiveLiveness(other, 0) // triggers a request
	for range 9 {
		receiveLiveness(other, time.Second) // within entriesRequestInterval
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

// TestLostEntriesAreRecovered: a change that only one keeper knows reaches the others because the digests of their
// lists differ.
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

// drainWithoutBroadcast makes one keeper merge a drain without sending it to the others.
func (r *rig) drainWithoutBroadcast(i int, id string, count uint64) {
	k := r.running[i].keeper
	if changed, ok := query(k, func() bool {
		e, _ := k.endpoints.Get(k.sinceStart(time.Now()), id)
		e.State, e.CallCount = snapshot.Draining, count
		return k.endpoints.Heartbeat(k.sinceStart(time.Now()), e.Endpoint)
	}); !changed || !ok {
		r.t.Fatal("the drain changes nothing")
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
			t.Fatalf("%v, but the client sees %v", a, c.state(id))
		}
	}
}

// TestFirstChangeIsARemoval: the first change of a keeper's list may be the removal of an endpoint.
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
		if known, _ := query(k, func() bool { _, known := k.endpoints.Get(k.sinceStart(time.Now()), "1"); return known }); !known {
			t.Fatalf("keeper %d does not know the endpoint", i+1)
		}
	}
}

// TestKnownEntriesAwaitAcknowledgements: a keeper doesn't acknowledge entries to another keeper before its attached
// processes have them, even if it knew the entries already.
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
	// The keeper has merged both once it has answered a later call.
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
