package tier

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"dunetide/internal/lab/tier/load"
)

// Order is one configuration of the operator. Times are counted from the beginning of the day.
type Order struct {
	Version uint64        `json:"version"`
	SentAt  time.Duration `json:"asked"`
	Took    time.Duration `json:"took"`
	Calm    time.Duration `json:"calm"` // the longest calm stretch in which it lacked its acknowledgement
}

// ScenarioEvent is what the day did to a machine.
type ScenarioEvent struct {
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

// ReplacementAccount is what became of the orders and jobs of such a day.
type ReplacementAccount struct {
	load.Account
	Events   []ScenarioEvent `json:"events"`
	Orders   []Order         `json:"orders"`
	ReadBack string          `json:"read_back"` // same, or what came
	Accepted int             `json:"accepted"`  // jobs
	Unread   []string        `json:"unread"`    // accepted jobs that could not be read at the end
	// SlowestSync is what one small sync of the lab's own took at most, beside the disks of the processes.
	SlowestSync time.Duration `json:"slowest_sync"`
	CutFelt     bool          `json:"cut_felt"` // the keeper that was cut off lost its contact with a majority, by its log
	Ends        []string      `json:"ends"`     // processes that ended by themselves
}

// LongestCalm is the longest calm stretch in which an order lacked its acknowledgement.
func (a ReplacementAccount) LongestCalm() (longest Order) {
	for _, o := range a.Orders {
		if longest.Version == 0 || o.Calm > longest.Calm {
			longest = o
		}
	}
	return longest
}

// LongestOrder is the order that took longest, calm or not.
func (a ReplacementAccount) LongestOrder() (longest Order) {
	for _, o := range a.Orders {
		if o.Took > longest.Took {
			longest = o
		}
	}
	return longest
}

// Failed reports whether anything acknowledged was lost, a rule was broken, a process ended by itself, or the cut was
// none.
func (a ReplacementAccount) Failed() bool {
	return !a.CutFelt || len(a.Violations) > 0 || len(a.Ends) > 0 || a.ReadBack != "same" || len(a.Unread) > 0
}

// longestCalm is the longest stretch, from the asking for an order to its acknowledgement, in which nothing had
// happened for unrest.
func longestCalm(o Order, events []ScenarioEvent) (longest time.Duration) {
	calmFrom := o.SentAt
	for _, e := range events {
		if e.At >= o.SentAt+o.Took {
			break
		}
		longest = max(longest, e.At-calmFrom)
		calmFrom = max(calmFrom, e.At+unrest)
	}
	return max(longest, o.SentAt+o.Took-calmFrom)
}

// Print writes the account for people.
func (a ReplacementAccount) Print(w io.Writer) error {
	calm, longest := a.LongestCalm(), a.LongestOrder()
	listed := 0
	for _, job := range a.Jobs {
		listed += job.Listed
	}
	_, err := fmt.Fprintf(w, "%d orders; the longest without an acknowledgement in calm: %v (version %d); "+
		"the longest at all: %v, sent at %v\n"+
		"%d of %d jobs accepted, %d unread at the end, %d items listed; read back: %s; broken %v, "+
		"ended %v; slowest sync of the lab's own %v\n",
		len(a.Orders), calm.Calm.Round(time.Millisecond), calm.Version,
		longest.Took.Round(time.Millisecond), longest.SentAt.Round(time.Millisecond),
		a.Accepted, len(a.Jobs), len(a.Unread), listed,
		cmp.Or(a.ReadBack, "nothing"), a.Violations, a.Ends, a.SlowestSync.Round(time.Millisecond))
	return err
}
