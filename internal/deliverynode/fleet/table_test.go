package fleet

import (
	"slices"
	"testing"
	"time"
)

// Merging records is idempotent, commutative and associative.
func TestRecordsMergeWithoutOrder(t *testing.T) {
	var all []Record
	for inc := range uint64(3) {
		for start := range uint64(2) {
			for _, address := range []string{"x", "y"} {
				for departed := range uint64(9) {
					all = append(all, Record{"a", inc, start, address, departed % 3, departed / 3})
				}
			}
		}
	}
	for _, a := range all {
		if a.Merge(a) != a {
			t.Fatal("not idempotent", a)
		}
		for _, b := range all {
			ab := a.Merge(b)
			if ab != b.Merge(a) {
				t.Fatal("not commutative", a, b)
			}
			for _, c := range all {
				if ab.Merge(c) != a.Merge(b.Merge(c)) {
					t.Fatal("not associative", a, b, c)
				}
			}
		}
	}
}

func member(t *testing.T, tab *Table, name string) Member {
	t.Helper()
	m, ok := tab.Member(name)
	if !ok {
		t.Fatal("no member", name)
	}
	return m
}

func TestUnreachableMemberIsNotDeparted(t *testing.T) {
	tab := NewTable(Record{Name: "a", Incarnation: 1, Start: 1, Address: "A"}, 0)
	b := Record{Name: "b", Incarnation: 3, Start: 5, Address: "B"}
	steps := []struct {
		what string
		do   func(now time.Duration) []Change
		want State
		from State
	}{
		{"reachable", func(now time.Duration) []Change { return tab.MarkReachable(b, now) }, Alive, Suspect},
		{"unreachable", func(now time.Duration) []Change { return tab.Suspect("b", now) }, Suspect, Alive},
		{"for a year", func(now time.Duration) []Change { return tab.Suspect("b", now+365*24*time.Hour) }, Suspect, ""},
		{"reachable under the previous incarnation", func(now time.Duration) []Change {
			old := b
			old.Incarnation = 2
			return tab.MarkReachable(old, now)
		}, Suspect, ""},
		{"restarted", func(now time.Duration) []Change { b.Incarnation, b.Start = 4, 6; return tab.MarkReachable(b, now) }, Alive, Suspect},
		{"restarted without being suspected", func(now time.Duration) []Change { b.Incarnation, b.Start = 5, 7; return tab.MarkReachable(b, now) }, Alive, Alive},
		{"left", func(now time.Duration) []Change { w := b; w.Left = 5; return tab.Merge(w, now) }, Left, Alive},
		{"an old removal", func(now time.Duration) []Change { w := b; w.Removed = 4; return tab.Merge(w, now) }, Left, ""},
		{"back", func(now time.Duration) []Change { b.Incarnation, b.Start = 6, 8; return tab.MarkReachable(b, now) }, Alive, Left},
		{"removed while it is reachable", func(now time.Duration) []Change { _, c, _ := tab.Remove("b", now); return c }, Removed, Alive},
		{"new incarnation", func(now time.Duration) []Change { b.Incarnation = 7; return tab.MarkReachable(b, now) }, Alive, Removed},
	}
	for i, s := range steps {
		now := time.Duration(i) * time.Second
		changes := s.do(now)
		if got := member(t, tab, "b"); got.State != s.want {
			t.Fatalf("%s: %s, want %s", s.what, got.State, s.want)
		}
		if i == 0 {
			continue // the first step makes two changes
		}
		want := []Change{{"b", b.Incarnation, s.from, s.want}}
		if s.from == "" {
			want = nil
		}
		if !slices.Equal(changes, want) {
			t.Errorf("%s: changes %v, want %v", s.what, changes, want)
		}
	}
}

// The count is the largest that any current member has observed, and decreases only after CountHoldTime.
func TestLargestCountIsHeld(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	tab := NewTable(Record{Name: "a", Incarnation: 1, Start: 1}, 0)
	want := func(s float64, n int) {
		t.Helper()
		if got := tab.Count(at(s)); got != n {
			t.Errorf("at %v s: %d, want %d", s, got, n)
		}
	}
	want(0, 1)
	for _, name := range []string{"b", "c", "d"} {
		tab.MarkReachable(Record{Name: name, Incarnation: 1, Start: 2}, at(1))
	}
	want(1, 4)
	tab.Suspect("b", at(2))
	want(500, 4)
	tab.Merge(Record{Name: "c", Incarnation: 1, Start: 2, Left: 1}, at(500))
	want(559, 4)
	want(561, 3)
	tab.MergeSightings([]Sighting{{"b", 9, 10 * time.Second}, {"d", 1000000, 0}, {"a", 50, 0}, {"x", 7, 0}}, at(600))
	want(649, 9) // b observed nine; that is valid for 60 s after its observation
	want(651, 3)
	tab.MergeSightings([]Sighting{{"b", 9, 0}, {"b", 5, 30 * time.Second}}, at(700)) // an older sighting has no effect
	want(701, 9)
	if got := tab.Sightings(at(702)); !slices.Equal(got, []Sighting{{"a", 3, 0}, {"b", 9, 2 * time.Second}}) {
		t.Errorf("passed on %v", got) // with its age; a's own count excludes what others have reported
	}
	tab.Remove("b", at(703))
	want(704, 3) // b is no longer a current member; a itself has observed three recently
}

func TestRecordsOfTheNodeItself(t *testing.T) {
	own := Record{Name: "a", Incarnation: 5, Start: 9, Address: "A"}
	for _, c := range []struct {
		what string
		rec  Record
		want Claim
	}{
		{"itself", own, Claim{}},
		{"an earlier process", Record{Name: "a", Incarnation: 4, Start: 8, Address: "A"}, Claim{}},
		{"an earlier process that has left", Record{Name: "a", Incarnation: 4, Start: 8, Address: "A", Left: 4}, Claim{}},
		{"the state directory is older than the records of others", Record{Name: "a", Incarnation: 8, Start: 7, Address: "A"}, Claim{Raise: 9, StaleFolder: true}},
		{"the same number, another start", Record{Name: "a", Incarnation: 5, Start: 7, Address: "A"}, Claim{Raise: 6, StaleFolder: true}},
		{"another process", Record{Name: "a", Incarnation: 8, Start: 7, Address: "X"}, Claim{Raise: 9, StaleFolder: true, Rival: "X"}},
		{"an earlier incarnation, at another address", Record{Name: "a", Incarnation: 3, Start: 7, Address: "X"}, Claim{Rival: "X"}},
		{"an earlier incarnation, at another address, that has left", Record{Name: "a", Incarnation: 3, Start: 7, Address: "X", Left: 3}, Claim{}},
		{"removed", Record{Name: "a", Incarnation: 5, Start: 9, Address: "A", Removed: 5}, Claim{Raise: 6, Removed: 5}},
		{"removed in a later incarnation", Record{Name: "a", Incarnation: 5, Start: 9, Address: "A", Removed: 6}, Claim{Raise: 7, Removed: 6, StaleFolder: true}},
		{"it has left, in this incarnation", Record{Name: "a", Incarnation: 5, Start: 9, Address: "A", Left: 5}, Claim{Raise: 6, StaleFolder: true}},
		{"removed before", Record{Name: "a", Incarnation: 5, Start: 9, Address: "A", Removed: 4}, Claim{}},
	} {
		if got := NewTable(own, 0).ClaimFor(c.rec); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.what, got, c.want)
		}
	}
}

// A table is bounded: departed members make room for new ones, the others stay.
func TestTableIsBounded(t *testing.T) {
	tab := NewTable(Record{Name: "self", Incarnation: 1}, 0)
	name := func(i int) string {
		return string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
	}
	for i := range 3 * MaxMembers {
		rec := Record{Name: name(i), Incarnation: 1}
		if i%3 > 0 {
			rec.Left = 1
		}
		tab.MarkReachable(rec, time.Duration(i))
	}
	if n := len(tab.Members()); n != MaxMembers {
		t.Errorf("%d rows", n)
	}
	if tab.Refused == 0 {
		t.Error("no member was refused")
	}
	if m, ok := tab.Member(name(0)); !ok || m.State != Alive {
		t.Error("a member that has not departed was deleted")
	}
}
