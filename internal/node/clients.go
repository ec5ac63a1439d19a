package node

import (
	idles "container/list"
	"net"
	"net/http"
	"sync"
)

// clients keeps places free for new connections: while nearly all that clients may
// hold are taken, the one that has been idle for longest is closed. Clients come again
// by themselves, and those that are at work are never idle for long.
type clients struct {
	max int // connections that there may be; 0 for any number

	mu   sync.Mutex
	open int
	idle *idles.List // of net.Conn, the longest idle first
	at   map[net.Conn]*idles.Element
}

func newClients(max int) *clients {
	return &clients{max: max, idle: idles.New(), at: map[net.Conn]*idles.Element{}}
}

// count is how many connections there are.
func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
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
	if e := c.at[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.at, conn)
	}
	switch s {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.at[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	// What is closed counts until the server says so: one goes for each that comes.
	if c.max <= 0 || c.open < c.max || s != http.StateNew && s != http.StateIdle || c.idle.Len() == 0 {
		return nil
	}
	e := c.idle.Front()
	old := c.idle.Remove(e).(net.Conn)
	delete(c.at, old)
	return old
}
