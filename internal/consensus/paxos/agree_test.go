package paxos

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestThreeVotersDecideInOrder has three voters over links that lose nothing.
func TestThreeVotersDecideInOrder(t *testing.T) {
	var voters []Voter
	for i := range 3 {
		voters = append(voters, Voter{ID: uint64(i + 1), Name: fmt.Sprint("n", i+1), Addr: fmt.Sprint("a", i+1)})
	}
	type sent struct {
		from, to int
		b        []byte
	}
	var wire []sent
	var regs []*Register
	for i := range 3 {
		r, err := New(Options{Name: "config", ID: voters[i].ID, ProposerID: uint64(i + 100),
			Send: func(to Voter, b []byte) { wire = append(wire, sent{i, int(to.ID) - 1, b}) }}, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Bootstrap(voters, []byte("0"))
		regs = append(regs, r)
	}
	run := func() {
		for len(wire) > 0 {
			m := wire[0]
			wire = wire[1:]
			regs[m.to].Receive(0, voters[m.from], m.b)
		}
	}
	for i := range 6 {
		done := false
		regs[i%3].Propose(0, time.Second, func(cur State) (State, error) {
			cur.Value = append(cur.Value, 'x')
			return cur, nil
		}, func(s State, err error) {
			if done = true; err != nil || s.Slot != uint64(i+1) || len(s.Value) != i+2 {
				t.Fatal(i, s, err)
			}
		})
		run()
		if !done {
			t.Fatal(i, "not done")
		}
		regs[(i+1)%3].Read(0, time.Second, func(s State, err error) {
			if done = false; err != nil || s.Slot != uint64(i+1) {
				t.Fatal(i, s, err)
			}
		})
		run()
		if done {
			t.Fatal(i, "not read")
		}
	}
}

// TestAnswersOfNonVotersDoNotCount: an answer of an identity that is no voter is no vote. Voters that are none do not give
// such answers either, so no simulation sees one.
func TestAnswersOfNonVotersDoNotCount(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a", Addr: "a"}, {ID: 2, Name: "b", Addr: "b"}, {ID: 3, Name: "c", Addr: "c"}}
	r, err := New(Options{Name: "r", ID: 1, ProposerID: 7, Send: func(Voter, []byte) {}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Bootstrap(voters, nil)
	r.Propose(0, time.Second, func(State) (State, error) { t.Fatal("a majority of one"); return State{}, nil }, func(State, error) {})
	r.Receive(0, voters[1], message{kind: messagePromise, sender: 99, slot: 1, number: r.number}.encode("r"))
	r.Receive(0, voters[1], message{kind: messagePromise, sender: 1, slot: 1, number: r.number}.encode("r"))
}

// TestNonVotersDoNotVote: who is not in the newest State it knows answers no request, but for what it knows.
func TestNonVotersDoNotVote(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a", Addr: "a"}, {ID: 2, Name: "b", Addr: "b"}}
	for _, id := range []uint64{0, 9} {
		said, saves := 0, 0
		r, err := New(Options{Name: "r", ID: id, ProposerID: 7, Send: func(Voter, []byte) { said++ }, Save: func([]byte) error { saves++; return nil }}, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Learn(0, State{Voters: voters})
		saves = 0
		for _, k := range []messageKind{messageQuery, messagePrepare, messageAccept} {
			r.Receive(0, voters[0], message{kind: k, sender: 1, slot: 1, number: ProposalNumber{1, 1}, state: State{Slot: 1, Voters: voters}}.encode("r"))
		}
		if said+saves != 0 {
			t.Fatalf("identity %d: %d messages, %d saves", id, said, saves)
		}
	}
}

// TestOperationsAreQueuedAndBounded: one at a time, in order, and not without bound; each ends in time.
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
				ended["busy"]++
			case ErrNoState.Has(err):
				ended["unknown"]++
			default:
				t.Error(err)
			}
		})
	}
	for range maxQueuedOperations + 11 {
		propose()
	}
	r.Tick(2 * time.Second)
	if ended["busy"] != 10 || ended["unknown"] != maxQueuedOperations+1 || r.NextTick() != Never {
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

// TestSnapshotHoldsWhatTheRecordsHold: what a snapshot holds is what all payloads hold.
func TestSnapshotHoldsWhatTheRecordsHold(t *testing.T) {
	voters := []Voter{{ID: 1, Name: "a", Addr: "a"}, {ID: 2, Name: "b", Addr: "b"}, {ID: 3, Name: "c", Addr: "c"}}
	var saved [][]byte
	o := Options{Name: "r", ID: 1, ProposerID: 7, Send: func(Voter, []byte) {}, Save: func(b []byte) error { saved = append(saved, b); return nil }}
	r, err := New(o, nil)
	if err != nil {
		t.Fatal(err)
	}
	check := func() {
		t.Helper()
		for _, payloads := range [][][]byte{saved, r.Snapshot()} {
			c, err := New(o, payloads)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual([]any{c.known, c.state, c.promised, c.acceptedNumber, c.acceptedState}, []any{r.known, r.state, r.promised, r.acceptedNumber, r.acceptedState}) {
				t.Fatalf("%+v is not %+v", c, r)
			}
		}
	}
	check()
	r.Bootstrap(voters, []byte("v"))
	check()
	next := State{Slot: 1, Voters: voters, Value: []byte("w"), recentOperations: []operationID{{8, 1}}}
	for _, m := range []message{{kind: messagePrepare, sender: 2, slot: 1, number: ProposalNumber{3, 8}}, {kind: messageAccept, sender: 2, slot: 1, number: ProposalNumber{3, 8}, state: next},
		{kind: messagePrepare, sender: 3, slot: 1, number: ProposalNumber{4, 9}}, {kind: messageAccept, sender: 2, slot: 1, number: ProposalNumber{3, 8}, state: next},
		{kind: messageDecided, sender: 2, state: next}} {
		r.Receive(0, voters[1], m.encode("r"))
		check()
	}
	if r.state.Slot != 1 {
		t.Fatal(r.state)
	}
	for i := range saved[1] {
		if _, err := New(o, [][]byte{saved[0], saved[1][:i]}); !ErrCorrupt.Has(err) {
			t.Fatal("a payload that ends early is taken:", i, err)
		}
	}
}
