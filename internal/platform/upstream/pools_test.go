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

// fakeEndpoint is an endpoint without sockets: it holds up to a number of connections.
type fakeEndpoint struct {
	holds, open, most, refused int
	err                        error // in place of connections, while it is set
}

type fakeConn struct {
	net.Conn // nil: nothing is read or written on it
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
	if f.open >= f.holds {
		f.refused++
		return nil, syscall.ECONNREFUSED
	}
	f.open++
	f.most = max(f.most, f.open)
	return &fakeConn{endpoint: f}, nil
}

// clock is a time that moves by tick alone.
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

// canceledContext is a context that has ended: a call that has to wait is rejected at once.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// endCallAs ends a call as one that was answered completely, without any bytes.
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

// The connection that was used last comes first, so that the surplus ages and closes.
func TestSurplusConnectionsExpire(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
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
			t.Fatal("not the connection that was used last")
		}
		endCallAs(conn, Answered)
	}
	wantStats(t, ps, 1, 1, 3, 4, 0)
	now.tick(10 * time.Second)
	if conn := acquire(t, p); conn == c {
		t.Error("a connection was used that had been idle for its limit")
	}
}

// A list that names another address or a newer start gives fresh connections, and what
// was learnt is forgotten; what was opened since that start is retained.
func TestMovedOrRestartedEndpointGetsFreshConnections(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	at := Endpoint{Name: "e", Addr: "1", Since: now.now.UnixMilli()}
	p := ps.Endpoint(at)
	endCallAs(acquire(t, p), Answered)
	p.sizing.cap = 3
	out := acquire(t, p) // out while the list comes
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
		t.Errorf("%d connections to the address before", f.open)
	}
	ps.Endpoint(at)
	if c := acquire(t, p); c.Reused() {
		t.Error("a connection to the address before was used")
	}
}

// A pool ends with its last call, and what comes back under its name starts afresh.
func TestPoolEndsWithItsLastCall(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	p := ps.Endpoint(Endpoint{Name: "e"})
	c := acquire(t, p)
	endCallAs(acquire(t, p), Answered)
	p.Remove()
	if _, err := p.Acquire(t.Context()); !errors.Is(err, ErrRemoved) {
		t.Errorf("%v, want that it is gone", err)
	}
	if o := ps.Stats(9); o.Open != 1 || len(o.Pools) != 1 {
		t.Errorf("%+v, want the call that is out", o)
	}
	endCallAs(c, Answered)
	if o := ps.Stats(9); o.Open != 0 || len(o.Pools) != 0 || f.open != 0 {
		t.Errorf("%+v and %d open, want nothing", o, f.open)
	}
	if q := ps.Endpoint(Endpoint{Name: "e"}); q == p || acquire(t, q).Reused() {
		t.Error("it came back with what it was")
	}
}

// At the bound of all connections the idle one of the endpoint that is used least goes;
// where none is idle, calls wait, and the first of them gets the next that is free.
func TestMaxOpenIsSharedByAllPools(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
	ps := fakePools(t, f, now, func(c *Config) { c.MaxOpen = 3 })
	busy, rare, third := ps.Endpoint(Endpoint{Name: "a"}), ps.Endpoint(Endpoint{Name: "b"}), ps.Endpoint(Endpoint{Name: "c"})
	for range 3 {
		endCallAs(acquire(t, busy), Answered)
	}
	endCallAs(acquire(t, rare), Answered)
	one, two := acquire(t, third), acquire(t, third)
	if len(rare.idle) != 0 || len(busy.idle) != 1 {
		t.Errorf("%d idle to the one that is used least, %d to the other", len(rare.idle), len(busy.idle))
	}
	three := acquire(t, rare)
	if f.open != 3 || f.most != 3 {
		t.Errorf("%d open, %d at the most, want 3", f.open, f.most)
	}
	if _, err := busy.Acquire(canceledContext()); !errors.Is(err, ErrBusy) {
		t.Errorf("%v, want that no connection is free", err)
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

// A lower bound closes what is idle, the least used first; a higher one lets calls go on
// that wait.
func TestSetMaxOpen(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
	ps := fakePools(t, f, now, func(c *Config) { c.MaxOpen = 4 })
	busy, rare := ps.Endpoint(Endpoint{Name: "a"}), ps.Endpoint(Endpoint{Name: "b"})
	out := acquire(t, busy)
	for range 3 {
		endCallAs(acquire(t, busy), Answered)
	}
	endCallAs(acquire(t, rare), Answered)
	ps.SetMaxOpen(2)
	if f.open != 2 || len(rare.idle) != 0 {
		t.Errorf("%d open, %d of them to the endpoint that is used least; want 2 and none", f.open, len(rare.idle))
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

// Calls that wait for a capped endpoint are few, and end with their time; the first of
// them gets the connection that comes back.
func TestWaitingIsBounded(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
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
		t.Errorf("%v, want that too many wait", err)
	}
	endCallAs(c, Answered)
	if err := <-ends; err != nil {
		t.Errorf("nobody got what came back: %v", err)
	}
	cancel()
	for range maxWaiting - 1 {
		if err := <-ends; !errors.Is(err, ErrBusy) || !errors.Is(err, context.Canceled) {
			t.Errorf("%v, want the end of its time", err)
		}
	}
	if s := ps.Stats(1).Pools[0]; s.Waiting != 0 || s.InUse != 1 || f.open != 1 {
		t.Errorf("%+v, %d open", s, f.open)
	}
}

// Whoever gives up while dialling leaves nothing behind, and it says nothing of the
// endpoint; SYNs that are never answered end with the time to connect.
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
		t.Errorf("%v, want that it was given up", err)
	}
	if s := ps.Stats(1).Pools[0]; s.Refused != 0 || s.Open != 0 {
		t.Errorf("%+v, want nothing counted and nothing open", s)
	}
	if _, err := p.Acquire(t.Context()); !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrBusy) {
		t.Errorf("%v, want the time to connect", err)
	}
	if s := ps.Stats(1).Pools[0]; s.Refused != 1 || s.Open != 0 || s.Dialing != 0 {
		t.Errorf("%+v, want one refused and nothing open", s)
	}
}

// A connection that comes up when its endpoint is gone or has moved is closed.
func TestDialToARemovedOrMovedEndpoint(t *testing.T) {
	for name, change := range map[string]func(*Pools, *Pool){
		"gone":  func(_ *Pools, p *Pool) { p.Remove() },
		"moved": func(ps *Pools, _ *Pool) { ps.Endpoint(Endpoint{Name: "e", Addr: "2"}) },
	} {
		f := &fakeEndpoint{holds: 1}
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

// A connect that fails tells of a crowded endpoint only if that was up all along.
func TestSignsOfACrowdedEndpoint(t *testing.T) {
	type step struct {
		ends string // a take and answer, f a connect that fails, o an answer on an old connection, s a second's rest
		cap  float64
	}
	for name, c := range map[string]step{
		"outage":                     {"afffsfff", 0},
		"outage that ends":           {"afffsfffaa", 0},
		"one connect lost":           {"Ofos", 0},
		"crowd, seen by others":      {"Offo", 1},
		"no proof without answers":   {"Offs", 0},
		"proof that came too late":   {"Offsssso", 0},
		"connects lost now and then": {"OfossssssssssssssssfoO", 0},
	} {
		f, now := &fakeEndpoint{holds: 100}, newClock()
		ps := fakePools(t, f, now, nil)
		p := ps.Endpoint(Endpoint{Name: "e"})
		var old *Conn
		for _, s := range c.ends {
			switch s {
			case 's':
				now.tick(time.Second)
			case 'O':
				old = acquire(t, p)
			case 'o': // an answer on it, and it is out again
				endCallAs(old, Answered)
				old = acquire(t, p)
			case 'a':
				endCallAs(acquire(t, p), Answered)
				p.CloseIdle()
			case 'f':
				f.err = syscall.ECONNREFUSED
				if _, err := p.Acquire(t.Context()); err == nil {
					t.Fatal("a connect went well that should fail")
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

// First calls that are turned away tell of too many connections, unless others are too.
func TestRejectedFirstCallsAreSignsOfACrowd(t *testing.T) {
	for name, c := range map[string]struct {
		others Outcome
		capped bool
	}{"connections": {Answered, true}, "limit": {Rejected, false}} {
		f, now := &fakeEndpoint{holds: 100}, newClock()
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
			p.idle = append(p.idle, old) // the other one is closed
			ps.open--
			now.tick(100 * time.Millisecond)
		}
		if capped := p.sizing.cap > 0; capped != c.capped {
			t.Errorf("%s: cap %v", name, p.sizing.cap)
		}
	}
}

// fleet is many nodes with one pool each to one endpoint, driven by one clock.
type fleet struct {
	endpoint *fakeEndpoint
	now      *clock
	pools    []*Pools
	out      [][]*Conn // by pool, with the step at which each ends
	until    [][]int
	queue    [][]int // by pool, the steps until which calls wait
	rng      *rand.Rand
}

func newFleet(t *testing.T, senders, holds int) *fleet {
	t.Helper()
	f := &fleet{endpoint: &fakeEndpoint{holds: holds}, now: newClock(), rng: rand.New(rand.NewPCG(1, 2))}
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
		c.DialTimeout = 1 // who has to wait is turned away at once
	})
}

// run plays so long, with so many calls a second from all senders, each of 0.2 s, and
// tells how many connects a second were refused, and the share of calls that found a
// connection within a second.
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
				continue // it looks again every tenth of a second
			}
			c, err := f.pools[i].Endpoint(Endpoint{Name: "e"}).Acquire(context.Background())
			if err == nil {
				found++
				f.queue[i] = f.queue[i][1:]
				f.out[i], f.until[i] = append(f.out[i], c), append(f.until[i], n+20)
			}
		}
	}
	for i := range f.until { // the steps of the next run begin anew
		for k := range f.until[i] {
			f.until[i][k] = 0
		}
		f.queue[i] = nil
	}
	return float64(f.endpoint.refused-before) / d.Seconds(), float64(found) / float64(calls)
}

// Many pools settle under what one endpoint holds, with few senders and with many,
// after a common restart too, and when it holds half as many from one moment on.
func TestFleetSettlesUnderACap(t *testing.T) {
	for name, c := range map[string]struct {
		senders, holds int
		rate           float64 // so that 0.2 times it are in use at a time
	}{
		"2 senders":                      {2, 12, 12},
		"300 senders":                    {300, 700, 600},
		"300 senders, and room for them": {300, 10000, 600},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, c.senders, c.holds)
			check := func(when string) {
				t.Helper()
				f.run(t, 20*time.Second, c.rate) // to settle
				refused, found := f.run(t, 20*time.Second, c.rate)
				t.Logf("%s: %.2f refused a second of %.0f calls, %.3f of the calls found a connection", when, refused, c.rate, found)
				if refused > 0.025*c.rate {
					t.Errorf("%s: %.2f connects a second are refused", when, refused)
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
			f.endpoint.holds /= 2
			check("with half of the places")
		})
	}
}

// A cap grows back at a time of each sender's own, and is forgotten when it binds nobody.
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
		t.Errorf("cap %v after long, want none", s.cap)
	}
}

// What was learnt goes along to the next process, for the same endpoint only.
func TestLearntStateIsInherited(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
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
		t.Errorf("cap %v and idle limit %v went along, want 3 and %v", a.sizing.cap, got, 2*freshIdle)
	}
	if got := b.maxIdle(now.now); b.sizing.cap != 0 || got != 8*freshIdle {
		t.Errorf("cap %v and idle limit %v of another address, want none and that of all, %v", b.sizing.cap, got, 8*freshIdle)
	}
}

// A thousand endpoints that come and go leave no goroutine, descriptor or entry behind.
func TestEndpointsComeAndGo(t *testing.T) {
	s := newStandIn(t, answers(ok200))
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
		t.Errorf("%+v is left", o)
	}
	for end := time.Now().Add(patience); s.open.Load() > 0 && time.Now().Before(end); {
		runtime.Gosched()
	}
	if n := s.open.Load(); n != 0 {
		t.Errorf("%d connections are left at the endpoint", n)
	}
	if n := runtime.NumGoroutine(); n > before+5 {
		t.Errorf("%d goroutines, %d before", n, before)
	}
}

// Retired pools close what is idle, and what is out when its call ends.
func TestRetire(t *testing.T) {
	f, now := &fakeEndpoint{holds: 10}, newClock()
	ps := fakePools(t, f, now, nil)
	p := ps.Endpoint(Endpoint{Name: "e"})
	c := acquire(t, p)
	endCallAs(acquire(t, p), Answered)
	ps.Retire()
	if f.open != 1 {
		t.Errorf("%d open, want the one that is out", f.open)
	}
	endCallAs(c, Answered)
	if f.open != 0 {
		t.Errorf("%d open, want none", f.open)
	}
}

// One connection is opened ahead for demand that was seen, where it is asked for, and
// none where it might do harm.
func TestPreconnect(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		may    func() bool
		before func(*Pool, *clock)
		want   int
	}{
		"demand":             {nil, func() bool { return true }, nil, 3},
		"off":                {func(c *Config) { c.Preconnect = false }, func() bool { return true }, nil, 0},
		"nothing may go":     {nil, func() bool { return false }, nil, 0},
		"nobody says it may": {nil, nil, nil, 0},
		"failed of late":     {nil, func() bool { return true }, func(p *Pool, c *clock) { p.failedAt = c.now }, 0},
		"capped":             {nil, func() bool { return true }, func(p *Pool, c *clock) { p.sizing.cap, p.sizing.growAt = 2, c.now.Add(time.Hour) }, 2},
		"no room":            {func(c *Config) { c.MaxOpen = 1 }, func() bool { return true }, nil, 1},
		"demand of long ago": {nil, func() bool { return true }, func(_ *Pool, c *clock) { c.tick(2 * demandSpan) }, 0},
	} {
		f, now := &fakeEndpoint{holds: 10}, newClock()
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
			for len(p.idle) > 0 { // in use: the next is opened ahead
				acquire(t, p)
				ps.background.Wait()
			}
		}
		if f.open != c.want {
			t.Errorf("%s: %d open, want %d", name, f.open, c.want)
		}
	}
}

// The look at a socket sees what has come, and nothing on one that is quiet.
func TestQuietSeesWhatHasCome(t *testing.T) {
	hold := make(chan struct{})
	s := newStandIn(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
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
		t.Error("something was seen on a quiet connection")
	}
	_, err = nc.Write([]byte("x"))
	must(t, err)
	for end := time.Now().Add(patience); c.quiet() && time.Now().Before(end); {
		runtime.Gosched()
	}
	if c.quiet() {
		t.Error("unasked bytes were not seen")
	}
}
