package replica

import (
	"context"
	"fmt"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// copyWaiter is a caller that waits until at least so many copies have a version.
type copyWaiter struct {
	version uint64
	least   int
	done    chan error
}

// MaySend reports whether this node may begin work on the log that takes up to longest, that is, whether its lease lasts that
// long. It reads the clock at each call, so a process that was suspended detects that its lease has expired.
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

// Lost returns a channel that is closed if the log's lease is not held, or as soon as it is lost.
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
// configuration allows fewer; if they are missing it fails with ErrTooFewCopies or ErrLeaseNotHeld.
func (w *Work) Ready() error {
	if !w.keeper.before() || w.keeper.options.Settings.Short == fleet.GoOn {
		return nil
	}
	if !w.MaySend(0) {
		return ErrLeaseNotHeld
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, copies := w.source.Copied(); !w.resolved || copies < w.keeper.options.Copies {
		return fmt.Errorf("%w: %d of %d", ErrTooFewCopies, copies, w.keeper.options.Copies)
	}
	return nil
}

// readyPoll is how often AwaitReady calls Ready.
const readyPoll = 10 * time.Millisecond

// AwaitReady waits until a message may be accepted. If the context ends first, it returns the last error of Ready.
func (w *Work) AwaitReady(ctx context.Context) error {
	err := w.Ready()
	if err == nil {
		return nil
	}
	poll := time.NewTicker(readyPoll)
	defer poll.Stop()
	for err != nil {
		select {
		case <-ctx.Done():
			return err
		case <-poll.C:
			err = w.Ready()
		}
	}
	return nil
}

// AwaitCopies waits, in the mode "before", until at least so many copies have all changes that were written so far. If the context
// ends first, it fails with ErrTooFewCopies if there are fewer copies and the configuration does not allow that, and otherwise
// with the context's error. It fails with ErrLeaseNotHeld if the lease of the log is lost. In the other mode it does not wait.
func (w *Work) AwaitCopies(ctx context.Context, least int) error {
	if !w.keeper.before() {
		return nil
	}
	w.mu.Lock()
	wait := copyWaiter{w.source.version, least, make(chan error, 1)}
	if w.enough(wait) {
		w.mu.Unlock()
		return nil
	}
	w.waiting = append(w.waiting, wait)
	w.mu.Unlock()
	w.wakeUp()
	select {
	case err := <-wait.done:
		return err
	case <-ctx.Done():
		return w.waitError(wait, ctx.Err())
	}
}

// waitError returns the error of a wait for copies whose context has ended: there are too few copies, or they are too slow.
func (w *Work) waitError(wait copyWaiter, ended error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, copies := w.source.Copied(); w.resolved && w.short(copies, wait.least) {
		return fmt.Errorf("%w: %d of %d", ErrTooFewCopies, copies, wait.least)
	}
	return fmt.Errorf("waiting for the copies: %w", ended)
}

// short reports whether so many copies are too few to continue.
func (w *Work) short(copies, least int) bool {
	return copies < least && w.keeper.options.Settings.Short != fleet.GoOn
}

// enough reports whether enough copies that count have the version of a waiter; w.mu is held. If they are too few the wait
// continues, because a copy that is briefly unreachable may return and another node may replace it.
func (w *Work) enough(wait copyWaiter) bool {
	if !w.resolved {
		return false // it is not determined yet which copies count
	}
	at, copies := w.source.Copied()
	if w.short(copies, wait.least) {
		return false
	}
	return at >= wait.version
}

// answer answers the waiters whose versions the copies have; w.mu is held.
func (w *Work) answer() {
	left := w.waiting[:0]
	for _, wait := range w.waiting {
		if w.enough(wait) {
			wait.done <- nil
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
