package account

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/lab/tempdir"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/operator"
)

const (
	// defaultLength is how long clients send calls if CALLS_MINUTES is not set.
	defaultLength = 5 * time.Second
	// startTimeout is how long the processes may take until they serve.
	startTimeout = 90 * time.Second
	// settleTime is longer than any call in flight may still take.
	settleTime = 2500 * time.Millisecond

	clients             = 24
	endpointsPerService = 4 // at the start
	proxies             = 2
	maxPause            = 900 * time.Millisecond // between two process faults
	maxFreeze           = 2500 * time.Millisecond
	maxDowntime         = 2 * time.Second
	reuseAfter          = 2 * time.Second // before another service takes an address
	minEndpoints        = 2               // that each service keeps
	forgetfulInterval   = 3               // one in so many endpoints drops idle connections
	minServedInterval   = 10              // at least one in so many calls is answered 200
)

func TestMain(m *testing.M) {
	if description := os.Getenv(endpointVariable); description != "" {
		fmt.Fprintln(os.Stderr, serveAsEndpoint(description))
		os.Exit(1)
	}
	code := m.Run()
	if dir, err := programFolder(); err == nil {
		_ = os.RemoveAll(dir) // in the system's temporary folder
	}
	os.Exit(code)
}

// programFolder creates the folder of the program that all tests use.
var programFolder = sync.OnceValues(func() (string, error) { return os.MkdirTemp("", "account-") })

// build builds the program, once.
var build = sync.OnceValues(func() (string, error) {
	dir, err := programFolder()
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "dunetide")
	if out, err := exec.Command("go", "build", "-o", file, "dunetide/cmd/dunetide").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building dunetide: %w\n%s", err, out)
	}
	return file, nil
})

func program(t *testing.T) string {
	t.Helper()
	file, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// slot is an address and the endpoint that uses it.
type slot struct {
	address string
	options endpointOptions
	command *exec.Cmd
	exited  chan struct{}
}

// scenario is a tier with its endpoints and clients.
type scenario struct {
	t       *testing.T
	cluster *cluster.Cluster
	seed    uint64
	random  *rand.Rand // for the process faults of endpoints
	file    string
	slots   []*slot
	started int
	ledger  ledger
	calls   atomic.Int64

	mu            sync.Mutex
	processFaults map[string]int
}

// TestAccountOfEachCall runs for some seconds, or CALLS_MINUTES, and compares what clients received with what endpoints ran.
func TestAccountOfEachCall(t *testing.T) {
	length := defaultLength
	if minutes, err := strconv.ParseFloat(os.Getenv("CALLS_MINUTES"), 64); err == nil {
		length = time.Duration(minutes * float64(time.Minute))
	}
	seed := uint64(1)
	if given, err := strconv.ParseUint(os.Getenv("CALLS_SEED"), 10, 64); err == nil {
		seed = given
	}
	p := startScenario(t, seed)
	p.run(length)
	time.Sleep(settleTime)
	runs, err := readRuns(p.file)
	if err != nil {
		t.Fatal(err)
	}
	violations, total := p.ledger.compare(runs)
	t.Logf("seed %d, %v: %d calls, %d runs, ended %v", seed, length, total.calls, total.runs, total.ended)
	t.Logf("ran more than once: %v; ran without a complete answer to the client: %d; process faults %v", total.repeated, total.ranUnseen, p.processFaults)
	for i, v := range violations {
		if i < 20 {
			t.Error(v)
		}
	}
	if len(violations) > 0 {
		t.Errorf("%d violations", len(violations))
	}
	if ends := p.cluster.Ends(); len(ends) > 0 {
		t.Errorf("processes ended by themselves: %v", ends)
	}
	if total.ended["200"]*minServedInterval < total.calls {
		t.Errorf("only %d of %d calls were served", total.ended["200"], total.calls)
	}
}

// memoryRoot is a file system in memory, if the machine has one: the processes have limits in real time, and their fsyncs must not
// wait for a disk that other tests keep busy.
const memoryRoot = "/dev/shm"

// startScenario starts all processes and waits until the tier serves.
func startScenario(t *testing.T, seed uint64) *scenario {
	t.Helper()
	dir := tempdir.Below(t, memoryRoot)
	c, err := cluster.New(cluster.Options{Program: program(t), Dir: filepath.Join(dir, "tier"), Zones: 1, Edges: proxies, Keepers: 2, Stores: 1,
		HeartbeatInterval: heartbeatInterval, Grace: 3 * time.Second, Rules: "base,stream"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	p := &scenario{t: t, cluster: c, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), file: filepath.Join(dir, "runs"), processFaults: map[string]int{}}
	p.ledger.calls = map[string]sentCall{}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := operator.New(c.Controls).Put(ctx, 0, configuration()); err != nil {
		t.Fatal(err, c.Ends())
	}
	for n := range endpointsPerService * len(services) {
		s := &slot{address: c.EndpointAddress(0, n)}
		p.slots = append(p.slots, s)
		p.startEndpoint(s, services[n%len(services)])
		t.Cleanup(func() { s.kill() })
	}
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err, c.Ends())
	}
	return p
}

// configuration returns a configuration with a route of each kind for each service.
func configuration() []byte {
	var routes, all []map[string]any
	for _, service := range services {
		all = append(all, map[string]any{"name": service, "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": false})
		for _, kind := range callKinds {
			r := map[string]any{"name": service + "-" + string(kind), "host": hostOf(service), "path_start": "/" + string(kind) + "/", "kind": "streaming",
				"timeout_ms": 2000, "target_ms": 300, "priority": 0, "service": service, "tries": maxAttempts}
			switch kind {
			case readCall:
				r["kind"] = "read_only"
			case writeCall:
				r["kind"] = "writes"
			default:
				r["sticky"], r["resume"], r["gap_aim_ms"] = false, kind == resumableCall, 250
			}
			routes = append(routes, r)
		}
	}
	text, err := json.Marshal(map[string]any{"version": 1, "routes": routes, "services": all,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000}})
	if err != nil {
		panic(err) // maps of plain values
	}
	return text
}

// startEndpoint starts a new incarnation at the address of a slot.
func (p *scenario) startEndpoint(s *slot, service string) {
	p.started++
	s.options = endpointOptions{Instance: fmt.Sprintf("i-%d", p.started), Service: service, Address: s.address, Controls: p.cluster.Controls(),
		Seed: p.seed<<16 + uint64(p.started), RunsFile: p.file, Forgetful: p.started%forgetfulInterval == 0}
	description, err := json.Marshal(s.options)
	if err != nil {
		p.t.Error(err)
		return
	}
	s.command = exec.Command(os.Args[0])
	s.command.Env = append(os.Environ(), endpointVariable+"="+string(description))
	s.command.Stderr = os.Stderr
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		p.t.Error(err)
		return
	}
	exited := make(chan struct{})
	s.exited = exited
	command := s.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

// kill kills the endpoint of a slot and waits until it has exited.
func (s *slot) kill() {
	_ = s.command.Process.Kill()
	<-s.exited
}

// run has clients send calls while processes are frozen, killed and replaced.
func (p *scenario) run(length time.Duration) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range clients {
		c := &client{random: rand.New(rand.NewPCG(p.seed, uint64(100+n))), done: p.ledger.add,
			nextID: func() string { return fmt.Sprintf("call-%d", p.calls.Add(1)) },
			front:  func(hash uint64) (string, bool) { return p.cluster.Front(p.cluster.Zones()[0], hash) }}
		running.Go(func() { c.run(stop) })
	}
	running.Go(func() { p.disruptEndpoints(stop) })
	running.Go(func() { p.disruptProcesses(stop) })
	time.Sleep(length)
	close(stop)
	running.Wait()
}

func (p *scenario) count(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processFaults[fault]++
}

// sleepUpTo sleeps for a random time below a limit.
func sleepUpTo(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

// disruptEndpoints freezes, kills and replaces endpoints, one after another.
func (p *scenario) disruptEndpoints(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(p.random.Int64N(int64(maxPause)))):
		}
		s := p.slots[p.random.IntN(len(p.slots))]
		switch p.random.IntN(5) {
		case 0:
			p.count("endpoint frozen")
			p.freezeEndpoint(s)
		case 1:
			p.count("endpoint frozen, killed, replaced at its address")
			_ = s.command.Process.Signal(syscall.SIGSTOP)
			sleepUpTo(p.random, maxFreeze)
			s.kill()
			p.startEndpoint(s, s.options.Service)
		case 2:
			p.count("endpoint killed, replaced at its address at once")
			s.kill()
			p.startEndpoint(s, s.options.Service)
		case 3:
			p.count("endpoint drained, replaced at its address")
			_ = s.command.Process.Signal(syscall.SIGTERM)
			<-s.exited
			p.startEndpoint(s, s.options.Service)
		case 4:
			p.count("address taken by another service")
			s.kill()
			time.Sleep(reuseAfter)
			p.startEndpoint(s, p.otherService(s.options.Service))
		}
	}
}

func (p *scenario) freezeEndpoint(s *slot) {
	_ = s.command.Process.Signal(syscall.SIGSTOP)
	sleepUpTo(p.random, maxFreeze)
	_ = s.command.Process.Signal(syscall.SIGCONT)
}

// otherService returns another service, or the same one if it would keep too few endpoints.
func (p *scenario) otherService(service string) string {
	left := 0
	for _, s := range p.slots {
		if s.options.Service == service {
			left++
		}
	}
	if left <= minEndpoints {
		return service
	}
	for _, other := range services {
		if other != service {
			return other
		}
	}
	return service
}

// disruptProcesses freezes and kills proxies and keepers, one after another.
func (p *scenario) disruptProcesses(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(p.seed, 3))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * maxPause)))):
		}
		proxy := p.cluster.Find(cluster.Proxy, random.IntN(proxies))
		switch random.IntN(4) {
		case 0:
			p.count("proxy frozen")
			p.freeze(random, proxy)
		case 1:
			p.count("proxy killed")
			p.restart(random, proxy, proxy.Kill)
		case 2:
			p.count("proxy drained")
			p.restart(random, proxy, proxy.Term)
		case 3:
			p.count("keeper frozen")
			p.freeze(random, p.cluster.Find(cluster.Keeper, random.IntN(2)))
		}
	}
}

func (p *scenario) freeze(random *rand.Rand, process *cluster.Process) {
	if err := process.Freeze(); err != nil {
		p.t.Error(err)
	}
	sleepUpTo(random, maxFreeze)
	if err := process.Resume(); err != nil {
		p.t.Error(err)
	}
}

func (p *scenario) restart(random *rand.Rand, process *cluster.Process, end func() error) {
	if err := end(); err != nil {
		p.t.Error(err)
	}
	sleepUpTo(random, maxDowntime)
	if err := process.Start(); err != nil {
		p.t.Error(err)
	}
}
