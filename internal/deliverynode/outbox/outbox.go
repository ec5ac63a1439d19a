// Package outbox implements the queue of messages to one peer. It keeps the newest message of each key, in the order in which
// the keys were added, and is bounded in number and in bytes. Adding never blocks: Put refuses a message that does not fit,
// Push drops the oldest instead.
package outbox

import (
	"errors"
	"sync"
)

// ErrFull is returned when a message does not fit.
var ErrFull = errors.New("outbox is full")

// Queue is a bounded queue with one value for each key. It is safe for concurrent use.
type Queue[T any] struct {
	maxItems, maxBytes int
	more               chan struct{}

	mu      sync.Mutex
	waiting map[string]item[T]
	order   []string
	bytes   int
	dropped int
	version uint64
}

type item[T any] struct {
	value   T
	size    int
	version uint64
}

// Entry is the queued value of a key.
type Entry[T any] struct {
	Key     string
	Value   T
	version uint64
}

// New returns a queue of at most maxItems values and, if maxBytes is positive, at most maxBytes in total by the sizes that Put
// is given.
func New[T any](maxItems, maxBytes int) *Queue[T] {
	return &Queue[T]{maxItems: maxItems, maxBytes: maxBytes, waiting: map[string]item[T]{}, more: make(chan struct{}, 1)}
}

// More returns a channel that receives a signal after values were added.
func (q *Queue[T]) More() <-chan struct{} { return q.more }

// Put adds a value, or replaces the present value of its key. If it fails with ErrFull, the present value is kept.
func (q *Queue[T]) Put(key string, v T, size int) error { return q.put(key, v, size, false) }

// Push adds a value as Put does, but drops the oldest values if there are too many.
func (q *Queue[T]) Push(key string, v T, size int) { _ = q.put(key, v, size, true) }

func (q *Queue[T]) put(key string, v T, size int, drop bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	old, there := q.waiting[key]
	if !drop && (!there && len(q.order) >= q.maxItems || q.maxBytes > 0 && q.bytes-old.size+size > q.maxBytes) {
		q.dropped++
		return ErrFull
	}
	if !there {
		for len(q.order) > 0 && len(q.order) >= q.maxItems {
			q.remove(0)
			q.dropped++
		}
		q.order = append(q.order, key)
	}
	q.version++
	q.waiting[key] = item[T]{v, size, q.version}
	q.bytes += size - old.size
	select {
	case q.more <- struct{}{}:
	default:
	}
	return nil
}

func (q *Queue[T]) remove(i int) {
	key := q.order[i]
	q.bytes -= q.waiting[key].size
	delete(q.waiting, key)
	q.order = append(q.order[:i], q.order[i+1:]...)
}

// First returns the entry to send next, and false if the queue is empty.
func (q *Queue[T]) First() (e Entry[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.order) == 0 {
		return e, false
	}
	it := q.waiting[q.order[0]]
	return Entry[T]{q.order[0], it.value, it.version}, true
}

// Done removes an entry that was sent. If a newer value has replaced it meanwhile, that value moves to the end of the queue.
func (q *Queue[T]) Done(e Entry[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.order) == 0 || q.order[0] != e.Key {
		return
	}
	if q.waiting[e.Key].version == e.version {
		q.remove(0)
		return
	}
	q.order = append(q.order[1:], e.Key)
}

// Len returns the number of queued values, their total size in bytes, and the number of values refused or dropped so far.
func (q *Queue[T]) Len() (items, bytes, dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.order), q.bytes, q.dropped
}
