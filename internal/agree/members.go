package agree

import "slices"

// Admit gives the State with v among its voters: in the place of one with the same name, or the same address, or
// of a dead one, or added where there are fewer than most. False: nothing to change.
func Admit(cur State, v Voter, dead func(Voter) bool, most int) (State, bool) {
	if v.ID == 0 || slices.Contains(cur.Voters, v) {
		return cur, false
	}
	next := cur.Clone()
	for _, same := range []func(Voter) bool{
		func(w Voter) bool { return w.ID == v.ID },
		func(w Voter) bool { return w.Name == v.Name },
		func(w Voter) bool { return w.Addr == v.Addr },
		dead,
	} {
		if i := slices.IndexFunc(next.Voters, same); i >= 0 {
			next.Voters[i] = v
			return next, true
		}
	}
	if len(next.Voters) >= most {
		return cur, false
	}
	next.Voters = append(next.Voters, v)
	return next, true
}

// Expel gives the State without one dead voter, where more than least are left. False: nothing to change.
func Expel(cur State, dead func(Voter) bool, least int) (State, bool) {
	i := slices.IndexFunc(cur.Voters, dead)
	if i < 0 || len(cur.Voters) <= least {
		return cur, false
	}
	next := cur.Clone()
	next.Voters = slices.Delete(next.Voters, i, i+1)
	return next, true
}
