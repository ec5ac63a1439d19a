package snapshot

import (
	"context"
	"sync"
	"sync/atomic"
)

// Latest holds the newest Snapshot. The zero value holds none. It is safe for concurrent use.
type Latest struct {
	current atomic.Pointer[Snapshot]

	mu   sync.Mutex
	next chan struct{} // closed by the next Set; nil while no Await waits for it
}

// Get returns the newest snapshot, nil before the first one. It takes no lock.
func (l *Latest) Get() *Snapshot { return l.current.Load() }

// Set replaces the newest snapshot and wakes all pending calls of Await.
func (l *Latest) Set(s *Snapshot) {
	l.current.Store(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next != nil {
		close(l.next)
		l.next = nil
	}
}

// Await waits until ready returns true for the newest snapshot, which may be nil. It returns the context's error if the
// context ends first.
func (l *Latest) Await(ctx context.Context, ready func(*Snapshot) bool) error {
	for {
		next := l.nextSet()
		if ready(l.Get()) {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextSet returns a channel that the next Set closes.
func (l *Latest) nextSet() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		l.next = make(chan struct{})
	}
	return l.next
}
