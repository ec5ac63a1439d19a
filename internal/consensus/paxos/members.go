package paxos

import "slices"

// WithVoter gives the state with one more voter. False: it has no identity, or is a voter already.
func (s State) WithVoter(joiner Voter) (State, bool) {
	if joiner.ID == 0 || s.Has(joiner.ID) {
		return s, false
	}
	next := s.Clone()
	next.Voters = append(next.Voters, joiner)
	return next, true
}

// WithoutVoter gives the state without a voter. False: it is none, or the only one.
func (s State) WithoutVoter(id uint64) (State, bool) {
	i := s.voterIndex(id)
	if i < 0 || len(s.Voters) == 1 {
		return s, false
	}
	next := s.Clone()
	next.Voters = slices.Delete(next.Voters, i, i+1)
	return next, true
}

// WithReplacement gives the state with a joiner in the place of a voter, which may be the same identity at another
// address. False: the old one is no voter, or the joiner is one already or has no identity.
func (s State) WithReplacement(old uint64, joiner Voter) (State, bool) {
	i := s.voterIndex(old)
	if i < 0 || joiner.ID == 0 || joiner.ID != old && s.Has(joiner.ID) || s.Voters[i] == joiner {
		return s, false
	}
	next := s.Clone()
	next.Voters[i] = joiner
	return next, true
}

func (s State) voterIndex(id uint64) int {
	return slices.IndexFunc(s.Voters, func(v Voter) bool { return v.ID == id })
}
