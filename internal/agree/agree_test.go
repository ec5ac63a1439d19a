package agree

import (
	"fmt"
	"testing"
	"time"
)

// TestThreeVoters has three voters over links that lose nothing.
func TestThreeVoters(t *testing.T) {
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
		r, err := New(Options{Name: "config", ID: voters[i].ID, Proposer: uint64(i + 100),
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
