package node

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/vfs"
)

// adoptDead takes over the journals that nobody has a lock on. It tells whether all there are
// belong to somebody who lives.
func (co *processGroup) adoptDead() (all bool) {
	if !co.group.MaySend() {
		return false
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.adopt()
}

func (co *processGroup) adopt() (all bool) {
	all = true
	for n := -1; n < co.slots; n++ {
		path := co.path(n)
		if n < 0 {
			path = co.cfg.State
		}
		if n == co.mine.number || co.isAdopted(n) {
			continue
		}
		print := fingerprint(path)
		if print == "" || co.looked[n] == print {
			continue
		}
		lock, err := co.lockDead(n, path)
		if err != nil {
			co.log.Error("group: a journal that can't be locked", "folder", path, "err", err)
			all = false
		}
		if lock == nil {
			continue
		}
		s := &slot{number: n, path: path, lock: lock}
		owes, err := co.inherit(s)
		if err != nil {
			co.log.Error("group: a dead member's journal can't be adopted", "folder", path, "err", err)
			all = false
		}
		if !owes {
			co.looked[n] = fingerprint(path)
			_ = lock.Close() // nothing was written
		}
	}
	return all
}

// lockDead locks a slot that nobody has. That of a node without a group lies in the folder
// that all members share, so there is a file to lock.
func (co *processGroup) lockDead(n int, path string) (*os.File, error) {
	if n >= 0 {
		s, err := co.seize(n, path)
		if s == nil {
			return nil, err
		}
		return s.lock, nil
	}
	f, err := os.OpenFile(filepath.Join(co.cfg.State, groupFolder, "alone"), os.O_CREATE|os.O_RDWR, 0o600)
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
	return f, nil
}

func (co *processGroup) isAdopted(n int) bool {
	for _, s := range co.adopted {
		if s.number == n {
			return true
		}
	}
	return false
}

// fingerprint tells whether a journal has changed; empty where there is none.
func fingerprint(path string) string {
	entries, err := os.ReadDir(path)
	if err != nil {
		return ""
	}
	var b strings.Builder
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() && strings.HasPrefix(e.Name(), "journal-") {
			fmt.Fprintf(&b, "%s %d;", e.Name(), info.Size())
		}
	}
	return b.String()
}

// inherit adopts a journal, if it owes anything. Its ids are known here before a client can
// hand one in again.
func (co *processGroup) inherit(s *slot) (owes bool, err error) {
	report, err := journal.Check(vfs.Dir(s.path), max(co.cfg.DiskBytes, 64<<20))
	if err != nil {
		return false, err
	}
	alone := co.alone()
	if report.Owed == 0 && !alone {
		j, err := journal.Replay(co.options(s))
		if err != nil {
			return false, err
		}
		for _, id := range j.OverIDs() {
			co.loop.intake.wasOver(id)
		}
		return false, nil
	}
	if report.Owed == 0 { // for what it says of endpoints, and of calls of late
		j, err := journal.Replay(co.options(s))
		if err != nil {
			return false, err
		}
		co.pass(&inheritance{journal: j, alone: true})
		return false, nil
	}
	j, owed, err := journal.Open(co.options(s))
	if err != nil {
		return false, err
	}
	s.journal = j
	co.pass(&inheritance{journal: j, owed: owed, alone: alone})
	co.adopted = append(co.adopted, s)
	co.adoptions++
	co.log.Info("group: adopted a dead member's journal", "folder", s.path, "owed", len(owed))
	return true, nil
}

// pass hands a dead member's estate to the loop.
func (co *processGroup) pass(in *inheritance) {
	for _, id := range in.journal.OverIDs() {
		co.loop.intake.wasOver(id)
	}
	for _, m := range in.owed {
		co.loop.intake.inherits(m.ID)
	}
	co.loop.post(in)
}

// letGo gives back the journals that owe nothing any more.
func (co *processGroup) letGo() {
	co.mu.Lock()
	defer co.mu.Unlock()
	keep := co.adopted[:0]
	for _, s := range co.adopted {
		if s.journal.Status().Live > 0 {
			keep = append(keep, s)
			continue
		}
		if err := s.journal.Close(); err != nil {
			co.log.Warn("group: closing a dead member's journal", "folder", s.path, "err", err)
		}
		co.looked[s.number] = fingerprint(s.path)
		co.log.Info("group: a dead member's journal is worked off", "folder", s.path)
		_ = s.lock.Close() // the kernel lets go of it in any case
	}
	co.adopted = keep
}

// close lets go of all that is adopted still; others go on with it.
func (co *processGroup) close() error {
	co.mu.Lock()
	defer co.mu.Unlock()
	var errs []error
	for _, s := range co.adopted {
		errs = append(errs, s.journal.Close(), s.lock.Close())
	}
	co.adopted = nil
	return errors.Join(append(errs, co.state.Close())...)
}
