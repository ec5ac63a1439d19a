package registry

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

func entries() *rapid.Generator[Entry] {
	return rapid.Custom(func(t *rapid.T) Entry {
		small := func(name string) string { return rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, name) }
		e := Entry{Endpoint: snapshot.Endpoint{
			ID: "i", Service: small("service"), Address: small("address"), Zone: small("zone"), Version: small("version"),
			Capacity: rapid.IntRange(0, 2).Draw(t, "capacity"), State: snapshot.State(rapid.IntRange(0, 2).Draw(t, "state")),
			RemainingWarmupMs: rapid.IntRange(0, 2).Draw(t, "cold"), CallCount: rapid.Uint64Range(0, 3).Draw(t, "count"),
		}, HeartbeatCount: rapid.Uint64Range(0, 3).Draw(t, "alive"), TimedOut: rapid.Bool().Draw(t, "silent"),
			Age: time.Duration(rapid.IntRange(0, 2).Draw(t, "age")) * time.Second}
		for range rapid.IntRange(0, 2).Draw(t, "models") {
			e.Models = append(e.Models, snapshot.Model{Name: small("model"), Version: rapid.IntRange(0, 1).Draw(t, "model version")})
		}
		return e
	})
}

func TestJoinIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := entries()
		a, b, c := g.Draw(t, "a"), g.Draw(t, "b"), g.Draw(t, "c")
		if x := Join(a, a); !reflect.DeepEqual(x, a) {
			t.Fatalf("not idempotent: %+v", x)
		}
		if x, y := Join(a, b), Join(b, a); !reflect.DeepEqual(x, y) {
			t.Fatalf("not commutative: %+v, %+v", x, y)
		}
		if x, y := Join(Join(a, b), c), Join(a, Join(b, c)); !reflect.DeepEqual(x, y) {
			t.Fatalf("not associative: %+v, %+v", x, y)
		}
		if x := Join(a, b); x.State < a.State || x.HeartbeatCount < a.HeartbeatCount || x.CallCount < a.CallCount {
			t.Fatalf("not above: %+v", x)
		}
	})
}

// Tables that take the same words, in any order and any number of times, from endpoints or by each
// other, come to the same entries.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{New(0, Options{}), New(0, Options{}), New(0, Options{})}
		count := map[string]uint64{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"i1", "i2", "i3"}).Draw(t, "id")
			at := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				at.Remove(now, id)
			case 1, 2:
				at.Merge(now, tables[rapid.IntRange(0, 2).Draw(t, "from")].Entries(now, -1))
			case 3:
				at.MergeLiveness(now, tables[rapid.IntRange(0, 2).Draw(t, "from")].Liveness(now, true))
			default:
				count[id]++
				at.Heartbeat(now, snapshot.Endpoint{ID: id, Service: "s", Address: id + ":1", CallCount: count[id],
					State: snapshot.State(rapid.IntRange(0, 1).Draw(t, "state")), Capacity: rapid.IntRange(0, 1).Draw(t, "capacity")})
			}
		}
		for _, a := range tables {
			for _, b := range tables {
				a.Merge(now, b.Entries(now, -1))
			}
		}
		for _, a := range tables {
			for _, b := range tables {
				a.Merge(now, b.Entries(now, -1))
			}
		}
		want := plain(tables[0], now)
		for _, a := range tables[1:] {
			if got := plain(a, now); got != want {
				t.Fatalf("tables differ:\n%s\n%s", want, got)
			}
			if a.Digests() != tables[0].Digests() {
				t.Fatal("digests differ")
			}
		}
	})
}

func plain(t *Table, now time.Duration) string {
	v := t.Entries(now, -1)
	slices.SortFunc(v, func(a, b Entry) int { return strings.Compare(a.ID, b.ID) })
	for i := range v {
		v[i].Age = 0
	}
	return fmt.Sprintf("%+v", v)
}

// A follower who applies changes has what the table lists, whatever it missed.
func TestFollowersHaveTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(0, Options{MaxTombstones: 2, TombstoneLifetime: 10 * time.Second})
		now := time.Duration(0)
		count := uint64(0)
		followed := map[string]snapshot.State{}
		var number uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint("i", rapid.IntRange(0, 7).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				table.Remove(now, id)
			case 1:
				table.Expire(now)
			case 2:
				v, to, whole := table.Changes(now, number)
				if to < number {
					t.Fatalf("number %d after %d", to, number)
				}
				if whole {
					clear(followed)
				}
				for _, e := range v {
					if e.Dead() {
						delete(followed, e.ID)
					} else {
						followed[e.ID] = e.State
					}
				}
				number = to
				want := map[string]snapshot.State{}
				for _, e := range table.Entries(now, -1) {
					if !e.Dead() {
						want[e.ID] = e.State
					}
				}
				if !reflect.DeepEqual(followed, want) {
					t.Fatalf("followed %v, listed %v", followed, want)
				}
			default:
				count++
				table.Heartbeat(now, snapshot.Endpoint{ID: id, Service: "s", Address: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "address")), CallCount: count,
					State: snapshot.State(rapid.IntRange(0, 1).Draw(t, "state"))})
			}
			if table.tombstones.Len() > 2 || len(table.byID) != table.changes.Len() {
				t.Fatalf("%d tombstones, %d entries, %d changes", table.tombstones.Len(), len(table.byID), table.changes.Len())
			}
		}
	})
}

func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := entries().Draw(t, "entry")
		var w link.Writer
		AppendEntry(&w, &e)
		whole := len(w.B)
		h := Liveness{ID: "i", HeartbeatCount: 7, Age: 250 * time.Millisecond}
		AppendLiveness(&w, &h)
		r := link.Reader{B: w.B}
		if got, err := ReadEntry(&r); err != nil || !reflect.DeepEqual(got, e) {
			t.Fatalf("%+v, %v", got, err)
		}
		if got, err := ReadLiveness(&r); err != nil || got != h || len(r.B) != 0 {
			t.Fatalf("%+v, %v", got, err)
		}
		short := link.Reader{B: w.B[:rapid.IntRange(0, whole-1).Draw(t, "cut")]}
		if _, err := ReadEntry(&short); err == nil {
			t.Fatal("a cut entry was read")
		}
	})
	for _, e := range []snapshot.Endpoint{{}, {ID: strings.Repeat("x", 257)}, {ID: "i", State: 3}, {ID: "i", Capacity: -1}, {ID: "i", Models: make([]snapshot.Model, 65)}} {
		if Validate(&e) == nil {
			t.Errorf("%.60v is taken", e)
		}
		var w link.Writer
		AppendEntry(&w, &Entry{Endpoint: e})
		if _, err := ReadEntry(&link.Reader{B: w.B}); err == nil {
			t.Errorf("%.60v is read", e)
		}
	}
}

func TestBounds(t *testing.T) {
	table := New(0, Options{MaxEndpoints: 3, MaxTombstones: 2})
	for i := range 5 {
		table.Heartbeat(0, snapshot.Endpoint{ID: fmt.Sprint("i", i), Address: fmt.Sprint(i), CallCount: 1})
	}
	if table.Live() != 3 || table.Stats().Rejected != 2 {
		t.Errorf("%d live, %+v", table.Live(), table.Stats())
	}
	for i := range 9 {
		table.Remove(time.Duration(i), fmt.Sprint("i", i))
	}
	if table.Live() != 0 || len(table.byID) != 2 || len(table.byAddress) != 0 {
		t.Errorf("%d live, %d entries, %d addresses", table.Live(), len(table.byID), len(table.byAddress))
	}
}

// The tables of testdata: each command names a keeper and a time in ms.
func TestTables(t *testing.T) {
	datadriven.Walk(t, "testdata/tables", func(t *testing.T, path string) {
		tables := map[string]*Table{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var key string
			var ms int
			d.ScanArgs(t, "at", &ms)
			now := time.Duration(ms) * time.Millisecond
			d.ScanArgs(t, "k", &key)
			if tables[key] == nil {
				tables[key] = New(now, Options{HeartbeatInterval: time.Second})
			}
			var from string
			if d.HasArg("from") {
				d.ScanArgs(t, "from", &from)
			}
			return play(t, d, now, tables[key], tables[from])
		})
	})
}

// play runs a command of a test file on a table, and returns what it shows.
func play(t *testing.T, d *datadriven.TestData, now time.Duration, table, from *Table) string {
	var out strings.Builder
	switch d.Cmd {
	case "new":
	case "beat":
		for _, line := range strings.Split(d.Input, "\n") {
			e := snapshot.Endpoint{Service: "s"}
			if _, err := fmt.Sscanf(line, "%s %s %d %d %d", &e.ID, &e.Address, &e.CallCount, &e.State, &e.RemainingWarmupMs); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "changed=%v\n", table.Heartbeat(now, e))
		}
	case "leave":
		fmt.Fprintf(&out, "changed=%v\n", table.Remove(now, d.Input))
	case "merge":
		show(&out, table.Merge(now, from.Entries(now, -1)))
	case "heard":
		changed, missing := table.MergeLiveness(now, from.Liveness(now, d.HasArg("relay")))
		show(&out, changed)
		fmt.Fprintf(&out, "missing=%v\n", missing)
	case "expire":
		show(&out, table.Expire(now))
		fmt.Fprintf(&out, "listening=%v live=%d\n", table.Listening(now), table.Live())
	case "changes":
		var since uint64
		d.ScanArgs(t, "since", &since)
		changed, to, whole := table.Changes(now, since)
		show(&out, changed)
		fmt.Fprintf(&out, "to=%d whole=%v\n", to, whole)
	case "list":
		show(&out, table.Entries(now, -1))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return out.String()
}

// show writes entries, one a line.
func show(out *strings.Builder, entries []Entry) {
	for _, e := range entries {
		p := e.EffectiveEndpoint()
		fmt.Fprintf(out, "%s %s %s state=%d count=%d alive=%d silent=%v cold=%d age=%v\n", p.ID, p.Service, p.Address, p.State, p.CallCount, e.HeartbeatCount, e.TimedOut, p.RemainingWarmupMs, e.Age)
	}
}
