package paxos

import (
	"fmt"
	"slices"
	"testing"
)

// admitVoter returns the State with v among its voters: it replaces a voter with the same ID, the same name or the same
// address, or else a dead one, or is added if there are fewer than maxVoters. It returns false if there is nothing to
// change. The simulations use it for random changes beyond those that package reconfigure decides on.
func admitVoter(cur State, v Voter, dead func(Voter) bool, maxVoters int) (State, bool) {
	if v.ID == 0 || slices.Contains(cur.Voters, v) {
		return cur, false
	}
	for _, same := range []func(Voter) bool{
		func(w Voter) bool { return w.ID == v.ID },
		func(w Voter) bool { return w.Name == v.Name },
		func(w Voter) bool { return w.Addr == v.Addr },
		dead,
	} {
		if i := slices.IndexFunc(cur.Voters, same); i >= 0 {
			return cur.WithReplacement(cur.Voters[i].ID, v)
		}
	}
	if len(cur.Voters) >= maxVoters {
		return cur, false
	}
	return cur.WithVoter(v)
}

// expelVoter returns the State without one dead voter if there are more than minVoters; false if there is nothing to
// change.
func expelVoter(cur State, dead func(Voter) bool, minVoters int) (State, bool) {
	i := slices.IndexFunc(cur.Voters, dead)
	if i < 0 || len(cur.Voters) <= minVoters {
		return cur, false
	}
	return cur.WithoutVoter(cur.Voters[i].ID)
}

// The three changes of voters don't modify the State that they are applied to. They are refused if the result would
// have no voters, a voter without an ID or a duplicate voter.
func TestChangesOfVotersDoNotModifyTheirState(t *testing.T) {
	cur := State{Slot: 4, Voters: []Voter{{1, "a", "A"}, {2, "b", "B"}}}
	joiner, moved := Voter{9, "d", "D"}, Voter{2, "b", "E"}
	one := State{Voters: cur.Voters[:1]}
	type result struct {
		State
		ok bool
	}
	from := func(s State, ok bool) result { return result{s, ok} }
	for i, c := range []struct {
		got  result
		want string
	}{
		{from(cur.WithVoter(joiner)), "1a 2b 9d"},
		{from(cur.WithVoter(moved)), ""},
		{from(cur.WithVoter(Voter{0, "d", "D"})), ""},
		{from(cur.WithoutVoter(1)), "2b"},
		{from(cur.WithoutVoter(9)), ""},
		{from(one.WithoutVoter(1)), ""},
		{from(cur.WithReplacement(1, joiner)), "9d 2b"},
		{from(cur.WithReplacement(2, moved)), "1a 2b"},
		{from(cur.WithReplacement(1, moved)), ""},
		{from(cur.WithReplacement(9, joiner)), ""},
		{from(cur.WithReplacement(1, Voter{0, "d", "D"})), ""},
		{from(cur.WithReplacement(2, cur.Voters[1])), ""},
	} {
		got := ""
		if c.got.ok {
			got = describeVoters(c.got.State)
		}
		if got != c.want || describeVoters(cur) != "1a 2b" || cur.Voters[1].Addr != "B" {
			t.Errorf("%d: %q, not %q", i, got, c.want)
		}
	}
}

func TestAdmitAndExpel(t *testing.T) {
	v := func(id uint64, name, addr string) Voter { return Voter{id, name, addr} }
	cur := State{Slot: 4, Voters: []Voter{v(1, "a", "A"), v(2, "b", "B"), v(3, "c", "C")}}
	none := func(Voter) bool { return false }
	dead := func(name string) func(Voter) bool { return func(v Voter) bool { return v.Name == name } }
	for i, c := range []struct {
		in        Voter
		dead      func(Voter) bool
		maxVoters int
		want      string
	}{
		{v(9, "b", "B"), none, 3, "1a 9b 3c"},
		{v(9, "b", "D"), dead("a"), 9, "1a 9b 3c"},
		{v(9, "d", "C"), dead("a"), 9, "1a 2b 9d"},
		{v(9, "d", "D"), dead("a"), 9, "9d 2b 3c"},
		{v(9, "d", "D"), none, 4, "1a 2b 3c 9d"},
		{v(9, "d", "D"), none, 3, ""},
		{v(2, "b", "B"), dead("a"), 9, ""},
		{v(2, "e", "E"), dead("a"), 9, "1a 2e 3c"}, // the voter has moved
		{v(0, "d", "D"), dead("a"), 9, ""},
	} {
		next, ok := admitVoter(cur, c.in, c.dead, c.maxVoters)
		got := ""
		if ok {
			got = describeVoters(next)
		}
		if got != c.want || describeVoters(cur) != "1a 2b 3c" {
			t.Errorf("%d: %q, not %q", i, got, c.want)
		}
	}
	next, ok := expelVoter(cur, dead("b"), 2)
	if !ok || describeVoters(next) != "1a 3c" || describeVoters(cur) != "1a 2b 3c" {
		t.Error(describeVoters(next), ok)
	}
	if _, ok := expelVoter(cur, dead("b"), 3); ok {
		t.Error("a voter was removed although only minVoters are left")
	}
	if _, ok := expelVoter(cur, none, 0); ok {
		t.Error("a voter was removed although none is dead")
	}
}

func describeVoters(s State) string {
	out := ""
	for _, v := range s.Voters {
		out += fmt.Sprintf(" %d%s", v.ID, v.Name)
	}
	return out[min(1, len(out)):]
}

// admitVoter adds at most one voter and removes at most one.
func TestAdmitChangesOneVoterAtMost(t *testing.T) {
	for n := 1; n <= 8; n++ {
		var cur State
		for i := range n {
			cur.Voters = append(cur.Voters, Voter{uint64(i + 1), fmt.Sprint("n", i), fmt.Sprint("a", i)})
		}
		for _, in := range append(slices.Clone(cur.Voters), Voter{99, "new", "new"}) {
			in.ID += 100
			next, _ := admitVoter(cur, in, func(v Voter) bool { return v.ID%2 == 0 }, 8)
			removed, joined := 0, 0
			for _, v := range cur.Voters {
				if !next.HasVoter(v.ID) {
					removed++
				}
			}
			for _, v := range next.Voters {
				if !cur.HasVoter(v.ID) {
					joined++
				}
			}
			if removed > 1 || joined > 1 {
				t.Error(describeVoters(cur), "to", describeVoters(next))
			}
		}
	}
}
