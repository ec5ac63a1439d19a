package reconfigure

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

// reportsOf parses reports such as "1:123 2:12": the ID of the reporting keeper and those to which it is connected.
func reportsOf(text string) []Report {
	var reports []Report
	for _, field := range strings.Fields(text) {
		reporter, connected, _ := strings.Cut(field, ":")
		report := Report{Keeper: paxos.Voter{ID: uint64(reporter[0] - '0'), Name: reporter, Addr: reporter}, NextSlot: 1}
		for _, id := range connected {
			report.Connected = append(report.Connected, uint64(id-'0'))
		}
		reports = append(reports, report)
	}
	return reports
}

func numbered(n int) []paxos.Voter {
	var voters []paxos.Voter
	for i := range n {
		name := fmt.Sprint(i + 1)
		voters = append(voters, paxos.Voter{ID: uint64(i + 1), Name: name, Addr: name})
	}
	return voters
}

// A voter does not count as unreachable because of the report of one voter, nor because of reports of non-voters.
func TestReachability(t *testing.T) {
	for _, c := range []struct {
		name    string
		voters  int
		reports string
		want    string // of each voter: reachable, unreachable or unknown
	}{
		{"all are connected", 3, "1:123 2:123 3:123", "reachable reachable reachable"},
		{"one is partitioned", 3, "1:12 2:12", "reachable reachable unreachable"},
		{"only one is not connected to it", 3, "1:12 2:123", "reachable reachable reachable"},
		{"only one reports", 3, "1:1", "unknown unknown unknown"},
		{"one has just started", 3, "1:123 2:123 3:3", "reachable reachable reachable"},
		{"non-voters are not connected to it", 3, "1:123 2:123 7:12 8:12 9:12", "reachable reachable reachable"},
		{"non-voters are connected to it", 3, "1:12 2:12 7:123 8:123", "reachable reachable unreachable"},
		{"two of four are not connected to it", 4, "1:123 2:123 3:1234", "reachable reachable reachable unknown"},
		{"three of four are not connected to it", 4, "1:123 2:123 3:123", "reachable reachable reachable unreachable"},
		{"two of five are partitioned", 5, "1:123 2:123 3:123", "reachable reachable reachable unreachable unreachable"},
		{"a single voter", 1, "1:1", "reachable"},
	} {
		var got []string
		all := reachabilities(numbered(c.voters), reportsOf(c.reports))
		for _, voter := range numbered(c.voters) {
			switch {
			case all[voter.ID].reachable && all[voter.ID].unreachable:
				got = append(got, "both")
			case all[voter.ID].reachable:
				got = append(got, "reachable")
			case all[voter.ID].unreachable:
				got = append(got, "unreachable")
			default:
				got = append(got, "unknown")
			}
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %v, not %s", c.name, got, c.want)
		}
	}
}

// UnreachableFor counts from the first reports of a majority, and restarts at 0 if the voter is reachable in between.
func TestUnreachableFor(t *testing.T) {
	state := paxos.State{Voters: numbered(3)}
	partitioned, connected := reportsOf("1:12 2:12"), reportsOf("1:123 2:123 3:123")
	var o Observer
	unreachableFor := func(now time.Duration, reports []Report) time.Duration {
		o.Observe(now, state, reports)
		return o.Situation(now, state, reports, Limits{}).Voters[2].UnreachableFor
	}
	for _, step := range []struct {
		at      time.Duration
		reports []Report
		want    time.Duration
	}{
		{1, partitioned, 0},
		{3, partitioned, 2},
		{8, partitioned, 7},
		{9, connected, 0},
		{10, partitioned, 0},
		{12, partitioned, 2},
	} {
		if got := unreachableFor(step.at, step.reports); got != step.want {
			t.Errorf("at %d: %d, not %d", step.at, got, step.want)
		}
	}
}

// A keeper is caught up if it has stored the slot that was the newest one CatchUpLag ago, regardless of how many slots
// are decided per second.
func TestCaughtUp(t *testing.T) {
	type observed struct {
		at   time.Duration
		slot uint64
	}
	for _, c := range []struct {
		name   string
		slots  []observed
		stored uint64 // plus one
		want   bool
	}{
		{"it has stored no slot", []observed{{0, 0}}, 0, false},
		{"it has the first slot", []observed{{0, 0}}, 1, true},
		{"it has the slot before the newest", []observed{{0, 5}}, 5, false},
		{"it has the newest slot", []observed{{0, 5}}, 6, true},
		{"it lacks a slot known for less than CatchUpLag", []observed{{0, 5}, {CatchUpLag - 1, 6}}, 6, true},
		{"it lacks a slot known for CatchUpLag", []observed{{0, 5}, {1, 6}, {1 + CatchUpLag, 7}}, 6, false},
		{"it lags behind many slots", []observed{{0, 5}, {CatchUpLag / 2, 8}, {CatchUpLag, 11}, {CatchUpLag * 3 / 2, 14}}, 9, true},
		{"it lags too far behind many slots", []observed{{0, 5}, {CatchUpLag / 2, 8}, {CatchUpLag, 11}, {CatchUpLag * 3 / 2, 14}}, 8, false},
	} {
		var o Observer
		reports := reportsOf("7:")
		reports[0].NextSlot = c.stored
		var state paxos.State
		var now time.Duration
		for _, seen := range c.slots {
			now, state = seen.at, paxos.State{Slot: seen.slot, Voters: numbered(3)}
			o.Observe(now, state, reports)
		}
		if got := o.Situation(now, state, reports, Limits{}).Keepers[0].CaughtUp; got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Other keepers may learn of the removal of a leaving keeper before they receive its report that it leaves. An older
// report must not make it a voter again; a report from after it has stored its removal may.
func TestRemovedKeeperIsNoCandidateByAnOlderReport(t *testing.T) {
	with := paxos.State{Slot: 77, Voters: numbered(4)}
	without := paxos.State{Slot: 78, Voters: numbered(3)}
	limits := Limits{MaxFailures: 1, MaxVoters: 9, UnresponsiveTimeout: time.Second}
	older := reportsOf("1:1234 2:1234 3:1234 4:1234")
	for i := range older {
		older[i].NextSlot = with.Slot + 1
	}
	stored := append([]Report(nil), older...)
	stored[3].NextSlot = without.Slot + 1
	leaves := append([]Report(nil), stored...)
	leaves[3].Leaving = true
	for _, c := range []struct {
		name     string
		observed []paxos.State
		reports  []Report
		added    bool
	}{
		{"the removal is observed", []paxos.State{with, without}, older, false},
		{"the removal comes after the newest observation", []paxos.State{with}, older, false},
		{"the first observation is that of the removal", []paxos.State{without}, older, false},
		{"it has stored the removal and leaves", []paxos.State{with, without}, leaves, false},
		{"it has stored the removal and has restarted", []paxos.State{with, without}, stored, true},
		{"it was removed, added and removed again", []paxos.State{{Slot: 70, Voters: numbered(3)}, with, without}, older, false},
	} {
		var o Observer
		for i, state := range c.observed {
			o.Observe(time.Duration(i), state, older)
		}
		change, found := NextChange(o.Situation(time.Duration(len(c.observed)), without, c.reports, limits))
		if found != c.added {
			t.Errorf("%s: %v, %v", c.name, change, found)
		}
	}
}

// TestVoterBetweenObservationsIsNoCandidate guards against a removed keeper that becomes a voter again by an older report:
// it was added and removed between two periodic observations, or in slots that were never seen.
func TestVoterBetweenObservationsIsNoCandidate(t *testing.T) {
	before := paxos.State{Slot: 76, Voters: numbered(3)}
	with := paxos.State{Slot: 77, Voters: numbered(4)}
	without := paxos.State{Slot: 78, Voters: numbered(3)}
	reports := reportsOf("1:1234 2:1234 3:1234 4:1234")
	for i := range reports {
		reports[i].NextSlot = with.Slot + 1
	}
	limits := Limits{MaxFailures: 1, MaxVoters: 9, UnresponsiveTimeout: time.Second}
	for name, decided := range map[string][]paxos.State{
		"every slot is known":    {before, with, without},
		"the slot is skipped":    {before, without},
		"states come repeatedly": {before, with, without, with, without},
	} {
		var o Observer
		o.Observe(1, before, reports)
		for _, state := range decided {
			o.ObserveDecided(state, reports)
		}
		o.Observe(2, without, reports)
		if change, found := NextChange(o.Situation(2, without, reports, limits)); found {
			t.Errorf("%s: %v", name, change)
		}
	}
}
