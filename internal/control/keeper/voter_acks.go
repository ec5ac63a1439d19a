package keeper

import "dunetide/internal/consensus/paxos"

// voterAcks counts the voters, by identity, that have confirmed a change.
type voterAcks struct {
	pending  map[uint64]bool // voters that haven't confirmed yet
	required int             // number of voters that must confirm
	acked    int             // number of voters that have confirmed
}

// noVoterAcks returns a voterAcks for a change that no voter must confirm.
func noVoterAcks() *voterAcks { return &voterAcks{} }

// newVoterAcks returns a voterAcks that requires a majority of voters, none of which has confirmed yet.
func newVoterAcks(voters []paxos.Voter) *voterAcks {
	acks := &voterAcks{pending: map[uint64]bool{}, required: paxos.QuorumSize(len(voters))}
	for _, voter := range voters {
		acks.pending[voter.ID] = true
	}
	return acks
}

// confirm records that a keeper has confirmed the change. It ignores keepers that don't vote or have confirmed before.
func (acks *voterAcks) confirm(id uint64) {
	if !acks.pending[id] {
		return
	}
	delete(acks.pending, id)
	acks.acked++
}

// enough reports whether the required number of voters has confirmed: a majority, or none with noVoterAcks. If the list
// of voters is empty, the requirement is never met.
func (acks *voterAcks) enough() bool { return acks.acked >= acks.required }
