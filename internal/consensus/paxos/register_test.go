package paxos

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Three voters on a network without message loss decide each operation in order, and each decision can be read.
func TestThreeVotersDecideInOrder(t *testing.T) {
	var voters []Voter
	for i := range 3 {
		voters = append(voters, Voter{ID: uint64(i + 1), Name: fmt.Sprint("n", i+1), Addr: fmt.Sprint("a", i+1)})
	}
	var inFlight []packet
	var registers []*Register
	for i := range 3 {
		r, err := New(Options{
			Name:       "config",
			ID:         voters[i].ID,
			ProposerID: uint64(i + 100),
			Send:       func(to Voter, msg []byte) { inFlight = append(inFlight, packet{i, int(to.ID) - 1, msg}) },
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Bootstrap(voters, []byte("0"))
		registers = append(registers, r)
	}
	deliverAll := func() {
		for len(inFlight) > 0 {
			p := inFlight[0]
			inFlight = inFlight[1:]
			registers[p.to].Receive(0, voters[p.from], p.message)
		}
	}
	for i := range 6 {
		done := false
		registers[i%3].Propose(0, time.Second, func(cur State) (State, error) {
			cur.Value = append(cur.Value, 'x')
			return cur, nil
		}, func(s State, err error) {
			if done = true; err != nil || s.Slot != uint64(i+1) || len(s.Value) != i+2 {
				t.Fatal(i, s, err)
			}
		})
		deliverAll()
		if !done {
			t.Fatal(i, "not done")
		}
		registers[(i+1)%3].Read(0, time.Second, func(s State, err error) {
			if done = false; err != nil || s.Slot != uint64(i+1) {
				t.Fatal(i, s, err)
			}
		})
		deliverAll()
		if done {
			t.Fatal(i, "not read")
		}
	}
}

// An answer from an ID that is not a voter does not count. The simulations don't cover this, because nodes that are not
// voters send no such answers.
func TestAnswersOfNonVotersDoNotCount(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a", Addr: "a"}, {ID: 2, Name: "b", Addr: "b"}, {ID: 3, Name: "c", Addr: "c"}}
	r, err := New(Options{Name: "r", ID: 1, ProposerID: 7, Send: func(Voter, []byte) {}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Bootstrap(voters, nil)
	r.Propose(0, time.Second, func(State) (State, error) {
		t.Fatal("one vote of three counted as a majority")
		return State{}, nil
	}, func(State, error) {})
	r.Receive(0, voters[1], message{kind: messagePromise, sender: 99, slot: 1, number: r.number}.encode("r"))
	r.Receive(0, voters[1], message{kind: messagePromise, sender: 1, slot: 1, number: r.number}.encode("r"))
}

// A node that is not a voter in the newest State that it knows does not answer requests for the next slot.
func TestNonVotersDoNotVote(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a", Addr: "a"}, {ID: 2, Name: "b", Addr: "b"}}
	for _, id := range []uint64{0, 9} {
		answers, saves := 0, 0
		r, err := New(Options{
			Name:       "r",
			ID:         id,
			ProposerID: 7,
			Send:       func(Voter, []byte) { answers++ },
			Save: func([]byte) error {
				saves++
				return nil
			},
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Learn(0, State{Voters: voters})
		saves = 0
		for _, k := range []messageKind{messageQuery, messagePrepare, messageAccept} {
			request := message{
				kind:   k,
				sender: 1,
				slot:   1,
				number: ProposalNumber{1, 1},
				state:  State{Slot: 1, Voters: voters},
			}
			r.Receive(0, voters[0], request.encode("r"))
		}
		if answers+saves != 0 {
			t.Fatalf("ID %d: %d messages, %d saves, want none", id, answers, saves)
		}
	}
}

// Operations run one at a time and in order; their number is bounded, and each ends at its timeout.
func TestOperationsAreQueuedAndBounded(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a", Addr: "a"}, {ID: 2, Name: "b", Addr: "b"}}
	r, err := New(Options{Name: "r", ID: 1, ProposerID: 7, Send: func(Voter, []byte) {}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := map[string]int{}
	propose := func() {
		r.Propose(0, time.Second, func(cur State) (State, error) { return cur, nil }, func(_ State, err error) {
			switch {
			case ErrQueueFull.Has(err):
				ended["queue full"]++
			case ErrNoState.Has(err):
				ended["no state"]++
			default:
				t.Error(err)
			}
		})
	}
	for range maxQueuedOperations + 11 {
		propose()
	}
	r.Tick(2 * time.Second)
	if ended["queue full"] != 10 || ended["no state"] != maxQueuedOperations+1 || r.NextTick() != Never {
		t.Fatal(ended, r.NextTick())
	}
	r.Bootstrap(voters[:1], nil)
	var got []int
	for i := range 5 {
		r.Propose(3*time.Second, time.Second, func(cur State) (State, error) { return cur, nil }, func(s State, err error) {
			got = append(got, int(s.Slot))
			if i == 0 {
				r.Read(3*time.Second, time.Second, func(s State, err error) { got = append(got, 100+int(s.Slot)) })
			}
		})
	}
	if fmt.Sprint(got) != "[1 101 2 3 4 5]" {
		t.Fatal(got)
	}
}

// A Register loaded from a snapshot equals one loaded from all records.
func TestSnapshotIsEquivalentToTheRecords(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a", Addr: "a"}, {ID: 2, Name: "b", Addr: "b"}, {ID: 3, Name: "c", Addr: "c"}}
	var saved [][]byte
	options := Options{
		Name:       "r",
		ID:         1,
		ProposerID: 7,
		Send:       func(Voter, []byte) {},
		Save: func(record []byte) error {
			saved = append(saved, record)
			return nil
		},
	}
	r, err := New(options, nil)
	if err != nil {
		t.Fatal(err)
	}
	check := func() {
		t.Helper()
		for _, records := range [][][]byte{saved, r.Snapshot()} {
			loaded, err := New(options, records)
			if err != nil {
				t.Fatal(err)
			}
			got := []any{loaded.known, loaded.state, loaded.acceptor}
			if want := []any{r.known, r.state, r.acceptor}; !reflect.DeepEqual(got, want) {
				t.Fatalf("loaded %+v, want %+v", loaded, r)
			}
		}
	}
	check()
	r.Bootstrap(voters, []byte("v"))
	check()
	next := State{Slot: 1, Voters: voters, Value: []byte("w"), recentOperations: []operationID{{8, 1}}}
	for _, m := range []message{
		{kind: messagePrepare, sender: 2, slot: 1, number: ProposalNumber{3, 8}},
		{kind: messageAccept, sender: 2, slot: 1, number: ProposalNumber{3, 8}, state: next},
		{kind: messagePrepare, sender: 3, slot: 1, number: ProposalNumber{4, 9}},
		{kind: messageAccept, sender: 2, slot: 1, number: ProposalNumber{3, 8}, state: next},
		{kind: messageDecided, sender: 2, state: next},
	} {
		r.Receive(0, voters[1], m.encode("r"))
		check()
	}
	if r.state.Slot != 1 {
		t.Fatal(r.state)
	}
	for i := range saved[1] {
		if _, err := New(options, [][]byte{saved[0], saved[1][:i]}); !ErrCorrupt.Has(err) {
			t.Fatal("a truncated record was accepted:", i, err)
		}
	}
}
