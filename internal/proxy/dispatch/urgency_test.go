package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// drawWaiter draws a waiter of one of few values for each property, so that ties are common.
func drawWaiter(rng *rand.Rand, sequence uint64) *waiter {
	request := &Request{Bulk: rng.IntN(3) == 0, TenantPriority: rng.IntN(3)}
	if rng.IntN(4) > 0 {
		request.Route = &operatorconfig.Route{Priority: rng.IntN(3)}
	}
	return &waiter{
		request:  request,
		sequence: sequence,
		deadline: time.Duration(rng.IntN(3)) * time.Second,
		due:      time.Duration(rng.IntN(3)) * time.Second,
	}
}

// An order that is not total, or that contradicts itself, makes the binary search of enqueue put requests at the wrong places.
func TestUrgencyIsATotalOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 20_000 {
		a, b, c := drawWaiter(rng, 1), drawWaiter(rng, 2), drawWaiter(rng, 3)
		ab, ba, bc, ac := compareUrgency(a, b), compareUrgency(b, a), compareUrgency(b, c), compareUrgency(a, c)
		if ab == 0 || cmp.Compare(ab, 0) != -cmp.Compare(ba, 0) || compareUrgency(a, a) != 0 {
			t.Fatalf("%+v and %+v compare as %d and, exchanged, as %d", a, b, ab, ba)
		}
		if ab < 0 && bc < 0 && ac > 0 {
			t.Fatalf("%+v precedes %+v, which precedes %+v, which precedes the first", a, b, c)
		}
		interactive := !a.request.Bulk && !b.request.Bulk
		if interactive && a.request.TenantPriority < b.request.TenantPriority && ab > 0 {
			t.Fatalf("%+v goes after %+v, whose tenant has a lower priority", a, b)
		}
	}
}

// Without this, a less urgent tenant's requests that are late anyway take slots that a more urgent tenant is refused.
func TestLateRequestsOfLessUrgentTenantsNeedLowerLoad(t *testing.T) {
	const slots = 20
	// mostRunning returns the number of running requests up to which a late request is started.
	mostRunning := func(tenantPriority, routePriority int) int {
		b := newHarness(Settings{})
		b.snap.Config.Routes = []operatorconfig.Route{{Shares: []operatorconfig.Share{{Service: "s", Weight: 1}}, Priority: 2}}
		b.snap.Endpoints["s"] = []*snapshot.Endpoint{{ID: "e1", Service: "s", Zone: "a", Capacity: slots}}
		b.c.applySnapshot(b.snap)
		b.c.now = time.Minute
		endpoint := b.firstEndpoint()
		endpoint.pool.lastFirstToken = b.c.now
		w := &waiter{
			request:  &Request{TenantPriority: tenantPriority, Route: &operatorconfig.Route{Priority: routePriority}},
			due:      b.c.now,
			deadline: b.c.now + time.Hour,
		}
		most := -1
		for ; b.c.estimateAllows(endpoint, w, 1); most++ {
			endpoint.running = append(endpoint.running, &run{endpoint: endpoint})
		}
		return most
	}
	order := [][2]int{{0, 0}, {0, 1}, {0, 2}, {1, 0}, {1, 2}, {2, 0}, {9, 2}}
	var limits []int
	for _, priorities := range order {
		limits = append(limits, mostRunning(priorities[0], priorities[1]))
	}
	t.Logf("running requests up to which a late one is started, for (tenant, route) %v: %v", order, limits)
	if !slices.IsSortedFunc(limits, func(a, b int) int { return cmp.Compare(b, a) }) {
		t.Errorf("a less urgent request is started at a higher load: %v for (tenant, route) %v", limits, order)
	}
	if limits[2] <= limits[3] {
		t.Errorf("the tenant's priority makes no difference: %v for (tenant, route) %v", limits, order)
	}
	// A refusal while half of the slots are free wastes capacity.
	if limits[len(limits)-1] < slots/2-1 {
		t.Errorf("the least urgent request is refused with %d of %d slots taken", limits[len(limits)-1]+1, slots)
	}
}
