package main

import (
	"sync"

	"dunetide/internal/batch"
	"dunetide/internal/batch/audit"
	"dunetide/internal/platform/link"
)

// storeLinks passes on what comes over links to whom it is for, and ends the links with the store: who waits for a store
// that is out of service has to see that it is gone.
type storeLinks struct {
	store   *batch.Store
	records *audit.Store

	mu    sync.Mutex
	conns map[*link.Conn]bool // nil: ended
}

func newStoreLinks(store *batch.Store, records *audit.Store) *storeLinks {
	return &storeLinks{store: store, records: records, conns: map[*link.Conn]bool{}}
}

// Message passes a message on.
func (l *storeLinks) Message(m *link.Message) {
	if !l.note(m.Conn) {
		m.Conn.Close()
		return
	}
	if audit.Handles(m.Kind) {
		l.records.HandleAppend(m)
		return
	}
	l.store.Message(m)
}

// note remembers a link; false: all have ended.
func (l *storeLinks) note(c *link.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return false
	}
	l.conns[c] = true
	return true
}

// Closed forgets a link.
func (l *storeLinks) Closed(c *link.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.store.Closed(c)
}

// end ends all links.
func (l *storeLinks) end() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}
