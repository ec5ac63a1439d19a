package main

import (
	"testing"

	"dunetide/internal/operator"
	"dunetide/internal/view"
)

func TestInHand(t *testing.T) {
	endpoint := func(capacity int, state view.State) *view.Endpoint {
		return &view.Endpoint{Capacity: capacity, State: state}
	}
	config := &operator.Config{Routes: []operator.Route{
		{Kind: operator.Bulk, Shares: []operator.Share{{Service: "lm", Weight: 1}}},
		{Kind: operator.ReadOnly, Shares: []operator.Share{{Service: "desk", Weight: 1}}},
	}}
	endpoints := map[string][]*view.Endpoint{
		"lm":   {endpoint(24, view.Ready), endpoint(24, view.Ready), endpoint(24, view.Draining)},
		"desk": {endpoint(6, view.Ready)},
	}
	for _, c := range []struct {
		name string
		snap *view.Snapshot
		want int
	}{
		{"nothing is known", &view.Snapshot{}, 0},
		{"no endpoint is known", &view.Snapshot{Config: config, Senders: 4}, 0},
		{"alone", &view.Snapshot{Config: config, Endpoints: endpoints, Senders: 1}, 48 + spareItems},
		{"one of four", &view.Snapshot{Config: config, Endpoints: endpoints, Senders: 4}, 12 + spareItems},
		{"more senders than places", &view.Snapshot{Config: config, Endpoints: endpoints, Senders: 100}, spareItems},
	} {
		if got := inHand(c.snap); got != c.want {
			t.Errorf("%s: %d items, want %d", c.name, got, c.want)
		}
	}
}
