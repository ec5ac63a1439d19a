package paxos

import (
	"bytes"
	"fmt"
	"slices"

	"dunetide/internal/platform/invariant"
)

// oneValueASlot is agreement, on which all other guarantees of a register rest: all processes that learn a slot learn
// the same State of it. The name is that of a metric.
var oneValueASlot = invariant.New("register_has_one_value_a_slot")

// checkSameValue compares a decided State of the newest known slot with the one that is known.
func (r *Register) checkSameValue(s State) {
	if s.Slot != r.state.Slot {
		return
	}
	oneValueASlot.Check(bytes.Equal(s.Value, r.state.Value) && slices.Equal(s.Voters, r.state.Voters), func() string {
		return fmt.Sprintf("register %s, slot %d: "+
			"%d bytes with voters %v are known, %d bytes with voters %v are learned",
			r.options.Name, s.Slot, len(r.state.Value), r.state.Voters, len(s.Value), s.Voters)
	})
}
