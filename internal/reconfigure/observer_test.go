package reconfigure

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dunetide/internal/agree"
)

// reportsOf reads reports such as "1:123 2:12": who reports, and whom it hears.
func reportsOf(text string) []Report {
	var reports []Report
	for _, field := range strings.Fields(text) {
		who, whom, _ := strings.Cut(field, ":")
		report := Report{Keeper: agree.Voter{ID: uint64(who[0] - '0'), Name: who, Addr: who}, Stored: 1}
		for _, heard := range whom {
			report.Heard = append(report.Heard, uint64(heard-'0'))
		}
		reports = append(reports, report)
	}
	return reports
}

func numbered(n int) []agree.Voter {
	var voters []agree.Voter
	for i := range n {
		name := fmt.Sprint(i + 1)
		voters = append(voters, agree.Voter{ID: uint64(i + 1), Name: name, Addr: name})
	}
	return voters
}

// No voter is unheard by the word of one, nor by that of keepers that do not vote.
func TestContacts(t *testing.T) {
	for _, c := range []struct {
		what    string
		voters  int
		reports string
		want    string // of each voter: heard, unheard or unknown
	}{
		{"all is well", 3, "1:123 2:123 3:123", "heard heard heard"},
		{"one is cut off", 3, "1:12 2:12", "heard heard unheard"},
		{"only one does not hear it", 3, "1:12 2:123", "heard heard heard"},
		{"only one reports", 3, "1:1", "unknown unknown unknown"},
		{"one has just started", 3, "1:123 2:123 3:3", "heard heard heard"},
		{"non-voters do not hear it", 3, "1:123 2:123 7:12 8:12 9:12", "heard heard heard"},
		{"non-voters hear it", 3, "1:12 2:12 7:123 8:123", "heard heard unheard"},
		{"two of four do not hear it", 4, "1:123 2:123 3:1234", "heard heard heard unknown"},
		{"three of four do not hear it", 4, "1:123 2:123 3:123", "heard heard heard unheard"},
		{"two of five are cut off", 5, "1:123 2:123 3:123", "heard heard heard unheard unheard"},
		{"alone", 1, "1:1", "heard"},
	} {
		var got []string
		all := contacts(numbered(c.voters), reportsOf(c.reports))
		for _, voter := range numbered(c.voters) {
			switch {
			case all[voter.ID].heard && all[voter.ID].unheard:
				got = append(got, "both")
			case all[voter.ID].heard:
				got = append(got, "heard")
			case all[voter.ID].unheard:
				got = append(got, "unheard")
			default:
				got = append(got, "unknown")
			}
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %v, not %s", c.what, got, c.want)
		}
	}
}

// The time counts from the first report of a majority, and starts anew when the voter is heard in between.
func TestUnheardFor(t *testing.T) {
	state := agree.State{Voters: numbered(3)}
	cut, whole := reportsOf("1:12 2:12"), reportsOf("1:123 2:123 3:123")
	var o Observer
	unheardFor := func(now time.Duration, reports []Report) time.Duration {
		o.Observe(now, state.Voters, reports)
		return o.Situation(now, state, reports, Limits{}).Voters[2].UnheardFor
	}
	for _, step := range []struct {
		at      time.Duration
		reports []Report
		want    time.Duration
	}{{1, cut, 0}, {3, cut, 2}, {8, cut, 7}, {9, whole, 0}, {10, cut, 0}, {12, cut, 2}} {
		if got := unheardFor(step.at, step.reports); got != step.want {
			t.Errorf("at %d: %d, not %d", step.at, got, step.want)
		}
	}
}

// A keeper is caught up when it has stored the slot that the decision is made on, not the one before.
func TestCaughtUp(t *testing.T) {
	var o Observer
	reports := reportsOf("7:")
	for slot, want := range map[uint64]bool{0: true, 1: false} {
		s := o.Situation(0, agree.State{Slot: slot, Voters: numbered(3)}, reports, Limits{})
		if s.Keepers[0].CaughtUp != want {
			t.Errorf("slot %d: %v", slot, s.Keepers[0].CaughtUp)
		}
	}
}
