package forward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// lengthHeaderName is the header counted on clients' connections, in lower case.
const lengthHeaderName = "content-length"

// clientConn counts the Content-Length headers that arrive on a client's connection. net/http drops
// that header from a request with chunked transfer coding before any handler sees it, but such a
// request may be an attempt at request smuggling (RFC 9112, 6.1): its connection has to be closed after
// the answer.
type clientConn struct {
	net.Conn
	lengthHeaders  atomic.Int64 // headers read
	matchedBytes   int          // bytes of lengthHeaderName matched at the start of the current line; -1: no match
	handledLengths int64        // headers of handled requests
	idleTimeout    func() time.Duration
	becameIdle     bool                      // the deadline of the wait for the next request is not set yet
	idleSince      atomic.Pointer[time.Time] // nil: not idle; also read by the server's background reads

	// Used by connectionStates.
	state   http.ConnState
	counted bool // included in the count of its state
	ended   bool
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && err != nil && c.extendsIdle(err) {
		n, err = c.Conn.Read(b)
	}
	c.countLengthHeaders(b[:n])
	return n, err
}

// countLengthHeaders counts the lines that begin with the header's name, including lines of bodies.
func (c *clientConn) countLengthHeaders(b []byte) {
	for len(b) > 0 {
		if c.matchedBytes < 0 {
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				return
			}
			b = b[end+1:]
			c.matchedBytes = 0
			continue
		}
		const lowerCase = 0x20
		if b[0]|lowerCase != lengthHeaderName[c.matchedBytes] {
			c.matchedBytes = -1
			continue
		}
		b = b[1:]
		if c.matchedBytes++; c.matchedBytes == len(lengthHeaderName) {
			c.lengthHeaders.Add(1)
			c.matchedBytes = -1
		}
	}
}

// ambiguous records a request that is about to be handled. It reports whether the request is chunked
// and may have had a Content-Length as well. Pipelined requests and bodies can cause false positives,
// which only cost a connection.
func (c *clientConn) ambiguous(r *http.Request) bool {
	if len(r.Header["Content-Length"]) > 0 {
		c.handledLengths++
	}
	return slices.Contains(r.TransferEncoding, "chunked") && c.lengthHeaders.Load() > c.handledLengths
}

// clientListener wraps the connections that it accepts in a clientConn.
type clientListener struct {
	net.Listener
	idleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, matchedBytes: -1, idleTimeout: l.idleTimeout}, nil
}

// clientConnKey is the context key of a request's *clientConn.
type clientConnKey struct{}

// withClientConn is the ConnContext hook of the server.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// Serve accepts clients' connections until the server is shut down or closed.
func (p *Proxy) Serve(l net.Listener) error { return p.server.Serve(clientListener{l, p.idleTimeout}) }

// closeIfAmbiguous has the connection closed after the answer if the request's length is ambiguous.
func closeIfAmbiguous(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok && conn.ambiguous(r) {
		w.Header().Set("Connection", "close")
	}
}
