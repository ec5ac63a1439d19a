package journal

import (
	"slices"
	"sync"
)

// IDRing is a bounded set of the most recently added ids. It is safe for concurrent use.
type IDRing struct {
	size int

	mu    sync.Mutex
	ids   []string
	next  int // index in ids of the id to replace next, once the set is full
	known map[string]struct{}
}

// NewIDRing returns an empty set of up to size ids.
func NewIDRing(size int) *IDRing {
	return &IDRing{size: size, ids: make([]string, 0, size), known: make(map[string]struct{}, size)}
}

// Has reports whether an id is in the set.
func (r *IDRing) Has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.has(id)
}

func (r *IDRing) has(id string) bool {
	_, ok := r.known[id]
	return ok
}

// IDs returns the ids in the order in which they were added.
func (r *IDRing) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.ids[r.next:], r.ids[:r.next])
}

// clone returns a copy of the set.
func (r *IDRing) clone() *IDRing {
	c := NewIDRing(r.size)
	for _, id := range r.IDs() {
		c.Add(id)
	}
	return c
}

// Len returns the number of ids.
func (r *IDRing) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ids)
}

// Add adds an id. If the set is full, the oldest id is evicted.
func (r *IDRing) Add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 || r.has(id) {
		return
	}
	if len(r.ids) < r.size {
		r.ids = append(r.ids, id)
	} else {
		delete(r.known, r.ids[r.next])
		r.ids[r.next] = id
		r.next = (r.next + 1) % r.size
	}
	r.known[id] = struct{}{}
}
