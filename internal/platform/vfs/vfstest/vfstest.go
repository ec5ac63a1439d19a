// Package vfstest has a folder in memory for tests: an operation of it can be made to fail, and
// at a loss of power it forgets what was not synced, or a part of that.
package vfstest

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"dunetide/internal/platform/vfs"
)

// ErrFull is what a failing operation says.
var ErrFull = fmt.Errorf("the disk is full: %w", syscall.ENOSPC)

// Disk is a vfs.Folder. Each creation, write, sync, close, renaming and removal is one
// operation. It is not safe for concurrent use.
type Disk struct {
	// FailAt is the operation that fails, counted from 1, and Fails how many from there on; a
	// write that fails has written half. 0: none does.
	FailAt, Fails int
	// Ops counts operations.
	Ops int
	// Room is how many bytes all files may have; a write beyond writes what fits. 0: no limit.
	Room int
	// Stall, if set, is called before each write and sync, and may block.
	Stall func()

	names, durable map[string]*inode
	pending        []func(map[string]*inode) // changes of names since the last sync of the folder
}

type inode struct {
	data, durable []byte
	writes        [][2]int // ranges written since the last sync
}

func (f *inode) sync() { f.durable, f.writes = slices.Clone(f.data), nil }

// New makes an empty one.
func New() *Disk { return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}} }

func (d *Disk) op() error {
	if d.Ops++; d.FailAt > 0 && d.Ops >= d.FailAt && d.Ops < d.FailAt+max(d.Fails, 1) {
		return ErrFull
	}
	return nil
}

func (d *Disk) change(do func(map[string]*inode)) {
	do(d.names)
	d.pending = append(d.pending, do)
}

// PowerLoss leaves what was synced, of what was written since a beginning that pick chooses,
// and of the names' changes as many. Pick draws from 0 to n-1.
func (d *Disk) PowerLoss(pick func(n int) int) {
	d.powerLoss(pick, func(f *inode) []byte {
		data := f.durable
		if more := len(f.data) - len(data); more > 0 {
			data = f.data[:len(data)+pick(more+1)]
		}
		return data
	})
}

// PowerLossEach is PowerLoss for a disk that orders nothing: pick chooses for each write since
// the last sync whether it is missing, there, or torn, and where; zeros are where something is
// missing before something that is there.
func (d *Disk) PowerLossEach(pick func(n int) int) {
	d.powerLoss(pick, func(f *inode) []byte {
		data := slices.Clone(f.durable)
		for _, w := range f.writes {
			end := w[0]
			switch pick(3) {
			case 1:
				end = w[1]
			case 2:
				end += pick(w[1] - w[0])
			}
			if end > w[0] {
				data = append(data, make([]byte, max(0, end-len(data)))...)
				copy(data[w[0]:end], f.data[w[0]:])
			}
		}
		return data
	})
}

func (d *Disk) powerLoss(pick func(n int) int, left func(*inode) []byte) {
	for _, do := range d.pending[:pick(len(d.pending)+1)] {
		do(d.durable)
	}
	d.names, d.pending = map[string]*inode{}, nil
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		data := left(d.durable[name])
		d.names[name] = newInode(data)
	}
	d.durable = maps.Clone(d.names)
}

// newInode is a file that is synced.
func newInode(data []byte) *inode {
	return &inode{data: slices.Clone(data), durable: slices.Clone(data)}
}

// Copy is another disk with the same files, all of them synced.
func (d *Disk) Copy() *Disk {
	c := New()
	for name, f := range d.names {
		c.names[name] = newInode(f.data)
	}
	c.durable = maps.Clone(c.names)
	return c
}

// File is the contents of a file, to be looked at and changed in place; nil: there is none.
func (d *Disk) File(name string) []byte {
	if f := d.names[name]; f != nil {
		return f.data
	}
	return nil
}

// Put makes a file, synced.
func (d *Disk) Put(name string, data []byte) {
	f := newInode(data)
	d.names[name], d.durable[name] = f, f
}

// The following are vfs.Folder's.

// List returns the files; vfs.Folder asks for it, as for the methods that follow.
func (d *Disk) List() (all []vfs.FileInfo, err error) {
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		all = append(all, vfs.FileInfo{Name: name, Size: int64(len(d.names[name].data))})
	}
	return all, nil
}

// Read returns the content of a file, with the damage that was planned.
func (d *Disk) Read(name string, most int64) ([]byte, error) {
	f := d.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	if int64(len(f.data)) > most {
		return nil, errors.New("larger than was asked for")
	}
	return slices.Clone(f.data), nil
}

// Head returns the beginning of a file.
func (d *Disk) Head(name string, most int) ([]byte, error) {
	f := d.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data[:min(most, len(f.data))]), nil
}

// Create creates a file. Its name is durable after Sync of the folder.
func (d *Disk) Create(name string) (vfs.File, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, fs.ErrExist
	}
	f := &inode{}
	d.change(func(names map[string]*inode) { names[name] = f })
	return &file{d, f}, nil
}

// Open opens an existing file.
func (d *Disk) Open(name string) (vfs.OpenFile, error) {
	f := d.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, f}, nil
}

// Cut truncates a file durably.
func (d *Disk) Cut(name string, size int64) error {
	if err := d.op(); err != nil {
		return err
	}
	f := d.names[name]
	f.data = f.data[:size]
	f.sync()
	return nil
}

// Rename renames a file. The new name is durable after Sync of the folder.
func (d *Disk) Rename(from, to string) error {
	if err := d.op(); err != nil {
		return err
	}
	if d.names[from] == nil {
		return fs.ErrNotExist
	}
	d.change(func(names map[string]*inode) {
		if f := names[from]; f != nil {
			names[to] = f
			delete(names, from)
		}
	})
	return nil
}

// Remove removes a file. That is durable after Sync of the folder.
func (d *Disk) Remove(name string) error {
	if err := d.op(); err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	d.change(func(names map[string]*inode) { delete(names, name) })
	return nil
}

// Sync makes the names of files durable.
func (d *Disk) Sync() error {
	if err := d.op(); err != nil {
		return err
	}
	d.durable, d.pending = maps.Clone(d.names), nil
	return nil
}

type file struct {
	disk  *Disk
	inode *inode
}

// Write appends bytes, which are durable after Sync.
func (w *file) Write(b []byte) (int, error) {
	w.disk.stall()
	if err := w.disk.op(); err != nil {
		w.append(b[:len(b)/2])
		return len(b) / 2, err
	}
	fits := w.disk.fits(len(b))
	w.append(b[:fits])
	if fits < len(b) {
		return fits, ErrFull
	}
	return len(b), nil
}

func (d *Disk) stall() {
	if d.Stall != nil {
		d.Stall()
	}
}

// fits tells how many of n bytes there is room for.
func (d *Disk) fits(n int) int {
	if d.Room == 0 {
		return n
	}
	return max(0, min(n, d.Room-d.Used()))
}

// Used is how many bytes all files have.
func (d *Disk) Used() (bytes int) {
	for _, f := range d.names {
		bytes += len(f.data)
	}
	return bytes
}

func (w *file) append(b []byte) {
	w.inode.writes = append(w.inode.writes, [2]int{len(w.inode.data), len(w.inode.data) + len(b)})
	w.inode.data = append(w.inode.data, b...)
}

// ReadAt reads bytes at an offset.
func (w *file) ReadAt(b []byte, at int64) (int, error) {
	return bytes.NewReader(w.inode.data).ReadAt(b, at)
}

// Truncate shortens the file.
func (w *file) Truncate(size int64) error {
	w.inode.data = w.inode.data[:size]
	w.inode.writes = slices.DeleteFunc(w.inode.writes, func(r [2]int) bool { return r[0] >= int(size) })
	for i := range w.inode.writes {
		w.inode.writes[i][1] = min(w.inode.writes[i][1], int(size))
	}
	return w.disk.op()
}

// Sync makes the content of the file durable.
func (w *file) Sync() error {
	w.disk.stall()
	if err := w.disk.op(); err != nil {
		return err
	}
	w.inode.sync()
	return nil
}

// Close closes the file.
func (w *file) Close() error { return w.disk.op() }
