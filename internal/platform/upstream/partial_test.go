package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// partialConn writes some bytes and is then reset.
type partialConn struct {
	net.Conn
	left int
}

func (c *partialConn) Write(b []byte) (int, error) {
	if len(b) <= c.left {
		c.left -= len(b)
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b[:c.left])
	c.left = 0
	if err == nil {
		err = syscall.ECONNRESET
	}
	return n, err
}

// A request that was written only in part was not sent, even if just its last byte is missing.
func TestPartlyWrittenRequestIsNotSent(t *testing.T) {
	s := newTestServer(t, respondWith(ok200))
	for _, body := range []string{"", "a body", strings.Repeat("b", 2*maxInlineWrite)} {
		head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body))
		size := len(head) + len(body)
		for _, part := range []int{0, 1, len(head) - 1, len(head), size - 1} {
			if part >= size {
				continue
			}
			ps := newPools(t, func(c *Config) {
				c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dialTCP(ctx, addr)
					if err != nil {
						return nil, err
					}
					return &partialConn{conn, part}, nil
				}
			})
			c, err := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr}).Acquire(t.Context())
			must(t, err)
			resp, err := c.Open(t.Context(), "POST", []byte(head), []byte(body), time.Now().Add(testTimeout/4))
			var callErr *CallError
			switch {
			case err == nil:
				_, _ = io.Copy(io.Discard, resp.Body)
				t.Errorf("%d of %d bytes were written, but a response arrived", part, size)
			case !errors.As(err, &callErr) || callErr.Sent:
				t.Errorf("%d of %d bytes were written: %v, want a call that was not sent", part, size, err)
			}
			c.Release(Broken)
		}
	}
}
