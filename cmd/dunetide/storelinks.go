package main

import (
	"sync"

	"dunetide/internal/batch"
	"dunetide/internal/batch/audit"
	"dunetide/internal/platform/link"
	"dunetide/internal/quota"
)

// storeLinkHandler passes messages to the batch store, to the record of regulated runs or to the count of tenants' requests. It closes
// the links when the store closes, so that callers do not wait for a store that is out of service.
type storeLinkHandler struct {
	store   *batch.Store
	records *audit.Store
	rates   *quota.Server

	mu    sync.Mutex
	conns map[*link.Conn]bool // nil after closeAll
}

// newStoreLinkHandler returns the handler for a store's links.
func newStoreLinkHandler(store *batch.Store, records *audit.Store, rates *quota.Server) *storeLinkHandler {
	return &storeLinkHandler{store: store, records: records, rates: rates, conns: map[*link.Conn]bool{}}
}

// Message implements link.Handler.
func (l *storeLinkHandler) Message(m *link.Message) {
	if !l.register(m.Conn) {
		m.Conn.Close()
		return
	}
	switch {
	case audit.Handles(m.Kind):
		l.records.HandleAppend(m)
	case quota.Handles(m.Kind):
		l.rates.Message(m)
	default:
		l.store.Message(m)
	}
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
