package load

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/tier/tiertest"
	"dunetide/internal/lab/world"
)

// proxy is a trivial tier with an endpoint for each of two services.
type proxy struct {
	tiertest.Proxy
	addr string
}

const stride = 10

func newProxy(t *testing.T, runs *engine.Runs) *proxy {
	t.Helper()
	o := engine.Options{Address: "127.0.0.1:0", Capacity: 20, Queue: 50, CacheTokens: 1 << 20, Stride: stride, Piece: 4096,
		Step: time.Millisecond, PrefillToken: time.Microsecond, Runs: runs}
	addrs := map[string]string{}
	for _, service := range []string{"gen", "web"} {
		o.Service, o.ID = service, "i-"+service
		if service == "web" {
			o.Work = time.Millisecond
		}
		e, err := engine.Start(o)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Crash)
		addrs[service] = e.Address()
	}
	p := &proxy{}
	p.Endpoint = func(path string) string {
		if strings.HasPrefix(path, "/web/") {
			return addrs["web"]
		}
		return addrs["gen"]
	}
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	p.addr = s.Listener.Addr().String()
	return p
}

func (p *proxy) front(string, uint64) (string, bool) { return p.addr, true }

func route(name, service string, kind operatorconfig.RouteKind, resume bool) *operatorconfig.Route {
	return &operatorconfig.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, Resumable: resume, TimeoutMs: 2000, LatencyTargetMs: 1000,
		EventGapTargetMs: 500, DueMs: 5000, MaxWaitMs: 8000, MaxAttempts: 2, Shares: []operatorconfig.Share{{Service: service, Weight: 1}}}
}

func traffic(r *operatorconfig.Route) []Traffic {
	return []Traffic{{Route: r, Rate: 100, In: 60, Out: 60, Sessions: 5}}
}

func options(p *proxy, runs *engine.Runs) Options {
	return Options{Seed: 1, Length: 300 * time.Millisecond, Clients: 4, Zones: []string{"a"}, Front: p.front, Stride: stride,
		FinishBy: 5 * time.Second, VisibleWithin: time.Second, Cancel: time.Second, Runs: runs}
}

func names(violations []Violation) (out []string) {
	for _, b := range violations {
		if !slices.Contains(out, b.Rule) {
			out = append(out, b.Rule)
		}
	}
	return out
}

func TestCorrectProxyHasNoViolations(t *testing.T) {
	runs := &engine.Runs{}
	p := newProxy(t, runs)
	o := options(p, runs)
	o.Traffic = slices.Concat(traffic(route("gen", "gen", operatorconfig.Streaming, false)), traffic(route("web", "web", operatorconfig.Writes, false)))
	o.Jobs = []Jobs{{Route: route("bulk", "gen", operatorconfig.Bulk, false), Count: 1, Items: 3, In: 60, Out: 60}}
	a := Run(t.Context(), o)
	if len(a.Violations) > 0 || len(a.Jobs) != 1 || a.Jobs[0].Listed != 3 {
		t.Errorf("violations %v, jobs %v", a.Violations, a.Jobs)
	}
	if len(a.Kinds) != 3 {
		t.Fatalf("kinds %+v", a.Kinds)
	}
	for _, k := range a.Kinds {
		if k.Requested == 0 || k.WithinTarget+k.Late != k.Requested {
			t.Errorf("%+v", k)
		}
	}
}

func TestSameSeedSameRequests(t *testing.T) {
	var sums [2][]string
	for i := range sums {
		runs := &engine.Runs{}
		p := newProxy(t, runs)
		o := options(p, runs)
		o.Traffic = traffic(route("web", "web", operatorconfig.ReadOnly, false))
		Run(t.Context(), o)
		for _, r := range runs.All() {
			sums[i] = append(sums[i], r.Request+" "+r.Sum)
		}
		slices.Sort(sums[i])
	}
	if len(sums[0]) == 0 || !slices.Equal(sums[0], sums[1]) {
		t.Errorf("the two sets of %d and %d requests differ", len(sums[0]), len(sums[1]))
	}
}

func TestEachViolationIsDetected(t *testing.T) {
	stream, web := route("gen", "gen", operatorconfig.Streaming, false), route("web", "web", operatorconfig.Writes, false)
	for _, c := range []struct {
		name  string
		route *operatorconfig.Route
		wrong func(*proxy)
		rule  string
	}{
		{"repeated", web, func(p *proxy) { p.Repeat = true }, Twice},
		{"repeated stream", stream, func(p *proxy) { p.Repeat = true }, Twice},
		{"invented", web, func(p *proxy) { p.Invent = true }, Unasked},
		{"changed", web, func(p *proxy) { p.Change = func([]byte) []byte { return []byte("other") } }, Unasked},
		{"other body", web, func(p *proxy) {
			p.Rewrite = func(s int, b []byte) (int, []byte) { return s, append([]byte("x"), b[1:]...) }
		}, Mixed},
		{"refused though it ran", web, func(p *proxy) {
			p.Rewrite = func(int, []byte) (int, []byte) { return http.StatusServiceUnavailable, nil }
		}, Refused},
		{"event lost", stream, func(p *proxy) {
			p.Rewrite = func(s int, b []byte) (int, []byte) {
				return s, b[bytes.Index(b, []byte("\n\n"))+2:]
			}
		}, Order},
		{"ended early", stream, func(p *proxy) {
			p.Rewrite = func(s int, b []byte) (int, []byte) { return s, b[:bytes.Index(b, []byte("\n\n"))+2] }
		}, Order},
		{"wrong service", &operatorconfig.Route{Name: "web", Host: "h", PathPrefix: "/web/", Kind: operatorconfig.Writes, TimeoutMs: 1000, LatencyTargetMs: 1000,
			Shares: []operatorconfig.Share{{Service: "gen"}}}, func(*proxy) {}, Route},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := &engine.Runs{}
			p := newProxy(t, runs)
			c.wrong(p)
			o := options(p, runs)
			o.Length, o.Traffic = 60*time.Millisecond, traffic(c.route)
			if got := names(Run(t.Context(), o).Violations); !slices.Equal(got, []string{c.rule}) {
				t.Errorf("violated rules %v, want %s", got, c.rule)
			}
		})
	}
}

func TestEachViolationOfAJobIsDetected(t *testing.T) {
	for _, c := range []struct {
		name  string
		wrong func([]tiertest.Result) []tiertest.Result
		rules []string
	}{
		{"text", func(l []tiertest.Result) []tiertest.Result {
			for i := range l {
				l[i].Message += "x"
			}
			return l
		}, []string{Mixed}},
		{"given up early", func(l []tiertest.Result) []tiertest.Result {
			for i := range l {
				l[i].State = "given_up"
			}
			return l
		}, []string{Mixed}},
		{"unknown item", func(l []tiertest.Result) []tiertest.Result {
			for i := range l {
				l[i].ID += "x"
			}
			return l
		}, []string{Mixed}},
		{"item twice", func(l []tiertest.Result) []tiertest.Result {
			if len(l) == 3 {
				l[1] = l[0]
			}
			return l
		}, []string{Twice}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := &engine.Runs{}
			p := newProxy(t, runs)
			p.Results = c.wrong
			o := options(p, runs)
			o.Jobs = []Jobs{{Route: route("bulk", "gen", operatorconfig.Bulk, false), Count: 1, Items: 3, In: 60, Out: 60}}
			if got := names(Run(t.Context(), o).Violations); !slices.Equal(got, c.rules) {
				t.Errorf("violated rules %v, want %v", got, c.rules)
			}
		})
	}
}

func TestChangedOrEndedJobIsDetected(t *testing.T) {
	o := Options{VisibleWithin: 0, Stride: stride}
	b := newLedger()
	j := newJob(o, b, Jobs{Route: route("bulk", "gen", operatorconfig.Bulk, false), Items: 2, In: 60, Out: 60}, world.Random(1, "test"), 0)
	first := result{j.order[0].ID, "finished", engine.Text(j.order[0].ID, 0, j.order[0].events)}
	j.checkResult(0, first)
	j.checkResult(0, first)
	if len(b.violations) > 0 {
		t.Fatalf("violations %v", b.violations)
	}
	changed := first
	changed.State = "given_up"
	j.checkResult(0, changed)
	if got := names(b.violations); !slices.Equal(got, []string{Twice}) {
		t.Errorf("a changed position violates %v", got)
	}
	b.violations = nil
	j.ended = time.Now()
	run := engine.Run{Request: j.order[1].ID, Service: "gen", Sum: b.sent[j.order[1].ID].sum}
	run.Arrived = j.ended.Add(2 * time.Second)
	if got := names(b.check([]engine.Run{run}, time.Second)); !slices.Equal(got, []string{Unasked}) {
		t.Errorf("an item that runs long after the end of its job violates %v", got)
	}
	run.Arrived = j.ended
	j.refused = true
	if got := names(b.check([]engine.Run{run}, time.Second)); !slices.Equal(got, []string{Refused}) {
		t.Errorf("an item of a refused job that runs violates %v", got)
	}
}

func TestLostJobIsDetected(t *testing.T) {
	runs := &engine.Runs{}
	p := newProxy(t, runs)
	o := options(p, runs)
	o.VisibleWithin = 0
	b := newLedger()
	j := newJob(o, b, Jobs{Route: route("bulk", "gen", operatorconfig.Bulk, false), Items: 2, In: 60, Out: 60}, world.Random(1, "test"), 0)
	j.accepted = time.Now()
	j.read(t.Context(), 0)
	if got := names(b.violations); !slices.Equal(got, []string{Lost}) {
		t.Errorf("violated rules %v", got)
	}
}

func TestRetryAfterIsHonouredUpToAThirdOfTheTimeLeft(t *testing.T) {
	for _, c := range []struct {
		wait            string
		tries, onTarget int
	}{{"0.05", 2, 1}, {"1.5", 1, 0}} {
		runs := &engine.Runs{}
		p := newProxy(t, runs)
		var mu sync.Mutex
		var times []time.Time
		p.Refuse = func(*http.Request) (int, string) {
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Now())
			if len(times) == 1 {
				return http.StatusTooManyRequests, c.wait
			}
			return 0, ""
		}
		b := newLedger()
		cl := &client{ledger: b, zone: "a", front: p.front}
		r := newRequest(traffic(route("web", "web", operatorconfig.Writes, false))[0], world.Random(1, "test"), stride)
		r.created = time.Now()
		cl.do(t.Context(), r)
		cl.close()
		f := b.figures["web"]
		if f.Tries != c.tries || f.WithinTarget != c.onTarget || f.Refused != 1-c.onTarget {
			t.Errorf("Retry-After %s: %+v", c.wait, f)
		}
		if c.tries == 2 && times[1].Sub(times[0]) < 50*time.Millisecond {
			t.Errorf("the second attempt came after %v", times[1].Sub(times[0]))
		}
	}
}

func TestOnlyIdempotentRequestsAreRetriedAfterAConnectionFailure(t *testing.T) {
	for _, c := range []struct {
		route *operatorconfig.Route
		tries int
	}{
		{route("web", "web", operatorconfig.ReadOnly, false), maxAttempts},
		{route("web", "web", operatorconfig.Writes, false), 1},
	} {
		runs := &engine.Runs{}
		p := newProxy(t, runs)
		p.Refuse = func(*http.Request) (int, string) { panic(http.ErrAbortHandler) }
		b := newLedger()
		cl := &client{ledger: b, zone: "a", front: p.front}
		r := newRequest(traffic(c.route)[0], world.Random(1, "test"), stride)
		r.created = time.Now()
		cl.do(t.Context(), r)
		if f := b.figures["web"]; f.Tries != c.tries || f.Failed != 1 || f.Ends["closed"] != c.tries {
			t.Errorf("%+v, want %d attempts", f, c.tries)
		}
	}
}

func TestAResumedStreamContinuesAfterItsNewestEvent(t *testing.T) {
	b := newLedger()
	cut := true
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(engine.HeaderRequest)
		w.Header().Set(engine.HeaderSeal, "seal")
		last, _ := strconv.Atoi(r.Header.Get(engine.HeaderLast))
		for n := last + 1; n <= 4; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, engine.Event(id, n))
			_ = http.NewResponseController(w).Flush()
			if n == 2 && cut {
				cut = false
				panic(http.ErrAbortHandler)
			}
		}
	}))
	defer s.Close()
	cl := &client{ledger: b, front: func(string, uint64) (string, bool) { return s.Listener.Addr().String(), true }}
	defer cl.close()
	r := newRequest(traffic(route("gen", "gen", operatorconfig.Streaming, true))[0], world.Random(1, "test"), stride)
	r.events, r.created = 4, time.Now()
	cl.do(t.Context(), r)
	if f := b.figures["gen"]; f.WithinTarget != 1 || f.Tries != 2 || f.Ends["broken off"] != 1 || len(b.violations) > 0 {
		t.Errorf("%+v, violations %v", f, b.violations)
	}
}

func TestBytesAfterAnAnswerAreDetected(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, _ := http.NewResponseController(w).Hijack()
		defer c.Close()
		body := engine.PlainBody(r.Header.Get(engine.HeaderRequest))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", engine.HeaderSeal, len(body), body)
		_, _ = io.WriteString(c, answer+answer)
	}))
	defer s.Close()
	b := newLedger()
	cl := &client{ledger: b, front: func(string, uint64) (string, bool) { return s.Listener.Addr().String(), true }}
	r := newRequest(traffic(route("web", "web", operatorconfig.Writes, false))[0], world.Random(1, "test"), stride)
	r.created = time.Now()
	cl.do(t.Context(), r)
	if got := names(b.violations); !slices.Equal(got, []string{Mixed}) {
		t.Errorf("violations %v", b.violations)
	}
}

func TestItemsFollowTheDocumentedFormat(t *testing.T) {
	j := newJob(Options{Stride: stride}, newLedger(), Jobs{Route: route("bulk", "gen", operatorconfig.Bulk, false), Items: 1, In: 60, Out: 60}, world.Random(1, "test"), 0)
	text, err := json.Marshal(j.order[0])
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if got["body"] != base64.StdEncoding.EncodeToString(j.order[0].Body) || len(got) != 5 {
		t.Errorf("%s", text)
	}
}
