package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// pipeListener accepts the server's ends of pipes, whose deadlines use the simulated clock of synctest.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}
func (l pipeListener) Close() error { return nil }
func (l pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// idleRig is a proxy with a configured idle_ms, and a client's connection to it.
type idleRig struct {
	*testing.T
	holder *snapshot.Latest
	client net.Conn
	reader *bufio.Reader
}

// withIdleRig runs a test in simulated time.
func withIdleRig(t *testing.T, idleMs int, test func(g *idleRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &idleRig{T: t, holder: &snapshot.Latest{}}
		g.configure(1, idleMs)
		p := New(Options{Snapshots: g.holder, IdleTimeout: time.Minute})
		listener := make(pipeListener)
		done := make(chan error)
		go func() { done <- p.Serve(listener) }()
		var server net.Conn
		g.client, server = net.Pipe()
		g.reader = bufio.NewReader(g.client)
		listener <- server
		test(g)
		_ = g.client.Close()
		close(listener)
		if err := <-done; !errors.Is(err, net.ErrClosed) {
			t.Errorf("the server ended with %v", err)
		}
		_ = p.Server().Close()
		p.connections.Close()
	})
}

func (g *idleRig) configure(version uint64, idleMs int) {
	limits := operatorconfig.Limits{IdleTimeoutMs: idleMs}
	g.holder.Set(&snapshot.Snapshot{Proxies: 1, Config: &operatorconfig.Config{Version: version, Limits: limits}})
}

// ask sends a request that matches no route and reports whether it was answered.
func (g *idleRig) ask() bool {
	g.Helper()
	const request = "GET /none HTTP/1.1\r\nHost: h\r\nX-Dunetide-Request-Id: id\r\n\r\n"
	if _, err := io.WriteString(g.client, request); err != nil {
		return false
	}
	response, err := http.ReadResponse(g.reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err == nil && response.StatusCode == http.StatusNotFound
}

func TestClientsMayIdleAsLongAsConfigured(t *testing.T) {
	for _, c := range []struct {
		idleMs int
		idle   time.Duration
		want   bool
	}{
		{15_000, 59 * time.Second, true}, // Options.IdleTimeout is the minimum
		{15_000, 61 * time.Second, false},
		{600_000, 480 * time.Second, true}, // four fifths of it, as clients reuse connections
		{600_000, 599 * time.Second, true},
		{600_000, 601 * time.Second, false},
	} {
		t.Run(fmt.Sprintf("%v of %d ms", c.idle, c.idleMs), func(t *testing.T) {
			withIdleRig(t, c.idleMs, func(g *idleRig) {
				for range 2 { // after each request
					if !g.ask() {
						g.Fatal("the first request is not answered")
					}
					time.Sleep(c.idle)
					if got := g.ask(); got != c.want {
						g.Fatalf("a request after %v: answered is %v", c.idle, got)
					} else if !got {
						return
					}
				}
			})
		})
	}
}

// A raised limit applies to connections that are already idle.
func TestRaisedIdleLimitAppliesToIdleClients(t *testing.T) {
	withIdleRig(t, 90_000, func(g *idleRig) {
		if !g.ask() {
			g.Fatal("the first request is not answered")
		}
		time.Sleep(80 * time.Second)
		g.configure(2, 200_000)
		time.Sleep(100 * time.Second)
		if !g.ask() {
			g.Error("closed by the previous limit")
		}
		time.Sleep(201 * time.Second)
		if g.ask() {
			g.Error("not closed by the current limit")
		}
	})
}

// Once the next request has begun, its header has its own timeout.
func TestHeaderAfterAnIdleTimeHasItsOwnLimit(t *testing.T) {
	withIdleRig(t, 600_000, func(g *idleRig) {
		if !g.ask() {
			g.Fatal("the first request is not answered")
		}
		time.Sleep(30 * time.Second)
		if _, err := io.WriteString(g.client, "GET /none HTTP/1.1\r\nHo"); err != nil {
			g.Fatal(err)
		}
		began := time.Now()
		_, err := io.ReadAll(g.reader) // an answer may come before the close
		if took := time.Since(began); err != nil || took > defaultHeaderTimeout+time.Second {
			g.Errorf("a stalled header was awaited for %v: %v", took, err)
		}
	})
}
