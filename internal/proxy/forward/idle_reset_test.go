package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunetide/internal/control/operatorconfig"
)

// idleFor is longer than a connection may be idle and still count as fresh.
const idleFor = 100 * time.Millisecond

// newIdleConnRig returns a proxy that waits longer for resets, and a function that makes its connections count as idle.
func newIdleConnRig(t *testing.T, r operatorconfig.Route, endpoints ...*endpoint) (g *rig, idle func()) {
	t.Helper()
	var later atomic.Int64
	g = newRigWith(t, r, func(o *Options) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(later.Load())) }
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return extendedReadConn{conn.(*net.TCPConn)}, nil
		}
	}, endpoints...)
	return g, func() { later.Add(int64(idleFor)) }
}

// An idempotent request is served although every endpoint has dropped its idle connections: the end of its last attempt is delayed.
func TestRequestsWhereEveryIdleConnectionIsReset(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(attempts, " attempts"), func(t *testing.T) {
			all := []*endpoint{newResettingEndpoint(t, false), newResettingEndpoint(t, false), newResettingEndpoint(t, false)}
			for i, e := range all {
				e.id = fmt.Sprint("resetting", i)
			}
			g, idle := newIdleConnRig(t, route(operatorconfig.ReadOnly, attempts), all...)
			for i := range all { // a connection to each
				g.a.all = all[i : i+1]
				if a := g.do(plainCall, "x"); a.body != "first" {
					t.Fatalf("%+v", a)
				}
			}
			g.a.all = append(all, newEndpoint(t, "good", answers(sealed, "fine")))
			idle()
			if a := g.do(plainCall, "x"); a.status != 200 || a.err != nil {
				t.Errorf("%+v", a)
			}
		})
	}
}

// unread returns how many received bytes of a connection have not been read.
func unread(t *testing.T, conn *net.TCPConn) (count int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	must(t, err)
	must(t, raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }))
	must(t, err)
	return count
}

// A reset after the last byte looks the same whether the endpoint has run the request or has not read any of it. So a request that may
// run only once is answered 502 and not sent again in both cases.
func TestResetAfterTheLastByteIsNotRetried(t *testing.T) {
	const body = "the whole body"
	for name, runs := range map[string]bool{"after the run": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			ran := make(chan bool, 1)
			late := newRawEndpoint(t, "late", func(conn *net.TCPConn) {
				reader := bufio.NewReader(conn)
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				write(conn, answerOf(request.Header.Get(headerID), sealed, "first"))
				if runs {
					ran <- readRequest(reader, body)
				} else {
					ran <- awaitUnread(t, conn, body)
				}
				_ = conn.SetLinger(0)
			})
			good := newEndpoint(t, "good", answers(sealed, "fine"))
			g := newRigWith(t, route(operatorconfig.Writes, 2), func(*Options) {}, late, good)
			if a := g.do(plainCall, "x"); a.body != "first" {
				t.Fatalf("%+v", a)
			}
			if a := g.do(plainCall, body); a.status != http.StatusBadGateway {
				t.Errorf("%+v", a)
			}
			if !<-ran {
				t.Error("the second request did not arrive completely")
			}
			if calls := good.got(); len(calls) > 0 {
				t.Errorf("%d calls at the next endpoint", len(calls))
			}
		})
	}
}

// readRequest reads a request and reports whether it has the body.
func readRequest(reader *bufio.Reader, body string) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	whole, err := io.ReadAll(request.Body)
	return err == nil && string(whole) == body
}

// awaitUnread waits until a complete request has arrived and leaves it unread.
func awaitUnread(t *testing.T, conn *net.TCPConn, body string) bool {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		held := make([]byte, unread(t, conn))
		raw, err := conn.SyscallConn()
		must(t, err)
		must(t, raw.Control(func(fd uintptr) { _, _, _ = unix.Recvfrom(int(fd), held, unix.MSG_PEEK|unix.MSG_DONTWAIT) }))
		if strings.HasSuffix(string(held), body) {
			return true
		}
	}
	return false
}
