package replica

import (
	"context"
	"fmt"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

type copyWaiter struct {
	version uint64
	least   int
	done    chan error
}

// MaySend reports whether this node may begin work on the log that takes up to longest, that is whether its lease lasts that
// long. It reads the clock at each call, so a process that was suspended sees that its lease has expired.
func (w *Work) MaySend(longest time.Duration) bool {
	w.mu.Lock()
	acting, l := w.acting, w.lease
	token := w.source.token
	w.mu.Unlock()
	if !acting || l == nil {
		return false
	}
	have, left := l.Held()
	return have == token && left > longest
}

// Lost returns a channel that is closed when the log's lease is not held, or when it is lost.
func (w *Work) Lost() <-chan struct{} {
	w.mu.Lock()
	l := w.lease
	w.mu.Unlock()
	if l == nil {
		return closed
	}
	return l.Lost()
}

// closed is a closed channel.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Ready returns nil if a message may be accepted. In the mode "before" that needs the configured number of copies, unless the
// configuration allows fewer; otherwise it fails with ErrShort or ErrNotOurs.
func (w *Work) Ready() error {
	if !w.keeper.before() || w.keeper.options.Settings.Short == fleet.GoOn {
		return nil
	}
	if !w.MaySend(0) {
		return ErrNotOurs
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, copies := w.source.Copied(); !w.resolved || copies < w.keeper.options.Copies {
		return fmt.Errorf("%w: %d of %d", ErrShort, copies, w.keeper.options.Copies)
	}
	return nil
}

// Copied waits, in the mode "before", until at least so many copies have all that was written so far. It fails with ErrShort
// if there are fewer copies and the configuration does not allow that, with ErrNotOurs, or with the context's error. In the
// other mode it does not wait.
func (w *Work) Copied(ctx context.Context, least int) error {
	if !w.keeper.before() {
		return nil
	}
	w.mu.Lock()
	wait := copyWaiter{w.source.version, least, make(chan error, 1)}
	done, err := w.enough(wait)
	if done || err != nil {
		w.mu.Unlock()
		return err
	}
	w.waiting = append(w.waiting, wait)
	w.mu.Unlock()
	w.rouse()
	select {
	case err := <-wait.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("waiting for the copies: %w", ctx.Err())
	}
}

// enough reports whether the copies that count have the version of a waiter. It fails if they are too few; w.mu is held.
func (w *Work) enough(wait copyWaiter) (bool, error) {
	if !w.resolved {
		return false, nil // it is not settled yet which copies count
	}
	at, copies := w.source.Copied()
	if copies < wait.least && w.keeper.options.Settings.Short != fleet.GoOn {
		return false, fmt.Errorf("%w: %d of %d", ErrShort, copies, wait.least)
	}
	return at >= wait.version, nil
}

// answer answers the waiters whose versions the copies have; w.mu is held.
func (w *Work) answer() {
	left := w.waiting[:0]
	for _, wait := range w.waiting {
		if done, err := w.enough(wait); done || err != nil {
			wait.done <- err
		} else {
			left = append(left, wait)
		}
	}
	clear(w.waiting[len(left):])
	w.waiting = left
}

// answerAll answers all waiters with an error; w.mu is held.
func (w *Work) answerAll(err error) {
	for _, wait := range w.waiting {
		wait.done <- err
	}
	w.waiting = nil
}
