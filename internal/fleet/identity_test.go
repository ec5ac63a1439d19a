package fleet

import (
	"errors"
	"io/fs"
	"maps"
	"testing"

	"wingmount/internal/journal"
)

// disk is a folder in memory that fails at a chosen operation and forgets, at a loss of power,
// what was not synced.
type disk struct {
	files, synced map[string][]byte // contents; of synced files and names
	dirty         map[string][]byte // what a sync of the file has made durable
	failAt, ops   int               // the failing operation, from 1
}

var errDisk = errors.New("the disk is full")

func newDisk() *disk {
	return &disk{files: map[string][]byte{}, synced: map[string][]byte{}, dirty: map[string][]byte{}}
}

func (d *disk) op() error {
	if d.ops++; d.ops == d.failAt {
		return errDisk
	}
	return nil
}

func (d *disk) List() ([]journal.FileInfo, error) { return nil, nil }
func (d *disk) Head(string, int) ([]byte, error)  { return nil, fs.ErrNotExist }
func (d *disk) Cut(string, int64) error           { return nil }
func (d *disk) Read(name string, _ int64) ([]byte, error) {
	b, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return b, nil
}

func (d *disk) Create(name string) (journal.File, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	if _, there := d.files[name]; there {
		return nil, fs.ErrExist
	}
	d.files[name] = nil
	return &diskFile{d, name}, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.op(); err != nil {
		return err
	}
	d.files[to], d.dirty[to] = d.files[from], d.dirty[from]
	delete(d.files, from)
	delete(d.dirty, from)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.op(); err != nil {
		return err
	}
	if _, there := d.files[name]; !there {
		return fs.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

func (d *disk) Sync() error {
	if err := d.op(); err != nil {
		return err
	}
	d.synced = map[string][]byte{}
	for name := range d.files {
		d.synced[name] = d.dirty[name]
	}
	return nil
}

// powerLoss leaves the names and contents that were synced.
func (d *disk) powerLoss() {
	d.files, d.dirty = maps.Clone(d.synced), maps.Clone(d.synced)
}

type diskFile struct {
	d    *disk
	name string
}

func (f *diskFile) Write(b []byte) (int, error) {
	if err := f.d.op(); err != nil {
		f.d.files[f.name] = append(f.d.files[f.name], b[:len(b)/2]...)
		return len(b) / 2, err
	}
	f.d.files[f.name] = append(f.d.files[f.name], b...)
	return len(b), nil
}
func (f *diskFile) Truncate(int64) error { return nil }
func (f *diskFile) Close() error         { return f.d.op() }
func (f *diskFile) Sync() error {
	if err := f.d.op(); err != nil {
		return err
	}
	f.d.dirty[f.name] = f.d.files[f.name]
	return nil
}

// Whatever operation fails, and whether power is lost then: an incarnation that was given out
// is never given out again, and what was there can still be read.
func TestNoIncarnationTwice(t *testing.T) {
	for failAt := 0; failAt <= 40; failAt++ {
		for _, power := range []bool{false, true} {
			d := newDisk()
			out := uint64(0)
			for range 6 {
				id, spoilt, err := loadIdentity(d, "f", "a")
				if err != nil || spoilt != nil {
					t.Fatalf("operation %d failed, power %v: %v, %v", failAt, power, spoilt, err)
				}
				d.failAt = failAt
				id.Incarnation++
				if id.save(d) == nil {
					if id.Incarnation <= out {
						t.Fatalf("operation %d failed, power %v: incarnation %d after %d", failAt, power, id.Incarnation, out)
					}
					out = id.Incarnation
				}
				if power {
					d.powerLoss()
				}
			}
			if failAt == 0 && out != 6 || out < 5 {
				t.Errorf("operation %d failed: only %d starts", failAt, out)
			}
		}
	}
}

func TestASpoiltOrForeignIdentity(t *testing.T) {
	d := newDisk()
	if err := (identity{"f", "a", 7}).save(d); err != nil {
		t.Fatal(err)
	}
	good := d.files[identityName]
	for i := range good {
		for bit := range 8 {
			d.files[identityName] = append([]byte(nil), good...)
			d.files[identityName][i] ^= 1 << bit
			id, spoilt, err := loadIdentity(d, "f", "a")
			if err != nil || spoilt == nil && id.Incarnation != 7 || spoilt != nil && id.Incarnation != 0 {
				t.Fatalf("bit %d of byte %d: %+v, %v, %v", bit, i, id, spoilt, err)
			}
		}
	}
	d.files[identityName] = good
	if _, _, err := loadIdentity(d, "f", "b"); !errors.Is(err, ErrOtherNode) {
		t.Error(err)
	}
	if _, _, err := loadIdentity(d, "g", "a"); !errors.Is(err, ErrOtherNode) {
		t.Error(err)
	}
}
