package engine

import (
	"net"
	"sync"
)

// listener takes a bounded number of connections and may stop moving bytes on all of them.
type listener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	cond  *sync.Cond
	mute  bool
	open  int
}

func newListener(l net.Listener, most int) *listener {
	out := &listener{Listener: l, limit: most}
	out.cond = sync.NewCond(&out.mu)
	return out
}

// dark stops all reads and writes on the connections, or has them go on.
func (l *listener) dark(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mute = on
	l.cond.Broadcast()
}

// wait waits until the listener is not dark.
func (l *listener) wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.mute {
		l.cond.Wait()
	}
}

// Accept resets connections beyond the most.
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
		_ = c.(*net.TCPConn).SetLinger(0) // the close resets
		_ = c.Close()
	}
}

type conn struct {
	net.Conn
	listener *listener
	once     sync.Once
}

// Read reads; what came during an outage of the network is returned after it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.wait() // what came in the dark is read after it
	return n, err
}

// Write writes, after an outage of the network.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.wait()
	return c.Conn.Write(p)
}

// Close closes the connection and counts it as closed, once.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}
