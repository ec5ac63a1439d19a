package reconfigure

import (
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
)

// CatchUpLag is how far a keeper may be behind and still count as caught up. What it has stored is known by reports, so
// with many changes a second it would never be reported to have the newest state. It is sent that by the change that
// makes it a voter, which ends only when a majority of the new voters has it.
const CatchUpLag = time.Second

// Report is what a keeper with a disk reports of itself.
type Report struct {
	Keeper paxos.Voter
	// Connected are the identities of the keepers to which it is connected.
	Connected []uint64
	// NextSlot is the slot after the newest one of the register that it has stored; 0: it has stored none.
	NextSlot uint64
	// Leaving says that it is shutting down.
	Leaving bool
}

// Observer follows which voters of one register the others can reach. Each keeper has one, so that whichever takes over
// the decision on changes knows already for how long a voter has been unreachable. Times are on the monotonic clock of
// the keeper's incarnation.
type Observer struct {
	unreachableSince map[uint64]time.Duration
	// knownSlots are the newest slots that were known, oldest first; the first is CatchUpLag old, or the first known.
	knownSlots []knownSlot
	// nonVoterSince is, for each keeper that reports and is no voter, the first slot that was known by which it is
	// none.
	nonVoterSince map[uint64]uint64
}

// knownSlot is the newest slot that was known at a time.
type knownSlot struct {
	at   time.Duration
	slot uint64
}

// reachability says whether a majority of the voters is connected to one of them, itself included, and whether a
// majority reports not to be. Neither may be so, where reports are missing.
type reachability struct{ reachable, unreachable bool }

// Observe takes in the newest reports of the keepers that are connected, the own one included.
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

// Situation is what is known for a decision on the voters of a state.
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

// recordSlot notes the newest slot that is known.
func (o *Observer) recordSlot(now time.Duration, slot uint64) {
	o.knownSlots = append(o.knownSlots, knownSlot{now, slot})
	for len(o.knownSlots) > 1 && now-o.knownSlots[1].at >= CatchUpLag {
		o.knownSlots = o.knownSlots[1:]
	}
}

// recordNonVoters notes which keepers are no voters, and from which slot on.
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

// storedAsNonVoter reports whether a keeper that is no voter made its report after it had stored a state by which it is
// none. An earlier report may not say yet that the keeper leaves, for which it was removed: such a keeper must not
// become a voter again.
func (o *Observer) storedAsNonVoter(state paxos.State, report Report) bool {
	since, observed := o.nonVoterSince[report.Keeper.ID]
	if !observed {
		since = state.Slot
	}
	return report.NextSlot > since
}

// requiredSlot is the slot that a keeper must have stored to count as caught up.
func (o *Observer) requiredSlot(newest uint64) uint64 {
	if len(o.knownSlots) == 0 {
		return newest
	}
	return o.knownSlots[0].slot
}

// reachabilities are those of all voters, by identity. Only reports of voters count.
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
