package main

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// call calls a console and returns the status, 0 where nobody answers.
func call(t *testing.T, console, method, path, body string) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+console+path, strings.NewReader(body))
	must(t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if !resp.Close {
		t.Errorf("%s %s: the connection is kept", method, path)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// What is no proper call is answered 4xx and changes nothing.
func TestConsoleRefusesWhatIsNoCall(t *testing.T) {
	u := newUpgrades(t)
	n, console := u.begin()
	u.ready(n, console)
	for name, c := range map[string]struct {
		method, path, body string
		want               int
	}{
		"path":           {"PUT", "/ops/endpoints", `{"host":"s1"}`, 404},
		"longer path":    {"PUT", "/ops/endpoints/down/", `{"host":"s1"}`, 404},
		"unclean path":   {"PUT", "/ops//endpoints/down", `{"host":"s1"}`, 404},
		"method":         {"POST", "/ops/endpoints/down", `{"host":"s1"}`, 405},
		"other method":   {"PUT", "/ops/readiness", "", 405},
		"pools, method":  {"POST", "/ops/pools", "", 405},
		"pools, path":    {"GET", "/ops/pools/s1", "", 404},
		"nothing":        {"PUT", "/ops/endpoints/down", "", 400},
		"no JSON":        {"PUT", "/ops/endpoints/down", "host=s1", 400},
		"half of it":     {"PUT", "/ops/endpoints/down", `{"host":"s1"`, 400},
		"more than one":  {"PUT", "/ops/endpoints/down", `{"host":"s1"}{"host":"s1"}`, 400},
		"no object":      {"PUT", "/ops/endpoints/down", `["s1"]`, 400},
		"no id":          {"PUT", "/ops/endpoints/down", `{"hosts":"s1"}`, 400},
		"number":         {"PUT", "/ops/endpoints/down", `{"host":1}`, 400},
		"too long":       {"PUT", "/ops/endpoints/down", `{"host":"s1","x":"` + strings.Repeat("x", 5000) + `"}`, 400},
		"unknown id":     {"PUT", "/ops/endpoints/down", `{"host":"s2"}`, 404},
		"unknown id, up": {"PUT", "/ops/endpoints/up", `{"host":"s2"}`, 404},
	} {
		if got := call(t, console, c.method, c.path, c.body); got != c.want {
			t.Errorf("%s: answered %d, want %d", name, got, c.want)
		}
	}
	if status, _ := u.hand(u.keep(), "a"); status != http.StatusAccepted {
		t.Errorf("answered %d", status)
	}
	u.once("a")
}

// The staff see what the connections to each endpoint do.
func TestPoolsAreShown(t *testing.T) {
	u := newUpgrades(t)
	n, console := u.begin()
	u.ready(n, console)
	k := u.keep()
	for _, id := range []string{"a", "b", "c"} {
		if status, _ := u.hand(k, id); status != http.StatusAccepted {
			t.Fatalf("%s: answered %d", id, status)
		}
		u.once(id)
	}
	var got struct {
		Open, MaxOpen int
		Pools         []struct {
			Endpoint, Address                  string
			Open, Idle, Opened, Reused, Broken int
			IdleLimit                          int `json:"idle_limit_ms"`
		}
	}
	u.eventually("three calls on one connection that is idle again", func() bool {
		resp, err := http.Get("http://" + console + "/ops/pools")
		must(t, err)
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "application/json" {
			t.Fatalf("answered %s as %q", resp.Status, resp.Header.Get("Content-Type"))
		}
		must(t, json.NewDecoder(resp.Body).Decode(&got))
		return len(got.Pools) == 1 && got.Pools[0].Opened+got.Pools[0].Reused == 3 && got.Pools[0].Idle == got.Pools[0].Open
	})
	if p := got.Pools[0]; p.Endpoint != "s1" || p.Address != u.endpoint.Listener.Addr().String() || p.IdleLimit != 12000 ||
		got.Open != p.Open || p.Broken != 0 {
		t.Errorf("%+v", got)
	}
	resp, err := http.Post("http://"+console+"/ops/pools", "", nil)
	must(t, err)
	defer resp.Body.Close()
	if allow := resp.Header.Get("Allow"); allow != http.MethodGet {
		t.Errorf("Allow says %q", allow)
	}
}

// The order holds from the yes, against what discovery says, over an upgrade, whichever
// process is called, and over a restart; it may come twice, and one call back ends it.
func TestOrderOutlastsUpgradesAndRestarts(t *testing.T) {
	u := newUpgrades(t)
	first, console := u.begin()
	u.ready(first, console)
	kept := u.keep()
	u.eventually("a watch, so that the list is known", func() bool { return len(u.watches) > 0 })
	if got := call(t, console, "PUT", "/ops/endpoints/up", `{"host":"s1"}`); got != 200 {
		t.Errorf("up, when it is not out: answered %d", got)
	}
	for range 2 {
		if got := call(t, console, "PUT", "/ops/endpoints/down", `{"host":"s1"}`); got != 200 {
			t.Fatalf("down: answered %d", got)
		}
	}
	quiet := func(when, id string) {
		t.Helper()
		if status, _ := u.hand(kept, id); status != http.StatusAccepted {
			t.Fatalf("answered %d", status)
		}
		// A whole list comes, and lists the endpoint as active.
		u.set(func() { u.watches = nil; u.whole++ })
		u.eventually("a watch after that list", func() bool { return len(u.watches) >= 2 && u.whole == 0 })
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.calls) > 0 {
			t.Errorf("%s: calls %v", when, u.calls)
		}
	}
	quiet("out", "a")
	second, console2 := u.begin()
	u.ready(second, console2)
	kept = u.keep()
	quiet("after an upgrade", "b")
	if got := call(t, console, "PUT", "/ops/endpoints/up", `{"host":"s1"}`); got != 200 {
		t.Errorf("up, at the old process: answered %d", got)
	}
	u.once("a", "b")
	must(t, first.cmd.Process.Signal(syscall.SIGTERM))
	_ = first.wait(t)
	if got := call(t, console2, "PUT", "/ops/endpoints/down", `{"host":"s1"}`); got != 200 {
		t.Errorf("down again: answered %d", got)
	}
	must(t, second.cmd.Process.Kill())
	_ = second.wait(t) // killed
	third, console3 := u.begin()
	u.ready(third, console3)
	kept = u.keep()
	u.set(func() { clear(u.calls) })
	quiet("after a kill", "c")
	if got := call(t, console3, "PUT", "/ops/endpoints/up", `{"host":"s1"}`); got != 200 {
		t.Errorf("up: answered %d", got)
	}
	u.once("c")
}

// Callers who are stuck keep nobody waiting, however many they are.
func TestStuckConsoleCallersBlockNobody(t *testing.T) {
	u := newUpgrades(t)
	n, console := u.begin()
	u.ready(n, console)
	var stuck []net.Conn
	for i := range 40 {
		conn, err := net.Dial("tcp", console)
		must(t, err)
		defer conn.Close()
		stuck = append(stuck, conn)
		_, err = io.WriteString(conn, "PUT /ops/endpoints/down HTTP/1.1\r\nHost: x\r\nContent-Length: 14\r\n\r\n{"[:i])
		must(t, err)
	}
	start := time.Now()
	if got := call(t, console, "GET", "/ops/readiness", ""); got != 200 || time.Since(start) > time.Second {
		t.Errorf("answered %d after %v", got, time.Since(start))
	}
	must(t, stuck[0].SetReadDeadline(start.Add(time.Second))) // its call would have 2 s
	if _, err := stuck[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the first of 40 callers still holds its place: %v", err)
	}
}

// Without a place for it there is no console.
func TestNoConsoleUnlessNamed(t *testing.T) {
	p := newPlatform(t)
	p.start()
	conn, err := net.Dial("tcp", strings.Split(p.listen, ":")[0]+":12000")
	if err == nil {
		_ = conn.Close()
		t.Error("something listens where a console would be")
	}
}
