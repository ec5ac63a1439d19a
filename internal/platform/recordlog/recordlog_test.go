package recordlog

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

const name = "t.log"

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// replayedLog is a log and the records that it replayed.
type replayedLog struct {
	*Log
	payloads []string
	at       []int64
}

func open(folder vfs.Folder) (replayedLog, error) {
	var k replayedLog
	var err error
	k.Log, err = Open(folder, name, func(payload []byte, at int64) error {
		k.payloads, k.at = append(k.payloads, string(payload)), append(k.at, at)
		return nil
	})
	return k, err
}

func reopen(t *testing.T, folder vfs.Folder) replayedLog {
	t.Helper()
	k, err := open(folder)
	must(t, err)
	for i, at := range k.at {
		b, err := k.ReadAt(at, len(k.payloads[i]))
		if err != nil || string(b) != k.payloads[i] {
			t.Fatalf("read back %q, %v, want %q", b, err, k.payloads[i])
		}
	}
	return k
}

func (k *replayedLog) add(t *testing.T, payloads ...string) (at []int64) {
	t.Helper()
	for _, p := range payloads {
		a, err := k.Append([]byte(p))
		must(t, err)
		at = append(at, a)
	}
	return at
}

// picks enumerates the outcomes of a power loss, with up to four choices each, so that torn writes end at a few
// offsets only.
type picks struct{ chosen, of []int }

func (p *picks) begin() func(n int) int {
	p.of = p.of[:0]
	return func(n int) int {
		options := min(n, 4)
		if len(p.of) == len(p.chosen) {
			p.chosen = append(p.chosen, 0)
		}
		choice := p.chosen[len(p.of)]
		p.of = append(p.of, options)
		if options < n {
			return choice * (n - 1) / (options - 1)
		}
		return choice
	}
}

func (p *picks) next() bool {
	p.chosen = p.chosen[:len(p.of)]
	for i := len(p.of) - 1; i >= 0; i-- {
		if p.chosen[i]++; p.chosen[i] < p.of[i] {
			p.chosen = p.chosen[:i+1]
			return true
		}
	}
	return false
}

// model is the expected state of a log.
type model struct {
	list    []string // appended records, including the last one that failed
	durable int      // how many of list are durable
	next    []string // records of a rewrite that has not returned
}

func (m *model) allows(got []string) bool {
	if m.next != nil && slices.Equal(got, m.next) {
		return true
	}
	return len(got) >= m.durable && len(got) <= len(m.list) && slices.Equal(got, m.list[:len(got)])
}

// script uses a log until its end or the first error.
func script(d *vfstest.Disk) (m model) {
	k, err := open(d)
	if err != nil {
		return m
	}
	add := func(p string) {
		if err != nil {
			return
		}
		m.list = append(m.list, p)
		_, err = k.Append([]byte(p))
	}
	done := func(e error) {
		if err = e; err == nil {
			m.durable = len(m.list)
		}
	}
	add("one")
	add("")
	if err == nil {
		done(k.Sync())
	}
	add(strings.Repeat("three", 9))
	add("4")
	add("five")
	if err == nil {
		m.next = []string{"", "4", "new"}
		done(k.Rewrite(func(add func([]byte) (int64, error)) error {
			for _, p := range m.next {
				if _, err := add([]byte(p)); err != nil {
					return err
				}
			}
			return nil
		}))
		if err == nil {
			m = model{list: m.next, durable: len(m.next)}
		}
	}
	add("six")
	if err == nil {
		done(k.Sync())
	}
	add("seven")
	add("8")
	if err == nil {
		done(k.Close())
	}
	return m
}

func TestPowerLossAtEachDiskOperationKeepsSyncedRecords(t *testing.T) {
	reference := vfstest.New()
	if m := script(reference); m.durable != 6 {
		t.Fatalf("without losses: %+v", m)
	}
	cases := 0
	for step := 1; step <= reference.Ops+1; step++ {
		for p := (picks{}); ; {
			d := vfstest.New()
			d.FailAt, d.Fails = step, 1<<30
			m := script(d)
			d.FailAt = 0
			d.PowerLossEach(p.begin())
			checkLoss(t, d, &m, cases%7 == 0, fmt.Sprintf("step %d, picks %v", step, p.chosen))
			cases++
			if !p.next() {
				break
			}
		}
	}
	t.Log(cases, "cases")
}

func checkLoss(t *testing.T, d *vfstest.Disk, m *model, again bool, what string) {
	t.Helper()
	for step := 1; again && step <= 4; step++ { // a second power loss while the log is opened
		for _, all := range []int{0, 1} {
			c := d.Copy()
			c.FailAt, c.Fails = step, 1<<30
			_, _ = open(c) // it may fail before that step
			c.FailAt = 0
			c.PowerLossEach(func(n int) int { return min(all, n-1) })
			if k, err := open(c); err != nil || !m.allows(k.payloads) {
				t.Fatalf("%s, then step %d: %q, %v, model %+v", what, step, k.payloads, err, m)
			}
		}
	}
	k, err := open(d)
	if err != nil || !m.allows(k.payloads) {
		t.Fatalf("%s: %q, %v, model %+v", what, k.payloads, err, m)
	}
	had := k.payloads
	k.add(t, "after")
	must(t, k.Sync())
	d.PowerLossEach(func(int) int { return 0 })
	if k := reopen(t, d); !slices.Equal(k.payloads, append(had, "after")) {
		t.Fatalf("%s: %q, then %q", what, had, k.payloads)
	}
}

func TestOneFailingDiskOperationKeepsAppendedRecords(t *testing.T) {
	reference := vfstest.New()
	script(reference)
	for step := 1; step <= reference.Ops; step++ {
		d := vfstest.New()
		d.FailAt = step
		m := script(d)
		if k := reopen(t, d); !m.allows(k.payloads) { // the process is killed, but the disk retains all writes
			t.Errorf("step %d: %q, model %+v", step, k.payloads, m)
		}
	}
}

func TestFullDiskLeavesNoTornRecord(t *testing.T) {
	d := vfstest.New()
	k := reopen(t, d)
	k.add(t, "a")
	d.FailAt = d.Ops + 1
	if _, err := k.Append([]byte("lost")); !errors.Is(err, vfstest.ErrFull) || ErrUnusable.Has(err) {
		t.Fatal(err)
	}
	k.add(t, "b")
	must(t, k.Close())
	if k := reopen(t, d); !slices.Equal(k.payloads, []string{"a", "b"}) {
		t.Errorf("%q", k.payloads)
	}
}

func TestFailedSyncMakesTheLogUnusable(t *testing.T) {
	d := vfstest.New()
	k := reopen(t, d)
	at := k.add(t, "a")[0]
	d.FailAt = d.Ops + 1
	for i, call := range []func() error{
		k.Sync, k.Sync,
		func() error { return k.SyncTo(at) },
		func() error { _, err := k.Append(nil); return err },
		func() error { _, err := k.ReadAt(at, 1); return err },
		func() error { return k.Rewrite(func(func([]byte) (int64, error)) error { return nil }) },
		k.Close,
	} {
		if err := call(); !ErrUnusable.Has(err) || !errors.Is(err, vfstest.ErrFull) {
			t.Errorf("call %d: %v", i, err)
		}
	}
}

func TestDamageToSyncedRecordsIsReported(t *testing.T) {
	d := vfstest.New()
	k := reopen(t, d)
	var ends []int64
	for _, p := range []string{"first", strings.Repeat("b", 3*recoveryWindow), "third"} {
		ends = append(ends, k.add(t, p)...)
		must(t, k.Sync())
	}
	must(t, k.Close())
	flip := func(at int64) *vfstest.Disk {
		c := d.Copy()
		c.File(name)[at] ^= 0x10
		return c
	}
	for at := int64(frame.HeadersSize); at < ends[1]; at += 1 + max(0, min(16381, at-ends[0])) {
		_, err := open(flip(at))
		if !ErrDamaged.Has(err) || !strings.Contains(err.Error(), "move the file away") {
			t.Fatalf("damage at byte %d: %v", at, err)
		}
	}
	for at := ends[1]; at < ends[2]; at++ { // no synced offset covers the last record
		if k := reopen(t, flip(at)); len(k.payloads) != 2 {
			t.Fatalf("damage at byte %d: %d records", at, len(k.payloads))
		}
	}
	for _, at := range []int64{3, frame.HeadersSize / 2} {
		if k := reopen(t, flip(at)); len(k.payloads) != 3 {
			t.Errorf("damage at byte %d: %d records", at, len(k.payloads))
		}
	}
	c := flip(3)
	c.File(name)[frame.HeadersSize/2+20]++
	if _, err := open(c); !ErrDamaged.Has(err) {
		t.Errorf("both headers damaged: %v", err)
	}
	c = d.Copy()
	c.Put(name, append(bytes.Clone(c.File(name)), "garbage, and more of it than a head"...))
	if k := reopen(t, c); len(k.payloads) != 3 {
		t.Errorf("garbage after the last record: %d records", len(k.payloads))
	}
	if _, err := Open(d.Copy(), name, func([]byte, int64) error { return errors.ErrUnsupported }); !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("replay's error: %v", err)
	}
}

func TestPositionsAreValidUntilARewrite(t *testing.T) {
	folder := vfs.Dir(t.TempDir())
	k := reopen(t, folder)
	at := k.add(t, "same", "gone", "same")
	for _, bad := range []struct {
		at int64
		n  int
	}{{at[0], 5}, {at[0], -1}, {at[2] + 1, 4}, {0, 0}} {
		if _, err := k.ReadAt(bad.at, bad.n); !ErrNoRecord.Has(err) {
			t.Errorf("reading %v: %v", bad, err)
		}
	}
	if _, err := k.ReadAt(at[1], 3); !ErrDamaged.Has(err) {
		t.Errorf("wrong length: %v", err)
	}
	failed := errors.New("failed")
	if err := k.Rewrite(func(add func([]byte) (int64, error)) error {
		_, err := add([]byte("x"))
		return errors.Join(err, failed)
	}); !errors.Is(err, failed) {
		t.Fatal(err)
	}
	var moved int64
	must(t, k.Rewrite(func(add func([]byte) (int64, error)) error {
		b, err := k.ReadAt(at[2], 4)
		if err != nil {
			return err
		}
		moved, err = add(b)
		return err
	}))
	if b, err := k.ReadAt(moved, 4); err != nil || string(b) != "same" {
		t.Errorf("%q, %v", b, err)
	}
	for _, old := range at {
		if _, err := k.ReadAt(old, 4); !ErrNoRecord.Has(err) {
			t.Errorf("position from before the rewrite: %v", err)
		}
		must(t, k.SyncTo(old))
	}
	k.add(t, "more")
	must(t, k.Close())
	if _, err := k.Append(nil); !ErrUnusable.Has(err) {
		t.Errorf("append after close: %v", err)
	}
	if k := reopen(t, folder); !slices.Equal(k.payloads, []string{"same", "more"}) || k.at[0] != moved {
		t.Errorf("%q at %v, want the first at %d", k.payloads, k.at, moved)
	}
}

// gate is a disk on which syncs of files block until they are released.
type gate struct {
	*vfstest.Disk
	armed   bool
	syncs   int
	release chan error
}

type gateFile struct {
	vfs.OpenFile
	g *gate
}

func (g *gate) Open(name string) (vfs.OpenFile, error) {
	f, err := g.Disk.Open(name)
	return &gateFile{f, g}, err
}

func (f *gateFile) Sync() error {
	if f.g.armed {
		f.g.syncs++
		if err := <-f.g.release; err != nil {
			return err
		}
	}
	return f.OpenFile.Sync()
}

func TestConcurrentSyncsAreGrouped(t *testing.T) {
	for _, fails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := &gate{Disk: vfstest.New(), release: make(chan error)}
			k := reopen(t, g)
			g.armed = true
			ends := make(chan error, 10)
			for range 9 {
				at := k.add(t, "a")[0]
				go func() { ends <- k.SyncTo(at) }()
				synctest.Wait()
			}
			if g.syncs != 1 {
				t.Fatalf("%d syncs run, want 1", g.syncs)
			}
			if fails {
				g.release <- vfstest.ErrFull
				for range 9 {
					if err := <-ends; !ErrUnusable.Has(err) {
						t.Error(err)
					}
				}
				return
			}
			g.release <- nil
			must(t, <-ends)
			synctest.Wait()
			if len(ends) != 0 {
				t.Errorf("%d calls returned before their sync", len(ends))
			}
			g.release <- nil
			for range 8 {
				must(t, <-ends)
			}
			if g.syncs != 2 {
				t.Errorf("%d syncs for 9 waiters, want 2", g.syncs)
			}
		})
	}
}

func TestConcurrentAppendsReadsAndRewrites(t *testing.T) {
	folder := vfs.Dir(t.TempDir())
	k := reopen(t, folder)
	var held sync.RWMutex // the user of a log has to guard its index against a rewrite
	index := map[string]int64{}
	put := func(p string) (int64, error) {
		held.Lock()
		defer held.Unlock()
		at, err := k.Append([]byte(p))
		index[p] = at
		return at, err
	}
	var all sync.WaitGroup
	for w := range 4 {
		all.Go(func() {
			for i := range 50 {
				p := fmt.Sprintf("%d/%02d", w, i)
				at, err := put(p)
				if err == nil {
					err = k.SyncTo(at)
				}
				held.RLock()
				b, err2 := k.ReadAt(index[p], len(p))
				held.RUnlock()
				if err = errors.Join(err, err2); err != nil || string(b) != p {
					t.Errorf("%q, %v, want %q", b, err, p)
				}
			}
		})
	}
	all.Go(func() {
		for range 20 {
			held.Lock()
			next := map[string]int64{}
			err := k.Rewrite(func(add func([]byte) (int64, error)) error {
				for p := range index {
					at, err := add([]byte(p))
					if err != nil {
						return err
					}
					next[p] = at
				}
				return nil
			})
			index = next
			held.Unlock()
			if err != nil {
				t.Error(err)
			}
		}
	})
	all.Wait()
	must(t, k.Close())
	if k := reopen(t, folder); len(k.payloads) != 200 {
		t.Errorf("%d records, want 200", len(k.payloads))
	}
}
