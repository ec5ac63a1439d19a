package registry

import (
	"reflect"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/link"
)

// goldenEntry returns an entry with a distinct non-zero value in each field.
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

// TestEntryBytes pins the encoding of an Entry between keepers and their clients.
func TestEntryBytes(t *testing.T) { testCodec(t, "entry", goldenEntry(), AppendEntry, ReadEntry) }

// TestLivenessBytes pins the encoding of a Liveness between keepers.
func TestLivenessBytes(t *testing.T) {
	want := Liveness{ID: "incarnation-1", HeartbeatCount: 2_000_000_000_003, Age: 4_005 * time.Millisecond}
	testCodec(t, "heard", want, AppendLiveness, ReadLiveness)
}

// testCodec checks that a value is encoded to a golden file's bytes, decoded from them, and re-encoded to the same
// bytes.
func testCodec[T any](t *testing.T, file string, want T, appendTo func(*link.Writer, *T), read func(*link.Reader) (T, error)) {
	t.Helper()
	encode := func(value *T) []byte {
		var w link.Writer
		appendTo(&w, value)
		return w.Buf
	}
	golden.Compare(t, file, encode(&want))
	r := link.Reader{Buf: golden.Read(t, file)}
	got, err := read(&r)
	if err != nil || len(r.Buf) != 0 {
		t.Fatalf("%v, %d bytes left", err, len(r.Buf))
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	golden.Compare(t, file, encode(&got))
}

// TestBucketOfServiceIsStable pins the assignment of services to buckets: keepers of different versions compare their
// checksums bucket by bucket.
func TestBucketOfServiceIsStable(t *testing.T) {
	for service, want := range map[string]int{"": 6, "a": 11, "chat": 6, "service-2": 5} {
		if got := BucketOf(service); got != want {
			t.Errorf("service %q is in bucket %d, want %d", service, got, want)
		}
	}
}

// TestDigestIsStable pins the checksum that keepers compare with each other.
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
