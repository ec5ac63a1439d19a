package paxos

import (
	"fmt"
	"time"

	"dunetide/internal/platform/link"
)

// saveRetryDelay is how long nothing is saved after an ErrNotSaved.
const saveRetryDelay = 250 * time.Millisecond

// recordKind stands at the beginning of each saved record.
type recordKind uint8

// The kinds of records. Their numbers are on disk.
const (
	recordPromise recordKind = iota + 1
	recordAccepted
	recordDecided
	recordChosen // the proposal accepted for a slot at a number is the decided one
)

// storage is what is known of this node's disk.
type storage struct {
	// stateStored: the newest decided State is on disk. While it is not, this node does not vote, as a record of a slot
	// is read back only behind the State of the slot before, and reports to nobody that it has the State.
	stateStored   bool
	pendingRecord []byte // what has to be saved for that

	storedSlot    uint64 // the newest State that is on disk, if any is
	anySlotStored bool

	saveError     error         // of the newest Save, if it left the disk as it was
	saveNotBefore time.Duration // after a saveError

	fatalError error // of a Save after which it is not known what the disk holds: no votes any more
}

// FatalError is the error of the Save that ended this node's votes. The process has to start again: what was saved
// decides.
func (r *Register) FatalError() error { return r.fatalError }

// SaveError is the error of the newest Save if that left the disk as it was: this node gives no votes that have to be
// saved until a Save succeeds.
func (r *Register) SaveError() error { return r.saveError }

// StoredSlot is the newest decided slot that is on disk here, or known where there is no disk; false: there is none.
func (r *Register) StoredSlot() (slot uint64, found bool) { return r.storedSlot, r.anySlotStored }

// Snapshot returns the records that replace all that Save has stored.
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

// save reports whether the record is on disk. Where the disk was left as it was, it may be saved later. Any other error
// ends this node's votes: what the disk holds is not known.
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

// storeState puts the decided State on disk, if the disk takes it.
func (r *Register) storeState() {
	r.stateStored = false
	if r.save(r.pendingRecord) {
		r.markStored()
	}
}

// markStored notes that the State is on disk.
func (r *Register) markStored() {
	r.stateStored, r.pendingRecord = true, nil
	r.storedSlot, r.anySlotStored = r.state.Slot, true
	if r.options.ID != 0 {
		r.storedBy[r.options.ID] = true
	}
}

// retryStore repeats a storeState that failed, and reports success to those who may wait for it.
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

// storeDue reports whether the State has still to be stored.
func (r *Register) storeDue() bool { return r.known && !r.stateStored && r.fatalError == nil }

// decidedRecord is what has to be saved for a decided State: a short record where the disk holds it as accepted.
func (r *Register) decidedRecord(s State) []byte {
	if s.Slot == r.state.Slot+1 && !r.acceptedNumber.IsZero() && r.acceptedState.equal(s) {
		return encodeChosen(s.Slot, r.acceptedNumber)
	}
	return encodeDecided(s)
}

// load takes in a record that was saved earlier.
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
		return fmt.Errorf("it is about slot %d, and the one before is not there", record.slot)
	case record.slot <= r.state.Slot:
		return nil
	case record.kind == recordChosen && record.number != r.acceptedNumber:
		return fmt.Errorf("it says that slot %d is decided, and something else is accepted", record.slot)
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

// savedRecord is a record as read back. The number is that of all kinds but recordDecided; the state is that of
// recordDecided and recordAccepted.
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
		return savedRecord{}, fmt.Errorf("kind %d is unknown", record.kind)
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

// encodeRecord encodes what all records but a recordDecided begin with.
func encodeRecord(kind recordKind, slot uint64, number ProposalNumber) *link.Writer {
	w := &link.Writer{}
	w.U8(uint8(kind))
	w.U64(slot)
	number.append(w)
	return w
}
