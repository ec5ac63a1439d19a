package replica

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawTenure draws any tenure, also one that no holder would write.
func drawTenure(t *rapid.T, token uint64) Tenure {
	return Tenure{Token: token, Version: rapid.Uint64Range(1, 3).Draw(t, "version"), Base: rapid.IntRange(0, 3).Draw(t, "base"),
		Attempts: rapid.IntRange(0, 3).Draw(t, "attempts"), Settled: rapid.Bool().Draw(t, "settled"), Out: rapid.Bool().Draw(t, "out"),
		MayRun: rapid.Bool().Draw(t, "may have run"), RanAt: rapid.Int64Range(0, 5).Draw(t, "ran at"), End: rapid.IntRange(0, 2).Draw(t, "end"),
		RetryMs: rapid.Int64Range(0, 2).Draw(t, "retry")}
}

func drawEntry(t *rapid.T, seq uint64) Entry {
	e := Entry{Seq: seq, ID: fmt.Sprint("m", seq), Body: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "body"), Bare: rapid.Bool().Draw(t, "bare")}
	if e.Bare || len(e.Body) == 0 {
		e.Body = nil
	}
	for token := range uint64(4) {
		if rapid.Bool().Draw(t, "tenure") {
			e.Tenures = append(e.Tenures, drawTenure(t, token+1))
		}
	}
	return e
}

// Merge is commutative, associative and idempotent.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t, 1), drawEntry(t, 1), drawEntry(t, 1)
		same := func(law string, x, y Entry) {
			if !reflect.DeepEqual(x, y) {
				t.Fatalf("%s: %+v and %+v", law, x, y)
			}
		}
		same("commutative", Merge(a, b), Merge(b, a))
		same("associative", Merge(a, Merge(b, c)), Merge(Merge(a, b), c))
		same("idempotent", Merge(a, a), a)
		same("absorbs", Merge(Merge(a, b), b), Merge(a, b))
		p, pa, pb := Merge(a, b).Past(), a.Past(), b.Past()
		// A later version of a tenure replaces an earlier one; apart from that, a merge never makes a message appear safer.
		later := func(x, y Entry) bool { // y has a later version of some tenure of x
			for _, tx := range x.Tenures {
				if ty, ok := y.tenure(tx.Token); ok && ty.compare(tx) > 0 {
					return true
				}
			}
			return false
		}
		if !later(a, b) && !later(b, a) {
			if p.MayRun != (pa.MayRun || pb.MayRun) || p.Attempts < max(pa.Attempts, pb.Attempts) || (p.End == Runs) != (pa.End == Runs && pb.End == Runs) {
				t.Fatalf("%+v of %+v and %+v", p, pa, pb)
			}
		}
		if (a.Bare && b.Bare) != Merge(a, b).Bare {
			t.Fatal("the content is missing although one of the entries has it")
		}
	})
}

// Union does not depend on the order of the copies, has each message once, and omits messages that have ended at any copy.
func TestUnionLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (all []Entry) {
			for seq := range uint64(4) {
				if rapid.Bool().Draw(t, "there") {
					all = append(all, drawEntry(t, seq+1))
				}
			}
			return all
		}
		a, b, c := draw(), draw(), draw()
		gone := rapid.IntRange(0, 5).Draw(t, "over")
		over := func(id string) bool { return id == fmt.Sprint("m", gone) }
		same := func(law string, x, y []Entry) {
			if len(x) != len(y) || len(x) > 0 && !reflect.DeepEqual(x, y) {
				t.Fatalf("%s: %+v and %+v", law, x, y)
			}
		}
		same("commutative", Union(over, a, b), Union(over, b, a))
		same("associative", Union(over, a, Union(over, b, c)), Union(over, Union(over, a, b), c))
		same("all at once", Union(over, a, b, c), Union(over, c, Union(over, b, a)))
		same("idempotent", Union(over, a, a), Union(over, a))
		for _, e := range Union(over, a, b, c) {
			if over(e.ID) {
				t.Fatalf("%s has ended", e.ID)
			}
		}
	})
}

// Past combines the attempts and outcomes of all holders of a message's log.
func TestPastCombinesTheTenuresOfAllLeaseHolders(t *testing.T) {
	for _, c := range []struct {
		name    string
		tenures []Tenure
		want    Past
	}{
		{"nothing", nil, Past{}},
		{"two attempts that surely did not run", []Tenure{{Token: 1, Attempts: 2}}, Past{Attempts: 2}},
		{"one that is out", []Tenure{{Token: 1, Attempts: 1, Out: true, MayRun: true, RanAt: 7, RanZone: 1}}, Past{Attempts: 1, MayRun: true, RanAt: 7, RanZone: 1}},
		{"a successor with all of the attempts recorded", []Tenure{{Token: 1, Attempts: 2}, {Token: 2, Base: 2, Attempts: 1}}, Past{Attempts: 3}},
		{"a successor with fewer attempts recorded", []Tenure{{Token: 1, Attempts: 3, Out: true, MayRun: true, RanAt: 9}, {Token: 2, Base: 2, Attempts: 1}},
			Past{Attempts: 4, MayRun: true, RanAt: 9}},
		{"a successor alone", []Tenure{{Token: 2, Base: 2, Attempts: 1}}, Past{Attempts: 3}},
		{"the first end counts", []Tenure{{Token: 1, End: HandedBack, RetryMs: 5}, {Token: 2, End: GivenUp}}, Past{End: HandedBack, RetryMs: 5}},
		{"the first that may have run", []Tenure{{Token: 1, Attempts: 1, MayRun: true, RanAt: 9, RanZone: 1}, {Token: 2, Base: 1, Attempts: 1, MayRun: true, RanAt: 4}},
			Past{Attempts: 2, MayRun: true, RanAt: 4}},
	} {
		if got := (Entry{Tenures: c.tenures}).Past(); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	var many []Tenure
	for token := range uint64(maxTenures + 5) {
		many = append(many, Tenure{Token: token + 1, Base: int(token), Attempts: 1, MayRun: token == 2, RanAt: 3, End: map[bool]int{true: GivenUp}[token == 4]})
	}
	e := Entry{Tenures: many}
	if f := e.mergeOldest(); len(f.Tenures) != maxTenures || f.Past() != e.Past() {
		t.Errorf("folded: %+v, want %+v", f.Past(), e.Past())
	}
}
