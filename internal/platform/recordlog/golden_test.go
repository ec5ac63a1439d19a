package recordlog

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"testing"

	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/vfs/vfstest"
)

// The golden files were written by the sources of faf8ea2.

// framed is a record of a file: its synced offset and its payload.
type framed struct {
	synced  uint64
	payload string
}

// decodeFile decodes a file without the package's own reader.
func decodeFile(t *testing.T, b []byte) (frames frame.Format, records []framed) {
	t.Helper()
	frames, err := frame.ReadFormat(b)
	must(t, err)
	for at := int64(frame.HeadersSize); at < int64(len(b)); {
		head := b[at : at+frame.KeyedHeadSize]
		n, ok := frames.PayloadSize(head, at)
		if !ok || at+frame.KeyedHeadSize+n > int64(len(b)) {
			t.Fatalf("no record at byte %d", at)
		}
		payload := b[at+frame.KeyedHeadSize : at+frame.KeyedHeadSize+n]
		if !frames.Matches(head, payload, at) {
			t.Fatalf("the record at byte %d is invalid", at)
		}
		records = append(records, framed{binary.LittleEndian.Uint64(payload), string(payload[8:])})
		at += frame.KeyedHeadSize + n
	}
	return frames, records
}

// encodeFile encodes records as Append and Rewrite do.
func encodeFile(frames frame.Format, records []framed) []byte {
	l := &Log{}
	b := frames.Header()
	for _, r := range records {
		b = append(b, l.encode(currentFile{frames: frames, size: int64(len(b))}, []byte(r.payload), int64(r.synced))...)
	}
	return b
}

func TestGoldenFileOfAppendedRecords(t *testing.T) {
	want := []string{"first", "", "third \x00\xff", strings.Repeat("fourth", 50)}
	b := golden.Read(t, "appended.log")
	d := vfstest.New()
	d.Put(name, b)
	k := reopen(t, d) // also reads each record with ReadAt
	if !slices.Equal(k.payloads, want) {
		t.Errorf("%q, want %q", k.payloads, want)
	}
	if ends := []int64{89, 109, 137, 457}; !slices.Equal(k.at, ends) {
		t.Errorf("positions %v, want %v", k.at, ends)
	}
	must(t, k.Close())
	if !bytes.Equal(d.File(name), b) {
		t.Error("opening changed the file")
	}
	var scanned []string
	validSize, err := Scan(bytes.NewReader(b), int64(len(b)), name, func(payload []byte) error {
		scanned = append(scanned, string(payload))
		return nil
	})
	if err != nil || validSize != int64(len(b)) || !slices.Equal(scanned, want) {
		t.Errorf("scanned %q, %d bytes, %v", scanned, validSize, err)
	}
	frames, records := decodeFile(t, b)
	marks := []framed{{64, want[0]}, {64, want[1]}, {109, want[2]}, {137, want[3]}}
	if frames.Number != 0 || !slices.Equal(records, marks) {
		t.Errorf("file %d, %+v, want %+v", frames.Number, records, marks)
	}
	if !bytes.Equal(encodeFile(frames, records), b) {
		t.Error("the same records are written as other bytes")
	}

	// The same calls after the same header write the same file.
	d.Put(name, frames.Header())
	k = reopen(t, d)
	k.add(t, want[:2]...)
	must(t, k.Sync())
	k.add(t, want[2])
	must(t, k.Sync())
	k.add(t, want[3])
	must(t, k.Close())
	if !bytes.Equal(d.File(name), b) {
		t.Error("the same calls write other bytes")
	}
}

func TestGoldenFileOfARewrite(t *testing.T) {
	stays, added := []string{"kept one", "kept two"}, "added later"
	rewrite := func(k replayedLog) {
		must(t, k.Rewrite(func(add func([]byte) (int64, error)) error {
			for _, p := range stays {
				if _, err := add([]byte(p)); err != nil {
					return err
				}
			}
			return nil
		}))
	}
	b := golden.Read(t, "rewritten.log")
	frames, records := decodeFile(t, b)
	want := []framed{{0, stays[0]}, {0, stays[1]}, {120, added}}
	if frames.Number != 95 || !slices.Equal(records, want) {
		t.Errorf("file %d, %+v, want %+v", frames.Number, records, want)
	}
	if !bytes.Equal(encodeFile(frames, records), b) {
		t.Error("the same records are written as other bytes")
	}
	d := vfstest.New()
	d.Put(name, b)
	k := reopen(t, d)
	if payloads := append(slices.Clone(stays), added); !slices.Equal(k.payloads, payloads) {
		t.Errorf("%q, want %q", k.payloads, payloads)
	}
	if ends := []int64{187, 215, 246}; !slices.Equal(k.at, ends) {
		t.Errorf("positions %v, want %v", k.at, ends)
	}

	// The next rewrite begins at the position where this file ended; its salt is random, all else is the same.
	rewrite(k)
	must(t, k.Close())
	frames, records = decodeFile(t, d.File(name))
	if frames.Number != 246 || !slices.Equal(records, want[:2]) {
		t.Errorf("rewritten again: file %d, %+v", frames.Number, records)
	}
}
