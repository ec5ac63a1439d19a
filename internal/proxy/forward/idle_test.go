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

// pipeListener accepts the server's ends of pipes, whose deadlines follow a test's clock.
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

// idleRig is a proxy whose configuration has some idle_ms, and a client's connection to it.
type idleRig struct {
	*testing.T
	holder *snapshot.Latest
	client net.Conn
	reader *bufio.Reader
}

// withIdleRig runs a test with a clock of its own.
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
			t.Errorf("the server has ended with %v", err)
		}
		_ = p.Server().Close()
		p.connections.Close()
	})
}

func (g *idleRig) configure(version uint64, idleMs int) {
	limits := operatorconfig.Limits{IdleTimeoutMs: idleMs}
	g.holder.Set(&snapshot.Snapshot{Proxies: 1, Config: &operatorconfig.Config{Version: version, Limits: limits}})
}

// ask sends a request of no route and reports whether it was answered.
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
		{15_000, 59 * time.Second, true}, // Options.IdleTimeout at least
		{15_000, 61 * time.Second, false},
		{600_000, 480 * time.Second, true}, // four fifths of it, as clients do
		{600_000, 599 * time.Second, true},
		{600_000, 601 * time.Second, false},
	} {
		t.Run(fmt.Sprintf("%v of %d ms", c.idle, c.idleMs), func(t *testing.T) {
			withIdleRig(t, c.idleMs, func(g *idleRig) {
				for range 2 { // after each request anew
					if !g.ask() {
						g.Fatal("the first request is not answered")
					}
					time.Sleep(c.idle)
					if got := g.ask(); got != c.want {
						g.Fatalf("a request after %v: answered %v", c.idle, got)
					} else if !got {
						return
					}
				}
			})
		})
	}
}

// A limit that is raised counts for connections that are idle already.
func TestRaisedIdleLimitCountsForIdleClients(t *testing.T) {
	withIdleRig(t, 90_000, func(g *idleRig) {
		if !g.ask() {
			g.Fatal("the first request is not answered")
		}
		time.Sleep(80 * time.Second)
		g.configure(2, 200_000)
		time.Sleep(100 * time.Second)
		if !g.ask() {
			g.Error("closed by the limit that was in force before")
		}
		time.Sleep(201 * time.Second)
		if g.ask() {
			g.Error("not closed by the limit in force")
		}
	})
}

// Once the next request has begun, its header has to come in its own time.
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
			g.Errorf("a header that stalls was waited for %v: %v", took, err)
		}
	})
}
