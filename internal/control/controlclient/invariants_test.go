package controlclient

import (
	"testing"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant/invarianttest"
)

func TestRegressingSnapshotsViolateInvariants(t *testing.T) {
	endpoints := func(states ...snapshot.State) map[string][]*snapshot.Endpoint {
		var list []*snapshot.Endpoint
		for i, state := range states {
			list = append(list, &snapshot.Endpoint{ID: string(rune('a' + i)), State: state})
		}
		return map[string][]*snapshot.Endpoint{"s": list}
	}
	before := &snapshot.Snapshot{
		Config:       &operatorconfig.Config{Version: 5},
		Table:        &snapshot.PartitionTable{Version: 7},
		Certificates: &certification.Set{Document: certification.Document{Version: 2}},
		Endpoints:    endpoints(snapshot.Ready, snapshot.Draining),
	}
	after := func(change func(s *snapshot.Snapshot)) *snapshot.Snapshot {
		s := *before
		change(&s)
		return &s
	}
	checkSuccessor(nil, before, true)
	checkSuccessor(before, after(func(s *snapshot.Snapshot) { s.Config = &operatorconfig.Config{Version: 6} }), true)
	checkSuccessor(before, after(func(s *snapshot.Snapshot) { s.Endpoints = endpoints(snapshot.Draining) }), true)
	for name, change := range map[string]func(s *snapshot.Snapshot){
		"the configuration": func(s *snapshot.Snapshot) { s.Config = &operatorconfig.Config{Version: 4} },
		"no configuration":  func(s *snapshot.Snapshot) { s.Config = nil },
		"the table":         func(s *snapshot.Snapshot) { s.Table = &snapshot.PartitionTable{Version: 6} },
		"the certificates": func(s *snapshot.Snapshot) {
			s.Certificates = &certification.Set{Document: certification.Document{Version: 1}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			invarianttest.Violates(t, "versions_in_force_never_go_back", func() { checkSuccessor(before, after(change), false) })
		})
	}
	invarianttest.Violates(t, "drained_endpoints_never_become_ready", func() {
		revived := after(func(s *snapshot.Snapshot) { s.Endpoints = endpoints(snapshot.Ready, snapshot.Ready) })
		checkSuccessor(before, revived, true)
	})
}
