package batch

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// How a connection to a store is opened again.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	identityTimeout   = time.Second
)

// storeEvents are called by the goroutines of storeConnections.
type storeEvents struct {
	connected    func(id uint64, conn *link.Conn)
	disconnected func(id uint64, conn *link.Conn)
	message      func(m *link.Message)
}

// storeConnections keeps a connection open to each store of the table. Each has a goroutine, for
// which close waits. It is safe for concurrent use.
type storeConnections struct {
	events     storeEvents
	goroutines sync.WaitGroup

	mu     sync.Mutex
	byID   map[uint64]*storeConnection
	closed bool
}

// storeConnection is the connection to a store, by its identity in the table.
type storeConnection struct {
	id     uint64
	addr   string
	cancel context.CancelFunc
	conn   *link.Conn // nil: none now
}

func newStoreConnections(events storeEvents) *storeConnections {
	return &storeConnections{events: events, byID: map[uint64]*storeConnection{}}
}

// Message is the event of a message over one of the links.
func (s *storeConnections) Message(m *link.Message) { s.events.message(m) }

// Closed is of link.Handler. The goroutine of the connection finds the end by itself.
func (s *storeConnections) Closed(*link.Conn) {}

// setStores says to which stores connections are kept: all but self. Connections to others are ended.
func (s *storeConnections) setStores(stores map[uint64]snapshot.Store, self uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for id, connection := range s.byID {
		if store, ok := stores[id]; !ok || store.Addr != connection.addr {
			connection.cancel()
			delete(s.byID, id)
		}
	}
	for id, store := range stores {
		if id != self && s.byID[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			connection := &storeConnection{id: id, addr: store.Addr, cancel: cancel}
			s.byID[id] = connection
			s.goroutines.Go(func() { s.maintain(ctx, connection) })
		}
	}
}

// close ends all connections and waits for their goroutines.
func (s *storeConnections) close() {
	s.mu.Lock()
	s.closed = true
	for id, connection := range s.byID {
		connection.cancel()
		delete(s.byID, id)
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// get is the connection to a store; nil if there is none now.
func (s *storeConnections) get(id uint64) *link.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if connection := s.byID[id]; connection != nil {
		return connection.conn
	}
	return nil
}

func (s *storeConnections) setConn(connection *storeConnection, conn *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	connection.conn = conn
}

// maintain opens the connection to a store again and again, with growing delays, until the context ends.
func (s *storeConnections) maintain(ctx context.Context, connection *storeConnection) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		if conn := s.open(ctx, connection); conn != nil {
			s.use(ctx, connection, conn)
			delay = minReconnectDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(delay*2, maxReconnectDelay)
	}
}

// open opens a connection. It is nil if there is none now, or if another store answers than the one
// of the table: its disk was emptied.
func (s *storeConnections) open(ctx context.Context, connection *storeConnection) *link.Conn {
	conn, err := link.Dial(ctx, connection.addr, s, link.DefaultOptions)
	if err != nil {
		return nil // it is tried again
	}
	if !verifyIdentity(ctx, conn, connection.id) {
		conn.Close()
		return nil
	}
	return conn
}

// use makes a connection available until it or the context ends.
func (s *storeConnections) use(ctx context.Context, connection *storeConnection, conn *link.Conn) {
	s.setConn(connection, conn)
	s.events.connected(connection.id, conn)
	select {
	case <-conn.Done():
	case <-ctx.Done():
		conn.Close()
	}
	s.setConn(connection, nil)
	s.events.disconnected(connection.id, conn)
}

// verifyIdentity reports whether a store has an identity.
func verifyIdentity(ctx context.Context, conn *link.Conn, id uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	reply, err := conn.Call(ctx, kindHello, nil)
	return err == nil && len(reply) == 8 && binary.BigEndian.Uint64(reply) == id
}
