package replica

import (
	"context"
	"fmt"
	"time"

	"dunetide/internal/fleet"
)

type copyWaiter struct {
	version uint64
	least   int
	done    chan error
}

// MaySend tells whether this node may begin something for the log that takes so long at most. It looks
// at the clock each time: a process that stood still finds that the lease has run out.
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

// Lost is closed when the log's lease is not held, or no longer.
func (w *Work) Lost() <-chan struct{} {
	w.mu.Lock()
	l := w.lease
	w.mu.Unlock()
	if l == nil {
		return closed
	}
	return l.Lost()
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Ready tells whether a message may be taken on: in the mode before, only with the copies that staff
// asked for in reach, unless they said to go on without.
func (w *Work) Ready() error {
	if !w.k.before() || w.k.o.Settings.Short == fleet.GoOn {
		return nil
	}
	if !w.MaySend(0) {
		return ErrNotOurs
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, copies := w.source.Copied(); !w.settled || copies < w.k.o.Copies {
		return fmt.Errorf("%w: %d of %d", ErrShort, copies, w.k.o.Copies)
	}
	return nil
}

// Copied waits until the copies have all that was written so far, in the mode before, so many of them at
// least unless staff said to go on without; in the other mode it does not wait. Errors: ErrShort, ErrNotOurs,
// the context's.
func (w *Work) Copied(ctx context.Context, least int) error {
	if !w.k.before() {
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

// enough tells whether the copies that count have a version, and are as many as they have to be.
func (w *Work) enough(wait copyWaiter) (bool, error) {
	if !w.settled {
		return false, nil // who they are is being settled
	}
	at, copies := w.source.Copied()
	if copies < wait.least && w.k.o.Settings.Short != fleet.GoOn {
		return false, fmt.Errorf("%w: %d of %d", ErrShort, copies, wait.least)
	}
	return at >= wait.version, nil
}

// answer lets those go on whose versions the copies have; w.mu is held.
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

func (w *Work) answerAll(err error) {
	for _, wait := range w.waiting {
		wait.done <- err
	}
	w.waiting = nil
}
