package lease

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"dunetide/internal/platform/vfs/vfstest"
)

// entries returns the entries of records as strings.
func entries(all []record) (texts []string) {
	for _, rec := range all {
		for _, e := range rec.Entries {
			texts = append(texts, string(e))
		}
	}
	return texts
}

// A flipped bit at any position loses nothing. After a truncation at any position, or the loss of a block, the log is read as
// a prefix of what was written, or reported as damaged.
func TestDiskDamaged(t *testing.T) {
	d := vfstest.New()
	l := disk{folder: d}
	if err := l.renew(record{Self: &identity{logID{7, 1}, 9}, Entries: [][]byte{[]byte("first")}}); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"second", "third"} {
		if err := l.append(record{Entries: [][]byte{[]byte(text)}}); err != nil {
			t.Fatal(err)
		}
	}
	good, want := slices.Clone(d.File(logName)), []string{"first", "second", "third"}
	for i := range good {
		for bit := range 8 {
			text := slices.Clone(good)
			text[i] ^= 1 << bit
			d.Put(logName, text)
			if all, err := l.load(); err != nil || !slices.Equal(entries(all), want) {
				t.Fatalf("bit %d of byte %d: %q, %v", bit, i, entries(all), err)
			}
		}
		d.Put(logName, good[:i])
		all, err := l.load()
		if got := entries(all); err == nil && !slices.Equal(got, want[:len(got)]) || err != nil && !errors.Is(err, errDamaged) {
			t.Fatalf("truncated at %d: %q, %v", i, got, err)
		}
		text := slices.Clone(good) // a block in the middle was never written
		clear(text[i:min(len(text), i+60)])
		d.Put(logName, text)
		all, err = l.load()
		if got := entries(all); err == nil && !slices.Equal(got, want) && i+60 < len(text)-60 || err != nil && !errors.Is(err, errDamaged) {
			t.Fatalf("60 bytes lost from %d: %q, %v", i, got, err)
		}
	}
}

// Each disk operation fails once or up to three times, and then a power failure keeps a part of what was not synced: the
// entries of acknowledged writes are still there, in order and without gaps.
func TestDiskFails(t *testing.T) {
	for failAt := 1; failAt <= 40; failAt++ {
		for fails := 1; fails <= 3; fails++ {
			for kept := range 4 {
				d := vfstest.New()
				l := disk{folder: d}
				d.FailAt, d.Fails = failAt, fails
				var all, acknowledged [][]byte // all entries in memory, and those whose write was acknowledged
				for k := range 8 {
					all = append(all, []byte(fmt.Sprint("entry ", k)))
					err := errors.New("none yet")
					if l.file != nil && k != 5 {
						if err = l.append(record{Entries: all[len(all)-1:]}); err != nil && l.append(record{}) == nil {
							t.Fatalf("operation %d fails, %d times: append after a failed write", failAt, fails)
						}
					}
					for tries := 0; err != nil && tries < 4; tries++ { // as Voter.retryWrite
						err = l.renew(record{Self: &identity{logID{7, 1}, 9}, Entries: all})
					}
					if err == nil {
						acknowledged = slices.Clone(all)
					}
				}
				d.PowerLoss(func(n int) int { return min(kept*(n-1)/3, n-1) })
				loaded, err := l.load()
				if err != nil {
					t.Fatalf("operation %d fails, %d times, %d thirds are kept: %v", failAt, fails, kept, err)
				}
				got := entries(loaded)
				for i, text := range acknowledged {
					if i >= len(got) || got[i] != string(text) {
						t.Fatalf("operation %d fails, %d times, %d thirds are kept: %q, and %q was acknowledged", failAt, fails, kept, got, acknowledged)
					}
				}
			}
		}
	}
}
