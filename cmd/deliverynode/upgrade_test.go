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

// upgrades is a platform that holds the clients' listening socket.
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

// newConsole is an address that nobody else has: each has a loopback address of its own.
func newConsole() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:12000", 64+pid>>16&63, pid>>8&255, 128+consoles.Add(1)%127)
}

// begin starts a process that inherits the socket; its console is returned too.
func (u *upgrades) begin(env ...string) (*process, string) {
	u.t.Helper()
	console := newConsole()
	return u.launch([]*os.File{u.socket}, append(env, "PROXY_ACCEPT_FD=3", "PROXY_CONSOLE="+console)...), console
}

// ready waits until a process says that it takes clients.
func (u *upgrades) ready(n *process, console string) {
	u.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if resp, err := http.Get("http://" + console + "/ops/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	u.t.Fatalf("never ready: %s", n.log.String())
}

// kept is a client's connection that is used again and again.
type kept struct {
	conn net.Conn
	r    *bufio.Reader
}

func (u *upgrades) keep() *kept {
	u.t.Helper()
	conn, err := net.Dial("tcp", u.listen)
	must(u.t, err)
	u.t.Cleanup(func() { _ = conn.Close() })
	return &kept{conn, bufio.NewReader(conn)}
}

// hand hands in a message and returns the answer's status and whether it closes.
func (u *upgrades) hand(k *kept, id string) (int, bool) {
	u.t.Helper()
	must(u.t, u.request(id, 20*time.Second).Write(k.conn))
	resp, err := http.ReadResponse(k.r, nil)
	must(u.t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// hang lets the calls of some messages wait and answers the others; the returned
// function lets the waiting ones go.
func (u *upgrades) hang(prefix string) func() {
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

func (u *upgrades) once(ids ...string) {
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

// A second process takes over and a third one from that: a call that is out goes on in
// the process that made it, what still reaches the old one is taken on by the new one,
// and no connection of a client breaks.
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
	release := u.hang("out")
	first, console := u.begin()
	u.ready(first, console)
	a, b := u.keep(), u.keep()
	for k, id := range map[*kept]string{a: "out", b: "before"} {
		if status, closes := u.hand(k, id); status != http.StatusAccepted || closes {
			t.Fatalf("%s: answered %d, closes %v", id, status, closes)
		}
	}
	u.eventually("the calls", func() bool { return u.calls["out"] == 1 && u.calls["before"] == 1 })
	second, console2 := u.begin()
	u.ready(second, console2)
	u.eventually("the old process says that it takes no clients", func() bool {
		resp, err := http.Get("http://" + console + "/ops/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	if status, closes := u.hand(a, "passed-on"); status != http.StatusAccepted || !closes {
		t.Errorf("a kept connection: answered %d, closes %v", status, closes)
	}
	u.once("out", "before", "passed-on")
	third, console3 := u.begin()
	u.ready(third, console3)
	if status, closes := u.hand(b, "passed-on-twice"); status != http.StatusAccepted || !closes {
		t.Errorf("a kept connection of the first process: answered %d, closes %v", status, closes)
	}
	release() // known to the third process through the second
	if status, _ := u.hand(u.keep(), "after"); status != http.StatusAccepted {
		t.Errorf("a new connection: answered %d", status)
	}
	u.once("passed-on-twice", "after")
	for name, n := range map[string]*process{"first": first, "second": second} {
		must(t, n.cmd.Process.Signal(syscall.SIGTERM))
		if err := n.wait(t); err != nil {
			t.Errorf("the %s process ended with %v: %s", name, err, n.log.String())
		}
	}
	if status, _ := u.hand(u.keep(), "alone"); status != http.StatusAccepted {
		t.Errorf("after the old ones ended: answered %d", status)
	}
	u.once("alone")
	// How the first process's call ended is on record: it is not made again.
	must(t, third.cmd.Process.Kill())
	_ = third.wait(t) // killed
	fourth, console4 := u.begin()
	u.ready(fourth, console4)
	if status, _ := u.hand(u.keep(), "last"); status != http.StatusAccepted {
		t.Errorf("after a kill: answered %d", status)
	}
	u.eventually("the last call", func() bool { return u.calls["last"] == 1 })
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.calls["out"] != 1 {
		t.Errorf("%d calls with what the first process had out, want one", u.calls["out"])
	}
}

// Wherever the old process is killed, the new one has everything: what was out may
// have run, and is repeated where that is allowed.
func TestUpgradeWithTheOldProcessKilled(t *testing.T) {
	testBothWays(t, testUpgradeWithTheOldProcessKilled)
}

func testUpgradeWithTheOldProcessKilled(t *testing.T, flags []string) {
	for _, step := range []string{"before", "old: asked", "old: told", "old: acknowledged", "old: unlocked", "old: let go", "after"} {
		t.Run(strings.ReplaceAll(step, ": ", "-"), func(t *testing.T) {
			t.Parallel()
			u := newUpgrades(t)
			u.flags = flags
			u.hang("out")
			old, console := u.begin("DELIVERYNODE_TEST_LAST_STEP=" + step)
			u.ready(old, console)
			if status, _ := u.hand(u.keep(), "out"); status != http.StatusAccepted {
				t.Fatalf("answered %d", status)
			}
			u.eventually("the call", func() bool { return u.calls["out"] == 1 })
			kill := func() { must(t, old.cmd.Process.Kill()) }
			if step == "before" {
				kill()
			}
			next, console := u.begin()
			u.ready(next, console)
			if step == "after" {
				kill()
			}
			if err := old.wait(t); err == nil {
				t.Error("the old process was not killed")
			}
			u.eventually("the call that was out, again", func() bool { return u.calls["out"] == 2 })
			if status, _ := u.hand(u.keep(), "new"); status != http.StatusAccepted {
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

// A new process that dies before it has everything leaves the old one at work, and the
// next one takes over from that.
func TestUpgradeWithTheNewProcessKilled(t *testing.T) {
	testBothWays(t, testUpgradeWithTheNewProcessKilled)
}

func testUpgradeWithTheNewProcessKilled(t *testing.T, flags []string) {
	for _, step := range []string{"new: told", "new: replayed"} {
		t.Run(strings.TrimPrefix(step, "new: "), func(t *testing.T) {
			t.Parallel()
			u := newUpgrades(t)
			u.flags = flags
			release := u.hang("out")
			old, console := u.begin()
			u.ready(old, console)
			a := u.keep()
			if status, _ := u.hand(a, "out"); status != http.StatusAccepted {
				t.Fatalf("answered %d", status)
			}
			u.eventually("the call", func() bool { return u.calls["out"] == 1 })
			failed, _ := u.begin("DELIVERYNODE_TEST_LAST_STEP=" + step)
			if err := failed.wait(t); err == nil {
				t.Fatal("the new process was not killed")
			}
			if status, closes := u.hand(a, "still"); status != http.StatusAccepted || closes {
				t.Errorf("the old process: answered %d, closes %v", status, closes)
			}
			u.once("still")
			next, console := u.begin()
			u.ready(next, console)
			release()
			if status, _ := u.hand(u.keep(), "new"); status != http.StatusAccepted {
				t.Errorf("answered %d", status)
			}
			u.once("new")
		})
	}
}

// A descriptor that is no listener ends the start with one clear line.
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
				t.Fatal("it started")
			}
			if said := n.log.String(); strings.Count(said, "\n") != 1 || !strings.Contains(said, "PROXY_ACCEPT_FD") {
				t.Errorf("it said %q", said)
			}
		})
	}
	if _, err := os.Stat(filepath.Join(p.dir, fmt.Sprintf("journal-%016d", 1))); err == nil {
		t.Error("a start that failed left a journal")
	}
}
