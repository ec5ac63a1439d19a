package soak

import (
	"testing"
	"time"

	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/load"
)

func TestLostAtPlannedEnd(t *testing.T) {
	term := time.Now()
	deadline := term.Add(5 * time.Second)
	halfway := term.Add(2 * time.Second)
	at := func(s float64) time.Time { return term.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name           string
		fresh          bool // the connection is a new one
		written, ended time.Time
		run            *engine.Run
		leaves, lost   bool
	}{
		{"answered completely by the endpoint, not by the proxy", false, at(0.1), at(1), &engine.Run{Ended: at(0.9), Whole: true}, false, true},
		{"aborted in the first half of the grace period", false, at(0.1), at(1), &engine.Run{Ended: at(1)}, false, true},
		{"aborted by a draining endpoint", false, at(0.1), at(1), &engine.Run{Ended: at(1)}, true, false},
		{"executing in the second half of the grace period", false, at(0.1), at(3.9), &engine.Run{Ended: at(3.9)}, false, false},
		{"still executing at the end", false, at(0.1), at(3.9), &engine.Run{}, false, false},
		{"read and never forwarded", false, at(0.1), at(1), nil, false, true},
		{"aborted by the endpoint at the deadline", false, at(0.1), at(1), &engine.Run{Ended: at(1), Expired: true}, false, false},
		{"the client's deadline was reached", false, at(0.1), at(4.999), &engine.Run{Ended: at(1)}, false, false},
		{"ended by the proxy at its own deadline", false, at(0.1), at(4.989), &engine.Run{Ended: at(1)}, false, false},
		{"just before the proxy's deadline", false, at(0.1), at(4.987), &engine.Run{Ended: at(1)}, false, true},
		{"possibly never accepted", true, at(0.1), at(1), nil, false, false},
		{"crossed the close", false, at(0.9), at(1), nil, false, false},
		{"not written completely", false, time.Time{}, at(1), nil, false, false},
		{"possibly in an endpoint's queue", false, at(1.5), at(3.9), nil, false, false},
	} {
		var run engine.Run
		if c.run != nil {
			run = *c.run
		}
		reason := lostAtPlannedEnd(load.Try{Persistent: !c.fresh, Written: c.written, Ended: c.ended, Deadline: deadline}, run, c.run != nil, halfway, c.leaves)
		if (reason != "") != c.lost {
			t.Errorf("%s: %q", c.name, reason)
		}
	}
}
