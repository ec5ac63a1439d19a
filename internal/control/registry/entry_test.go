package registry

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// entryGenerator draws entries of one incarnation from few values, so that many are equal in some fields.
func entryGenerator() *rapid.Generator[Entry] {
	return rapid.Custom(func(t *rapid.T) Entry {
		text := func(name string) string { return rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, name) }
		e := Entry{
			Endpoint: snapshot.Endpoint{
				ID:                "i",
				Service:           text("service"),
				Address:           text("address"),
				Zone:              text("zone"),
				Version:           text("version"),
				Capacity:          rapid.IntRange(0, 2).Draw(t, "capacity"),
				State:             snapshot.State(rapid.IntRange(0, 2).Draw(t, "state")),
				RemainingWarmupMs: rapid.IntRange(0, 2).Draw(t, "warmup"),
				CallCount:         rapid.Uint64Range(0, 3).Draw(t, "count"),
			},
			HeartbeatCount: rapid.Uint64Range(0, 3).Draw(t, "heartbeats"),
			TimedOut:       rapid.Bool().Draw(t, "timed out"),
			Age:            time.Duration(rapid.IntRange(0, 2).Draw(t, "age")) * time.Second,
		}
		for range rapid.IntRange(0, 2).Draw(t, "models") {
			e.Models = append(e.Models, snapshot.Model{Name: text("model"), Version: rapid.IntRange(0, 1).Draw(t, "model version")})
		}
		return e
	})
}

func TestJoinIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := entryGenerator()
		a, b, c := entries.Draw(t, "a"), entries.Draw(t, "b"), entries.Draw(t, "c")
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
			t.Fatalf("not an upper bound: %+v", x)
		}
	})
}

func TestCodecRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := entryGenerator().Draw(t, "entry")
		var w link.Writer
		AppendEntry(&w, &e)
		entryBytes := len(w.Buf)
		l := Liveness{ID: "i", HeartbeatCount: 7, Age: 250 * time.Millisecond}
		AppendLiveness(&w, &l)
		r := link.Reader{Buf: w.Buf}
		if got, err := ReadEntry(&r); err != nil || !reflect.DeepEqual(got, e) {
			t.Fatalf("%+v, %v", got, err)
		}
		if got, err := ReadLiveness(&r); err != nil || got != l || len(r.Buf) != 0 {
			t.Fatalf("%+v, %v", got, err)
		}
		truncated := link.Reader{Buf: w.Buf[:rapid.IntRange(0, entryBytes-1).Draw(t, "length")]}
		if _, err := ReadEntry(&truncated); err == nil {
			t.Fatal("a truncated entry was read")
		}
	})
}

func TestInvalidEndpointsAreRejected(t *testing.T) {
	for _, e := range []snapshot.Endpoint{
		{},
		{ID: strings.Repeat("x", 257)},
		{ID: "i", State: 3},
		{ID: "i", Capacity: -1},
		{ID: "i", Models: make([]snapshot.Model, 65)},
	} {
		if Validate(&e) == nil {
			t.Errorf("%.60v is accepted by Validate", e)
		}
		var w link.Writer
		AppendEntry(&w, &Entry{Endpoint: e})
		if _, err := ReadEntry(&link.Reader{Buf: w.Buf}); err == nil {
			t.Errorf("%.60v is accepted by ReadEntry", e)
		}
	}
}
