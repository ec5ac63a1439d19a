package insim

import (
	"encoding/json"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/rules"
	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

func day(t testing.TB, name string, seed uint64, change func(*scenario.Scenario)) world.Day {
	t.Helper()
	s, err := scenario.Read("../../../scenarios/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&s)
	}
	return world.Draw(s, seed)
}

func limits(d world.Day) rules.Limits {
	l := rules.Limits{DrainGrace: 2 * time.Second, Slots: d.Slots, MaxOpen: d.MaxOpen, MaxAttempts: d.Scenario.Rules.MaxAttempts,
		Blur: time.Millisecond, Never: []bool{true, false}}
	for _, e := range d.Endpoints {
		l.Dest = append(l.Dest, e.Dest)
	}
	return rules.Protocol(l)
}

// play runs a day and returns its account, the rule violations and a hash of its trace.
func play(t testing.TB, d world.Day) (rules.Account, []rules.Broken, uint64) {
	t.Helper()
	k := rules.New(limits(d))
	h := fnv.New64a()
	enc := json.NewEncoder(h)
	last := time.Duration(0)
	if err := Run(d, func(r trace.Record) {
		if r.At < last {
			t.Fatalf("%v comes after %v", r.At, last)
		}
		last = r.At
		k.Observe(r)
		if err := enc.Encode(r); err != nil {
			t.Fatal(err)
		}
	}, nil); err != nil {
		t.Fatal(err)
	}
	broken, a := k.Finish(last)
	return a, broken, h.Sum64()
}

// TestScenariosKeepTheRules runs each kind of day with restarts, outages and drains.
func TestScenariosKeepTheRules(t *testing.T) {
	for _, name := range []string{"quiet", "roll", "herd", "lowered", "cold", "split", "troubles"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 4; seed++ {
				a, broken, _ := play(t, day(t, name, seed, nil))
				if len(broken) > 0 {
					t.Errorf("seed %d: %v", seed, broken)
				}
				if a.Accepted == 0 || a.Delivered+a.Refused+a.GivenUp != a.Accepted {
					t.Errorf("seed %d: not every accepted message has ended: %+v", seed, a)
				}
			}
		})
	}
}

// TestTheSameSeedIsTheSameRun includes events at the same time, which run in scheduling order.
func TestTheSameSeedIsTheSameRun(t *testing.T) {
	for _, name := range []string{"roll", "herd", "split"} {
		_, _, one := play(t, day(t, name, 7, nil))
		for range 3 {
			if _, _, again := play(t, day(t, name, 7, nil)); again != one {
				t.Errorf("%s: the same seed gives another trace", name)
			}
		}
		if _, _, other := play(t, day(t, name, 8, nil)); other == one {
			t.Errorf("%s: another seed gives the same trace", name)
		}
	}
}

// TestALostFolder checks that messages of a lost data directory are resubmitted to other nodes, except those that may have run.
func TestALostFolder(t *testing.T) {
	a, broken, _ := play(t, day(t, "herd", 3, func(s *scenario.Scenario) {
		for i := range s.Faults {
			s.Faults[i].Lost = true
		}
	}))
	if len(broken) > 0 {
		t.Error(broken)
	}
	if a.Orphans == 0 || a.Lost > 0 {
		t.Errorf("%+v", a)
	}
}

// TestAllMessagesSubmittedAtOnce submits all messages of a day at the same time.
func TestAllMessagesSubmittedAtOnce(t *testing.T) {
	d := day(t, "quiet", 1, nil)
	for i := range d.Messages {
		d.Messages[i].At = 5 * time.Second
	}
	a, broken, _ := play(t, d)
	if len(broken) > 0 || a.Tries < len(d.Messages) || a.TurnedAway == 0 {
		t.Errorf("%+v %v", a, broken)
	}
}

// TestStalledClockIsReported checks that a stalled clock is reported as an error instead of hanging the run.
func TestStalledClockIsReported(t *testing.T) {
	s, err := newSim(day(t, "quiet", 1, nil), func(trace.Record) {})
	if err != nil {
		t.Fatal(err)
	}
	var again func()
	again = func() { s.at(s.now, again) }
	s.at(time.Second, again)
	if err := s.run(nil); err == nil || !strings.Contains(err.Error(), "the clock is stuck at 1s") {
		t.Error(err)
	}
}

func TestRunEndsWhenItIsStopped(t *testing.T) {
	last := time.Duration(0)
	err := Run(day(t, "quiet", 1, nil), func(r trace.Record) { last = r.At }, func(now time.Duration) bool { return now > 3*time.Second })
	if err == nil || last > 3*time.Second {
		t.Error(err, last)
	}
}

// BenchmarkFleet simulates 60 s of 300 senders and 30 endpoints. One run must take less than 10 s on one core (docs/lab.md).
func BenchmarkFleet(b *testing.B) {
	d := day(b, "mass", 1, nil)
	calls := 0
	for b.Loop() {
		if err := Run(d, func(r trace.Record) {
			if r.What == trace.Call {
				calls++
			}
		}, nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(calls), "ns/call")
}
