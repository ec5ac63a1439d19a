package paxos

import (
	"bytes"
	"fmt"
	"slices"

	"dunetide/internal/platform/invariant"
)

// oneValueASlot checks agreement, on which all other guarantees of a register rest: all processes that learn a slot
// learn the same State of it. The string is the invariant's label in metrics.
var oneValueASlot = invariant.New("register_has_one_value_a_slot")

// checkSameValue checks that a decided State of the newest known slot equals the known one.
func (r *Register) checkSameValue(s State) {
	if s.Slot != r.state.Slot {
		return
	}
	oneValueASlot.Check(bytes.Equal(s.Value, r.state.Value) && slices.Equal(s.Voters, r.state.Voters), func() string {
		return fmt.Sprintf("register %s, slot %d: "+
			"known value of %d bytes with voters %v, learned value of %d bytes with voters %v",
			r.options.Name, s.Slot, len(r.state.Value), r.state.Voters, len(s.Value), s.Voters)
	})
}
