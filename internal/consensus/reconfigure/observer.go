package reconfigure

import (
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
)

// CatchUpLag is how far a keeper may lag behind and still count as caught up. Its stored slot is known from its reports
// only, which are always out of date when there are many changes per second; without this allowance such a keeper would
// never count as caught up. The change that makes it a voter sends it the newest state, and completes only when a
// majority of the new voters has stored that.
const CatchUpLag = time.Second

// Report is what a keeper with a disk reports about itself.
type Report struct {
	Keeper paxos.Voter
	// Connected lists the IDs of the keepers to which it is connected.
	Connected []uint64
	// NextSlot is the slot after the newest one of the register that it has stored; 0 if it has stored none.
	NextSlot uint64
	// Leaving is true if it is shutting down.
	Leaving bool
}

// Observer tracks which voters of one register are reachable by the others. Every keeper has one, so that a keeper that
// takes over the decision on changes already knows how long each voter has been unreachable. Times are read from the
// monotonic clock of the keeper's incarnation.
type Observer struct {
	unreachableSince map[uint64]time.Duration
	// knownSlots are the newest known slots over time, oldest first. The first entry is the latest that is at least
	// CatchUpLag old, or else the first one known.
	knownSlots []knownSlot
	// nonVoterSince is, by the ID of a reporting keeper that is not a voter, the first slot observed at which it was
	// not a voter.
	nonVoterSince map[uint64]uint64
	// decidedSlot is the slot of the newest state given to ObserveDecided.
	decidedSlot uint64
}

// knownSlot is the newest slot known at a time.
type knownSlot struct {
	at   time.Duration
	slot uint64
}

// reachability states whether a majority of the voters (including the voter itself) is connected to a voter, and
// whether a majority reports that it is not. Both are false if too many reports are missing.
type reachability struct{ reachable, unreachable bool }

// Observe processes the newest reports of the connected keepers, including this keeper's own report.
func (o *Observer) Observe(now time.Duration, state paxos.State, reports []Report) {
	o.recordSlot(now, state.Slot)
	o.recordNonVoters(state, reports)
	unreachableSince := map[uint64]time.Duration{}
	for id, reported := range reachabilities(state.Voters, reports) {
		if !reported.unreachable {
			continue
		}
		unreachableSince[id] = now
		if since, before := o.unreachableSince[id]; before {
			unreachableSince[id] = since
		}
	}
	o.unreachableSince = unreachableSince
}

// ObserveDecided processes a decided state as soon as it is known. Observe alone may miss that a keeper was a voter between
// two observations, and an older report of that keeper would then make it a voter again. If slots were skipped, any keeper
// may have been a voter in them.
func (o *Observer) ObserveDecided(state paxos.State, reports []Report) {
	if state.Slot <= o.decidedSlot {
		return
	}
	if state.Slot > o.decidedSlot+1 {
		clear(o.nonVoterSince)
	}
	o.decidedSlot = state.Slot
	o.recordNonVoters(state, reports)
}

// Situation returns the input of a decision on the voters of a state.
func (o *Observer) Situation(now time.Duration, state paxos.State, reports []Report, limits Limits) Situation {
	s := Situation{Limits: limits}
	reported := reachabilities(state.Voters, reports)
	for _, voter := range state.Voters {
		v := Voter{Voter: voter, Reachable: reported[voter.ID].reachable}
		if since, observed := o.unreachableSince[voter.ID]; observed && reported[voter.ID].unreachable {
			v.UnreachableFor = now - since
		}
		s.Voters = append(s.Voters, v)
	}
	for _, report := range reports {
		caughtUp := report.NextSlot > o.requiredSlot(state.Slot)
		if !state.HasVoter(report.Keeper.ID) {
			caughtUp = caughtUp && o.storedAsNonVoter(state, report)
		}
		s.Keepers = append(s.Keepers, Keeper{Voter: report.Keeper, CaughtUp: caughtUp, Leaving: report.Leaving})
	}
	return s
}

// recordSlot records the newest known slot.
func (o *Observer) recordSlot(now time.Duration, slot uint64) {
	o.knownSlots = append(o.knownSlots, knownSlot{now, slot})
	for len(o.knownSlots) > 1 && now-o.knownSlots[1].at >= CatchUpLag {
		o.knownSlots = o.knownSlots[1:]
	}
}

// recordNonVoters records which reporting keepers are not voters, and since which slot.
func (o *Observer) recordNonVoters(state paxos.State, reports []Report) {
	nonVoterSince := map[uint64]uint64{}
	for _, report := range reports {
		id := report.Keeper.ID
		if state.HasVoter(id) {
			continue
		}
		nonVoterSince[id] = state.Slot
		if since, before := o.nonVoterSince[id]; before {
			nonVoterSince[id] = since
		}
	}
	o.nonVoterSince = nonVoterSince
}

// storedAsNonVoter reports whether a keeper that is not a voter sent its report after it had stored a state without
// itself among the voters. A keeper that is shutting down is removed from the voters, and a report from before the
// removal may not have Leaving set yet: by such a report the keeper must not become a voter again.
func (o *Observer) storedAsNonVoter(state paxos.State, report Report) bool {
	since, observed := o.nonVoterSince[report.Keeper.ID]
	if !observed {
		since = state.Slot
	}
	return report.NextSlot > since
}

// requiredSlot returns the slot that a keeper must have stored to count as caught up.
func (o *Observer) requiredSlot(newest uint64) uint64 {
	if len(o.knownSlots) == 0 {
		return newest
	}
	return o.knownSlots[0].slot
}

// reachabilities returns the reachability of all voters by ID. Only reports of voters count.
func reachabilities(voters []paxos.Voter, reports []Report) map[uint64]reachability {
	var byVoters []Report
	for _, report := range reports {
		if slices.ContainsFunc(voters, func(v paxos.Voter) bool { return v.ID == report.Keeper.ID }) {
			byVoters = append(byVoters, report)
		}
	}
	all := map[uint64]reachability{}
	for _, voter := range voters {
		all[voter.ID] = reachabilityOf(voter.ID, len(voters), byVoters)
	}
	return all
}

func reachabilityOf(id uint64, voters int, reports []Report) reachability {
	connected, disconnected, runs := 0, 0, false
	for _, report := range reports {
		switch {
		case report.Keeper.ID == id:
			runs = true
		case slices.Contains(report.Connected, id):
			connected++
		default:
			disconnected++
		}
	}
	if runs || connected > 0 {
		connected++ // to itself
	}
	quorum := paxos.QuorumSize(voters)
	return reachability{reachable: connected >= quorum, unreachable: disconnected >= quorum}
}
