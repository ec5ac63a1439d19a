package reconfigure

import (
	"cmp"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
)

// Situation is all that a decision depends on.
type Situation struct {
	Voters  []Voter
	Keepers []Keeper
	Limits
}

// Voter is a voter of a register and what the voters report of it. Where reports are missing it is neither reachable
// nor unreachable: then it keeps its seat, and no voter is added.
type Voter struct {
	paxos.Voter
	// Reachable says that a majority of the voters, itself included, is connected to it.
	Reachable bool
	// UnreachableFor is for how long a majority of the voters has been reporting that they are not connected to it; 0:
	// they have not, or it is not known.
	UnreachableFor time.Duration
}

// Keeper is a connected keeper with a disk, voter or not.
type Keeper struct {
	paxos.Voter // as it is connected now
	// CaughtUp says that it has stored the newest state of the register, or one no older than CatchUpLag.
	CaughtUp bool
	// Leaving says that it has announced its shutdown.
	Leaving bool
}

// Limits are what the deployment asks for.
type Limits struct {
	// MaxFailures is how many machines may be lost at once.
	MaxFailures int
	// MaxVoters bounds the voters of a register.
	MaxVoters int
	// UnresponsiveTimeout is for how long a voter must have been unreachable before it is replaced or removed.
	UnresponsiveTimeout time.Duration
}

// minUnresponsiveTimeout is the shortest time after which an unreachable voter may lose its seat. It is above the time
// after which a link on which nothing comes is closed (1.3 s).
const minUnresponsiveTimeout = 1500 * time.Millisecond

// UnresponsiveTimeout is the limit of that name for a deployment that has to be repaired within catchUp. It is half of
// that time, so that the change itself fits into the other half.
func UnresponsiveTimeout(catchUp time.Duration) time.Duration {
	return max(minUnresponsiveTimeout, catchUp/2)
}

// minVoters is the least number of voters of which MaxFailures may be lost.
func (s Situation) minVoters() int { return 2*s.MaxFailures + 1 }

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

// quorumReachableWithout reports whether the reachable voters, without one and with some joiners, are a quorum of the
// new voters.
func (s Situation) quorumReachableWithout(id uint64, joiners int) bool {
	reachable := joiners
	for _, voter := range s.Voters {
		if voter.ID != id && voter.Reachable {
			reachable++
		}
	}
	return reachable >= paxos.QuorumSize(len(s.Voters)-1+joiners)
}
