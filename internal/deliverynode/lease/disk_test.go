package lease

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"dunetide/internal/platform/vfs/vfstest"
)

// entries are what the records of a disk hold, as texts.
func entries(all []record) (texts []string) {
	for _, rec := range all {
		for _, e := range rec.Entries {
			texts = append(texts, string(e))
		}
	}
	return texts
}

// One spoilt bit, wherever it is, takes nothing away; what is cut off anywhere is a beginning of
// what was written, or known to be damaged.
func TestDiskSpoilt(t *testing.T) {
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
			t.Fatalf("cut at %d: %q, %v", i, got, err)
		}
		text := slices.Clone(good) // a block that was never written, in the middle
		clear(text[i:min(len(text), i+60)])
		d.Put(logName, text)
		all, err = l.load()
		if got := entries(all); err == nil && !slices.Equal(got, want) && i+60 < len(text)-60 || err != nil && !errors.Is(err, errDamaged) {
			t.Fatalf("lost from %d: %q, %v", i, got, err)
		}
	}
}

// Whichever operation fails, once or from there on for a while, and whatever a loss of power
// leaves: what was said to be written is there, in its order, and nothing is between.
func TestDiskFails(t *testing.T) {
	for failAt := 1; failAt <= 40; failAt++ {
		for fails := 1; fails <= 3; fails++ {
			for kept := range 4 {
				d := vfstest.New()
				l := disk{folder: d}
				d.FailAt, d.Fails = failAt, fails
				var all, promised [][]byte // in memory; and those that somebody has heard of
				for k := range 8 {
					all = append(all, []byte(fmt.Sprint("entry ", k)))
					err := errors.New("none yet")
					if l.file != nil && k != 5 {
						if err = l.append(record{Entries: all[len(all)-1:]}); err != nil && l.append(record{}) == nil {
							t.Fatalf("operation %d fails, %d times: it was written to what is not known", failAt, fails)
						}
					}
					for tries := 0; err != nil && tries < 4; tries++ { // as Voter.retryWrite
						err = l.renew(record{Self: &identity{logID{7, 1}, 9}, Entries: all})
					}
					if err == nil {
						promised = slices.Clone(all)
					}
				}
				d.PowerLoss(func(n int) int { return min(kept*(n-1)/3, n-1) })
				loaded, err := l.load()
				if err != nil {
					t.Fatalf("operation %d fails, %d times, %d thirds are kept: %v", failAt, fails, kept, err)
				}
				got := entries(loaded)
				for i, text := range promised {
					if i >= len(got) || got[i] != string(text) {
						t.Fatalf("operation %d fails, %d times, %d thirds are kept: %q, and %q was promised", failAt, fails, kept, got, promised)
					}
				}
			}
		}
	}
}
