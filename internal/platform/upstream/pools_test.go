package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// fakeEndpoint is an endpoint without sockets that accepts a limited number of connections.
type fakeEndpoint struct {
	limit, open, maxOpen, refused int
	err                           error // if set, every dial fails with it
}

type fakeConn struct {
	net.Conn // nil: no I/O happens on it
	endpoint *fakeEndpoint
	closed   bool
}

func (c *fakeConn) Close() error {
	if !c.closed {
		c.closed = true
		c.endpoint.open--
	}
	return nil
}

func (f *fakeEndpoint) dial(context.Context, string) (net.Conn, error) {
	if f.err != nil {
		return nil, f.err
	}
	if f.open >= f.limit {
		f.refused++
		return nil, syscall.ECONNREFUSED
	}
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	return &fakeConn{endpoint: f}, nil
}

// clock is a clock that only tick advances.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Unix(1e9, 0)} }

func (c *clock) tick(d time.Duration) { c.now = c.now.Add(d) }

func fakePools(t *testing.T, f *fakeEndpoint, c *clock, change func(*Config)) *Pools {
	t.Helper()
	return newPools(t, func(cfg *Config) {
		cfg.Dial, cfg.Now = f.dial, func() time.Time { return c.now }
		if change != nil {
			change(cfg)
		}
	})
}

// canceledContext returns a context that has ended: a call that has to wait fails at once.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// endCallAs releases a connection as after a complete call, without any I/O.
func endCallAs(c *Conn, end Outcome) {
	c.inCall, c.sent, c.complete, c.stopCancel = true, true, true, func() bool { return true }
	c.Release(end)
}

func acquire(t *testing.T, p *Pool) *Conn {
	t.Helper()
	c, err := p.Acquire(t.Context())
	must(t, err)
	return c
}

// The most recently used connection is reused first, so that surplus ones stay idle until they expire.
func TestSurplusConnectionsExpire(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, func(c *Config) { c.MaxIdle = 10 * time.Second })
	p := ps.Endpoint(Endpoint{Name: "e"})
	a, b, c := acquire(t, p), acquire(t, p), acquire(t, p)
	for _, conn := range []*Conn{a, b, c} {
		endCallAs(conn, Answered)
	}
	for range 4 {
		now.tick(3 * time.Second)
		ps.Sweep()
		conn := acquire(t, p)
		if conn != c {
			t.Fatal("not the most recently used connection")
		}
		endCallAs(conn, Answered)
	}
	wantStats(t, ps, 1, 1, 3, 4, 0)
	now.tick(10 * time.Second)
	if conn := acquire(t, p); conn == c {
		t.Error("a connection was reused after the idle limit")
	}
}

// An endpoint with a new address or a newer start time gets fresh connections, and its learned state is dropped;
// connections opened since that start are retained.
func TestMovedOrRestartedEndpointGetsFreshConnections(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	at := Endpoint{Name: "e", Addr: "1", Since: now.now.UnixMilli()}
	p := ps.Endpoint(at)
	endCallAs(acquire(t, p), Answered)
	p.sizing.cap = 3
	out := acquire(t, p) // in use while the list changes
	old := acquire(t, p)
	now.tick(time.Second)
	at.Since = now.now.UnixMilli()
	now.tick(time.Second)
	fresh := acquire(t, p)
	endCallAs(old, Answered)
	if ps.Endpoint(at) != p || p.sizing.cap != 0 {
		t.Errorf("cap %v after a restart, want none", p.sizing.cap)
	}
	endCallAs(fresh, Answered)
	endCallAs(out, Answered)
	if f.open != 1 || len(p.idle) != 1 || p.idle[0].dialedAt.UnixMilli() < at.Since {
		t.Errorf("%d open, %d idle; want the connection that was opened since the restart", f.open, len(p.idle))
	}
	at.Addr = "2"
	ps.Endpoint(at)
	if f.open != 0 {
		t.Errorf("%d connections to the previous address", f.open)
	}
	ps.Endpoint(at)
	if c := acquire(t, p); c.Reused() {
		t.Error("a connection to the previous address was reused")
	}
}

// The pool of a removed endpoint ends with its last call, and an endpoint of the same name gets a new pool.
func TestPoolEndsWithItsLastCall(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	p := ps.Endpoint(Endpoint{Name: "e"})
	c := acquire(t, p)
	endCallAs(acquire(t, p), Answered)
	p.Remove()
	if _, err := p.Acquire(t.Context()); !errors.Is(err, ErrRemoved) {
		t.Errorf("%v, want ErrRemoved", err)
	}
	if o := ps.Stats(9); o.Open != 1 || len(o.Pools) != 1 {
		t.Errorf("%+v, want the connection of the call in flight", o)
	}
	endCallAs(c, Answered)
	if o := ps.Stats(9); o.Open != 0 || len(o.Pools) != 0 || f.open != 0 {
		t.Errorf("%+v and %d open, want none", o, f.open)
	}
	if q := ps.Endpoint(Endpoint{Name: "e"}); q == p || acquire(t, q).Reused() {
		t.Error("the new pool has state of the old one")
	}
}

// At the limit for all pools the idle connection of the least used endpoint is evicted; if none is idle, calls wait,
// and the first of them gets the next free connection.
func TestMaxOpenIsSharedByAllPools(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, func(c *Config) { c.MaxOpen = 3 })
	busy, rare, third := ps.Endpoint(Endpoint{Name: "a"}), ps.Endpoint(Endpoint{Name: "b"}), ps.Endpoint(Endpoint{Name: "c"})
	for range 3 {
		endCallAs(acquire(t, busy), Answered)
	}
	endCallAs(acquire(t, rare), Answered)
	one, two := acquire(t, third), acquire(t, third)
	if len(rare.idle) != 0 || len(busy.idle) != 1 {
		t.Errorf("%d idle to the least used endpoint, %d to the other", len(rare.idle), len(busy.idle))
	}
	three := acquire(t, rare)
	if f.open != 3 || f.maxOpen != 3 {
		t.Errorf("%d open, %d at most, want 3", f.open, f.maxOpen)
	}
	if _, err := busy.Acquire(canceledContext()); !errors.Is(err, ErrBusy) {
		t.Errorf("%v, want ErrBusy", err)
	}
	got := make(chan *Conn)
	go func() {
		c, err := busy.Acquire(context.Background())
		if err != nil {
			t.Error(err)
		}
		got <- c
	}()
	for ps.Stats(1).Waiting == 0 {
		runtime.Gosched()
	}
	endCallAs(two, Answered)
	c := <-got
	if f.open != 3 {
		t.Errorf("%d open, want 3", f.open)
	}
	for _, c := range []*Conn{one, three, c} {
		c.Release(Unused)
	}
	if o := ps.Stats(9); o.Open != 3 || o.Waiting != 0 {
		t.Errorf("%+v at the end", o)
	}
}

// A lower limit closes idle connections, of the least used endpoint first; a higher limit lets waiting calls proceed.
func TestSetMaxOpen(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, func(c *Config) { c.MaxOpen = 4 })
	busy, rare := ps.Endpoint(Endpoint{Name: "a"}), ps.Endpoint(Endpoint{Name: "b"})
	out := acquire(t, busy)
	for range 3 {
		endCallAs(acquire(t, busy), Answered)
	}
	endCallAs(acquire(t, rare), Answered)
	ps.SetMaxOpen(2)
	if f.open != 2 || len(rare.idle) != 0 {
		t.Errorf("%d open, %d of them to the least used endpoint; want 2 and none", f.open, len(rare.idle))
	}
	ps.SetMaxOpen(1)
	got := make(chan error)
	go func() {
		_, err := rare.Acquire(context.Background())
		got <- err
	}()
	for ps.Stats(1).Waiting == 0 {
		runtime.Gosched()
	}
	ps.SetMaxOpen(2)
	must(t, <-got)
	out.Release(Unused)
}

// Only maxWaiting calls wait for a capped endpoint, and they end with their contexts; the first of them gets the
// connection that is released.
func TestWaitingIsBounded(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	p := ps.Endpoint(Endpoint{Name: "e"})
	p.sizing.cap, p.sizing.growAt = 1, now.now.Add(time.Hour)
	c := acquire(t, p)
	ctx, cancel := context.WithCancel(t.Context())
	ends := make(chan error, maxWaiting)
	for range maxWaiting {
		go func() {
			_, err := p.Acquire(ctx)
			ends <- err
		}()
	}
	for ps.Stats(1).Pools[0].Waiting < maxWaiting {
		runtime.Gosched()
	}
	if _, err := p.Acquire(t.Context()); !errors.Is(err, ErrBusy) {
		t.Errorf("%v, want ErrBusy, as too many calls wait", err)
	}
	endCallAs(c, Answered)
	if err := <-ends; err != nil {
		t.Errorf("no call got the released connection: %v", err)
	}
	cancel()
	for range maxWaiting - 1 {
		if err := <-ends; !errors.Is(err, ErrBusy) || !errors.Is(err, context.Canceled) {
			t.Errorf("%v, want ErrBusy and the cancelled context", err)
		}
	}
	if s := ps.Stats(1).Pools[0]; s.Waiting != 0 || s.InUse != 1 || f.open != 1 {
		t.Errorf("%+v, %d open", s, f.open)
	}
}

// A cancelled dial leaves nothing behind and doesn't count against the endpoint; a dial whose SYNs are never answered
// ends with DialTimeout.
func TestDialThatTimesOut(t *testing.T) {
	ps := newPools(t, func(c *Config) {
		c.DialTimeout = time.Millisecond
		c.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	})
	p := ps.Endpoint(Endpoint{Name: "e"})
	if _, err := p.Acquire(canceledContext()); !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want context.Canceled", err)
	}
	if s := ps.Stats(1).Pools[0]; s.Refused != 0 || s.Open != 0 {
		t.Errorf("%+v, want nothing counted and nothing open", s)
	}
	if _, err := p.Acquire(t.Context()); !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrBusy) {
		t.Errorf("%v, want context.DeadlineExceeded", err)
	}
	if s := ps.Stats(1).Pools[0]; s.Refused != 1 || s.Open != 0 || s.Dialing != 0 {
		t.Errorf("%+v, want one refused and nothing open", s)
	}
}

// A connection that is established after its endpoint was removed or has moved is closed.
func TestDialToARemovedOrMovedEndpoint(t *testing.T) {
	for name, change := range map[string]func(*Pools, *Pool){
		"gone":  func(_ *Pools, p *Pool) { p.Remove() },
		"moved": func(ps *Pools, _ *Pool) { ps.Endpoint(Endpoint{Name: "e", Addr: "2"}) },
	} {
		f := &fakeEndpoint{limit: 1}
		var ps *Pools
		var p *Pool
		ps = newPools(t, func(c *Config) {
			c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				change(ps, p)
				return f.dial(ctx, addr)
			}
		})
		p = ps.Endpoint(Endpoint{Name: "e", Addr: "1"})
		if _, err := p.Acquire(t.Context()); !errors.Is(err, ErrRemoved) || f.open != 0 || ps.Stats(1).Open != 0 {
			t.Errorf("%s: %v, %d open", name, err, f.open)
		}
	}
}

// A failed dial is a sign of too many connections only if the endpoint was up the whole time.
func TestFailedDialsLowerTheCap(t *testing.T) {
	type step struct {
		ends string // a: acquire and response, f: failed dial, O: acquire the old connection, o: response on it, s: a pause of 1 s
		cap  float64
	}
	for name, c := range map[string]step{
		"outage":                     {"afffsfff", 0},
		"outage that ends":           {"afffsfffaa", 0},
		"one dial lost":              {"Ofos", 0},
		"at the connection limit":    {"Offo", 1},
		"no proof without responses": {"Offs", 0},
		"proof after proofWindow":    {"Offsssso", 0},
		"dials lost occasionally":    {"OfossssssssssssssssfoO", 0},
	} {
		f, now := &fakeEndpoint{limit: 100}, newClock()
		ps := fakePools(t, f, now, nil)
		p := ps.Endpoint(Endpoint{Name: "e"})
		var old *Conn
		for _, s := range c.ends {
			switch s {
			case 's':
				now.tick(time.Second)
			case 'O':
				old = acquire(t, p)
			case 'o': // a response on it, then it is acquired again
				endCallAs(old, Answered)
				old = acquire(t, p)
			case 'a':
				endCallAs(acquire(t, p), Answered)
				p.CloseIdle()
			case 'f':
				f.err = syscall.ECONNREFUSED
				if _, err := p.Acquire(t.Context()); err == nil {
					t.Fatal("a dial succeeded that should fail")
				}
				f.err = nil
			}
			now.tick(time.Millisecond)
		}
		if p.sizing.cap != c.cap {
			t.Errorf("%s: cap %v, want %v", name, p.sizing.cap, c.cap)
		}
	}
}

// Rejected first calls on connections are a sign of too many connections, unless other calls are rejected too.
func TestRejectedFirstCallsLowerTheCap(t *testing.T) {
	for name, c := range map[string]struct {
		others Outcome
		capped bool
	}{"connections": {Answered, true}, "limit": {Rejected, false}} {
		f, now := &fakeEndpoint{limit: 100}, newClock()
		ps := fakePools(t, f, now, nil)
		p := ps.Endpoint(Endpoint{Name: "e"})
		endCallAs(acquire(t, p), Answered)
		for range 6 {
			if p.sizing.cap > 0 {
				break
			}
			old, fresh := acquire(t, p), acquire(t, p)
			endCallAs(fresh, Rejected)
			endCallAs(old, c.others)
			p.idle = p.idle[:0]
			p.idle = append(p.idle, old) // drops the other connection
			ps.open--
			now.tick(100 * time.Millisecond)
		}
		if capped := p.sizing.cap > 0; capped != c.capped {
			t.Errorf("%s: cap %v", name, p.sizing.cap)
		}
	}
}

// fleet is a number of nodes with one pool each to the same endpoint, driven by one clock.
type fleet struct {
	endpoint *fakeEndpoint
	now      *clock
	pools    []*Pools
	out      [][]*Conn // by pool: connections in use; until has the step at which each call ends
	until    [][]int
	queue    [][]int // by pool: the steps until which calls wait
	rng      *rand.Rand
}

func newFleet(t *testing.T, senders, limit int) *fleet {
	t.Helper()
	f := &fleet{endpoint: &fakeEndpoint{limit: limit}, now: newClock(), rng: rand.New(rand.NewPCG(1, 2))}
	f.pools = make([]*Pools, senders)
	f.out = make([][]*Conn, senders)
	f.until = make([][]int, senders)
	f.queue = make([][]int, senders)
	for i := range f.pools {
		f.restart(t, i)
	}
	return f
}

func (f *fleet) restart(t *testing.T, i int) {
	t.Helper()
	if f.pools[i] != nil {
		for _, c := range f.out[i] {
			c.close()
		}
		f.out[i], f.until[i] = nil, nil
		f.pools[i].Retire()
	}
	f.pools[i] = fakePools(t, f.endpoint, f.now, func(c *Config) {
		c.Senders, c.Rand, c.MaxIdle = len(f.pools), f.rng.Float64, 12*time.Second
		c.DialTimeout = 1 // a call that has to wait fails at once
	})
}

// run simulates a duration with rate calls a second from all senders together, each of 0.2 s. It returns how many
// dials a second were refused, and the share of calls that got a connection within a second.
func (f *fleet) run(t *testing.T, d time.Duration, rate float64) (refused, share float64) {
	t.Helper()
	const step = 10 * time.Millisecond
	before, calls, found := f.endpoint.refused, 0, 0
	for n := range int(d / step) {
		f.now.tick(step)
		for i := range f.pools {
			for len(f.until[i]) > 0 && f.until[i][0] <= n {
				endCallAs(f.out[i][0], Answered)
				f.out[i], f.until[i] = f.out[i][1:], f.until[i][1:]
			}
			if n%100 == i%100 {
				f.pools[i].Sweep()
			}
			if f.rng.Float64() < rate*step.Seconds()/float64(len(f.pools)) {
				calls++
				f.queue[i] = append(f.queue[i], n+100)
			}
			for len(f.queue[i]) > 0 && f.queue[i][0] < n {
				f.queue[i] = f.queue[i][1:]
			}
			if len(f.queue[i]) == 0 || n%10 != i%10 && f.queue[i][0] != n+100 {
				continue // it retries every tenth of a second
			}
			c, err := f.pools[i].Endpoint(Endpoint{Name: "e"}).Acquire(context.Background())
			if err == nil {
				found++
				f.queue[i] = f.queue[i][1:]
				f.out[i], f.until[i] = append(f.out[i], c), append(f.until[i], n+20)
			}
		}
	}
	for i := range f.until { // the next run counts its steps from 0
		for k := range f.until[i] {
			f.until[i][k] = 0
		}
		f.queue[i] = nil
	}
	return float64(f.endpoint.refused-before) / d.Seconds(), float64(found) / float64(calls)
}

// Many pools converge below the limit of one endpoint, with few senders and with many, also after all restart at
// once, and after the limit is halved.
func TestFleetSettlesUnderACap(t *testing.T) {
	for name, c := range map[string]struct {
		senders, limit int
		rate           float64 // calls a second; 0.2 times as many are in flight
	}{
		"2 senders":                   {2, 12, 12},
		"300 senders":                 {300, 700, 600},
		"300 senders below the limit": {300, 10000, 600},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, c.senders, c.limit)
			check := func(when string) {
				t.Helper()
				f.run(t, 20*time.Second, c.rate) // to settle
				refused, found := f.run(t, 20*time.Second, c.rate)
				t.Logf("%s: %.2f refused a second of %.0f calls, %.3f of the calls found a connection", when, refused, c.rate, found)
				if refused > 0.025*c.rate {
					t.Errorf("%s: %.2f dials a second are refused", when, refused)
				}
				if found < 0.95 {
					t.Errorf("%s: only %.3f of the calls found a connection", when, found)
				}
			}
			check("at first")
			for i := range f.pools {
				f.restart(t, i)
			}
			check("after a common restart")
			f.endpoint.limit /= 2
			check("with half the limit")
		})
	}
}

// Senders raise their caps at different times, and a cap that has no effect is removed.
func TestCapGrowsBackOutOfStep(t *testing.T) {
	now := newClock()
	at := map[time.Duration]int{}
	for range 300 {
		cfg := Config{Senders: 300, Rand: rand.Float64}
		s := sizing{cap: 0}
		s.cut(1, now.now, &cfg)
		at[s.growAt.Sub(now.now)/(10*time.Second)]++
	}
	for span, n := range at {
		if span < 15 || span >= 45 || n > 40 {
			t.Errorf("%d of 300 senders try one more within the same 10 s, after %v", n, span*10*time.Second)
		}
	}
	cfg := Config{Senders: 1, Rand: func() float64 { return 0.5 }}
	s := sizing{}
	s.cut(1, now.now, &cfg)
	for range 2 * maxCap {
		now.tick(2 * time.Second)
		s.maxConns(now.now, &cfg)
	}
	if s.cap != 0 {
		t.Errorf("cap %v after a long time, want none", s.cap)
	}
}

// The learned state is passed to the next process, for the same endpoint only.
func TestLearntStateIsInherited(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	for _, name := range []string{"a", "b"} {
		p := ps.Endpoint(Endpoint{Name: name, Addr: "1", Since: 7})
		p.sizing.cap, p.sizing.growAt = 3, now.now.Add(time.Minute)
		for range 10 {
			p.idleLimit.observe(200*time.Millisecond, true, now.now)
			ps.idleLimit.observe(800*time.Millisecond, true, now.now)
		}
	}
	next := fakePools(t, f, now, nil)
	next.Inherit(ps.Memory())
	a, b := next.Endpoint(Endpoint{Name: "a", Addr: "1", Since: 7}), next.Endpoint(Endpoint{Name: "b", Addr: "2", Since: 7})
	if got := a.maxIdle(now.now); a.sizing.cap != 3 || got != 2*freshIdle {
		t.Errorf("inherited cap %v and idle limit %v, want 3 and %v", a.sizing.cap, got, 2*freshIdle)
	}
	if got := b.maxIdle(now.now); b.sizing.cap != 0 || got != 8*freshIdle {
		t.Errorf("cap %v and idle limit %v at another address, want none and that of all endpoints, %v", b.sizing.cap, got, 8*freshIdle)
	}
}

// A thousand endpoints that are added and removed leave no goroutine, descriptor or entry behind.
func TestRemovedEndpointsLeaveNothingBehind(t *testing.T) {
	s := newTestServer(t, respondWith(ok200))
	ps := newPools(t, nil)
	before := runtime.NumGoroutine()
	for n := range 1000 {
		p := ps.Endpoint(Endpoint{Name: fmt.Sprint(n), Addr: s.addr})
		c := acquire(t, p)
		if _, _, err := call(t, p, 10); err != nil {
			t.Fatal(err)
		}
		p.Remove()
		c.Release(Unused)
	}
	if o := ps.Stats(9); o.Open != 0 || len(o.Pools) != 0 || len(ps.inherited) != 0 {
		t.Errorf("%+v remains", o)
	}
	for end := time.Now().Add(testTimeout); s.open.Load() > 0 && time.Now().Before(end); {
		runtime.Gosched()
	}
	if n := s.open.Load(); n != 0 {
		t.Errorf("%d connections remain open at the endpoint", n)
	}
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
}

// Retired pools close idle connections at once, and those in use when their calls end.
func TestRetire(t *testing.T) {
	f, now := &fakeEndpoint{limit: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	p := ps.Endpoint(Endpoint{Name: "e"})
	c := acquire(t, p)
	endCallAs(acquire(t, p), Answered)
	ps.Retire()
	if f.open != 1 {
		t.Errorf("%d open, want the one in use", f.open)
	}
	endCallAs(c, Answered)
	if f.open != 0 {
		t.Errorf("%d open, want none", f.open)
	}
}

// Connections are opened ahead of demand one at a time up to the recent demand, but not where that is disabled or
// could do harm.
func TestPreconnect(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		may    func() bool
		before func(*Pool, *clock)
		want   int
	}{
		"demand":                 {nil, func() bool { return true }, nil, 3},
		"off":                    {func(c *Config) { c.Preconnect = false }, func() bool { return true }, nil, 0},
		"MayPreconnect is false": {nil, func() bool { return false }, nil, 0},
		"MayPreconnect is nil":   {nil, nil, nil, 0},
		"failed recently":        {nil, func() bool { return true }, func(p *Pool, c *clock) { p.failedAt = c.now }, 0},
		"capped":                 {nil, func() bool { return true }, func(p *Pool, c *clock) { p.sizing.cap, p.sizing.growAt = 2, c.now.Add(time.Hour) }, 2},
		"at MaxOpen":             {func(c *Config) { c.MaxOpen = 1 }, func() bool { return true }, nil, 1},
		"old demand":             {nil, func() bool { return true }, func(_ *Pool, c *clock) { c.tick(2 * demandSpan) }, 0},
	} {
		f, now := &fakeEndpoint{limit: 10}, newClock()
		ps := fakePools(t, f, now, func(cfg *Config) {
			cfg.Preconnect, cfg.WarmUp = true, 14*time.Second
			if c.change != nil {
				c.change(cfg)
			}
		})
		p := ps.Endpoint(Endpoint{Name: "e", MayPreconnect: c.may})
		p.demand.observe(3, now.now)
		if c.before != nil {
			c.before(p, now)
		}
		for range 6 {
			ps.Sweep()
			ps.background.Wait()
			for len(p.idle) > 0 { // acquired: the next one is opened ahead
				acquire(t, p)
				ps.background.Wait()
			}
		}
		if f.open != c.want {
			t.Errorf("%s: %d open, want %d", name, f.open, c.want)
		}
	}
}

// quiet detects data that has arrived on a socket, and nothing on a socket without data.
func TestQuietDetectsReceivedData(t *testing.T) {
	hold := make(chan struct{})
	s := newTestServer(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_, _ = io.WriteString(conn, "x")
		<-hold
	})
	defer close(hold)
	nc, err := dialTCP(t.Context(), s.addr)
	must(t, err)
	defer nc.Close()
	c := &Conn{netConn: nc}
	if !c.quiet() {
		t.Error("data was reported on a connection without data")
	}
	_, err = nc.Write([]byte("x"))
	must(t, err)
	for end := time.Now().Add(testTimeout); c.quiet() && time.Now().Before(end); {
		runtime.Gosched()
	}
	if c.quiet() {
		t.Error("unsolicited data was not reported")
	}
}
