package forward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
)

// lengthHeader is the header that is counted on clients' connections, in lower case.
const lengthHeader = "content-length"

// clientConn counts the Content-Length headers that arrive on a client's connection. net/http drops that header of a request
// with chunked transfer coding before any handler sees it, but such a request may be an attempt to smuggle a second one behind it
// (RFC 9112, 6.1): its connection has to be closed after the answer.
type clientConn struct {
	net.Conn
	arrived atomic.Int64 // headers that were read
	matched int          // bytes of lengthHeader that the current line begins with; -1: it begins otherwise
	handled int64        // headers of the requests that were handled

	state   http.ConnState // of connStates, with the two below
	counted bool           // it is in the count of its state
	ended   bool
}

// Read is of net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.scan(b[:n])
	return n, err
}

// scan counts the lines that begin with the header's name; those of bodies count too.
func (c *clientConn) scan(b []byte) {
	for len(b) > 0 {
		if c.matched < 0 {
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				return
			}
			b = b[end+1:]
			c.matched = 0
			continue
		}
		const lowerCase = 0x20
		if b[0]|lowerCase != lengthHeader[c.matched] {
			c.matched = -1
			continue
		}
		b = b[1:]
		if c.matched++; c.matched == len(lengthHeader) {
			c.arrived.Add(1)
			c.matched = -1
		}
	}
}

// ambiguous takes in a request that is about to be handled. It tells whether the request is chunked and may have had a
// Content-Length as well. Pipelined requests and bodies may be mistaken for that, at the cost of a connection.
func (c *clientConn) ambiguous(r *http.Request) bool {
	if len(r.Header["Content-Length"]) > 0 {
		c.handled++
	}
	return slices.Contains(r.TransferEncoding, "chunked") && c.arrived.Load() > c.handled
}

type clientListener struct{ net.Listener }

// Accept is of net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, matched: -1}, nil
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// Serve accepts clients' connections until the server is shut down or closed.
func (p *Proxy) Serve(l net.Listener) error { return p.server.Serve(clientListener{l}) }

// closeIfAmbiguous lets the connection end with the answer if the request's length could be read in two ways.
func closeIfAmbiguous(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok && conn.ambiguous(r) {
		w.Header().Set("Connection", "close")
	}
}
