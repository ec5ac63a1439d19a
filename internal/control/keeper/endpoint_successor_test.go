package keeper

import (
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// loseCore ends all keepers at once, loses what their disks have not synced, and starts them again.
func (r *rig) loseCore() {
	r.t.Helper()
	all := r.keepers()
	for _, i := range all {
		r.kill(i)
		r.disks[i].PowerLoss(func(int) int { return 0 })
	}
	for _, i := range all {
		r.start(i)
	}
	r.untilConnected(all...)
}

// keepers returns the indexes of all keepers.
func (r *rig) keepers() (all []int) {
	for i := range r.running {
		all = append(all, i)
	}
	return all
}

// listed returns how a keeper lists an endpoint; Removed: not at all.
func (r *rig) listed(i int, id string) snapshot.State {
	k := r.running[i].keeper
	state, _ := query(k, func() snapshot.State {
		e, found := k.endpoints.Get(k.sinceStart(time.Now()), id)
		if !found {
			return snapshot.Removed
		}
		return e.EffectiveEndpoint().State
	})
	return state
}

// TestSuccessorOutlivesLateHeartbeat guards against a sound endpoint that is removed for good: all keepers restarted, and
// take the late heartbeat of the former endpoint at its address for that of a new one.
func TestSuccessorOutlivesLateHeartbeat(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	const address = "10.0.0.1:7"
	r.untilCode(200, func() response { return r.heartbeatFrom(0, address, "successor", "ready", 1) })
	r.loseCore()
	r.untilCode(200, func() response { return r.heartbeatFrom(0, address, "successor", "ready", 2) })
	r.untilCode(200, func() response { return r.heartbeatFrom(1, address, "former", "ready", 9) })
	count := 2
	eventually(t, "all keepers list the successor, and not the former endpoint", func() bool {
		count++
		r.heartbeatFrom(2, address, "successor", "ready", count)
		for i := range 3 {
			if r.listed(i, "successor") != snapshot.Ready || r.listed(i, "former") == snapshot.Ready {
				return false
			}
		}
		return true
	})
}
