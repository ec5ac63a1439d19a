// Package vfstest provides an in-memory folder for tests: operations can be made to fail, and a simulated power loss
// discards all or part of the unsynced data.
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

// ErrFull is the error of a failing operation.
var ErrFull = fmt.Errorf("the disk is full: %w", syscall.ENOSPC)

// Disk is a vfs.Folder. Each creation, write, sync, close, rename and removal is one operation. It is not safe for
// concurrent use.
type Disk struct {
	// FailAt is the operation that fails, counted from 1 (0: none), and Fails how many operations fail from it on (0
	// is treated as 1). A write that fails writes half of its bytes.
	FailAt, Fails int
	// Ops is the number of operations so far.
	Ops int
	// Capacity is the capacity for all files together, in bytes; a write beyond it writes what fits. 0: unlimited.
	Capacity int
	// Stall, if set, is called before each write and sync, and may block.
	Stall func()

	names, durable map[string]*inode
	pending        []func(map[string]*inode) // changes of directory entries since the last sync of the folder
}

type inode struct {
	data, durable []byte
	writes        [][2]int // ranges written since the last sync
}

func (f *inode) sync() { f.durable, f.writes = slices.Clone(f.data), nil }

// New returns an empty disk.
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

// PowerLoss simulates a power loss: synced data survives, and of unsynced appends and directory changes a prefix
// each, whose length pick chooses. pick(n) returns a number from 0 to n-1.
func (d *Disk) PowerLoss(pick func(n int) int) {
	d.powerLoss(pick, func(f *inode) []byte {
		data := f.durable
		if more := len(f.data) - len(data); more > 0 {
			data = f.data[:len(data)+pick(more+1)]
		}
		return data
	})
}

// PowerLossEach is PowerLoss for a disk that reorders writes: for each write since the last sync, pick chooses
// whether it is lost, complete, or torn, and where; lost data before surviving data reads as zeros.
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

func (d *Disk) powerLoss(pick func(n int) int, surviving func(*inode) []byte) {
	for _, do := range d.pending[:pick(len(d.pending)+1)] {
		do(d.durable)
	}
	d.names, d.pending = map[string]*inode{}, nil
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		data := surviving(d.durable[name])
		d.names[name] = newInode(data)
	}
	d.durable = maps.Clone(d.names)
}

// newInode returns a synced file.
func newInode(data []byte) *inode {
	return &inode{data: slices.Clone(data), durable: slices.Clone(data)}
}

// Copy returns another disk with the same files, all of them synced.
func (d *Disk) Copy() *Disk {
	c := New()
	for name, f := range d.names {
		c.names[name] = newInode(f.data)
	}
	c.durable = maps.Clone(c.names)
	return c
}

// File returns the content of a file, which the caller may modify in place; nil: the file does not exist.
func (d *Disk) File(name string) []byte {
	if f := d.names[name]; f != nil {
		return f.data
	}
	return nil
}

// Put creates or replaces a file, synced.
func (d *Disk) Put(name string, data []byte) {
	f := newInode(data)
	d.names[name], d.durable[name] = f, f
}

// The methods below implement vfs.Folder.

// List returns the files, sorted by name.
func (d *Disk) List() (all []vfs.FileInfo, err error) {
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		all = append(all, vfs.FileInfo{Name: name, Size: int64(len(d.names[name].data))})
	}
	return all, nil
}

// Read returns the content of a file.
func (d *Disk) Read(name string, maxBytes int64) ([]byte, error) {
	f := d.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	if int64(len(f.data)) > maxBytes {
		return nil, errors.New("larger than the limit of the read")
	}
	return slices.Clone(f.data), nil
}

// Head returns the beginning of a file.
func (d *Disk) Head(name string, maxBytes int) ([]byte, error) {
	f := d.names[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data[:min(maxBytes, len(f.data))]), nil
}

// Create creates a file. Its name is durable after a Sync of the folder.
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

// Cut durably truncates a file.
func (d *Disk) Cut(name string, size int64) error {
	if err := d.op(); err != nil {
		return err
	}
	f := d.names[name]
	f.data = f.data[:size]
	f.sync()
	return nil
}

// Rename renames a file. The new name is durable after a Sync of the folder.
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

// Remove removes a file. The removal is durable after a Sync of the folder.
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

// Sync makes the directory entries durable.
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

// Write appends bytes, which are durable after a Sync.
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

// fits returns how many of n bytes fit on the disk.
func (d *Disk) fits(n int) int {
	if d.Capacity == 0 {
		return n
	}
	return max(0, min(n, d.Capacity-d.Used()))
}

// Used returns the total size of all files, in bytes.
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
