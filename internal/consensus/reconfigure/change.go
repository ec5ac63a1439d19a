package reconfigure

import (
	"slices"

	"dunetide/internal/consensus/paxos"
)

// Reason is the rule that requires a change.
type Reason uint8

// Reasons in order of precedence.
const (
	ReasonMoved        Reason = iota + 1 // the same disk at another address or under another name
	ReasonDiskLost                       // a new disk under the name or the address of an unreachable voter
	ReasonLeaving                        // the voter has announced its shutdown
	ReasonUnresponsive                   // the voter has been unreachable for UnresponsiveTimeout
	ReasonExpansion                      // all voters are reachable, and another keeper has caught up
)

// reasonNames are the names used in logs.
var reasonNames = []string{"none", "moved", "disk lost", "leaving", "given up", "expansion"}

// String returns the name of the reason as logs show it.
func (r Reason) String() string { return reasonNames[r] }

// Change is one change of the voters: Old leaves, New joins. One of the two may be nil.
type Change struct {
	Reason   Reason
	Old, New *paxos.Voter
}

func replace(reason Reason, old Voter, joiner Keeper) Change {
	return Change{Reason: reason, Old: &old.Voter, New: &joiner.Voter}
}

// Apply returns the state with the change applied. It returns false if the current voters differ from those that the
// change was decided for, or if the change is not possible.
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
