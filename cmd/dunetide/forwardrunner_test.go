package main

import (
	"slices"
	"testing"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/operatorconfig"
)

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
	if item.ID != "item" || item.Host != "h.example" || item.Path != "/b/1" || len(item.Header) != 1 || item.Header["A"] != "1" ||
		string(item.Body) != "body" || item.Route != route || !item.Due.Equal(due) {
		t.Errorf("%+v", item)
	}
}
