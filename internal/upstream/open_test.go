package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// open makes one call by Open and reads its answer to the end.
func open(t *testing.T, p *Pool, deadline time.Time) (body string, reused bool, err error) {
	t.Helper()
	c, err := p.Take(t.Context())
	must(t, err)
	resp, err := c.Open(t.Context(), http.MethodPost, []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"), []byte("ab"), deadline)
	if err != nil {
		c.Done(Broken)
		return "", c.Reused(), err
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil {
		c.Whole(resp)
	}
	c.Done(Answered)
	return string(b), c.Reused(), err
}

// An opened call's answer has no bound, and its connection carries the next call if it ended well.
func TestOpenedCall(t *testing.T) {
	long := strings.Repeat("0123456789", 100<<10)
	s := newStandIn(t, answers(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)))
	p := newPools(t, nil).Endpoint(Endpoint{Name: "e", Addr: s.addr})
	for n := range 3 {
		body, reused, err := open(t, p, time.Now().Add(patience))
		if body != long || reused != (n > 0) || err != nil {
			t.Fatalf("call %d: %d bytes, reused %v, %v", n, len(body), reused, err)
		}
	}
}

// A deadline ends a call, and leaves none on a connection that is kept.
func TestDeadlineOfAnOpenedCall(t *testing.T) {
	s := newStandIn(t, func(n int64, conn net.Conn, r *bufio.Reader) {
		if n == 1 {
			_, _ = io.Copy(io.Discard, r)
			return
		}
		answers(ok200)(n, conn, r)
	})
	var last *timedConn
	p := newPools(t, func(c *Config) {
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dialTCP(ctx, addr)
			if err != nil {
				return nil, err
			}
			last = &timedConn{TCPConn: conn.(*net.TCPConn)}
			return last, nil
		}
	}).Endpoint(Endpoint{Name: "e", Addr: s.addr})
	var broke *CallError
	if _, _, err := open(t, p, time.Now().Add(20*time.Millisecond)); !errors.As(err, &broke) || !broke.Sent || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	if _, _, err := open(t, p, time.Now().Add(patience)); err != nil || !last.deadline.IsZero() {
		t.Errorf("%v, deadline %v", err, last.deadline)
	}
	if _, reused, err := open(t, p, time.Time{}); err != nil || !reused {
		t.Errorf("reused %v, %v", reused, err)
	}
}

// timedConn remembers its deadline.
type timedConn struct {
	*net.TCPConn
	deadline time.Time
}

func (c *timedConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return c.TCPConn.SetDeadline(t)
}

// What belongs to an earlier call is read over, and the connection ends with this one.
func TestSurplusBeforeAnAnswer(t *testing.T) {
	s := newStandIn(t, answers(ok200+strings.Replace(ok200, "ok", "me", 1)))
	p := newPools(t, nil).Endpoint(Endpoint{Name: "e", Addr: s.addr})
	c := take(t, p)
	resp, err := c.Open(t.Context(), http.MethodGet, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil, time.Time{})
	must(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must(t, err)
	resp, err = c.Next()
	must(t, err)
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "me" {
		t.Errorf("%q, %v", b, err)
	}
	c.Whole(resp)
	c.Done(Answered)
	if take(t, p).Reused() {
		t.Error("the connection was kept")
	}
}

// A connection is not used when the far side is about to close it, by its own word.
func TestKeepAliveThatIsTold(t *testing.T) {
	for told, keeps := range map[string]time.Duration{
		"timeout=5":          5*time.Second - keepSlack,
		"timeout=2, max=100": 2*time.Second - keepSlack,
		"max=9, Timeout=3":   3*time.Second - keepSlack,
		"timeout=0":          time.Millisecond,
		"timeout=x":          0,
		"":                   0,
	} {
		if got := keepAlive(http.Header{"Keep-Alive": {told}}); got != keeps {
			t.Errorf("%q: %v, want %v", told, got, keeps)
		}
	}
	f, now := &far{holds: 10}, newClock()
	ps := farPools(t, f, now, nil)
	p := ps.Endpoint(Endpoint{Name: "e"})
	c := take(t, p)
	c.keep = 4600 * time.Millisecond
	served(c, Answered)
	now.tick(4 * time.Second)
	ps.Sweep()
	if c = take(t, p); !c.Reused() {
		t.Error("it was closed too early")
	}
	served(c, Answered)
	now.tick(4600 * time.Millisecond)
	if take(t, p).Reused() {
		t.Error("it was used when the far side closes it")
	}
}

// No more connections than were told; who finds no place soon is told so.
func TestMostConnectionsThatAreTold(t *testing.T) {
	f, now := &far{holds: 10}, newClock()
	ps := farPools(t, f, now, func(c *Config) { c.Wait = time.Millisecond })
	p := ps.Endpoint(Endpoint{Name: "e", Most: 2})
	one, two := take(t, p), take(t, p)
	if _, err := p.Take(t.Context()); !errors.Is(err, ErrBusy) {
		t.Errorf("%v", err)
	}
	served(one, Answered)
	if one = take(t, p); !one.Reused() || f.most != 2 {
		t.Errorf("reused %v, %d at the most", one.Reused(), f.most)
	}
	if ps.Endpoint(Endpoint{Name: "e", Most: 3}) != p {
		t.Fatal("another pool")
	}
	three := take(t, p)
	ps.Endpoint(Endpoint{Name: "e", Most: 1})
	served(three, Answered)
	served(two, Answered)
	served(one, Answered)
	if f.open != 1 {
		t.Errorf("%d are kept, want 1", f.open)
	}
}
