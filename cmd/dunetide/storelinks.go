package main

import (
	"sync"

	"dunetide/internal/batch"
	"dunetide/internal/batch/audit"
	"dunetide/internal/platform/link"
)

// storeLinkHandler passes messages to the batch store or to the record of regulated runs. It closes
// the links when the store closes, so that callers do not wait for a store that is out of service.
type storeLinkHandler struct {
	store   *batch.Store
	records *audit.Store

	mu    sync.Mutex
	conns map[*link.Conn]bool // nil after closeAll
}

// newStoreLinkHandler returns the handler for a store's links.
func newStoreLinkHandler(store *batch.Store, records *audit.Store) *storeLinkHandler {
	return &storeLinkHandler{store: store, records: records, conns: map[*link.Conn]bool{}}
}

// Message implements link.Handler.
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

// register records a link. It returns false after closeAll.
func (l *storeLinkHandler) register(c *link.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return false
	}
	l.conns[c] = true
	return true
}

// Closed implements link.Handler.
func (l *storeLinkHandler) Closed(c *link.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	l.store.Closed(c)
}

// closeAll closes all links. Links that are opened later are closed at their first message.
func (l *storeLinkHandler) closeAll() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}
