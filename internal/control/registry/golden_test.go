package registry

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// updateGolden makes the golden files; they are made once, from the code whose format they pin, and never in CI.
var updateGolden = flag.Bool("update-golden", false, "write testdata/golden instead of comparing with it")

// goldenEntry has a distinct value other than zero in each field.
func goldenEntry() Entry {
	return Entry{
		Endpoint: snapshot.Endpoint{
			ID:                "incarnation-1",
			Service:           "service-2",
			Address:           "10.0.0.3:8003",
			Zone:              "zone-4",
			Version:           "version-5",
			Capacity:          6,
			State:             snapshot.Draining,
			RemainingWarmupMs: 7_008,
			Models: []snapshot.Model{
				{Name: "model-9", Version: 10},
				{Name: "model-11", Version: -12},
			},
			CallCount: 13_000_000_000_014,
		},
		HeartbeatCount: 15_000_000_000_016,
		TimedOut:       true,
		Age:            17_018 * time.Millisecond,
	}
}

// TestEntryBytes pins the bytes of an Entry between keepers and their clients.
func TestEntryBytes(t *testing.T) {
	want := goldenEntry()
	encode := func(e *Entry) []byte {
		var w link.Writer
		AppendEntry(&w, e)
		return w.Buf
	}
	golden := readGolden(t, "entry", func() []byte { return encode(&want) })
	r := link.Reader{Buf: golden}
	got, err := ReadEntry(&r)
	if err != nil || len(r.Buf) != 0 {
		t.Fatalf("%v, %d bytes left", err, len(r.Buf))
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	if again := encode(&got); !bytes.Equal(again, golden) {
		t.Errorf("encoded again as %x, want %x", again, golden)
	}
}

// TestHeardBytes pins the bytes of a Heard between keepers.
func TestHeardBytes(t *testing.T) {
	want := Liveness{ID: "incarnation-1", HeartbeatCount: 2_000_000_000_003, Age: 4_005 * time.Millisecond}
	encode := func(h *Liveness) []byte {
		var w link.Writer
		AppendLiveness(&w, h)
		return w.Buf
	}
	golden := readGolden(t, "heard", func() []byte { return encode(&want) })
	r := link.Reader{Buf: golden}
	got, err := ReadLiveness(&r)
	if err != nil || len(r.Buf) != 0 {
		t.Fatalf("%v, %d bytes left", err, len(r.Buf))
	}
	if got != want {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	if again := encode(&got); !bytes.Equal(again, golden) {
		t.Errorf("encoded again as %x, want %x", again, golden)
	}
}

// TestPartOfServiceIsStable pins which part of the table a service belongs to: keepers of several versions compare
// their checksums part by part.
func TestPartOfServiceIsStable(t *testing.T) {
	for service, want := range map[string]int{"": 6, "a": 11, "chat": 6, "service-2": 5} {
		if got := BucketOf(service); got != want {
			t.Errorf("service %q is in part %d, want %d", service, got, want)
		}
	}
}

// TestDigestIsStable pins the checksum that keepers compare.
func TestDigestIsStable(t *testing.T) {
	table := New(0, Options{})
	e := goldenEntry()
	table.Heartbeat(0, e.Endpoint)
	var want [DigestBuckets]uint64
	want[BucketOf(e.Service)] = 0xc6d9836b9aa31e71
	if got := table.Digests(); got != want {
		t.Errorf("digests %#x, want %#x", got, want)
	}
}

// readGolden returns a golden file's bytes.
func readGolden(t *testing.T, name string, encode func() []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.WriteFile(path, encode(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return golden
}
