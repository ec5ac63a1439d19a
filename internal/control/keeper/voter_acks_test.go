package keeper

import (
	"testing"

	"dunetide/internal/consensus/paxos"
)

// TestVoterAcks checks when a majority of the voters has confirmed.
func TestVoterAcks(t *testing.T) {
	voters := func(ids ...uint64) (all []paxos.Voter) {
		for _, id := range ids {
			all = append(all, paxos.Voter{ID: id})
		}
		return all
	}
	for name, c := range map[string]struct {
		voters    []paxos.Voter
		self      uint64
		confirmed []uint64
		enough    bool
	}{
		"no voters are known":                    {nil, 1, []uint64{1, 2}, false},
		"a single voter is a majority":           {voters(1), 1, nil, true},
		"one of three is no majority":            {voters(1, 2, 3), 1, nil, false},
		"two of three are a majority":            {voters(1, 2, 3), 1, []uint64{3}, true},
		"two of four are no majority":            {voters(1, 2, 3, 4), 1, []uint64{2}, false},
		"three of four are a majority":           {voters(1, 2, 3, 4), 1, []uint64{2, 4}, true},
		"the same voter counts once":             {voters(1, 2, 3, 4), 1, []uint64{2, 2, 2, 1}, false},
		"keepers without a vote don't count":     {voters(1, 2, 3), 0, []uint64{0, 7, 8, 2}, false},
		"the keeper that requests need not vote": {voters(1, 2, 3), 9, []uint64{1, 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			q := newVoterAcks(c.voters)
			q.confirm(c.self)
			for _, id := range c.confirmed {
				q.confirm(id)
			}
			if q.enough() != c.enough {
				t.Fatalf("enough is %v", q.enough())
			}
		})
	}
	none := noVoterAcks()
	none.confirm(1)
	if !none.enough() {
		t.Fatal("noVoterAcks requires confirmations")
	}
}
