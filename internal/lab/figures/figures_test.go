package figures

import (
	"math"
	"testing"
	"time"

	. "dunetide/internal/lab/trace"
)

var classes = []Class{{Name: "charge", Aim: 4 * time.Second, Deadline: 24 * time.Second, Worth: 1, Late: 0.3}}

func sec(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01*math.Max(1, math.Abs(want)) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// TestValueFallsFromTheTargetToTheDeadline: the full worth up to the target, then decreasing linearly to the deadline; counted once
// for all tries, and only if the client learned that the message was accepted.
func TestValueFallsFromTheTargetToTheDeadline(t *testing.T) {
	c := New(classes, 2, Goal{Whole: 1}, sec(20), []float64{4})
	submitted := func(at float64, id, origin string, tenant int, worth float64) Record {
		return Record{At: sec(at), What: Submitted, ID: id, Origin: origin, Tenant: tenant, Share: worth}
	}
	for _, r := range []Record{
		submitted(0.5, "early", "early", 0, 1), // before the first second: not counted
		submitted(2, "a", "a", 0, 1), {What: Accepted, ID: "a"}, {At: sec(5), What: End, ID: "a", Status: 200},
		submitted(2, "b", "b", 0, 1), {What: Accepted, ID: "b"}, {At: sec(16), What: End, ID: "b", Status: 200}, // half way: 0.65
		submitted(3, "c", "c", 1, 1), {What: TurnedAway, ID: "c", Status: 503},
		submitted(4, "c2", "c", 1, 1), {At: sec(4.2), What: End, ID: "c2", Status: 200}, {At: sec(4.3), What: Accepted, ID: "c2"},
		{At: sec(4.4), What: End, ID: "c2", Status: 200},
		submitted(5, "d", "d", 1, 1), {At: sec(5.2), What: End, ID: "d", Status: 200}, // the client never learned that it was accepted
		submitted(6, "e", "e", 1, 0.1), {What: Accepted, ID: "e"}, {At: sec(6.1), What: End, ID: "e", Status: 429},
	} {
		c.Observe(r)
	}
	f := c.Finish()
	near(t, "whole", f.Whole, (1+0.65+1)/4.1)
	near(t, "worst tenant", f.Tenant, 0.5)
	near(t, "median", f.P50, 3000)
	if f.Messages != 6 || f.Tries != 7 || f.Delivered != 3 || f.Ends["200"] != 5 || f.Ends["full"] != 1 {
		t.Errorf("%+v", f)
	}
}

func TestMostCallsInAWindow(t *testing.T) {
	c := New(classes, 0, Goal{}, sec(20), []float64{4, 1})
	for _, at := range []float64{1, 1.5, 2, 2.9, 3.2, 3.3, 3.4, 9} { // within 2 s: 1.5 to 3.4, six of eight
		c.Observe(Record{At: sec(at), What: Call, ID: "x"})
		c.Observe(Record{At: sec(at), What: Call, ID: "x", Dest: 1}) // share too small to be counted
	}
	near(t, "most", c.Finish().InWindow, 6.0/8)
}

func TestPaired(t *testing.T) {
	a := []float64{0.9, 0.8, 0.7, 0.95}
	for _, c := range []struct {
		b    []float64
		more bool
		seen string
	}{
		{[]float64{0.95, 0.84, 0.76, 0.99}, true, "better"},
		{[]float64{0.95, 0.84, 0.76, 0.99}, false, "worse"},
		{[]float64{0.85, 0.76, 0.64, 0.91}, true, "worse"},
		{[]float64{0.95, 0.75, 0.75, 0.9}, true, None},
	} {
		if e := Paired("x", c.more, a, c.b); e.Seen != c.seen || e.Pairs != 4 || e.Low > e.Diff || e.High < e.Diff {
			t.Errorf("%v: %+v, want %s", c.b, e, c.seen)
		}
	}
	if e := Paired("x", true, a[:1], []float64{2}); e.Seen != None || !math.IsInf(e.High, 1) {
		t.Errorf("for one pair: %+v", e)
	}
	// Calculated by hand: differences 1, 2, 3: mean 2, deviation 1, t(2) 4.303, half the interval 2.484.
	e := Paired("x", true, []float64{0, 0, 0}, []float64{1, 2, 3})
	near(t, "low", e.Low, 2-2.484)
	near(t, "high", e.High, 2+2.484)
}
