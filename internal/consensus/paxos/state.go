package paxos

import (
	"bytes"
	"slices"

	"dunetide/internal/platform/link"
)

// State is the whole of a register at one slot. The Voters of a slot decide the next one.
type State struct {
	Slot   uint64
	Voters []Voter
	Value  []byte

	// recentOperations are those that were decided at this slot and the ones before, the newest last: by them a
	// proposer that lost sight of its own proposal knows whether it was decided. Slot 0 is nobody's.
	recentOperations []operationID
}

// operationID identifies one operation of one incarnation of a process.
type operationID struct{ proposer, operation uint64 }

// maxRecentOperations bounds how many slots a proposer may fall behind and still learn what became of its proposal.
const maxRecentOperations = 64

// HasVoter reports whether a voter with this identity is among the Voters.
func (s State) HasVoter(id uint64) bool { return s.voterIndex(id) >= 0 }

func (s State) equal(other State) bool {
	return s.Slot == other.Slot &&
		slices.Equal(s.Voters, other.Voters) &&
		bytes.Equal(s.Value, other.Value) &&
		slices.Equal(s.recentOperations, other.recentOperations)
}

// Clone shares no memory with s.
func (s State) Clone() State {
	s.Voters = slices.Clone(s.Voters)
	s.Value = bytes.Clone(s.Value)
	s.recentOperations = slices.Clone(s.recentOperations)
	return s
}

// operationAt is the operation that was decided at a slot that is not newer than s; false: it is too long ago.
func (s State) operationAt(slot uint64) (operationID, bool) {
	back := s.Slot - slot
	count := uint64(len(s.recentOperations))
	if back >= count {
		return operationID{}, false
	}
	return s.recentOperations[count-1-back], true
}

// operationsAnd is recentOperations with one more.
func (s State) operationsAnd(newest operationID) []operationID {
	all := append(slices.Clone(s.recentOperations), newest)
	return all[max(0, len(all)-maxRecentOperations):]
}

// minVoterBytes and minOperationBytes are the least sizes of an encoded element, by which a damaged count is refused.
const (
	minVoterBytes     = 16
	minOperationBytes = 16
)

// Append encodes s, with what is needed to go on from it. The form is on the wire and on disk.
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

// ReadState decodes a State that Append encoded. It shares no memory with the message. The reader's Err says whether it
// was one.
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
