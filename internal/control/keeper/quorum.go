package keeper

import (
	"time"

	"dunetide/internal/consensus/paxos"
)

// quorumWait is how long, after PushWait, an acknowledgement that needs a majority waits for it. Both together are below the second
// after which an endpoint goes on to another keeper.
const quorumWait = 450 * time.Millisecond

// confirmations counts the voters that have confirmed to know a fact, by their identities. Nil asks for none.
type confirmations struct {
	pending  map[uint64]bool // voters that have not confirmed yet
	majority int
	known    int // voters that have confirmed
}

// newConfirmations asks for a majority of voters, of which self is the first to know.
func newConfirmations(voters []paxos.Voter, self uint64) *confirmations {
	q := &confirmations{pending: map[uint64]bool{}, majority: len(voters)/2 + 1}
	for _, voter := range voters {
		q.pending[voter.ID] = true
	}
	q.confirm(self)
	return q
}

// confirm notes that a keeper knows the fact; one that is no voter, or has confirmed before, changes nothing.
func (q *confirmations) confirm(id uint64) {
	if q == nil || !q.pending[id] {
		return
	}
	delete(q.pending, id)
	q.known++
}

// reached reports whether a majority knows the fact. Without voters none does.
func (q *confirmations) reached() bool { return q == nil || q.known >= q.majority }

// votersOf are the voters of a register's newest state that is known here.
func (a *agreement) votersOf(register string) []paxos.Voter {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.states[register].Voters
}
