// Package upstream keeps the connections to endpoints: it hands one to each call, takes
// it back, and learns from how calls end how long a connection may stand idle and how
// many an endpoint holds. It never decides on a call, and never sends one again.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// maxWaiting bounds the calls that wait for a connection to one endpoint.
	maxWaiting = 64
	// useHalfLife is when a use of an endpoint counts for half, where room is short.
	useHalfLife = 10 * time.Second
)

var (
	// ErrGone says that the endpoint is gone, or has moved since the call was decided.
	ErrGone = errors.New("the endpoint is gone")
	// ErrBusy says that no connection came free in time, or that too many calls wait.
	ErrBusy = errors.New("no connection to spare")
	// ErrDeadline says that the call's deadline came before a connection did.
	ErrDeadline = errors.New("no connection before the deadline")
)

// End says how a call ended, as far as its connection can tell of it.
type End int

// The ends of a call.
const (
	Unused   End = iota // nothing was sent
	Answered            // whatever the answer says
	Full                // turned away with no wait told: the limit, the queue, or too many connections
	Broken              // reset, closed or unreadable
	GaveUp              // by this side
)

// Config is what pools are made of. The functions are called with no lock held, but
// for Now and Rand.
type Config struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	Now  func() time.Time
	Rand func() float64 // from 0 to 1

	Senders     int           // that share what an endpoint holds
	MaxOpen     int           // connections of all pools together
	IdleLimit   time.Duration // the longest that any connection may stand idle
	DialTimeout time.Duration // for a connection to come up
	Wait        time.Duration // for a place for one; 0: as DialTimeout
	// Warm opens connections ahead, but none to an endpoint that failed within WarmUp.
	Warm   bool
	WarmUp time.Duration
}

// Pools are the connections of one process to all its endpoints. It is safe for
// concurrent use.
type Pools struct {
	cfg        Config
	life       context.Context
	end        context.CancelFunc
	background sync.WaitGroup

	mu      sync.Mutex
	pools   map[string]*Pool
	open    int // connections, with those on their way
	idle    idleLimit
	waiting []chan struct{}   // for room among all, the longest first
	heirs   map[string]Learnt // what another process knew, until its endpoint is heard of
	retired bool
}

// New returns pools with no endpoints.
func New(c Config) *Pools {
	c.Senders = max(1, c.Senders)
	c.MaxOpen = max(1, c.MaxOpen)
	ps := &Pools{cfg: c, pools: map[string]*Pool{}, idle: idleLimit{told: c.IdleLimit}}
	ps.life, ps.end = context.WithCancel(context.Background())
	return ps
}

// Endpoint is what a list tells of one.
type Endpoint struct {
	Name    string
	Addr    string
	Since   int64       // when its process last started, as far as the list tells
	MayWarm func() bool // false while nothing may be sent there; nil for never
	Most    int         // connections that this side may have to it; 0: not told
}

// Pool has the connections to one endpoint.
type Pool struct {
	set *Pools
	at  Endpoint

	// The rest is guarded by the lock of the set.
	epoch    int     // grows when the endpoint is another one: it came back or has moved
	gone     bool    // no longer listed: nothing is opened, nothing is kept
	idle     []*Conn // the longest idle first
	inUse    int
	dialling int
	waiting  []chan struct{} // for a place under the cap, the longest first
	limit    idleLimit
	size     sizing
	demand   demand
	used     fading // uses of late
	warming  bool   // a connection is being opened ahead
	failedAt time.Time
	counts   counts
}

type counts struct{ opened, reused, broken, refused, warmed int64 }

// Endpoint returns the pool of an endpoint, after what the list tells of it. One that
// was gone, is at a new address or was started anew gets fresh connections and nothing
// that was learnt of the one before.
func (ps *Pools) Endpoint(e Endpoint) *Pool {
	ps.mu.Lock()
	p := ps.pools[e.Name]
	if p == nil {
		p = &Pool{set: ps, at: e}
		p.forget()
		p.failedAt = time.Time{}
		if h, ok := ps.heirs[e.Name]; ok {
			p.inherit(h)
			delete(ps.heirs, e.Name)
		}
		ps.pools[e.Name] = p
		ps.mu.Unlock()
		return p
	}
	var old []*Conn
	p.at.MayWarm = e.MayWarm
	if !p.gone && p.at.Addr == e.Addr && p.at.Since == e.Since && p.at.Most == e.Most {
		ps.mu.Unlock()
		return p
	}
	p.at.Most = e.Most
	switch {
	case p.gone || p.at.Addr != e.Addr:
		p.gone = false
		p.epoch++
		old = p.takeIdle()
		p.forget()
	case p.at.Since < e.Since: // what was opened since then leads to the new process
		p.at.Since = e.Since
		p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
			if !p.leadsElsewhere(c) {
				return false
			}
			old = append(old, c)
			return true
		})
		ps.freed(len(old))
		p.forget()
	}
	p.at.Addr, p.at.Since = e.Addr, e.Since
	p.wakeAll() // their address may be another one
	ps.mu.Unlock()
	closeAll(old)
	return p
}

// leadsElsewhere tells of a connection to where, or to what, the endpoint was before.
func (p *Pool) leadsElsewhere(c *Conn) bool {
	return p.gone || c.epoch != p.epoch || c.opened.Before(time.UnixMilli(p.at.Since))
}

// forget drops what was learnt of the endpoint: it may be cold.
func (p *Pool) forget() {
	p.limit = idleLimit{told: p.set.cfg.IdleLimit}
	p.size = sizing{}
	p.failedAt = p.set.cfg.Now()
}

// Leave says that an endpoint is no longer listed. Its pool ends with its last call.
func (p *Pool) Leave() {
	p.set.mu.Lock()
	p.gone = true
	old := p.takeIdle()
	p.wakeAll()
	p.set.drop(p)
	p.set.mu.Unlock()
	closeAll(old)
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle() {
	p.set.mu.Lock()
	old := p.takeIdle()
	p.set.mu.Unlock()
	closeAll(old)
}

// drop removes a pool that has ended.
func (ps *Pools) drop(p *Pool) {
	if p.gone && p.inUse+p.dialling == 0 && ps.pools[p.at.Name] == p {
		delete(ps.pools, p.at.Name)
	}
}

// Limit changes how many connections all pools together may have. Idle ones beyond it
// are closed, as far as there are any.
func (ps *Pools) Limit(maxOpen int) {
	ps.mu.Lock()
	ps.cfg.MaxOpen = max(1, maxOpen)
	var old []*Conn
	for ps.open > ps.cfg.MaxOpen {
		victim := ps.leastUsed(ps.cfg.Now())
		if victim == nil {
			break
		}
		old = append(old, victim)
	}
	for len(ps.waiting) > 0 && ps.open < ps.cfg.MaxOpen { // all look again
		ps.wakeRoom()
	}
	ps.mu.Unlock()
	closeAll(old)
}

// Retire closes what is idle and keeps nothing from now on: calls that are out end as
// they would have.
func (ps *Pools) Retire() {
	ps.mu.Lock()
	ps.retired = true
	var old []*Conn
	for _, p := range ps.pools {
		old = append(old, p.takeIdle()...)
	}
	ps.mu.Unlock()
	closeAll(old)
}

// Close retires the pools and ends what they open ahead. Calls must have ended.
func (ps *Pools) Close() {
	ps.Retire()
	ps.end()
	ps.background.Wait()
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.close()
	}
}

// takeIdle takes the idle connections out of the pool, for their closing.
func (p *Pool) takeIdle() []*Conn {
	old := p.idle
	p.idle = nil
	p.set.freed(len(old))
	return old
}

// freed counts connections as closed and lets as many that wait for room look again.
func (ps *Pools) freed(n int) {
	ps.open -= n
	for range n {
		ps.wakeRoom()
	}
}

// wake lets the one that has waited longest look again.
func (p *Pool) wake() {
	if len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = p.waiting[1:]
	}
}

func (p *Pool) wakeAll() {
	for len(p.waiting) > 0 {
		p.wake()
	}
}

// Take returns a connection for one call: the one that was used last, if its far side
// has not closed it, or a new one. It waits for a place no longer than Wait, DialTimeout
// and the context allow. What is taken has to be given back by Done.
func (p *Pool) Take(ctx context.Context) (*Conn, error) { return p.TakeBefore(ctx, time.Time{}) }

// TakeBefore is Take with a deadline of the call, if that is not zero: neither the wait for
// a place nor the dial outlasts it.
func (p *Pool) TakeBefore(ctx context.Context, deadline time.Time) (*Conn, error) {
	ps := p.set
	var cancel context.CancelFunc // once it has to wait or dial
	waits, dialing := false, ctx
	ps.mu.Lock()
	for {
		if p.gone {
			ps.mu.Unlock()
			return nil, ErrGone
		}
		now := ps.cfg.Now()
		c, stale := p.reuse(now)
		if c != nil {
			p.inUse++
			p.counts.reused++
			p.taken(now)
			p.openAhead(now)
			ps.mu.Unlock()
			closeAll(stale)
			return c, nil
		}
		if cancel == nil {
			ctx, cancel = p.bounded(ctx, deadline, now)
			defer cancel()
			dialing = ctx // that wait may end sooner than the dial
		}
		queue, victim := p.place(now)
		if victim != nil {
			stale = append(stale, victim)
		}
		if queue == nil {
			p.dialling++
			ps.open++
			p.taken(now)
			ps.mu.Unlock()
			closeAll(stale)
			return p.dial(dialing, now)
		}
		if len(*queue) >= maxWaiting {
			ps.mu.Unlock()
			closeAll(stale)
			return nil, ErrBusy
		}
		if !waits && ps.cfg.Wait > 0 {
			waits = true
			var end context.CancelFunc
			ctx, end = context.WithTimeout(ctx, ps.cfg.Wait)
			defer end()
		}
		if err := p.await(ctx, queue, stale); err != nil {
			return nil, err
		}
	}
}

// bounded ends a context after DialTimeout, or at the call's deadline if that is sooner.
func (p *Pool) bounded(ctx context.Context, deadline, now time.Time) (context.Context, context.CancelFunc) {
	limit := p.set.cfg.DialTimeout
	if left := deadline.Sub(now); !deadline.IsZero() && left < limit {
		return context.WithTimeoutCause(ctx, max(0, left), ErrDeadline)
	}
	return context.WithTimeout(ctx, limit)
}

// await gives up the lock, waits in a queue for its turn, and takes the lock again. After
// an error the lock is free.
func (p *Pool) await(ctx context.Context, queue *[]chan struct{}, stale []*Conn) error {
	ps := p.set
	turn := make(chan struct{})
	*queue = append(*queue, turn)
	ps.mu.Unlock()
	closeAll(stale)
	select {
	case <-turn:
		ps.mu.Lock()
		return nil
	case <-ctx.Done():
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if i := slices.Index(*queue, turn); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	} else if queue == &p.waiting { // its turn came too late: it is the next one's
		p.wake()
	} else {
		ps.wakeRoom()
	}
	return fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
}

// wakeRoom lets the next one look that waits for room among all connections.
func (ps *Pools) wakeRoom() {
	if len(ps.waiting) > 0 {
		close(ps.waiting[0])
		ps.waiting = ps.waiting[1:]
	}
}

// taken counts a call.
func (p *Pool) taken(now time.Time) {
	p.used.add(1, now, useHalfLife)
	p.demand.seen(p.inUse+p.dialling, now)
}

// reuse takes the idle connection that was used last and is still good. The others
// that it met are for closing.
func (p *Pool) reuse(now time.Time) (c *Conn, stale []*Conn) {
	limit := p.idleFor(now)
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = slices.Delete(p.idle, last, last+1)
		if c.age = now.Sub(c.since); c.age < c.idleFor(limit) && c.quiet() {
			return c, stale
		}
		stale = append(stale, c)
		p.set.freed(1)
	}
	return nil, stale
}

// most is how many connections the pool may have, by what was told and by what was learnt.
func (p *Pool) most(now time.Time) int {
	most := p.size.most(now, &p.set.cfg)
	if p.at.Most > 0 {
		return min(most, p.at.Most)
	}
	return most
}

// idleFor is how long a connection of the pool may stand idle.
func (p *Pool) idleFor(now time.Time) time.Duration { return p.limit.limit(&p.set.idle, now) }

// idleFor is the limit, or less where the far side has told less.
func (c *Conn) idleFor(limit time.Duration) time.Duration {
	if c.keep > 0 {
		return min(limit, c.keep)
	}
	return limit
}

// place finds room for one more connection. Without, it tells which queue to wait in;
// where the room is another's idle connection, that is to be closed.
func (p *Pool) place(now time.Time) (queue *[]chan struct{}, victim *Conn) {
	ps := p.set
	if open := p.inUse + p.dialling + len(p.idle); open >= p.most(now) {
		return &p.waiting, nil
	}
	if ps.open < ps.cfg.MaxOpen {
		return nil, nil
	}
	if victim := ps.leastUsed(now); victim != nil {
		return nil, victim
	}
	return &ps.waiting, nil
}

// leastUsed takes out the longest idle connection of the endpoint that is used least, for
// its closing; nil if none is idle.
func (ps *Pools) leastUsed(now time.Time) *Conn {
	var least *Pool
	for _, o := range ps.pools {
		if len(o.idle) == 0 {
			continue
		}
		o.used.add(0, now, useHalfLife)
		if least == nil || o.used.sum < least.used.sum || o.used.sum == least.used.sum && o.at.Name < least.at.Name {
			least = o
		}
	}
	if least == nil {
		return nil
	}
	victim := least.idle[0]
	least.idle = slices.Delete(least.idle, 0, 1)
	ps.open--
	return victim
}

// dial opens a connection in a place that is kept for it.
func (p *Pool) dial(ctx context.Context, began time.Time) (*Conn, error) {
	ps := p.set
	ps.mu.Lock()
	addr, epoch := p.at.Addr, p.epoch
	ps.mu.Unlock()
	nc, err := ps.cfg.Dial(ctx, addr)
	if errors.Is(err, syscall.ECONNRESET) {
		// Nobody refused it: it got lost on the way. Nothing was sent, and a dead
		// endpoint shows at the second try as well as at the first.
		nc, err = ps.cfg.Dial(ctx, addr)
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.cfg.Now()
	p.dialling--
	if err == nil && (p.gone || p.epoch != epoch) {
		_ = nc.Close() // it leads to where the endpoint was
		err = ErrGone
	}
	if err != nil {
		cut := errors.Is(context.Cause(ctx), ErrDeadline) // no sign of the endpoint's health
		if cut {
			err = errors.Join(ErrDeadline, err)
		}
		if !cut && !errors.Is(err, ErrGone) && !errors.Is(ctx.Err(), context.Canceled) {
			p.counts.refused++
			p.failedAt = now
			p.size.refused(now)
		}
		ps.freed(1)
		p.wake()
		ps.drop(p)
		return nil, fmt.Errorf("connecting to %s: %w", addr, err)
	}
	p.size.opened(now)
	p.counts.opened++
	p.inUse++
	c := newConn(p, nc, began)
	c.handshake = now.Sub(began)
	return c, nil
}

// Done gives a connection back with how its call ended. It is kept if another call may
// follow on it.
func (c *Conn) Done(end End) {
	p, ps := c.pool, c.pool.set
	sent := c.used
	clean := c.clean()
	if !clean {
		c.close() // before the outcome is told: the endpoint must be free of this call
	}
	ps.mu.Lock()
	now := ps.cfg.Now()
	p.inUse--
	elsewhere := p.leadsElsewhere(c)
	if sent && !elsewhere {
		p.learn(c, end, now)
	}
	keep := clean && !elsewhere && !ps.retired && ps.open <= ps.cfg.MaxOpen &&
		p.inUse+p.dialling+len(p.idle) < p.most(now)
	if keep {
		c.since = now
		p.idle = append(p.idle, c)
		if ps.open >= ps.cfg.MaxOpen { // one that waits for room may take it
			ps.wakeRoom()
		}
	} else {
		ps.freed(1)
	}
	p.wake()
	ps.drop(p)
	p.openAhead(now)
	ps.mu.Unlock()
	if clean && !keep {
		c.close()
	}
}

// learn takes in how a call ended.
func (p *Pool) learn(c *Conn, end End, now time.Time) {
	ps := p.set
	broken := end == Broken
	p.limit.used(c.age, broken, now)
	ps.idle.used(c.age, broken, now)
	if broken && c.Reused() {
		p.counts.broken++
	}
	switch end {
	case Broken, GaveUp:
		p.failedAt = now
	case Answered, Full:
		open := p.inUse + p.dialling + len(p.idle) + 1
		p.size.answered(c.opened, !c.Reused(), end == Full, open, now, &ps.cfg)
	}
}

// Sweep closes the connections that have been idle for too long or whose far side has
// closed them. It is to be called every second or so.
func (ps *Pools) Sweep() {
	ps.mu.Lock()
	now := ps.cfg.Now()
	var old []*Conn
	for _, p := range ps.pools {
		limit := p.idleFor(now)
		p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
			if now.Sub(c.since) < c.idleFor(limit) && c.quiet() {
				return false
			}
			old = append(old, c)
			return true
		})
		p.openAhead(now)
	}
	ps.freed(len(old))
	ps.mu.Unlock()
	closeAll(old)
}
