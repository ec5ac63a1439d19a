package tier

import (
	"cmp"
	"fmt"
	"io"
	"time"

	"dunetide/internal/lab/tier/load"
)

// Order is one configuration update by the operator. Times are relative to the start of the scenario.
type Order struct {
	Version uint64        `json:"version"`
	SentAt  time.Duration `json:"asked"`
	Took    time.Duration `json:"took"`
	Calm    time.Duration `json:"calm"` // the longest calm period during which it was unacknowledged
}

// ScenarioEvent is an event of the scenario, such as a machine starting, ending or being cut off.
type ScenarioEvent struct {
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

// ReplacementAccount is the result of a ReplacementScenario.
type ReplacementAccount struct {
	load.Account
	Events   []ScenarioEvent `json:"events"`
	Orders   []Order         `json:"orders"`
	ReadBack string          `json:"read_back"` // "same", or what was read instead
	Accepted int             `json:"accepted"`  // jobs
	Unread   []string        `json:"unread"`    // accepted jobs that could not be read at the end
	// SlowestSync is the longest time that a small fsync by the lab itself took, on the disk that the processes use.
	SlowestSync time.Duration `json:"slowest_sync"`
	CutFelt     bool          `json:"cut_felt"` // the keeper that was cut off logged that it lost contact with a majority
	Ends        []string      `json:"ends"`     // processes that exited unexpectedly
}

// LongestCalm returns the configuration update that was unacknowledged for the longest calm period.
func (a ReplacementAccount) LongestCalm() (longest Order) {
	for _, o := range a.Orders {
		if longest.Version == 0 || o.Calm > longest.Calm {
			longest = o
		}
	}
	return longest
}

// LongestOrder returns the configuration update that took longest to be acknowledged.
func (a ReplacementAccount) LongestOrder() (longest Order) {
	for _, o := range a.Orders {
		if o.Took > longest.Took {
			longest = o
		}
	}
	return longest
}

// Failed reports whether anything acknowledged was lost, a rule was violated, a process exited unexpectedly, or the cut had
// no effect.
func (a ReplacementAccount) Failed() bool {
	return !a.CutFelt || len(a.Violations) > 0 || len(a.Ends) > 0 || a.ReadBack != "same" || len(a.Unread) > 0
}

// longestCalm returns the longest calm period between the sending of an order and its acknowledgement. A period is calm from
// settleTime after an event until the next event.
func longestCalm(o Order, events []ScenarioEvent) (longest time.Duration) {
	calmFrom := o.SentAt
	for _, e := range events {
		if e.At >= o.SentAt+o.Took {
			break
		}
		longest = max(longest, e.At-calmFrom)
		calmFrom = max(calmFrom, e.At+settleTime)
	}
	return max(longest, o.SentAt+o.Took-calmFrom)
}

// Print writes a human-readable summary of the account.
func (a ReplacementAccount) Print(w io.Writer) error {
	calm, longest := a.LongestCalm(), a.LongestOrder()
	listed := 0
	for _, job := range a.Jobs {
		listed += job.Listed
	}
	_, err := fmt.Fprintf(w, "%d configuration updates; longest unacknowledged in a calm period: %v (version %d); "+
		"longest overall: %v, sent at %v\n"+
		"%d of %d jobs accepted, %d unread at the end, %d items listed; configuration read back: %s; violations %v, "+
		"unexpected exits %v; slowest fsync by the lab %v\n",
		len(a.Orders), calm.Calm.Round(time.Millisecond), calm.Version,
		longest.Took.Round(time.Millisecond), longest.SentAt.Round(time.Millisecond),
		a.Accepted, len(a.Jobs), len(a.Unread), listed,
		cmp.Or(a.ReadBack, "nothing"), a.Violations, a.Ends, a.SlowestSync.Round(time.Millisecond))
	return err
}
