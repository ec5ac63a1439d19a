package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// upgrades is a platform that owns the listening socket for clients and passes it to successive processes.
type upgrades struct {
	*platform
	socket *os.File
}

func newUpgrades(t *testing.T) *upgrades {
	t.Helper()
	u := &upgrades{platform: newPlatform(t)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer l.Close()
	u.listen = l.Addr().String()
	u.socket, err = l.(*net.TCPListener).File()
	must(t, err)
	t.Cleanup(func() { _ = u.socket.Close() })
	return u
}

var consoles atomic.Int32

// newConsole returns an unused address for a console: each console has a loopback address of its own.
func newConsole() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:12000", 64+pid>>16&63, pid>>8&255, 128+consoles.Add(1)%127)
}

// begin starts a process that inherits the socket, and returns the process and the address of its console.
func (u *upgrades) begin(env ...string) (*process, string) {
	u.t.Helper()
	console := newConsole()
	return u.launch([]*os.File{u.socket}, append(env, "PROXY_ACCEPT_FD=3", "PROXY_CONSOLE="+console)...), console
}

// awaitReady waits until a process reports that it accepts clients.
func (u *upgrades) awaitReady(n *process, console string) {
	u.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if resp, err := http.Get("http://" + console + "/ops/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	u.t.Fatalf("the process did not become ready: %s", n.log.String())
}

// keepAlive is a client's keep-alive connection.
type keepAlive struct {
	conn net.Conn
	r    *bufio.Reader
}

func (u *upgrades) connect() *keepAlive {
	u.t.Helper()
	conn, err := net.Dial("tcp", u.listen)
	must(u.t, err)
	u.t.Cleanup(func() { _ = conn.Close() })
	return &keepAlive{conn, bufio.NewReader(conn)}
}

// submitOn submits a message, and returns the response status and whether the response closes the connection.
func (u *upgrades) submitOn(k *keepAlive, id string) (int, bool) {
	u.t.Helper()
	must(u.t, u.request(id, 20*time.Second).Write(k.conn))
	resp, err := http.ReadResponse(k.r, nil)
	must(u.t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// holdCalls makes the endpoint hold the calls of messages whose id has the prefix and answer the others. The returned function
// releases the held calls.
func (u *upgrades) holdCalls(prefix string) func() {
	release := make(chan struct{})
	u.t.Cleanup(func() {
		select {
		case <-release:
		default:
			close(release)
		}
	})
	u.endpoint.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		_, _ = io.Copy(io.Discard, r.Body)
		u.set(func() { u.calls[id]++ })
		if strings.HasPrefix(id, prefix) {
			select {
			case <-release:
			case <-r.Context().Done():
				return
			}
		}
		w.WriteHeader(http.StatusOK)
	})
	return func() { close(release) }
}

func (u *upgrades) awaitOneCallEach(ids ...string) {
	u.t.Helper()
	u.eventually("each call", func() bool {
		for _, id := range ids {
			if u.calls[id] == 0 {
				return false
			}
		}
		return true
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, n := range u.calls {
		if n > 1 {
			u.t.Errorf("%d calls with %s, want one", n, id)
		}
	}
	if len(u.finals) > 0 {
		u.t.Errorf("notices %v, want none", u.finals)
	}
}

// A second process takes over from the first, and a third from the second: a call in flight continues in the process that made
// it, messages that still reach an old process are accepted by the new one, and no client connection breaks.
func TestUpgrade(t *testing.T) { testBothWays(t, testUpgrade) }

// testBothWays runs a test without syncs and with them.
func testBothWays(t *testing.T, test func(*testing.T, []string)) {
	for _, flags := range [][]string{nil, {"-sync"}} {
		t.Run(strings.Join(append([]string{"flags"}, flags...), " "), func(t *testing.T) { test(t, flags) })
	}
}

func testUpgrade(t *testing.T, flags []string) {
	u := newUpgrades(t)
	u.flags = flags
	release := u.holdCalls("out")
	first, console := u.begin()
	u.awaitReady(first, console)
	a, b := u.connect(), u.connect()
	for k, id := range map[*keepAlive]string{a: "out", b: "before"} {
		if status, closes := u.submitOn(k, id); status != http.StatusAccepted || closes {
			t.Fatalf("%s: answered %d, closes %v", id, status, closes)
		}
	}
	u.eventually("the calls", func() bool { return u.calls["out"] == 1 && u.calls["before"] == 1 })
	second, console2 := u.begin()
	u.awaitReady(second, console2)
	u.eventually("the old process reports that it accepts no clients", func() bool {
		resp, err := http.Get("http://" + console + "/ops/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	if status, closes := u.submitOn(a, "passed-on"); status != http.StatusAccepted || !closes {
		t.Errorf("a kept connection: answered %d, closes %v", status, closes)
	}
	u.awaitOneCallEach("out", "before", "passed-on")
	third, console3 := u.begin()
	u.awaitReady(third, console3)
	if status, closes := u.submitOn(b, "passed-on-twice"); status != http.StatusAccepted || !closes {
		t.Errorf("a kept connection of the first process: answered %d, closes %v", status, closes)
	}
	release() // the outcome reaches the third process through the second
	if status, _ := u.submitOn(u.connect(), "after"); status != http.StatusAccepted {
		t.Errorf("a new connection: answered %d", status)
	}
	u.awaitOneCallEach("passed-on-twice", "after")
	for name, n := range map[string]*process{"first": first, "second": second} {
		must(t, n.cmd.Process.Signal(syscall.SIGTERM))
		if err := n.wait(t); err != nil {
			t.Errorf("the %s process ended with %v: %s", name, err, n.log.String())
		}
	}
	if status, _ := u.submitOn(u.connect(), "alone"); status != http.StatusAccepted {
		t.Errorf("after the old ones ended: answered %d", status)
	}
	u.awaitOneCallEach("alone")
	// The outcome of the first process's call is in the journal: the call is not repeated.
	must(t, third.cmd.Process.Kill())
	_ = third.wait(t) // killed
	fourth, console4 := u.begin()
	u.awaitReady(fourth, console4)
	if status, _ := u.submitOn(u.connect(), "last"); status != http.StatusAccepted {
		t.Errorf("after a kill: answered %d", status)
	}
	u.eventually("the last call", func() bool { return u.calls["last"] == 1 })
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.calls["out"] != 1 {
		t.Errorf("%d calls for the message that was in flight in the first process, want one", u.calls["out"])
	}
}

// At whichever step the old process is killed, the new one has all messages: those in flight count as possibly run and are
// repeated where that is allowed.
func TestUpgradeWithTheOldProcessKilled(t *testing.T) {
	testBothWays(t, testUpgradeWithTheOldProcessKilled)
}

func testUpgradeWithTheOldProcessKilled(t *testing.T, flags []string) {
	for _, step := range []string{"before", "old: asked", "old: told", "old: acknowledged", "old: unlocked", "old: let go", "after"} {
		t.Run(strings.ReplaceAll(step, ": ", "-"), func(t *testing.T) {
			t.Parallel()
			u := newUpgrades(t)
			u.flags = flags
			u.holdCalls("out")
			old, console := u.begin("DELIVERYNODE_TEST_LAST_STEP=" + step)
			u.awaitReady(old, console)
			if status, _ := u.submitOn(u.connect(), "out"); status != http.StatusAccepted {
				t.Fatalf("answered %d", status)
			}
			u.eventually("the call", func() bool { return u.calls["out"] == 1 })
			kill := func() { must(t, old.cmd.Process.Kill()) }
			if step == "before" {
				kill()
			}
			next, console := u.begin()
			u.awaitReady(next, console)
			if step == "after" {
				kill()
			}
			if err := old.wait(t); err == nil {
				t.Error("the old process was not killed")
			}
			u.eventually("the call that was in flight, repeated", func() bool { return u.calls["out"] == 2 })
			if status, _ := u.submitOn(u.connect(), "new"); status != http.StatusAccepted {
				t.Errorf("answered %d", status)
			}
			u.eventually("its call", func() bool { return u.calls["new"] == 1 })
			u.mu.Lock()
			defer u.mu.Unlock()
			if len(u.finals) > 0 {
				t.Errorf("notices %v, want none", u.finals)
			}
		})
	}
}

// If a new process is killed before the handover is complete, the old one continues to serve, and the next process takes over
// from it.
func TestUpgradeWithTheNewProcessKilled(t *testing.T) {
	testBothWays(t, testUpgradeWithTheNewProcessKilled)
}

func testUpgradeWithTheNewProcessKilled(t *testing.T, flags []string) {
	for _, step := range []string{"new: told", "new: replayed"} {
		t.Run(strings.TrimPrefix(step, "new: "), func(t *testing.T) {
			t.Parallel()
			u := newUpgrades(t)
			u.flags = flags
			release := u.holdCalls("out")
			old, console := u.begin()
			u.awaitReady(old, console)
			a := u.connect()
			if status, _ := u.submitOn(a, "out"); status != http.StatusAccepted {
				t.Fatalf("answered %d", status)
			}
			u.eventually("the call", func() bool { return u.calls["out"] == 1 })
			failed, _ := u.begin("DELIVERYNODE_TEST_LAST_STEP=" + step)
			if err := failed.wait(t); err == nil {
				t.Fatal("the new process was not killed")
			}
			if status, closes := u.submitOn(a, "still"); status != http.StatusAccepted || closes {
				t.Errorf("the old process: answered %d, closes %v", status, closes)
			}
			u.awaitOneCallEach("still")
			next, console := u.begin()
			u.awaitReady(next, console)
			release()
			if status, _ := u.submitOn(u.connect(), "new"); status != http.StatusAccepted {
				t.Errorf("answered %d", status)
			}
			u.awaitOneCallEach("new")
		})
	}
}

// A descriptor that is not a listener makes the start fail with a single clear line.
func TestInheritedDescriptorIsNoListener(t *testing.T) {
	p := newPlatform(t)
	plain, err := os.Create(filepath.Join(t.TempDir(), "plain"))
	must(t, err)
	defer func() { _ = plain.Close() }() // the test is over
	conn, err := net.Dial("tcp", p.endpoint.Listener.Addr().String())
	must(t, err)
	defer conn.Close()
	socket, err := conn.(*net.TCPConn).File()
	must(t, err)
	defer func() { _ = socket.Close() }() // the test is over
	for name, c := range map[string]struct {
		files []*os.File
		fd    string
	}{"file": {[]*os.File{plain}, "3"}, "connection": {[]*os.File{socket}, "3"}, "none": {nil, "3000"}, "form": {nil, "three"}} {
		t.Run(name, func(t *testing.T) {
			n := p.launch(c.files, "PROXY_ACCEPT_FD="+c.fd)
			if err := n.wait(t); err == nil {
				t.Fatal("the node started")
			}
			if output := n.log.String(); strings.Count(output, "\n") != 1 || !strings.Contains(output, "PROXY_ACCEPT_FD") {
				t.Errorf("log %q", output)
			}
		})
	}
	if _, err := os.Stat(filepath.Join(p.dir, fmt.Sprintf("journal-%016d", 1))); err == nil {
		t.Error("a start that failed left a journal")
	}
}
