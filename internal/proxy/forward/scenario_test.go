//go:build !race

// These tests run in simulated time, which the race detector does not support (see internal/deliverynode/fleet/simulated_test.go).

package forward

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/proxy/dispatch"
)

// A scenario has proxies with their dispatchers, gates and recorders, engines, stores with disks, and clients, in simulated time.
// Keepers are simulated: they push documents and confirm them late, out of order or not at all.
const (
	scenarioLength          = 20 * time.Second
	scenarioConfirmationTTL = 2 * time.Second
	scenarioProxyCount      = 3
	scenarioEngineCount     = 7
	scenarioEventCount      = 6
	scenarioItemCount       = 60
	itemWait                = 12 * time.Second // after which a waiting item is given up
)

// actualRun is a run as an engine saw it.
type actualRun struct {
	id, engine, path string
	by               *scenarioProxy
	began            time.Time // when it arrived: a frozen engine processes it later
	from             int
	complete         bool
}

type scenario struct {
	t    *testing.T
	seed uint64
	mu   sync.Mutex
	rng  *rand.Rand
	wg   sync.WaitGroup

	document certification.Document
	puts     []*certification.Set // in the order of the puts
	putAt    []time.Time
	runs     []*actualRun
	proxies  []*scenarioProxy
	engines  map[string]*scenarioEngine
	stores   []*audit.Store
	lost     []bool // stores
	config   *operatorconfig.Config
	ctx      context.Context
	refused  int
	served   int
	listed   map[string]int
	givenUp  map[string]bool
	answers  map[string]int // status by id
	dir      string
}

func (n *scenario) random(most int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(most)
}

func (n *scenario) ms(most int) time.Duration {
	return time.Duration(n.random(most)) * time.Millisecond
}

// scenarioProxy is one proxy.
type scenarioProxy struct {
	n         *scenario
	holder    *snapshot.Latest
	dispatch  *dispatch.Dispatcher
	gate      *certification.Gate
	record    *audit.Recorder
	proxy     *Proxy
	mu        sync.Mutex
	cut       bool // disconnected from all keepers
	confirmed time.Time
	known     []knownSet
}

// knownSet is a document and the time from which a proxy had it.
type knownSet struct {
	at  time.Time
	set *certification.Set
}

// update passes a document to the proxy's gate.
func (p *scenarioProxy) update(s *certification.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Update(s)
	if now := p.gate.Current(); len(p.known) == 0 || p.known[len(p.known)-1].set != now {
		p.known = append(p.known, knownSet{time.Now(), now})
	}
}

// knewCertified reports whether an engine was certified by the document that the proxy had at a time, or right before it.
func (p *scenarioProxy) knewCertified(engine string, at time.Time) bool {
	for i, k := range p.known {
		over := i+1 < len(p.known) && p.known[i+1].at.Before(at.Add(-transitTime))
		if !over && !k.at.After(at) && slices.ContainsFunc(k.set.Certificates, func(c certification.Certificate) bool { return c.Endpoint == engine }) {
			return true
		}
	}
	return false
}

// transitTime is how long a request may take from the last check to its engine.
const transitTime = 2 * time.Millisecond

func (p *scenarioProxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *scenarioProxy) setCut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = on
}

// confirm asks a keeper whether the known document is the newest. The keeper's read begins after the call.
func (p *scenarioProxy) confirm() {
	asked := time.Now()
	time.Sleep(p.n.ms(20))
	if p.isCut() {
		return
	}
	newest := p.n.newest()
	time.Sleep(p.n.ms(40))
	if p.isCut() {
		return
	}
	p.update(newest) // pushed before the answer
	p.mu.Lock()
	if asked.After(p.confirmed) {
		p.confirmed = asked
	}
	p.mu.Unlock()
}

func (n *scenario) newest() *certification.Set {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.puts) == 0 {
		return nil
	}
	return n.puts[len(n.puts)-1]
}

// put commits a new version of the document and pushes it to all proxies, late and in any order.
func (n *scenario) put(change func(d *certification.Document)) {
	n.mu.Lock()
	change(&n.document)
	n.document.Version++
	text, err := json.Marshal(n.document)
	must(n.t, err)
	s, err := certification.Parse(text)
	must(n.t, err)
	n.puts, n.putAt = append(n.puts, s), append(n.putAt, time.Now())
	n.mu.Unlock()
	for _, p := range n.proxies {
		n.wg.Go(func() {
			time.Sleep(n.ms(800)) // a push may arrive after the answer to a confirmation
			if !p.isCut() {
				p.update(s)
			}
		})
	}
}

// scenarioEngine is an endpoint in memory.
type scenarioEngine struct {
	n           *scenario
	id          string
	mu          sync.Mutex
	down        bool
	frozenUntil time.Time
	busy        int
	open        map[net.Conn]bool
}

const engineSlots = 5

func (e *scenarioEngine) dial(by *scenarioProxy) (net.Conn, error) {
	time.Sleep(time.Duration(1+e.n.random(80)) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	e.open[b] = true
	e.n.wg.Go(func() { e.serve(b, by) })
	return a, nil
}

func (e *scenarioEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for c := range e.open {
		_ = c.Close()
	}
}

// pause sleeps for d, and longer while the engine is frozen.
func (e *scenarioEngine) pause(d time.Duration) {
	time.Sleep(d)
	for {
		e.mu.Lock()
		left := time.Until(e.frozenUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (e *scenarioEngine) serve(c net.Conn, by *scenarioProxy) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.open, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if !e.answer(c, r, by) {
			return
		}
	}
}

func (e *scenarioEngine) answer(c net.Conn, r *http.Request, by *scenarioProxy) bool {
	id, arrived := r.Header.Get(headerID), time.Now()
	e.pause(0)
	e.mu.Lock()
	full := e.busy >= engineSlots
	if !full {
		e.busy++
	}
	e.mu.Unlock()
	if full || r.Header.Get(headerTarget) != e.id {
		status := "503 X"
		if !full {
			status = "421 X"
		}
		_, err := io.WriteString(c, answerOf(id, status+"|X-Dunetide-Not-Run: 1", ""))
		return err == nil
	}
	defer func() {
		e.mu.Lock()
		e.busy--
		e.mu.Unlock()
	}()
	run := &actualRun{id: id, engine: e.id, path: r.URL.Path, began: arrived, by: by}
	run.from, _ = strconv.Atoi(r.Header.Get(headerLastEvent))
	e.n.mu.Lock()
	e.n.runs = append(e.n.runs, run)
	e.n.mu.Unlock()
	e.pause(time.Duration(5+e.n.random(20)) * time.Millisecond)
	if !strings.HasPrefix(r.URL.Path, "/bulk/") && !strings.HasPrefix(r.URL.Path, "/talk/") {
		_, err := io.WriteString(c, answerOf(id, sealed, "fine"))
		e.complete(run, err)
		return err == nil
	}
	if _, err := io.WriteString(c, streamHead(id)); err != nil {
		return false
	}
	for k := run.from + 1; k <= scenarioEventCount; k++ {
		e.pause(time.Duration(10+e.n.random(40)) * time.Millisecond)
		if _, err := io.WriteString(c, chunked(oneEvent(k))); err != nil {
			return false
		}
		if e.n.random(60) == 0 { // truncates the stream
			return false
		}
	}
	_, err := io.WriteString(c, chunked(""))
	e.complete(run, err)
	return err == nil
}

func (e *scenarioEngine) complete(run *actualRun, err error) {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	run.complete = err == nil
}

// unsynced is a folder without fsync: no scenario has a power loss, and fsync would be slowed down by other users of the
// machine's disk.
type unsynced struct{ vfs.Folder }

type unsyncedFile struct{ vfs.OpenFile }

func (unsyncedFile) Sync() error { return nil }
func (unsynced) Sync() error     { return nil }

func (f unsynced) Open(name string) (vfs.OpenFile, error) {
	file, err := f.Folder.Open(name)
	return unsyncedFile{file}, err
}

// storeConn is a connection from a recorder to a store.
type storeConn struct {
	n *scenario
	i int
}

func (s storeConn) Call(ctx context.Context, _ link.Kind, body []byte) ([]byte, error) {
	time.Sleep(s.n.ms(10))
	s.n.mu.Lock()
	lost := s.n.lost[s.i]
	s.n.mu.Unlock()
	if lost {
		return nil, link.ErrClosed
	}
	answer := make(chan error, 1)
	s.n.stores[s.i].Append(body, func(err error) { answer <- err })
	select {
	case err := <-answer:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
func (s storeConn) Done() <-chan struct{} { return nil }
func (s storeConn) Close()                {}

// scenarioRoutes has the routes; all but the last are regulated.
var scenarioRoutes = []operatorconfig.Route{
	{Name: "save", Kind: operatorconfig.Writes, TimeoutMs: 2000, LatencyTargetMs: 400, MaxAttempts: 2},
	{Name: "look", Kind: operatorconfig.ReadOnly, TimeoutMs: 2000, LatencyTargetMs: 400, MaxAttempts: 3},
	{Name: "talk", Kind: operatorconfig.Streaming, TimeoutMs: 4000, LatencyTargetMs: 400, MaxAttempts: 3, Resumable: true},
	{Name: "bulk", Kind: operatorconfig.Bulk, DueMs: 8000, MaxAttempts: 3, MaxWaitMs: 12000},
	{Name: "open", Kind: operatorconfig.Writes, TimeoutMs: 2000, LatencyTargetMs: 400, MaxAttempts: 2},
}

func newScenario(t *testing.T, seed uint64) *scenario {
	t.Helper()
	n := &scenario{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 99)), engines: map[string]*scenarioEngine{}, lost: make([]bool, 3),
		listed: map[string]int{}, givenUp: map[string]bool{}, answers: map[string]int{}}
	n.config = &operatorconfig.Config{Version: 1, Services: map[string]*operatorconfig.Service{"svc": {Name: "svc"}}}
	for _, r := range scenarioRoutes {
		r.Host, r.PathPrefix, r.Shares = "h.example", "/"+r.Name+"/", []operatorconfig.Share{{Service: "svc", Weight: 1}}
		n.config.Routes = append(n.config.Routes, r)
	}
	endpoints := []*snapshot.Endpoint{}
	for i := range scenarioEngineCount {
		id := fmt.Sprint("e", i)
		n.engines[id] = &scenarioEngine{n: n, id: id, open: map[net.Conn]bool{}}
		endpoints = append(endpoints, &snapshot.Endpoint{ID: id, Service: "svc", Address: id, Zone: "z", Capacity: engineSlots})
	}
	n.dir = t.TempDir()
	for i := range 3 {
		at := filepath.Join(n.dir, fmt.Sprint("s", i))
		must(t, os.Mkdir(at, 0o755))
		s, err := audit.OpenStore(audit.StoreOptions{Folder: unsynced{vfs.Dir(at)}, FileBytes: 64 << 10})
		must(t, err)
		n.stores = append(n.stores, s)
	}
	for i := range scenarioProxyCount {
		p := &scenarioProxy{n: n, holder: &snapshot.Latest{}}
		p.holder.Set(&snapshot.Snapshot{Config: n.config, Proxies: scenarioProxyCount, EndpointsComplete: true, Endpoints: map[string][]*snapshot.Endpoint{"svc": endpoints}})
		p.gate = certification.NewGate(certification.GateOptions{ConfirmationTTL: scenarioConfirmationTTL, LastConfirmed: func() time.Time {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.confirmed
		}})
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		p.dispatch = dispatch.New(dispatch.Options{Zone: "z", Snapshots: p.holder, Rand: rng.Float64})
		p.record = audit.NewRecorder(audit.RecorderOptions{NodeName: fmt.Sprint("p", i), Incarnation: 1, RequiredStores: 2, MaxPending: 60,
			Stores: func() (all []snapshot.Store) {
				for i := range n.stores {
					all = append(all, snapshot.Store{Name: fmt.Sprint("s", i), Addr: fmt.Sprint(i)})
				}
				return all
			},
			Dial: func(_ context.Context, addr string) (audit.Conn, error) {
				i, err := strconv.Atoi(addr)
				return storeConn{n, i}, err
			}})
		p.proxy = New(Options{Snapshots: p.holder, Admission: p.dispatch, Match: firstMatch, Certificates: p.gate, Recorder: p.record,
			Dial: func(_ context.Context, addr string) (net.Conn, error) { return n.engines[addr].dial(p) }})
		n.proxies = append(n.proxies, p)
	}
	return n
}

// certify certifies some engines, one of them only until the middle of the scenario, one only from then on.
func (n *scenario) certify() {
	now := time.Now()
	n.put(func(d *certification.Document) {
		for _, r := range scenarioRoutes[:len(scenarioRoutes)-1] {
			d.Routes = append(d.Routes, certification.Route{Name: r.Name, Regime: "fin"})
		}
		for i := range 5 {
			c := certification.Certificate{Endpoint: fmt.Sprint("e", i), Regime: "fin", NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour), Issuer: "n"}
			switch i {
			case 3:
				c.NotAfter = now.Add(scenarioLength / 2)
			case 4:
				c.NotBefore = now.Add(scenarioLength / 2)
			}
			d.Certificates = append(d.Certificates, c)
		}
	})
}

// interactive sends a request and retries it only after a 503, which promises that it has not run.
func (n *scenario) interactive(k int, route *operatorconfig.Route) {
	deadline := time.Now().Add(time.Duration(route.TimeoutMs) * time.Millisecond)
	for try := range 3 {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		id := fmt.Sprintf("%s-%d-%d", route.Name, k, try)
		r := httptest.NewRequestWithContext(n.ctx, http.MethodPost, "http://h.example"+route.PathPrefix+"x", strings.NewReader("body"))
		r.RequestURI = route.PathPrefix + "x"
		r.Header.Set(headerID, id)
		r.Header.Set(headerTimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
		w := httptest.NewRecorder()
		aborted := n.serveCall(n.proxies[n.random(scenarioProxyCount)].proxy, w, r)
		n.mu.Lock()
		n.answers[id] = w.Code
		if aborted {
			n.answers[id] = 0
		}
		n.mu.Unlock()
		regulated := route.Name != "open"
		switch {
		case aborted:
			return
		case w.Code == http.StatusOK:
			body := w.Body.String()
			if route.Kind == operatorconfig.Streaming && body != allEvents() || route.Kind != operatorconfig.Streaming && body != "fine" {
				n.t.Errorf("seed %d: %s was answered %q", n.seed, id, body)
			}
			n.mu.Lock()
			n.served++
			n.mu.Unlock()
			return
		case w.Code != http.StatusServiceUnavailable:
			return
		}
		reason := w.Header().Get(headerReason)
		n.mu.Lock()
		n.refused++
		n.mu.Unlock()
		if w.Header().Get("Retry-After") == "" || !regulated && reason != "" {
			n.t.Errorf("seed %d: %s was refused with %v", n.seed, id, w.Header())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func allEvents() (all string) {
	for k := 1; k <= scenarioEventCount; k++ {
		all += oneEvent(k)
	}
	return all
}

func (n *scenario) serveCall(p *Proxy, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(v)
			}
			aborted = true
		}
	}()
	p.ServeHTTP(w, r)
	return false
}

// item runs an item until it is complete or has waited for too long, each attempt by a random proxy, as stores and workers do.
func (n *scenario) item(k int) {
	id := fmt.Sprintf("bulk-%d", k)
	due := time.Now().Add(itemWait)
	ctx, cancel := context.WithDeadline(n.ctx, due)
	defer cancel()
	last, text := 0, ""
	for {
		it := &Item{ID: id, Host: "h.example", Path: "/bulk/x", Body: []byte("b"), Route: &n.config.Routes[3], Due: due.Add(-4 * time.Second)}
		from := ""
		if last > 0 {
			from = strconv.Itoa(last)
		}
		p := n.proxies[n.random(scenarioProxyCount)]
		// A store reassigns an item that a proxy does not begin.
		attemptCtx, end := context.WithTimeout(ctx, 3*time.Second)
		res := p.proxy.RunItem(attemptCtx, it, from, func(id string, data []byte) {
			if id != strconv.Itoa(last+1) {
				n.t.Errorf("seed %d: event %s after %d", n.seed, id, last)
			}
			last++
			text += string(data)
		})
		end()
		switch {
		case res.State == ItemDone && last == scenarioEventCount:
			n.mu.Lock()
			n.listed[id]++
			n.mu.Unlock()
			return
		case res.State == ItemDone:
			n.t.Errorf("seed %d: %s is done after event %d, before the last one", n.seed, id, last)
			return
		case ctx.Err() != nil:
			n.mu.Lock()
			n.givenUp[id] = true
			n.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// injectFaults schedules random faults at random times.
func (n *scenario) injectFaults() {
	at := func(d time.Duration, do func()) { n.wg.Go(func() { time.Sleep(d); do() }) }
	when := func() time.Duration { return scenarioLength/10 + n.ms(int(scenarioLength/time.Millisecond)*6/10) }
	engine := func(i int) *scenarioEngine { return n.engines[fmt.Sprint("e", i)] }
	order := n.rng.Perm(3) // the engines that are certified from start to end
	at(when(), engine(order[0]).stop)
	at(when(), func() {
		e := engine(order[1])
		e.mu.Lock()
		e.frozenUntil = time.Now().Add(n.ms(4000))
		e.mu.Unlock()
	})
	at(when(), func() {
		n.put(func(*certification.Document) {}) // another version right before it, whose pushes may arrive later
		time.Sleep(n.ms(300))
		n.put(func(d *certification.Document) { *d, _ = d.Without(fmt.Sprint("e", order[2]), "fin"); d.Version-- })
	})
	if n.random(2) == 0 { // certify it again
		at(scenarioLength*8/10, func() {
			n.put(func(d *certification.Document) {
				d.Certificates = append(d.Certificates, certification.Certificate{Endpoint: fmt.Sprint("e", order[2]), Regime: "fin",
					NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), Issuer: "n"})
			})
		})
	}
	if n.random(4) == 0 { // withdraw all certificates
		at(scenarioLength/4, func() { n.put(func(d *certification.Document) { d.Certificates = nil }) })
	}
	for range 1 + n.random(2) {
		p := n.proxies[n.random(scenarioProxyCount)]
		at(when(), func() { p.setCut(true); time.Sleep(n.ms(6000)); p.setCut(false) })
	}
	store := n.random(3)
	at(when(), func() {
		n.setLost(store, true)
		if n.random(3) == 0 { // two stores at once: nothing can be recorded
			n.setLost((store+1)%3, true)
			time.Sleep(n.ms(4000))
			n.setLost((store+1)%3, false)
		}
		time.Sleep(n.ms(4000))
		n.setLost(store, false)
	})
}

func (n *scenario) setLost(i int, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost[i] = lost
}

// run runs the scenario, in a synctest bubble.
func (n *scenario) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.ctx = ctx
	began := time.Now()
	n.certify()
	for _, p := range n.proxies {
		p.update(n.newest()) // proxies are not ready before
		n.wg.Go(func() { p.record.Run(ctx) })
		n.wg.Go(func() {
			for ctx.Err() == nil {
				n.wg.Go(p.confirm)
				time.Sleep(scenarioConfirmationTTL / 5)
			}
		})
	}
	n.injectFaults()
	var clients sync.WaitGroup
	for i := range scenarioItemCount {
		at := n.ms(int(scenarioLength / 2 / time.Millisecond))
		clients.Go(func() { time.Sleep(at); n.item(i) })
	}
	for k := 0; time.Since(began) < scenarioLength; k++ {
		mean := 30
		if since := time.Since(began); since > scenarioLength/3 && since < scenarioLength*2/3 {
			mean = 15 // twice the traffic
		}
		time.Sleep(n.ms(2 * mean))
		route := &n.config.Routes[[]int{0, 1, 2, 4}[n.random(4)]]
		clients.Go(func() { n.interactive(k, route) })
	}
	clients.Wait()
	for _, p := range n.proxies {
		if !p.record.Drain(10 * time.Second) {
			n.t.Errorf("seed %d: the record was not delivered to the stores", n.seed)
		}
	}
	cancel()
	for _, p := range n.proxies {
		p.dispatch.Close()
		p.proxy.connections.Close()
	}
	for _, e := range n.engines {
		e.mu.Lock()
		e.frozenUntil = time.Time{}
		e.mu.Unlock()
		e.stop()
	}
	n.wg.Wait()
	for _, s := range n.stores {
		s.Close()
	}
}

// TestRandomizedRegulatedScenarios runs as many random scenarios as fit in 20 s, or in as many seconds as CERTIFIED_NIGHTS_S states.
func TestRandomizedRegulatedScenarios(t *testing.T) {
	most := 20.0
	if v, err := strconv.ParseFloat(os.Getenv("CERTIFIED_NIGHTS_S"), 64); err == nil {
		most = v
	} else if testing.Short() {
		most = 2
	}
	first := uint64(1)
	if v, err := strconv.ParseUint(os.Getenv("CERTIFIED_NIGHTS_SEED"), 10, 64); err == nil {
		first = v
	}
	scenarios, runs, served, refused, listed, givenUp := 0, 0, 0, 0, 0, 0
	for began := time.Now(); scenarios == 0 || time.Since(began).Seconds() < most && !t.Failed(); scenarios++ {
		seed := first + uint64(scenarios)
		synctest.Test(t, func(t *testing.T) {
			n := newScenario(t, seed)
			n.run()
			runs += n.check()
			served, refused, listed, givenUp = served+n.served, refused+n.refused, listed+len(n.listed), givenUp+len(n.givenUp)
		})
	}
	t.Logf("%d scenarios from seed %d: %d regulated runs, %d requests served, %d refused, %d items listed, %d given up", scenarios, first, runs, served, refused, listed, givenUp)
	if listed == 0 || served == 0 || scenarios > 3 && refused == 0 {
		t.Error("the scenarios do not cover served, refused and listed work")
	}
}
