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
)

// The enumeration: for each kind of request and each kind of answer, an endpoint injects each fault at each byte of the answer.
// An account of what endpoints ran is compared with what clients received, independently of the proxy, to find violated guarantees.

// requestKind is a kind of request.
type requestKind struct {
	name       string
	kind       operatorconfig.RouteKind
	resume     bool
	idempotent bool
	stream     bool
	method     string
	item       bool
}

var requestKinds = []requestKind{
	{name: "read-only", kind: operatorconfig.ReadOnly, idempotent: true, method: "POST"},
	{name: "writes", kind: operatorconfig.Writes, method: "POST"},
	{name: "stream", kind: operatorconfig.Streaming, stream: true, method: "POST"},
	{name: "resumable", kind: operatorconfig.Streaming, resume: true, idempotent: true, stream: true, method: "POST"},
	{name: "head", kind: operatorconfig.ReadOnly, idempotent: true, method: "HEAD"},
	{name: "item", kind: operatorconfig.Bulk, idempotent: true, stream: true, method: "POST", item: true},
}

// answerKind is a kind of answer of an endpoint.
type answerKind struct {
	name string
	runs bool // an endpoint that sends it has run the request
	of   func(id string, after int) string
}

const lastEvent = 3

func streamOf(id string, after int) string {
	events := make([]string, 0, lastEvent+1)
	for n := after + 1; n <= lastEvent; n++ {
		events = append(events, eventOf(id, n))
	}
	return streamHead(id) + chunked(append(events, "")...)
}

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func bodyOf(id string) string { return "the answer to " + id }

var (
	plainAnswer   = answerKind{"plain", true, func(id string, _ int) string { return answerOf(id, sealed, bodyOf(id)) }}
	chunkedAnswer = answerKind{"chunked", true, func(id string, _ int) string {
		return "HTTP/1.1 200 OK\r\nX-Dunetide-Server-Seal: s1\r\nTransfer-Encoding: chunked\r\nX-Dunetide-Request-Id: " + id + "\r\n\r\n" +
			chunked(bodyOf(id)[:5], bodyOf(id)[5:], "")
	}}
	streamAnswer   = answerKind{"events", true, streamOf}
	failureAnswer  = answerKind{"500", true, func(id string, _ int) string { return answerOf(id, "500 X|X-Dunetide-Server-Seal: s1", "sorry "+id) }}
	rejectedAnswer = answerKind{"503", false, func(id string, _ int) string {
		return answerOf(id, "503 X|X-Dunetide-Not-Run: full|X-Dunetide-Server-Seal: s1", "")
	}}
	headAnswer = answerKind{"head", true, func(id string, _ int) string {
		return "HTTP/1.1 200 OK\r\nX-Dunetide-Server-Seal: s1\r\nX-Dunetide-Request-Id: " + id + "\r\nContent-Length: 10\r\n\r\n"
	}}
)

func (k requestKind) answers() []answerKind {
	switch {
	case k.method == "HEAD":
		return []answerKind{headAnswer}
	case k.stream:
		return []answerKind{streamAnswer, failureAnswer, rejectedAnswer}
	}
	return []answerKind{plainAnswer, chunkedAnswer, failureAnswer, rejectedAnswer}
}

// fault is a fault that an endpoint injects at a byte of its answer. inject reports whether the connection stays open.
type fault struct {
	name   string
	inject func(c *net.TCPConn, answer, foreign string, at int) bool
}

func write(c *net.TCPConn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}

func untilClosed(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }

var faults = []fault{
	{"close", func(c *net.TCPConn, answer, _ string, at int) bool { write(c, answer[:at]); return false }},
	{"reset", func(c *net.TCPConn, answer, _ string, at int) bool {
		write(c, answer[:at])
		_ = c.SetLinger(0)
		return false
	}},
	{"half-close", func(c *net.TCPConn, answer, _ string, at int) bool {
		write(c, answer[:at])
		_ = c.CloseWrite()
		untilClosed(c)
		return false
	}},
	{"delay", func(c *net.TCPConn, answer, _ string, at int) bool {
		write(c, answer[:at])
		time.Sleep(100 * time.Microsecond) // the fault itself: the rest is read separately
		return write(c, answer[at:])
	}},
	{"surplus bytes", func(c *net.TCPConn, answer, _ string, at int) bool { return write(c, answer+answer[:at]) }},
	{"late surplus bytes", func(c *net.TCPConn, answer, _ string, at int) bool {
		write(c, answer)
		time.Sleep(100 * time.Microsecond) // the fault itself: the answer has been read by then
		return write(c, answer[:at])
	}},
	{"partial foreign answer before", func(c *net.TCPConn, answer, foreign string, at int) bool {
		return write(c, foreign[:min(at, len(foreign))]+answer) && at == len(answer)
	}},
	{"foreign answer only", func(c *net.TCPConn, _, foreign string, at int) bool {
		write(c, foreign[:min(at, len(foreign))])
		return false
	}},
	{"truncated after foreign answer", func(c *net.TCPConn, answer, foreign string, at int) bool { write(c, foreign+answer[:at]); return false }},
	{"truncated after interim answer", func(c *net.TCPConn, answer, _ string, at int) bool {
		write(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+answer[:at])
		return false
	}},
	{"without id", func(c *net.TCPConn, answer, _ string, at int) bool {
		head, rest, _ := strings.Cut(answer, "X-Dunetide-Request-Id: ")
		_, rest, _ = strings.Cut(rest, "\r\n")
		write(c, (head + rest)[:min(at, len(head+rest))])
		return false
	}},
	{"two ids", func(c *net.TCPConn, answer, _ string, at int) bool {
		two := strings.Replace(answer, "X-Dunetide-Request-Id: ", "X-Dunetide-Request-Id: other\r\nX-Dunetide-Request-Id: ", 1)
		write(c, two[:min(at, len(two))])
		return false
	}},
}

// account records what endpoints did, by request id.
type account struct {
	mu       sync.Mutex
	runs     map[string][]string // the endpoints that ran a request
	statuses map[string][]int    // the statuses that they answered, completely or not
}

func (a *account) record(id, endpoint string, run bool, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if run {
		a.runs[id] = append(a.runs[id], endpoint)
	}
	a.statuses[id] = append(a.statuses[id], status)
}

func (a *account) of(id string) (runs []string, statuses []int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id], a.statuses[id]
}

// enumeration is a proxy with a faulty endpoint and a correct one.
type enumeration struct {
	*rig
	kind     requestKind
	answer   answerKind
	injected fault
	account  account
	next     atomic.Int64
}

func newEnumeration(t *testing.T, k requestKind, a answerKind, f fault) *enumeration {
	t.Helper()
	n := &enumeration{kind: k, answer: a, injected: f, account: account{runs: map[string][]string{}, statuses: map[string][]int{}}}
	bad := newEndpoint(t, "bad", func(c net.Conn, r call) bool { return n.serve("bad", c.(*net.TCPConn), r) })
	good := newEndpoint(t, "good", func(c net.Conn, r call) bool { return n.serve("good", c.(*net.TCPConn), r) })
	r := route(k.kind, 2)
	r.Resumable = k.resume
	n.rig = newRig(t, r, bad, good)
	return n
}

// serve answers a call. The id "bad-BYTE-N" has the bad endpoint inject the fault at a byte.
func (n *enumeration) serve(endpoint string, c *net.TCPConn, r call) bool {
	id, after := r.Header.Get(headerID), parseCount(r.Header.Get(headerLastEvent))
	at := -1
	if endpoint == "bad" && strings.HasPrefix(id, "bad-") {
		_, _ = fmt.Sscanf(id, "bad-%d-", &at)
	}
	kind := n.answer
	if at < 0 { // a correct answer of the request's kind
		kind = n.kind.answers()[0]
	}
	answer := kind.of(id, after)
	status := 0
	_, _ = fmt.Sscanf(answer, "HTTP/1.1 %d", &status)
	n.account.record(id, endpoint, kind.runs, status)
	if at < 0 {
		return write(c, answer)
	}
	return n.injected.inject(c, answer, kind.of("foreign", after), min(at, len(answer)))
}

// received is the result of a request as its caller sees it.
type received struct {
	clientAnswer
	broken error // no complete head was received
	item   Result
	events string
}

// ask sends one request.
func (n *enumeration) ask(id, timeLeft string) received {
	if n.kind.item {
		return n.askItem(id)
	}
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		return received{broken: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	c := &client{conn, bufio.NewReader(conn)}
	body := "a body"
	if n.kind.method == "HEAD" {
		body = ""
	}
	err = c.send(n.kind.method+" /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: "+id+timeLeft, body)
	if err != nil {
		return received{broken: err}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: n.kind.method})
	if err != nil {
		return received{broken: err}
	}
	b, err := io.ReadAll(resp.Body)
	return received{clientAnswer: clientAnswer{resp.StatusCode, resp.Header, string(b), err, resp.Close}}
}

func (n *enumeration) askItem(id string) (r received) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	it := item(&n.config.Routes[0])
	it.ID = id
	r.item = n.p.RunItem(ctx, it, "", func(_ string, data []byte) { r.events += string(data) + "\n" })
	return r
}

// check compares what was received with the account.
func (n *enumeration) check(t *testing.T, id string, r received, must200 bool) {
	t.Helper()
	runs, statuses := n.account.of(id)
	violated := func(rule string) {
		t.Errorf("%s: %s violates %s: ran at %v, which answered %v; received %+v", n.injected.name, id, rule, runs, statuses, r)
	}
	if !n.kind.idempotent && len(runs) > 1 {
		violated("TWICE")
	}
	if len(runs) > 2 {
		violated("BUDGET")
	}
	if n.kind.item {
		n.checkItem(id, r, runs, statuses, must200, violated)
		return
	}
	complete := r.broken == nil && r.err == nil
	if must200 && (!complete || r.status != 200) {
		violated("SERVED (a request without a fault)")
	}
	if r.broken != nil {
		return
	}
	if r.header.Get(headerID) != id {
		violated("MIXED (id)")
	}
	switch r.status {
	case 503, 429, 408, 421:
		if !n.kind.idempotent && len(runs) > 0 {
			violated("REFUSED")
		}
	}
	if r.header.Get(headerSeal) != "" && !contains(statuses, r.status) {
		violated("MIXED (status under a seal)")
	}
	want := ""
	switch {
	case n.kind.method == "HEAD":
	case r.status == 200 && n.kind.stream:
		for e := 1; e <= lastEvent; e++ {
			want += eventOf(id, e)
		}
	case r.status == 200:
		want = bodyOf(id)
	case r.status == 500:
		want = "sorry " + id
	}
	switch {
	case r.status == 200 && r.header.Get(headerSeal) == "":
		violated("MIXED (seal)")
	case complete && r.body != want, !strings.HasPrefix(want, r.body):
		violated("MIXED (body)")
	}
}

func (n *enumeration) checkItem(id string, r received, runs []string, statuses []int, mustBeDone bool, violated func(string)) {
	all := ""
	for e := 1; e <= lastEvent; e++ {
		all += fmt.Sprintf("%s %d\n", id, e)
	}
	if !strings.HasPrefix(all, r.events) {
		violated("ORDER")
	}
	switch {
	case mustBeDone && r.item.State != ItemDone:
		violated("SERVED (an item without a fault)")
	case r.item.State == ItemDone && r.events != all:
		violated("MIXED (text)")
	case r.item.State == ItemNotRun && len(runs) > 0:
		violated("REFUSED")
	case r.item.State == ItemFailed && !contains(statuses, 500):
		violated("MIXED (no endpoint answered 500)")
	case r.item.State == ItemUnprocessable:
		violated("MIXED (status)")
	}
}

func contains(all []int, one int) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}

// requestPair sends a request with a fault at one byte, and then a request without a fault: over the same connection to the
// endpoint if that was kept.
func (n *enumeration) requestPair(t *testing.T, at int) {
	t.Helper()
	serial := n.next.Add(1)
	id := fmt.Sprintf("bad-%d-%d", at, serial)
	n.check(t, id, n.ask(id, ""), false)
	id = fmt.Sprintf("fine-%d", serial)
	r := n.ask(id, "")
	// The first request's fault may break the connection of this one, which then fails if it can't be retried.
	n.check(t, id, r, n.kind.idempotent && !n.kind.item)
}

// Whatever an endpoint does at any byte of any answer: no answer is sent to the wrong caller, no request that may run only once runs
// twice, and no truncated answer looks complete.
func TestEveryFaultAtEveryByte(t *testing.T) {
	var pairs atomic.Int64
	t.Cleanup(func() { t.Logf("%d pairs of requests", pairs.Load()) })
	for _, k := range requestKinds {
		for _, a := range k.answers() {
			for _, f := range faults {
				t.Run(k.name+"/"+a.name+"/"+f.name, func(t *testing.T) {
					t.Parallel()
					n := newEnumeration(t, k, a, f)
					for at := range len(a.of("bad-100-100", 0)) + 1 {
						n.requestPair(t, at)
						pairs.Add(1)
					}
				})
			}
		}
	}
}

// If an endpoint stops responding at any byte, the request ends at its deadline with the same guarantees.
//
// The bound on the time of an answer is extended by the time in which the machine did not run this process.
func TestUnresponsiveEndpointAtEveryByte(t *testing.T) {
	stalls := watchStalls(t)
	silence := fault{"silence", func(c *net.TCPConn, answer, _ string, at int) bool {
		write(c, answer[:at])
		untilClosed(c)
		return false
	}}
	const workers = 24
	for _, k := range requestKinds {
		if k.item {
			continue // an item has no deadline: its job cancels it
		}
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			n := newEnumeration(t, k, k.answers()[0], silence)
			length := len(k.answers()[0].of("bad-100-100", 0))
			bytes := make(chan int)
			var running sync.WaitGroup
			for range workers {
				running.Go(func() {
					for at := range bytes {
						id := fmt.Sprintf("bad-%d-%d", at, n.next.Add(1))
						began := time.Now()
						n.check(t, id, n.ask(id, "|X-Dunetide-Time-Left-Ms: 100"), false)
						if took, stalled := time.Since(began), stalls.since(began); took > testTimeout/4+stalled {
							t.Errorf("%s: held for %v, in which the process was stalled for %v", id, took, stalled)
						}
					}
				})
			}
			for at := range length + 1 {
				bytes <- at
			}
			close(bytes)
			running.Wait()
		})
	}
}

// stallWatch records the times in which this process was not run, which it detects by the late wake-up of a sleeping goroutine.
type stallWatch struct {
	mu     sync.Mutex
	stalls []stall
}

// stall is an interval in which a sleeping goroutine was due but did not run.
type stall struct{ begin, end time.Time }

// watchStalls records stalls until the end of a test.
func watchStalls(t *testing.T) *stallWatch {
	t.Helper()
	const pace, tolerance = 10 * time.Millisecond, 50 * time.Millisecond
	w := &stallWatch{}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(pace)
		defer ticker.Stop()
		for last := time.Now(); ; {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			now := time.Now()
			if now.Sub(last) > tolerance {
				w.mu.Lock()
				w.stalls = append(w.stalls, stall{last, now})
				w.mu.Unlock()
			}
			last = now
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-ended
	})
	return w
}

// since returns the total time of stalls since begin.
func (w *stallWatch) since(begin time.Time) (total time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stalls {
		if s.end.After(begin) {
			total += s.end.Sub(later(s.begin, begin))
		}
	}
	return total
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
