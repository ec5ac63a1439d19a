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

// adoptAbandoned takes over the journals that no process has locked: those of former members. It reports whether all
// journals now belong to a running process.
func (pg *processGroup) adoptAbandoned() (all bool) {
	if !pg.group.MaySend() {
		return false
	}
	pg.mu.Lock()
	defer pg.mu.Unlock()
	return pg.adopt()
}

func (pg *processGroup) adopt() (all bool) {
	all = true
	for n := -1; n < pg.slots; n++ {
		path := pg.path(n)
		if n < 0 {
			path = pg.cfg.State
		}
		if n == pg.own.number || pg.isAdopted(n) {
			continue
		}
		print := fingerprint(path)
		if print == "" || pg.skipped[n] == print {
			continue
		}
		lock, err := pg.lockAbandoned(n, path)
		if err != nil {
			pg.log.Error("group: locking a journal failed", "folder", path, "err", err)
			all = false
		}
		if lock == nil {
			continue
		}
		s := &slot{number: n, path: path, lock: lock}
		owes, err := pg.adoptSlot(s)
		if err != nil {
			pg.log.Error("group: adopting the journal of a former member failed", "folder", path, "err", err)
			all = false
		}
		if !owes {
			pg.skipped[n] = fingerprint(path)
			_ = lock.Close() // nothing was written
		}
	}
	return all
}

// lockAbandoned locks a slot; it returns nil if another process has it. The journal of a node without a group is in the folder
// that all members share, so a separate file is locked for it.
func (pg *processGroup) lockAbandoned(n int, path string) (*os.File, error) {
	if n >= 0 {
		s, err := pg.lockSlot(n, path)
		if s == nil {
			return nil, err
		}
		return s.lock, nil
	}
	f, err := os.OpenFile(filepath.Join(pg.cfg.State, groupFolder, "alone"), os.O_CREATE|os.O_RDWR, 0o600)
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

func (pg *processGroup) isAdopted(n int) bool {
	for _, s := range pg.adopted {
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

// adoptSlot adopts a journal if it has pending messages. It adds the journal's ids to the intake before a client can send one of
// the messages again.
func (pg *processGroup) adoptSlot(s *slot) (owes bool, err error) {
	report, err := journal.Check(vfs.Dir(s.path), max(pg.cfg.DiskBytes, 64<<20))
	if err != nil {
		return false, err
	}
	alone := pg.alone()
	if report.Owed == 0 && !alone {
		j, err := journal.Replay(pg.options(s))
		if err != nil {
			return false, err
		}
		for _, id := range j.EndedIDs() {
			pg.loop.intake.addEnded(id)
		}
		return false, nil
	}
	if report.Owed == 0 { // for its records of endpoints and of recent calls
		j, err := journal.Replay(pg.options(s))
		if err != nil {
			return false, err
		}
		pg.postJournal(&adoptedJournal{journal: j, alone: true})
		return false, nil
	}
	j, pending, err := journal.Open(pg.options(s))
	if err != nil {
		return false, err
	}
	s.journal = j
	pg.postJournal(&adoptedJournal{journal: j, pending: pending, alone: alone})
	pg.adopted = append(pg.adopted, s)
	pg.adoptions++
	pg.log.Info("group: adopted the journal of a former member", "folder", s.path, "owed", len(pending))
	return true, nil
}

// postJournal passes a former member's journal to the loop.
func (pg *processGroup) postJournal(in *adoptedJournal) {
	for _, id := range in.journal.EndedIDs() {
		pg.loop.intake.addEnded(id)
	}
	for _, m := range in.pending {
		pg.loop.intake.addInherited(m.ID)
	}
	pg.loop.post(in)
}

// closeFinished closes the adopted journals that have no more pending messages.
func (pg *processGroup) closeFinished() {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	keep := pg.adopted[:0]
	for _, s := range pg.adopted {
		if s.journal.Status().Live > 0 {
			keep = append(keep, s)
			continue
		}
		if err := s.journal.Close(); err != nil {
			pg.log.Warn("group: closing an adopted journal failed", "folder", s.path, "err", err)
		}
		pg.skipped[s.number] = fingerprint(s.path)
		pg.log.Info("group: all messages of an adopted journal have ended", "folder", s.path)
		_ = s.lock.Close() // the kernel releases the lock in any case
	}
	pg.adopted = keep
}

// close closes the journals that are still adopted; other members continue with them.
func (pg *processGroup) close() error {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	var errs []error
	for _, s := range pg.adopted {
		errs = append(errs, s.journal.Close(), s.lock.Close())
	}
	pg.adopted = nil
	return errors.Join(append(errs, pg.state.Close())...)
}
