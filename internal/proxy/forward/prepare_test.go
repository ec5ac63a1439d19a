package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// unprepared returns a proxy that has just started and has no configuration.
func unprepared(t *testing.T, e ...*endpoint) (*rig, *snapshot.Latest) {
	t.Helper()
	holder := &snapshot.Latest{}
	return newRigWith(t, route(operatorconfig.Writes, 1), func(o *Options) { o.Snapshots = holder }, e...), holder
}

func TestRequestsWaitForAProxyThatHasJustStarted(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "the body"))
	g, holder := unprepared(t, e)
	const clients = 8
	answers := make(chan clientAnswer, clients)
	for i := range clients {
		c := g.dial()
		must(t, c.send(fmt.Sprintf("POST /r/x HTTP/1.1|Host: h.example|X-Dunetide-Request-Id: id%d|X-Dunetide-Time-Left-Ms: 9000", i), strings.Repeat("b", 9000)))
		go func() {
			a, err := c.receive()
			if err != nil {
				a.err = err
			}
			answers <- a
		}()
	}
	eventually(t, testTimeout, "all requests are read and wait", func() bool { return g.p.unprepared.Load() >= clients })
	holder.Set(&snapshot.Snapshot{Proxies: 1, EndpointsComplete: true}) // the configuration is still missing
	if n := g.p.unprepared.Load(); n != clients {
		t.Errorf("%d of %d requests are waiting for a configuration", n, clients)
	}
	holder.Set(&snapshot.Snapshot{Config: g.config, Proxies: 1})
	for range clients {
		if a := <-answers; a.err != nil || a.status != http.StatusOK || a.body != "the body" {
			t.Errorf("%+v", a)
		}
	}
	for _, c := range e.got() {
		if len(c.body) != 9000 {
			t.Errorf("a body of %d bytes arrived", len(c.body))
		}
	}
}

// The wait ends while the client still has time to retry, with a 503, as the request has not run.
func TestRequestIsRefusedIfAProxyStaysUnprepared(t *testing.T) {
	e := newEndpoint(t, "e1", answers(sealed, "x"))
	g, _ := unprepared(t, e)
	a := g.do(plainCall+"|X-Dunetide-Time-Left-Ms: 90", "b")
	if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || len(e.got()) > 0 {
		t.Errorf("%+v, %d calls", a, len(e.got()))
	}
}

func TestWaitingRequestsAreLimited(t *testing.T) {
	g, _ := unprepared(t)
	g.p.unprepared.Store(maxUnprepared)
	if a := g.do(plainCall+"|X-Dunetide-Time-Left-Ms: 60000", "b"); a.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", a)
	}
	if n := g.p.unprepared.Load(); n != maxUnprepared {
		t.Errorf("%d are counted as waiting", n)
	}
}

func TestWaitEndsWhenTheClientDisconnects(t *testing.T) {
	g, _ := unprepared(t)
	c := g.dial()
	must(t, c.send(plainCall+"|X-Dunetide-Time-Left-Ms: 60000", "b"))
	eventually(t, testTimeout, "the request waits", func() bool { return g.p.unprepared.Load() > 0 })
	must(t, c.Close())
	eventually(t, maxUnpreparedWait/2, "the request no longer waits", func() bool { return g.p.unprepared.Load() == 0 })
}

func TestUnpreparedWait(t *testing.T) {
	for timeLeft, want := range map[string]time.Duration{"900": 450 * time.Millisecond, "60000": maxUnpreparedWait, "0": 0, "": maxUnpreparedWait, "x": maxUnpreparedWait, "-1": maxUnpreparedWait} {
		if got := unpreparedWait(timeLeft); got != want {
			t.Errorf("%q: %v, want %v", timeLeft, got, want)
		}
	}
}

func TestAwaitSeesEachSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &snapshot.Latest{}
		go func() {
			for senders := range 4 {
				time.Sleep(time.Second)
				holder.Set(&snapshot.Snapshot{Proxies: senders})
			}
		}()
		began := time.Now()
		if err := holder.Await(t.Context(), func(s *snapshot.Snapshot) bool { return s != nil && s.Proxies == 3 }); err != nil || time.Since(began) != 4*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if holder.Await(ctx, func(*snapshot.Snapshot) bool { return false }) == nil {
			t.Error("Await returned no error though no snapshot was accepted")
		}
	})
}
