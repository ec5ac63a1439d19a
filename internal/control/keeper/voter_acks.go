package keeper

import "dunetide/internal/consensus/paxos"

// voterAcks counts the voters that have confirmed to know a fact, by their identities. A nil *voterAcks asks for none.
type voterAcks struct {
	pending  map[uint64]bool // voters that haven't confirmed yet
	majority int
	acked    int // voters that have confirmed
}

// newVoterAcks asks for a majority of voters, of which self is the first to know.
func newVoterAcks(voters []paxos.Voter, self uint64) *voterAcks {
	acks := &voterAcks{pending: map[uint64]bool{}, majority: len(voters)/2 + 1}
	for _, voter := range voters {
		acks.pending[voter.ID] = true
	}
	acks.confirm(self)
	return acks
}

// confirm notes that a keeper knows the fact. A keeper that is no voter, or has confirmed before, changes nothing.
func (acks *voterAcks) confirm(id uint64) {
	if acks == nil || !acks.pending[id] {
		return
	}
	delete(acks.pending, id)
	acks.acked++
}

// majorityReached reports whether a majority knows the fact. Without voters none does.
func (acks *voterAcks) majorityReached() bool { return acks == nil || acks.acked >= acks.majority }
