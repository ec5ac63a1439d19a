package node

import (
	conns "container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// trackingListener wraps its connections to record whether the client has sent anything.
type trackingListener struct{ net.Listener }

type trackingConn struct {
	net.Conn
	received atomic.Bool
}

// Accept returns the next connection, wrapped in a trackingConn.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackingConn{Conn: conn}, nil
}

// Read reads, and records whether the client has sent anything.
func (c *trackingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// clients keeps capacity free for new connections: at the limit, it closes an old connection for each new one. It prefers
// a connection on which nothing was received, then an idle one, then one whose first request is incomplete; among these
// the oldest. Clients reconnect by themselves, and active ones are never silent or idle for long.
type clients struct {
	max int // maximum number of connections; 0 for no limit

	mu     sync.Mutex
	open   int
	fresh  *conns.List // of net.Conn before their first request, the oldest first
	idle   *conns.List // of net.Conn, the longest idle first
	listed map[net.Conn]listPosition
}

// listPosition is the position of a connection in a list.
type listPosition struct {
	list *conns.List
	at   *conns.Element
}

func newClients(max int) *clients {
	return &clients{max: max, fresh: conns.New(), idle: conns.New(), listed: map[net.Conn]listPosition{}}
}

// count returns the number of connections.
func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// limit sets the maximum number of connections; those above it are closed as new ones arrive.
func (c *clients) limit(max int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.max = max
}

// state handles a change of a connection's state; it is the server's ConnState.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	if old := c.update(conn, s); old != nil {
		_ = old.Close() // the server notices
	}
}

// update records a connection's state, and returns a connection to close, or nil.
func (c *clients) update(conn net.Conn, s http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlist(conn)
	switch s {
	case http.StateNew:
		c.open++
		c.listed[conn] = listPosition{c.fresh, c.fresh.PushBack(conn)}
	case http.StateIdle:
		c.listed[conn] = listPosition{c.idle, c.idle.PushBack(conn)}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	// A connection that is closed here counts until the server reports StateClosed: one is closed for each new one.
	if c.max <= 0 || c.open < c.max || s != http.StateNew && s != http.StateIdle {
		return nil
	}
	if s == http.StateNew {
		c.unlist(conn) // for now, so that the new connection is not chosen
		defer func() { c.listed[conn] = listPosition{c.fresh, c.fresh.PushBack(conn)} }()
	}
	old := c.evictionCandidate()
	c.unlist(old)
	return old
}

func (c *clients) unlist(conn net.Conn) {
	if p, ok := c.listed[conn]; ok {
		p.list.Remove(p.at)
		delete(c.listed, conn)
	}
}

// evictionCandidate returns the connection to close first, nil if all are active.
func (c *clients) evictionCandidate() net.Conn {
	for e := c.fresh.Front(); e != nil; e = e.Next() {
		if h, ok := e.Value.(*trackingConn); ok && !h.received.Load() {
			return h
		}
	}
	for _, list := range []*conns.List{c.idle, c.fresh} {
		if e := list.Front(); e != nil {
			return e.Value.(net.Conn)
		}
	}
	return nil
}
