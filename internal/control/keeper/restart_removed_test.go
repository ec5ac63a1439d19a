package keeper

import (
	"slices"
	"testing"

	"dunetide/internal/consensus/paxos"
)

// TestRemovalLearnedBeforeShutdownReport: a keeper shuts down, and the lease holder of the voters role learns its
// removal from others before its report that it shuts down. The holder doesn't make it a voter again.
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
				t.Fatalf("the keeper that left votes on %s again: %v", name, state.Voters)
			}
		}
	}
	heardOf := func() bool {
		return slices.ContainsFunc(holderKeeper.knownPeers(), func(l peerInfo) bool { return l.node.ID == gone && l.conn != nil })
	}
	links.cut(leaver, holder)
	ended := make(chan struct{})
	go func() { r.running[leaver].stop(); close(ended) }()
	receive(t, ended, "the word to end")
	eventually(t, "the holder hears no more of the keeper that left", func() bool { observe(); return !heardOf() })
	r.awaitEnd(leaver)
	links.heal()
	eventually(t, "all know of the removal", func() bool { observe(); return len(removed) == len(registerNames) })
	for _, name := range registerNames {
		if len(voters[name]) != machines-1 {
			t.Errorf("%v vote on %s", voters[name], name)
		}
	}
	o := &configWriter{rig: r}
	o.put(holder)
}
