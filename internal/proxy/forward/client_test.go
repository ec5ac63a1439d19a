package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// Requests whose length is ambiguous run at most once, as net/http reads them, and the bytes after them are not taken for another
// request.
func TestRequestSmuggling(t *testing.T) {
	const inner = "POST /r/inner HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: inner\r\nContent-Length: 0\r\n\r\n"
	const start = "POST /r/x HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: outer\r\n"
	for name, c := range map[string]struct {
		bytes string
		body  string // the body that reaches an endpoint; "-": the request reaches none
		cut   bool   // the request is truncated
	}{
		"length and chunks":           {start + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner), "", false},
		"chunks and length":           {start + fmt.Sprintf("Transfer-Encoding: chunked\r\ncONTENT-lENGTH: %d\r\n\r\n0\r\n\r\n%s", len(inner)+5, inner), "", false},
		"two lengths":                 {start + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + inner, "-", false},
		"a list of lengths":           {start + "Content-Length: 0, 5\r\n\r\n" + inner, "-", false},
		"a signed length":             {start + "Content-Length: +0\r\n\r\n" + inner, "-", false},
		"chunked twice":               {start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, "-", false},
		"another coding":              {start + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" + inner, "-", false},
		"a space before the colon":    {start + "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n" + inner, "-", false},
		"a bare CR in a value":        {start + "X-A: b\rContent-Length: 100\r\n\r\n" + inner, "-", false},
		"a bare LF in a chunk's size": {start + "Transfer-Encoding: chunked\r\n\r\n0\n\n" + inner, "-", false},
		"a chunk that is too long":    {start + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + inner, "-", false},
		"a truncated body":            {start + "Content-Length: 9999\r\n\r\n" + inner, "-", true},
		"no id":                       {strings.Replace(start, "X-Dunetide-Request-Id: outer\r\n", "", 1) + "Content-Length: 0\r\n\r\n", "-", false},
		"two ids":                     {start + "X-Dunetide-Request-Id: inner\r\nContent-Length: 0\r\n\r\n", "-", false},
		"an older protocol":           {strings.Replace(start, "1.1", "1.0", 1) + "Content-Length: 0\r\n\r\n", "-", false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, "e1", answers(sealed, "ok"))
			g := newRig(t, route(operatorconfig.Writes, 1), e)
			client := g.dial()
			_, err := io.WriteString(client, c.bytes)
			must(t, err)
			answers := 0
			if !c.cut { // a half-close before the answer cancels the request and would hide a second run
				if _, err := client.receive(); err == nil {
					answers++
				}
			}
			_ = client.Conn.(*net.TCPConn).CloseWrite() // the connection may be closed already
			rest, _ := io.ReadAll(client.br)            // returns when the connection is closed
			if answers += strings.Count(string(rest), "HTTP/1.1 "); answers > 1 {
				t.Errorf("%d answers, the rest: %q", answers, rest)
			}
			calls := e.got()
			switch {
			case c.body == "-" && len(calls) > 0:
				t.Errorf("the request ran: %+v", calls)
			case c.body != "-" && len(calls) > 1, len(calls) == 1 && (calls[0].body != c.body || calls[0].Header.Get(headerID) != "outer"):
				t.Errorf("calls %+v", calls)
			}
		})
	}
}

// Unambiguous chunked requests keep their connection, also after requests with a Content-Length.
func TestUnambiguousRequestsKeepTheirConnection(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newRig(t, route(operatorconfig.Writes, 1), e)
	c := g.dial()
	for n := range 6 {
		if n%2 == 0 {
			must(t, c.send(fmt.Sprintf("POST /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id%d", n), "body"))
		} else {
			must(t, c.send(fmt.Sprintf("POST /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id%d|Transfer-Encoding: chunked", n), ""))
			_, err := io.WriteString(c, chunked("bo", "dy", ""))
			must(t, err)
		}
		a, err := c.receive()
		if err != nil || a.status != 200 || a.closes || a.header.Get(headerID) != fmt.Sprint("id", n) {
			t.Fatalf("%d: %+v, %v", n, a, err)
		}
	}
}

// Pipelined requests are answered in order, each with its own answer.
func TestPipelinedRequests(t *testing.T) {
	e := newEndpoint(t, "e1", func(c net.Conn, r call) bool {
		_, err := io.WriteString(c, answerOf(r.Header.Get(headerID), sealed, "of "+r.body))
		return err == nil
	})
	g := newRig(t, route(operatorconfig.Writes, 1), e)
	c := g.dial()
	const requests = 20
	for n := range requests {
		must(t, c.send(fmt.Sprintf("POST /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id%d", n), fmt.Sprint("body", n)))
	}
	for n := range requests {
		a, err := c.receive()
		if err != nil || a.header.Get(headerID) != fmt.Sprint("id", n) || a.body != fmt.Sprint("of body", n) {
			t.Fatalf("%d: %+v, %v", n, a, err)
		}
	}
}

// A request that is truncated at any byte does not run.
func TestRequestTruncatedAtEveryByte(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newRig(t, route(operatorconfig.Writes, 1), e)
	for name, whole := range map[string]string{
		"length": "POST /r/x HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: id1\r\nContent-Length: 4\r\n\r\nbody",
		"chunks": "POST /r/x HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("bo", "dy", ""),
	} {
		for cut := range len(whole) {
			for _, reset := range []bool{false, true} {
				c := g.dial()
				_, err := io.WriteString(c, whole[:cut])
				must(t, err)
				if reset {
					must(t, c.Conn.(*net.TCPConn).SetLinger(0))
					_ = c.Close()
				} else {
					must(t, c.Conn.(*net.TCPConn).CloseWrite())
					if a, err := c.receive(); err == nil && a.status < 400 {
						t.Errorf("%s cut at %d: %+v", name, cut, a)
					}
					_ = c.Close()
				}
			}
		}
	}
	if n := len(e.got()); n > 0 {
		t.Errorf("%d ran", n)
	}
}

// A slow body is not awaited beyond the route's timeout.
func TestSlowBodyIsNotAwaitedBeyondTheTimeout(t *testing.T) {
	r := route(operatorconfig.Writes, 1)
	r.TimeoutMs = 100
	g := newRig(t, r, newEndpoint(t, "e1", answers(sealed, "ok")))
	c := g.dial()
	began := time.Now()
	_, err := io.WriteString(c, "POST /r/x HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: id1\r\nContent-Length: 4\r\n\r\nbo")
	must(t, err)
	a, err := c.receive()
	if err != nil || a.status != 408 || !a.closes {
		t.Errorf("%+v, %v", a, err)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("held for %v", took)
	}
}

// A request is not held beyond its deadline by an endpoint that does not accept connections.
func TestDialIsNotWaitedForBeyondTheDeadline(t *testing.T) {
	r := route(operatorconfig.Writes, 1)
	r.TimeoutMs = 60
	dials := make(chan time.Duration, 1)
	g := newRigWith(t, r, func(o *Options) {
		o.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			began := time.Now()
			<-ctx.Done()
			dials <- time.Since(began)
			return nil, ctx.Err()
		}
	}, &endpoint{id: "dark", addr: "127.0.0.1:1"})
	if a := g.do(plainCall, "x"); a.status != 503 {
		t.Errorf("%+v", a)
	}
	if took := <-dials; took > dialTimeout*3/4 {
		t.Errorf("the dial was awaited for %v", took)
	}
}

// Whatever a client sends, each request that reaches an endpoint is contained in its bytes and has one id, and there are no more
// answers than requests.
func FuzzClient(f *testing.F) {
	const start = "POST /r/x HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: id1\r\n"
	f.Add([]byte(start + "Content-Length: 4\r\n\r\nbody"))
	f.Add([]byte(start + "Transfer-Encoding: chunked\r\n\r\n" + chunked("bo", "dy", "")))
	f.Add([]byte(start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + start + "\r\n"))
	f.Add([]byte(start + "\r\n" + start + "\r\n"))
	f.Add([]byte(start + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("GET http://h.example/r/%2f?a#b HTTP/1.1\nHost: h.example\nX-Dunetide-Request-Id: id1\nConnection: x-dunetide-request-id\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		// A new endpoint for each input: a call may reach it after the client has disconnected.
		e := newEndpoint(t, "e1", answers(sealed, "ok"))
		g := newRig(t, route(operatorconfig.Writes, 1), e)
		c, err := net.Dial("tcp", g.addr)
		must(t, err)
		defer func() { _ = c.Close() }()
		must(t, c.SetDeadline(time.Now().Add(testTimeout)))
		if _, err := c.Write(b); err == nil {
			_ = c.(*net.TCPConn).CloseWrite()
		}
		answers, _ := io.ReadAll(c)
		calls := e.got()
		ambiguous := false
		for n, r := range calls {
			ids := r.Header[headerID]
			// A value that is folded over several lines is joined with a space (RFC 9112, 5.2).
			if len(ids) != 1 || !bytes.Contains(joinedFields(b), joinedFields([]byte(ids[0]))) || !bytes.Contains(b, []byte(r.Method)) || !strings.HasPrefix(r.RequestURI, "/") {
				t.Errorf("call %d of %q: %+v", n, b, r)
			}
			if ambiguous {
				t.Errorf("call %d of %q follows an ambiguous one", n, b)
			}
			ambiguous = n == 0 && ambiguousHead(b)
		}
		if n := bytes.Count(answers, []byte("HTTP/1.1 ")); n > bytes.Count(b, []byte("\n"))+1 { // includes a 400 for bytes that are not a request
			t.Errorf("%d answers to %q", n, b)
		}
		if n := bytes.Count(answers, []byte("HTTP/1.1 200")); n > len(calls) {
			t.Errorf("%d successes for %d calls of %q", n, len(calls), b)
		}
	})
}

// joinedFields removes all white space.
func joinedFields(b []byte) []byte { return bytes.Join(bytes.Fields(b), nil) }

// ambiguousHead reports whether the first head has a Content-Length and a Transfer-Encoding.
func ambiguousHead(b []byte) bool {
	length, coding := false, false
	for line := range bytes.Lines(b) {
		line = bytes.ToLower(bytes.TrimRight(line, "\r\n"))
		if len(line) == 0 {
			break
		}
		length = length || bytes.HasPrefix(line, []byte("content-length:"))
		coding = coding || bytes.HasPrefix(line, []byte("transfer-encoding:"))
	}
	return length && coding
}
