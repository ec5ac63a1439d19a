package controlclient

import (
	"fmt"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/invariant"
)

var (
	// versionsNeverGoBack: what a process has in force of the registers only grows in its life.
	versionsNeverGoBack = invariant.New("versions_in_force_never_go_back")
	// endsAreFinal: an endpoint that drains or has ended never becomes ready again under the same id.
	endsAreFinal = invariant.New("drained_endpoints_never_become_ready")
)

// checkSuccessor holds a snapshot against the one that it replaces. The list of endpoints is looked at where it has changed.
func checkSuccessor(before, after *snapshot.Snapshot, endpoints bool) {
	if before == nil {
		return
	}
	was, is := versionsOf(before), versionsOf(after)
	versionsNeverGoBack.Check(was.config <= is.config && was.table <= is.table && was.certificates <= is.certificates, func() string {
		return fmt.Sprintf("%+v were in force, now %+v", was, is)
	})
	if endpoints {
		checkEnds(before, after)
	}
}

// versions are those of a snapshot; 0 where there is nothing.
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

// checkEnds looks for endpoints that were draining and are ready. Both lists are in the order of their ids.
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
		endsAreFinal.Check(revived == "", func() string { return fmt.Sprintf("endpoint %s of %s is ready again", revived, service) })
	}
}
