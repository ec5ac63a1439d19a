package paxos

import (
	"testing"

	"dunetide/internal/platform/invariant/invarianttest"
)

func TestInvariantFindsTwoValuesOfOneSlot(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}}
	known := State{Slot: 4, Voters: voters, Value: []byte("x")}
	r := &Register{options: Options{Name: "config"}, state: known, known: true}
	for _, same := range []State{known, {Slot: 3, Voters: voters[:1], Value: []byte("older")}} {
		r.learn(same)
	}
	for _, other := range []State{
		{Slot: 4, Voters: voters, Value: []byte("y")},
		{Slot: 4, Voters: voters[:1], Value: []byte("x")},
	} {
		invarianttest.Violates(t, "register_has_one_value_a_slot", func() { r.learn(other) })
	}
}
