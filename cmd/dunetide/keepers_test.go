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
	// optionsOf, in keeperFile, gets a dialler in buildRelayed: optionsWith stands there instead.
	keeperFile   = "keeper.go"
	optionsOf    = "keeper.New(keeper.Options{"
	optionsWith  = "keeper.New(keeper.Options{DialAddress: relayedDial, "
	relayedFile  = "relayed_dial.go"
	relaysVar    = "DUNETIDE_TEST_KEEPER_RELAYS" // as in testdata/relayed
	patienceVar  = "DUNETIDE_TEST_PATIENCE"
	programVar   = "DUNETIDE_TEST_PROGRAM" // the program that is played, if it is built already
	controlPort  = 20                      // from the first internal port on
	internalSpan = 15
	// callPatience is how long one call may take; most have to be answered within a second.
	callPatience = 20 * time.Second
)

// keepersPatience is how long a test waits for what must come of processes on a slow and busy machine. Tests of the tests, in which
// much does not come, set patienceVar.
var keepersPatience = func() time.Duration {
	if set, err := time.ParseDuration(os.Getenv(patienceVar)); err == nil {
		return set
	}
	return 2 * time.Minute
}()

// relayedDir holds the program that relayedProgram has built; "": it was not needed.
var relayedDir string

// relayedProgram is built once for all tests that use it.
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

// buildRelayed builds this command into a folder with one change, laid over its sources: keepers dial each other where relaysVar
// says. Further changes are for tests of the tests.
func buildRelayed(dir string, further ...mutation.Mutant) error {
	texts := overlay.Texts{}
	dialled := mutation.Mutant{Name: "dialled through relays", File: keeperFile, Old: optionsOf, New: optionsWith}
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

// keeperProcesses are keepers as processes of their own, on loopback addresses of their own, with relays between them.
type keeperProcesses struct {
	t       *testing.T
	program string
	dir     string
	net     string
	port    int // the first internal one
	relays  *relays
	dialled []string // by number, the value of relaysVar
	first   bool
	running []*keeperProcess
}

type keeperProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// newKeeperProcesses lays keepers out with empty disks; none runs yet.
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

// drawAddresses draws a network of loopback and ports that are free in it.
func (k *keeperProcesses) drawAddresses() {
	k.t.Helper()
	k.until("free ports", func() bool {
		k.net = fmt.Sprintf("127.%d.%d.", 2+rand.N(250), rand.N(256))
		k.port = 12000 + 50*rand.N(400) // below what the kernel draws
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
	for end := time.Now().Add(keepersPatience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			k.t.Fatalf("in vain: %s", what)
		}
	}
}

func (k *keeperProcesses) ip(i int) string    { return fmt.Sprint(k.net, i+1) }
func (k *keeperProcesses) links(i int) string { return fmt.Sprintf("%s:%d", k.ip(i), k.port) }
func (k *keeperProcesses) control(i int) string {
	return fmt.Sprintf("%s:%d", k.ip(i), k.port+controlPort)
}

// folder is where a keeper has its settings, its log and its disk.
func (k *keeperProcesses) folder(i int) string { return filepath.Join(k.dir, fmt.Sprint("k", i+1)) }

func (k *keeperProcesses) settings(i int) string {
	var seeds []string
	for j := range min(3, len(k.running)) {
		seeds = append(seeds, k.control(j))
	}
	return fmt.Sprintf("node_name=k%d\nip=%s\nzone=z%d\ninternal_ports=%d,%d\nlisten_on.control=%s\ndata_dir=%s\nseeds=%s\nfirst_start=%v\n"+
		"beat_every_ms=200\nsurvive.machines=1\nlimits.memory_mb=%d\nlimits.disk_mb=256\n",
		i+1, k.ip(i), i+1, k.port, k.port+internalSpan, k.control(i), filepath.Join(k.folder(i), "data"), strings.Join(seeds, ","), k.first, memoryBound)
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
	k.untilTogether(all...)
}

// untilTogether waits until some keepers have met each other and are in contact with a majority.
func (k *keeperProcesses) untilTogether(keepers ...int) {
	k.t.Helper()
	for _, i := range keepers {
		k.until(fmt.Sprintf("keeper %d has met all and is in contact", i+1), func() bool {
			s, ok := k.status(i)
			return ok && s.InContact && len(s.Keepers) >= len(keepers)
		})
	}
}

func (k *keeperProcesses) logFile(i int) string { return filepath.Join(k.folder(i), "log") }

// kill ends a process at once, frozen or not.
func (k *keeperProcesses) kill(i int) { k.end(i, syscall.SIGKILL) }

// terminate has a process end by itself.
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
	case <-time.After(keepersPatience):
		k.t.Errorf("keeper %d does not end", i+1)
	}
}

func (k *keeperProcesses) signal(p *keeperProcess, s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		k.t.Errorf("%v: %v", s, err)
	}
}

// freeze stops a process where it is, and returns once all its threads stand.
func (k *keeperProcesses) freeze(i int) {
	k.t.Helper()
	p := k.running[i]
	k.signal(p, syscall.SIGSTOP)
	k.until("the process stands", func() bool {
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

// thaw lets a frozen process go on.
func (k *keeperProcesses) thaw(i int) { k.signal(k.running[i], syscall.SIGCONT) }

// answer is what a keeper says to a call; code 0: nothing.
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
	client := http.Client{Timeout: callPatience, Transport: &http.Transport{DisableKeepAlives: true}}
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

// untilCode calls until the answer has a code.
func (k *keeperProcesses) untilCode(code int, what string, call func() answer) (last answer) {
	k.t.Helper()
	for end := time.Now().Add(keepersPatience); ; time.Sleep(20 * time.Millisecond) {
		if last = call(); last.code == code {
			return last
		}
		if time.Now().After(end) {
			k.t.Fatalf("%s: %d does not come, the last is %v", what, code, last)
		}
	}
}

// keeperStatus is what of GET /status is looked at.
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
