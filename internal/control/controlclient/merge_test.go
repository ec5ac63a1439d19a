package controlclient

import (
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// TestEndpointListIsSharedUntilEndpointsChange checks that the list of endpoints is rebuilt only if it may have
// changed, and that a list never changes once it is part of a snapshot.
func TestEndpointListIsSharedUntilEndpointsChange(t *testing.T) {
	keeper := startFakeKeeper(t)
	seen := make(chan *snapshot.Snapshot, 64)
	runClient(t, keeper, Options{WantEndpoints: true, OnSnapshot: func(s *snapshot.Snapshot) { seen <- s }})
	conn := <-keeper.links
	awaitSnapshot := func(what string, is func(*snapshot.Snapshot) bool) *snapshot.Snapshot {
		t.Helper()
		timeout := time.After(10 * time.Second)
		for {
			select {
			case s := <-seen:
				if is(s) {
					return s
				}
			case <-timeout:
				t.Fatalf("no snapshot with %s", what)
			}
		}
	}
	push := func(u Update) {
		if err := conn.Send(KindUpdate, u.Encode()); err != nil {
			t.Fatal(err)
		}
	}
	entry := func(id string, count uint64, state snapshot.State) registry.Entry {
		return registry.Entry{
			Endpoint:       snapshot.Endpoint{ID: id, Service: "s", Address: id + ":1", State: state, CallCount: count},
			HeartbeatCount: count,
		}
	}
	same := func(a, b *snapshot.Snapshot) bool {
		return reflect.ValueOf(a.Endpoints).Pointer() == reflect.ValueOf(b.Endpoints).Pointer()
	}

	push(Update{
		Sequence: 1, InContact: true, FullSync: true, EndpointsComplete: true, Proxies: 1,
		Entries: []registry.Entry{entry("a", 1, snapshot.Ready)},
	})
	one := awaitSnapshot("the first endpoint", func(s *snapshot.Snapshot) bool {
		return s.EndpointsComplete && len(s.Endpoints["s"]) == 1
	})
	push(Update{Sequence: 2, InContact: true, EndpointsComplete: true, Proxies: 7})
	two := awaitSnapshot("seven proxies", func(s *snapshot.Snapshot) bool { return s.Proxies == 7 })
	if !two.EndpointsComplete || !same(one, two) {
		t.Error("the list of endpoints was rebuilt although no endpoint changed")
	}
	push(Update{
		Sequence: 3, InContact: true, EndpointsComplete: true,
		Entries: []registry.Entry{entry("b", 1, snapshot.Ready), entry("a", 2, snapshot.Draining)},
	})
	three := awaitSnapshot("two endpoints", func(s *snapshot.Snapshot) bool { return len(s.Endpoints["s"]) == 2 })
	if three.Proxies != 7 || three.Endpoints["s"][0].State != snapshot.Draining {
		t.Errorf("%d proxies, %+v", three.Proxies, three.Endpoints["s"][0])
	}
	if len(two.Endpoints["s"]) != 1 || two.Endpoints["s"][0].State != snapshot.Ready {
		t.Error("the list of an earlier snapshot changed")
	}
	push(Update{
		Sequence: 4, InContact: true, EndpointsComplete: true,
		Entries: []registry.Entry{entry("a", 2, snapshot.Removed)},
	})
	awaitSnapshot("one endpoint left", func(s *snapshot.Snapshot) bool {
		return len(s.Endpoints["s"]) == 1 && s.Endpoints["s"][0].ID == "b"
	})
	// A keeper that restarts its listening period removes no endpoint: its list stays complete.
	push(Update{Sequence: 5, InContact: true, EndpointsComplete: false, Proxies: 9})
	five := awaitSnapshot("nine proxies", func(s *snapshot.Snapshot) bool { return s.Proxies == 9 })
	if !five.EndpointsComplete || len(five.Endpoints["s"]) != 1 || five.Endpoints["s"][0].ID != "b" {
		t.Errorf("complete %v, %d endpoints after a keeper restarted its listening period",
			five.EndpointsComplete, len(five.Endpoints["s"]))
	}
	push(Update{
		Sequence: 6, InContact: true, FullSync: true, EndpointsComplete: true,
		Entries: []registry.Entry{entry("c", 1, snapshot.Ready)},
	})
	awaitSnapshot("another full list", func(s *snapshot.Snapshot) bool {
		return s.EndpointsComplete && len(s.Endpoints["s"]) == 1 && s.Endpoints["s"][0].ID == "c"
	})
}

// TestConcurrentPushesParseConfigurationOnce has two keepers push the same configuration at the same time.
func TestConcurrentPushesParseConfigurationOnce(t *testing.T) {
	keeper := startFakeKeeper(t)
	c := New(Options{
		Self:      Node{Name: "p", Role: RoleProxy},
		Snapshots: &snapshot.Latest{},
		Log:       hclog.NewNullLogger(),
	})
	var parsed atomic.Int64
	c.parseConfig = func([]byte) (*operatorconfig.Config, error) {
		parsed.Add(1)
		time.Sleep(100 * time.Millisecond) // the other push arrives meanwhile; its wait for the lock can't be observed
		return &operatorconfig.Config{Version: 3}, nil
	}
	u := Update{
		Sequence:          1,
		InContact:         true,
		FullSync:          true,
		EndpointsComplete: true,
		Config:            []byte("{}"),
		ConfigVersion:     3,
	}
	var wg sync.WaitGroup
	for range 2 {
		conn, err := link.Dial(t.Context(), keeper.address, c, link.DefaultOptions)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		wg.Go(func() { c.Message(&link.Message{Conn: conn, Kind: KindUpdate, Body: u.Encode()}) })
	}
	wg.Wait()
	if n := parsed.Load(); n != 1 || c.options.Snapshots.Get().Config.Version != 3 {
		t.Errorf("the configuration was parsed %d times, or is not in force", n)
	}
}
