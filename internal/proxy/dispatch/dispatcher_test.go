package dispatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

func snapshotOf(senders int, eps ...*snapshot.Endpoint) *snapshot.Snapshot {
	return &snapshot.Snapshot{Proxies: senders, Config: &operatorconfig.Config{Services: map[string]*operatorconfig.Service{"s": {Name: "s"}}},
		Endpoints: map[string][]*snapshot.Endpoint{"s": eps}}
}

func request(now time.Time) *Request {
	return &Request{Service: "s", Route: &operatorconfig.Route{LatencyTargetMs: 400}, Arrived: now,
		Deadline: now.Add(time.Minute), Due: now.Add(400 * time.Millisecond)}
}

func TestAcquireGrants(t *testing.T) {
	h := &snapshot.Latest{}
	h.Set(snapshotOf(1, &snapshot.Endpoint{ID: "e1", Address: "x:1", Zone: "a", Capacity: 2}))
	d := New(Options{Zone: "a", Snapshots: h})
	defer d.Close()
	g, err := d.Acquire(context.Background(), request(time.Now()))
	if err != nil || g.Endpoint() != (Target{ID: "e1", Address: "x:1", Service: "s", Zone: "a"}) {
		t.Fatalf("%v %v", g, err)
	}
	g.FirstToken(Load{Running: 1, Slots: 2, Known: true})
	g.End(Served, Load{})
	g.End(Served, Load{}) // a second call has no effect
	if n := len(d.core.endpoints["e1"].running); n != 0 {
		t.Errorf("%d runs have not ended", n)
	}
}

func TestCanceledAcquireLeavesTheQueue(t *testing.T) {
	d := New(Options{Zone: "a"})
	defer d.Close()
	ctx, cancel := context.WithCancel(context.Background())
	r := request(time.Now())
	r.Bulk = true
	cancelled := make(chan error)
	go func() {
		_, err := d.Acquire(ctx, r)
		cancelled <- err
	}()
	cancel()
	if err := <-cancelled; !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
	if d.core.queued != 0 {
		t.Error("the request is still queued")
	}
}

func TestQueuedBulkRunsWhenAnEndpointArrives(t *testing.T) {
	d := New(Options{Zone: "a"})
	defer d.Close()
	r := request(time.Now())
	r.Bulk = true
	granted := make(chan string)
	go func() {
		g, err := d.Acquire(context.Background(), r)
		if err != nil {
			granted <- err.Error()
			return
		}
		granted <- g.Endpoint().ID
	}()
	d.Update(snapshotOf(1, &snapshot.Endpoint{ID: "e1", Zone: "a", Capacity: 2}))
	if got := <-granted; got != "e1" {
		t.Error(got)
	}
}

func TestCloseRefusesPendingAndNewRequests(t *testing.T) {
	d := New(Options{Zone: "a"})
	r := request(time.Now())
	r.Bulk = true
	answer := make(chan error)
	go func() {
		_, err := d.Acquire(context.Background(), r)
		answer <- err
	}()
	d.Close()
	var refused *RefusedError
	if err := <-answer; !errors.As(err, &refused) {
		t.Errorf("%v", err)
	}
	if _, err := d.Acquire(context.Background(), r); !errors.As(err, &refused) {
		t.Errorf("after Close: %v", err)
	}
}

// TestConcurrentAcquires acquires from many goroutines at once, for the race detector.
func TestConcurrentAcquires(t *testing.T) {
	d := New(Options{Zone: "a"})
	defer d.Close()
	var eps []*snapshot.Endpoint
	for _, id := range []string{"e1", "e2", "e3"} {
		eps = append(eps, &snapshot.Endpoint{ID: id, Zone: "a", Capacity: 8})
	}
	d.Update(snapshotOf(2, eps...))
	var all sync.WaitGroup
	for i := range 16 {
		all.Go(func() {
			for j := range 200 {
				r := request(time.Now())
				r.Bulk = i%2 == 0
				g, err := d.Acquire(context.Background(), r)
				if err != nil {
					continue
				}
				if j%7 == 0 {
					d.Update(snapshotOf(1+j%3, eps...))
				}
				g.FirstToken(Load{Running: 1, Slots: 8, Known: true})
				g.End([]Outcome{Served, Canceled}[j%2], Load{})
			}
		})
	}
	all.Wait()
	for id, e := range d.core.endpoints {
		if len(e.running) != 0 {
			t.Errorf("%d runs have not ended at %s", len(e.running), id)
		}
	}
	if d.core.queued != 0 {
		t.Errorf("%d requests are still queued", d.core.queued)
	}
}

func BenchmarkAcquire(b *testing.B) {
	d := New(Options{Zone: "a"})
	var eps []*snapshot.Endpoint
	for i := range 18 {
		eps = append(eps, &snapshot.Endpoint{ID: string(rune('a' + i)), Zone: "a", Capacity: 24})
	}
	d.Update(snapshotOf(10, eps...))
	r := request(time.Now().Add(time.Hour))
	r.Prefix = []PromptPart{{1, 10000}, {2, 3300}, {3, 3720}}
	b.ReportAllocs()
	for b.Loop() {
		r.Prefix[2].ID++
		g, err := d.Acquire(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		g.FirstToken(Load{Running: 1, Slots: 24, Known: true})
		g.End(Served, Load{})
	}
}
