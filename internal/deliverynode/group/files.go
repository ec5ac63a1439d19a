package group

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

const (
	memberPrefix = "member-"
	leadFormat   = "lead-%08d"
	viewFormat   = "view-%016x"
	newView      = "view.new"
	// retainedViews is the number of views kept on disk. More than one, as the last may be torn.
	retainedViews = 2
	maxView       = 64 << 10
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// folder is the path of the directory with the group's locks and views.
type folder string

func (d folder) path(name string) string { return filepath.Join(string(d), name) }

// lock creates a file if needed and locks it; it returns nil if another process holds the lock.
// The kernel releases the lock when its holder exits.
func (d folder) lock(name string) (*os.File, error) {
	for {
		f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return nil, err
		}
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, f.Close()
		}
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		// Between open and lock, another process may have removed it as a dead member's file.
		opened, err := f.Stat()
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		if current, err := os.Stat(d.path(name)); err == nil && os.SameFile(opened, current) {
			return f, nil
		}
		if err := f.Close(); err != nil {
			return nil, err
		}
	}
}

// removeDead removes the files of a dead member.
func (d folder) removeDead(id ID) error {
	f, err := d.lock(memberPrefix + string(id))
	if err != nil || f == nil { // the member is alive, or another process is removing its files
		return err
	}
	var errs []error
	for _, name := range []string{socketName + string(id), memberPrefix + string(id)} {
		if err := os.Remove(d.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(append(errs, f.Close())...)
}

// locked reports whether a file exists and is locked.
func (d folder) locked(name string) (bool, error) {
	f, err := os.Open(d.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = f.Close() }() // it was not written
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return true, nil
	}
	return false, err
}

// members returns the IDs that have a member file, alive or dead.
func (d folder) members() ([]ID, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var ids []ID
	for _, e := range entries {
		if id, ok := strings.CutPrefix(e.Name(), memberPrefix); ok && e.Type().IsRegular() {
			ids = append(ids, ID(id))
		}
	}
	return ids, nil
}

// term returns the latest term that has had a leader, 0 for none.
func (d folder) term() (int, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return 0, err
	}
	last := 0
	for _, e := range entries {
		var n int
		if _, err := fmt.Sscanf(e.Name(), leadFormat, &n); err == nil && e.Name() == fmt.Sprintf(leadFormat, n) {
			last = max(last, n)
		}
	}
	return last, nil
}

// acquireTerm tries to lock a term that has had no leader. On success it removes the lock files of earlier terms.
func (d folder) acquireTerm(term int) (*os.File, error) {
	f, err := d.lock(fmt.Sprintf(leadFormat, term))
	if err != nil || f == nil {
		return nil, err
	}
	if last, err := d.term(); err != nil || last > term {
		return nil, errors.Join(err, f.Close())
	}
	for old := term - 1; old > 0; old-- {
		if err := os.Remove(d.path(fmt.Sprintf(leadFormat, old))); err != nil {
			break // earlier files have been removed already
		}
	}
	return f, nil
}

// views reads all views on disk. epoch is the highest in a view's file name, also of an unreadable
// view; torn reports whether a view is unreadable.
func (d folder) views() (views []View, epoch uint64, torn bool, err error) {
	names, err := d.viewNames()
	if err != nil {
		return nil, 0, false, err
	}
	for _, name := range names {
		var n uint64
		_, _ = fmt.Sscanf(name, viewFormat, &n) // viewNames has checked the format
		epoch = max(epoch, n)
		v, err := d.readView(name)
		if err != nil || v.Epoch != n {
			torn = true
			continue
		}
		if v.Version > Version {
			return nil, 0, false, fmt.Errorf("%s: %w: %d, this process supports %d", name, ErrVersion, v.Version, Version)
		}
		views = append(views, v)
	}
	return views, epoch, torn, nil
}

// viewNames returns the file names of the views, oldest first.
func (d folder) viewNames() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		var n uint64
		if _, err := fmt.Sscanf(e.Name(), viewFormat, &n); err == nil && e.Name() == fmt.Sprintf(viewFormat, n) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d folder) readView(name string) (View, error) {
	data, err := os.ReadFile(d.path(name))
	if err != nil {
		return View{}, err
	}
	if len(data) < 4 || len(data) > maxView || crc32.Checksum(data[4:], crcTable) != binary.LittleEndian.Uint32(data) {
		return View{}, errors.New("view checksum mismatch")
	}
	var v View
	if err := json.Unmarshal(data[4:], &v); err != nil {
		return View{}, err
	}
	if !slices.IsSortedFunc(v.Shares, func(a, b Share) int { return strings.Compare(string(a.Member), string(b.Member)) }) {
		return View{}, errors.New("view is not sorted by member")
	}
	return v, nil
}

// writeView writes a view atomically and removes the oldest ones.
func (d folder) writeView(v View) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	data := append(binary.LittleEndian.AppendUint32(nil, crc32.Checksum(text, crcTable)), text...)
	if err := os.WriteFile(d.path(newView), data, 0o600); err != nil {
		return fmt.Errorf("writing a view: %w", err)
	}
	if err := os.Rename(d.path(newView), d.path(fmt.Sprintf(viewFormat, v.Epoch))); err != nil {
		return fmt.Errorf("writing a view: %w", err)
	}
	names, err := d.viewNames()
	if err != nil {
		return err
	}
	for len(names) > retainedViews {
		if err := os.Remove(d.path(names[0])); err != nil {
			return fmt.Errorf("removing an old view: %w", err)
		}
		names = names[1:]
	}
	return nil
}
