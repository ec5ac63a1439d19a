package engine

import (
	"net"
	"sync"
)

// listener accepts a bounded number of connections and can stall reads and writes on all of them.
type listener struct {
	net.Listener
	limit   int
	mu      sync.Mutex
	cond    *sync.Cond
	stalled bool
	open    int
}

func newListener(l net.Listener, maxConns int) *listener {
	out := &listener{Listener: l, limit: maxConns}
	out.cond = sync.NewCond(&out.mu)
	return out
}

// setStalled stalls all reads and writes on the connections, or lets them continue.
func (l *listener) setStalled(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = on
	l.cond.Broadcast()
}

// wait waits until the listener is not stalled.
func (l *listener) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.stalled {
		l.cond.Wait()
	}
}

// Accept accepts a connection. It resets connections beyond the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		if l.limit == 0 || l.open < l.limit {
			l.open++
			l.mu.Unlock()
			return &conn{Conn: c, listener: l}, nil
		}
		l.mu.Unlock()
		_ = c.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
		_ = c.Close()
	}
}

type conn struct {
	net.Conn
	listener *listener
	once     sync.Once
}

// Read reads from the connection. Data received while the listener is stalled is returned afterwards.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.wait()
	return n, err
}

// Write writes to the connection once the listener is not stalled.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.wait()
	return c.Conn.Write(p)
}

// Close closes the connection and no longer counts it as open.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}
