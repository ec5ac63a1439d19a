package batch

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs/vfstest"
)

// openedLog is a log and the records that were replayed from it.
type openedLog struct {
	*segmentedLog
	payloads []string
	at       []int64
}

func openSegments(d *vfstest.Disk) (o openedLog, err error) {
	log, err := OpenLog(d, "t.log", func(payload []byte, at int64) error {
		o.payloads, o.at = append(o.payloads, string(payload)), append(o.at, at)
		return nil
	})
	if err == nil {
		o.segmentedLog = log.(*segmentedLog)
	}
	return o, err
}

// segmentScript appends three records to each of four segments, and removes the oldest segment
// twice in between. It stops at the first error. Appended has all records written, durable is how
// many of them are durable, and removed how many may have been removed.
func segmentScript(d *vfstest.Disk) (appended []string, durable, removed int) {
	log, err := openSegments(d)
	if err != nil {
		return nil, 0, 0
	}
	for segment := range 4 {
		for i := range 3 {
			p := fmt.Sprintf("record %d of segment %d", i, segment)
			appended = append(appended, p)
			at, err := log.Append([]byte(p))
			if err != nil {
				return appended, durable, removed
			}
			if i == 1 {
				if log.SyncTo(at) != nil {
					return appended, durable, removed
				}
				durable = len(appended)
			}
		}
		if log.Rotate() != nil {
			return appended, durable, removed
		}
		durable = len(appended)
		if segment%2 == 1 {
			removed += 3
			if log.DropOldest() != nil {
				return appended, durable, removed
			}
		}
	}
	_ = log.Close()
	return appended, durable, removed
}

// TestSegmentsAfterPowerLoss: whatever a power loss at any step leaves, the durable records remain
// in order, and the log can be appended to and read.
func TestSegmentsAfterPowerLoss(t *testing.T) {
	reference := vfstest.New()
	if _, durable, removed := segmentScript(reference); durable != 12 || removed != 6 {
		t.Fatalf("without losses: %d durable, %d removed", durable, removed)
	}
	for step := 1; step <= reference.Ops+1; step++ {
		for kept := range 3 {
			d := vfstest.New()
			d.FailAt, d.Fails = step, 1<<30
			appended, durable, removed := segmentScript(d)
			d.FailAt = 0
			d.PowerLossEach(func(n int) int { return kept * (n - 1) / 2 })
			log, err := openSegments(d)
			if err != nil {
				t.Fatalf("step %d, kept %d: %v", step, kept, err)
			}
			n := len(log.payloads)
			first := 0
			if n > 0 {
				first = slices.Index(appended, log.payloads[0])
			}
			if first > removed || first < 0 || n == 0 && durable > removed || first+n < durable ||
				!slices.Equal(log.payloads, appended[first:first+n]) {
				t.Fatalf("step %d, kept %d: %q of %q, %d durable, %d removed", step, kept, log.payloads, appended, durable, removed)
			}
			checkUse(t, log)
		}
	}
}

// checkUse reads all records, appends one and reads it.
func checkUse(t *testing.T, log openedLog) {
	t.Helper()
	for i, at := range log.at {
		want := []byte(log.payloads[i])
		if b, err := log.ReadRaw(at-int64(len(want)), len(want)); err != nil || !bytes.Equal(b, want) {
			t.Fatalf("read back %q, %v, want %q", b, err, want)
		}
	}
	at, err := log.Append([]byte("again"))
	if err == nil {
		err = log.SyncTo(at)
	}
	if err != nil {
		t.Fatal(err)
	}
	if b, err := log.ReadRaw(at-5, 5); err != nil || string(b) != "again" {
		t.Fatalf("read back %q, %v", b, err)
	}
}

// TestDamagedSegmentsAreRefused: a segment that is missing, truncated or changed after it was
// synced is detected, and the log is not opened.
func TestDamagedSegmentsAreRefused(t *testing.T) {
	build := func() *vfstest.Disk {
		d := vfstest.New()
		log, err := openSegments(d)
		if err != nil {
			t.Fatal(err)
		}
		for segment := range 3 {
			for i := range 3 {
				if _, err := log.Append(fmt.Appendf(nil, "record %d of segment %d", i, segment)); err != nil {
					t.Fatal(err)
				}
			}
			if segment < 2 {
				if err := log.Rotate(); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		return d
	}
	middle := "t.log.000001"
	for name, spoil := range map[string]func(d *vfstest.Disk){
		"a missing segment": func(d *vfstest.Disk) { _ = d.Remove(middle) },
		"a cut segment":     func(d *vfstest.Disk) { b := d.File(middle); d.Put(middle, b[:len(b)-7]) },
		"a flipped byte": func(d *vfstest.Disk) {
			b := bytes.Clone(d.File(middle))
			b[len(b)-3] ^= 1
			d.Put(middle, b)
		},
		"an emptied segment": func(d *vfstest.Disk) { b := d.File(middle); d.Put(middle, b[:len(b)/4]) },
	} {
		d := build()
		if log, err := openSegments(d); err != nil || len(log.payloads) != 9 {
			t.Fatalf("before: %d records, %v", len(log.payloads), err)
		}
		spoil(d)
		if log, err := openSegments(d); !recordlog.ErrDamaged.Has(err) {
			t.Errorf("%s: %v, %d records", name, err, len(log.payloads))
		}
	}
	// A log from before segments were introduced is the first segment.
	d := vfstest.New()
	old, err := recordlog.Open(d, "t.log", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := old.Append([]byte("old")); err != nil {
		t.Fatal(err)
	}
	if err := old.Close(); err != nil {
		t.Fatal(err)
	}
	log, err := openSegments(d)
	if err != nil || !slices.Equal(log.payloads, []string{"old"}) {
		t.Fatalf("a log without segments: %q, %v", log.payloads, err)
	}
	checkUse(t, log)
}
