package reconfigure

import (
	"cmp"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
)

// Situation is the complete input of a decision.
type Situation struct {
	Voters  []Voter
	Keepers []Keeper
	Limits
}

// Voter is a voter of a register and its reachability as reported by the voters. If reports are missing, it is neither
// reachable nor unreachable: it then stays a voter, and no voter is added.
type Voter struct {
	paxos.Voter
	// Reachable is true if a majority of the voters, itself included, is connected to it.
	Reachable bool
	// UnreachableFor is how long a majority of the voters has been reporting that they are not connected to it; 0 if
	// no majority reports this, or if it is not known.
	UnreachableFor time.Duration
}

// Keeper is a connected keeper with a disk, voter or not.
type Keeper struct {
	paxos.Voter // its current identity, name and address
	// CaughtUp is true if it has stored the newest state of the register, or one that lags by no more than CatchUpLag.
	CaughtUp bool
	// Leaving is true if it has announced its shutdown.
	Leaving bool
}

// Limits are the requirements of the deployment.
type Limits struct {
	// MaxFailures is the number of machines that may be lost at the same time.
	MaxFailures int
	// MaxVoters is the maximum number of voters of a register.
	MaxVoters int
	// UnresponsiveTimeout is how long a voter must have been unreachable before it is replaced or removed.
	UnresponsiveTimeout time.Duration
}

// minUnresponsiveTimeout is the shortest time after which an unreachable voter may be replaced or removed. It exceeds
// the idle timeout of links (1.3 s).
const minUnresponsiveTimeout = 1500 * time.Millisecond

// UnresponsiveTimeout returns Limits.UnresponsiveTimeout for a deployment that must be repaired within catchUp: half of
// that time, so that the change itself fits into the other half.
func UnresponsiveTimeout(catchUp time.Duration) time.Duration {
	return max(minUnresponsiveTimeout, catchUp/2)
}

// minVoters returns the smallest number of voters that survives MaxFailures lost voters.
func (s Situation) minVoters() int { return 2*s.MaxFailures + 1 }

// candidates returns the keepers that may become voters, by ascending ID, so that every keeper that decides uses the
// same order.
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

// quorumReachableWithout reports whether, after the voter with the given ID is removed and the joiners are added, the
// reachable voters form a quorum of the new voters. Joiners count as reachable.
func (s Situation) quorumReachableWithout(id uint64, joiners int) bool {
	reachable := joiners
	for _, voter := range s.Voters {
		if voter.ID != id && voter.Reachable {
			reachable++
		}
	}
	return reachable >= paxos.QuorumSize(len(s.Voters)-1+joiners)
}
