package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// postHead returns the head of a POST request with a body of the given length.
func postHead(length int) []byte {
	return fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// open makes one call with Open and reads its response to the end.
func open(t *testing.T, p *Pool, deadline time.Time) (body string, reused bool, err error) {
	t.Helper()
	c, err := p.Acquire(t.Context())
	must(t, err)
	resp, err := c.Open(t.Context(), http.MethodPost, postHead(2), []byte("ab"), deadline)
	if err != nil {
		c.Release(Broken)
		return "", c.Reused(), err
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		c.MarkComplete(resp)
	}
	c.Release(Answered)
	return string(b), c.Reused(), err
}

// The response to an opened call has no size limit, and the connection is reused after a complete one.
func TestOpenedCall(t *testing.T) {
	long := strings.Repeat("0123456789", 100<<10)
	s := newTestServer(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)))
	p := newPools(t, nil).Endpoint(Endpoint{Name: "e", Addr: s.addr})
	for n := range 3 {
		body, reused, err := open(t, p, time.Now().Add(testTimeout))
		if body != long || reused != (n > 0) || err != nil {
			t.Fatalf("call %d: %d bytes, reused %v, %v", n, len(body), reused, err)
		}
	}
}

// A deadline ends a call, and is cleared on a connection that is retained.
func TestDeadlineOfAnOpenedCall(t *testing.T) {
	s := newTestServer(t, func(n int64, conn net.Conn, r *bufio.Reader) {
		if n == 1 {
			_, _ = io.Copy(io.Discard, r)
			return
		}
		respondWith(ok200)(n, conn, r)
	})
	var last *timedConn
	p := newPools(t, func(c *Config) {
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			if err != nil {
				return nil, err
			}
			last = &timedConn{TCPConn: conn.(*net.TCPConn)}
			return last, nil
		}
	}).Endpoint(Endpoint{Name: "e", Addr: s.addr})
	var callErr *CallError
	// One second is long enough that the request is written before the deadline even at a load average of 100.
	_, _, err := open(t, p, time.Now().Add(time.Second))
	if !errors.As(err, &callErr) || !callErr.Sent || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	if _, _, err := open(t, p, time.Now().Add(testTimeout)); err != nil || !last.deadline.IsZero() {
		t.Errorf("%v, deadline %v", err, last.deadline)
	}
	if _, reused, err := open(t, p, time.Time{}); err != nil || !reused {
		t.Errorf("reused %v, %v", reused, err)
	}
}

// timedConn records its deadline.
type timedConn struct {
	*net.TCPConn
	deadline time.Time
}

func (c *timedConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return c.TCPConn.SetDeadline(t)
}

// NextResponse skips a response that belongs to an earlier call, and the connection is then not reused.
func TestNextAnswerSkipsEarlierResponse(t *testing.T) {
	s := newTestServer(t, respondWith(ok200+strings.Replace(ok200, "ok", "me", 1)))
	p := newPools(t, nil).Endpoint(Endpoint{Name: "e", Addr: s.addr})
	c := acquire(t, p)
	resp, err := c.Open(t.Context(), http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil, time.Time{})
	must(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must(t, err)
	resp, err = c.NextResponse()
	must(t, err)
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "me" {
		t.Errorf("%q, %v", b, err)
	}
	c.MarkComplete(resp)
	c.Release(Answered)
	if acquire(t, p).Reused() {
		t.Error("the connection was retained")
	}
}

// A connection is not reused shortly before the endpoint closes it according to its Keep-Alive header.
func TestKeepAliveHeaderBoundsIdleTime(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5":          5*time.Second - keepAliveMargin,
		"timeout=2, max=100": 2*time.Second - keepAliveMargin,
		"max=9, Timeout=3":   3*time.Second - keepAliveMargin,
		"timeout=0":          time.Millisecond,
		"timeout=x":          0,
		"":                   0,
	} {
		if got := parseKeepAlive(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	p := ps.Endpoint(Endpoint{Name: "e"})
	c := acquire(t, p)
	c.keepAlive = 4600 * time.Millisecond
	endCallAs(c, Answered)
	now.tick(4 * time.Second)
	ps.Sweep()
	if c = acquire(t, p); !c.Reused() {
		t.Error("it was closed too early")
	}
	endCallAs(c, Answered)
	now.tick(4600 * time.Millisecond)
	if acquire(t, p).Reused() {
		t.Error("it was reused when the endpoint closes it")
	}
}

// A pool never exceeds MaxConns of its list entry; a call that gets no connection in time fails with ErrBusy.
func TestListedMaxConnsIsNotExceeded(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, func(c *Config) { c.MaxWait = time.Millisecond })
	p := ps.Endpoint(Endpoint{Name: "e", MaxConns: 2})
	one, two := acquire(t, p), acquire(t, p)
	if _, err := p.Acquire(t.Context()); !errors.Is(err, ErrBusy) {
		t.Errorf("%v", err)
	}
	endCallAs(one, Answered)
	if one = acquire(t, p); !one.Reused() || f.maxOpen != 2 {
		t.Errorf("reused %v, %d at most", one.Reused(), f.maxOpen)
	}
	if ps.Endpoint(Endpoint{Name: "e", MaxConns: 3}) != p {
		t.Fatal("another pool")
	}
	three := acquire(t, p)
	ps.Endpoint(Endpoint{Name: "e", MaxConns: 1})
	endCallAs(three, Answered)
	endCallAs(two, Answered)
	endCallAs(one, Answered)
	if f.open != 1 {
		t.Errorf("%d are retained, want 1", f.open)
	}
}

// extendedDeadlineConn extends read deadlines, so that a reset arrives in time on a busy machine too.
type extendedDeadlineConn struct{ *net.TCPConn }

func (c extendedDeadlineConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) > 0 {
		t = t.Add(300 * time.Millisecond)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Some endpoints drop idle connections and reset them at the next byte: a call with DelayEnd is then reported as not
// sent, whatever its size. A call that an endpoint has read completely is never reported as not sent.
func TestDelayedEndFindsForgottenConnection(t *testing.T) {
	for _, end := range []string{"reset", "close"} {
		t.Run(end, func(t *testing.T) {
			var whole atomic.Int64
			s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				if readCall(r) != nil {
					return
				}
				whole.Add(1)
				_, _ = io.WriteString(conn, ok200)
				_, _ = r.ReadByte() // the next byte
				if end == "reset" {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			ps := newPools(t, func(c *Config) {
				c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dialTCP(ctx, addr)
					if err != nil {
						return nil, err
					}
					return extendedDeadlineConn{conn.(*net.TCPConn)}, nil
				}
			})
			p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
			for _, body := range []string{"", "a body", strings.Repeat("b", 60<<10)} {
				for call := range 2 {
					c, err := p.Acquire(t.Context())
					must(t, err)
					if call == 1 {
						c.idleBefore = freshIdle // as if it had been idle
					}
					c.DelayEnd()
					resp, err := c.Open(t.Context(), "POST", postHead(len(body)), []byte(body), time.Now().Add(testTimeout))
					if call == 0 {
						must(t, err)
						_, err := io.Copy(io.Discard, resp.Body)
						must(t, err)
						c.MarkComplete(resp)
						c.Release(Answered)
						continue
					}
					var callErr *CallError
					if !errors.As(err, &callErr) || callErr.Sent || !callErr.Stale {
						t.Errorf("%v, want a call that was not sent", err)
					}
					c.Release(Broken)
				}
			}
			if n := whole.Load(); n != 3 {
				t.Errorf("%d calls were received", n)
			}
		})
	}
}

// With DelayEnd the end of the request follows, and the response arrives.
func TestDelayedEndFollows(t *testing.T) {
	s := newTestServer(t, respondWith(ok200))
	ps := newPools(t, nil)
	p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
	for call := range 20 {
		c, err := p.Acquire(t.Context())
		must(t, err)
		if call > 0 {
			c.idleBefore = freshIdle
		}
		c.DelayEnd()
		resp, err := c.Open(t.Context(), "POST", postHead(2), []byte("ab"), time.Now().Add(testTimeout))
		must(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must(t, err)
		c.MarkComplete(resp)
		c.Release(Answered)
	}
	wantStats(t, ps, 1, 1, 1, 19, 0)
}

// A call cancelled while its end is held back was not sent.
func TestCancelBeforeTheDelayedEnd(t *testing.T) {
	s := newTestServer(t, respondWith(ok200))
	ps := newPools(t, nil)
	p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
	ctx, cancel := context.WithCancel(t.Context())
	c, err := p.Acquire(ctx)
	must(t, err)
	c.idleBefore = freshIdle
	c.DelayEnd()
	cancel()
	var callErr *CallError
	head := []byte("POST / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := c.Open(ctx, "POST", head, nil, time.Time{}); !errors.As(err, &callErr) || callErr.Sent {
		t.Errorf("%v, want a call that was not sent", err)
	}
	c.Release(Canceled)
}
