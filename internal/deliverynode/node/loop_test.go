package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dunetide/internal/deliverynode/journal"
	"dunetide/policy"
)

// Sends of one step to one endpoint are combined into one call, up to the bundle limit of its kind.
func TestSendsOfOneStepAreBundled(t *testing.T) {
	type seen struct {
		path string
		size int
	}
	calls := make(chan seen, 8)
	addr := rawServer(t, func(_ int64, conn net.Conn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body) // a truncated body shows in its size
		calls <- seen{req.URL.Path, len(body)}
		fmt.Fprint(conn, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
	})
	j, _ := mustOpen(t, t.TempDir(), journal.MinDisk)
	settings := policy.Settings{Senders: 1, Slots: 8, MaxHeld: 100, MaxAttempts: 6, Tick: 5 * time.Millisecond,
		Kinds: []policy.Kind{{RoutesApart: true, BundleMax: 5}}, ConnectTimeout: time.Second,
		Classes: []policy.Class{{Repeat: policy.Deduplicated, GroupZone: true, Window: 12 * time.Second,
			Aim: 3 * time.Second, Deadline: 28 * time.Second, Worth: 1}}}
	l := &loop{sender: policy.New(settings, 1), settings: settings, log: quietLog(), journal: j, origin: time.Now(),
		names: names{kinds: map[string]int{"major": 0}, zones: map[string]int{"a": 0}}, reports: newCompletionReports(newAgent("127.0.0.1:1"), quietLog()),
		intake: &intake{held: map[string]bool{}, endedIDs: journal.NewIDRing(0)}, held: map[policy.MessageID]*journal.Message{},
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{}}
	outcomes := make(chan policy.Event, 8)
	l.caller = newCaller(Config{Settings: settings, IdleClose: time.Minute}, quietLog(), func(e policy.Event) { outcomes <- e })
	l.handle(list{Complete: true, Members: []member{{ID: "s1", HostPort: addr, Locality: "a", Flavor: "major", Cell: 7, Phase: "active"}}})
	for i := range 5 {
		m := newMessage(fmt.Sprint("m", i), 10)
		must(t, j.Accept(m))
		l.handle(m)
	}
	l.step(context.Background())
	select {
	case c := <-calls:
		if want := 5 * (len("m0 k-m0 10\r\n") + 10 + 2); c.path != "/events/bundle" || c.size != want {
			t.Errorf("one call to %s of %d bytes, want a bundle of %d", c.path, c.size, want)
		}
	case <-time.After(testTimeout):
		t.Fatal("no call received")
	}
	for range 5 {
		select {
		case e := <-outcomes:
			if e.(policy.Ended).Outcome != policy.Full {
				t.Errorf("outcome %+v, want full", e)
			}
		case <-time.After(testTimeout):
			t.Fatal("an outcome is missing")
		}
	}
	if len(calls) != 0 {
		t.Errorf("another call: %+v", <-calls)
	}
}

// All state of an endpoint that is gone is dropped, except while a call to it is in flight or a wait for its destination lasts.
func TestStateOfGoneEndpointsIsDropped(t *testing.T) {
	j, _ := mustOpen(t, t.TempDir(), journal.MinDisk)
	l := &loop{names: names{kinds: map[string]int{"m": 0}, zones: map[string]int{"a": 0}}, log: quietLog(), journal: j,
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{}, caller: newCaller(Config{}, quietLog(), nil)}
	listPhase := func(n int, phase string) policy.EndpointID {
		name := fmt.Sprint("e", n)
		l.applyList(list{Members: []member{{ID: name, Flavor: "m", Locality: "a", Cell: n, Phase: phase}}})
		return policy.EndpointID(hash(name))
	}
	busy, waits := listPhase(0, "active"), listPhase(1, "active")
	l.endpoints[busy].inFlight = 1
	l.endpoints[waits].waits.wait(time.Now().Add(time.Hour))
	for n := range 1000 {
		listPhase(n, "active")
		listPhase(n, "leaving")
		listPhase(n, "left")
	}
	if len(l.endpoints) != 1 || l.endpoints[busy] == nil || len(l.waits) != 2 || len(l.caller.pools.Stats(9).Pools) != 0 {
		t.Errorf("%d endpoints, %d waits and %d pools are left, want the busy one, its gate and that of the wait",
			len(l.endpoints), len(l.waits), len(l.caller.pools.Stats(9).Pools))
	}
	l.handle(policy.Ended{Endpoint: busy})
	if len(l.endpoints) != 0 || len(l.waits) != 1 {
		t.Errorf("%d endpoints and %d waits are left, want the wait alone", len(l.endpoints), len(l.waits))
	}
	listPhase(1, "active")
	if l.endpoints[waits].mayCall() {
		t.Error("the wait was dropped")
	}
}
