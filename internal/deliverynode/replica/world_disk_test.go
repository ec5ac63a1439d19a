package replica

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

// wdisk is a simulated disk with folders, safe for concurrent use.
type wdisk struct {
	mu      sync.Mutex
	folders map[string]*vfstest.Disk
	places  map[string]int // of each folder
	next    int
}

func newWdisk() *wdisk {
	d := &wdisk{folders: map[string]*vfstest.Disk{}, places: map[string]int{}}
	_, _ = d.Open("") // it never fails
	return d
}

func (d *wdisk) Open(name string) (vfs.Folder, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.folders[name] == nil {
		d.next++
		d.folders[name], d.places[name] = vfstest.New(), d.next
	}
	return &wfolder{d, d.folders[name]}, nil
}

func (d *wdisk) List() (names []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.folders {
		if name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d *wdisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.folders, name)
	return nil
}

func (d *wdisk) Top() vfs.Folder { f, _ := d.Open(""); return f }

func (d *wdisk) Place(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprint("place ", d.places[name])
}

// elsewhere changes the place of all folders, as after a power failure or on another machine.
func (d *wdisk) elsewhere() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.places {
		d.next++
		d.places[name] = d.next
	}
}

func (d *wdisk) powerLoss(pick func(int) int) {
	d.mu.Lock()
	for _, f := range d.folders {
		f.PowerLoss(pick)
	}
	d.mu.Unlock()
	d.elsewhere()
}

func (d *wdisk) clone() *wdisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &wdisk{folders: map[string]*vfstest.Disk{}, places: map[string]int{}, next: d.next + 1000}
	for name, f := range d.folders {
		c.folders[name], c.places[name] = f.Copy(), d.places[name]
	}
	return c
}

type wfolder struct {
	d *wdisk
	f *vfstest.Disk
}

func (f *wfolder) do(what func()) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	what()
}

func (f *wfolder) List() (all []vfs.FileInfo, err error) {
	f.do(func() { all, err = f.f.List() })
	return
}
func (f *wfolder) Read(name string, most int64) (b []byte, err error) {
	f.do(func() { b, err = f.f.Read(name, most) })
	return
}
func (f *wfolder) Head(name string, most int) (b []byte, err error) {
	f.do(func() { b, err = f.f.Head(name, most) })
	return
}
func (f *wfolder) Create(name string) (file vfs.File, err error) {
	f.do(func() { file, err = f.f.Create(name) })
	if err != nil {
		return nil, err
	}
	return &wfile{f, file}, nil
}
func (f *wfolder) Open(name string) (file vfs.OpenFile, err error) {
	f.do(func() { file, err = f.f.Open(name) })
	if err != nil {
		return nil, err
	}
	return &wopen{wfile{f, file}, file}, nil
}
func (f *wfolder) Cut(name string, size int64) (err error) {
	f.do(func() { err = f.f.Cut(name, size) })
	return
}
func (f *wfolder) Rename(from, to string) (err error) {
	f.do(func() { err = f.f.Rename(from, to) })
	return
}
func (f *wfolder) Remove(name string) (err error) {
	f.do(func() { err = f.f.Remove(name) })
	return
}
func (f *wfolder) Sync() (err error) { f.do(func() { err = f.f.Sync() }); return }

type wfile struct {
	f    *wfolder
	file vfs.File
}

func (w *wfile) Write(b []byte) (n int, err error) {
	w.f.do(func() { n, err = w.file.Write(b) })
	return
}
func (w *wfile) Truncate(size int64) (err error) {
	w.f.do(func() { err = w.file.Truncate(size) })
	return
}
func (w *wfile) Sync() (err error)  { w.f.do(func() { err = w.file.Sync() }); return }
func (w *wfile) Close() (err error) { w.f.do(func() { err = w.file.Close() }); return }

type wopen struct {
	wfile
	at io.ReaderAt
}

func (w *wopen) ReadAt(b []byte, at int64) (n int, err error) {
	w.f.do(func() { n, err = w.at.ReadAt(b, at) })
	return
}
