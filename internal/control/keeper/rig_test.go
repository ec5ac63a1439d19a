package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

const (
	// testTimeout bounds how long a test waits for an expected event.
	testTimeout = 30 * time.Second * raceSlowdown
	// promptAnswer bounds an answer that must not wait for another process. It isn't scaled for the race detector, as
	// it is ten times a keeper's own timeout for an answer.
	promptAnswer = 10 * time.Second
)

// rig runs keepers in one process, each on a loopback address of its own.
type rig struct {
	t           *testing.T
	ipPrefix    string
	linkPort    int
	controlPort int
	firstStart  bool
	pushWait    time.Duration
	log         hclog.Logger
	disks       []*vfstest.Disk        // nil: none
	folder      func(i int) vfs.Folder // the folder of a keeper; nil: its disk
	limits      settings.Limits        // of all keepers
	running     []*runningKeeper
	relays      *relays // between the keepers; nil: none
}

type runningKeeper struct {
	keeper *Keeper
	stop   context.CancelFunc
	done   chan error
}

// newRig prepares n keepers with empty disks, which aren't running; the first three are the seeds.
func newRig(t *testing.T, n int) *rig {
	t.Helper()
	r := &rig{
		t:          t,
		ipPrefix:   fmt.Sprintf("127.%d.%d.", 2+rand.N(250), rand.N(256)),
		firstStart: true,
		log:        hclog.NewNullLogger(),
		disks:      make([]*vfstest.Disk, n),
		running:    make([]*runningKeeper, n),
	}
	for i := range r.disks {
		r.disks[i] = vfstest.New()
	}
	for _, port := range []*int{&r.linkPort, &r.controlPort} {
		l, err := net.Listen("tcp4", r.ip(0)+":0")
		if err != nil {
			t.Fatal(err)
		}
		*port = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	t.Cleanup(func() {
		for i := range r.running {
			r.kill(i)
		}
	})
	return r
}

func (r *rig) ip(i int) string { return fmt.Sprint(r.ipPrefix, i+1) }

// linkAddress returns the address at which a keeper serves links.
func (r *rig) linkAddress(i int) string { return fmt.Sprintf("%s:%d", r.ip(i), r.linkPort) }

// controlAddress returns the address at which a keeper serves HTTP calls.
func (r *rig) controlAddress(i int) string { return fmt.Sprintf("%s:%d", r.ip(i), r.controlPort) }

func (r *rig) settings(i int) *settings.Settings {
	s := &settings.Settings{
		NodeName:          fmt.Sprint("k", i+1),
		IP:                r.ip(i),
		Zone:              "z",
		ControlAddr:       r.controlAddress(i),
		FirstInternalPort: r.linkPort,
		LastInternalPort:  r.linkPort + 15,
		FirstStart:        r.firstStart,
		HeartbeatInterval: 200 * time.Millisecond,
		SurviveMachines:   1,
		Limits:            r.limits,
	}
	for j := range min(3, len(r.running)) {
		s.Seeds = append(s.Seeds, r.controlAddress(j))
	}
	return s
}

func (r *rig) start(i int) {
	r.t.Helper()
	var folder vfs.Folder
	switch {
	case r.folder != nil:
		folder = r.folder(i)
	case r.disks[i] != nil:
		folder = r.disks[i]
	}
	k, err := New(Options{
		Settings:    r.settings(i),
		Folder:      folder,
		Log:         r.log,
		PushWait:    r.pushWait,
		DialAddress: r.dialAddress(i),
	})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &runningKeeper{k, cancel, make(chan error, 1)}
	r.running[i] = run
	go func() { run.done <- k.Run(ctx) }()
}

func (r *rig) startAll() {
	for i := range r.running {
		r.start(i)
	}
	r.firstStart = false
}

// kill ends a keeper without notifying the others. Its disk is unchanged.
func (r *rig) kill(i int) {
	if run := r.running[i]; run != nil {
		run.keeper.cancelRun()
		r.awaitEnd(i)
	}
}

// terminate ends a keeper as SIGTERM does, with a transfer of its votes and leases, and returns how long that took.
func (r *rig) terminate(i int) time.Duration {
	began := time.Now()
	r.running[i].stop()
	r.awaitEnd(i)
	return time.Since(began)
}

// awaitEnd waits for the end of a keeper.
func (r *rig) awaitEnd(i int) {
	if run := r.running[i]; run != nil {
		r.running[i] = nil
		defer run.stop()
		select {
		case err := <-run.done:
			if err != nil {
				r.t.Errorf("keeper %d ended with %v", i+1, err)
			}
		case <-time.After(testTimeout):
			r.t.Errorf("keeper %d does not end", i+1)
		}
	}
}

type response struct {
	status     int
	body       string
	retryAfter string
}

func (a response) String() string { return fmt.Sprint(a.status, " ", strings.TrimSpace(a.body)) }

// call calls a keeper; status 0: no answer.
func (r *rig) call(i int, method, path, match string, body []byte) response {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", r.ip(i), r.controlPort, path), strings.NewReader(string(body)))
	if err != nil {
		r.t.Fatal(err)
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{body: err.Error()}
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(b), resp.Header.Get("Retry-After")}
}

func (r *rig) putConfig(i int, version, base uint64, mark string) response {
	return r.call(i, "PUT", "/config", fmt.Sprint(base), configBody(version, mark))
}

func (r *rig) heartbeat(i int, id, state string, count int) response {
	return r.heartbeatFrom(i, "10.0.0.1:"+id, id, state, count)
}

// heartbeatFrom sends a heartbeat of an endpoint at an address.
func (r *rig) heartbeatFrom(i int, address, id, state string, count int) response {
	return r.call(i, "PUT", "/instances/"+id, "", fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"z","version":"v","capacity":4,"state":%q,"cold_left_ms":0,"call_count":%d}`, address, state, count))
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	eventuallyBefore(t, time.Now().Add(testTimeout), what, holds)
}

// eventuallyBefore waits until a condition holds, and fails at the deadline.
func eventuallyBefore(t *testing.T, deadline time.Time, what string, holds func() bool) {
	t.Helper()
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for ; !holds(); <-pace.C {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// untilCode repeats a call until the answer has the given status.
func (r *rig) untilCode(code int, call func() response) response {
	r.t.Helper()
	var last response
	pace := time.NewTicker(10 * time.Millisecond)
	defer pace.Stop()
	for began := time.Now(); ; <-pace.C {
		if last = call(); last.status == code {
			return last
		}
		if time.Since(began) > testTimeout {
			r.t.Fatalf("no answer with status %d, the last one is %v", code, last)
		}
	}
}

func (r *rig) status(i int) (s status) {
	a := r.call(i, "GET", "/status", "", nil)
	_ = json.Unmarshal([]byte(a.body), &s)
	return s
}

// clientProcess is an attached process that uses a real client.
type clientProcess struct {
	snapshots snapshot.Latest
	stop      context.CancelFunc
	client    *controlclient.Client
}

// attachClient attaches a process that knows some keepers, learns the others from them, and reaches all.
func (r *rig) attachClient(name string, seeds ...int) *clientProcess {
	return r.attach(name, nil, seeds...)
}

// attachClientOnlyTo attaches a process that reaches one keeper: it learns of the others, and each dial to them is refused.
func (r *rig) attachClientOnlyTo(keeper int, name string) *clientProcess {
	reached, nobody := r.linkAddress(keeper), r.linkAddress(len(r.running))
	return r.attach(name, func(addr string) string {
		if addr != reached {
			return nobody
		}
		return addr
	}, keeper)
}

func (r *rig) attach(name string, dialAddress func(addr string) string, seeds ...int) *clientProcess {
	ctx, cancel := context.WithCancel(context.Background())
	a := &clientProcess{stop: cancel}
	var addrs []string
	for _, i := range seeds {
		addrs = append(addrs, r.linkAddress(i))
	}
	a.client = controlclient.New(controlclient.Options{Self: controlclient.Node{
		Name:        name,
		Role:        controlclient.RoleProxy,
		Zone:        "z",
		Incarnation: uint64(time.Now().UnixNano()),
	},
		Seeds: addrs, WantEndpoints: true, Snapshots: &a.snapshots, DialAddress: dialAddress, Log: hclog.NewNullLogger()})
	ended := make(chan struct{})
	go func() { a.client.Run(ctx); close(ended) }()
	r.t.Cleanup(func() { cancel(); <-ended })
	return a
}

// state returns the state of an endpoint at the client; Removed: the client doesn't know the endpoint.
func (a *clientProcess) state(id string) snapshot.State {
	if s := a.snapshots.Get(); s != nil {
		for _, e := range s.Endpoints["s"] {
			if e.ID == id {
				return e.State
			}
		}
	}
	return snapshot.Removed
}

func (a *clientProcess) version() uint64 {
	if s := a.snapshots.Get(); s != nil && s.Config != nil {
		return s.Config.Version
	}
	return 0
}

// manualProcess is an attached process that acknowledges pushes when the test calls ack.
type manualProcess struct {
	conn   *link.Conn
	hello  []byte // the reply to Hello
	pushes chan *controlclient.Update
	closed chan struct{}
}

func (w *manualProcess) Message(m *link.Message) {
	if u, err := controlclient.ReadUpdate(m.Body); err == nil && m.Kind == controlclient.KindUpdate {
		w.pushes <- u
	}
}

func (w *manualProcess) Closed(*link.Conn) { close(w.closed) }

func (w *manualProcess) ack(number uint64) {
	b := link.Writer{}
	b.U64(number)
	_ = w.conn.Send(controlclient.KindAck, b.Buf)
}

func (r *rig) attachManually(i int, name string) *manualProcess {
	r.t.Helper()
	w := &manualProcess{pushes: make(chan *controlclient.Update, 1<<12), closed: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, r.linkAddress(i), w, link.DefaultOptions)
	if err != nil {
		r.t.Fatal(err)
	}
	w.conn = conn
	r.t.Cleanup(conn.Close)
	b := link.Writer{}
	controlclient.Node{Name: name, Role: controlclient.RoleProxy}.Append(&b)
	b.Bool(true)
	if w.hello, err = conn.Call(ctx, controlclient.KindHello, b.Buf); err != nil {
		r.t.Fatal(err)
	}
	return w
}

// acknowledgingProcess is a process that is attached to one keeper and acknowledges every push.
type acknowledgingProcess struct {
	mu     sync.Mutex
	states map[string]snapshot.State
}

func (r *rig) attachAcknowledging(i int, name string) *acknowledgingProcess {
	f := &acknowledgingProcess{states: map[string]snapshot.State{}}
	w := r.attachManually(i, name)
	go func() {
		for {
			select {
			case u := <-w.pushes:
				f.mu.Lock()
				for _, e := range u.Entries {
					f.states[e.ID] = e.EffectiveEndpoint().State
				}
				f.mu.Unlock()
				w.ack(u.Sequence)
			case <-w.closed:
				return
			}
		}
	}()
	return f
}

func (f *acknowledgingProcess) state(id string) snapshot.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, known := f.states[id]; known {
		return s
	}
	return snapshot.Removed
}

func receive[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

// memoryLog is a log output that stores its text in memory.
type memoryLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *memoryLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// count counts the occurrences of words in the log.
func (l *memoryLog) count(words string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), words)
}
