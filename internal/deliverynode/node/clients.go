package node

import (
	conns "container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// heardListener tells of each connection whether anything has come on it.
type heardListener struct{ net.Listener }

type heardConn struct {
	net.Conn
	heard atomic.Bool
}

// Accept returns the next connection, whose reads are observed.
func (l heardListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heardConn{Conn: conn}, nil
}

// Read reads, and notes that the client has sent something.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// clients keeps places free for new connections: while nearly all that clients may
// hold are taken, one is closed for each that comes. The first to go is one on which
// nothing ever came, then one that is idle, then one whose first request is not whole
// yet; of these the oldest. Clients come again by themselves, and those that are at
// work are never silent or idle for long.
type clients struct {
	max int // connections that there may be; 0 for any number

	mu     sync.Mutex
	open   int
	fresh  *conns.List // of net.Conn before their first request, the oldest first
	idle   *conns.List // of net.Conn, the longest idle first
	listed map[net.Conn]place
}

// place is where a connection is listed.
type place struct {
	list *conns.List
	at   *conns.Element
}

func newClients(max int) *clients {
	return &clients{max: max, fresh: conns.New(), idle: conns.New(), listed: map[net.Conn]place{}}
}

// count is how many connections there are.
func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// limit sets how many there may be; who is over it goes as others come.
func (c *clients) limit(max int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.max = max
}

// state follows a connection; it is the server's ConnState.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	if old := c.follow(conn, s); old != nil {
		_ = old.Close() // the server notices
	}
}

// follow returns a connection that has to go, or nil.
func (c *clients) follow(conn net.Conn, s http.ConnState) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlist(conn)
	switch s {
	case http.StateNew:
		c.open++
		c.listed[conn] = place{c.fresh, c.fresh.PushBack(conn)}
	case http.StateIdle:
		c.listed[conn] = place{c.idle, c.idle.PushBack(conn)}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	// What is closed counts until the server says so: one goes for each that comes.
	if c.max <= 0 || c.open < c.max || s != http.StateNew && s != http.StateIdle {
		return nil
	}
	if s == http.StateNew {
		c.unlist(conn) // for now: it has only just come
		defer func() { c.listed[conn] = place{c.fresh, c.fresh.PushBack(conn)} }()
	}
	old := c.leastLoss()
	c.unlist(old)
	return old
}

func (c *clients) unlist(conn net.Conn) {
	if p, ok := c.listed[conn]; ok {
		p.list.Remove(p.at)
		delete(c.listed, conn)
	}
}

// leastLoss is the connection whose end costs least, nil if all are at work.
func (c *clients) leastLoss() net.Conn {
	for e := c.fresh.Front(); e != nil; e = e.Next() {
		if h, ok := e.Value.(*heardConn); ok && !h.heard.Load() {
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
