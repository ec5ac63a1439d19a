package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

func TestItemLimit(t *testing.T) {
	endpoint := func(capacity int, state snapshot.State) *snapshot.Endpoint {
		return &snapshot.Endpoint{Capacity: capacity, State: state}
	}
	config := &operatorconfig.Config{Routes: []operatorconfig.Route{
		{Kind: operatorconfig.Bulk, Shares: []operatorconfig.Share{{Service: "lm", Weight: 1}}},
		{Kind: operatorconfig.ReadOnly, Shares: []operatorconfig.Share{{Service: "desk", Weight: 1}}},
	}}
	endpoints := map[string][]*snapshot.Endpoint{
		"lm":   {endpoint(24, snapshot.Ready), endpoint(24, snapshot.Ready), endpoint(24, snapshot.Draining)},
		"desk": {endpoint(6, snapshot.Ready)},
	}
	for _, c := range []struct {
		name string
		snap *snapshot.Snapshot
		want int
	}{
		{"empty snapshot", &snapshot.Snapshot{}, 0},
		{"no endpoints", &snapshot.Snapshot{Config: config, Proxies: 4}, 0},
		{"single proxy", &snapshot.Snapshot{Config: config, Endpoints: endpoints, Proxies: 1}, 48 + spareItems},
		{"one of four", &snapshot.Snapshot{Config: config, Endpoints: endpoints, Proxies: 4}, 12 + spareItems},
		{"more proxies than slots", &snapshot.Snapshot{Config: config, Endpoints: endpoints, Proxies: 100}, spareItems},
	} {
		if got := itemLimit(c.snap); got != c.want {
			t.Errorf("%s: %d items, want %d", c.name, got, c.want)
		}
	}
}

// TestBatchCallNamesTheTenant guards against calls that are served as everybody's, or for the tenant that a client names.
func TestBatchCallNamesTheTenant(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/lots/a?start_after=3", nil)
	r.Host = "h.example"
	r.Header.Set("X-Dunetide-Tenant", "gym")
	call := newBatchCall(r, "club", []byte("body"))
	if call.Tenant != "club" || call.Method != "GET" || call.Host != "h.example" || call.Path != "/lots/a" || call.Query != "start_after=3" ||
		string(call.Body) != "body" {
		t.Errorf("%+v", call)
	}
}
