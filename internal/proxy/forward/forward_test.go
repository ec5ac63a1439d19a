package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/proxy/dispatch"
)

const testTimeout = 10 * time.Second

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// eventually waits until a condition holds and fails the test after a timeout.
func eventually(t testing.TB, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", within, what)
		}
	}
}

// call is a request as an endpoint received it.
type call struct {
	*http.Request
	body string
}

// endpoint is a scripted endpoint on loopback.
type endpoint struct {
	id, addr string
	mu       sync.Mutex
	calls    []call
	conns    int
}

func (e *endpoint) got() []call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.calls)
}

// received reports whether a request with this id has arrived.
func (e *endpoint) received(id string) bool {
	return slices.ContainsFunc(e.got(), func(c call) bool { return c.Header.Get(headerID) == id })
}

// forget drops the recorded calls, for rigs that serve an unlimited number of requests.
func (e *endpoint) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = nil
}

func (e *endpoint) opened() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns
}

// newEndpoint starts an endpoint that answers each call by a function. The connection is closed when
// the function returns false.
func newEndpoint(t testing.TB, id string, serve func(c net.Conn, r call) bool) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	e := &endpoint{id: id, addr: l.Addr().String()}
	var running sync.WaitGroup
	all := map[net.Conn]bool{}
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			all[conn] = true
			e.mu.Unlock()
			running.Go(func() {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					c := call{r, string(body)}
					e.mu.Lock()
					e.calls = append(e.calls, c)
					e.mu.Unlock()
					if !serve(conn, c) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		e.mu.Lock()
		for c := range all {
			_ = c.Close()
		}
		e.mu.Unlock()
		running.Wait()
	})
	return e
}

// answers returns a function that answers with a head and a Content-Length. Lines are separated by "|".
func answers(lines, body string) func(net.Conn, call) bool {
	return func(c net.Conn, r call) bool {
		_, err := io.WriteString(c, answerOf(r.Header.Get(headerID), lines, body))
		return err == nil
	}
}

func answerOf(id, lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Dunetide-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		strings.ReplaceAll(lines, "|", "\r\n"), id, len(body), body)
}

const sealed = "200 OK|X-Dunetide-Server-Seal: s1"

// chunked returns a body in chunked transfer coding.
func chunked(pieces ...string) string {
	var b strings.Builder
	for _, p := range pieces {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String()
}

func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Dunetide-Server-Seal: s1\r\nTransfer-Encoding: chunked\r\nX-Dunetide-Request-Id: " + id + "\r\n\r\n"
}

func oneEvent(n int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n) }

// grantEnd is the end of a run as reported to admission.
type grantEnd struct {
	id      string
	outcome dispatch.Outcome
	load    dispatch.Load
}

// admission grants the first endpoint that is not to be avoided.
type admission struct {
	mu       sync.Mutex
	all      []*endpoint
	requests []dispatch.Request
	ends     []grantEnd
	firsts   int
	refuse   error
}

type grant struct {
	a    *admission
	e    *endpoint
	over bool
}

func (a *admission) Acquire(ctx context.Context, r *dispatch.Request) (dispatch.Grant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	asked := *r
	asked.Avoid = slices.Clone(r.Avoid)
	a.requests = append(a.requests, asked)
	if a.refuse != nil {
		return nil, a.refuse
	}
	for _, e := range a.all {
		if !slices.Contains(r.Avoid, e.id) {
			return &grant{a: a, e: e}, nil
		}
	}
	return nil, &dispatch.RefusedError{Reason: "none", RetryAfter: 250 * time.Millisecond}
}

func (g *grant) Endpoint() dispatch.Target {
	return dispatch.Target{ID: g.e.id, Address: g.e.addr, Service: "svc"}
}

func (g *grant) FirstToken(dispatch.Load) {
	g.a.mu.Lock()
	defer g.a.mu.Unlock()
	g.a.firsts++
}

func (g *grant) End(o dispatch.Outcome, l dispatch.Load) {
	g.a.mu.Lock()
	defer g.a.mu.Unlock()
	if g.over {
		panic("a grant was ended twice")
	}
	g.over = true
	g.a.ends = append(g.a.ends, grantEnd{g.e.id, o, l})
}

// forget drops the recorded requests, for rigs that serve an unlimited number of them.
func (a *admission) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests, a.ends = nil, nil
}

func (a *admission) outcomes() []dispatch.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []dispatch.Outcome
	for _, e := range a.ends {
		all = append(all, e.outcome)
	}
	return all
}

// rig is a proxy that accepts clients on loopback.
type rig struct {
	t      testing.TB
	p      *Proxy
	a      *admission
	addr   string
	config *operatorconfig.Config
}

func route(kind operatorconfig.RouteKind, tries int) operatorconfig.Route {
	return operatorconfig.Route{Name: "r", Host: "h.example", PathPrefix: "/r/", Kind: kind, TimeoutMs: 5000, LatencyTargetMs: 300, MaxAttempts: tries,
		Shares: []operatorconfig.Share{{Service: "svc", Weight: 1}}}
}

// firstMatch replaces the configuration's own Match, which finds only routes of a parsed configuration.
func firstMatch(c *operatorconfig.Config, host, path string) *operatorconfig.Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Host == host && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

func newRig(t testing.TB, r operatorconfig.Route, endpoints ...*endpoint) *rig {
	t.Helper()
	return newRigWith(t, r, func(*Options) {}, endpoints...)
}

// newRigWith is newRig with other options.
func newRigWith(t testing.TB, r operatorconfig.Route, change func(o *Options), endpoints ...*endpoint) *rig {
	t.Helper()
	c := &operatorconfig.Config{Version: 1, Routes: []operatorconfig.Route{r}, Services: map[string]*operatorconfig.Service{"svc": {Name: "svc"}}}
	g := &rig{t: t, a: &admission{all: endpoints}, config: c}
	holder := &snapshot.Latest{}
	holder.Set(&snapshot.Snapshot{Config: c, Proxies: 1})
	o := Options{Snapshots: holder, Admission: g.a, DrainWait: time.Millisecond, Match: firstMatch}
	change(&o)
	g.p = New(o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	g.addr = l.Addr().String()
	done := make(chan error, 1)
	go func() { done <- g.p.Serve(l) }()
	t.Cleanup(func() {
		_ = g.p.Server().Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
		g.p.connections.Close()
	})
	return g
}

// client is a raw connection to the proxy.
type client struct {
	net.Conn
	br *bufio.Reader
}

func (g *rig) dial() *client {
	g.t.Helper()
	c, err := net.Dial("tcp", g.addr)
	must(g.t, err)
	g.t.Cleanup(func() { _ = c.Close() })
	must(g.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(lines, body string) error {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c, strings.ReplaceAll(lines, "|", "\r\n")+"\r\n"+length+"\r\n"+body)
	return err
}

// clientAnswer is an answer as a client sees it.
type clientAnswer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
	closes bool  // the proxy closes the connection
}

func (c *client) receive() (clientAnswer, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return clientAnswer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return clientAnswer{resp.StatusCode, resp.Header, string(body), err, resp.Close}, nil
}

const plainCall = "POST /r/x?q=1%2f HTTP/1.1|Host: H.example:80|X-Dunetide-Request-Id: id1"

func (g *rig) do(lines, body string) clientAnswer {
	g.t.Helper()
	c := g.dial()
	must(g.t, c.send(lines, body))
	a, err := c.receive()
	if err != nil {
		return clientAnswer{err: err}
	}
	return a
}

func TestRequestAndAnswerAreForwardedUnchanged(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed+"|X-Any: 1|Keep-Alive: timeout=9|X-Dunetide-Server-Load: 3,1,8", "the body"))
	g := newRig(t, route(operatorconfig.Writes, 1), e)
	c := g.dial()
	for range 2 {
		must(t, c.send("PUT /r/a%20b/%2F?q=1&&x HTTP/1.1|Host: H.example:80|X-Dunetide-Request-Id: id1|X-Mine: a|X-Mine: b|"+
			"Connection: X-Hop|X-Hop: 1|Te: trailers|X-Dunetide-Time-Left-Ms: 4000|X-Dunetide-Target-Instance: other|Last-Event-Id: 4|"+
			"X-Dunetide-Model: m|X-Dunetide-Token-Count: 14,80|X-Dunetide-Prompt-Prefix: ff:8,a:6", "hello"))
		a, err := c.receive()
		must(t, err)
		if a.status != 200 || a.body != "the body" || a.err != nil {
			t.Fatalf("%+v", a)
		}
		for name := range a.header {
			if !slices.Contains([]string{"X-Any", "X-Dunetide-Server-Seal", "X-Dunetide-Request-Id", "Content-Length", "X-Dunetide-Server-Load"}, name) {
				t.Errorf("header %s was added", name)
			}
		}
	}
	if n := e.opened(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
	r := e.got()[0]
	if r.Method != "PUT" || r.RequestURI != "/r/a%20b/%2F?q=1&&x" || r.Host != "H.example:80" || r.body != "hello" {
		t.Errorf("%s %s %s %q", r.Method, r.RequestURI, r.Host, r.body)
	}
	var names []string
	for name := range r.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	want := []string{"Content-Length", "Last-Event-Id", "X-Dunetide-Model", "X-Dunetide-Prompt-Prefix", "X-Dunetide-Request-Id",
		"X-Dunetide-Target-Instance", "X-Dunetide-Time-Left-Ms", "X-Dunetide-Token-Count", "X-Mine"}
	if !slices.Equal(names, want) {
		t.Errorf("headers %v, want %v", names, want)
	}
	if left := parseCount(r.Header.Get(headerTimeLeft)); left < 3000 || left >= 4000 {
		t.Errorf("%d ms left", left)
	}
	if r.Header.Get(headerTarget) != "e1" || len(r.Header["X-Mine"]) != 2 || r.Header.Get(headerLastEvent) != "4" {
		t.Errorf("%v", r.Header)
	}
	q := g.a.requests[0]
	if q.ID != "id1" || q.Model != "m" || q.TokensIn != 14 || q.TokensOut != 80 || q.Service != "svc" || q.Bulk ||
		!slices.Equal(q.Prefix, []dispatch.PromptPart{{ID: 255, Tokens: 8}, {ID: 10, Tokens: 6}}) {
		t.Errorf("%+v", q)
	}
	if want := (grantEnd{"e1", dispatch.Served, dispatch.Load{Running: 3, Waiting: 1, Slots: 8, Known: true}}); g.a.ends[0] != want || g.a.firsts != 2 {
		t.Errorf("%+v, %d firsts", g.a.ends[0], g.a.firsts)
	}
}

var wholeAnswer = answerOf("id1", sealed, "ok")

// endpointAnswers has the expected result for each kind of answer of the first endpoint, for requests that may run only
// once and for requests that may run again. The second endpoint serves.
var endpointAnswers = map[string]struct {
	bytes        string
	writes, read int // the status that the client receives; 0: none
	outcome      dispatch.Outcome
}{
	"whole":            {wholeAnswer, 200, 200, dispatch.Served},
	"interim":          {"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + wholeAnswer, 200, 200, dispatch.Served},
	"surplus before":   {answerOf("id0", sealed, "other") + wholeAnswer, 200, 200, dispatch.Served},
	"surplus only":     {answerOf("id0", sealed, "other"), 502, 200, dispatch.Broken},
	"four surplus":     {strings.Repeat(answerOf("id0", sealed, "other"), 4) + wholeAnswer, 502, 200, dispatch.Broken},
	"no id":            {"HTTP/1.1 200 OK\r\nX-Dunetide-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok", 502, 200, dispatch.Broken},
	"not run, foreign": {answerOf("id0", "503 X|X-Dunetide-Not-Run: 1", ""), 502, 200, dispatch.Broken},
	"no seal":          {answerOf("id1", "200 OK", "ok"), 502, 200, dispatch.Broken},
	"encoded":          {answerOf("id1", sealed+"|Content-Encoding: gzip", "ok"), 502, 200, dispatch.Broken},
	"no end":           {"HTTP/1.1 200 OK\r\nX-Dunetide-Server-Seal: s\r\nX-Dunetide-Request-Id: id1\r\n\r\nok", 502, 200, dispatch.Broken},
	"not http":         {"what?\r\n\r\n", 502, 200, dispatch.Broken},
	"nothing":          {"", 502, 200, dispatch.Broken},
	"503 not run":      {answerOf("id1", "503 X|X-Dunetide-Not-Run: full", ""), 200, 200, dispatch.NotRun},
	"429 not run":      {answerOf("id1", "429 X|X-Dunetide-Not-Run: 1", "x"), 200, 200, dispatch.NotRun},
	"421":              {answerOf("id1", "421 X", ""), 200, 200, dispatch.Misdirected},
	"503":              {answerOf("id1", "503 X", ""), 502, 200, dispatch.Failed},
	"429":              {answerOf("id1", "429 X", ""), 502, 200, dispatch.Failed},
	"408":              {answerOf("id1", "408 X", ""), 502, 200, dispatch.Failed},
	"500":              {answerOf("id1", "500 X", "sorry"), 500, 200, dispatch.Failed},
	"500 not run":      {answerOf("id1", "500 X|X-Dunetide-Not-Run: 1", "sorry"), 500, 200, dispatch.Failed},
	"504 not run":      {answerOf("id1", "504 X|X-Dunetide-Not-Run: 1", ""), 504, 504, dispatch.Failed},
	"200 not run":      {answerOf("id1", sealed+"|X-Dunetide-Not-Run: 1", "x"), 502, 200, dispatch.Broken},
	"two ids":          {answerOf("id1", sealed+"|X-Dunetide-Request-Id: id0", "ok"), 502, 200, dispatch.Broken},
	"504":              {answerOf("id1", "504 X", ""), 504, 504, dispatch.Failed},
	"422":              {answerOf("id1", "422 X", "no"), 422, 422, dispatch.Served},
	"400 not run":      {answerOf("id1", "400 X|X-Dunetide-Not-Run: 1", "no"), 400, 400, dispatch.Served},
	"204":              {"HTTP/1.1 204 X\r\nX-Dunetide-Server-Seal: s\r\nX-Dunetide-Request-Id: id1\r\n\r\n", 204, 204, dispatch.Served},
	"chunked":          {"HTTP/1.1 200 OK\r\nX-Dunetide-Server-Seal: s\r\nX-Dunetide-Request-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("o", "k", ""), 200, 200, dispatch.Served},
}

func TestAnswersOfAnEndpoint(t *testing.T) {
	for name, c := range endpointAnswers {
		for kind, status := range map[operatorconfig.RouteKind]int{operatorconfig.Writes: c.writes, operatorconfig.ReadOnly: c.read} {
			t.Run(fmt.Sprintf("%s/%d", name, kind), func(t *testing.T) {
				bad := newEndpoint(t, "bad", func(conn net.Conn, _ call) bool {
					_, _ = io.WriteString(conn, c.bytes)
					return false
				})
				good := newEndpoint(t, "good", answers(sealed, "fine"))
				g := newRig(t, route(kind, 2), bad, good)
				a := g.do(plainCall, "body")
				if a.status != status || a.err != nil {
					t.Errorf("%+v, want %d", a, status)
				}
				if got := g.a.outcomes(); got[0] != c.outcome {
					t.Errorf("outcomes %v, want %v first", got, c.outcome)
				}
				if a.status >= 200 && a.status < 300 && a.header.Get(headerSeal) == "" || a.header.Get(headerID) != "id1" {
					t.Errorf("headers %v", a.header)
				}
				if len(bad.got()) != 1 {
					t.Errorf("%d calls", len(bad.got()))
				}
			})
		}
	}
}

// An answer that is truncated at any byte never looks complete, and a request that may run only once
// is never sent again.
func TestAnswerTruncatedAtEveryByte(t *testing.T) {
	plain := answerOf("id1", sealed, "the whole body")
	inChunks := "HTTP/1.1 200 OK\r\nX-Dunetide-Server-Seal: s\r\nX-Dunetide-Request-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("the whole", " body", "")
	stream := streamHead("id1") + chunked(oneEvent(1), oneEvent(2)[:4], oneEvent(2)[4:]+oneEvent(3), "")
	want := oneEvent(1) + oneEvent(2) + oneEvent(3)
	for name, whole := range map[string]string{"plain": plain, "chunked": inChunks, "stream": stream} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			bad := newEndpoint(t, "bad", func(conn net.Conn, _ call) bool {
				_, _ = io.WriteString(conn, whole[:cut])
				return false
			})
			good := newEndpoint(t, "good", answers(sealed, "fine"))
			g := newRig(t, route(operatorconfig.Writes, 2), bad, good)
			if name == "stream" {
				g.config.Routes[0].Kind = operatorconfig.Streaming
			}
			for cut = range len(whole) {
				a := g.do(plainCall, "body")
				switch {
				case a.status == http.StatusBadGateway && a.err == nil:
				case name == "stream" && a.status == 200 && a.err != nil && strings.HasPrefix(want, a.body) &&
					(a.body == "" || strings.HasSuffix(a.body, "\n\n")):
				default:
					t.Errorf("cut at %d: %+v", cut, a)
				}
			}
			if n := len(good.got()); n != 0 {
				t.Errorf("%d calls were sent again", n)
			}
		})
	}
}

func TestStreamIsForwardedEventByEvent(t *testing.T) {
	step := make(chan string)
	e := newEndpoint(t, "e1", func(c net.Conn, r call) bool {
		_, _ = io.WriteString(c, streamHead(r.Header.Get(headerID)))
		for s := range step {
			if _, err := io.WriteString(c, s); err != nil {
				return false
			}
		}
		return true
	})
	g := newRig(t, route(operatorconfig.Streaming, 1), e)
	c := g.dial()
	must(t, c.send(plainCall, "body"))
	var resp *http.Response
	for n := 1; n <= 3; n++ {
		step <- chunked(oneEvent(n)[:3])
		step <- chunked(oneEvent(n)[3:])
		if resp == nil {
			var err error
			resp, err = http.ReadResponse(c.br, nil)
			must(t, err)
		}
		b := make([]byte, len(oneEvent(n)))
		if _, err := io.ReadFull(resp.Body, b); err != nil || string(b) != oneEvent(n) {
			t.Fatalf("%q, %v", b, err)
		}
	}
	step <- chunked("")
	close(step)
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v", rest, err)
	}
	if resp.Header.Get("Content-Type") != "text/event-stream" || resp.Header.Get(headerSeal) != "s1" {
		t.Errorf("%v", resp.Header)
	}
}

// A resumable stream continues after its last complete event, whatever interrupted it.
func TestStreamIsResumed(t *testing.T) {
	first := streamHead("id1") + chunked(oneEvent(1), oneEvent(2), oneEvent(3)[:5])
	for name, c := range map[string]struct {
		second string // of the second endpoint
		body   string
		whole  bool
		calls  int // of the third endpoint
	}{
		"resumes":       {streamHead("id1") + chunked(oneEvent(3), oneEvent(4), ""), "1234", true, 0},
		"starts over":   {streamHead("id1") + chunked(oneEvent(1), oneEvent(2), oneEvent(3), oneEvent(4), ""), "1234", true, 1},
		"rejects":       {answerOf("id1", "503 X|X-Dunetide-Not-Run: 1", ""), "1234", true, 1},
		"misdirected":   {answerOf("id1", "421 X", ""), "1234", true, 1},
		"fails":         {answerOf("id1", "500 X", "x"), "1234", true, 1},
		"truncated too": {streamHead("id1") + chunked(oneEvent(3)), "1234", true, 1},
		"not a stream":  {answerOf("id1", sealed, "x"), "1234", true, 1},
		"unprocessable": {answerOf("id1", "422 X", "x"), "1234", true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			send := func(s string) func(net.Conn, call) bool {
				return func(conn net.Conn, _ call) bool { _, _ = io.WriteString(conn, s); return false }
			}
			e1, e2 := newEndpoint(t, "e1", send(first)), newEndpoint(t, "e2", send(c.second))
			e3 := newEndpoint(t, "e3", func(conn net.Conn, r call) bool {
				var all []string
				for n := parseCount(r.Header.Get(headerLastEvent)) + 1; n <= 4; n++ {
					all = append(all, oneEvent(n))
				}
				_, _ = io.WriteString(conn, streamHead("id1")+chunked(append(all, "")...))
				return true
			})
			r := route(operatorconfig.Streaming, 3)
			r.Resumable = true
			g := newRig(t, r, e1, e2, e3)
			a := g.do(plainCall, "body")
			if want := oneEvent(1) + oneEvent(2) + oneEvent(3) + oneEvent(4); a.body != want || a.err != nil {
				t.Errorf("%+v", a)
			}
			if got := e2.got(); len(got) != 1 || got[0].Header.Get(headerLastEvent) != "2" || got[0].body != "body" {
				t.Errorf("second: %+v", got)
			}
			if n := len(e3.got()); n != c.calls {
				t.Errorf("%d calls at the third, want %d", n, c.calls)
			}
		})
	}
}

func TestLargeBodies(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 64<<10) // 1 MB
	e := newEndpoint(t, "e1", func(c net.Conn, r call) bool { return answers(sealed, r.body)(c, r) })
	g := newRig(t, route(operatorconfig.Writes, 1), e)
	if a := g.do(plainCall, body); a.status != 200 || a.body != body || a.err != nil {
		t.Errorf("%d, %d bytes, %v", a.status, len(a.body), a.err)
	}
	g.config.Limits.MaxBodyBytes = 1000
	if a := g.do(plainCall, body); a.status != http.StatusRequestEntityTooLarge {
		t.Errorf("%d", a.status)
	}
	g.config.Limits.MaxHeaderBytes = 1000
	if a := g.do(plainCall+"|X-Long: "+strings.Repeat("x", 2000), "x"); a.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("%d", a.status)
	}
	if n := len(e.got()); n != 1 {
		t.Errorf("%d calls", n)
	}
	// A chunked body is forwarded with a Content-Length.
	c := g.dial()
	must(t, c.send(plainCall+"|Transfer-Encoding: chunked", ""))
	_, err := io.WriteString(c, chunked("ab", "c", ""))
	must(t, err)
	if a, err := c.receive(); err != nil || a.body != "abc" {
		t.Errorf("%+v, %v", a, err)
	}
}

func TestRequestsThatAreNotForwarded(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newRig(t, route(operatorconfig.ReadOnly, 1), e)
	if a := g.do("GET /other/ HTTP/1.1|Host: h.example", ""); a.status != 404 {
		t.Errorf("%+v", a)
	}
	if a := g.do("GET /r/ HTTP/1.1|Host: other.example", ""); a.status != 404 {
		t.Errorf("%+v", a)
	}
	g.a.refuse = &dispatch.RefusedError{Reason: "full", RetryAfter: 250 * time.Millisecond}
	if a := g.do(plainCall, "x"); a.status != 503 || a.header.Get("Retry-After") != "0.250" {
		t.Errorf("%+v", a)
	}
	if a := g.do(plainCall+"|X-Dunetide-Time-Left-Ms: 300", "x"); a.status != 503 || a.header.Get("Retry-After") > "0.100" {
		t.Errorf("%+v", a)
	}
	g.p.options.Snapshots.Set(&snapshot.Snapshot{})
	if a := g.do(plainCall, "x"); a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("%+v", a)
	}
	if n := len(e.got()); n != 0 {
		t.Errorf("%d calls", n)
	}
}

// A parsed configuration finds its routes itself, also after a configuration without routes and a later one with routes.
func TestParsedConfiguration(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "ok"))
	g := newRig(t, route(operatorconfig.ReadOnly, 1), e)
	g.p.options.Match = New(Options{Snapshots: &snapshot.Latest{}}).options.Match
	for _, c := range []struct {
		start  string
		status int
	}{{"/r/", 200}, {"/r/deeper/", 404}, {"", 404}, {"/", 200}} {
		raw := `{"version":2,"routes":[],"services":[],"limits":{}}`
		if c.start != "" {
			raw = fmt.Sprintf(`{"version":1,"routes":[{"name":"r","host":"h.example","path_start":%q,"kind":"read_only","timeout_ms":3000,"target_ms":300,"priority":0,
				"service":"svc","tries":1}],"services":[{"name":"svc","health_path":"/health","max_conns":20}],"limits":{"max_body_bytes":4194304}}`, c.start)
		}
		config, err := operatorconfig.Parse([]byte(raw))
		must(t, err)
		g.p.options.Snapshots.Set(&snapshot.Snapshot{Config: config, Proxies: 4})
		if a := g.do(plainCall, "x"); a.status != c.status {
			t.Errorf("%s: %+v", c.start, a)
		}
	}
}

func TestEndpointThatRefusesConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	dead := &endpoint{id: "dead", addr: l.Addr().String()}
	must(t, l.Close())
	g := newRig(t, route(operatorconfig.Writes, 1), dead, newEndpoint(t, "e1", answers(sealed, "ok")))
	if a := g.do(plainCall, "x"); a.status != 200 {
		t.Errorf("%+v", a)
	}
	g.a.all = g.a.all[:1]
	if a := g.do(plainCall, "x"); a.status != 503 {
		t.Errorf("%+v", a)
	}
	if got := g.a.outcomes(); got[0] != dispatch.Broken {
		t.Errorf("%v", got)
	}
}

// A request that was sent is answered 504 at its deadline, and its run is canceled.
func TestDeadlineExceeded(t *testing.T) {
	gone := make(chan error, 1)
	e := newEndpoint(t, "e1", func(c net.Conn, _ call) bool {
		_, err := c.Read(make([]byte, 1))
		gone <- err
		return false
	})
	g := newRig(t, route(operatorconfig.ReadOnly, 3), e)
	began := time.Now()
	if a := g.do(plainCall+"|X-Dunetide-Time-Left-Ms: 80", "x"); a.status != 504 {
		t.Errorf("%+v", a)
	}
	if took := time.Since(began); took < 60*time.Millisecond {
		t.Errorf("after %v", took)
	}
	if err := <-gone; err == nil {
		t.Error("the run was not canceled")
	}
	if got := g.a.outcomes(); !slices.Equal(got, []dispatch.Outcome{dispatch.TimedOut}) {
		t.Errorf("%v", got)
	}
}

func TestClientDisconnects(t *testing.T) {
	came, gone := make(chan bool, 1), make(chan error, 1)
	e := newEndpoint(t, "e1", func(c net.Conn, _ call) bool {
		came <- true
		_, err := c.Read(make([]byte, 1))
		gone <- err
		return false
	})
	g := newRig(t, route(operatorconfig.Writes, 1), e)
	c := g.dial()
	must(t, c.send(plainCall, "x"))
	<-came
	must(t, c.Close())
	if err := <-gone; err == nil {
		t.Error("the run was not canceled")
	}
	must(t, g.p.Server().Shutdown(t.Context()))
	if got := g.a.outcomes(); !slices.Equal(got, []dispatch.Outcome{dispatch.Canceled}) {
		t.Errorf("%v", got)
	}
}

func TestShutdown(t *testing.T) {
	came, step := make(chan bool), make(chan bool)
	e := newEndpoint(t, "e1", func(c net.Conn, r call) bool {
		if r.URL.Path == "/r/quick" {
			return answers(sealed, "ok")(c, r)
		}
		_, _ = io.WriteString(c, streamHead(r.Header.Get(headerID))+chunked(oneEvent(1)))
		came <- true
		<-step
		_, _ = io.WriteString(c, chunked(oneEvent(2), ""))
		return true
	})
	g := newRig(t, route(operatorconfig.Streaming, 1), e)
	g.p.options.DrainWait = 300 * time.Millisecond
	ready := func() int {
		var w recorder
		g.p.ServeReady(&w, nil)
		return w.status
	}
	if s := ready(); s != 200 {
		t.Errorf("%d before", s)
	}
	c := g.dial()
	must(t, c.send(plainCall, "x"))
	<-came
	done := make(chan error, 1)
	go func() { done <- g.p.Shutdown(testTimeout) }()
	for ready() == 200 { // until the shutdown has begun
	}
	a := g.do("POST /r/quick HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id2", "x")
	if a.status != 200 || !a.closes {
		t.Errorf("%+v", a)
	}
	close(step)
	if a, err := c.receive(); err != nil || a.err != nil || a.body != oneEvent(1)+oneEvent(2) {
		t.Errorf("%+v, %v", a, err)
	}
	must(t, <-done)
	if _, err := net.Dial("tcp", g.addr); err == nil {
		t.Error("connections are still accepted")
	}
}

type recorder struct {
	h      http.Header
	status int
	bytes.Buffer
}

func (r *recorder) Header() http.Header {
	if r.h == nil {
		r.h = http.Header{}
	}
	return r.h
}

func (r *recorder) WriteHeader(status int) { r.status = status }

// An event whose id is not greater than the previous one ends its run; valid events before it in the same
// bytes are forwarded.
func TestEventOutOfOrder(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		body  string
		whole bool
	}{
		"repeated":     {oneEvent(1) + oneEvent(2) + oneEvent(2), oneEvent(1) + oneEvent(2) + oneEvent(3), true},
		"lower id":     {oneEvent(1) + oneEvent(2) + oneEvent(1), oneEvent(1) + oneEvent(2) + oneEvent(3), true},
		"no id last":   {oneEvent(1) + "data: x\n\n" + oneEvent(1), oneEvent(1) + "data: x\n\n", false},
		"comment last": {oneEvent(1) + ": here\n\n" + oneEvent(1), oneEvent(1) + ": here\n\n" + oneEvent(2) + oneEvent(3), true},
		"CRLF":         {"id: 1\r\ndata: t1\r\n\r\nid: 1\r\n\r\n", "id: 1\r\ndata: t1\r\n\r\n" + oneEvent(2) + oneEvent(3), true},
	} {
		t.Run(name, func(t *testing.T) {
			e1 := newEndpoint(t, "e1", func(conn net.Conn, _ call) bool {
				_, _ = io.WriteString(conn, streamHead("id1")+chunked(c.first, ""))
				return true
			})
			e2 := newEndpoint(t, "e2", func(conn net.Conn, r call) bool {
				body := ""
				for n := parseCount(r.Header.Get(headerLastEvent)) + 1; n <= 3; n++ {
					body += oneEvent(n)
				}
				_, _ = io.WriteString(conn, streamHead("id1")+chunked(body, ""))
				return true
			})
			r := route(operatorconfig.Streaming, 2)
			r.Resumable = true
			g := newRig(t, r, e1, e2)
			if a := g.do(plainCall, "body"); a.body != c.body || (a.err == nil) != c.whole {
				t.Errorf("%+v, want %q", a, c.body)
			}
		})
	}
}

// Bytes that arrive on an idle connection are not taken for the answer to the next request.
func TestBytesOnAnIdleConnection(t *testing.T) {
	writeNow, written := make(chan bool), make(chan bool)
	e := newEndpoint(t, "e1", func(conn net.Conn, r call) bool {
		answers(sealed, "ok")(conn, r)
		if r.Header.Get(headerID) == "id1" {
			<-writeNow
			_, _ = io.WriteString(conn, answerOf("id2", sealed, "not it"))
			close(written)
		}
		return true
	})
	g := newRig(t, route(operatorconfig.Writes, 1), e)
	if a := g.do(plainCall, "x"); a.body != "ok" {
		t.Fatalf("%+v", a)
	}
	close(writeNow)
	<-written
	if a := g.do("POST /r/ HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id2", "x"); a.body != "ok" || e.opened() != 2 {
		t.Errorf("%+v, %d connections", a, e.opened())
	}
}

func TestBatchCallsAreServedByServeBatch(t *testing.T) {
	g := newRig(t, route(operatorconfig.Bulk, 1))
	var calls []string
	g.p.options.ServeBatch = func(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route, tenant string) {
		name := ""
		if route != nil {
			name = route.Name
		}
		calls = append(calls, r.Method+" "+r.URL.Path+" "+name+tenant)
		w.WriteHeader(http.StatusAccepted)
	}
	for _, line := range []string{"POST /r/1", "GET /lots/1?start_after=2", "DELETE /lots/1", "GET /items/1?id=2"} {
		if a := g.do(line+" HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: 1", ""); a.status != http.StatusAccepted {
			t.Errorf("%s: %+v", line, a)
		}
	}
	if want := []string{"POST /r/1 r", "GET /lots/1 ", "DELETE /lots/1 ", "GET /items/1 "}; !slices.Equal(calls, want) {
		t.Errorf("%q", calls)
	}
}

func TestServiceIsChosenByWeight(t *testing.T) {
	g := newRig(t, route(operatorconfig.ReadOnly, 1))
	r := &operatorconfig.Route{Shares: []operatorconfig.Share{{Service: "none", Weight: 0}, {Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "never", Weight: 0}}}
	drawn := map[string]int{}
	for n := range 10000 {
		id := fmt.Sprint("id", n)
		s := g.p.chooseService(r, id)
		drawn[s]++
		if g.p.chooseService(r, id) != s {
			t.Fatal("another service for the same id")
		}
	}
	if drawn["a"]+drawn["b"] != 10000 || drawn["b"] < 850 || drawn["b"] > 1150 {
		t.Errorf("%v", drawn)
	}
}

// Connections to endpoints that are no longer listed are closed, others are kept.
func TestTidy(t *testing.T) {
	e1, e2 := newEndpoint(t, "e1", answers(sealed, "ok")), newEndpoint(t, "e2", answers(sealed, "ok"))
	g := newRig(t, route(operatorconfig.ReadOnly, 1), e1)
	g.do(plainCall, "x")
	g.a.all = []*endpoint{e2}
	g.do(plainCall, "x")
	open := func() int { return g.p.connections.Stats(0).Open }
	g.p.Tidy() // the list of endpoints is not complete
	if n := open(); n != 2 {
		t.Fatalf("%d open", n)
	}
	s := *g.p.options.Snapshots.Get()
	s.EndpointsComplete, s.Endpoints = true, map[string][]*snapshot.Endpoint{"svc": {{ID: "e1", State: snapshot.Removed}, {ID: "e2", State: snapshot.Draining}}}
	g.p.options.Snapshots.Set(&s)
	g.p.Tidy()
	if n := open(); n != 1 || len(g.p.pools) != 1 {
		t.Errorf("%d open", n)
	}
}

// A request that every endpoint rejects is sent to a limited number of them.
func TestRejectedByAllEndpoints(t *testing.T) {
	var all []*endpoint
	for n := range 9 {
		all = append(all, newEndpoint(t, fmt.Sprint("e", n), answers("503 X|X-Dunetide-Not-Run: 1|Retry-After: 0.5", "")))
	}
	g := newRig(t, route(operatorconfig.Writes, 2), all...)
	if a := g.do(plainCall, "x"); a.status != 503 || a.header.Get("Retry-After") != "0.500" {
		t.Errorf("%+v", a)
	}
	if n := len(g.a.outcomes()); n != 2+extraRejections {
		t.Errorf("sent to %d endpoints", n)
	}
}

// A client that does not read its answer blocks only itself, and only until its deadline.
func TestClientThatDoesNotRead(t *testing.T) {
	gone := make(chan bool)
	e := newEndpoint(t, "e1", func(conn net.Conn, r call) bool {
		if r.Header.Get(headerID) == "id2" {
			return answers(sealed, "ok")(conn, r)
		}
		_, err := io.WriteString(conn, streamHead("id1"))
		for n := 1; err == nil; n++ {
			_, err = io.WriteString(conn, chunked(fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 8<<10))))
		}
		close(gone)
		return false
	})
	g := newRig(t, route(operatorconfig.Streaming, 1), e)
	c := g.dial()
	must(t, c.send(plainCall+"|X-Dunetide-Time-Left-Ms: 300", "x"))
	if a := g.do("POST /r/ HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id2", "x"); a.body != "ok" {
		t.Errorf("%+v", a)
	}
	<-gone
	if a, err := c.receive(); err == nil && a.err == nil {
		t.Errorf("status %d, %d bytes: the answer looks complete", a.status, len(a.body))
	}
}
