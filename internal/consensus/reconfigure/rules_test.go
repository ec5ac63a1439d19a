package reconfigure

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

const testUnresponsiveTimeout = 2500 * time.Millisecond

// parse parses voters and keepers, such as "1a 2b! 3c?9" and "1a 4d 5e~". For voters, ! means not reachable and ?9
// unreachable for 9 seconds; for keepers, ~ means not caught up, - leaving and @ at another address.
func parse(voters, keepers string) Situation {
	s := Situation{Limits: Limits{1, 9, testUnresponsiveTimeout}}
	identity := func(text string) paxos.Voter {
		return paxos.Voter{ID: uint64(text[0] - '0'), Name: text[1:2], Addr: strings.ToUpper(text[1:2])}
	}
	for _, text := range strings.Fields(voters) {
		voter := Voter{Voter: identity(text), Reachable: len(text) == 2}
		if _, seconds, found := strings.Cut(text, "?"); found {
			voter.UnreachableFor, _ = time.ParseDuration(seconds + "s")
		}
		s.Voters = append(s.Voters, voter)
	}
	for _, text := range strings.Fields(keepers) {
		keeper := Keeper{Voter: identity(text), CaughtUp: !strings.Contains(text, "~"), Leaving: strings.Contains(text, "-")}
		if strings.Contains(text, "@") {
			keeper.Addr = "elsewhere"
		}
		s.Keepers = append(s.Keepers, keeper)
	}
	return s
}

func (s Situation) state() paxos.State {
	var state paxos.State
	for _, voter := range s.Voters {
		state.Voters = append(state.Voters, voter.Voter)
	}
	return state
}

func show(voters []paxos.Voter) string {
	var names []string
	for _, voter := range voters {
		names = append(names, fmt.Sprint(voter.ID, voter.Name))
	}
	return strings.Join(names, " ")
}

func TestNextChange(t *testing.T) {
	for _, c := range []struct {
		name            string
		voters, keepers string
		maxFailures     int
		maxVoters       int
		want            string
	}{
		{"no change is needed", "1a 2b 3c", "1a 2b 3c", 1, 9, ""},
		{"a voter moved", "1a 2b 3c", "1a 2b@ 3c", 1, 9, "moved: 1a 2b 3c"},
		{"its disk was lost", "1a 2b! 3c", "1a 3c 9b", 1, 9, "disk lost: 1a 9b 3c"},
		{"its disk was lost, its successor has not caught up", "1a 2b! 3c", "1a 3c 9b~", 1, 9, ""},
		{"two processes under one name", "1a 2b 3c", "1a 2b 3c 9b", 1, 3, ""},
		{"its disk was lost, and too many voters are unreachable", "1a 2b! 3c! 4d!", "1a 9b", 1, 9, ""},
		{"leaving, with a candidate", "1a 2b 3c", "1a- 2b 3c 4d", 1, 9, "leaving: 4d 2b 3c"},
		{"leaving, the candidate has not caught up", "1a 2b 3c", "1a- 2b 3c 4d~", 1, 9, ""},
		{"leaving, the candidate is leaving, too", "1a 2b 3c", "1a- 2b 3c 4d-", 1, 9, ""},
		{"leaving, with voters to spare", "1a 2b 3c 4d", "1a- 2b 3c 4d", 1, 9, "leaving: 2b 3c 4d"},
		{"leaving, with voters to spare and a candidate", "1a 2b 3c 4d", "1a- 2b 3c 4d 5e", 1, 9, "leaving: 2b 3c 4d"},
		{"leaving, with none to spare for two losses", "1a 2b 3c 4d 5e", "1a- 2b 3c 4d 5e", 2, 9, ""},
		{"leaving, while another is unreachable", "1a 2b 3c 4d!", "1a- 2b 3c", 1, 9, "leaving: 2b 3c 4d"},
		{"leaving, while too many are unreachable", "1a 2b 3c! 4d!", "1a- 2b", 1, 9, ""},
		{"unreachable for less than the timeout", "1a 2b 3c?2", "1a 2b 4d", 1, 9, ""},
		{"unresponsive, with a candidate", "1a 2b 3c?2.5", "1a 2b 4d", 1, 9, "given up: 1a 2b 4d"},
		{"unresponsive, without a candidate", "1a 2b 3c?9", "1a 2b", 1, 9, ""},
		{"unresponsive, with voters to spare", "1a 2b 3c?9 4d", "1a 2b 4d", 1, 9, "given up: 1a 2b 4d"},
		{"unresponsive, with none to spare for two losses", "1a 2b 3c 4d 5e?9", "1a 2b 3c 4d", 2, 9, ""},
		{"the voter unreachable for longest is replaced first", "1a 2b 3c 4d?4 5e?9", "1a 2b 3c 6f", 2, 9, "given up: 1a 2b 3c 4d 6f"},
		{"no majority is reachable", "1a 2b?9 3c?9", "1a 4d", 1, 9, "given up: 1a 4d 3c"},
		{"no majority would be reachable", "1a 2b?9 3c?9 4d?9", "1a 5e", 1, 9, ""},
		{"one more keeper", "1a 2b 3c", "1a 2b 3c 4d", 1, 9, "expansion: 1a 2b 3c 4d"},
		{"one more keeper, which has not caught up", "1a 2b 3c", "1a 2b 3c 4d~", 1, 9, ""},
		{"one more keeper, without a disk", "1a 2b 3c", "1a 2b 3c 0d", 1, 9, ""},
		{"one more keeper, while a voter is unreachable", "1a 2b 3c!", "1a 2b 4d", 1, 9, ""},
		{"one more keeper than the maximum of voters", "1a 2b 3c", "1a 2b 3c 4d", 1, 3, ""},
		{"two more keepers are added one at a time", "1a 2b 3c", "1a 2b 3c 5e 4d", 1, 9, "expansion: 1a 2b 3c 4d"},
		{"leaving precedes unresponsive", "1a 2b 3c?9", "1a- 2b 4d", 1, 9, "leaving: 4d 2b 3c"},
	} {
		s := parse(c.voters, c.keepers)
		s.MaxFailures, s.MaxVoters = c.maxFailures, c.maxVoters
		got := ""
		if change, found := NextChange(s); found {
			next, applied := change.Apply(s.state(), s.state().Voters)
			if !applied {
				t.Errorf("%s: the change does not apply", c.name)
			}
			got = fmt.Sprint(change.Reason, ": ", show(next.Voters))
		}
		if got != c.want {
			t.Errorf("%s: %q, not %q", c.name, got, c.want)
		}
	}
}

// A change that was decided for other voters than those of the newest state is not applied.
func TestApplyComparesVoters(t *testing.T) {
	s := parse("1a 2b 3c", "1a 2b 3c 4d")
	change, found := NextChange(s)
	if !found {
		t.Fatal("no change")
	}
	newer := parse("1a 2b 5e", "").state()
	if _, applied := change.Apply(newer, s.state().Voters); applied {
		t.Error("the change was applied to other voters")
	}
}

func TestUnresponsiveTimeout(t *testing.T) {
	for catchUp, want := range map[time.Duration]time.Duration{
		time.Second:             1500 * time.Millisecond,
		5 * time.Second:         2500 * time.Millisecond,
		5100 * time.Millisecond: 2550 * time.Millisecond,
	} {
		if got := UnresponsiveTimeout(catchUp); got != want {
			t.Errorf("%v: %v, not %v", catchUp, got, want)
		}
	}
}

// In all situations, a change adds and removes at most one voter each, leaves a reachable quorum, and never reduces the
// voters below the required minimum.
func TestEveryChangeIsSmall(t *testing.T) {
	kinds := []Voter{{Reachable: true}, {}, {UnreachableFor: time.Second}, {UnreachableFor: 9 * time.Second}}
	situations := 0
	for voters := 1; voters <= 5; voters++ {
		for combination := range pow(len(kinds), voters) {
			for flags := range 1 << (voters + 4) {
				s := Situation{Limits: Limits{1 + flags>>(voters+3)&1, 5, testUnresponsiveTimeout}}
				rest := combination
				for i := range voters {
					voter := kinds[rest%len(kinds)]
					rest /= len(kinds)
					voter.Voter = paxos.Voter{ID: uint64(i + 1), Name: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}
					s.Voters = append(s.Voters, voter)
					if voter.Reachable {
						s.Keepers = append(s.Keepers, Keeper{Voter: voter.Voter, CaughtUp: true, Leaving: flags>>i&1 == 1})
					}
				}
				for i := range 2 {
					if flags>>(voters+i)&1 == 1 {
						joiner := paxos.Voter{ID: uint64(50 + i), Name: fmt.Sprint("n", 4*i), Addr: fmt.Sprint("b", i)}
						s.Keepers = append(s.Keepers, Keeper{Voter: joiner, CaughtUp: flags>>(voters+2)&1 == 1})
					}
				}
				situations++
				checkChange(t, s)
			}
		}
	}
	t.Logf("%d situations", situations)
}

func pow(base, exponent int) int {
	result := 1
	for range exponent {
		result *= base
	}
	return result
}

func checkChange(t *testing.T, s Situation) {
	t.Helper()
	change, found := NextChange(s)
	if !found {
		return
	}
	before := s.state()
	after, applied := change.Apply(before, before.Voters)
	if !applied {
		t.Fatalf("%+v: %+v does not apply", s, change)
	}
	reachable, joined, left := 0, 0, 0
	for _, voter := range after.Voters {
		if !before.HasVoter(voter.ID) {
			joined++
			i := slices.IndexFunc(s.Keepers, func(k Keeper) bool { return k.ID == voter.ID })
			if i < 0 || !s.Keepers[i].CaughtUp {
				t.Fatalf("%+v: %d joins and has not caught up", s, voter.ID)
			}
			reachable++
		}
	}
	for _, voter := range s.Voters {
		switch {
		case !after.HasVoter(voter.ID):
			left++
		case voter.Reachable:
			reachable++
		}
	}
	if joined > 1 || left > 1 || reachable < paxos.QuorumSize(len(after.Voters)) {
		t.Fatalf("%+v: %d joined, %d left, %d of %d are reachable", s, joined, left, reachable, len(after.Voters))
	}
	if left > joined && len(after.Voters) < 2*s.MaxFailures+1 {
		t.Fatalf("%+v: %d voters are left", s, len(after.Voters))
	}
}
