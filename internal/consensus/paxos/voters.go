package paxos

import "slices"

// Voter is a node that votes on the next slot. Its ID is drawn at random when its disk is first used and stored on the
// disk, so an emptied disk is another voter. Name and Addr say how to reach it; a new disk under the same Name or Addr
// replaces the voter.
type Voter struct {
	ID         uint64
	Name, Addr string
}

// WithVoter returns the state with joiner added to the voters; false if joiner has no ID or is already a voter.
func (s State) WithVoter(joiner Voter) (State, bool) {
	if joiner.ID == 0 || s.HasVoter(joiner.ID) {
		return s, false
	}
	next := s.Clone()
	next.Voters = append(next.Voters, joiner)
	return next, true
}

// WithoutVoter returns the state with a voter removed; false if the ID is not that of a voter, or that of the only one.
func (s State) WithoutVoter(id uint64) (State, bool) {
	i := s.voterIndex(id)
	if i < 0 || len(s.Voters) == 1 {
		return s, false
	}
	next := s.Clone()
	next.Voters = slices.Delete(next.Voters, i, i+1)
	return next, true
}

// WithReplacement returns the state with a voter replaced by joiner, which may have the same ID with another name or
// address. It returns false if old is not a voter, if joiner is already one or has no ID, or if nothing would change.
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

// validateVoters returns an ErrInvalidVoters if there are no voters, or if one has no ID or a duplicate one.
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
