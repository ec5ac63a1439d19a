package agree

import (
	"fmt"
	"slices"
	"testing"
)

func TestAdmitAndExpel(t *testing.T) {
	v := func(id uint64, name, addr string) Voter { return Voter{id, name, addr} }
	cur := State{Slot: 4, Voters: []Voter{v(1, "a", "A"), v(2, "b", "B"), v(3, "c", "C")}}
	none := func(Voter) bool { return false }
	dead := func(name string) func(Voter) bool { return func(v Voter) bool { return v.Name == name } }
	for i, c := range []struct {
		in   Voter
		dead func(Voter) bool
		most int
		want string
	}{
		{v(9, "b", "B"), none, 3, "1a 9b 3c"},
		{v(9, "b", "D"), dead("a"), 9, "1a 9b 3c"},
		{v(9, "d", "C"), dead("a"), 9, "1a 2b 9d"},
		{v(9, "d", "D"), dead("a"), 9, "9d 2b 3c"},
		{v(9, "d", "D"), none, 4, "1a 2b 3c 9d"},
		{v(9, "d", "D"), none, 3, ""},
		{v(2, "b", "B"), dead("a"), 9, ""},
		{v(2, "e", "E"), dead("a"), 9, "1a 2e 3c"}, // it moved
		{v(0, "d", "D"), dead("a"), 9, ""},
	} {
		next, ok := Admit(cur, c.in, c.dead, c.most)
		got := ""
		if ok {
			got = show(next)
		}
		if got != c.want || show(cur) != "1a 2b 3c" {
			t.Errorf("%d: %q, not %q", i, got, c.want)
		}
	}
	if next, ok := Expel(cur, dead("b"), 2); !ok || show(next) != "1a 3c" || show(cur) != "1a 2b 3c" {
		t.Error(show(next), ok)
	}
	if _, ok := Expel(cur, dead("b"), 3); ok {
		t.Error("too few are left")
	}
	if _, ok := Expel(cur, none, 0); ok {
		t.Error("nobody is dead")
	}
}

func show(s State) string {
	out := ""
	for _, v := range s.Voters {
		out += fmt.Sprintf(" %d%s", v.ID, v.Name)
	}
	return out[min(1, len(out)):]
}

// TestOneVoterAtATime: whatever Admit makes, one voter at most is new, and one at most is gone.
func TestOneVoterAtATime(t *testing.T) {
	for n := 1; n <= 8; n++ {
		var cur State
		for i := range n {
			cur.Voters = append(cur.Voters, Voter{uint64(i + 1), fmt.Sprint("n", i), fmt.Sprint("a", i)})
		}
		for _, in := range append(slices.Clone(cur.Voters), Voter{99, "new", "new"}) {
			in.ID += 100
			next, _ := Admit(cur, in, func(v Voter) bool { return v.ID%2 == 0 }, 8)
			gone, come := 0, 0
			for _, v := range cur.Voters {
				if !next.Has(v.ID) {
					gone++
				}
			}
			for _, v := range next.Voters {
				if !cur.Has(v.ID) {
					come++
				}
			}
			if gone > 1 || come > 1 {
				t.Error(show(cur), "to", show(next))
			}
		}
	}
}
