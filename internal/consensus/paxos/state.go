package paxos

import (
	"bytes"
	"slices"

	"dunetide/internal/platform/link"
)

// State is the complete contents of a register at one slot. The Voters of a slot decide the next slot.
type State struct {
	Slot   uint64
	Voters []Voter
	Value  []byte

	// recentOperations are the operations decided at this slot and the slots before, newest last. A proposer that missed
	// the decision on its own proposal finds out from them whether it was chosen. Slot 0 has no operation.
	recentOperations []operationID
}

// operationID identifies one operation of one incarnation of a process.
type operationID struct{ proposer, operation uint64 }

// maxRecentOperations is how many slots a proposer may fall behind and still find out whether its proposal was chosen.
const maxRecentOperations = 64

// HasVoter reports whether id is the ID of one of the Voters.
func (s State) HasVoter(id uint64) bool { return s.voterIndex(id) >= 0 }

func (s State) equal(other State) bool {
	return s.Slot == other.Slot &&
		slices.Equal(s.Voters, other.Voters) &&
		bytes.Equal(s.Value, other.Value) &&
		slices.Equal(s.recentOperations, other.recentOperations)
}

// Clone returns a copy that shares no memory with s.
func (s State) Clone() State {
	s.Voters = slices.Clone(s.Voters)
	s.Value = bytes.Clone(s.Value)
	s.recentOperations = slices.Clone(s.recentOperations)
	return s
}

// operationAt returns the operation decided at a slot that is not newer than s; false if the slot is too old.
func (s State) operationAt(slot uint64) (operationID, bool) {
	back := s.Slot - slot
	count := uint64(len(s.recentOperations))
	if back >= count {
		return operationID{}, false
	}
	return s.recentOperations[count-1-back], true
}

// operationsAnd returns recentOperations with newest appended, cut to maxRecentOperations.
func (s State) operationsAnd(newest operationID) []operationID {
	all := append(slices.Clone(s.recentOperations), newest)
	return all[max(0, len(all)-maxRecentOperations):]
}

// minVoterBytes and minOperationBytes are the minimum sizes of an encoded element. They bound element counts, so that a
// corrupt count is rejected.
const (
	minVoterBytes     = 16
	minOperationBytes = 16
)

// Append encodes s, including recentOperations, which later slots need. The format is used on the wire and on disk.
func (s State) Append(w *link.Writer) {
	w.U64(s.Slot)
	w.U32(uint32(len(s.Voters)))
	for _, voter := range s.Voters {
		w.U64(voter.ID)
		w.String(voter.Name)
		w.String(voter.Addr)
	}
	w.Bytes(s.Value)
	w.U32(uint32(len(s.recentOperations)))
	for _, id := range s.recentOperations {
		w.U64(id.proposer)
		w.U64(id.operation)
	}
}

// ReadState decodes a State encoded by Append. The result shares no memory with the message. The reader's Err is set if
// the input is not a valid State.
func ReadState(r *link.Reader) State {
	s := State{Slot: r.U64()}
	for range r.Count(minVoterBytes) {
		s.Voters = append(s.Voters, Voter{ID: r.U64(), Name: r.String(), Addr: r.String()})
	}
	s.Value = bytes.Clone(r.Bytes())
	for range r.Count(minOperationBytes) {
		s.recentOperations = append(s.recentOperations, operationID{r.U64(), r.U64()})
	}
	return s
}
