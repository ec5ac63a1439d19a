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

// checkNoConfigPushed acknowledges all pushes so far, and fails if anything of the registers is in one.
func checkNoConfigPushed(t *testing.T, w *manualProcess) {
	t.Helper()
	for {
		select {
		case u := <-w.pushes:
			if u.ConfigVersion != 0 || u.Config != nil || u.Table != nil || u.Certificates != nil || u.CertificatesVersion != 0 || u.InContact {
				t.Fatalf("registers are handed out without contact: %+v", u)
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

// encodeUnheldLeaseRequest encodes a request for the lease of a role that nobody has, so that only the keeper's own
// state can refuse it.
func encodeUnheldLeaseRequest(holder string) []byte {
	w := link.Writer{}
	w.String("observed")
	w.String(holder)
	w.Bool(false)
	return w.Buf
}

// mayGrantAsVoter has a keeper treat the link of an attached process as that of another keeper, which votes, and
// reports whether the keeper would grant that one a lease as far as the voters go.
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

// TestCallsWithoutContact plays each row of the table in docs/control.md at a keeper that is partitioned from the
// others and can still be called.
func TestCallsWithoutContact(t *testing.T) {
	for name, cut := range map[string]struct{ from, to bool }{
		"both ways": {true, true}, "its words are lost": {true, false}, "it hears nothing": {false, true},
	} {
		t.Run(name, func(t *testing.T) { testCallsWithoutContact(t, cut.from, cut.to) })
	}
}

func testCallsWithoutContact(t *testing.T, from, to bool) {
	const lone = 0
	r := newRig(t, 3)
	r.pushWait = testTimeout // an answer that waits for pushes is seen
	relays := r.startRelays()
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(lone, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	if a := r.putCertificates(lone, "0", certificatesBody(t, 1, "e1")); a.status != 200 {
		t.Fatal(a)
	}
	if a := r.heartbeat(lone, "1", "ready", 1); a.status != 200 {
		t.Fatal(a)
	}
	before := r.attachManually(lone, "before") // attached, and acknowledges nothing
	for u := receive(t, before.pushes, "the first push"); u.ConfigVersion != 3; u = receive(t, before.pushes, "the configuration") {
		if !u.InContact {
			t.Fatalf("pushed in contact: %+v", u)
		}
	}

	relays.cutOff(lone, from, to)
	eventually(t, "contact is lost", func() bool { return !r.status(lone).InContact })
	if s := r.status(1); !s.InContact {
		t.Fatal("the majority has no contact")
	}
	eventually(t, "the majority takes the next", func() bool { return r.putConfig(1, 5, 3, "b").status == 200 })

	refused := map[string]func() response{
		"a configuration":                    func() response { return r.putConfig(lone, 6, 3, "c") },
		"a configuration on the newest":      func() response { return r.putConfig(lone, 6, 5, "c") },
		"a configuration under an old one":   func() response { return r.putConfig(lone, 2, 3, "c") },
		"a configuration that was taken":     func() response { return r.putConfig(lone, 5, 3, "b") },
		"a configuration that was known":     func() response { return r.putConfig(lone, 3, 0, "a") },
		"the configuration read":             func() response { return r.call(lone, "GET", "/config", "", nil) },
		"certificates":                       func() response { return r.putCertificates(lone, "1", certificatesBody(t, 2, "e1")) },
		"certificates read":                  func() response { return r.call(lone, "GET", certificatesPath, "", nil) },
		"a retirement":                       func() response { return r.call(lone, "POST", "/retire/x", "", []byte(`{"over_s":10}`)) },
		"a retirement read":                  func() response { return r.call(lone, "GET", "/retire/x", "", nil) },
		"a heartbeat without news":           func() response { return r.heartbeat(lone, "1", "ready", 2) },
		"a heartbeat with news":              func() response { return r.heartbeat(lone, "2", "ready", 1) },
		"a drain":                            func() response { return r.heartbeat(lone, "3", "draining", 1) },
		"the end of one that is not known":   func() response { return r.call(lone, "DELETE", "/instances/9", "", nil) },
		"the end of an endpoint that drains": func() response { return r.call(lone, "DELETE", "/instances/4", "", nil) },
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
		"a heartbeat that can't be read":     func() response { return r.call(lone, "PUT", "/instances/1", "", []byte("{")) },
		"a configuration that can't be read": func() response { return r.call(lone, "PUT", "/config", "5", []byte("{")) },
	} {
		if a := call(); a.status != 400 {
			t.Errorf("%s: %v", what, a)
		}
	}

	// What endpoints reported is stored and pushed to the attached processes, without anything of the registers.
	count := 10
	eventually(t, "what endpoints report is stored", func() bool {
		count++
		r.heartbeat(lone, "1", "ready", count)
		r.heartbeat(lone, "2", "ready", count)
		r.heartbeat(lone, "3", "draining", count)
		return r.status(lone).EndpointsByService["s"] == 3
	})
	for drains := false; !drains; {
		u := receive(t, before.pushes, "the drain")
		if u.InContact && u.Entries != nil {
			continue // from before
		}
		if u.ConfigVersion != 0 || u.CertificatesVersion > 1 {
			t.Fatalf("registers are pushed without contact: %+v", u)
		}
		for _, e := range u.Entries {
			drains = drains || e.ID == "3" && e.State == snapshot.Draining
		}
	}

	// A process that attaches is told that there is no contact, and is pushed nothing of the registers.
	late := r.attachManually(lone, "late")
	reply := link.Reader{Buf: late.hello}
	controlclient.ReadNode(&reply)
	reply.Bool()
	if inContact := reply.Bool(); inContact || reply.Err != nil {
		t.Errorf("the reply to Hello says contact: %v, %v", inContact, reply.Err)
	}
	if b, err := late.call(t, controlclient.KindInContact, nil); err != nil || !bytes.Equal(b, []byte{0}) {
		t.Errorf("asked whether it is in contact, it says %v, %v", b, err)
	}
	if _, err := late.call(t, controlclient.KindConfirm, nil); err == nil {
		t.Error("certificates are confirmed")
	}
	if _, err := before.call(t, controlclient.KindConfirm, nil); err == nil {
		t.Error("certificates are confirmed for one that was pushed them before")
	}
	if mayGrant := r.mayGrantAsVoter(lone, "late", 1); !mayGrant && from && to { // else it may know that it lacks a state
		t.Error("no lease would be granted with contact either")
	}
	if b, err := late.call(t, controlclient.KindLease, encodeUnheldLeaseRequest("k2")); err != nil || !bytes.Equal(b, []byte{0}) {
		t.Errorf("a lease is answered %v, %v", b, err)
	}
	checkNoConfigPushed(t, late)
	if s := r.status(lone); s.InContact || to && s.ConfigVersion != 3 || s.AssignsPartitions {
		t.Errorf("%+v", s)
	}

	relays.heal()
	eventually(t, "contact is back", func() bool { return r.status(lone).InContact })
	for first := true; first; {
		if u := receive(t, late.pushes, "the configuration"); u.ConfigVersion != 0 {
			if u.ConfigVersion != 5 || u.CertificatesVersion != 1 || !u.InContact {
				t.Fatalf("handed out first: %+v", u)
			}
			first = false
		}
	}
	before.conn.Close() // which would hold up the answer
	late.conn.Close()
	if a := r.untilCode(200, func() response { return r.call(lone, "GET", "/config", "", nil) }); !bytes.Equal([]byte(a.body), configBody(5, "b")) {
		t.Error(a)
	}
	r.untilCode(200, func() response { return r.putConfig(lone, 5, 3, "b") })
}

// TestProcessesMoveToKeepersInContact: processes attached to a partitioned keeper go on with what they have, find
// keepers that are in contact, and get what is new from these.
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
		clients = append(clients, r.attachClient(name, 0)) // it learns of the other keepers by pushes
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
	eventually(t, "nobody is attached to the keeper that is cut off", func() bool { return len(r.status(0).Attached) == 0 })
	eventually(t, "all have the next, and two keepers each", func() bool {
		for _, c := range clients {
			if c.version() != 5 || len(c.client.KeeperConns()) != 2 {
				return false
			}
		}
		return true
	})
}

// TestProcessesStayWithoutAnyContact: without a majority anywhere, processes stay attached and retain what they have,
// and contact comes back by itself. Keepers lose and regain contact one after the other, and processes may move
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
	const left = "it has left a keeper, and no other was in contact"
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
		t.Error("it has lost its configuration")
	}
}

const (
	// keeperSearchTime is how long a process that looks for a keeper in contact is watched: it looks at least every 3
	// s.
	keeperSearchTime = 4 * time.Second
	// keeperMoveTime is more than a move takes once it has begun.
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
		t.Errorf("by the report of a former incarnation: %q", got)
	}
}

// TestContactLostWhileAnswerIsPending: contact is checked again after an acknowledgement has waited.
func TestContactLostWhileAnswerIsPending(t *testing.T) {
	r := newRig(t, 3)
	relays := r.startRelays()
	r.pushWait = 4 * time.Second * min(raceSlowdown, 3) // contact has to run out within it
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

// TestEntriesAreMergedWithoutContact: keepers exchange entries of the endpoint list in contact or not.
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
	if e, there := k.endpoints.Get(k.sinceStart(time.Now()), "1"); !there || e.State != snapshot.Draining {
		t.Errorf("%+v, %v", e, there)
	}
}
