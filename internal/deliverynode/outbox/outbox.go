// Package outbox is the queue of messages to one peer: the newest of each key, in the order in which the keys were first
// added, bounded in number and in bytes. Adding never blocks: Put refuses what does not fit, Push drops the oldest instead.
package outbox

import (
	"errors"
	"sync"
)

// ErrFull says that there is no room for more.
var ErrFull = errors.New("no room for more that waits")

// Queue is safe for concurrent use.
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

// Entry is what waits under a key.
type Entry[T any] struct {
	Key     string
	Value   T
	version uint64
}

// New bounds a queue by number and, with maxBytes over 0, by the sizes that Put is told.
func New[T any](maxItems, maxBytes int) *Queue[T] {
	return &Queue[T]{maxItems: maxItems, maxBytes: maxBytes, waiting: map[string]item[T]{}, more: make(chan struct{}, 1)}
}

// More gets a signal when something was put.
func (q *Queue[T]) More() <-chan struct{} { return q.more }

// Put keeps a value, in the place of an older one of its key. ErrFull: nothing was kept, and
// the older one stays.
func (q *Queue[T]) Put(key string, v T, size int) error { return q.put(key, v, size, false) }

// Push keeps a value as Put does; where there is no room the oldest go.
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

// First is what is to be told next.
func (q *Queue[T]) First() (e Entry[T], ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.order) == 0 {
		return e, false
	}
	it := q.waiting[q.order[0]]
	return Entry[T]{q.order[0], it.value, it.version}, true
}

// Done takes out what was told. Something newer that has taken its place meanwhile goes last.
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

// Len is how many wait, how many bytes they have, and how many found no room so far.
func (q *Queue[T]) Len() (items, bytes, dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.order), q.bytes, q.dropped
}
