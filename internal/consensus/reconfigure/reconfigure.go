// Package reconfigure decides which single change of a register's voters comes next: who joins, who leaves and who
// takes whose place. It is a pure function of what is known of the voters and of the keepers that could be voters.
// It has no clock, no links and no state of its own. docs/agreement.md argues the rules.
package reconfigure

import (
	"cmp"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
)

// leastGiveUp is the shortest time after which a voter that nobody hears may lose its seat.
const leastGiveUp = 1500 * time.Millisecond

// GiveUpAfter is for how long a majority must not have heard a voter before it may lose its seat. It is half of the
// time that a repair may take, so that the change itself fits into the other half.
func GiveUpAfter(catchUp time.Duration) time.Duration { return max(leastGiveUp, catchUp/2) }

// Voter is a voter of a register and what the voters report of it.
type Voter struct {
	paxos.Voter
	// Heard says that a majority of the voters, itself included, hears it.
	Heard bool
	// UnheardFor is for how long a majority of the voters has been reporting that they do not hear it; 0: they have
	// not, or it is not known.
	UnheardFor time.Duration
}

// Keeper is a connected keeper with a disk, voter or not.
type Keeper struct {
	paxos.Voter // as it is connected now
	// CaughtUp says that it has stored the newest state of the register.
	CaughtUp bool
	// Leaving says that it has announced its end.
	Leaving bool
}

// Situation is all that a decision depends on.
type Situation struct {
	Voters  []Voter
	Keepers []Keeper
	Limits
}

// Limits are what the deployment asks for.
type Limits struct {
	Survive     int // machines that may be lost at once
	MostVoters  int
	GiveUpAfter time.Duration // see the function of that name
}

// Reason says which rule asks for a change.
type Reason uint8

// The reasons, in the order of their precedence.
const (
	Moved     Reason = iota + 1 // the same disk at another address or under another name
	DiskLost                    // another disk under the name or the address of a voter that is not heard
	Leaving                     // the voter has announced its end
	GivenUp                     // a majority has not heard the voter for GiveUpAfter
	Expansion                   // all voters are heard, and there is one more caught-up keeper
)

// String names the reason in logs.
func (r Reason) String() string {
	return []string{"none", "moved", "disk lost", "leaving", "given up", "expansion"}[r]
}

// Change is one change of the voters: Old leaves, New joins. One of them may be nil.
type Change struct {
	Reason   Reason
	Old, New *paxos.Voter
}

// Next gives the change of voters that comes next; false: none.
func Next(s Situation) (Change, bool) {
	for _, rule := range []func(Situation) (Change, bool){moved, diskLost, leaving, givenUp, expansion} {
		if change, found := rule(s); found {
			return change, true
		}
	}
	return Change{}, false
}

// Apply gives the state with the change made. False: its voters are no longer those that the change was decided for.
func (c Change) Apply(current paxos.State, decidedFor []paxos.Voter) (paxos.State, bool) {
	if !slices.Equal(current.Voters, decidedFor) {
		return current, false
	}
	switch {
	case c.Old == nil:
		return current.WithVoter(*c.New)
	case c.New == nil:
		return current.WithoutVoter(c.Old.ID)
	default:
		return current.WithReplacement(c.Old.ID, *c.New)
	}
}

// moved updates how a voter is reached.
func moved(s Situation) (Change, bool) {
	for _, voter := range s.Voters {
		for _, keeper := range s.Keepers {
			if keeper.ID == voter.ID && keeper.Voter != voter.Voter {
				return replace(Moved, voter, keeper), true
			}
		}
	}
	return Change{}, false
}

// diskLost replaces a voter by the keeper that came back in its place with another disk.
func diskLost(s Situation) (Change, bool) {
	for _, voter := range s.Voters {
		if voter.Heard {
			continue
		}
		for _, candidate := range s.candidates() {
			samePlace := candidate.Name == voter.Name || candidate.Addr == voter.Addr
			if samePlace && s.decidesWithout(voter.ID, 1) {
				return replace(DiskLost, voter, candidate), true
			}
		}
	}
	return Change{}, false
}

// leaving takes the seat of a voter that has announced its end.
func leaving(s Situation) (Change, bool) {
	for _, voter := range s.Voters {
		announced := slices.ContainsFunc(s.Keepers, func(k Keeper) bool { return k.ID == voter.ID && k.Leaving })
		if !announced {
			continue
		}
		// A candidate may be a machine that has just started, and may be lost with others: it is not relied on where
		// enough voters remain without it.
		for _, rule := range []func(Reason, Voter) (Change, bool){s.remove, s.substitute} {
			if change, found := rule(Leaving, voter); found {
				return change, true
			}
		}
	}
	return Change{}, false
}

// givenUp takes the seat of the voter that has not been heard for longest.
func givenUp(s Situation) (Change, bool) {
	longestFirst := slices.Clone(s.Voters)
	slices.SortStableFunc(longestFirst, func(a, b Voter) int { return cmp.Compare(b.UnheardFor, a.UnheardFor) })
	for _, voter := range longestFirst {
		if voter.Heard || voter.UnheardFor < s.GiveUpAfter {
			continue
		}
		for _, rule := range []func(Reason, Voter) (Change, bool){s.substitute, s.remove} {
			if change, found := rule(GivenUp, voter); found {
				return change, true
			}
		}
	}
	return Change{}, false
}

// expansion adds a voter. While a voter is not heard, a majority would grow and what can be lost would not.
func expansion(s Situation) (Change, bool) {
	candidates := s.candidates()
	unheard := slices.ContainsFunc(s.Voters, func(v Voter) bool { return !v.Heard })
	if unheard || len(candidates) == 0 || len(s.Voters) >= s.MostVoters {
		return Change{}, false
	}
	return Change{Reason: Expansion, New: &candidates[0].Voter}, true
}

// substitute gives the seat of a voter to a candidate.
func (s Situation) substitute(reason Reason, voter Voter) (Change, bool) {
	candidates := s.candidates()
	if len(candidates) == 0 || !s.decidesWithout(voter.ID, 1) {
		return Change{}, false
	}
	return replace(reason, voter, candidates[0]), true
}

// remove takes a voter out where enough remain.
func (s Situation) remove(reason Reason, voter Voter) (Change, bool) {
	if len(s.Voters)-1 < s.leastVoters() || !s.decidesWithout(voter.ID, 0) {
		return Change{}, false
	}
	return Change{Reason: reason, Old: &voter.Voter}, true
}

// leastVoters is the least number of voters of which as many as Survive may be lost.
func (s Situation) leastVoters() int { return 2*s.Survive + 1 }

// candidates are the keepers that may become voters, in an order that all deciders agree on.
func (s Situation) candidates() []Keeper {
	var candidates []Keeper
	for _, keeper := range s.Keepers {
		if keeper.ID != 0 && !s.isVoter(keeper.ID) && keeper.CaughtUp && !keeper.Leaving {
			candidates = append(candidates, keeper)
		}
	}
	slices.SortFunc(candidates, func(a, b Keeper) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

func (s Situation) isVoter(id uint64) bool {
	return slices.ContainsFunc(s.Voters, func(v Voter) bool { return v.ID == id })
}

// decidesWithout tells whether the voters that are heard, without one and with some joiners, are a majority of the
// new voters.
func (s Situation) decidesWithout(id uint64, joiners int) bool {
	heard := joiners
	for _, voter := range s.Voters {
		if voter.ID != id && voter.Heard {
			heard++
		}
	}
	return heard >= Majority(len(s.Voters)-1+joiners)
}

func replace(reason Reason, old Voter, joiner Keeper) Change {
	return Change{Reason: reason, Old: &old.Voter, New: &joiner.Voter}
}

// Majority is the least number of voters that decides.
func Majority(voters int) int { return voters/2 + 1 }
