package dispatch

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// regulated is a request that only some endpoints may have; the list may change later.
func regulated(id string, certified *[]string) *Request {
	return &Request{ID: id, Regime: "r", Certified: func(e string) bool { return slices.Contains(*certified, e) }}
}

func expect(t *testing.T, b *harness, want string) {
	t.Helper()
	if got := strings.Join(b.decisions, ", "); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	b.decisions = nil
}

func TestOnlyCertifiedEndpointsGetRegulatedWork(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2", "e3", "e4")
	certified := []string{"e2", "e3"}
	for range 200 {
		b.submit(regulated("q", &certified))
		b.pass(10 * time.Millisecond)
		for _, r := range b.runs {
			if r.target.ID != "e2" && r.target.ID != "e3" {
				t.Fatal(r.target.ID)
			}
			b.c.endRun(r, Served, Load{})
		}
		b.runs = map[string]*run{}
	}
}

func TestRegulatedWorkQueuesAndIsRefusedWithItsReason(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	var certified []string
	b.submit(regulated("1", &certified))
	expect(t, b, "") // nobody is certified: it waits
	b.submit(&Request{ID: "2"})
	expect(t, b, "2 to "+b.runs["2"].target.ID) // and nobody waits behind it
	b.pass(50 * time.Millisecond)
	certified = []string{"e2"}
	b.pass(10 * time.Millisecond)
	expect(t, b, "1 to e2")
	certified = nil
	w := b.submit(regulated("3", &certified))
	b.pass(99 * time.Millisecond)
	expect(t, b, "")
	b.pass(time.Millisecond)
	expect(t, b, "3 refused")
	if w.refused.Regime != "r" || w.refused.Reason != "no certified node for regime r is free" || w.refused.RetryAfter <= 0 {
		t.Errorf("%+v", w.refused)
	}
}

func TestLeastEjectedEndpointIsCertified(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	certified := []string{"e1"}
	for range 2 { // e1 is sick from here on
		w := b.submit(regulated("s", &certified))
		b.c.endRun(w.granted, Broken, Load{})
	}
	if b.firstEndpoint().ejectedUntil == 0 {
		t.Fatal("e1 is not out")
	}
	b.decisions = nil
	b.submit(regulated("1", &certified))
	expect(t, b, "1 to e1") // the least bad of those that are certified, though e2 is sound
	certified = nil
	b.submit(regulated("2", &certified))
	expect(t, b, "")
}

func TestQueuedRegulatedWorkBlocksNobodyElse(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	var certified []string
	for i := range 3 * maxFailedPlacements {
		w := regulated("held"+string(rune('a'+i)), &certified)
		w.Bulk = true
		b.submit(w)
		u := regulated("int"+string(rune('a'+i)), &certified)
		u.Route = &operatorconfig.Route{LatencyTargetMs: 4000}
		b.submit(u)
	}
	expect(t, b, "")
	b.submit(&Request{ID: "plain"})
	b.submit(&Request{ID: "bulk", Bulk: true})
	if b.runs["plain"] == nil || b.runs["bulk"] == nil {
		t.Errorf("%q: they wait for what is of no use to them", b.decisions)
	}
	b.decisions = nil
	b.c.endRun(b.runs["plain"], Served, Load{})
	b.c.endRun(b.runs["bulk"], Served, Load{})
	// Fill all, hold another plain one, and see that it goes when a place comes free, past those that are held.
	b.runs = map[string]*run{}
	for i := range 20 {
		b.submit(&Request{ID: "f" + string(rune('a'+i)), Bulk: true})
	}
	ran := len(b.runs)
	if ran == 20 {
		t.Fatal("nothing waits")
	}
	for _, r := range b.runs {
		b.c.endRun(r, Served, Load{})
		break
	}
	if len(b.runs) != ran+1 {
		t.Error("a place came free, and none of those that wait for any endpoint got it")
	}
}

func TestPreferredEndpointsAreCertified(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2", "e3", "e4", "e5", "e6")
	certified := []string{"e2", "e5"}
	homes := map[string]int{}
	for i := range 40 {
		r := prompt(7, uint64(i))
		r.ID, r.Regime, r.Certified = "h", "r", func(e string) bool { return slices.Contains(certified, e) }
		w := b.submit(r)
		if w.granted == nil {
			t.Fatal("not granted")
		}
		homes[w.granted.target.ID]++
		b.c.endRun(w.granted, Served, Load{})
		b.pass(100 * time.Millisecond)
	}
	if homes["e2"]+homes["e5"] != 40 || max(homes["e2"], homes["e5"]) < 36 {
		t.Errorf("%v", homes)
	}
}

func TestQueuedItemRunsWhenItsCertificateArrives(t *testing.T) {
	d := New(Options{Zone: "a"})
	defer d.Close()
	d.Update(snapshotOf(1, &snapshot.Endpoint{ID: "e1", Service: "s", Address: "e1:1", Zone: "a", Capacity: 4}))
	begin := time.Now().Add(400 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	g, err := d.Acquire(ctx, &Request{Service: "s", Bulk: true, Regime: "r", Certified: func(string) bool { return time.Now().After(begin) }})
	if err != nil {
		t.Fatal(err)
	}
	if time.Now().Before(begin) {
		t.Error("granted before it counted")
	}
	g.End(Served, Load{})
	_, err = d.Acquire(ctx, &Request{Service: "s", Route: &operatorconfig.Route{LatencyTargetMs: 100}, Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
		Regime: "r", Certified: func(string) bool { return false }})
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Regime != "r" {
		t.Errorf("%v", err)
	}
}
