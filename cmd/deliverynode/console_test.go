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

// call sends a request to a console and returns the status, or 0 if there is no response.
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
		t.Errorf("%s %s: the response does not close the connection", method, path)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Malformed requests are answered with 4xx and change nothing.
func TestConsoleRejectsMalformedRequests(t *testing.T) {
	u := newUpgrades(t)
	n, console := u.begin()
	u.awaitReady(n, console)
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
		"cut short":      {"PUT", "/ops/endpoints/down", `{"host":"s1"`, 400},
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
	if status, _ := u.submitOn(u.connect(), "a"); status != http.StatusAccepted {
		t.Errorf("answered %d", status)
	}
	u.awaitOneCallEach("a")
}

// The console shows the connection pool of each endpoint.
func TestPoolsAreShown(t *testing.T) {
	u := newUpgrades(t)
	n, console := u.begin()
	u.awaitReady(n, console)
	k := u.connect()
	for _, id := range []string{"a", "b", "c"} {
		if status, _ := u.submitOn(k, id); status != http.StatusAccepted {
			t.Fatalf("%s: answered %d", id, status)
		}
		u.awaitOneCallEach(id)
	}
	var got struct {
		Open, MaxOpen int
		Pools         []struct {
			Endpoint, Address                  string
			Open, Idle, Opened, Reused, Broken int
			IdleLimit                          int `json:"idle_limit_ms"`
		}
	}
	u.eventually("three calls, and all connections idle again", func() bool {
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
		t.Errorf("Allow is %q", allow)
	}
}

// An order to take an endpoint out of service is in force from its confirmation on, even if discovery lists the endpoint as
// active. It survives an upgrade and a restart, may be given at either process and more than once, and is revoked by one call.
func TestOrderSurvivesUpgradesAndRestarts(t *testing.T) {
	u := newUpgrades(t)
	first, console := u.begin()
	u.awaitReady(first, console)
	kept := u.connect()
	u.eventually("a watch, which means that the node has the list", func() bool { return len(u.watches) > 0 })
	if got := call(t, console, "PUT", "/ops/endpoints/up", `{"host":"s1"}`); got != 200 {
		t.Errorf("up for an endpoint in service: answered %d", got)
	}
	for range 2 {
		if got := call(t, console, "PUT", "/ops/endpoints/down", `{"host":"s1"}`); got != 200 {
			t.Fatalf("down: answered %d", got)
		}
	}
	quiet := func(when, id string) {
		t.Helper()
		if status, _ := u.submitOn(kept, id); status != http.StatusAccepted {
			t.Fatalf("answered %d", status)
		}
		// Discovery sends a full list, with the endpoint as active.
		u.set(func() { u.watches = nil; u.fullList++ })
		u.eventually("a watch after that list", func() bool { return len(u.watches) >= 2 && u.fullList == 0 })
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.calls) > 0 {
			t.Errorf("%s: calls %v", when, u.calls)
		}
	}
	quiet("out", "a")
	second, console2 := u.begin()
	u.awaitReady(second, console2)
	kept = u.connect()
	quiet("after an upgrade", "b")
	if got := call(t, console, "PUT", "/ops/endpoints/up", `{"host":"s1"}`); got != 200 {
		t.Errorf("up at the old process: answered %d", got)
	}
	u.awaitOneCallEach("a", "b")
	must(t, first.cmd.Process.Signal(syscall.SIGTERM))
	_ = first.wait(t)
	if got := call(t, console2, "PUT", "/ops/endpoints/down", `{"host":"s1"}`); got != 200 {
		t.Errorf("down again: answered %d", got)
	}
	must(t, second.cmd.Process.Kill())
	_ = second.wait(t) // killed
	third, console3 := u.begin()
	u.awaitReady(third, console3)
	kept = u.connect()
	u.set(func() { clear(u.calls) })
	quiet("after a kill", "c")
	if got := call(t, console3, "PUT", "/ops/endpoints/up", `{"host":"s1"}`); got != 200 {
		t.Errorf("up: answered %d", got)
	}
	u.awaitOneCallEach("c")
}

// Stuck connections to the console do not block other callers, however many there are.
func TestStuckConsoleCallersDoNotBlockOthers(t *testing.T) {
	u := newUpgrades(t)
	n, console := u.begin()
	u.awaitReady(n, console)
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
	must(t, stuck[0].SetReadDeadline(start.Add(time.Second))) // the timeout of a request is 2 s
	if _, err := stuck[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the first of 40 stuck connections was not closed: %v", err)
	}
}

// Without a console address there is no console.
func TestNoConsoleUnlessNamed(t *testing.T) {
	p := newPlatform(t)
	p.start()
	conn, err := net.Dial("tcp", strings.Split(p.listen, ":")[0]+":12000")
	if err == nil {
		_ = conn.Close()
		t.Error("something listens at the console port")
	}
}
