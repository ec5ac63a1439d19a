// Package vfs abstracts the file system for all durable state of a process: a Folder of files whose writes, renames and
// removals are made durable explicitly. The logs and journals of both programs are written through it, so that tests can
// substitute a simulated disk (vfstest), which fails, fills up, stalls, or loses unsynced data.
//
// The package holds no state itself. Its callers own their folders; Lock excludes a second process from a folder.
package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Folder is a directory. Names are those of files in it. Implementations may be used concurrently for different
// files.
type Folder interface {
	// List returns the entries with their sizes. An entry that is not a regular file has size 0.
	List() ([]FileInfo, error)
	// Read returns the content of a file. It fails with ErrTooLarge if the file is larger than maxBytes.
	Read(name string, maxBytes int64) ([]byte, error)
	// Head returns up to maxBytes bytes from the beginning of a file.
	Head(name string, maxBytes int) ([]byte, error)
	// Create creates a file for appending. It fails if the file exists.
	Create(name string) (File, error)
	// Open opens an existing file for appending, and for reading at any offset.
	Open(name string) (OpenFile, error)
	// Cut durably truncates a file to a size.
	Cut(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes the creation, renaming and removal of files durable.
	Sync() error
}

// FileInfo is the name and the size in bytes of a file.
type FileInfo struct {
	Name string
	Size int64
}

// File is a file that is open for writing. Sync makes what was written durable.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// OpenFile is a File that can also be read.
type OpenFile interface {
	File
	io.ReaderAt
}

// ErrTooLarge is returned by Folder.Read for a file over the limit: this program writes no file of that size.
var ErrTooLarge = errors.New("larger than anything that was written here")

// Lock locks a folder and returns the file that holds the lock, or nil if another process holds it. Closing the file,
// or the end of the process, releases the lock.
func Lock(path string) (*os.File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening the state folder: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, f.Close()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("locking the state folder: %w", err), f.Close())
	}
	return f, nil
}

// Replace atomically and durably replaces the content of a file, or leaves the file as it was. It uses the name with the
// suffix ".new" for a temporary file.
func Replace(folder Folder, name string, text []byte) error {
	next := name + ".new"
	if err := folder.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := folder.Create(next)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := folder.Rename(next, name); err != nil {
		return err
	}
	return folder.Sync()
}

// Dir returns the folder at a path of the file system.
func Dir(path string) Folder { return dir(path) }

// dir is a Folder at a path of the file system.
type dir string

func (d dir) path(name string) string { return filepath.Join(string(d), name) }

// List implements Folder, as do the methods below.
func (d dir) List() ([]FileInfo, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var files []FileInfo
	for _, e := range entries {
		f := FileInfo{Name: e.Name()}
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() {
			f.Size = info.Size()
		} else if err != nil && !errors.Is(err, os.ErrNotExist) {
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// Read returns the content of a file.
func (d dir) Read(name string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	if info, err := f.Stat(); err != nil {
		return nil, err
	} else if info.Size() > maxBytes {
		return nil, fmt.Errorf("%s: %w", name, ErrTooLarge)
	}
	return io.ReadAll(io.LimitReader(f, maxBytes))
}

// Head returns the beginning of a file.
func (d dir) Head(name string, maxBytes int) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened only for reading
	return io.ReadAll(io.LimitReader(f, int64(maxBytes)))
}

// Create creates a file for appending, readable by its owner only.
func (d dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Open opens an existing file for appending and for reading.
func (d dir) Open(name string) (OpenFile, error) {
	return os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND, 0)
}

// Cut truncates a file and syncs it.
func (d dir) Cut(name string, size int64) error {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Rename renames a file within the folder.
func (d dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Sync syncs the folder itself.
func (d dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
