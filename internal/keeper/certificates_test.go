package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"wingmount/internal/certify"
	"wingmount/internal/control"
	"wingmount/internal/journal"
	"wingmount/internal/settings"
	"wingmount/internal/view"
)

const (
	patience = 20 * time.Second
	stale    = time.Second
)

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// rig is keepers in this process, on loopback addresses of their own.
type rig struct {
	t     *testing.T
	port  int
	base  int // of the addresses' last part
	dirs  []string
	stops []func()
	first bool
	log   *bytes.Buffer
	mu    sync.Mutex
}

func (g *rig) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.log.Write(b)
}

func (g *rig) logged() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.log.String()
}

func freePort(t *testing.T, n int) int {
	t.Helper()
	for range 50 {
		l, err := net.Listen("tcp", "127.0.61.1:0")
		must(t, err)
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for i := range n {
			for _, p := range []int{port, port + 1} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.61.%d:%d", i+1, p))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

func newRig(t *testing.T, n int) *rig {
	g := &rig{t: t, port: freePort(t, n), first: true, log: &bytes.Buffer{}, stops: make([]func(), n)}
	for range n {
		g.dirs = append(g.dirs, t.TempDir())
	}
	for i := range n {
		g.start(i)
	}
	g.first = false
	t.Cleanup(func() {
		for i := range g.stops {
			g.stop(i)
		}
	})
	return g
}

func (g *rig) control(i int) string { return fmt.Sprintf("127.0.61.%d:%d", i+1, g.port+1) }

func (g *rig) seeds() (all []string) {
	for i := range g.dirs {
		all = append(all, g.control(i))
	}
	return all
}

func (g *rig) start(i int) {
	g.t.Helper()
	s := &settings.Settings{NodeName: fmt.Sprint("k", i), IP: fmt.Sprintf("127.0.61.%d", i+1), Zone: "z", Control: g.control(i), InternalFirst: g.port, InternalLast: g.port + 1,
		Seeds: g.seeds(), FirstStart: g.first, BeatEveryMs: 500, SurviveMachines: 1}
	s.Bounds.Drain = stale
	k, err := New(Options{Settings: s, Folder: journal.Dir(g.dirs[i]), Log: hclog.New(&hclog.LoggerOptions{Output: g})})
	must(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	g.stops[i] = func() {
		cancel()
		if err := <-done; err != nil {
			g.t.Error(err)
		}
	}
}

func (g *rig) stop(i int) {
	if g.stops[i] != nil {
		g.stops[i]()
		g.stops[i] = nil
	}
}

func (g *rig) call(i int, method, ifMatch string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+g.control(i)+certificatesPath, bytes.NewReader(body))
	must(g.t, err)
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body) // what is missing is seen
	return resp.StatusCode, string(b)
}

// until calls until the answer has a status.
func (g *rig) until(i int, method, ifMatch string, body []byte, want int) string {
	g.t.Helper()
	for began := time.Now(); ; {
		status, answer := g.call(i, method, ifMatch, body)
		if status == want {
			return answer
		}
		if time.Since(began) > patience {
			g.t.Fatalf("%s: %d %s, want %d", method, status, answer, want)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func certificates(t *testing.T, version uint64, endpoints ...string) []byte {
	t.Helper()
	d := certify.Document{Version: version, Routes: []certify.Route{{Name: "q", Regime: "fin"}}}
	for _, e := range endpoints {
		d.Certificates = append(d.Certificates, certify.Certificate{Endpoint: e, Regime: "fin", NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), By: "test"})
	}
	b, err := json.Marshal(d)
	must(t, err)
	return b
}

// attach is a proxy's side: a client of keepers and the gate behind it.
func (g *rig) attach() *certify.Gate {
	var client *control.Client
	gate := certify.NewGate(certify.GateOptions{Stale: stale, Confirmed: func() time.Time { return client.Confirmed() }})
	client = control.NewClient(control.ClientOptions{Self: control.Node{Name: "p", Role: control.RoleProxy, Zone: "z", Life: 1},
		Seeds: control.SeedLinks(g.seeds(), g.port), Endpoints: true, Holder: &view.Holder{}, ConfirmEvery: stale / 5, Log: hclog.NewNullLogger(),
		Changed: func(s *view.Snapshot) { gate.Update(s.Certificates) }})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	g.t.Cleanup(func() { cancel(); <-done })
	return gate
}

func (g *rig) awaits(what string, ok func() bool) {
	g.t.Helper()
	for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > patience {
			g.t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

func TestCertificatesAreARegisterOfTheirOwn(t *testing.T) {
	g := newRig(t, 3)
	g.until(0, http.MethodGet, "", nil, http.StatusNotFound) // nothing was ever put
	one := certificates(t, 5, "e1")
	for _, c := range []struct {
		ifMatch string
		body    []byte
		want    int
	}{
		{"", one, 400}, {"x", one, 400}, {"0", []byte("{"), 400}, {"0", []byte(`{"version":0}`), 400}, {"3", one, 412},
		{"0", one, 200}, {"0", one, 200}, // said again
		{"0", certificates(t, 6, "e2"), 412}, {"5", certificates(t, 5, "e2"), 400}, {"5", certificates(t, 4, "e2"), 400},
	} {
		if status, answer := g.call(0, http.MethodPut, c.ifMatch, c.body); status != c.want {
			t.Errorf("If-Match %q, %.40s: %d %s, want %d", c.ifMatch, c.body, status, answer, c.want)
		}
	}
	two := certificates(t, 9, "e1", "e2")
	if status, answer := g.call(0, http.MethodPut, `"5"`, two); status != 200 || !strings.Contains(answer, `"in_force":true`) || !strings.Contains(answer, `"version":9`) {
		t.Errorf("%d %s", status, answer)
	}
	if status, answer := g.call(0, http.MethodGet, "", nil); status != 200 || answer != string(two) {
		t.Errorf("%d %s", status, answer)
	}
	if status, _ := g.call(0, http.MethodPut, "0", one); status != 200 {
		t.Errorf("what was taken before is answered %d", status)
	}
	if status, _ := g.call(0, http.MethodDelete, "", nil); status != http.StatusMethodNotAllowed {
		t.Errorf("%d", status)
	}
	for _, line := range []string{"certificates put: version=9", "certificate added: version=9 endpoint=e2 regime=fin", "certificates in force: version=9 before=5"} {
		if !strings.Contains(g.logged(), line) {
			t.Errorf("the log lacks %q", line)
		}
	}
	for i := range 3 {
		g.stop(i)
	}
	for i := range 3 {
		g.start(i)
	}
	if got := g.until(0, http.MethodGet, "", nil, http.StatusOK); got != string(two) {
		t.Errorf("after a start: %s", got)
	}
}

// A withdrawal is in force at the proxy when it is acknowledged; with no majority left, the proxy treats nobody as certified once
// that has lasted for the stated time, and goes on when there is one again. A minority agrees nothing.
func TestAProxyFollowsTheAgreedCertificatesOrFailsClosed(t *testing.T) {
	g := newRig(t, 3)
	allows := func(gate *certify.Gate, e string) bool { _, _, ok := gate.Allows("q", e); return ok }
	first := certificates(t, 1, "e1", "e2")
	g.until(0, http.MethodPut, "0", first, http.StatusOK)
	gate := g.attach()
	g.awaits("certified", func() bool { return gate.Set() != nil && allows(gate, "e1") && allows(gate, "e2") })
	if allows(gate, "e3") {
		t.Error("e3 is certified")
	}
	answer := g.until(1, http.MethodPut, "1", certificates(t, 2, "e1"), http.StatusOK)
	if !strings.Contains(answer, `"in_force":true`) {
		t.Logf("the busy machine took its time: %s", answer)
		time.Sleep(stale)
	}
	if allows(gate, "e2") {
		t.Error("e2 is still certified after its withdrawal was acknowledged")
	}
	g.awaits("fresh", func() bool { return allows(gate, "e1") })

	g.stop(0)
	g.stop(1)
	began := time.Now()
	g.awaits("closed without a majority", func() bool { return !allows(gate, "e1") })
	if took := time.Since(began); took > stale+2*time.Second { // on a busy machine
		t.Errorf("closed after %v", took)
	}
	if status, _ := g.call(2, http.MethodPut, "2", certificates(t, 3, "e1", "e2")); status == http.StatusOK {
		t.Error("a minority agreed to certificates")
	}
	if allows(gate, "e1") || gate.Set().Version != 2 {
		t.Errorf("version %d", gate.Set().Version)
	}
	g.start(0)
	g.awaits("open again", func() bool { return allows(gate, "e1") })
	version := strconv.FormatUint(gate.Set().Version, 10)
	if version == "2" && allows(gate, "e2") {
		t.Error("what was withdrawn is certified again")
	}
}
