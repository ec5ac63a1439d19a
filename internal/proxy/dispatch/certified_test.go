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

// regulated returns a request that only certified endpoints may serve. The list may change later.
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

func TestOnlyCertifiedEndpointsGetRegulatedRequests(t *testing.T) {
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

func TestRegulatedRequestsQueueAndAreRefusedWithTheirReason(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	var certified []string
	b.submit(regulated("1", &certified))
	expect(t, b, "") // no endpoint is certified: it waits
	b.submit(&Request{ID: "2"})
	expect(t, b, "2 to "+b.runs["2"].target.ID) // a request without a regime does not wait behind it
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
	for range 2 { // so that e1 is ejected
		w := b.submit(regulated("s", &certified))
		b.c.endRun(w.granted, Broken, Load{})
	}
	if b.firstEndpoint().ejectedUntil == 0 {
		t.Fatal("e1 is not ejected")
	}
	b.decisions = nil
	b.submit(regulated("1", &certified))
	expect(t, b, "1 to e1") // the only certified one, though it is ejected and e2 is healthy
	certified = nil
	b.submit(regulated("2", &certified))
	expect(t, b, "")
}

func TestQueuedRegulatedRequestsDoNotBlockOthers(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	var certified []string
	for i := range 3 * maxFailedPlacements {
		w := regulated("queued"+string(rune('a'+i)), &certified)
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
		t.Errorf("%q: requests without a regime wait behind regulated ones", b.decisions)
	}
	b.decisions = nil
	b.c.endRun(b.runs["plain"], Served, Load{})
	b.c.endRun(b.runs["bulk"], Served, Load{})
	// When all slots are in use and one becomes free, a queued request without a regime gets it, ahead of the regulated ones.
	b.runs = map[string]*run{}
	for i := range 20 {
		b.submit(&Request{ID: "f" + string(rune('a'+i)), Bulk: true})
	}
	ran := len(b.runs)
	if ran == 20 {
		t.Fatal("none of the 20 requests is queued")
	}
	for _, r := range b.runs {
		b.c.endRun(r, Served, Load{})
		break
	}
	if len(b.runs) != ran+1 {
		t.Error("a slot became free, but no queued request without a regime got it")
	}
}

func TestPreferredEndpointsAreCertified(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2", "e3", "e4", "e5", "e6")
	certified := []string{"e2", "e5"}
	grants := map[string]int{}
	for i := range 40 {
		r := prompt(7, uint64(i))
		r.ID, r.Regime, r.Certified = "h", "r", func(e string) bool { return slices.Contains(certified, e) }
		w := b.submit(r)
		if w.granted == nil {
			t.Fatal("not granted")
		}
		grants[w.granted.target.ID]++
		b.c.endRun(w.granted, Served, Load{})
		b.pass(100 * time.Millisecond)
	}
	if grants["e2"]+grants["e5"] != 40 || max(grants["e2"], grants["e5"]) < 36 {
		t.Errorf("%v", grants)
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
		t.Error("granted before the certificate was valid")
	}
	g.End(Served, Load{})
	_, err = d.Acquire(ctx, &Request{Service: "s", Route: &operatorconfig.Route{LatencyTargetMs: 100}, Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
		Regime: "r", Certified: func(string) bool { return false }})
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Regime != "r" {
		t.Errorf("%v", err)
	}
}
