package reconfigure

import (
	"cmp"
	"slices"
)

// rules are tried in this order; the first that finds a change decides.
var rules = []func(Situation) (Change, bool){moved, diskLost, leaving, unresponsive, expansion}

// NextChange returns the change of voters that comes next; false: none.
func NextChange(s Situation) (Change, bool) {
	for _, rule := range rules {
		if change, found := rule(s); found {
			return change, true
		}
	}
	return Change{}, false
}

// moved updates how a voter is reached.
func moved(s Situation) (Change, bool) {
	for _, voter := range s.Voters {
		for _, keeper := range s.Keepers {
			if keeper.ID == voter.ID && keeper.Voter != voter.Voter {
				return replace(ReasonMoved, voter, keeper), true
			}
		}
	}
	return Change{}, false
}

// diskLost replaces a voter by the keeper that came back in its place with another disk.
func diskLost(s Situation) (Change, bool) {
	for _, voter := range s.Voters {
		if voter.Reachable {
			continue
		}
		for _, candidate := range s.candidates() {
			samePlace := candidate.Name == voter.Name || candidate.Addr == voter.Addr
			if samePlace && s.quorumReachableWithout(voter.ID, 1) {
				return replace(ReasonDiskLost, voter, candidate), true
			}
		}
	}
	return Change{}, false
}

// leaving removes or replaces a voter that has announced its shutdown.
func leaving(s Situation) (Change, bool) {
	for _, voter := range s.Voters {
		announced := slices.ContainsFunc(s.Keepers, func(k Keeper) bool { return k.ID == voter.ID && k.Leaving })
		if !announced {
			continue
		}
		// A candidate may be a machine that has just started, and may be lost with others: it is not relied on where
		// enough voters remain without it.
		if change, found := firstChange(ReasonLeaving, voter, s.remove, s.substitute); found {
			return change, true
		}
	}
	return Change{}, false
}

// unresponsive replaces or removes the voter that has been unreachable for longest.
func unresponsive(s Situation) (Change, bool) {
	longestFirst := slices.Clone(s.Voters)
	slices.SortStableFunc(longestFirst, func(a, b Voter) int { return cmp.Compare(b.UnreachableFor, a.UnreachableFor) })
	for _, voter := range longestFirst {
		if voter.Reachable || voter.UnreachableFor < s.UnresponsiveTimeout {
			continue
		}
		if change, found := firstChange(ReasonUnresponsive, voter, s.substitute, s.remove); found {
			return change, true
		}
	}
	return Change{}, false
}

// expansion adds a voter. While one is unreachable, another would raise the quorum, but not the losses that the voters
// can bear.
func expansion(s Situation) (Change, bool) {
	candidates := s.candidates()
	unreachable := slices.ContainsFunc(s.Voters, func(v Voter) bool { return !v.Reachable })
	if unreachable || len(candidates) == 0 || len(s.Voters) >= s.MaxVoters {
		return Change{}, false
	}
	return Change{Reason: ReasonExpansion, New: &candidates[0].Voter}, true
}

// firstChange returns the change of the first way to give up a voter's seat that is possible.
func firstChange(reason Reason, voter Voter, ways ...func(Reason, Voter) (Change, bool)) (Change, bool) {
	for _, way := range ways {
		if change, found := way(reason, voter); found {
			return change, true
		}
	}
	return Change{}, false
}

// substitute replaces a voter by a candidate.
func (s Situation) substitute(reason Reason, voter Voter) (Change, bool) {
	candidates := s.candidates()
	if len(candidates) == 0 || !s.quorumReachableWithout(voter.ID, 1) {
		return Change{}, false
	}
	return replace(reason, voter, candidates[0]), true
}

// remove takes a voter out where enough remain.
func (s Situation) remove(reason Reason, voter Voter) (Change, bool) {
	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {
		return Change{}, false
	}
	return Change{Reason: reason, Old: &voter.Voter}, true
}
