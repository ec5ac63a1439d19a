package journal

import (
	"errors"
	"fmt"
	"os"
	"time"

	"dunetide/internal/platform/vfs"
)

// durableWait is the longest wait for a sync. A client waits for its answer for 400 ms.
const durableWait = 300 * time.Millisecond

var (
	// ErrNotDurable is returned for a message that was written but may not survive a loss of power, because the disk
	// failed or was too slow.
	ErrNotDurable = errors.New("not known to be durable")
	// ErrFailed is returned after the disk has failed: the journal accepts no more messages.
	ErrFailed = errors.New("the disk failed")
	errSlow   = fmt.Errorf("the disk takes over %v", durableWait)
)

// syncer makes the written bytes durable with one sync for all callers that wait. It is guarded by the journal's lock.
type syncer struct {
	written, synced uint64 // bytes written, and bytes known to be durable, since Begin
	waiting         []waiter
	running         bool  // syncAll is running
	failed          error // permanent: the kernel may have dropped what it had not written
	count           int64 // syncs since Begin
}

// waiter is a caller that waits until all bytes up to a place are durable.
type waiter struct {
	place uint64
	done  chan error
}

// durable waits until all bytes up to a place are durable, but no longer than durableWait. Without Options.Sync it
// returns at once.
func (j *Journal) durable(place uint64) error {
	if !j.sync || place == 0 {
		return nil
	}
	j.mu.Lock()
	s := &j.syncer
	if s.failed != nil || s.synced >= place {
		defer j.mu.Unlock()
		return s.failed
	}
	w := waiter{place: place, done: make(chan error, 1)}
	s.waiting = append(s.waiting, w)
	if !s.running {
		s.running = true
		go j.syncAll()
	}
	j.mu.Unlock()
	timer := time.NewTimer(durableWait)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
		return errSlow
	}
}

// syncAll syncs as long as there are waiters.
func (j *Journal) syncAll() {
	s := &j.syncer
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(s.waiting) > 0 && s.failed == nil {
		file, place := j.file, s.written
		j.mu.Unlock()
		err := file.Sync()
		j.mu.Lock()
		j.synced(file, place, err)
	}
	s.running = false
}

// synced handles the result of a sync of a segment up to a place, and answers the waiters. A segment that was closed
// meanwhile, because a new one was started, had been synced before.
func (j *Journal) synced(file vfs.File, place uint64, err error) {
	s := &j.syncer
	s.count++
	if err != nil && !(file != j.file && errors.Is(err, os.ErrClosed)) {
		// Also if a new segment was started meanwhile, because the kernel reports a failure only once.
		_ = j.fail(err) // the waiters get it below
	}
	if err == nil {
		s.synced = max(s.synced, place)
	}
	left := s.waiting[:0]
	for _, w := range s.waiting {
		switch {
		case w.place <= s.synced:
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

// fail makes the journal refuse messages from now on and returns the error to return to callers: the kernel may have
// dropped what it had not written, and the next sync would not report it.
func (j *Journal) fail(err error) error {
	if j.syncer.failed == nil {
		j.syncer.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		j.log.Error("journal: the disk failed, nothing more is taken", "err", err)
	}
	return j.syncer.failed
}

// syncFile makes the newest segment durable if Options.Sync is set. The lock is held.
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
	place := j.syncer.written
	j.mu.Unlock()
	return j.durable(place)
}

// Failed returns the error for which the journal refuses messages, or nil.
func (j *Journal) Failed() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.syncer.failed
}
