package paxos

import (
	"bytes"
	"testing"
	"time"
)

// singleVoter is a register with a single voter, and its saved records.
type singleVoter struct {
	*Register
	disk     [][]byte
	diskFull bool
	now      time.Duration
}

func newSingleVoter(t *testing.T, disk [][]byte) *singleVoter {
	t.Helper()
	s := &singleVoter{disk: disk}
	r, err := New(Options{
		Name:       "r",
		ID:         1,
		ProposerID: uint64(len(disk)) + 1,
		Send:       func(Voter, []byte) {},
		Save: func(record []byte) error {
			if s.diskFull {
				return ErrNotSaved.New("the disk is full")
			}
			s.disk = append(s.disk, bytes.Clone(record))
			return nil
		},
	}, disk)
	if err != nil {
		t.Fatal(err)
	}
	s.Register = r
	return s
}

func (s *singleVoter) write(t *testing.T, value string) {
	t.Helper()
	var ended error
	s.now += time.Second
	s.Propose(s.now, time.Second, func(cur State) (State, error) {
		cur.Value = []byte(value)
		return cur, nil
	}, func(_ State, err error) { ended = err })
	if ended != nil {
		t.Fatal(ended)
	}
}

// A State is written to disk once: its decision adds only a short record. Records of earlier versions, which wrote the
// State twice, can still be loaded.
func TestStateIsSavedOnce(t *testing.T) {
	s := newSingleVoter(t, nil)
	s.Bootstrap([]Voter{{ID: 1, Name: "n1"}}, nil)
	long := string(make([]byte, 1<<20))
	s.write(t, long)
	bytesSaved := 0
	for _, b := range s.disk {
		bytesSaved += len(b)
	}
	if bytesSaved > len(long)+1000 {
		t.Errorf("%d bytes saved for a value of %d bytes", bytesSaved, len(long))
	}
	again := newSingleVoter(t, s.disk)
	if got, _ := again.State(); !got.equal(s.state) {
		t.Errorf("slot %d after a restart", got.Slot)
	}
	last := len(s.disk) - 1
	before := append(append([][]byte(nil), s.disk[:last]...), encodeDecided(s.state))
	if got, _ := newSingleVoter(t, before).State(); !got.equal(s.state) {
		t.Errorf("slot %d from records with the State twice", got.Slot)
	}
	other := append(append([][]byte(nil), s.disk[:last]...), encodeChosen(1, ProposalNumber{77, 7}))
	if _, err := New(Options{Name: "r", ID: 1, ProposerID: 9}, other); !ErrCorrupt.Has(err) {
		t.Errorf("a decision on another proposal number than the accepted one was loaded: %v", err)
	}
}

// A State that does not fit on a full disk is stored once the disk has space; until then the node does not vote.
func TestStateIsStoredOnceADiskHasSpace(t *testing.T) {
	s := newSingleVoter(t, nil)
	s.Bootstrap([]Voter{{ID: 1, Name: "n1"}}, nil)
	s.write(t, "a")
	saved := len(s.disk)
	s.diskFull = true
	next := State{Slot: 2, Voters: s.state.Voters, Value: []byte("b")}
	s.Learn(s.now, next)
	if slot, found := s.StoredSlot(); slot != 1 || !found || s.SaveError() == nil || s.FatalError() != nil {
		t.Fatalf("slot %d, %v, %v, %v", slot, found, s.SaveError(), s.FatalError())
	}
	if got, _ := s.State(); got.Slot != 2 || s.storedBy[1] {
		t.Errorf("knows slot %d, counts itself %v", got.Slot, s.storedBy[1])
	}
	s.receiveRequest(Voter{ID: 2}, message{kind: messagePrepare, slot: 3, number: ProposalNumber{9, 9}})
	s.diskFull = false
	s.receiveRequest(Voter{ID: 2}, message{kind: messagePrepare, slot: 3, number: ProposalNumber{9, 9}})
	if len(s.disk) != saved {
		t.Error("a vote was saved before the State of the slot before")
	}
	if due := s.NextTick(); due > s.now+saveRetryDelay {
		t.Errorf("the next Save is due after %v", due-s.now)
	}
	s.Tick(s.now + saveRetryDelay)
	if slot, _ := s.StoredSlot(); slot != 2 || s.SaveError() != nil || !s.storedBy[1] {
		t.Errorf("slot %d is stored, %v", slot, s.SaveError())
	}
	s.receiveRequest(Voter{ID: 2}, message{kind: messagePrepare, slot: 3, number: ProposalNumber{9, 9}})
	if again := newSingleVoter(t, s.disk); again.state.Slot != 2 || again.promised != (ProposalNumber{9, 9}) {
		t.Errorf("slot %d, promised %v", again.state.Slot, again.promised)
	}
}
