package batch

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
)

// fullFolder is a folder whose files write only half of the data of each write while it is full.
type fullFolder struct {
	vfs.Folder
	full *atomic.Bool
}

func (f fullFolder) Create(name string) (vfs.File, error) {
	file, err := f.Folder.Create(name)
	return fullFile{file, f.full}, err
}

func (f fullFolder) Open(name string) (vfs.OpenFile, error) {
	file, err := f.Folder.Open(name)
	return fullOpenFile{file, f.full}, err
}

type fullFile struct {
	vfs.File
	full *atomic.Bool
}

func (f fullFile) Write(b []byte) (int, error) { return writeHalf(f.File, b, f.full) }

type fullOpenFile struct {
	vfs.OpenFile
	full *atomic.Bool
}

func (f fullOpenFile) Write(b []byte) (int, error) { return writeHalf(f.OpenFile, b, f.full) }

func writeHalf(to vfs.File, b []byte, full *atomic.Bool) (int, error) {
	if !full.Load() {
		return to.Write(b)
	}
	n, err := to.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

func waitClosed(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(30 * time.Second):
		t.Fatal("timeout waiting for " + what)
	}
}

// TestFullDiskEndsTheStoreAndKeepsItsLog: a store whose disk is full stops with ErrDiskFull, and
// still has its previous records when it is opened again.
func TestFullDiskEndsTheStoreAndKeepsItsLog(t *testing.T) {
	folder := fullFolder{vfs.Dir(t.TempDir()), &atomic.Bool{}}
	options := StoreOptions{Open: OpenIn(folder), Logf: t.Logf}
	folder.full.Store(true)
	if _, err := NewStore(options); !ErrDiskFull.Has(err) {
		t.Fatalf("opened with an empty log on a full disk: %v", err)
	}
	folder.full.Store(false)
	s, err := NewStore(options)
	if err != nil {
		t.Fatal(err)
	}
	id := s.ID()
	promise := func(s *Store, index int, term uint64) {
		s.enqueue(func() { s.core.appendRecord(encodeRecord(recordPromise, index, term)) })
	}
	promise(s, 3, 7)
	s.enqueue(func() { folder.full.Store(true) })
	promise(s, 4, 9)
	promise(s, 5, 11)
	waitClosed(t, "the store to stop", s.Done())
	waitClosed(t, "the log to be released", s.Stopped())
	if err := s.Err(); !ErrDiskFull.Has(err) {
		t.Error(err)
	}
	if _, err := NewStore(options); !ErrDiskFull.Has(err) {
		t.Errorf("opened on a full disk: %v", err)
	}
	folder.full.Store(false)
	s, err = NewStore(options)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { s.Close(); <-s.Stopped() }()
	read := make(chan [3]uint64, 1)
	s.enqueue(func() {
		promised := func(index int) uint64 { return s.core.partition(index).promisedTerm }
		read <- [3]uint64{promised(3), promised(4), promised(5)}
	})
	if promised := <-read; s.ID() != id || promised != [3]uint64{7, 0, 0} {
		t.Errorf("identity %d, was %d; promises %v", s.ID(), id, promised)
	}
}

// stalledFolder is a folder whose writes block until release is closed, from the first write after
// stalled is set.
type stalledFolder struct {
	vfs.Folder
	stalled *atomic.Bool
	reached chan struct{}
	release chan struct{}
}

func (f stalledFolder) Open(name string) (vfs.OpenFile, error) {
	file, err := f.Folder.Open(name)
	return stalledFile{file, f}, err
}

type stalledFile struct {
	vfs.OpenFile
	folder stalledFolder
}

func (f stalledFile) Write(b []byte) (int, error) {
	if f.folder.stalled.Load() {
		close(f.folder.reached)
		<-f.folder.release
	}
	return f.OpenFile.Write(b)
}

// TestStalledDiskDoesNotDelayTheEnd: a store that is closed during a write stops at once, and its
// log stays in use until the write has returned.
func TestStalledDiskDoesNotDelayTheEnd(t *testing.T) {
	folder := stalledFolder{vfs.Dir(t.TempDir()), &atomic.Bool{}, make(chan struct{}), make(chan struct{})}
	s, err := NewStore(StoreOptions{Open: OpenIn(folder), Logf: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	folder.stalled.Store(true)
	s.enqueue(func() { s.core.appendRecord(encodeRecord(recordPromise, 3, 7)) })
	waitClosed(t, "the write", folder.reached)
	s.Close()
	waitClosed(t, "the store to stop", s.Done())
	select {
	case <-s.Stopped():
		t.Error("Stopped is closed during a write")
	default:
	}
	folder.stalled.Store(false)
	close(folder.release)
	waitClosed(t, "the log to be released", s.Stopped())
}
