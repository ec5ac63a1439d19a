package paxos

import (
	"bytes"
	"fmt"
	"slices"

	"dunetide/internal/platform/invariant"
)

// oneValueASlot is the promise that all others of a register rest on: whoever learns a slot learns the same value of it.
var oneValueASlot = invariant.New("register_has_one_value_a_slot")

// checkSameValue holds a decided State of the newest known slot against the one that is known.
func (r *Register) checkSameValue(s State) {
	if s.Slot != r.state.Slot {
		return
	}
	oneValueASlot.Check(bytes.Equal(s.Value, r.state.Value) && slices.Equal(s.Voters, r.state.Voters), func() string {
		return fmt.Sprintf("register %s, slot %d: %d bytes with voters %v are known, %d bytes with voters %v are learned",
			r.o.Name, s.Slot, len(r.state.Value), r.state.Voters, len(s.Value), s.Voters)
	})
}
