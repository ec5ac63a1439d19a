package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// testServer is an endpoint on loopback that calls serve for each connection.
type testServer struct {
	addr  string
	conns atomic.Int64 // accepted so far
	open  atomic.Int64
}

func newTestServer(t *testing.T, serve func(n int64, conn net.Conn, r *bufio.Reader)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	s := &testServer{addr: l.Addr().String()}
	var running sync.WaitGroup
	var mu sync.Mutex
	all := map[net.Conn]bool{} // nil: the test has ended
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			ended := all == nil
			if !ended {
				all[conn] = true
			}
			mu.Unlock()
			if ended { // the clean-up would not close it, and its server would wait forever
				_ = conn.Close()
				return
			}
			s.open.Add(1)
			running.Go(func() {
				defer s.open.Add(-1)
				defer conn.Close()
				serve(s.conns.Add(1), conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for conn := range all {
			_ = conn.Close()
		}
		all = nil
		mu.Unlock()
		running.Wait()
	})
	return s
}

// readCall reads one request to its end.
func readCall(r *bufio.Reader) error {
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// respondWith returns a server that sends the same response to each request.
func respondWith(response string) func(int64, net.Conn, *bufio.Reader) {
	return func(_ int64, conn net.Conn, r *bufio.Reader) {
		for readCall(r) == nil {
			_, _ = io.WriteString(conn, response)
		}
	}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

func newPools(t *testing.T, change func(*Config)) *Pools {
	t.Helper()
	c := Config{Dial: dialTCP, Now: time.Now, Rand: func() float64 { return 0.5 }, Senders: 1, MaxOpen: 100,
		MaxIdle: time.Minute, DialTimeout: testTimeout}
	if change != nil {
		change(&c)
	}
	ps := New(c)
	t.Cleanup(ps.Close)
	return ps
}

func request(addr string, body int) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/events", bytes.NewReader(make([]byte, body)))
	if err != nil {
		panic(err)
	}
	return req
}

// call makes one call and releases its connection.
func call(t *testing.T, p *Pool, body int) (status int, reused bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := p.Acquire(ctx)
	must(t, err)
	reused = c.Reused()
	resp, err := c.Send(ctx, request(p.endpoint.Addr, body))
	if err != nil {
		c.Release(Broken)
		return 0, reused, err
	}
	if _, err = c.Body(ctx, resp, 64<<10); err != nil {
		c.Release(Broken)
		return resp.StatusCode, reused, err
	}
	c.Release(Answered)
	return resp.StatusCode, reused, nil
}

// wantStats compares the counts of the pools with open, idle, opened, reused and broken.
func wantStats(t *testing.T, ps *Pools, open, idle int, opened, reused, broken int64) {
	t.Helper()
	o := ps.Stats(10)
	s := o.Pools[0]
	if o.Open != open || s.Idle != idle || s.Opened != opened || s.Reused != reused || s.Broken != broken {
		t.Errorf("%d open, %+v; want %d open, %d idle, %d opened, %d reused, %d broken", o.Open, s, open, idle, opened, reused, broken)
	}
}

// A connection is reused only after a complete and well-formed response with nothing following it.
func TestConnectionIsReusedOnlyAfterACleanEnd(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		status   int
		keep     bool
	}{
		"clean":                    {ok200, 200, true},
		"empty":                    {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 503, true},
		"chunked":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, true},
		"interim":                  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + ok200, 200, true},
		"Connection: close":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 200, false},
		"HTTP/1.0":                 {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, false},
		"bytes after the response": {ok200 + "x", 200, false},
		"second response":          {ok200 + ok200, 200, false},
		"too long":                 {"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), 200, false},
		"endless":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4000\r\n"+strings.Repeat("x", 0x4000)+"\r\n", 20), 200, false},
		"endless head":             {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: "+strings.Repeat("x", 1000)+"\r\n", 300), 0, false},
		"endless interim":          {strings.Repeat("HTTP/1.1 102 X\r\n\r\n", 50) + ok200, 0, false},
		"switching":                {"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", 0, false},
		"malformed":                {"what?\r\n\r\n", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, respondWith(c.response))
			ps := newPools(t, nil)
			p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
			status, _, err := call(t, p, 10)
			if status != c.status || c.keep && err != nil {
				t.Errorf("status %d, %v, want %d", status, err, c.status)
			}
			if idle := ps.Stats(1).Pools[0].Idle; idle == 1 != c.keep {
				t.Errorf("%d connections retained, want retained: %v", idle, c.keep)
			}
			// The next call must not receive data that followed this response.
			if _, reused, _ := call(t, p, 10); reused != c.keep {
				t.Errorf("reused: %v", reused)
			}
		})
	}
}

// A complete status line proves delivery even if the rest of the response can't be read; that of an interim response
// doesn't.
func TestStatusLineOfABrokenResponse(t *testing.T) {
	for response, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Len": true,
		"HTTP/1.1 200":                   false,
		"HTTP/1.1 503 X\r\nContent-Len":  false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Len": true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20":                    false,
	} {
		s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			if readCall(r) == nil {
				_, _ = io.WriteString(conn, response)
			}
		})
		_, _, err := call(t, newPools(t, nil).Endpoint(Endpoint{Name: "e", Addr: s.addr}), 10)
		var callErr *CallError
		if !errors.As(err, &callErr) || !callErr.Sent || callErr.Delivered != want {
			t.Errorf("%q: %+v, want sent, delivered %v", response, callErr, want)
		}
	}
}

// A connection that was closed, was reset, or has received data while idle is detected before it is reused.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed":    func(c net.Conn) { _ = c.Close() },
		"reset":     func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
		"sent data": func(c net.Conn) { _, _ = io.WriteString(c, ok200) },
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			s := newTestServer(t, func(n int64, conn net.Conn, r *bufio.Reader) {
				for readCall(r) == nil {
					_, _ = io.WriteString(conn, ok200)
					if n == 1 {
						end(conn)
						close(ended)
						_, _ = r.ReadByte() // until the client closes
						return
					}
				}
			})
			ps := newPools(t, nil)
			p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
			if _, _, err := call(t, p, 10); err != nil {
				t.Fatal(err)
			}
			<-ended
			status, reused, err := call(t, p, 10)
			if status != 200 || reused || err != nil {
				t.Errorf("second call: %d, reused %v, %v; want a delivery on a new connection", status, reused, err)
			}
			wantStats(t, ps, 1, 1, 2, 0, 0)
		})
	}
}

// A call that breaks before its last byte is reported as not sent; after that it may have been executed, and it is
// not sent again.
func TestBrokenCallReportsWhetherItWasSent(t *testing.T) {
	t.Run("reset half way", func(t *testing.T) {
		s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
			_, _ = r.ReadByte()
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		ps := newPools(t, nil)
		_, _, err := call(t, ps.Endpoint(Endpoint{Name: "e", Addr: s.addr}), 32<<20) // more than any buffer holds
		var callErr *CallError
		if !errors.As(err, &callErr) || callErr.Sent {
			t.Errorf("%v, want a call that was not sent", err)
		}
		wantStats(t, ps, 0, 0, 1, 0, 0)
	})
	for name, body := range map[string]int{"short": 10, "long": 60 << 10} {
		t.Run("reset after the last byte, "+name, func(t *testing.T) {
			var copies atomic.Int64
			s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
				for i := 0; readCall(r) == nil; i++ {
					copies.Add(1)
					if i == 1 {
						_ = conn.(*net.TCPConn).SetLinger(0)
						return
					}
					_, _ = io.WriteString(conn, ok200)
				}
			})
			ps := newPools(t, nil)
			p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
			_, _, err := call(t, p, body)
			must(t, err)
			_, reused, err := call(t, p, body)
			var callErr *CallError
			if !errors.As(err, &callErr) || !callErr.Sent || callErr.Delivered || !reused {
				t.Errorf("%v, reused %v; want a sent call that broke on a reused connection", err, reused)
			}
			if n := copies.Load(); n != 2 {
				t.Errorf("%d requests were received for 2 calls", n)
			}
			wantStats(t, ps, 0, 0, 1, 1, 1)
		})
	}
	t.Run("accepted and closed at once", func(t *testing.T) {
		s := newTestServer(t, func(int64, net.Conn, *bufio.Reader) {})
		ps := newPools(t, nil)
		for range 3 {
			if _, _, err := call(t, ps.Endpoint(Endpoint{Name: "e", Addr: s.addr}), 10); err == nil {
				t.Error("a call succeeded")
			}
		}
		wantStats(t, ps, 0, 0, 3, 0, 0)
	})
}

// An endpoint may respond without reading the whole request. The response counts, the connection is not reused, and
// writing stops.
func TestResponseBeforeTheRequestIsWritten(t *testing.T) {
	release := make(chan struct{})
	s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
		<-release
	})
	ps := newPools(t, nil)
	status, _, err := call(t, ps.Endpoint(Endpoint{Name: "e", Addr: s.addr}), 32<<20)
	if status != 503 || err != nil {
		t.Errorf("%d, %v, want the early response", status, err)
	}
	wantStats(t, ps, 0, 0, 1, 0, 0)
	close(release)
}

// The connection of a long request is reused if the response follows the complete request.
func TestLongRequestKeepsItsConnection(t *testing.T) {
	s := newTestServer(t, respondWith(ok200))
	ps := newPools(t, nil)
	p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
	for range 20 {
		_, _, err := call(t, p, 60<<10)
		must(t, err)
	}
	wantStats(t, ps, 1, 1, 1, 19, 0)
}

// A call to an unresponsive endpoint ends with its context, and its connection is closed.
func TestUnresponsiveEndpointTimesOut(t *testing.T) {
	closed := make(chan struct{})
	s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	})
	ps := newPools(t, nil)
	p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Acquire(ctx)
	must(t, err)
	time.AfterFunc(0, cancel)
	if _, err := c.Send(ctx, request(s.addr, 10)); err == nil || ctx.Err() == nil {
		t.Errorf("%v, context %v", err, ctx.Err())
	}
	c.Release(Canceled)
	<-closed
	wantStats(t, ps, 0, 0, 1, 0, 0)
}

// Reading a body that arrives too slowly ends with the context; the connection is not retained.
func TestSlowBodyTimesOut(t *testing.T) {
	s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		if readCall(r) == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			_, _ = r.ReadByte()
		}
	})
	ps := newPools(t, nil)
	p := ps.Endpoint(Endpoint{Name: "e", Addr: s.addr})
	c, err := p.Acquire(t.Context())
	must(t, err)
	resp, err := c.Send(t.Context(), request(s.addr, 10))
	must(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(0, cancel)
	if _, err := c.Body(ctx, resp, 100); err == nil {
		t.Error("an incomplete body was read without an error")
	}
	c.Release(Broken)
	wantStats(t, ps, 0, 0, 1, 0, 0)
}

// The response to one call never reaches the next call, even if connections are reused at once: an endpoint that
// sends each response twice never completes more calls than it has read.
func TestResponsesNeverReachTheNextCall(t *testing.T) {
	var read atomic.Int64
	s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		for readCall(r) == nil {
			read.Add(1)
			_, _ = fmt.Fprint(conn, ok200, ok200)
		}
	})
	p := newPools(t, nil).Endpoint(Endpoint{Name: "e", Addr: s.addr})
	good := int64(0)
	for range 200 {
		if status, _, err := call(t, p, 10); err == nil && status == 200 {
			good++
		}
	}
	if n := read.Load(); n < good {
		t.Errorf("%d calls got a response, but only %d were read", good, n)
	}
}
