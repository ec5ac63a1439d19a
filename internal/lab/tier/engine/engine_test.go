package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, o Options) *Endpoint {
	t.Helper()
	e, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Crash)
	return e
}

func ask(t *testing.T, e *Endpoint, path string, header ...string) (*http.Response, string, error) {
	t.Helper()
	method := http.MethodPost
	if path == "/health" || path == "/report" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+e.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestStreamIsCompleteAndResumable(t *testing.T) {
	o := options()
	e := start(t, o)
	resp, body, err := ask(t, e, "/a/1", HeaderRequest, "r1", HeaderTokens, "20,45", HeaderModel, "m", HeaderPrefix, "aa:15,bb:5")
	if err != nil {
		t.Fatal(err)
	}
	want := ""
	for n := 1; n <= 5; n++ {
		want += fmt.Sprintf("id: %d\ndata: %s\n\n", n, Event("r1", n))
	}
	if body != want || resp.Header.Get(HeaderRequest) != "r1" || resp.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("the stream is %v %q", resp.Header, body)
	}
	runs := o.Runs.All()
	if len(runs) != 1 || !runs[0].Whole || runs[0].Seal != resp.Header.Get(HeaderSeal) || runs[0].Sum != Sum("POST", "/a/1", nil) {
		t.Errorf("the runs are %+v", runs)
	}
	o.ID, o.Address = "i-2", "127.0.0.1:0"
	other := start(t, o)
	_, rest, err := ask(t, other, "/a/1", HeaderRequest, "r1", HeaderTokens, "20,45", HeaderLast, "3")
	if err != nil || !strings.HasSuffix(want, rest) || !strings.HasPrefix(rest, "id: 4\n") {
		t.Errorf("after event 3 another endpoint continues with %q, %v", rest, err)
	}
}

func TestRefusalsSayThatNothingRan(t *testing.T) {
	o := options()
	e := start(t, o)
	for _, c := range []struct {
		status int
		header []string
	}{
		{http.StatusMisdirectedRequest, []string{HeaderRequest, "r", HeaderTokens, "1,1", HeaderTarget, "i-9"}},
		{http.StatusBadRequest, []string{HeaderTokens, "1,1"}},
		{http.StatusServiceUnavailable, []string{HeaderRequest, "r", HeaderTokens, "5000,1"}},
	} {
		resp, _, err := ask(t, e, "/a/1", c.header...)
		if err != nil || resp.StatusCode != c.status || resp.Header.Get(HeaderNotRun) == "" {
			t.Errorf("%v: %v, %v", c.header, resp, err)
		}
	}
	if runs := o.Runs.All(); len(runs) != 0 {
		t.Errorf("ran: %+v", runs)
	}
	resp, _, err := ask(t, e, "/health")
	if err != nil || resp.Header.Get(HeaderInstance) != "i-1" || resp.Header.Get(HeaderLoad) != "0,0,2" {
		t.Errorf("health: %v, %v", resp, err)
	}
	var report struct {
		CacheTotal int `json:"cache_total"`
	}
	if _, body, err := ask(t, e, "/report"); err != nil || json.Unmarshal([]byte(body), &report) != nil || report.CacheTotal != 1000 {
		t.Errorf("report: %q, %v", body, err)
	}
}

func TestPlainEndpointRejectsRequestsBeyondItsQueue(t *testing.T) {
	o := options()
	o.Work, o.Capacity, o.Queue = time.Millisecond, 1, 1
	e := start(t, o)
	if !e.acquire(t.Context()) { // the test holds the only slot
		t.Fatal("no slot is free")
	}
	queued := make(chan string, 1)
	go func() {
		_, body, err := ask(t, e, "/a/1", HeaderRequest, "r1")
		queued <- fmt.Sprint(body, err)
	}()
	for waiting := 0; waiting == 0; runtime.Gosched() {
		e.mu.Lock()
		_, waiting = e.counts()
		e.mu.Unlock()
	}
	if resp, _, err := ask(t, e, "/a/1", HeaderRequest, "r2"); err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderNotRun) == "" {
		t.Errorf("request beyond the queue: %v, %v", resp, err)
	}
	e.release()
	if got, want := <-queued, fmt.Sprint(string(PlainBody("r1")), nil); got != want || len(PlainBody("r1")) != 800 {
		t.Errorf("the queued request got %q", got)
	}
	if runs := o.Runs.All(); len(runs) != 1 || o.Runs.Rejected()["s"] != 1 {
		t.Errorf("%d runs, rejected %v", len(runs), o.Runs.Rejected())
	}
}

func TestDeadlineEndsARun(t *testing.T) {
	o := options()
	o.Work = time.Hour
	e := start(t, o)
	resp, _, err := ask(t, e, "/a/1", HeaderRequest, "r", HeaderTimeLeft, "20")
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(HeaderNotRun) != "" {
		t.Errorf("%v, %v", resp, err)
	}
	if runs := o.Runs.All(); len(runs) != 1 || runs[0].Whole {
		t.Errorf("runs %+v", runs)
	}
}

func TestFaults(t *testing.T) {
	for _, work := range []time.Duration{0, time.Millisecond} {
		o := options()
		o.Work = work
		e := start(t, o)
		for i, f := range []Fault{Garble, Lost, Broken} {
			e.InjectFault(f)
			if _, body, err := ask(t, e, "/a/1", HeaderRequest, "r", HeaderTokens, "5,20"); err == nil {
				t.Errorf("fault %v gave %q", f, body)
			}
			if runs := o.Runs.All(); len(runs) != i+1 || runs[i].Whole {
				t.Errorf("after fault %v: %+v", f, runs)
			}
		}
		e.InjectFault(Surplus)
		c, err := net.Dial("tcp", e.Address())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /a/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n%s: r9\r\n%s: 5,20\r\n\r\n", HeaderRequest, HeaderTokens)
		all, err := io.ReadAll(c)
		_ = c.Close()
		if err != nil || strings.Count(string(all), "HTTP/1.1 200") != 2 {
			t.Errorf("surplus: %q, %v", all, err)
		}
	}
}

func TestStalledEndpointSendsNothing(t *testing.T) {
	o := options()
	o.Work = time.Millisecond
	e := start(t, o)
	e.SetStalled(true)
	got := make(chan error, 1)
	go func() { _, _, err := ask(t, e, "/a/1", HeaderRequest, "r"); got <- err }()
	select {
	case err := <-got:
		t.Fatalf("answered while stalled: %v", err)
	case <-time.After(30 * time.Millisecond):
	}
	e.SetStalled(false)
	if err := <-got; err != nil {
		t.Error(err)
	}
}

func TestConnectionsBeyondTheLimitAreReset(t *testing.T) {
	o := options()
	o.MaxConns = 1
	e := start(t, o)
	first, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	fmt.Fprintf(first, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := first.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := ask(t, e, "/health"); err == nil {
		t.Error("a second connection was served")
	}
}

// control is a node that accepts heartbeats.
type control struct {
	*httptest.Server
	received chan string
	to       string // the address for the next heartbeat
}

func newControl(t *testing.T, to string) *control {
	t.Helper()
	c := &control{received: make(chan string, 1000), to: to}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var report struct {
			State string
			Count int `json:"call_count"`
		}
		_ = json.NewDecoder(r.Body).Decode(&report)
		c.received <- fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, report.State)
		fmt.Fprintf(w, `{"beat_to":%q}`, c.to)
	}))
	t.Cleanup(c.Close)
	return c
}

func (c *control) addr() string { return c.Listener.Addr().String() }

func TestHeartbeatsFollowTheGivenAddressAndReportDraining(t *testing.T) {
	second := newControl(t, "")
	first := newControl(t, second.addr())
	o := options()
	o.Heartbeats = Heartbeats{Every: 5 * time.Millisecond, Controls: func() []string { return []string{"127.0.0.1:1", first.addr()} }}
	e := start(t, o)
	if got := <-first.received; got != "PUT /instances/i-1 ready" {
		t.Errorf("the first heartbeat is %q", got)
	}
	for range 3 {
		if got := <-second.received; got != "PUT /instances/i-1 ready" {
			t.Errorf("a heartbeat to the given address is %q", got)
		}
	}
	if acked := e.Leave(t.Context()); acked.IsZero() {
		t.Error("no node acknowledged the drain")
	}
	var last string
	for len(first.received) > 0 {
		last = <-first.received
	}
	if last != "DELETE /instances/i-1 " {
		t.Errorf("the last call is %q", last)
	}
	if _, _, err := ask(t, e, "/health"); err == nil {
		t.Error("the endpoint serves after it has stopped")
	}
}
