package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
	"dunetide/internal/quota"
)

// scriptedLimiter is a quota.Limiter whose answer a test determines.
type scriptedLimiter struct {
	err   error         // of each call; nil: it is granted
	block chan struct{} // not nil: each call waits for it to be closed, or for its context

	mu      sync.Mutex
	asked   []string        // tenants, with the version of the configuration
	waits   []time.Duration // until the contexts' deadlines
	refunds int
}

func (l *scriptedLimiter) Admit(ctx context.Context, tenant *operatorconfig.Tenant, version uint64) (quota.Permit, error) {
	l.mu.Lock()
	l.asked = append(l.asked, tenant.Name+" "+strconv.FormatUint(version, 10))
	if deadline, ok := ctx.Deadline(); ok {
		l.waits = append(l.waits, time.Until(deadline))
	}
	l.mu.Unlock()
	if l.block != nil {
		select {
		case <-l.block:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if l.err != nil {
		return nil, l.err
	}
	return scriptedPermit{l}, nil
}

// count returns how many times the limiter was asked.
func (l *scriptedLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asked)
}

func (l *scriptedLimiter) refunded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refunds
}

type scriptedPermit struct{ limiter *scriptedLimiter }

func (p scriptedPermit) Refund() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.limiter.refunds++
}

// limitedTenants are a tenant with a limit and one without.
func limitedTenants() []tenantFields {
	return []tenantFields{
		{"name": "club", "api_keys": []string{"k-club", "k-club-2"}, "rate_per_s": 5, "burst": 5, "priority": 2},
		{"name": "gym", "api_keys": []string{"k-gym"}},
	}
}

const clubKey = "Authorization: Token k-club"

// limitedRig returns a rig with limitedTenants and a limiter.
func limitedRig(t *testing.T, kind string, limiter *scriptedLimiter, endpoints ...*endpoint) *tenantRig {
	t.Helper()
	return newTenantRig(t, kind, limitedTenants(), func(o *Options) { o.RateLimiter = limiter }, endpoints...)
}

// A request beyond the limit runs, or its 429 lacks the time after which the limit allows it.
func TestRequestOverTheLimitIsAnswered429(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		want string
	}{
		{350 * time.Millisecond, "0.350"}, {1200*time.Millisecond + time.Microsecond, "1.201"}, {time.Nanosecond, "0.001"}, {0, "0.001"},
	} {
		e := newEndpoint(t, "e1", answers(sealed, "ok"))
		limiter := &scriptedLimiter{err: &quota.ExceededError{Tenant: "club", RetryAfter: c.wait}}
		g := limitedRig(t, "writes", limiter, e)
		conn := g.dial()
		for range 2 { // the connection is kept
			must(t, conn.send(keyedCall("/r/x", clubKey), "body"))
			a, err := conn.receive()
			if err != nil || a.status != 429 || a.closes || a.header.Get("Retry-After") != c.want || a.header.Get(headerID) != "id1" {
				t.Fatalf("%v: %+v, %v; want 429 after %s s", c.wait, a, err, c.want)
			}
		}
		if len(e.got()) != 0 || len(g.a.requests) != 0 || limiter.refunded() != 0 {
			t.Errorf("%d ran, %d were given to admission, %d refunds", len(e.got()), len(g.a.requests), limiter.refunded())
		}
	}
}

// A request that nobody could count runs; or its 503 has no Retry-After.
func TestRequestThatCannotBeCountedIsAnswered503(t *testing.T) {
	for name, err := range map[string]error{
		"no answer of the store": &quota.UnavailableError{Tenant: "club", RetryAfter: 200 * time.Millisecond},
		"another error":          errors.New("no link"),
		"time over":              context.DeadlineExceeded,
	} {
		e := newEndpoint(t, "e1", answers(sealed, "ok"))
		g := limitedRig(t, "writes", &scriptedLimiter{err: err}, e)
		a := g.do(keyedCall("/r/x", clubKey), "body")
		if a.status != 503 || a.header.Get("Retry-After") == "" || a.closes {
			t.Errorf("%s: %+v", name, a)
		}
		if name == "no answer of the store" && a.header.Get("Retry-After") != "0.200" {
			t.Errorf("Retry-After %s", a.header.Get("Retry-After"))
		}
		if len(e.got()) != 0 {
			t.Errorf("%s: it ran", name)
		}
	}
}

// A token is taken for a request that no limit concerns, twice for one request, or by another tenant or version.
func TestOnlyRequestsOfLimitedTenantsTakeTokens(t *testing.T) {
	limiter := &scriptedLimiter{}
	busy := newEndpoint(t, "e1", answers("503 X|X-Dunetide-Not-Run: 1", ""))
	free := newEndpoint(t, "e2", answers(sealed, "ok"))
	g := limitedRig(t, "writes", limiter, busy, free)
	for _, c := range []struct {
		path, lines string
		status      int
		want        string // what the limiter is asked; empty: nothing
	}{
		{"/r/x", clubKey, 200, "club 1"},
		{"/p/x", clubKey, 200, "club 1"},
		{"/r/x", "Authorization: Token k-gym", 200, ""},
		{"/p/x", "", 200, ""},
		{"/p/x", "Authorization: Token k-nobody", 401, ""},
		{"/r/x", "Authorization: Token k-nobody", 401, ""},
		{"/elsewhere", clubKey, 404, ""},
		{"/r/x", clubKey + "|X-Large: " + strings.Repeat("x", 17<<10), 431, ""},
	} {
		limiter.asked = nil
		if a := g.do(keyedCall(c.path, c.lines), "body"); a.status != c.status {
			t.Fatalf("%s %s: %+v", c.path, c.lines, a)
		}
		if got := strings.Join(limiter.asked, "|"); got != c.want {
			t.Errorf("%s %s: asked %q, want %q", c.path, c.lines, got, c.want)
		}
	}
	if limiter.refunded() != 0 {
		t.Errorf("%d refunds of requests that ran", limiter.refunded())
	}
}

// QUOTA: the token of a request that an endpoint may have run is returned. Worth: that of one that has not run is lost.
func TestPermitIsRefundedOnlyIfTheRequestHasNotRun(t *testing.T) {
	refused := func(*rig) error { return &dispatch.RefusedError{Reason: "none", RetryAfter: time.Millisecond} }
	for name, c := range map[string]struct {
		kind    string
		answer  func(net.Conn, call) bool // nil: there is no endpoint
		refuse  func(*rig) error
		status  int // 0: the connection is closed
		refunds int
	}{
		"served":                 {"writes", answers(sealed, "ok"), nil, 200, 0},
		"failed":                 {"writes", answers("500 X", "ok"), nil, 500, 0},
		"answered with an error": {"writes", answers("404 X|X-Dunetide-Server-Seal: s1", ""), nil, 404, 0},
		"broken off":             {"writes", func(net.Conn, call) bool { return false }, nil, 502, 0},
		"unproven rejection":     {"writes", answers("503 X", ""), nil, 502, 0},
		"stream broken off": {"streaming", func(c net.Conn, _ call) bool {
			_, _ = io.WriteString(c, streamHead("id1")+chunked(oneEvent(1)))
			return false
		}, nil, 200, 0},
		"rejected by the endpoint":   {"writes", answers("503 X|X-Dunetide-Not-Run: 1", ""), nil, 503, 1},
		"misdirected":                {"writes", answers("421 X", ""), nil, 503, 1},
		"no endpoint":                {"writes", nil, nil, 503, 1},
		"refused by admission":       {"writes", answers(sealed, "ok"), refused, 503, 1},
		"read: rejected, no second":  {"read_only", answers("429 X|X-Dunetide-Not-Run: 1", ""), nil, 503, 1},
		"read: broken off, no other": {"read_only", func(net.Conn, call) bool { return false }, nil, 502, 0},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := &scriptedLimiter{}
			var endpoints []*endpoint
			if c.answer != nil {
				endpoints = append(endpoints, newEndpoint(t, "e1", c.answer))
			}
			g := limitedRig(t, c.kind, limiter, endpoints...)
			if c.refuse != nil {
				g.a.refuse = c.refuse(g.rig)
			}
			if a := g.do(keyedCall("/r/x", clubKey), "body"); a.status != c.status {
				t.Fatalf("%+v, want %d", a, c.status)
			}
			must(t, g.p.Server().Close())
			eventually(t, testTimeout, "the grant has ended", func() bool { return len(g.a.outcomes()) == len(endpoints) || c.refuse != nil })
			if got := limiter.refunded(); got != c.refunds || limiter.count() != 1 {
				t.Errorf("%d refunds of %d tokens, want %d of 1", got, limiter.count(), c.refunds)
			}
		})
	}
}

// A token is lost with a client that leaves before its request is sent; or returned, though the request may run.
func TestPermitOfAClientThatLeaves(t *testing.T) {
	t.Run("while it waits for an endpoint", func(t *testing.T) {
		limiter := &scriptedLimiter{}
		waiting := make(chan struct{})
		g := newTenantRig(t, "writes", limitedTenants(), func(o *Options) {
			o.RateLimiter, o.Admission = limiter, admissionFunc(func(ctx context.Context, _ *dispatch.Request) (dispatch.Grant, error) {
				close(waiting)
				<-ctx.Done()
				return nil, ctx.Err()
			})
		})
		c := g.dial()
		must(t, c.send(keyedCall("/r/x", clubKey), "body"))
		<-waiting
		_ = c.Close()
		eventually(t, testTimeout, "the token is returned", func() bool { return limiter.refunded() == 1 })
	})
	t.Run("while an endpoint runs it", func(t *testing.T) {
		limiter := &scriptedLimiter{}
		left := make(chan struct{})
		e := newEndpoint(t, "e1", func(conn net.Conn, _ call) bool {
			_, _ = conn.Read(make([]byte, 1)) // until the proxy gives up
			close(left)
			return false
		})
		g := limitedRig(t, "writes", limiter, e)
		c := g.dial()
		must(t, c.send(keyedCall("/r/x", clubKey), "body"))
		eventually(t, testTimeout, "the endpoint has the request", func() bool { return e.received("id1") })
		_ = c.Close()
		<-left
		eventually(t, testTimeout, "the grant has ended", func() bool { return len(g.a.outcomes()) == 1 })
		must(t, g.p.Shutdown(time.Second)) // the handler has returned
		if n := limiter.refunded(); n != 0 {
			t.Errorf("%d refunds", n)
		}
	})
	t.Run("while it waits for its token", func(t *testing.T) {
		limiter := &scriptedLimiter{block: make(chan struct{})}
		g := limitedRig(t, "writes", limiter, newEndpoint(t, "e1", answers(sealed, "ok")))
		c := g.dial()
		must(t, c.send(keyedCall("/r/x", clubKey), "body"))
		eventually(t, testTimeout, "the limiter is asked", func() bool { return limiter.count() == 1 })
		aborted, uncountable := requestsByVerdict[attempt.Abort].Get(), uncountableRequests.Get()
		_ = c.Close()
		must(t, g.p.Shutdown(time.Second))
		if requestsByVerdict[attempt.Abort].Get() != aborted+1 || uncountableRequests.Get() != uncountable {
			t.Error("it is counted as one that could not be counted")
		}
		if limiter.refunded() != 0 || len(g.a.requests) != 0 {
			t.Errorf("%d refunds, requests %+v", limiter.refunded(), g.a.requests)
		}
	})
}

// admissionFunc is a function that is a dispatch.Admission.
type admissionFunc func(ctx context.Context, r *dispatch.Request) (dispatch.Grant, error)

func (f admissionFunc) Acquire(ctx context.Context, r *dispatch.Request) (dispatch.Grant, error) {
	return f(ctx, r)
}

// A client whose store does not answer is held until its time is over, so that it can't ask another proxy.
func TestWaitForAPermitIsBounded(t *testing.T) {
	for _, c := range []struct {
		leftMs string
		want   time.Duration
	}{
		{"500", 200 * time.Millisecond}, {"4000", 1600 * time.Millisecond}, {"", maxPermitWait},
	} {
		limiter := &scriptedLimiter{err: &quota.UnavailableError{}}
		g := limitedRig(t, "writes", limiter)
		lines := clubKey
		if c.leftMs != "" {
			lines += "|X-Dunetide-Time-Left-Ms: " + c.leftMs
		}
		g.do(keyedCall("/r/x", lines), "body")
		if len(limiter.waits) != 1 || limiter.waits[0] > c.want || limiter.waits[0] < c.want/2 { // half: this machine may be busy
			t.Errorf("%s ms left: the limiter had %v, want up to %v", c.leftMs, limiter.waits, c.want)
		}
	}
	limiter := &scriptedLimiter{block: make(chan struct{})}
	g := limitedRig(t, "writes", limiter)
	began := time.Now()
	a := g.do(keyedCall("/r/x", clubKey+"|X-Dunetide-Time-Left-Ms: 2500"), "body")
	if took := time.Since(began); a.status != 503 || took > 2*time.Second {
		t.Errorf("%+v after %v, want 503 after 1 s", a, took)
	}
	none := &scriptedLimiter{}
	g = limitedRig(t, "writes", none)
	if a := g.do(keyedCall("/r/x", clubKey+"|X-Dunetide-Time-Left-Ms: 0"), "body"); a.status != 503 || none.count() != 0 {
		t.Errorf("no time left: %+v, %d asked; want 503 and nobody asked", a, none.count())
	}
}
