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

// adoptDead takes over the journals that no process has locked: those of former members. It returns false if one could not
// be taken over.
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
			co.log.Error("group: locking a journal failed", "folder", path, "err", err)
			all = false
		}
		if lock == nil {
			continue
		}
		s := &slot{number: n, path: path, lock: lock}
		owes, err := co.inherit(s)
		if err != nil {
			co.log.Error("group: adopting the journal of a former member failed", "folder", path, "err", err)
			all = false
		}
		if !owes {
			co.looked[n] = fingerprint(path)
			_ = lock.Close() // nothing was written
		}
	}
	return all
}

// lockDead locks a slot; it returns nil if another process has it. The journal of a node without a group is in the folder
// that all members share, so a separate file is locked for it.
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

// fingerprint returns the names and sizes of a journal's files, to detect changes; "" where there is no journal.
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

// inherit adopts a journal if it has pending messages. It adds the journal's ids to the intake before a client can send one of
// the messages again.
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
	if report.Owed == 0 { // for its records of endpoints and of recent calls
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
	co.log.Info("group: adopted the journal of a former member", "folder", s.path, "owed", len(owed))
	return true, nil
}

// pass passes a former member's journal to the loop.
func (co *processGroup) pass(in *inheritance) {
	for _, id := range in.journal.OverIDs() {
		co.loop.intake.wasOver(id)
	}
	for _, m := range in.owed {
		co.loop.intake.inherits(m.ID)
	}
	co.loop.post(in)
}

// letGo closes the adopted journals that have no more pending messages.
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
			co.log.Warn("group: closing an adopted journal failed", "folder", s.path, "err", err)
		}
		co.looked[s.number] = fingerprint(s.path)
		co.log.Info("group: all messages of an adopted journal have ended", "folder", s.path)
		_ = s.lock.Close() // the kernel releases the lock in any case
	}
	co.adopted = keep
}

// close closes the journals that are still adopted; other members continue with them.
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
