package control

import (
	"testing"

	"dunetide/internal/certify"
	"dunetide/internal/invariant/invarianttest"
	"dunetide/internal/operator"
	"dunetide/internal/view"
)

func TestSnapshotsThatGoBackAreFound(t *testing.T) {
	endpoints := func(states ...view.State) map[string][]*view.Endpoint {
		var list []*view.Endpoint
		for i, state := range states {
			list = append(list, &view.Endpoint{ID: string(rune('a' + i)), State: state})
		}
		return map[string][]*view.Endpoint{"s": list}
	}
	before := &view.Snapshot{Config: &operator.Config{Version: 5}, Table: &view.Table{Number: 7}, Certificates: &certify.Set{Document: certify.Document{Version: 2}},
		Endpoints: endpoints(view.Ready, view.Draining)}
	after := func(change func(s *view.Snapshot)) *view.Snapshot {
		s := *before
		change(&s)
		return &s
	}
	checkSuccessor(nil, before, true)
	checkSuccessor(before, after(func(s *view.Snapshot) { s.Config = &operator.Config{Version: 6} }), true)
	checkSuccessor(before, after(func(s *view.Snapshot) { s.Endpoints = endpoints(view.Draining) }), true)
	for name, change := range map[string]func(s *view.Snapshot){
		"the configuration": func(s *view.Snapshot) { s.Config = &operator.Config{Version: 4} },
		"no configuration":  func(s *view.Snapshot) { s.Config = nil },
		"the table":         func(s *view.Snapshot) { s.Table = &view.Table{Number: 6} },
		"the certificates":  func(s *view.Snapshot) { s.Certificates = &certify.Set{Document: certify.Document{Version: 1}} },
	} {
		t.Run(name, func(t *testing.T) {
			invarianttest.Violates(t, "versions_in_force_never_go_back", func() { checkSuccessor(before, after(change), false) })
		})
	}
	invarianttest.Violates(t, "drained_endpoints_never_become_ready", func() {
		checkSuccessor(before, after(func(s *view.Snapshot) { s.Endpoints = endpoints(view.Ready, view.Ready) }), true)
	})
}
