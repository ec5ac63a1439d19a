package paxos

import (
	"bytes"
	"testing"
	"time"
)

// saver is a register of one voter, and what it has saved.
type saver struct {
	*Register
	disk [][]byte
	full bool
	now  time.Duration
}

func newSaver(t *testing.T, disk [][]byte) *saver {
	t.Helper()
	s := &saver{disk: disk}
	r, err := New(Options{Name: "r", ID: 1, Proposer: uint64(len(disk)) + 1, Send: func(Voter, []byte) {}, Save: func(b []byte) error {
		if s.full {
			return ErrNotSaved.New("the disk is full")
		}
		s.disk = append(s.disk, bytes.Clone(b))
		return nil
	}}, disk)
	if err != nil {
		t.Fatal(err)
	}
	s.Register = r
	return s
}

func (s *saver) write(t *testing.T, value string) {
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

// TestStateIsSavedOnce has a State on the disk once, not twice, and files of before are read as they were.
func TestStateIsSavedOnce(t *testing.T) {
	s := newSaver(t, nil)
	s.Bootstrap([]Voter{{ID: 1, Name: "n1"}}, nil)
	long := string(make([]byte, 1<<20))
	s.write(t, long)
	bytesSaved := 0
	for _, b := range s.disk {
		bytesSaved += len(b)
	}
	if bytesSaved > len(long)+1000 {
		t.Errorf("%d bytes for a value of %d", bytesSaved, len(long))
	}
	again := newSaver(t, s.disk)
	if got, _ := again.State(); !got.equal(s.state) {
		t.Errorf("slot %d after a restart", got.Slot)
	}
	last := len(s.disk) - 1
	before := append(append([][]byte(nil), s.disk[:last]...), decidedPayload(s.state))
	if got, _ := newSaver(t, before).State(); !got.equal(s.state) {
		t.Errorf("slot %d of a file that has the State twice", got.Slot)
	}
	other := append(append([][]byte(nil), s.disk[:last]...), chosenPayload(1, ballot{77, 7}))
	if _, err := New(Options{Name: "r", ID: 1, Proposer: 9}, other); !ErrSaved.Has(err) {
		t.Errorf("another ballot is decided than was accepted: %v", err)
	}
}

// TestFullDiskThenRoom has a State that found no room on the disk as soon as there is some, and no vote before.
func TestFullDiskThenRoom(t *testing.T) {
	s := newSaver(t, nil)
	s.Bootstrap([]Voter{{ID: 1, Name: "n1"}}, nil)
	s.write(t, "a")
	saved := len(s.disk)
	s.full = true
	next := State{Slot: 2, Voters: s.state.Voters, Value: []byte("b")}
	s.Learn(s.now, next)
	if slot, there := s.Stored(); slot != 1 || !there || s.Unsaved() == nil || s.Failed() != nil {
		t.Fatalf("slot %d, %v, %v, %v", slot, there, s.Unsaved(), s.Failed())
	}
	if got, _ := s.State(); got.Slot != 2 || s.holders[1] {
		t.Errorf("knows slot %d, counts itself %v", got.Slot, s.holders[1])
	}
	s.vote(Voter{ID: 2}, message{kind: prepare, slot: 3, ballot: ballot{9, 9}})
	s.full = false
	if s.vote(Voter{ID: 2}, message{kind: prepare, slot: 3, ballot: ballot{9, 9}}); len(s.disk) != saved {
		t.Error("a vote before the State of the slot before is stored")
	}
	if due := s.Next(); due > s.now+saveRetry {
		t.Errorf("tried again after %v", due-s.now)
	}
	s.Tick(s.now + saveRetry)
	if slot, _ := s.Stored(); slot != 2 || s.Unsaved() != nil || !s.holders[1] {
		t.Errorf("slot %d is stored, %v", slot, s.Unsaved())
	}
	s.vote(Voter{ID: 2}, message{kind: prepare, slot: 3, ballot: ballot{9, 9}})
	if again := newSaver(t, s.disk); again.state.Slot != 2 || again.promised != (ballot{9, 9}) {
		t.Errorf("slot %d, promised %v", again.state.Slot, again.promised)
	}
}
