package paxos

import "slices"

// Voter is a node that takes part in decisions. Its ID is drawn at random when its disk is first used and kept there:
// an emptied disk is another voter. Name and Addr say how to reach it, and whose place it has.
type Voter struct {
	ID         uint64
	Name, Addr string
}

// WithVoter returns the state with one more voter. False: it has no identity, or is a voter already.
func (s State) WithVoter(joiner Voter) (State, bool) {
	if joiner.ID == 0 || s.HasVoter(joiner.ID) {
		return s, false
	}
	next := s.Clone()
	next.Voters = append(next.Voters, joiner)
	return next, true
}

// WithoutVoter returns the state without a voter. False: it is none, or the only one.
func (s State) WithoutVoter(id uint64) (State, bool) {
	i := s.voterIndex(id)
	if i < 0 || len(s.Voters) == 1 {
		return s, false
	}
	next := s.Clone()
	next.Voters = slices.Delete(next.Voters, i, i+1)
	return next, true
}

// WithReplacement returns the state with a joiner in the place of a voter, which may be the same identity at another
// address. False: the old one is no voter, or the joiner is one already or has no identity.
func (s State) WithReplacement(old uint64, joiner Voter) (State, bool) {
	i := s.voterIndex(old)
	if i < 0 || joiner.ID == 0 || joiner.ID != old && s.HasVoter(joiner.ID) || s.Voters[i] == joiner {
		return s, false
	}
	next := s.Clone()
	next.Voters[i] = joiner
	return next, true
}

func (s State) voterIndex(id uint64) int {
	return slices.IndexFunc(s.Voters, func(v Voter) bool { return v.ID == id })
}

// validateVoters returns an ErrInvalidVoters where these voters can't decide.
func validateVoters(voters []Voter) error {
	seen := map[uint64]bool{}
	for _, v := range voters {
		if v.ID == 0 || seen[v.ID] {
			return ErrInvalidVoters.New("%q at %s has identity %d", v.Name, v.Addr, v.ID)
		}
		seen[v.ID] = true
	}
	if len(voters) == 0 {
		return ErrInvalidVoters.New("there are none")
	}
	return nil
}
