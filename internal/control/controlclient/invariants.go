package controlclient

import (
	"fmt"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant"
)

var (
	// versionsNeverGoBack: while a process lives, each document in force is replaced by a newer version only.
	versionsNeverGoBack = invariant.New("versions_in_force_never_go_back")
	// endsAreFinal: an endpoint that drains or has ended never becomes ready again under the same ID.
	endsAreFinal = invariant.New("drained_endpoints_never_become_ready")
)

// checkSuccessor checks a snapshot against the one that it replaces; nil: it is the first. The lists of endpoints are
// compared only if they may differ, as they are long.
func checkSuccessor(before, after *snapshot.Snapshot, endpointsChanged bool) {
	if before == nil {
		return
	}
	was, is := versionsOf(before), versionsOf(after)
	neverBack := was.config <= is.config && was.table <= is.table && was.certificates <= is.certificates
	versionsNeverGoBack.Check(neverBack, func() string {
		return fmt.Sprintf("%+v were in force, now %+v", was, is)
	})
	if endpointsChanged {
		checkEnds(before, after)
	}
}

// versions are those of the documents in a snapshot; 0: there is none.
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

// checkEnds checks that no endpoint was draining before and is ready after. Both lists are sorted by ID.
func checkEnds(before, after *snapshot.Snapshot) {
	for service, list := range after.Endpoints {
		old, revived := before.Endpoints[service], ""
		for _, e := range list {
			for len(old) > 0 && old[0].ID < e.ID {
				old = old[1:]
			}
			if len(old) > 0 && old[0].ID == e.ID && old[0].State > e.State {
				revived = e.ID
			}
		}
		endsAreFinal.Check(revived == "", func() string {
			return fmt.Sprintf("endpoint %s of %s is ready again", revived, service)
		})
	}
}
