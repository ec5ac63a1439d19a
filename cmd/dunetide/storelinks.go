package main

import (
	"sync"

	"dunetide/internal/batch"
	"dunetide/internal/batch/audit"
	"dunetide/internal/platform/link"
)

// storeLinks passes on what comes over links to whom it is for, and ends the links with the store: who waits for a store
// that is out of service has to see that it is gone.
type storeLinkHandler struct {
	store   *batch.Store
	records *audit.Store

	mu    sync.Mutex
	conns map[*link.Conn]bool // nil: ended
}

func newStoreLinkHandler(store *batch.Store, records *audit.Store) *storeLinkHandler {
	return &storeLinkHandler{store: store, records: records, conns: map[*link.Conn]bool{}}
}

// Message passes a message on.
func (l *storeLinkHandler) Message(m *link.Message) {
	if !l.register(m.Conn) {
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
func (l *storeLinkHandler) register(c *link.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return false
	}
	l.conns[c] = true
	return true
}

// Closed forgets a link.
func (l *storeLinkHandler) Closed(c *link.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.store.Closed(c)
}

// end ends all links.
func (l *storeLinkHandler) closeAll() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}
