package journal

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// durableWait is how long one waits for the disk: a client waits for 400 ms.
const durableWait = 300 * time.Millisecond

var (
	// ErrNotDurable says that a message was written and is not known to outlast a loss of
	// power: the disk failed, or was too slow.
	ErrNotDurable = errors.New("not known to be durable")
	// ErrFailed says that the disk failed before, and nothing more is taken.
	ErrFailed = errors.New("the disk failed")
	errSlow   = fmt.Errorf("the disk takes over %v", durableWait)
)

// syncer makes what was written durable, for all that wait together. It is guarded by the
// journal's lock.
type syncer struct {
	written, synced uint64 // bytes so far
	waiting         []waiter
	running         bool
	failed          error // for good: what the kernel had may be gone
	count           int64
}

type waiter struct {
	place uint64
	done  chan error
}

// durable waits until what was written up to a place outlasts a loss of power.
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

// syncAll syncs for as long as anything waits.
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

// synced takes in how a sync of the newest segment ended. One that was closed meanwhile,
// as another has taken its place, was synced before that.
func (j *Journal) synced(file File, place uint64, err error) {
	s := &j.syncer
	s.count++
	if err != nil && !(file != j.file && errors.Is(err, os.ErrClosed)) {
		// Also of a segment that another has taken the place of: a failure is told once.
		_ = j.fail(err) // it is told to those who wait
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

// fail stops the taking of messages, for good: what the kernel had may be gone, and the
// next sync would not tell.
func (j *Journal) fail(err error) error {
	if j.syncer.failed == nil {
		j.syncer.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		j.log.Error("journal: the disk failed, nothing more is taken", "err", err)
	}
	return j.syncer.failed
}

// syncFile makes the newest segment durable, with the lock held.
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

// Sync waits until all that was written is durable, where that is asked for.
func (j *Journal) Sync() error {
	j.mu.Lock()
	place := j.syncer.written
	j.mu.Unlock()
	return j.durable(place)
}

// Failed tells why nothing more is taken; nil while it is.
func (j *Journal) Failed() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.syncer.failed
}
