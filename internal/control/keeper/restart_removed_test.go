package keeper

import (
	"slices"
	"testing"

	"dunetide/internal/consensus/paxos"
)

// TestRemovalLearnedBeforeShutdownReport: a keeper shuts down, and the lease holder of the voters role learns from
// others that it was removed, before it receives the keeper's shutdown report. The holder must not make it a voter
// again.
func TestRemovalLearnedBeforeShutdownReport(t *testing.T) {
	const machines = 4
	r := newRig(t, machines)
	links := r.startRelays()
	r.startAll()
	all := []int{0, 1, 2, 3}
	r.untilConnected(all...)
	r.untilVoters(all...)
	holder := r.untilVoterLeaseHeld()
	leaver := (holder + 1) % machines
	holderKeeper, gone := r.running[holder].keeper, r.running[leaver].keeper.registers.id
	removed := map[string]bool{}
	var voters map[string][]paxos.Voter
	observe := func() {
		voters = map[string][]paxos.Voter{}
		for _, name := range registerNames {
			state, _ := holderKeeper.registers.state(name)
			voters[name] = state.Voters
			if !state.HasVoter(gone) {
				removed[name] = true
			} else if removed[name] {
				t.Fatalf("the removed keeper is a voter of %s again: %v", name, state.Voters)
			}
		}
	}
	connected := func() bool {
		return slices.ContainsFunc(holderKeeper.knownPeers(), func(l peerInfo) bool { return l.node.ID == gone && l.conn != nil })
	}
	links.cut(leaver, holder)
	ended := make(chan struct{})
	go func() { r.running[leaver].stop(); close(ended) }()
	receive(t, ended, "the return of stop")
	eventually(t, "the removed keeper disconnects from the holder", func() bool { observe(); return !connected() })
	r.awaitEnd(leaver)
	links.heal()
	eventually(t, "the holder knows of the removal from all registers", func() bool { observe(); return len(removed) == len(registerNames) })
	for _, name := range registerNames {
		if len(voters[name]) != machines-1 {
			t.Errorf("voters %v of %s", voters[name], name)
		}
	}
	o := &configWriter{rig: r}
	o.put(holder)
}
