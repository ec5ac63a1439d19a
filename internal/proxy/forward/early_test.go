package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/proxy/dispatch"
)

// newRawEndpoint starts an endpoint whose connections are each served by a function.
func newRawEndpoint(t *testing.T, id string, serve func(c *net.TCPConn)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				serve(c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		running.Wait()
	})
	return &endpoint{id: id, addr: l.Addr().String()}
}

// An endpoint rejects a long request before it has read it, and its rejection is truncated at any byte. The request is sent to the
// next endpoint only if the rejection was complete, or if the request was certainly not written completely.
func TestEarlyRejectionAtEveryByte(t *testing.T) {
	body := strings.Repeat("b", 1<<20)
	for _, end := range []string{"close", "reset", "wait"} {
		t.Run(end, func(t *testing.T) {
			t.Parallel()
			for at := range len(rejectedAnswer.of("id1", 0)) + 1 {
				if end == "wait" && at < len(rejectedAnswer.of("id1", 0)) {
					continue
				}
				early := newRawEndpoint(t, "early", func(c *net.TCPConn) {
					if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err != nil {
						return
					}
					write(c, rejectedAnswer.of("id1", 0)[:at])
					switch end {
					case "reset":
						_ = c.SetLinger(0)
					case "wait":
						untilClosed(c)
					}
				})
				good := newEndpoint(t, "good", answers(sealed, "fine"))
				g := newRig(t, route(operatorconfig.Writes, 2), early, good)
				a := g.do(plainCall, body)
				calls := good.got()
				switch { // a request that fit into the system's buffers may have been read: then it is not sent again
				case a.status == 200 && a.body == "fine" && a.err == nil && len(calls) == 1 && calls[0].body == body:
				case (a.status == 502 || a.status == 503) && len(calls) == 0 && end != "wait": // 503: the next endpoint was not reached in time
				default:
					t.Errorf("%s at %d: %+v, %d calls at the next endpoint", end, at, a, len(calls))
				}
			}
		})
	}
}

// An endpoint sends any part of an answer before it has received a request: it is never taken for the answer to the next request.
func TestUnsolicitedAnswerAtEveryByte(t *testing.T) {
	unsolicited := answerOf("foreign", sealed, "not asked for")
	for _, method := range []string{"POST", "HEAD"} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			var part atomic.Int64
			e := newRawEndpoint(t, "e1", func(c *net.TCPConn) {
				write(c, unsolicited[:part.Load()])
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				body := "of " + r.Header.Get(headerID)
				if method == "HEAD" {
					body = ""
				}
				write(c, answerOf(r.Header.Get(headerID), sealed, body))
			})
			g := newRig(t, route(operatorconfig.Writes, 1), e)
			for at := range len(unsolicited) + 1 {
				part.Store(int64(at))
				id := fmt.Sprint("id", at)
				conn := g.dial()
				must(t, conn.send(method+" /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: "+id, ""))
				resp, err := http.ReadResponse(conn.br, &http.Request{Method: method})
				must(t, err)
				body, err := io.ReadAll(resp.Body)
				right := err == nil && resp.Header.Get(headerID) == id && (method == "HEAD" || string(body) == "of "+id)
				if resp.StatusCode != http.StatusBadGateway && (resp.StatusCode != 200 || !right) {
					t.Errorf("%d: %d %v %q %v", at, resp.StatusCode, resp.Header, body, err)
				}
				if whole := at == 0 || at == len(unsolicited); whole && method == "POST" && resp.StatusCode != 200 {
					t.Errorf("%d: status %d although the answer arrived", at, resp.StatusCode)
				}
				_ = conn.Close()
				g.p.poolFor(dispatch.Target{ID: e.id, Address: e.addr, Service: "svc"}).CloseIdle()
			}
		})
	}
}

// A late duplicate of an answer that ended an item's run never ends the item's next run, which uses another connection.
func TestLateDuplicateDoesNotEndTheNextRunOfAnItem(t *testing.T) {
	for name, first := range map[string]string{
		"failure":   answerOf("id1", "500 X|X-Dunetide-Server-Seal: s1", "sorry"),
		"rejection": answerOf("id1", "503 X|X-Dunetide-Not-Run: full", ""),
	} {
		t.Run(name, func(t *testing.T) {
			e := newRawEndpoint(t, "e1", func(c *net.TCPConn) {
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Header.Get("X-Attempt") == "1" {
						write(c, first)
						continue
					}
					if n > 0 { // the duplicate of the previous answer, before this one
						write(c, first)
					}
					write(c, streamHead("id1")+chunked(oneEvent(1), ""))
				}
			})
			g := newRig(t, route(operatorconfig.Bulk, 1), e)
			it := item(&g.config.Routes[0])
			it.Header["X-Attempt"] = "1"
			if res := g.p.RunItem(t.Context(), it, "", func(string, []byte) {}); res.State == ItemDone {
				t.Fatalf("%+v", res)
			}
			it.Header["X-Attempt"] = "2"
			if res := g.p.RunItem(t.Context(), it, "", func(string, []byte) {}); res.State != ItemDone {
				t.Errorf("%+v", res)
			}
		})
	}
}

// extendedReadConn extends read deadlines by 300 ms, so that a reset arrives in time on a busy machine too.
type extendedReadConn struct{ *net.TCPConn }

func (c extendedReadConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) > 0 {
		t = t.Add(300 * time.Millisecond)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// newResettingEndpoint starts an endpoint that answers the first request on each connection. It resets the connection at the next
// byte, or after the next request if read is set.
func newResettingEndpoint(t *testing.T, read bool) *endpoint {
	t.Helper()
	return newRawEndpoint(t, "resetting", func(conn *net.TCPConn) {
		br := bufio.NewReader(conn)
		for n := 0; ; n++ {
			if n == 1 && !read {
				_, _ = br.ReadByte()
				_ = conn.SetLinger(0)
				return
			}
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if n == 1 {
				_ = conn.SetLinger(0)
				return
			}
			write(conn, answerOf(r.Header.Get(headerID), sealed, "first"))
		}
	})
}

// An endpoint that has dropped an idle connection resets it at the next byte: a request that may run only once is then sent to
// another endpoint, as its end was not written yet. An endpoint that resets after the last byte may have run the request, which is
// then not sent again.
func TestResetOfIdleConnection(t *testing.T) {
	for name, c := range map[string]struct {
		kind   operatorconfig.RouteKind
		body   string
		method string
		read   bool // the endpoint reads the second request completely and then resets
		status int
	}{
		"writes":           {operatorconfig.Writes, "body", "POST", false, 200},
		"writes, no body":  {operatorconfig.Writes, "", "DELETE", false, 200},
		"writes, long":     {operatorconfig.Writes, strings.Repeat("b", 100<<10), "POST", false, 200},
		"stream":           {operatorconfig.Streaming, "body", "POST", false, 200},
		"read":             {operatorconfig.Writes, "body", "POST", true, 502},
		"read, no body":    {operatorconfig.Writes, "", "DELETE", true, 502},
		"read, idempotent": {operatorconfig.ReadOnly, "body", "POST", true, 200},
	} {
		t.Run(name, func(t *testing.T) {
			resetting := newResettingEndpoint(t, c.read)
			good := newEndpoint(t, "good", answers(sealed, "fine"))
			var later atomic.Int64
			g := newRigWith(t, route(c.kind, 2), func(o *Options) {
				o.Now = func() time.Time { return time.Now().Add(time.Duration(later.Load())) }
				o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					conn, err := dial(ctx, addr)
					if err != nil {
						return nil, err
					}
					return extendedReadConn{conn.(*net.TCPConn)}, nil
				}
			}, resetting, good)
			call := c.method + " /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id1"
			if a := g.do(call, c.body); a.body != "first" {
				t.Fatalf("%+v", a)
			}
			later.Store(int64(100 * time.Millisecond)) // the idle time of the connection
			if a := g.do(call, c.body); a.status != c.status || a.err != nil {
				t.Errorf("%+v, want %d", a, c.status)
			}
			want := 1
			if c.status != 200 {
				want = 0
			}
			outcome := dispatch.Canceled // does not count against the endpoint
			if c.read {
				outcome = dispatch.Broken
			}
			if got := g.a.outcomes()[1]; got != outcome {
				t.Errorf("outcome %v reported to admission, want %v", got, outcome)
			}
			if calls := good.got(); len(calls) != want || want == 1 && calls[0].body != c.body {
				t.Errorf("%d calls at the next endpoint", len(calls))
			}
		})
	}
}

// The answer to a HEAD request has a Content-Length but no body, so the end of another request's answer can't be determined: its
// body is not taken for an answer.
func TestBodyOfAForeignAnswerIsNoAnswer(t *testing.T) {
	e := newEndpoint(t, "e1", func(c net.Conn, r call) bool {
		id := r.Header.Get(headerID)
		_, err := io.WriteString(c, answerOf("foreign", sealed, answerOf(id, "404 X", "")))
		return err == nil
	})
	g := newRig(t, route(operatorconfig.ReadOnly, 1), e)
	conn := g.dial()
	must(t, conn.send("HEAD /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id1", ""))
	resp, err := http.ReadResponse(conn.br, &http.Request{Method: http.MethodHead})
	must(t, err)
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%d", resp.StatusCode)
	}
}
