package journal

import (
	"errors"
	"fmt"
	"os"
	"time"

	"dunetide/internal/platform/vfs"
)

// syncTimeout is the longest wait for a sync. It is below the 400 ms for which a client waits for its answer.
const syncTimeout = 300 * time.Millisecond

var (
	// ErrNotDurable is returned for a message that was written but may not survive a loss of power, because the disk
	// failed or was too slow.
	ErrNotDurable = errors.New("not known to be durable")
	// ErrFailed is returned after a disk failure: the journal accepts no more messages.
	ErrFailed      = errors.New("the disk failed")
	errSyncTimeout = fmt.Errorf("the disk takes over %v", syncTimeout)
)

// syncer makes the written bytes durable with one sync for all waiting callers (group commit). The journal's lock guards it.
type syncer struct {
	written, synced uint64 // bytes written, and bytes known to be durable, since Begin
	waiting         []waiter
	running         bool  // syncAll is running
	failed          error // permanent: the kernel may have dropped unwritten pages
	count           int64 // syncs since Begin
}

// waiter is a caller that waits until all bytes up to a log position are durable.
type waiter struct {
	position uint64
	done     chan error
}

// awaitDurable waits until all bytes up to a log position are durable, but no longer than syncTimeout. Without Options.Sync it
// returns at once.
func (j *Journal) awaitDurable(position uint64) error {
	if !j.sync || position == 0 {
		return nil
	}
	j.mu.Lock()
	s := &j.syncer
	if s.failed != nil || s.synced >= position {
		defer j.mu.Unlock()
		return s.failed
	}
	w := waiter{position: position, done: make(chan error, 1)}
	s.waiting = append(s.waiting, w)
	if !s.running {
		s.running = true
		go j.syncAll()
	}
	j.mu.Unlock()
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
		return errSyncTimeout
	}
}

// syncAll syncs until there are no waiters or the disk fails.
func (j *Journal) syncAll() {
	s := &j.syncer
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(s.waiting) > 0 && s.failed == nil {
		file, position := j.file, s.written
		j.mu.Unlock()
		err := file.Sync()
		j.mu.Lock()
		j.synced(file, position, err)
	}
	s.running = false
}

// synced handles the result of a sync of a segment up to a log position, and answers the waiters. os.ErrClosed for a segment
// that is no longer the newest is not a failure: a segment is synced before it is closed.
func (j *Journal) synced(file vfs.File, position uint64, err error) {
	s := &j.syncer
	s.count++
	if err != nil && !(file != j.file && errors.Is(err, os.ErrClosed)) {
		// A failure counts even if a new segment was started meanwhile, because the kernel reports it only once.
		_ = j.fail(err) // the waiters get the error below
	}
	if err == nil {
		s.synced = max(s.synced, position)
	}
	left := s.waiting[:0]
	for _, w := range s.waiting {
		switch {
		case w.position <= s.synced:
			w.done <- nil
		case s.failed != nil:
			w.done <- s.failed
		default:
			left = append(left, w)
		}
	}
	clear(s.waiting[len(left):])
	s.waiting = left
}

// fail makes the journal refuse messages from now on, and returns the error for callers. The failure is permanent because the
// kernel may have dropped unwritten pages, and the next sync would not report that.
func (j *Journal) fail(err error) error {
	if j.syncer.failed == nil {
		j.syncer.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		j.log.Error("journal: the disk failed; no more messages are accepted", "err", err)
	}
	return j.syncer.failed
}

// syncFile makes the newest segment durable if Options.Sync is set. The caller holds the lock.
func (j *Journal) syncFile() error {
	s := &j.syncer
	if !j.sync || j.file == nil {
		return nil
	}
	if s.failed != nil {
		return s.failed
	}
	if s.synced >= s.written {
		return nil
	}
	j.synced(j.file, s.written, j.file.Sync())
	return s.failed
}

// Sync waits until everything written so far is durable, if Options.Sync is set.
func (j *Journal) Sync() error {
	j.mu.Lock()
	position := j.syncer.written
	j.mu.Unlock()
	return j.awaitDurable(position)
}

// Failed returns the error for which the journal refuses messages, or nil.
func (j *Journal) Failed() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.syncer.failed
}
