package certification

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestDocument runs the commands of testdata/document: parse, regime, certified, without.
func TestDocument(t *testing.T) {
	var s *Set
	datadriven.RunTest(t, "testdata/document", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		arg := func(key string) string {
			for _, a := range d.CmdArgs {
				if a.Key == key && len(a.Vals) > 0 {
					return a.Vals[0]
				}
			}
			return ""
		}
		switch d.Cmd {
		case "parse":
			got, err := Parse([]byte(d.Input))
			if err != nil {
				return err.Error()
			}
			s = got
			return fmt.Sprintf("version %d: %d routes, %d certificates, demanding %v",
				s.Version, len(s.Routes), len(s.Certificates), len(s.Routes) > 0)
		case "regime":
			return fmt.Sprintf("%q", s.Regime(arg("route")))
		case "certified":
			at, err := time.Parse(time.RFC3339, arg("at"))
			if err != nil {
				t.Fatal(err)
			}
			return fmt.Sprint(s.Certified(arg("endpoint"), arg("regime"), at))
		case "without":
			next, n := s.Without(arg("endpoint"), arg("regime"))
			text, err := json.Marshal(next)
			if err != nil {
				t.Fatal(err)
			}
			if s, err = Parse(text); err != nil {
				return err.Error()
			}
			return fmt.Sprintf("%d taken out, version %d has %d", n, s.Version, len(s.Certificates))
		}
		t.Fatalf("no command %q", d.Cmd)
		return ""
	})
}

// document returns a document in which route "a" requires regime "r", with certificates of the endpoints for "r" from
// one hour before noon to one hour after.
func document(t testing.TB, version uint64, endpoints ...string) *Set {
	t.Helper()
	d := Document{Version: version, Routes: []Route{{"a", "r"}}}
	for _, e := range endpoints {
		d.Certificates = append(d.Certificates, Certificate{e, "r", noon.Add(-time.Hour), noon.Add(time.Hour), "x"})
	}
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func TestGateFailsClosed(t *testing.T) {
	now, confirmed := noon, time.Time{}
	g := NewGate(GateOptions{
		Now:             func() time.Time { return now },
		LastConfirmed:   func() time.Time { return confirmed },
		ConfirmationTTL: 2 * time.Second,
	})
	expect := func(what, route, endpoint, regime string, ok bool) {
		t.Helper()
		if r, _, got := g.Allows(route, endpoint); r != regime || got != ok {
			t.Errorf("%s: %s at %s: regime %q, allowed %v", what, route, endpoint, r, got)
		}
	}
	expect("no document was put", "a", "e1", "", true)
	g.Update(nil)
	expect("no document was put, after nil", "a", "e1", "", true)
	g.Update(document(t, 5, "e1", "e2"))
	expect("not confirmed yet", "a", "e1", "r", false)
	expect("unregulated route", "b", "e9", "", true)
	confirmed = now
	expect("confirmed", "a", "e1", "r", true)
	expect("another endpoint", "a", "e3", "r", false)
	now = now.Add(2 * time.Second)
	expect("confirmed within the TTL", "a", "e1", "r", true)
	now = now.Add(time.Millisecond)
	expect("confirmation expired", "a", "e1", "r", false)
	expect("unregulated route, confirmation expired", "b", "e9", "", true)
	confirmed = now
	expect("confirmed again", "a", "e1", "r", true)
	g.Update(document(t, 4, "e1", "e3"))
	expect("older version received", "a", "e3", "r", false)
	g.Update(document(t, 6, "e2"))
	expect("withdrawn", "a", "e1", "r", false)
	expect("not withdrawn", "a", "e2", "r", true)
	g.Update(document(t, 5, "e1", "e2"))
	expect("previous version received late", "a", "e1", "r", false)
	now = noon.Add(time.Hour - ClockMargin)
	confirmed = now
	expect("within the clock margin of expiry", "a", "e2", "r", false)
}

func TestNilGateRegulatesNothing(t *testing.T) {
	var g *Gate
	if g.Current() != nil || g.Current().Regime("a") != "" {
		t.Error("route a is regulated without a gate")
	}
	if g.Current().Certified("e", "r", noon) {
		t.Error("endpoint e is certified without a gate")
	}
}

func TestCountsAreByRegime(t *testing.T) {
	g := NewGate(GateOptions{LastConfirmed: func() time.Time { return time.Time{} }})
	g.Count("b", func(c *Counts) { c.Runs++ })
	g.Count("a", func(c *Counts) { c.Refused++ })
	g.Count("b", func(c *Counts) { c.Runs++ })
	if got := fmt.Sprint(g.CountsByRegime()); got != "[{a {0 1 0 0 0}} {b {2 0 0 0 0}}]" {
		t.Error(got)
	}
}

// BenchmarkGate measures the check of a request without certificates and with 400 of them.
func BenchmarkGate(b *testing.B) {
	run := func(name string, g *Gate) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if g.Current() != nil {
					if _, _, ok := g.Allows("a", "e1"); !ok {
						b.Fatal("not allowed")
					}
				}
			}
		})
	}
	o := GateOptions{LastConfirmed: time.Now, ConfirmationTTL: time.Hour}
	run("off", NewGate(o))
	on := NewGate(o)
	d := document(b, 1)
	for i := range 400 {
		id := fmt.Sprint("e", i)
		d.certificates[certifiedFor{id, "r"}] = []*Certificate{{id, "r", time.Now().Add(-time.Hour), time.Now().Add(time.Hour), "x"}}
	}
	on.Update(d)
	run("on", on)
}

func TestListedProblemsAreBounded(t *testing.T) {
	_, err := Parse([]byte(`{"version":1,"routes":[` + strings.Repeat(`{"name":"","regime":""},`, 20) + `{"name":"a","regime":"b"}]}`))
	if err == nil || strings.Count(err.Error(), "\n") != maxProblems || !strings.Contains(err.Error(), "more") {
		t.Errorf("%v", err)
	}
}
