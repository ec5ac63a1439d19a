package main

import (
	"slices"
	"testing"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/proxy/forward"
)

// TestItemOfARemovedRouteIsNotRun guards against items that run at the service of another route which has got the name
// of theirs.
func TestItemOfARemovedRouteIsNotRun(t *testing.T) {
	config := &operatorconfig.Config{Version: 2, Routes: []operatorconfig.Route{{
		Name: "b", Host: "other.example", PathPrefix: "/b/", Kind: operatorconfig.Bulk,
		Shares: []operatorconfig.Share{{Service: "other", Weight: 1}},
	}}}
	holder := &snapshot.Latest{}
	holder.Set(&snapshot.Snapshot{Config: config})
	runner := &forwardRunner{snapshots: holder}
	runner.proxy.Store(&forward.Proxy{}) // it is not asked
	item := &batch.Item{ID: "item", Host: "h.example", Path: "/b/1", PathPrefix: "/b/"}
	if result := runner.Run(t.Context(), item, "", nil); result.End != batch.RunNotStarted {
		t.Errorf("the run ended with %+v", result)
	}
}

// TestItemsKeepTheirHooks guards against a job that isn't asked whether its item may be sent, and against one that isn't told
// that an endpoint has rejected the item: it would take the wait for the next endpoint for the silence of one.
func TestItemsKeepTheirHooks(t *testing.T) {
	var called []string
	due, route := time.Now().Add(time.Minute), &operatorconfig.Route{Name: "b"}
	item := forwardItem(&batch.Item{
		ID: "item", Host: "h.example", Path: "/b/1", Headers: [][2]string{{"A", "1"}}, Body: []byte("body"), Due: due,
		MayStart: func() bool { called = append(called, "may start"); return false },
		Rejected: func() { called = append(called, "rejected") },
	}, route)
	if item.MayStart() {
		t.Error("the item may start though its job says that it may not")
	}
	if item.Rejected(); !slices.Equal(called, []string{"may start", "rejected"}) {
		t.Errorf("called %q", called)
	}
	moved := &operatorconfig.Config{Routes: []operatorconfig.Route{{Name: "c", Host: "h.example", PathPrefix: "/b/", Kind: operatorconfig.Bulk}}}
	if item.RouteIn == nil || item.RouteIn(moved) != &moved.Routes[0] {
		t.Error("the item does not follow its route")
	}
	if item.ID != "item" || item.Host != "h.example" || item.Path != "/b/1" || len(item.Header) != 1 || item.Header["A"] != "1" ||
		string(item.Body) != "body" || item.Route != route || !item.Due.Equal(due) {
		t.Errorf("%+v", item)
	}
}
