package reconfigure

import (
	"cmp"
	"slices"
)

// rules are tried in this order; the first that returns a change wins.
var rules = []func(Situation) (Change, bool){moved, diskLost, leaving, unresponsive, expansion}

// NextChange returns the next change of voters; false if none is needed or possible.
func NextChange(s Situation) (Change, bool) {
	for _, rule := range rules {
		if change, found := rule(s); found {
			return change, true
		}
	}
	return Change{}, false
}

// moved updates the name and the address of a voter.
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

// diskLost replaces an unreachable voter by a candidate that has its name or address but a new disk.
func diskLost(s Situation) (Change, bool) {
	for _, voter := range s.Voters {
		if voter.Reachable {
			continue
		}
		for _, candidate := range s.candidates() {
			successor := candidate.Name == voter.Name || candidate.Addr == voter.Addr
			if successor && s.quorumReachableWithout(voter.ID, 1) {
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
		// Removal comes before substitution: a candidate may be a machine that has just started, and may be lost along
		// with others, so it is not relied on if enough voters remain without it.
		if change, found := firstChange(ReasonLeaving, voter, s.remove, s.substitute); found {
			return change, true
		}
	}
	return Change{}, false
}

// unresponsive replaces or removes the voter that has been unreachable for the longest time.
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

// expansion adds a voter if all voters are reachable. While one is unreachable, another voter could raise the quorum
// without raising the number of failures that the voters tolerate.
func expansion(s Situation) (Change, bool) {
	candidates := s.candidates()
	unreachable := slices.ContainsFunc(s.Voters, func(v Voter) bool { return !v.Reachable })
	if unreachable || len(candidates) == 0 || len(s.Voters) >= s.MaxVoters {
		return Change{}, false
	}
	return Change{Reason: ReasonExpansion, New: &candidates[0].Voter}, true
}

// firstChange returns the change of the first option that is possible for a voter that has to go.
func firstChange(reason Reason, voter Voter, options ...func(Reason, Voter) (Change, bool)) (Change, bool) {
	for _, option := range options {
		if change, found := option(reason, voter); found {
			return change, true
		}
	}
	return Change{}, false
}

// substitute replaces a voter by the first candidate.
func (s Situation) substitute(reason Reason, voter Voter) (Change, bool) {
	candidates := s.candidates()
	if len(candidates) == 0 || !s.quorumReachableWithout(voter.ID, 1) {
		return Change{}, false
	}
	return replace(reason, voter, candidates[0]), true
}

// remove removes a voter if at least minVoters and a reachable quorum remain.
func (s Situation) remove(reason Reason, voter Voter) (Change, bool) {
	if len(s.Voters)-1 < s.minVoters() || !s.quorumReachableWithout(voter.ID, 0) {
		return Change{}, false
	}
	return Change{Reason: reason, Old: &voter.Voter}, true
}
