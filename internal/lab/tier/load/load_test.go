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

	"wingmount/internal/lab/tier/engine"
	"wingmount/internal/lab/world"
	"wingmount/internal/operator"
)

// proxy is a trivial tier: it passes requests on to one endpoint a service, and runs batch jobs at once.
type proxy struct {
	*httptest.Server
	engine, plain string
	http          http.Client

	// What a test has it do wrong.
	repeat  bool                                            // each request is sent twice
	invent  bool                                            // each request is followed by one that nobody sent
	change  func(body []byte) []byte                        // of a request
	rewrite func(status int, body []byte) (int, []byte)     // an answer
	results func(listed []result) []result                  // of a read
	refuse  func(r *http.Request) (status int, wait string) // before anything is sent

	mu    sync.Mutex
	lots  map[string][]result
	items map[string][]byte
	ended map[string]bool
}

const stride = 10

func newProxy(t *testing.T, runs *engine.Runs) *proxy {
	t.Helper()
	p := &proxy{lots: map[string][]result{}, items: map[string][]byte{}, ended: map[string]bool{}}
	o := engine.Options{ID: "i-1", Service: "gen", Address: "127.0.0.1:0", Capacity: 20, Queue: 50, CacheTokens: 1 << 20, Stride: stride, Piece: 4096,
		Step: time.Millisecond, PrefillToken: time.Microsecond, Runs: runs}
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
		if service == "gen" {
			p.engine = e.Address()
		} else {
			p.plain = e.Address()
		}
	}
	p.http.Transport = &http.Transport{DisableCompression: true}
	p.Server = httptest.NewServer(p)
	t.Cleanup(p.Close)
	return p
}

func (p *proxy) front(string, uint64) (string, bool) { return p.Listener.Addr().String(), true }

func (p *proxy) send(r *http.Request, addr string, body []byte) (*http.Response, error) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	out.GetBody = nil // nothing is sent again
	out.Header = r.Header.Clone()
	return p.http.Do(out)
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.refuse != nil {
		if status, wait := p.refuse(r); status != 0 {
			w.Header().Set("Retry-After", wait)
			w.WriteHeader(status)
			return
		}
	}
	body, _ := io.ReadAll(r.Body)
	switch {
	case strings.HasPrefix(r.URL.Path, "/lots/"), strings.HasPrefix(r.URL.Path, "/items/"):
		p.lot(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/bulk/"):
		p.handIn(w, r, body)
		return
	}
	addr := p.engine
	if strings.HasPrefix(r.URL.Path, "/web/") {
		addr = p.plain
	}
	if p.change != nil {
		body = p.change(body)
	}
	again := 0
	if p.repeat {
		again = 1
	}
	for range again {
		if resp, err := p.send(r, addr, body); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	resp, err := p.send(r, addr, body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	if p.invent {
		other := r.Clone(r.Context())
		other.Header.Set(engine.HeaderRequest, "invented-"+r.Header.Get(engine.HeaderRequest))
		if resp, err := p.send(other, addr, body); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	if p.rewrite != nil {
		got, _ := io.ReadAll(resp.Body)
		status, got := p.rewrite(resp.StatusCode, got)
		w.Header().Del("Content-Length")
		w.WriteHeader(status)
		_, _ = w.Write(got)
		return
	}
	w.WriteHeader(resp.StatusCode)
	flush := http.NewResponseController(w)
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		_, _ = w.Write(buf[:n])
		_ = flush.Flush()
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *proxy) handIn(w http.ResponseWriter, r *http.Request, body []byte) {
	var asked struct{ Requests []item }
	if err := json.Unmarshal(body, &asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.Header.Get(engine.HeaderRequest)
	p.mu.Lock()
	p.lots[id] = nil
	for _, it := range asked.Requests {
		p.items[it.ID] = it.Body
	}
	p.mu.Unlock()
	go func() {
		for _, it := range asked.Requests {
			p.mu.Lock()
			ended := p.ended[id]
			p.mu.Unlock()
			if ended {
				return
			}
			req, _ := http.NewRequest(http.MethodPost, "http://"+p.engine+it.Path, bytes.NewReader(it.Body))
			for k, v := range it.Headers {
				req.Header.Set(k, v)
			}
			req.Header.Set(engine.HeaderRequest, it.ID)
			resp, err := p.http.Do(req)
			if err != nil {
				return
			}
			all, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			var text []string
			for line := range strings.Lines(string(all)) {
				if data, ok := strings.CutPrefix(line, "data: "); ok {
					text = append(text, strings.TrimSuffix(data, "\n"))
				}
			}
			p.mu.Lock()
			p.lots[id] = append(p.lots[id], result{it.ID, "finished", strings.Join(text, "\n")})
			p.mu.Unlock()
		}
	}()
	w.WriteHeader(http.StatusAccepted)
}

func (p *proxy) lot(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	listed, ok := p.lots[id]
	switch {
	case strings.HasPrefix(r.URL.Path, "/items/"):
		_, _ = w.Write(p.items[r.URL.Query().Get("id")])
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		p.ended[id] = true
	default:
		if p.results != nil {
			listed = p.results(slices.Clone(listed))
		}
		from, _ := strconv.Atoi(r.URL.Query().Get("start_after"))
		listed = listed[min(from, len(listed)):]
		_ = json.NewEncoder(w).Encode(map[string]any{"total": 3, "results": listed, "next_token": from + len(listed)})
	}
}

func route(name, service string, kind operator.Kind, resume bool) *operator.Route {
	return &operator.Route{Name: name, Host: "h.example", PathStart: "/" + name + "/", Kind: kind, Resume: resume, TimeoutMs: 2000, TargetMs: 1000,
		GapAimMs: 500, DueMs: 5000, MaxWaitMs: 8000, Tries: 2, Shares: []operator.Share{{Service: service, Weight: 1}}}
}

func traffic(r *operator.Route) []Traffic {
	return []Traffic{{Route: r, Rate: 100, In: 60, Out: 60, Sessions: 5}}
}

func options(p *proxy, runs *engine.Runs) Options {
	return Options{Seed: 1, Length: 300 * time.Millisecond, Clients: 4, Zones: []string{"a"}, Front: p.front, Stride: stride,
		FinishBy: 5 * time.Second, Settle: time.Second, Cancel: time.Second, Runs: runs}
}

func names(broken []Broken) (out []string) {
	for _, b := range broken {
		if !slices.Contains(out, b.Rule) {
			out = append(out, b.Rule)
		}
	}
	return out
}

func TestAllIsServedThroughATrivialProxy(t *testing.T) {
	runs := &engine.Runs{}
	p := newProxy(t, runs)
	o := options(p, runs)
	o.Traffic = slices.Concat(traffic(route("gen", "gen", operator.Streaming, false)), traffic(route("web", "web", operator.Writes, false)))
	o.Jobs = []Jobs{{Route: route("bulk", "gen", operator.Bulk, false), Count: 1, Items: 3, In: 60, Out: 60}}
	a := Run(t.Context(), o)
	if len(a.Broken) > 0 || len(a.Jobs) > 0 {
		t.Errorf("broken %v, open %v", a.Broken, a.Jobs)
	}
	if len(a.Kinds) != 3 {
		t.Fatalf("kinds %+v", a.Kinds)
	}
	for _, k := range a.Kinds {
		if k.Asked == 0 || k.InAim+k.Late != k.Asked {
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
		o.Traffic = traffic(route("web", "web", operator.ReadOnly, false))
		Run(t.Context(), o)
		for _, r := range runs.All() {
			sums[i] = append(sums[i], r.Request+" "+r.Sum)
		}
		slices.Sort(sums[i])
	}
	if len(sums[0]) == 0 || !slices.Equal(sums[0], sums[1]) {
		t.Errorf("%d and %d requests, which differ", len(sums[0]), len(sums[1]))
	}
}

func TestEachWrongIsFound(t *testing.T) {
	stream, web := route("gen", "gen", operator.Streaming, false), route("web", "web", operator.Writes, false)
	for _, c := range []struct {
		name  string
		route *operator.Route
		wrong func(*proxy)
		rule  string
	}{
		{"repeated", web, func(p *proxy) { p.repeat = true }, Twice},
		{"repeated stream", stream, func(p *proxy) { p.repeat = true }, Twice},
		{"invented", web, func(p *proxy) { p.invent = true }, Unasked},
		{"changed", web, func(p *proxy) { p.change = func([]byte) []byte { return []byte("other") } }, Unasked},
		{"other body", web, func(p *proxy) {
			p.rewrite = func(s int, b []byte) (int, []byte) { return s, append([]byte("x"), b[1:]...) }
		}, Mixed},
		{"refused though it ran", web, func(p *proxy) {
			p.rewrite = func(int, []byte) (int, []byte) { return http.StatusServiceUnavailable, nil }
		}, Refused},
		{"event lost", stream, func(p *proxy) {
			p.rewrite = func(s int, b []byte) (int, []byte) {
				return s, b[bytes.Index(b, []byte("\n\n"))+2:]
			}
		}, Order},
		{"ended early", stream, func(p *proxy) {
			p.rewrite = func(s int, b []byte) (int, []byte) { return s, b[:bytes.Index(b, []byte("\n\n"))+2] }
		}, Order},
		{"wrong service", &operator.Route{Name: "web", Host: "h", PathStart: "/web/", Kind: operator.Writes, TimeoutMs: 1000, TargetMs: 1000,
			Shares: []operator.Share{{Service: "gen"}}}, func(*proxy) {}, Route},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := &engine.Runs{}
			p := newProxy(t, runs)
			c.wrong(p)
			o := options(p, runs)
			o.Length, o.Traffic = 60*time.Millisecond, traffic(c.route)
			if got := names(Run(t.Context(), o).Broken); !slices.Equal(got, []string{c.rule}) {
				t.Errorf("broken %v, want %s", got, c.rule)
			}
		})
	}
}

func TestEachWrongOfAJobIsFound(t *testing.T) {
	for _, c := range []struct {
		name  string
		wrong func([]result) []result
		rules []string
	}{
		{"text", func(l []result) []result {
			for i := range l {
				l[i].Message += "x"
			}
			return l
		}, []string{Mixed}},
		{"given up early", func(l []result) []result {
			for i := range l {
				l[i].State = "given_up"
			}
			return l
		}, []string{Mixed}},
		{"strange item", func(l []result) []result {
			for i := range l {
				l[i].ID += "x"
			}
			return l
		}, []string{Mixed}},
		{"item twice", func(l []result) []result {
			if len(l) == 3 {
				l[1] = l[0]
			}
			return l
		}, []string{Twice}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runs := &engine.Runs{}
			p := newProxy(t, runs)
			p.results = c.wrong
			o := options(p, runs)
			o.Jobs = []Jobs{{Route: route("bulk", "gen", operator.Bulk, false), Count: 1, Items: 3, In: 60, Out: 60}}
			if got := names(Run(t.Context(), o).Broken); !slices.Equal(got, c.rules) {
				t.Errorf("broken %v, want %v", got, c.rules)
			}
		})
	}
}

func TestAJobThatChangesOrGoesIsFound(t *testing.T) {
	o := Options{Settle: 0, Stride: stride}
	b := newBook()
	j := newJob(o, b, Jobs{Route: route("bulk", "gen", operator.Bulk, false), Items: 2, In: 60, Out: 60}, world.Random(1, "test"), 0)
	first := result{j.order[0].ID, "finished", engine.Text(j.order[0].ID, 0, j.order[0].events)}
	j.take(0, first)
	j.take(0, first)
	if len(b.broken) > 0 {
		t.Fatalf("broken %v", b.broken)
	}
	changed := first
	changed.State = "given_up"
	j.take(0, changed)
	if got := names(b.broken); !slices.Equal(got, []string{Twice}) {
		t.Errorf("a position that changes broke %v", got)
	}
	b.broken = nil
	j.ended = time.Now()
	run := engine.Run{Request: j.order[1].ID, Service: "gen", Sum: b.sent[j.order[1].ID].sum}
	run.Arrived = j.ended.Add(2 * time.Second)
	if got := names(b.check([]engine.Run{run}, time.Second)); !slices.Equal(got, []string{Unasked}) {
		t.Errorf("an item that runs long after the end broke %v", got)
	}
	run.Arrived = j.ended
	j.never = true
	if got := names(b.check([]engine.Run{run}, time.Second)); !slices.Equal(got, []string{Refused}) {
		t.Errorf("an item of a refused job that runs broke %v", got)
	}
}

func TestReadsOfALostJob(t *testing.T) {
	runs := &engine.Runs{}
	p := newProxy(t, runs)
	o := options(p, runs)
	o.Settle = 0
	b := newBook()
	j := newJob(o, b, Jobs{Route: route("bulk", "gen", operator.Bulk, false), Items: 2, In: 60, Out: 60}, world.Random(1, "test"), 0)
	j.accepted = time.Now()
	j.read(t.Context(), 0)
	if got := names(b.broken); !slices.Equal(got, []string{Lost}) {
		t.Errorf("broken %v", got)
	}
}

func TestRetryAfterIsHonouredUpToAThirdOfWhatIsLeft(t *testing.T) {
	for _, c := range []struct {
		wait         string
		tries, inAim int
	}{{"0.05", 2, 1}, {"1.5", 1, 0}} {
		runs := &engine.Runs{}
		p := newProxy(t, runs)
		var mu sync.Mutex
		var times []time.Time
		p.refuse = func(*http.Request) (int, string) {
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Now())
			if len(times) == 1 {
				return http.StatusTooManyRequests, c.wait
			}
			return 0, ""
		}
		b := newBook()
		cl := &client{book: b, zone: "a", front: p.front}
		r := draw(traffic(route("web", "web", operator.Writes, false))[0], world.Random(1, "test"), stride)
		r.born = time.Now()
		cl.do(t.Context(), r)
		cl.close()
		f := b.figures["web"]
		if f.Tries != c.tries || f.InAim != c.inAim || f.Refused != 1-c.inAim {
			t.Errorf("Retry-After %s: %+v", c.wait, f)
		}
		if c.tries == 2 && times[1].Sub(times[0]) < 50*time.Millisecond {
			t.Errorf("the second try came after %v", times[1].Sub(times[0]))
		}
	}
}

func TestOnlyWhatMayRepeatIsTriedAgainAfterABreak(t *testing.T) {
	for _, c := range []struct {
		route *operator.Route
		tries int
	}{
		{route("web", "web", operator.ReadOnly, false), mostTry},
		{route("web", "web", operator.Writes, false), 1},
	} {
		runs := &engine.Runs{}
		p := newProxy(t, runs)
		p.refuse = func(*http.Request) (int, string) { panic(http.ErrAbortHandler) }
		b := newBook()
		cl := &client{book: b, zone: "a", front: p.front}
		r := draw(traffic(c.route)[0], world.Random(1, "test"), stride)
		r.born = time.Now()
		cl.do(t.Context(), r)
		if f := b.figures["web"]; f.Tries != c.tries || f.Failed != 1 || f.Ends["closed"] != c.tries {
			t.Errorf("%+v, want %d tries", f, c.tries)
		}
	}
}

func TestAResumedStreamGoesOnAfterItsNewestEvent(t *testing.T) {
	b := newBook()
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
	cl := &client{book: b, front: func(string, uint64) (string, bool) { return s.Listener.Addr().String(), true }}
	defer cl.close()
	r := draw(traffic(route("gen", "gen", operator.Streaming, true))[0], world.Random(1, "test"), stride)
	r.events, r.born = 4, time.Now()
	cl.do(t.Context(), r)
	if f := b.figures["gen"]; f.InAim != 1 || f.Tries != 2 || f.Ends["broken off"] != 1 || len(b.broken) > 0 {
		t.Errorf("%+v, broken %v", f, b.broken)
	}
}

func TestBytesBehindAnAnswerAreFound(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, _ := http.NewResponseController(w).Hijack()
		defer c.Close()
		body := engine.PlainBody(r.Header.Get(engine.HeaderRequest))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", engine.HeaderSeal, len(body), body)
		_, _ = io.WriteString(c, answer+answer)
	}))
	defer s.Close()
	b := newBook()
	cl := &client{book: b, front: func(string, uint64) (string, bool) { return s.Listener.Addr().String(), true }}
	r := draw(traffic(route("web", "web", operator.Writes, false))[0], world.Random(1, "test"), stride)
	r.born = time.Now()
	cl.do(t.Context(), r)
	if got := names(b.broken); !slices.Equal(got, []string{Mixed}) {
		t.Errorf("broken %v", b.broken)
	}
}

func TestItemsAreWrittenAsThePagesSay(t *testing.T) {
	j := newJob(Options{Stride: stride}, newBook(), Jobs{Route: route("bulk", "gen", operator.Bulk, false), Items: 1, In: 60, Out: 60}, world.Random(1, "test"), 0)
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
