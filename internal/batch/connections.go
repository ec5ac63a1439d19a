package batch

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Delays and timeout for reopening a connection to a store.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	identityTimeout   = time.Second
)

// storeEvents are callbacks that the goroutines of storeConnections call.
type storeEvents struct {
	connected    func(id uint64, conn *link.Conn)
	disconnected func(id uint64, conn *link.Conn)
	message      func(m *link.Message)
}

// storeConnections keeps a connection open to each store in the table. Each has a goroutine; close
// waits for them. It is safe for concurrent use.
type storeConnections struct {
	events     storeEvents
	goroutines sync.WaitGroup

	mu     sync.Mutex
	byID   map[uint64]*storeConnection
	closed bool
}

// storeConnection is the connection to one store, which has the identity that the table gives.
type storeConnection struct {
	id     uint64
	addr   string
	cancel context.CancelFunc
	conn   *link.Conn // nil while not connected
}

func newStoreConnections(events storeEvents) *storeConnections {
	return &storeConnections{events: events, byID: map[uint64]*storeConnection{}}
}

// Message handles a message that arrives over one of the links.
func (s *storeConnections) Message(m *link.Message) { s.events.message(m) }

// Closed implements link.Handler. It does nothing: the goroutine of the connection watches
// conn.Done.
func (s *storeConnections) Closed(*link.Conn) {}

// setStores sets the stores to connect to: all but self. Connections to other stores are closed.
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

// close closes all connections and waits for their goroutines.
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

// get returns the connection to a store; nil if there is none at the moment.
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

// maintain reopens the connection to a store, with exponential backoff, until the context is
// cancelled.
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

// open opens a connection. It returns nil if that fails, or if the store that answers has another
// identity than the table gives, because its disk was replaced or emptied.
func (s *storeConnections) open(ctx context.Context, connection *storeConnection) *link.Conn {
	conn, err := link.Dial(ctx, connection.addr, s, link.DefaultOptions)
	if err != nil {
		return nil // maintain retries
	}
	if !verifyIdentity(ctx, conn, connection.id) {
		conn.Close()
		return nil
	}
	return conn
}

// use makes a connection available until it closes or the context is cancelled.
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

// verifyIdentity reports whether the store at the other end has the given identity.
func verifyIdentity(ctx context.Context, conn *link.Conn, id uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	reply, err := conn.Call(ctx, kindHello, nil)
	return err == nil && len(reply) == 8 && binary.BigEndian.Uint64(reply) == id
}
