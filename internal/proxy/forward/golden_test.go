package forward

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/golden"
	"dunetide/internal/proxy/dispatch"
)

// update rewrites the golden files. It is for deliberate changes of a format, never for CI.
var update = flag.Bool("update-golden", false, "write the golden files")

// compareGolden compares text with a file of testdata/golden.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		must(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	must(t, err)
	if got != string(want) {
		t.Errorf("%s differs from the golden file:\n--- got\n%s\n--- want\n%s", name, got, want)
	}
}

// pause separates pieces of an answer: the next piece is written after the client has received all previous ones.
const pause = "<pause>"

// recordedEndpoint answers one request on each connection and records its bytes.
type recordedEndpoint struct {
	*endpoint
	resume chan struct{} // one value for the end of each pause
	mu     sync.Mutex
	raw    []string
}

func newRecordedEndpoint(t *testing.T, id, answer string) *recordedEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	e := &recordedEndpoint{endpoint: &endpoint{id: id, addr: l.Addr().String()}, resume: make(chan struct{}, strings.Count(answer, pause))}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() { e.serve(conn, answer) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		running.Wait()
	})
	return e
}

func (e *recordedEndpoint) serve(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	var raw bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &raw)))
	if err != nil {
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.raw = append(e.raw, sortedHead(raw.String()))
	e.mu.Unlock()
	for n, piece := range strings.Split(answer, pause) {
		if n > 0 {
			<-e.resume
		}
		_, _ = io.WriteString(conn, piece)
	}
}

// sortedHead sorts the fields of a head, as their order has no meaning.
func sortedHead(message string) string {
	head, body, _ := strings.Cut(message, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	slices.Sort(lines[1:])
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func (e *recordedEndpoint) requests() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strings.Join(e.raw, "")
}

// TestGoldenMessages pins the bytes that a proxy writes to clients and to endpoints.
func TestGoldenMessages(t *testing.T) {
	const call = "POST /r/x?q=1%2f HTTP/1.1|Host: H.example:80|X-Dunetide-Request-Id: id1|Connection: close, x-hop|X-Hop: dropped|X-Other: kept|X-Dunetide-Time-Left-Ms: 4000"
	const answered = "HTTP/1.1 200 OK\r\nX-Dunetide-Request-Id: id1\r\nX-Dunetide-Server-Seal: s1\r\nContent-Length: 8\r\nConnection: x-gone\r\nX-Gone: 1\r\nX-Dunetide-Server-Load: 1,0,8\r\n\r\nthe body"
	// The clock of the proxies stands still. It is ahead of that of their connections: how long a run takes until it comes
	// to a case must not use up the time left for the case's answer.
	now := time.Now().Add(time.Minute)
	for _, c := range []struct {
		name     string
		request  string
		body     string
		answer   string // of the endpoint; "": there is no endpoint
		kind     operatorconfig.RouteKind
		refuse   error
		change   func(o *Options)
		draining bool
	}{
		{name: "served", request: call, body: "four", answer: answered, kind: operatorconfig.Writes},
		{name: "served-head", request: strings.Replace(call, "POST", "HEAD", 1), answer: strings.TrimSuffix(answered, "the body"), kind: operatorconfig.ReadOnly},
		{name: "served-without-content", request: call, body: "x", kind: operatorconfig.Writes,
			answer: "HTTP/1.1 204 No Content\r\nX-Dunetide-Request-Id: id1\r\nX-Dunetide-Server-Seal: s1\r\nContent-Length: 0\r\n\r\n"},
		{name: "served-while-draining", request: strings.Replace(call, "Connection: close, x-hop|X-Hop: dropped|", "", 1), body: "x", answer: answered, kind: operatorconfig.Writes, draining: true},
		{name: "stream", request: call + "|Last-Event-Id: 4", body: "x", kind: operatorconfig.Streaming,
			answer: streamHead("id1") + chunked("id: 5\ndata: a\n\n") + pause + chunked("id: 6\ndata: b\n\n") + pause + chunked("")},
		{name: "endpoint-failed", request: call, body: "x", kind: operatorconfig.Writes,
			answer: "HTTP/1.1 500 Internal Server Error\r\nX-Dunetide-Request-Id: id1\r\nContent-Length: 4\r\n\r\noops"},
		{name: "endpoint-broke-off", request: call, body: "x", answer: "HTTP/1.1 200 OK\r\n", kind: operatorconfig.Writes},
		{name: "endpoint-refused", request: call, body: "x", kind: operatorconfig.Writes,
			answer: "HTTP/1.1 503 Service Unavailable\r\nX-Dunetide-Request-Id: id1\r\nX-Dunetide-Not-Run: 1\r\nRetry-After: 0.125\r\nContent-Length: 0\r\n\r\n"},
		{name: "refused-no-room", request: call, body: "x", kind: operatorconfig.Writes,
			refuse: &dispatch.RefusedError{Reason: "svc: no endpoint has room in time", RetryAfter: 250 * time.Millisecond}},
		{name: "refused-no-certified-endpoint", request: call, body: "x", kind: operatorconfig.Writes,
			refuse: &dispatch.RefusedError{Reason: "no certified node for regime fin is free", RetryAfter: 250 * time.Millisecond, Regime: "fin"},
			change: func(o *Options) {
				o.Certificates = certification.NewGate(certification.GateOptions{LastConfirmed: func() time.Time { return now }, ConfirmationTTL: time.Second})
			}},
		{name: "refused-no-time-left", request: strings.Replace(call, "4000", "0", 1), body: "x", kind: operatorconfig.Writes},
		{name: "refused-not-prepared", request: strings.Replace(call, "4000", "0", 1), kind: operatorconfig.Writes,
			change: func(o *Options) { o.Snapshots = &snapshot.Latest{} }},
		{name: "refused-no-route", request: strings.Replace(call, "/r/x", "/elsewhere", 1), body: "x", kind: operatorconfig.Writes},
		{name: "refused-no-id", request: strings.Replace(call, "X-Dunetide-Request-Id: id1|", "", 1), body: "x", kind: operatorconfig.Writes},
		{name: "refused-http-1.0", request: strings.Replace(call, "HTTP/1.1", "HTTP/1.0", 1), body: "x", kind: operatorconfig.Writes},
		{name: "refused-no-path", request: strings.Replace(call, "POST /r/x?q=1%2f", "POST *", 1), kind: operatorconfig.Writes},
		{name: "refused-body-too-large", request: call, body: strings.Repeat("x", 33), kind: operatorconfig.Writes},
		{name: "refused-head-too-large", request: call + "|X-Large: " + strings.Repeat("x", 800), body: "x", kind: operatorconfig.Writes},
	} {
		t.Run(c.name, func(t *testing.T) {
			var endpoints []*endpoint
			var recorded *recordedEndpoint
			if c.answer != "" {
				recorded = newRecordedEndpoint(t, "e1", c.answer)
				endpoints = append(endpoints, recorded.endpoint)
			}
			g := newRigWith(t, route(c.kind, 1), func(o *Options) {
				o.Now = func() time.Time { return now }
				if c.change != nil {
					c.change(o)
				}
			}, endpoints...)
			g.config.Limits = operatorconfig.Limits{MaxBodyBytes: 32, MaxHeaderBytes: 512}
			g.a.refuse = c.refuse
			g.p.draining.Store(c.draining)
			client := g.dial()
			must(t, client.send(c.request, c.body))
			var begin []byte // up to the last pause
			for n := range strings.Count(c.answer, pause) {
				for bytes.Count(begin, []byte("data: ")) <= n || !bytes.HasSuffix(begin, []byte("\n\n\r\n")) {
					b, err := client.br.ReadByte()
					must(t, err)
					begin = append(begin, b)
				}
				recorded.resume <- struct{}{}
			}
			answer, err := io.ReadAll(client.br)
			must(t, err)
			out := "--- to the client\n" + string(begin) + string(answer)
			if recorded != nil {
				out += "\n--- to the endpoint\n" + recorded.requests()
			}
			compareGolden(t, c.name+".txt", strings.ReplaceAll(out, "\r\n", "\\r\n"))
		})
	}
}

// TestGoldenReadiness pins the answers to readiness checks.
func TestGoldenReadiness(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name     string
		ready    func() bool
		draining bool
	}{
		{"always ready", nil, false},
		{"ready", func() bool { return true }, false},
		{"not ready", func() bool { return false }, false},
		{"draining", func() bool { return true }, true},
	} {
		p := New(Options{Snapshots: &snapshot.Latest{}, Ready: c.ready})
		p.draining.Store(c.draining)
		s := httptest.NewServer(http.HandlerFunc(p.ServeReady))
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		must(t, err)
		_, err = io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		must(t, err)
		answer, err := io.ReadAll(conn)
		must(t, errors.Join(err, conn.Close()))
		s.Close()
		fmt.Fprintf(&out, "--- %s\n%s", c.name, strings.ReplaceAll(string(answer), "\r\n", "\\r\n"))
	}
	compareGolden(t, "readiness.txt", out.String())
}

// TestGoldenMetrics pins the names and labels of a proxy's metrics.
func TestGoldenMetrics(t *testing.T) {
	New(Options{Snapshots: &snapshot.Latest{}}).RegisterMetrics()
	var names []string
	for _, name := range metrics.ListMetricNames() {
		if strings.HasPrefix(name, "dunetide_proxy_") && !strings.HasPrefix(name, "dunetide_proxy_own_answers_total") { // registered by the first answer
			names = append(names, name)
		}
	}
	golden.CompareLines(t, golden.Dir, "metrics", names)
}
