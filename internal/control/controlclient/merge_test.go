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

// The list of endpoints is made anew only when it may have changed, and one that was shared never changes.
func TestEndpointListIsSharedWhileOtherThingsChange(t *testing.T) {
	keeper := startFakeKeeper(t)
	seen := make(chan *snapshot.Snapshot, 64)
	runClient(t, keeper, Options{WantEndpoints: true, OnSnapshot: func(s *snapshot.Snapshot) { seen <- s }})
	conn := <-keeper.links
	awaitSnapshot := func(what string, is func(*snapshot.Snapshot) bool) *snapshot.Snapshot {
		t.Helper()
		late := time.After(10 * time.Second)
		for {
			select {
			case s := <-seen:
				if is(s) {
					return s
				}
			case <-late:
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
		t.Error("the list was made anew though nothing of it changed")
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
		t.Error("a shared list changed")
	}
	push(Update{
		Sequence: 4, InContact: true, EndpointsComplete: true,
		Entries: []registry.Entry{entry("a", 2, snapshot.Removed)},
	})
	awaitSnapshot("one endpoint left", func(s *snapshot.Snapshot) bool {
		return len(s.Endpoints["s"]) == 1 && s.Endpoints["s"][0].ID == "b"
	})
	// A keeper that begins anew to collect heartbeats removes no endpoint: its list stays complete.
	push(Update{Sequence: 5, InContact: true, EndpointsComplete: false, Proxies: 9})
	five := awaitSnapshot("nine proxies", func(s *snapshot.Snapshot) bool { return s.Proxies == 9 })
	if !five.EndpointsComplete || len(five.Endpoints["s"]) != 1 || five.Endpoints["s"][0].ID != "b" {
		t.Errorf("complete %v, %d endpoints after a keeper began to collect heartbeats anew",
			five.EndpointsComplete, len(five.Endpoints["s"]))
	}
	push(Update{
		Sequence: 6, InContact: true, FullSync: true, EndpointsComplete: true,
		Entries: []registry.Entry{entry("c", 1, snapshot.Ready)},
	})
	awaitSnapshot("another whole list", func(s *snapshot.Snapshot) bool {
		return s.EndpointsComplete && len(s.Endpoints["s"]) == 1 && s.Endpoints["s"][0].ID == "c"
	})
}

// A configuration that two keepers push at once is parsed once.
func TestConfigurationIsParsedOnce(t *testing.T) {
	keeper := startFakeKeeper(t)
	c := New(Options{
		Self:      Node{Name: "p", Role: RoleProxy},
		Snapshots: &snapshot.Latest{},
		Log:       hclog.NewNullLogger(),
	})
	var parsed atomic.Int64
	c.parseConfig = func([]byte) (*operatorconfig.Config, error) {
		parsed.Add(1)
		time.Sleep(100 * time.Millisecond) // the other push arrives meanwhile, and can't be seen to wait
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
		t.Errorf("it was parsed %d times", n)
	}
}
