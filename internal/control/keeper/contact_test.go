package keeper

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// checkNoConfigPushed acknowledges all pushes so far, and fails if one has contents of the registers.
func checkNoConfigPushed(t *testing.T, w *manualProcess) {
	t.Helper()
	for {
		select {
		case u := <-w.pushes:
			if u.ConfigVersion != 0 || u.Config != nil || u.Table != nil || u.Certificates != nil || u.CertificatesVersion != 0 || u.InContact {
				t.Fatalf("contents of registers are pushed without contact: %+v", u)
			}
			w.ack(u.Sequence)
		default:
			return
		}
	}
}

func (w *manualProcess) call(t *testing.T, kind link.Kind, body []byte) ([]byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return w.conn.Call(ctx, kind, body)
}

// encodeUnheldLeaseRequest encodes a request for the lease of a role that no keeper holds, so that only the contacted
// keeper's own state can refuse it.
func encodeUnheldLeaseRequest(holder string) []byte {
	w := link.Writer{}
	w.String("observed")
	w.String(holder)
	w.Bool(false)
	return w.Buf
}

// mayGrantAsVoter makes a keeper treat the link of an attached process as the link of another keeper, which is a voter,
// and returns the result of mayGrant for it.
func (r *rig) mayGrantAsVoter(i int, attached string, other int) (mayGrant bool) {
	k, id := r.running[i].keeper, r.running[other].keeper.registers.id
	mayGrant, _ = query(k, func() bool {
		for conn, p := range k.attached {
			if p.node.Name == attached {
				k.peerLinks[conn] = &peerLink{peer: &peer{node: controlclient.Node{
					Name: fmt.Sprint("k", other+1),
					ID:   id,
				}}}
			}
		}
		return k.mayGrant(time.Now(), id)
	})
	return mayGrant
}

// TestCallsWithoutContact checks each row of the table in docs/control.md at a keeper that is partitioned from the
// other keepers and still receives calls.
func TestCallsWithoutContact(t *testing.T) {
	for name, cut := range map[string]struct{ from, to bool }{
		"both directions": {true, true}, "outgoing messages lost": {true, false}, "incoming messages lost": {false, true},
	} {
		t.Run(name, func(t *testing.T) { testCallsWithoutContact(t, cut.from, cut.to) })
	}
}

func testCallsWithoutContact(t *testing.T, from, to bool) {
	const isolated = 0
	r := newRig(t, 3)
	r.pushWait = testTimeout // makes answers that wait for pushes exceed promptAnswer
	relays := r.startRelays()
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(isolated, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	if a := r.putCertificates(isolated, "0", certificatesBody(t, 1, "e1")); a.status != 200 {
		t.Fatal(a)
	}
	if a := r.heartbeat(isolated, "1", "ready", 1); a.status != 200 {
		t.Fatal(a)
	}
	before := r.attachManually(isolated, "before") // attached, acknowledges nothing
	for u := receive(t, before.pushes, "the first push"); u.ConfigVersion != 3; u = receive(t, before.pushes, "the configuration") {
		if !u.InContact {
			t.Fatalf("pushed in contact: %+v", u)
		}
	}

	relays.cutOff(isolated, from, to)
	eventually(t, "contact is lost", func() bool { return !r.status(isolated).InContact })
	if s := r.status(1); !s.InContact {
		t.Fatal("the majority has no contact")
	}
	eventually(t, "the majority accepts the next configuration", func() bool { return r.putConfig(1, 5, 3, "b").status == 200 })

	refused := map[string]func() response{
		"a configuration":                    func() response { return r.putConfig(isolated, 6, 3, "c") },
		"a configuration on the newest":      func() response { return r.putConfig(isolated, 6, 5, "c") },
		"a configuration with a low version": func() response { return r.putConfig(isolated, 2, 3, "c") },
		"a configuration in force":           func() response { return r.putConfig(isolated, 5, 3, "b") },
		"a superseded configuration":         func() response { return r.putConfig(isolated, 3, 0, "a") },
		"the configuration read":             func() response { return r.call(isolated, "GET", "/config", "", nil) },
		"certificates":                       func() response { return r.putCertificates(isolated, "1", certificatesBody(t, 2, "e1")) },
		"certificates read":                  func() response { return r.call(isolated, "GET", certificatesPath, "", nil) },
		"a retirement":                       func() response { return r.call(isolated, "POST", "/retire/x", "", []byte(`{"over_s":10}`)) },
		"a retirement read":                  func() response { return r.call(isolated, "GET", "/retire/x", "", nil) },
		"a heartbeat without a change":       func() response { return r.heartbeat(isolated, "1", "ready", 2) },
		"a heartbeat with a change":          func() response { return r.heartbeat(isolated, "2", "ready", 1) },
		"a drain":                            func() response { return r.heartbeat(isolated, "3", "draining", 1) },
		"the removal of an unknown endpoint": func() response { return r.call(isolated, "DELETE", "/instances/9", "", nil) },
		"the removal of a draining endpoint": func() response { return r.call(isolated, "DELETE", "/instances/4", "", nil) },
	}
	var calls sync.WaitGroup
	for what, call := range refused {
		calls.Go(func() {
			began := time.Now()
			if a := call(); a.status != 503 || a.retryAfter != retryAfter {
				t.Errorf("%s: %v, Retry-After %q", what, a, a.retryAfter)
			}
			if took := time.Since(began); took > promptAnswer {
				t.Errorf("%s: it took %v", what, took)
			}
		})
	}
	calls.Wait()
	for what, call := range map[string]func() response{
		"a heartbeat that can't be read":     func() response { return r.call(isolated, "PUT", "/instances/1", "", []byte("{")) },
		"a configuration that can't be read": func() response { return r.call(isolated, "PUT", "/config", "5", []byte("{")) },
	} {
		if a := call(); a.status != 400 {
			t.Errorf("%s: %v", what, a)
		}
	}

	// Heartbeats are stored and pushed to the attached processes, without contents of the registers.
	count := 10
	eventually(t, "heartbeats are stored", func() bool {
		count++
		r.heartbeat(isolated, "1", "ready", count)
		r.heartbeat(isolated, "2", "ready", count)
		r.heartbeat(isolated, "3", "draining", count)
		return r.status(isolated).EndpointsByService["s"] == 3
	})
	for drains := false; !drains; {
		u := receive(t, before.pushes, "the drain")
		if u.InContact && u.Entries != nil {
			continue // pushed before the partition
		}
		if u.ConfigVersion != 0 || u.CertificatesVersion > 1 {
			t.Fatalf("contents of registers are pushed without contact, after the partition: %+v", u)
		}
		for _, e := range u.Entries {
			drains = drains || e.ID == "3" && e.State == snapshot.Draining
		}
	}

	// The reply to a process that attaches says that there is no contact, and no contents of registers are pushed to
	// it.
	late := r.attachManually(isolated, "late")
	reply := link.Reader{Buf: late.hello}
	controlclient.ReadNode(&reply)
	reply.Bool()
	if inContact := reply.Bool(); inContact || reply.Err != nil {
		t.Errorf("the reply to Hello says contact: %v, %v", inContact, reply.Err)
	}
	if b, err := late.call(t, controlclient.KindInContact, nil); err != nil || !bytes.Equal(b, []byte{0}) {
		t.Errorf("reply to InContact: %v, %v", b, err)
	}
	if _, err := late.call(t, controlclient.KindConfirm, nil); err == nil {
		t.Error("certificates are confirmed")
	}
	if _, err := before.call(t, controlclient.KindConfirm, nil); err == nil {
		t.Error("certificates are confirmed for a process that was pushed them before")
	}
	if mayGrant := r.mayGrantAsVoter(isolated, "late", 1); !mayGrant && from && to { // otherwise it may know that it is behind
		t.Error("the lease would be refused even with contact")
	}
	if b, err := late.call(t, controlclient.KindLease, encodeUnheldLeaseRequest("k2")); err != nil || !bytes.Equal(b, []byte{0}) {
		t.Errorf("reply to a lease request: %v, %v", b, err)
	}
	checkNoConfigPushed(t, late)
	if s := r.status(isolated); s.InContact || to && s.ConfigVersion != 3 || s.AssignsPartitions {
		t.Errorf("%+v", s)
	}

	relays.heal()
	eventually(t, "contact is back", func() bool { return r.status(isolated).InContact })
	for first := true; first; {
		if u := receive(t, late.pushes, "the configuration"); u.ConfigVersion != 0 {
			if u.ConfigVersion != 5 || u.CertificatesVersion != 1 || !u.InContact {
				t.Fatalf("pushed first: %+v", u)
			}
			first = false
		}
	}
	before.conn.Close() // it would delay the answer
	late.conn.Close()
	if a := r.untilCode(200, func() response { return r.call(isolated, "GET", "/config", "", nil) }); !bytes.Equal([]byte(a.body), configBody(5, "b")) {
		t.Error(a)
	}
	r.untilCode(200, func() response { return r.putConfig(isolated, 5, 3, "b") })
}

// TestProcessesMoveToKeepersInContact: processes attached to a partitioned keeper keep using their state, attach to
// keepers that are in contact, and get updates from these.
func TestProcessesMoveToKeepersInContact(t *testing.T) {
	r := newRig(t, 5)
	relays := r.startRelays()
	r.startAll()
	r.untilConnected(0, 1, 2, 3, 4)
	if a := r.putConfig(1, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	var clients []*clientProcess
	for _, name := range []string{"p1", "p2", "p3", "p4"} {
		clients = append(clients, r.attachClient(name, 0)) // learns the other keepers from pushes
	}
	eventually(t, "all have the configuration", func() bool {
		for _, c := range clients {
			if c.version() != 3 || len(c.client.KeeperConns()) != 2 {
				return false
			}
		}
		return true
	})
	relays.cutOff(0, true, true)
	eventually(t, "contact is lost", func() bool { return !r.status(0).InContact })
	r.untilCode(200, func() response { return r.putConfig(2, 5, 3, "b") })
	eventually(t, "no process is attached to the partitioned keeper", func() bool { return len(r.status(0).Attached) == 0 })
	eventually(t, "all have the next configuration, and two keepers each", func() bool {
		for _, c := range clients {
			if c.version() != 5 || len(c.client.KeeperConns()) != 2 {
				return false
			}
		}
		return true
	})
}

// TestProcessesStayWithoutAnyContact: without a majority anywhere, processes stay attached and retain their state, and
// contact is regained automatically. Keepers lose and regain contact one after the other, and processes may move
// meanwhile.
func TestProcessesStayWithoutAnyContact(t *testing.T) {
	r := newRig(t, 3)
	relays := r.startRelays()
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(1, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	c := r.attachClient("p1", 0, 1, 2)
	eventually(t, "it has the configuration", func() bool { return c.version() == 3 && len(c.client.KeeperConns()) == 2 })
	for i := range 3 {
		relays.cutOff(i, true, true)
	}
	eventually(t, "no keeper has contact", func() bool {
		return !r.status(0).InContact && !r.status(1).InContact && !r.status(2).InContact
	})
	attached := c.untilSettled(t)
	const left = "the process left a keeper although no other was in contact"
	select {
	case <-attached[0].Done():
		t.Fatal(left)
	case <-attached[1].Done():
		t.Fatal(left)
	case <-time.After(keeperSearchTime):
	}
	relays.heal()
	eventually(t, "contact is back", func() bool { return r.status(0).InContact && r.status(1).InContact && r.status(2).InContact })
	if c.version() != 3 {
		t.Error("the process lost its configuration")
	}
}

const (
	// keeperSearchTime is how long a process that searches for a keeper in contact is observed: it searches at least
	// every 3 s.
	keeperSearchTime = 4 * time.Second
	// keeperMoveTime is longer than a move to another keeper takes once it has begun.
	keeperMoveTime = time.Second
)

// untilSettled waits until a process has been attached to the same two keepers for a while, and returns the links.
func (a *clientProcess) untilSettled(t *testing.T) (attached []*link.Conn) {
	t.Helper()
	since := time.Now()
	eventually(t, "it stays at two keepers", func() bool {
		now := a.client.KeeperConns() // in any order
		if len(now) != len(attached) || slices.ContainsFunc(now, func(c *link.Conn) bool { return !slices.Contains(attached, c) }) {
			attached, since = now, time.Now()
		}
		return len(attached) == 2 && time.Since(since) > keeperMoveTime
	})
	return attached
}

// TestHeartbeatTargetIsInContact: beat_to names no keeper without contact.
func TestHeartbeatTargetIsInContact(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 2)
	for i, name := range []string{"k2", "k3"} {
		k.adoptLink(conns[i], controlclient.Node{
			Name:        name,
			Role:        controlclient.RoleKeeper,
			Zone:        "far",
			ControlAddr: name + ":1",
			Incarnation: 1,
		}, true)
	}
	report := func(i int, inContact bool) {
		w := link.Writer{}
		controlclient.KeeperReport{InContact: inContact, DecidedSlots: make([]uint64, len(registerNames))}.Append(&w)
		k.handleReport(&link.Message{Conn: conns[i], Body: w.Buf})
	}
	for _, step := range []struct {
		second, third bool
		want          string
	}{{false, false, ""}, {false, true, "k3:1"}, {true, true, "k2:1"}, {true, false, "k2:1"}, {false, false, ""}} {
		report(0, step.second)
		report(1, step.third)
		if got := k.heartbeatTarget("far"); got != step.want {
			t.Errorf("%+v: %q", step, got)
		}
	}
	report(0, true)
	k.adoptLink(conns[1], controlclient.Node{
		Name:        "k2",
		Role:        controlclient.RoleKeeper,
		Zone:        "far",
		ControlAddr: "k2:1",
		Incarnation: 2,
	}, true)
	if got := k.heartbeatTarget("far"); got != "" {
		t.Errorf("target from the report of a former incarnation: %q", got)
	}
}

// TestContactLostWhileAnswerIsPending: contact is checked again after an acknowledgement has waited.
func TestContactLostWhileAnswerIsPending(t *testing.T) {
	r := newRig(t, 3)
	relays := r.startRelays()
	r.pushWait = 4 * time.Second * min(raceSlowdown, 3) // contact must expire within it
	r.startAll()
	r.untilConnected(0, 1, 2)
	p := r.attachManually(0, "p") // acknowledges nothing
	receive(t, p.pushes, "the first push")
	answers := make(chan response, 1)
	go func() { answers <- r.heartbeat(0, "1", "ready", 1) }()
	eventually(t, "the call waits", func() bool {
		waits, _ := query(r.running[0].keeper, func() bool { return len(r.running[0].keeper.waiters) > 0 })
		return waits
	})
	relays.cutOff(0, true, true)
	if a := receive(t, answers, "the answer"); a.status != 503 {
		t.Error(a)
	}
}

// TestEntriesAreMergedWithoutContact: keepers exchange entries of the endpoint list with or without contact.
func TestEntriesAreMergedWithoutContact(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 1)
	w := link.Writer{}
	w.U32(1)
	registry.AppendEntry(&w, &registry.Entry{
		Endpoint:       snapshot.Endpoint{ID: "1", Service: "s", CallCount: 2, State: snapshot.Draining},
		HeartbeatCount: 2,
	})
	k.handleEntries(time.Now(), &link.Message{Conn: conns[0], Body: w.Buf})
	if e, known := k.endpoints.Get(k.sinceStart(time.Now()), "1"); !known || e.State != snapshot.Draining {
		t.Errorf("%+v, %v", e, known)
	}
}
