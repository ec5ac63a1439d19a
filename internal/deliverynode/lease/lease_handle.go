package lease

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"
)

// Lease is a lease that this node wants, from Want until Release. It is safe for concurrent use.
type Lease struct {
	leases *Leases
	name   string

	// Guarded by leases.mu.
	token uint64
	held  chan struct{} // closed while the lease is held
	lost  chan struct{} // closed while it is not held
	acts  sync.WaitGroup
	given bool // Release was called
}

// Want requests a lease, and renews it, until Release. It fails if this node already wants the name or the length is out of
// bounds.
func (l *Leases) Want(name string, length time.Duration) (*Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if have := l.leases[name]; have != nil {
		return nil, fmt.Errorf("%q is wanted at this node already", name)
	}
	if length > l.options.Longest {
		return nil, fmt.Errorf("a lease of %v: %v is the most", length, l.options.Longest)
	}
	if err := l.client.Want(name, length, l.options.Clock()); err != nil {
		return nil, err
	}
	t := &Lease{leases: l, name: name, held: make(chan struct{}), lost: make(chan struct{})}
	close(t.lost)
	l.leases[name] = t
	l.wakeClient()
	return t, nil
}

// updateLeases updates the leases from the client's state and wakes the goroutines that wait for a change; l.mu is held.
func (l *Leases) updateLeases(now time.Duration) {
	for _, t := range l.leases {
		token, _ := l.client.Held(t.name, now)
		if token == t.token {
			continue
		}
		if t.token != 0 {
			close(t.lost)
			t.held = make(chan struct{})
		}
		if token != 0 {
			close(t.held)
			t.lost = make(chan struct{})
		}
		l.options.Log.Info("leases: held", "name", t.name, "token", token, "was", t.token)
		t.token = token
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Succeed allows this lease to be taken over from earlier incarnations of this node, from the incarnation since on. The
// caller must be sure that all of them have ended their work under it.
func (t *Lease) Succeed(since uint64) {
	t.leases.mu.Lock()
	defer t.leases.mu.Unlock()
	t.leases.client.Succeed(t.name, since)
	t.leases.wakeClient()
}

// Note returns the note that the last holder stored under this name, as it was when this node got the lease, or the one that
// this node has set since. An empty note may also mean that the log has dropped it.
func (t *Lease) Note() []byte {
	t.leases.mu.Lock()
	defer t.leases.mu.Unlock()
	text, _ := t.leases.client.Note(t.name)
	return text
}

// SetNote stores a note under this name for the next holder. When it returns nil the note was committed at a time when this
// node held the lease under the token.
func (t *Lease) SetNote(ctx context.Context, token uint64, text []byte) error {
	if len(text) > MaxNote {
		return fmt.Errorf("a note of %d bytes, over %d", len(text), MaxNote)
	}
	for first := true; ; first = false {
		t.leases.mu.Lock()
		have, _ := t.leases.client.Held(t.name, t.leases.options.Clock())
		if first && have == token && !t.given {
			t.leases.client.SetNote(t.name, text, t.leases.options.Clock())
			t.leases.wakeClient()
		}
		is, settled := t.leases.client.Note(t.name)
		changed := t.leases.changed
		held := have == token && !t.given
		t.leases.mu.Unlock()
		switch {
		case !held:
			return fmt.Errorf("%w: %q under %d", ErrNotHeld, t.name, token)
		case settled && !bytes.Equal(is, text):
			return fmt.Errorf("the log has no room for the note of %q", t.name)
		case settled:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("leaving a note under %q: %w", t.name, ctx.Err())
		}
	}
}

// Holder returns the holder of the lease at the last answer, or an empty string if there was none or it is unknown.
func (t *Lease) Holder() string {
	t.leases.mu.Lock()
	defer t.leases.mu.Unlock()
	if tenure := t.leases.client.tenures[t.name]; tenure != nil {
		return tenure.holder
	}
	return ""
}

// Held returns the token under which this node holds the lease and the time until it expires, or zeros.
func (t *Lease) Held() (token uint64, left time.Duration) {
	t.leases.mu.Lock()
	defer t.leases.mu.Unlock()
	if t.given {
		return 0, 0
	}
	return t.leases.client.Held(t.name, t.leases.options.Clock())
}

// Wait waits until the lease is held and returns its token. It fails if the context ends or the lease was released.
func (t *Lease) Wait(ctx context.Context) (token uint64, err error) {
	for {
		t.leases.mu.Lock()
		held, given := t.held, t.given
		t.leases.mu.Unlock()
		if given {
			return 0, fmt.Errorf("%w: it was given back", ErrNotHeld)
		}
		select {
		case <-held:
			if token, _ := t.Held(); token != 0 {
				return token, nil
			}
			t.leases.wakeClient() // it has just expired
			select {
			case <-time.After(time.Millisecond):
			case <-ctx.Done():
			}
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("waiting for the lease %q: %w", t.name, ctx.Err())
		}
	}
}

// Lost returns a channel that is closed if the lease is not held, or as soon as it is lost.
func (t *Lease) Lost() <-chan struct{} {
	t.leases.mu.Lock()
	defer t.leases.mu.Unlock()
	return t.lost
}

// Begin begins an operation under the lease that takes up to longest. It fails with ErrNotHeld if the lease expires before.
// When the operation's context ends, the operation must have ended, with its last byte sent, and End must be called.
func (t *Lease) Begin(ctx context.Context, longest time.Duration) (act *Act, err error) {
	t.leases.mu.Lock()
	token, left := t.leases.client.Held(t.name, t.leases.options.Clock())
	ok := token != 0 && left > longest && !t.given
	lost := t.lost
	if ok {
		t.acts.Add(1)
	}
	t.leases.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("%w: %q, needed for %v", ErrNotHeld, t.name, longest)
	}
	a := &Act{Token: token, lease: t}
	a.Context, a.cancel = context.WithTimeout(ctx, longest)
	go func() { // End terminates it at the latest
		select {
		case <-lost:
			a.cancel()
		case <-a.Context.Done():
		}
	}()
	return a, nil
}

// Act is an operation in progress under a lease.
type Act struct {
	Token   uint64
	Context context.Context
	cancel  context.CancelFunc
	lease   *Lease
	once    sync.Once
}

// End reports that the operation has ended. Further calls have no effect.
func (a *Act) End() {
	a.once.Do(func() {
		a.cancel()
		a.lease.acts.Done()
	})
}

// Release releases the lease. No further operation can begin; Release waits for the operations in progress first. If the
// context ends before they do, the lease is no longer renewed, and expires.
func (t *Lease) Release(ctx context.Context) {
	t.leases.mu.Lock()
	if t.given {
		t.leases.mu.Unlock()
		return
	}
	t.given = true
	t.leases.mu.Unlock()
	ended := make(chan struct{})
	go func() { // each operation has a time limit
		t.acts.Wait()
		close(ended)
	}()
	clean := true
	select {
	case <-ended:
	case <-ctx.Done():
		clean = false
	}
	t.leases.mu.Lock()
	defer t.leases.mu.Unlock()
	if clean {
		t.leases.client.Drop(t.name, t.leases.options.Clock())
	} else {
		t.leases.client.Forget(t.name)
	}
	delete(t.leases.leases, t.name)
	if t.token != 0 {
		close(t.lost)
		t.token = 0
	}
	t.leases.wakeClient()
}
