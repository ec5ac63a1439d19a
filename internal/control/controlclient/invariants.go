package controlclient

import (
	"fmt"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant"
)

var (
	// versionsNeverDecrease: as long as a process runs, each document in force is replaced by newer versions only.
	versionsNeverDecrease = invariant.New("versions_in_force_never_go_back")
	// statesNeverDecrease: an endpoint that is draining or removed never becomes ready again under the same ID.
	statesNeverDecrease = invariant.New("drained_endpoints_never_become_ready")
)

// checkSuccessor checks a snapshot against the one that it replaces, which is nil for the first snapshot. It compares
// the lists of endpoints only if they may differ, because they are long.
func checkSuccessor(before, after *snapshot.Snapshot, endpointsChanged bool) {
	if before == nil {
		return
	}
	was, is := versionsOf(before), versionsOf(after)
	neverBack := was.config <= is.config && was.table <= is.table && was.certificates <= is.certificates
	versionsNeverDecrease.Check(neverBack, func() string {
		return fmt.Sprintf("versions in force went from %+v to %+v", was, is)
	})
	if endpointsChanged {
		checkEndpointStates(before, after)
	}
}

// versions are the versions of the documents in a snapshot; 0 if there is none.
type versions struct{ config, table, certificates uint64 }

func versionsOf(s *snapshot.Snapshot) (v versions) {
	if s.Config != nil {
		v.config = s.Config.Version
	}
	if s.Table != nil {
		v.table = s.Table.Version
	}
	if s.Certificates != nil {
		v.certificates = s.Certificates.Version
	}
	return v
}

// checkEndpointStates checks that the state of no endpoint has decreased. The lists of both snapshots are sorted by ID.
func checkEndpointStates(before, after *snapshot.Snapshot) {
	for service, list := range after.Endpoints {
		old, regressed := before.Endpoints[service], ""
		for _, e := range list {
			for len(old) > 0 && old[0].ID < e.ID {
				old = old[1:]
			}
			if len(old) > 0 && old[0].ID == e.ID && old[0].State > e.State {
				regressed = e.ID
			}
		}
		statesNeverDecrease.Check(regressed == "", func() string {
			return fmt.Sprintf("endpoint %s of service %s went back to an earlier state", regressed, service)
		})
	}
}
