package keeper

import "dunetide/internal/consensus/paxos"

// voterAcks counts the voters that have confirmed to know a fact, by their identities.
type voterAcks struct {
	pending  map[uint64]bool // voters that haven't confirmed yet
	required int             // voters that have to confirm
	acked    int             // voters that have confirmed
}

// noVoterAcks is what a change waits for that no voter has to confirm.
func noVoterAcks() *voterAcks { return &voterAcks{} }

// newVoterAcks asks for a majority of voters, of which self is the first to know.
func newVoterAcks(voters []paxos.Voter, self uint64) *voterAcks {
	acks := &voterAcks{pending: map[uint64]bool{}, required: paxos.QuorumSize(len(voters))}
	for _, voter := range voters {
		acks.pending[voter.ID] = true
	}
	acks.confirm(self)
	return acks
}

// confirm notes that a keeper knows the fact. A keeper that is no voter, or has confirmed before, changes nothing.
func (acks *voterAcks) confirm(id uint64) {
	if !acks.pending[id] {
		return
	}
	delete(acks.pending, id)
	acks.acked++
}

// enough reports whether all know the fact that have to: a majority of the voters, or nobody. Of no voters at all no
// majority knows anything.
func (acks *voterAcks) enough() bool { return acks.acked >= acks.required }
