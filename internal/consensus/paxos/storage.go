package paxos

import (
	"fmt"
	"time"

	"dunetide/internal/platform/link"
)

// saveRetryDelay is the pause before the next Save after an ErrNotSaved.
const saveRetryDelay = 250 * time.Millisecond

// recordKind is the first byte of a saved record.
type recordKind uint8

// Kinds of records. The numbers are stored on disk.
const (
	recordPromise recordKind = iota + 1
	recordAccepted
	recordDecided
	recordChosen // the proposal accepted for a slot with a number is the decided one
)

// storage tracks the contents of this node's disk.
type storage struct {
	// stateStored is true if the newest decided State is on disk. While it is false, this node does not vote, because
	// the records of a slot can be loaded only after the State of the slot before, and it does not report to have the
	// State.
	stateStored   bool
	pendingRecord []byte // the record to save for the newest decided State

	storedSlot    uint64 // slot of the newest State on disk, if anySlotStored is set
	anySlotStored bool

	saveError     error         // error of the latest Save, if it left the disk unchanged
	saveNotBefore time.Duration // time of the next Save after a saveError

	fatalError error // error of a Save that left the disk in an unknown state; voting has stopped
}

// FatalError returns the error of the Save after which this node stopped voting; nil if it has not. The process has to
// restart and continue from the records on disk.
func (r *Register) FatalError() error { return r.fatalError }

// SaveError returns the error of the latest Save if it left the disk unchanged. Until a Save succeeds, this node gives
// no votes that have to be saved.
func (r *Register) SaveError() error { return r.saveError }

// StoredSlot returns the newest decided slot on this node's disk, or the newest known one if it has no disk; false if
// there is none.
func (r *Register) StoredSlot() (slot uint64, found bool) { return r.storedSlot, r.anySlotStored }

// Snapshot returns records that replace all records saved so far.
func (r *Register) Snapshot() [][]byte {
	if !r.known || r.fatalError != nil {
		return nil
	}
	records := [][]byte{encodeDecided(r.state)}
	if !r.acceptedNumber.IsZero() {
		records = append(records, encodeAccepted(r.acceptedNumber, r.acceptedState))
	}
	if r.promised != r.acceptedNumber {
		records = append(records, encodePromise(r.state.Slot+1, r.promised))
	}
	return records
}

// save saves a record and reports whether it is on disk. After an ErrNotSaved the disk is unchanged, and the record may
// be saved later. After any other error this node stops voting, because the contents of the disk are unknown.
func (r *Register) save(record []byte) bool {
	if r.options.ID == 0 {
		return true
	}
	if r.fatalError != nil || r.now < r.saveNotBefore {
		return false
	}
	err := r.options.Save(record)
	if ErrNotSaved.Has(err) {
		r.saveError, r.saveNotBefore = err, r.now+saveRetryDelay
		return false
	}
	r.saveError, r.fatalError = nil, err
	return err == nil
}

// storeState tries to save the newest decided State.
func (r *Register) storeState() {
	r.stateStored = false
	if r.save(r.pendingRecord) {
		r.markStored()
	}
}

// markStored records that the newest decided State is on disk.
func (r *Register) markStored() {
	r.stateStored, r.pendingRecord = true, nil
	r.storedSlot, r.anySlotStored = r.state.Slot, true
	if r.options.ID != 0 {
		r.storedBy[r.options.ID] = true
	}
}

// retryStore repeats a storeState that failed, and reports success to the other voters, which may be waiting for it.
func (r *Register) retryStore() {
	r.storeState()
	if !r.stateStored {
		return
	}
	for _, voter := range r.state.Voters {
		if voter.ID != r.options.ID {
			r.sendProgress(voter)
		}
	}
	r.finishIfNewVotersStored()
}

// storeDue reports whether the newest decided State still has to be stored.
func (r *Register) storeDue() bool { return r.known && !r.stateStored && r.fatalError == nil }

// decidedRecord returns the record to save for a decided State: a short one if the State is on disk as the accepted
// proposal.
func (r *Register) decidedRecord(s State) []byte {
	if s.Slot == r.state.Slot+1 && !r.acceptedNumber.IsZero() && r.acceptedState.equal(s) {
		return encodeChosen(s.Slot, r.acceptedNumber)
	}
	return encodeDecided(s)
}

// load applies a saved record.
func (r *Register) load(b []byte) error {
	record, err := decodeRecord(b)
	if err != nil {
		return err
	}
	switch {
	case record.kind == recordDecided:
		if !r.known || record.slot > r.state.Slot {
			r.installState(record.state)
		}
		return nil
	case !r.known || record.slot > r.state.Slot+1:
		return fmt.Errorf("record for slot %d without the state of the slot before", record.slot)
	case record.slot <= r.state.Slot:
		return nil
	case record.kind == recordChosen && record.number != r.acceptedNumber:
		return fmt.Errorf("slot %d is decided with another proposal than the accepted one", record.slot)
	case record.kind == recordChosen:
		r.installState(r.acceptedState)
		return nil
	case record.number.Less(r.promised):
		return nil
	}
	r.promised = record.number
	if record.kind == recordAccepted {
		r.acceptedNumber, r.acceptedState = record.number, record.state
	}
	return nil
}

// savedRecord is a decoded record. All kinds but recordDecided have a number; only recordDecided and recordAccepted
// have a state.
type savedRecord struct {
	kind   recordKind
	slot   uint64
	number ProposalNumber
	state  State
}

func decodeRecord(b []byte) (savedRecord, error) {
	in := &link.Reader{Buf: b}
	record := savedRecord{kind: recordKind(in.U8())}
	switch record.kind {
	case recordDecided:
		record.state = ReadState(in)
		record.slot = record.state.Slot
	case recordAccepted:
		record.slot, record.number = in.U64(), readProposalNumber(in)
		record.state = ReadState(in)
	default:
		record.slot, record.number = in.U64(), readProposalNumber(in)
	}
	if in.Err != nil {
		return savedRecord{}, in.Err
	}
	if record.kind < recordPromise || record.kind > recordChosen {
		return savedRecord{}, fmt.Errorf("unknown record kind %d", record.kind)
	}
	return record, nil
}

func encodePromise(slot uint64, number ProposalNumber) []byte {
	return encodeRecord(recordPromise, slot, number).Buf
}

func encodeAccepted(number ProposalNumber, s State) []byte {
	w := encodeRecord(recordAccepted, s.Slot, number)
	s.Append(w)
	return w.Buf
}

func encodeChosen(slot uint64, number ProposalNumber) []byte {
	return encodeRecord(recordChosen, slot, number).Buf
}

func encodeDecided(s State) []byte {
	w := &link.Writer{}
	w.U8(uint8(recordDecided))
	s.Append(w)
	return w.Buf
}

// encodeRecord encodes the common header of all records but recordDecided.
func encodeRecord(kind recordKind, slot uint64, number ProposalNumber) *link.Writer {
	w := &link.Writer{}
	w.U8(uint8(kind))
	w.U64(slot)
	number.append(w)
	return w
}
