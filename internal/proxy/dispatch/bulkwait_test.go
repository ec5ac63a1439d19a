package dispatch

import (
	"slices"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// TestBulkDoesNotWaitForEndpointsThatItAvoids guards against items that wait for ever beside idle endpoints, each of
// which has turned them away once.
func TestBulkDoesNotWaitForEndpointsThatItAvoids(t *testing.T) {
	for _, regime := range []string{"", "eu"} {
		b := newHarness(Settings{})
		b.addEndpoints("e1", "e2", "e3")
		r := &Request{ID: "r", Bulk: true, Avoid: []string{"e1", "e2", "e3"}, Regime: regime}
		if regime != "" {
			r.Certified = func(string) bool { return true }
		}
		if w := b.submit(r); w.refused == nil || w.refused.RetryAfter <= 0 {
			t.Errorf("regime %q: all endpoints are avoided, but the request was not refused: %+v", regime, w)
		}
	}
}

// TestBulkEndsItsWaitWithItsLastEndpoint guards against an item that waits for the one endpoint which it need not avoid,
// also when that is gone.
func TestBulkEndsItsWaitWithItsLastEndpoint(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1", "e2")
	for _, e := range b.c.endpoints {
		e.fullUntil = b.c.now + time.Minute
	}
	w := b.submit(&Request{ID: "r", Bulk: true, Avoid: []string{"e1"}})
	if w.granted != nil || w.refused != nil {
		t.Fatalf("it did not wait for e2: %+v", w)
	}
	b.snap.Endpoints["s"] = b.snap.Endpoints["s"][:1]
	b.c.applySnapshot(b.snap)
	if w.refused == nil || b.c.queued != 0 {
		t.Errorf("it still waits, and %d are queued", b.c.queued)
	}
}

// TestBulkWaitsForWhatMayCome: an item waits as long as an endpoint may take it, or may appear.
func TestBulkWaitsForWhatMayCome(t *testing.T) {
	for name, c := range map[string]struct {
		request Request
		prepare func(b *harness)
	}{
		"no endpoint": {Request{Avoid: []string{"e9"}}, func(*harness) {}},
		"all full": {Request{Avoid: []string{"e1"}}, func(b *harness) {
			b.addEndpoints("e1", "e2")
			b.c.endpoints["e2"].fullUntil = b.c.now + time.Minute
		}},
		"its avoided endpoints are not ready": {Request{Avoid: []string{"e1"}}, func(b *harness) {
			b.addEndpoints("e1")
			b.snap.Endpoints["s"][0].State = snapshot.Draining
			b.c.applySnapshot(b.snap)
		}},
		"none is certified": {
			Request{Avoid: []string{"e1"}, Regime: "eu", Certified: func(string) bool { return false }},
			func(b *harness) { b.addEndpoints("e1", "e2") },
		},
	} {
		b := newHarness(Settings{})
		c.prepare(b)
		r := c.request
		r.ID, r.Bulk = "r", true
		if w := b.submit(&r); w.refused != nil || w.granted != nil {
			t.Errorf("%s: %q", name, b.decisions)
		}
		b.pass(time.Minute)
		if len(b.decisions) != 0 && name != "all full" {
			t.Errorf("%s: %q", name, b.decisions)
		}
	}
}

// TestBulkLeavesAServiceToWhichItsRouteNoLongerLeads guards against items that wait at the service that their route had
// when their run began.
func TestBulkLeavesAServiceToWhichItsRouteNoLongerLeads(t *testing.T) {
	b := newHarness(Settings{})
	b.c.applySnapshot(b.snap)
	leadsTo := func(config *operatorconfig.Config, service string) bool {
		return slices.ContainsFunc(config.Routes, func(r operatorconfig.Route) bool { return r.Shares[0].Service == service })
	}
	move := func(service string) {
		config := *b.snap.Config
		config.Routes = []operatorconfig.Route{{Shares: []operatorconfig.Share{{Service: service, Weight: 1}}}}
		b.snap.Config = &config
		b.c.applySnapshot(b.snap)
	}
	move("s")
	waiting := b.submit(&Request{ID: "waiting", Bulk: true, LeadsTo: leadsTo})
	if waiting.refused != nil {
		t.Fatalf("it does not wait at the service of its route: %+v", waiting.refused)
	}
	move("other")
	if waiting.refused == nil {
		t.Error("it still waits after its route has moved")
	}
	b.addEndpoints("e1")
	if late := b.submit(&Request{ID: "late", Bulk: true, LeadsTo: leadsTo}); late.granted != nil {
		t.Error("it was sent to a service to which its route no longer leads")
	}
}
