package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
	"dunetide/internal/lab/overlay"
	"dunetide/internal/platform/link/linktest"
)

const (
	// In keeperFile, buildRelayed replaces keeperOptions by relayedOptions, which add a dialler.
	keeperFile     = "keeper.go"
	keeperOptions  = "keeper.New(keeper.Options{"
	relayedOptions = "keeper.New(keeper.Options{DialAddress: relayedDial, "
	relayedFile    = "relayed_dial.go"
	relaysVar      = "DUNETIDE_TEST_KEEPER_RELAYS" // as in testdata/relayed
	timeoutVar     = "DUNETIDE_TEST_PATIENCE"
	programVar     = "DUNETIDE_TEST_PROGRAM" // the program to test, if it is already built
	controlPort    = 20                      // offset from the first internal port
	internalSpan   = 15
	// callTimeout bounds one call; most must be answered within a second.
	callTimeout = 20 * time.Second
)

// keepersTimeout is how long a test waits for a condition of the processes, on a slow and busy machine. Tests of mutants, in which
// many conditions never hold, set timeoutVar.
var keepersTimeout = func() time.Duration {
	if set, err := time.ParseDuration(os.Getenv(timeoutVar)); err == nil {
		return set
	}
	return 2 * time.Minute
}()

// relayedDir is the folder of the program that relayedProgram has built; empty if it has not built one.
var relayedDir string

// relayedProgram returns the path of the program with relays, which is built once for all tests that use it.
var relayedProgram = sync.OnceValues(func() (program string, err error) {
	if program := os.Getenv(programVar); program != "" {
		return program, nil
	}
	if relayedDir, err = os.MkdirTemp("", "dunetide-relayed"); err != nil {
		return "", err
	}
	return filepath.Join(relayedDir, "dunetide"), buildRelayed(relayedDir)
})

// TestMain removes what relayedProgram has built. The test binary can also run as the command itself.
func TestMain(m *testing.M) {
	runAsCommand()
	code := m.Run()
	if relayedDir != "" {
		_ = os.RemoveAll(relayedDir)
	}
	os.Exit(code)
}

// buildRelayed builds this command into a folder, with an overlay of its sources in which keepers dial each other at the addresses
// in relaysVar. Further changes are mutants.
func buildRelayed(dir string, further ...mutation.Mutant) error {
	texts := overlay.Texts{}
	dialled := mutation.Mutant{Name: "dial through relays", File: keeperFile, Old: keeperOptions, New: relayedOptions}
	for _, change := range append([]mutation.Mutant{dialled}, further...) {
		if err := texts.Replace(".", change); err != nil {
			return err
		}
	}
	added, err := filepath.Abs(relayedFile)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join("testdata", "relayed", relayedFile))
	if err != nil {
		return err
	}
	texts[added] = string(text)
	list, err := texts.Write(dir)
	if err != nil {
		return err
	}
	if out, err := exec.Command("go", "build", "-overlay", list, "-o", filepath.Join(dir, "dunetide"), ".").CombinedOutput(); err != nil {
		return fmt.Errorf("%w\n%s", err, out)
	}
	return nil
}

// keeperProcesses are keepers that run as separate processes, each on its own loopback address, with relays between them.
type keeperProcesses struct {
	t       *testing.T
	program string
	dir     string
	net     string
	port    int // the first internal one
	relays  *relays
	dialled []string // value of relaysVar by keeper index
	first   bool
	running []*keeperProcess
}

type keeperProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// newKeeperProcesses prepares keepers with empty disks without starting them.
func newKeeperProcesses(t *testing.T, keepers int) *keeperProcesses {
	t.Helper()
	program, err := relayedProgram()
	if err != nil {
		t.Fatal(err)
	}
	k := &keeperProcesses{t: t, program: program, dir: t.TempDir(), first: true, running: make([]*keeperProcess, keepers)}
	k.drawAddresses()
	k.relays = newRelays(t)
	for from := range keepers {
		var pairs []string
		for to := range keepers {
			if to != from {
				pairs = append(pairs, k.links(to)+"="+k.relays.Address(linktest.Direction{From: from, To: to}, k.links(to)))
			}
		}
		k.dialled = append(k.dialled, strings.Join(pairs, ","))
	}
	t.Cleanup(func() {
		for i := range k.running {
			k.kill(i)
		}
	})
	return k
}

// drawAddresses draws a loopback network and a range of ports that are free in it.
func (k *keeperProcesses) drawAddresses() {
	k.t.Helper()
	k.until("ports are free", func() bool {
		k.net = fmt.Sprintf("127.%d.%d.", 2+rand.N(250), rand.N(256))
		k.port = 12000 + 50*rand.N(400) // below the kernel's ephemeral ports
		for i := range k.running {
			for port := range controlPort + 1 {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", k.ip(i), k.port+port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
		return true
	})
}

// until waits for a condition.
func (k *keeperProcesses) until(what string, holds func() bool) {
	k.t.Helper()
	for end := time.Now().Add(keepersTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			k.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (k *keeperProcesses) ip(i int) string    { return fmt.Sprint(k.net, i+1) }
func (k *keeperProcesses) links(i int) string { return fmt.Sprintf("%s:%d", k.ip(i), k.port) }
func (k *keeperProcesses) control(i int) string {
	return fmt.Sprintf("%s:%d", k.ip(i), k.port+controlPort)
}

// folder returns the folder of a keeper's settings, log and data.
func (k *keeperProcesses) folder(i int) string { return filepath.Join(k.dir, fmt.Sprint("k", i+1)) }

func (k *keeperProcesses) settings(i int) string {
	var seeds []string
	for j := range min(3, len(k.running)) {
		seeds = append(seeds, k.control(j))
	}
	return fmt.Sprintf("node_name=k%d\nip=%s\nzone=z%d\ninternal_ports=%d,%d\nlisten_on.control=%s\ndata_dir=%s\nseeds=%s\nfirst_start=%v\n"+
		"beat_every_ms=200\nsurvive.machines=1\nlimits.memory_mb=%d\nlimits.disk_mb=256\n",
		i+1, k.ip(i), i+1, k.port, k.port+internalSpan, k.control(i), filepath.Join(k.folder(i), "data"), strings.Join(seeds, ","), k.first, memoryLimitMB)
}

func (k *keeperProcesses) start(i int) {
	k.t.Helper()
	if err := os.MkdirAll(filepath.Join(k.folder(i), "data"), 0o755); err != nil {
		k.t.Fatal(err)
	}
	file := filepath.Join(k.folder(i), "boot.conf")
	if err := os.WriteFile(file, []byte(k.settings(i)), 0o600); err != nil {
		k.t.Fatal(err)
	}
	log, err := os.OpenFile(k.logFile(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		k.t.Fatal(err)
	}
	defer func() {
		if err := log.Close(); err != nil {
			k.t.Error(err)
		}
	}()
	p := &keeperProcess{cmd: exec.Command(k.program, "keeper"), exited: make(chan struct{})}
	p.cmd.Env = []string{settingsVar + "=" + file, relaysVar + "=" + k.dialled[i], "HOME=" + os.Getenv("HOME"), "PATH=" + os.Getenv("PATH")}
	if processors := os.Getenv("GOMAXPROCS"); processors != "" {
		p.cmd.Env = append(p.cmd.Env, "GOMAXPROCS="+processors)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		k.t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	k.running[i] = p
}

func (k *keeperProcesses) startAll() {
	k.t.Helper()
	var all []int
	for i := range k.running {
		k.start(i)
		all = append(all, i)
	}
	k.first = false
	k.untilInContact(all...)
}

// untilInContact waits until the given keepers have discovered each other and are in contact with a majority.
func (k *keeperProcesses) untilInContact(keepers ...int) {
	k.t.Helper()
	for _, i := range keepers {
		k.until(fmt.Sprintf("keeper %d has met all others and is in contact", i+1), func() bool {
			s, ok := k.status(i)
			return ok && s.InContact && len(s.Keepers) >= len(keepers)
		})
	}
}

func (k *keeperProcesses) logFile(i int) string { return filepath.Join(k.folder(i), "log") }

// kill ends a process immediately, even if it is frozen.
func (k *keeperProcesses) kill(i int) { k.end(i, syscall.SIGKILL) }

// terminate requests the shutdown of a process.
func (k *keeperProcesses) terminate(i int) { k.end(i, syscall.SIGTERM) }

func (k *keeperProcesses) end(i int, with syscall.Signal) {
	p := k.running[i]
	if p == nil {
		return
	}
	k.running[i] = nil
	k.signal(p, with)
	select {
	case <-p.exited:
	case <-time.After(keepersTimeout):
		k.t.Errorf("keeper %d does not exit", i+1)
	}
}

func (k *keeperProcesses) signal(p *keeperProcess, s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		k.t.Errorf("%v: %v", s, err)
	}
}

// freeze stops a process with SIGSTOP and returns once all its threads are stopped.
func (k *keeperProcesses) freeze(i int) {
	k.t.Helper()
	p := k.running[i]
	k.signal(p, syscall.SIGSTOP)
	k.until("all threads of the process are stopped", func() bool {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil || len(threads) == 0 {
			return false
		}
		for _, file := range threads {
			stat, err := os.ReadFile(file)
			if err != nil || !strings.Contains(string(stat), ") T ") {
				return false
			}
		}
		return true
	})
}

// thaw resumes a frozen process.
func (k *keeperProcesses) thaw(i int) { k.signal(k.running[i], syscall.SIGCONT) }

// answer is a keeper's response to a call; code 0: none was received.
type answer struct {
	code       int
	body       string
	retryAfter string
	sentAt     time.Time
	took       time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("%d %.200q after %v", a.code, strings.TrimSpace(a.body), a.took)
}

func (k *keeperProcesses) call(i int, method, path, match string, body []byte) answer {
	req, err := http.NewRequest(method, "http://"+k.control(i)+path, strings.NewReader(string(body)))
	if err != nil {
		k.t.Error(err)
		return answer{}
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a := answer{sentAt: time.Now()}
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var text []byte
		text, err = io.ReadAll(resp.Body)
		a.code, a.body, a.retryAfter = resp.StatusCode, string(text), resp.Header.Get("Retry-After")
	}
	if err != nil {
		a.code, a.body = 0, err.Error()
	}
	a.took = time.Since(a.sentAt)
	return a
}

// untilCode repeats a call until the answer has the given code.
func (k *keeperProcesses) untilCode(code int, what string, call func() answer) (last answer) {
	k.t.Helper()
	for end := time.Now().Add(keepersTimeout); ; time.Sleep(20 * time.Millisecond) {
		if last = call(); last.code == code {
			return last
		}
		if time.Now().After(end) {
			k.t.Fatalf("%s: timed out waiting for %d, the last answer is %v", what, code, last)
		}
	}
}

// keeperStatus has the fields of GET /status that the tests use.
type keeperStatus struct {
	InContact    bool           `json:"in_contact"`
	Version      uint64         `json:"config_version"`
	Certificates uint64         `json:"certificates_version"`
	Table        uint64         `json:"table_number"`
	Duty         bool           `json:"assigns_parts"`
	Keepers      []string       `json:"keepers_met"`
	Services     map[string]int `json:"endpoints"`
}

func (k *keeperProcesses) status(i int) (s keeperStatus, ok bool) {
	a := k.call(i, "GET", "/status", "", nil)
	return s, a.code == http.StatusOK && json.Unmarshal([]byte(a.body), &s) == nil
}
